package core

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"bitternwing/internal/resource"
)

// allMachines gives the machines by name, those that may not be given tasks too.
func allMachines(cycle *schedulingCycle) []*machine { return cycle.state.(*leader).machinesByName }

// scanAllowed tells whether a job's next task may run on a machine, given where its other tasks are.
func scanAllowed(cycle *schedulingCycle, j *job, m *machine) bool {
	s := j.spec
	if m.spot && !s.Spot || s.Zone != "" && s.Zone != m.zone || !allowsType(s, m.typeName) || cycle.state.avoidsMachine(j, m) {
		return false
	}
	if !s.SingleZone && !s.SpreadZones {
		return true
	}
	here := 0
	for _, p := range j.placements {
		switch {
		case p.machine.zone == m.zone, s.SpreadZones && p.machine.zone == "":
			here++
		case s.SingleZone:
			return false
		}
	}
	return !s.SpreadZones || here < (s.Tasks+1)/2
}

// scanWeighed finds the machine that costs a job's next replica the least, by a scan of all.
func scanWeighed(cycle *schedulingCycle, j *job, w replicaCostModel) *machine {
	var best *schedulableMachine
	bestCost, bestLeft := 0.0, 0.0
	need := resource.OfTask(j.spec)
	for _, m := range allMachines(cycle) {
		h := m.schedulable
		if h == nil || !h.free.Covers(need) || !scanAllowed(cycle, j, m) {
			continue
		}
		cost, left := w.cost(m.group(), m.images.stateOf(j.spec.Image)), 1.0
		if w.Crowded(m.name) {
			cost += w.MachineS()
		}
		if m.machineType.GPUs > 0 {
			left = (h.free.GPUs - j.spec.GPUs) / m.machineType.GPUs
		} else if m.machineType.CPUs > 0 {
			left = (h.free.CPUs - j.spec.CPUs) / m.machineType.CPUs
		}
		if best == nil || cost < bestCost || cost == bestCost && left < bestLeft {
			best, bestCost, bestLeft = h, cost, left
		}
	}
	if best == nil {
		return nil
	}
	return best.machine
}

// scanFit finds the machine for a job's next task by a scan of all.
func scanFit(cycle *schedulingCycle, j *job) *machine {
	if w, weighed := cycle.replicaCostFor(j); weighed {
		return scanWeighed(cycle, j, w)
	}
	var best *schedulableMachine
	bestScore := math.Inf(1)
	need := resource.OfTask(j.spec)
	for _, m := range allMachines(cycle) {
		h := m.schedulable
		if h == nil || !h.free.Covers(need) || !scanAllowed(cycle, j, m) {
			continue
		}
		left := 1.0
		if m.machineType.GPUs > 0 {
			left = (h.free.GPUs - j.spec.GPUs) / m.machineType.GPUs
		} else if m.machineType.CPUs > 0 {
			left = (h.free.CPUs - j.spec.CPUs) / m.machineType.CPUs
		}
		score := left + 2*float64(m.images.stateOf(j.spec.Image))
		if j.spec.Spot && !m.spot {
			score += 4
		}
		if score < bestScore {
			best, bestScore = h, score
		}
	}
	if best == nil {
		return nil
	}
	return best.machine
}

// scanCheapest finds the machine on which preemption costs the least by a scan of all.
func scanCheapest(cycle *schedulingCycle, j *job, victim func(*job, *placement) bool) *preemptionPlan {
	var best *preemptionPlan
	for _, m := range allMachines(cycle) {
		if m.schedulable == nil || !scanAllowed(cycle, j, m) {
			continue
		}
		stops, ok := cycle.preemptionSet(j, m.schedulable, victim)
		if !ok {
			continue
		}
		if cost := costOf(stops, m.schedulable, j); best == nil || cost.Less(best.cost) {
			best = &preemptionPlan{m.schedulable, stops, cost}
		}
	}
	return best
}

// runCycle compares what index and scan choose for some jobs, and does that.
func (f *randomFleet) runCycle() {
	l := f.leader
	l.refreshCapacityIndex()
	cycle := newSchedulingCycle(l, l.cycleParams(math.MaxInt32))
	for range f.intBetween("decisions", 1, 30) {
		j := f.randomJob()
		if !cycle.schedulable(j) || j.unplaced() == 0 {
			continue
		}
		want := scanFit(cycle, j)
		if got := cycle.findMachine(j); got != want {
			f.Fatalf("%s: %s by the index, %s by the scan", j.id, nameOf(got), nameOf(want))
		}
		switch {
		case want != nil:
			p := cycle.place(j, l.nextTask(j, 0), want)
			if f.oneIn("taken back", 5) {
				cycle.revertPlacement(p)
			}
		case j.isArray() && j.activeInstances() >= j.minInstances():
		default:
			f.preempt(cycle, j)
		}
	}
}

// preempt compares what index and scan preempt for a job.
func (f *randomFleet) preempt(cycle *schedulingCycle, j *job) {
	// A cycle looks for the jobs that can be shrunk once; here the next decision may follow any other.
	cycle.preemptible = nil
	idleOnly := f.oneIn("idle work only", 3)
	rule := cycle.preemptionRule(j, idleOnly)
	want := scanCheapest(cycle, j, rule.mayStop)
	got := cycle.cheapestPreemption(j, &rule)
	if (got == nil) != (want == nil) {
		f.Fatalf("%s: %+v by the index, %+v by the scan", j.id, got, want)
	}
	request, plain := preemptionRequestOf(j, idleOnly)
	if plain && cycle.hopelessPreemptions[request] && want != nil {
		f.Fatalf("%s could preempt on %s, though that is remembered as hopeless", j.id, want.machine.machine.name)
	}
	if got == nil {
		if plain {
			cycle.hopelessPreemptions[request] = true
		}
		return
	}
	if got.machine != want.machine || got.cost != want.cost || !slices.Equal(got.stops, want.stops) {
		f.Fatalf("%s: on %s for %+v by the index, on %s for %+v by the scan", j.id, got.machine.machine.name, got.cost, want.machine.machine.name, want.cost)
	}
	cycle.preempt(j, got)
}

func nameOf(m *machine) string {
	if m == nil {
		return "none"
	}
	return m.name
}

// TestIndexChoosesAsScan draws fleets and their events: spread and single zones, spot machines, avoided machines, ties,
// tasks that stop, reclaimed and silent machines, unknown zones, reserved resources and reverted placements. The index
// chooses the same machines and the same tasks to stop as a scan, and stays equal to one built anew.
func TestIndexChoosesAsScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newRandomFleet(t)
		for range rapid.SampledFrom([]int{1, 4, 10, 40}).Draw(t, "jobs") {
			f.addJob()
		}
		for range f.intBetween("cycles", 1, 6) {
			f.runCycle()
			for range f.intBetween("events", 0, 12) {
				f.randomEvent()
			}
			if err := f.leader.core.CheckCapacityIndex(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

package core

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bitternwing/internal/capacity"
	"bitternwing/internal/config"
	"bitternwing/internal/resource"
	"bitternwing/internal/stored"
	"bitternwing/internal/watchcache"
	"bitternwing/internal/wire"
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

// randomFleet is a leader with a fleet drawn by rapid.
type randomFleet struct {
	*rapid.T
	l     *leader
	types []*wire.MachineType
	made  int
}

var randomZones = []string{"", "z1", "z2", "z3"}

func newRandomFleet(t *rapid.T) *randomFleet {
	set := &config.Settings{Node: "a", Zone: "z1", Params: config.Params{Zones: randomZones[1:],
		Teams:   []config.Team{{Name: "red", GuaranteedGPUs: 2, MaxGPUs: 64}, {Name: "blue", GuaranteedGPUs: 8, MaxGPUs: 64}, {Name: "guest"}},
		Workers: config.Workers{HeartbeatIntervalS: 1, LeaseS: 10, CancelS: 30}, Store: config.Store{RPS: 100, WriteRPS: 100, ValueKB: 16, TxnOps: 12},
		Cloud: config.Cloud{RPS: 1, ListLagS: 1}, Limits: config.Limits{CPUShare: 1, MemoryMB: 98, MaxConnections: 100}}}
	c := New(set, "test")
	c.now = Time{Steady: time.Hour, WallMS: 3_600_000}
	l := newLeader(c, 1, 1)
	l.recovered = true
	l.records.layout = c.layout()
	c.leader = l
	f := &randomFleet{T: t, l: l, types: []*wire.MachineType{
		{Name: "g4", GPUs: 4, CPUs: 16, MemoryGB: 64, CacheGB: 8, FetchGBPerS: 0.2}, {Name: "g2", GPUs: 2, CPUs: 16, MemoryGB: 16, CacheGB: 8, FetchGBPerS: 0.5}, {Name: "c8", CPUs: 8, MemoryGB: 32, CacheGB: 8}}}
	for _, mt := range f.types {
		c.catalog.types = append(c.catalog.types, *mt)
	}
	rates := []float64{0, 0.001, 0.02, 1}
	c.operator.Spread = config.Spread{Enabled: f.chance("places are weighed", 2), ZoneLossesPerDay: rapid.SampledFrom(rates).Draw(t, "zone losses"),
		MachineLossesPerDay: rapid.SampledFrom(rates).Draw(t, "machine losses"), ReplicaDays: 30}
	for range rapid.SampledFrom([]int{1, 3, 8, 20, 60}).Draw(t, "machines") {
		f.addMachine()
	}
	return f
}

func (f *randomFleet) number(what string, least, most int) int {
	return rapid.IntRange(least, most).Draw(f.T, what)
}

func (f *randomFleet) chance(what string, oneIn int) bool { return f.number(what, 1, oneIn) == oneIn }

func (f *randomFleet) addMachine() {
	f.made++
	m := f.l.machineNamed(fmt.Sprintf("host-%03d", f.number("name", 0, 999)))
	m.setType(rapid.SampledFrom(f.types).Draw(f.T, "type"))
	m.setIdentity(m.machineType.Name, rapid.SampledFrom(randomZones[1:]).Draw(f.T, "zone"), "x", f.chance("spot", 3))
	m.reported, m.lastHeartbeat = true, f.l.core.now.Steady
}

func (f *randomFleet) addJob() *job {
	f.made++
	if len(f.l.queue) > 0 && f.chance("like another", 2) {
		like := f.anyJob()
		spec := *like.spec
		spec.ID = fmt.Sprintf("run-%06d", f.made)
		return f.queue(&spec, like.rank, like.team)
	}
	spec := &wire.Job{ID: fmt.Sprintf("run-%06d", f.made), Kind: rapid.SampledFrom([]wire.JobKind{wire.KindArray, wire.KindArray, wire.KindService}).Draw(f.T, "kind"),
		Team:  rapid.SampledFrom([]string{"red", "blue", "guest", "gone"}).Draw(f.T, "team"),
		Tasks: f.number("tasks", 1, 6), GPUs: float64(f.number("gpus", 0, 4)) / 2, CPUs: float64(f.number("cpus", 1, 6)), MemoryGB: float64(f.number("memory", 1, 6)),
		Image: rapid.SampledFrom([]string{"i1", "i2", "i3", "i4"}).Draw(f.T, "image"), ImageGB: 3,
		SingleZone: f.chance("one zone", 4), SpreadZones: f.chance("spread", 4), Spot: f.chance("may be spot", 2)}
	if f.chance("in a zone", 5) {
		spec.Zone = "z2"
	}
	if f.chance("of a type", 5) {
		spec.MachineTypes = []string{"g4", "c8"}
	}
	team := f.l.core.team(spec.Team)
	if team == nil && f.chance("of a team that there is", 2) {
		team = f.l.core.team("guest")
	}
	return f.queue(spec, f.number("rank", 0, capacity.Ranks-1), team)
}

func (f *randomFleet) queue(spec *wire.Job, rank int, team *config.Team) *job {
	j := f.l.addJob(spec.ID, &watchcache.Job{Job: stored.Job{Spec: spec}})
	j.rank, j.team = rank, team
	return j
}

func (f *randomFleet) anyJob() *job {
	return f.l.queue[f.number("job", 0, len(f.l.queue)-1)]
}

func (f *randomFleet) anyMachine() *machine {
	return f.l.machinesByName[f.number("machine", 0, len(f.l.machinesByName)-1)]
}

func (f *randomFleet) anyPlacement() *placement {
	m := f.anyMachine()
	if len(m.placementsInOrder) == 0 {
		return nil
	}
	return m.placementsInOrder[f.number("placement", 0, len(m.placementsInOrder)-1)]
}

// randomEvent changes something between two cycles.
func (f *randomFleet) randomEvent() {
	l, m := f.l, f.anyMachine()
	switch f.number("event", 0, 19) {
	case 0:
		f.addMachine()
	case 1:
		if len(l.machinesByName) > 1 {
			l.removeMachine(m, "gone")
		}
	case 2, 3, 4:
		if p := f.anyPlacement(); p != nil {
			l.endPlacement(p)
		}
	case 5, 13, 14:
		if p := f.anyPlacement(); p != nil && p.stop == stopNone {
			p.phase = phaseSent
			p.requestStop(stopAfterCheckpoint, stopDrain)
		}
	case 6:
		m.reclaiming = !m.reclaiming
	case 7:
		m.lastHeartbeat -= time.Minute
	case 8:
		m.lastHeartbeat = l.core.now.Steady
	case 9:
		m.setIdentity(m.typeName, rapid.SampledFrom(randomZones).Draw(f.T, "its zone"), m.addr, f.chance("spot now", 3))
	case 10:
		m.markImageReady(rapid.SampledFrom([]string{"i1", "i2", "i3", "i4"}).Draw(f.T, "ready"))
	case 11:
		j := f.anyJob()
		j.failedOn = map[string]bool{m.name: true}
		j.rankChanged()
		j.rank = f.number("rank now", 0, capacity.Ranks-1)
	case 17:
		// Limits and guarantees fall and rise.
		team := &l.core.settings.Params.Teams[f.number("team", 0, 2)]
		team.GuaranteedGPUs, team.MaxGPUs = float64(f.number("guarantee", 0, 12)), float64(f.number("limit", 0, 40))
	case 18:
		// The catalog has another size for the type, which the machine has from now on.
		mt := *m.machineType
		mt.GPUs, mt.CPUs = float64(f.number("its gpus", 0, 6)), float64(f.number("its cpus", 1, 20))
		m.setType(&mt)
	case 19:
		f.loseImages(m)
	case 12, 15, 16:
		f.report(m)
	}
}

// loseImages has the images of a machine fetched anew, or unconfirmed.
func (f *randomFleet) loseImages(m *machine) {
	for i := range m.images {
		m.images[i].state = cachedImageFetching
		if f.chance("unknown", 2) {
			m.images[i].state = cachedImageUnconfirmed
		}
	}
	m.capacityChanged = true
}

// report has a machine report all that is on it, and perhaps a task that nobody knows of.
func (f *randomFleet) report(m *machine) {
	heartbeat := &wire.Heartbeat{Machine: m.name, Incarnation: m.incarnation}
	for _, p := range m.placementsInOrder {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: p.name(), Attempt: p.attempt, State: wire.TaskRunning})
	}
	if f.chance("stray", 2) {
		stray := rapid.SampledFrom([]string{f.anyJob().id + "/5", "run-999999/0"}).Draw(f.T, "which")
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: stray, Attempt: 99, State: wire.TaskRunning})
	}
	f.l.reconciler.reconcileTasks(m, heartbeat, originWorker)
}

// runCycle compares what index and scan choose for some jobs, and does that.
func (f *randomFleet) runCycle() {
	l := f.l
	l.refreshCapacityIndex()
	cycle := newSchedulingCycle(l, l.cycleParams(math.MaxInt32))
	for range f.number("decisions", 1, 30) {
		j := f.anyJob()
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
			if f.chance("taken back", 5) {
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
	idleOnly := f.chance("idle work only", 3)
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
		for range f.number("cycles", 1, 6) {
			f.runCycle()
			for range f.number("events", 0, 12) {
				f.randomEvent()
			}
			if err := f.l.core.CheckCapacityIndex(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

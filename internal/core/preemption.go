package core

import (
	"bitternwing/internal/capacity"
	"bitternwing/internal/resource"
	"bitternwing/internal/scheduling"
)

// preemptFor preempts instances to make room for tasks of a job. It chooses the machines where the fewest instances
// have to stop, and there the instances of the most fulfilled jobs above their minimum. The resources to be freed are
// reserved within this cycle. Each cycle derives the reservations again, so no further instance is stopped for a task
// for which one is already stopping. It reports whether all tasks have, or will have, a machine. With idleOnly, only
// idle-priority work is preempted.
func (cycle *schedulingCycle) preemptFor(j *job, tasks int, idleOnly bool) bool {
	request, cacheable := preemptionRequestOf(j, idleOnly)
	if cacheable && cycle.infeasiblePreemptions[request] {
		return false
	}
	rule := cycle.preemptionRule(j, idleOnly)
	for tasks > 0 {
		best := cycle.lowestCostPreemption(j, &rule)
		if best == nil {
			if cacheable {
				cycle.infeasiblePreemptions[request] = true
			}
			return false
		}
		reserved := 1
		if len(best.stops) == 0 {
			// The machine remains the one with the lowest cost until it is full.
			reserved = best.machine.freeAfterStops.Fit(resource.OfTask(j.spec), tasks)
		}
		cycle.preempt(j, best, reserved)
		if tasks -= reserved; tasks > 0 && !cycle.mayContinue() {
			return false
		}
	}
	return true
}

// preemptionPlan is a machine that will have the resources for a task, and the placements to stop for that.
type preemptionPlan struct {
	machine *schedulableMachine
	stops   []*placement
	cost    capacity.Cost
}

// preempt stops the placements of a plan and reserves the resources for a number of tasks of a job.
func (cycle *schedulingCycle) preempt(j *job, plan *preemptionPlan, tasks int) {
	cycle.work.Reservations++
	target := plan.machine
	if len(plan.stops) > 0 {
		// What the stopped tasks leave beside the task may be enough for a request for which preemption was infeasible.
		clear(cycle.infeasiblePreemptions)
	}
	for _, p := range plan.stops {
		p.requestStop(stopModeFor(j, p), stopPreempted)
		cycle.state.dispatch(p.machine)
		if p.phase < phaseSent {
			cycle.state.endPlacement(p)
			target.free.Add(resource.OfTask(p.job.spec))
			cycle.clearFailedRequests()
		}
		target.freeAfterStops.Add(resource.OfTask(p.job.spec))
		cycle.state.logPreempted(p, j)
	}
	target.freeAfterStops.SubtractTasks(resource.OfTask(j.spec), tasks)
	// Resources that are free already are reserved too, as far as the task needs them.
	target.free = target.free.CappedBy(target.freeAfterStops)
	target.machine.capacityChanged = true // the reservation ends with this cycle
	cycle.state.updateCapacityIndex(target)
}

// clearFailedRequests discards the requests that failed in this cycle, since they may succeed after resources were
// freed.
func (cycle *schedulingCycle) clearFailedRequests() {
	clear(cycle.exhaustedRequests)
	clear(cycle.infeasiblePreemptions)
}

// lowestCostPreemption returns the plan with the lowest preemption cost for a job's next task, and among those the
// first by machine name; nil if there is none.
func (cycle *schedulingCycle) lowestCostPreemption(j *job, rule *preemptionRule) *preemptionPlan {
	s := &preemptionSearch{
		cycle:   cycle,
		job:     j,
		rule:    rule,
		need:    resource.OfTask(j.spec),
		image:   capacity.BitOf(j.spec.Image),
		allowed: j.groupFilter(),
	}
	if len(rule.candidates) > 0 {
		// There are few candidates. Only the machines of their tasks have to be evaluated, and those that will have the
		// resources without preemption.
		for _, victim := range rule.candidates {
			for _, p := range victim.placements {
				s.evaluateIfAllowed(p.machine)
			}
		}
		s.walkIndex(0)
	} else {
		s.walkIndex(rule.belowRank)
	}
	return s.best
}

// preemptionSearch is a search for the machine with the lowest preemption cost.
type preemptionSearch struct {
	cycle   *schedulingCycle
	job     *job
	rule    *preemptionRule
	need    resource.Amount
	image   capacity.ImageBit
	allowed func(capacity.Group) bool
	best    *preemptionPlan
}

// walkIndex evaluates all machines that may be better than the best plan so far, assuming that work below the given
// rank can be stopped.
func (s *preemptionSearch) walkIndex(belowRank int) {
	evaluated := s.cycle.params.fleet.index.Walk(s.allowed, func(b *capacity.Bounds) bool {
		minCost, possible := b.MinCost(s.need, belowRank, s.image)
		return !possible || !s.mayImprove(minCost, b.FirstName)
	}, s.evaluate)
	s.cycle.evaluationsLeft -= max(1, evaluated)
}

// mayImprove reports whether the given cost, on the named machine or a later one by name, may be better than the best
// plan so far.
func (s *preemptionSearch) mayImprove(cost capacity.Cost, name string) bool {
	if s.best == nil || cost.Less(s.best.cost) {
		return true
	}
	return cost == s.best.cost && name < s.best.machine.machine.name
}

// evaluateIfAllowed evaluates a machine if a task of the job may run on it.
func (s *preemptionSearch) evaluateIfAllowed(m *machine) {
	s.cycle.evaluationsLeft--
	if m.schedulable != nil && s.allowed(m.group()) {
		s.evaluate(m.schedulable)
	}
}

// evaluate determines which placements would have to stop on a machine, and keeps the plan if it is the best so far.
func (s *preemptionSearch) evaluate(target *schedulableMachine) {
	if s.cycle.state.avoidsMachine(s.job, target.machine) {
		return
	}
	stops, possible := s.cycle.preemptionSet(s.job, target, s.rule.mayStop)
	if !possible {
		return
	}
	if cost := preemptionCost(stops, target, s.job); s.mayImprove(cost, target.machine.name) {
		s.best = &preemptionPlan{target, stops, cost}
	}
}

// stopModeFor returns how a placement is stopped for a job. Idle-priority work is stopped at once for a service,
// without another checkpoint, since it loses at most the work since its last checkpoint.
func stopModeFor(j *job, p *placement) stopMode {
	if p.job.isIdlePriority() && !j.isArray() {
		return stopImmediate
	}
	return stopAfterCheckpoint
}

// preemptionCost returns the cost of preemption on a machine. The number of stopped instances counts first, then the
// state of the image on the machine, then the number of stopped idle-priority instances.
func preemptionCost(stops []*placement, target *schedulableMachine, j *job) capacity.Cost {
	cost := capacity.Cost{ImageState: target.machine.images.stateOf(j.spec.Image)}
	for _, p := range stops {
		if p.job.isIdlePriority() {
			cost.IdleStops++
		} else {
			cost.Stops++
		}
	}
	return cost
}

// preemptionSet returns the instances to stop on a machine so that a task of j fits, those of the most fulfilled jobs
// first. It returns false if stopping all permitted instances would not free enough.
func (cycle *schedulingCycle) preemptionSet(j *job, target *schedulableMachine, mayStop func(*job, *placement) bool) ([]*placement, bool) {
	need := resource.OfTask(j.spec)
	if target.freeAfterStops.Covers(need) {
		return nil, true
	}
	// Check the sum of all permitted instances first: it is cheaper, and on most machines it is not enough.
	maxFree := target.freeAfterStops
	for _, p := range target.machine.placementsInOrder {
		if mayStop(j, p) {
			maxFree.Add(resource.OfTask(p.job.spec))
		}
	}
	cycle.evaluationsLeft -= len(target.machine.placementsInOrder) / checksPerEvaluation
	if !maxFree.Covers(need) {
		return nil, false
	}
	var candidates []*placement
	var instances []scheduling.PreemptibleInstance[*job]
	for _, p := range target.machine.placementsInOrder {
		if mayStop(j, p) {
			candidates = append(candidates, p)
			instances = append(instances, scheduling.PreemptibleInstance[*job]{
				Job:          p.job,
				JobInstances: p.job.instances(),
				Task:         resource.OfTask(p.job.spec),
			})
		}
	}
	cycle.evaluationsLeft -= evaluationsPerVictim * len(candidates)
	victims, possible := scheduling.SelectVictims(need, target.freeAfterStops, instances)
	stops := make([]*placement, len(victims))
	for i, victim := range victims {
		stops[i] = candidates[victim]
	}
	return stops, possible
}

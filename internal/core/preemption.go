package core

import (
	"bitternwing/internal/capacity"
	"bitternwing/internal/resource"
	"bitternwing/internal/scheduling"
)

// preemptFor preempts instances for tasks of a job, on the machines where the fewest have to be stopped, and of the most
// fulfilled jobs above their minimum. The resources it counts on are reserved in this cycle, and each cycle works that out
// anew, so an instance that is stopping already is not replaced by another one. It tells whether all the tasks have, or
// will have, a machine. With idleOnly, only idle-priority work is preempted.
func (cycle *schedulingCycle) preemptFor(j *job, need int, idleOnly bool) bool {
	request, plain := preemptionRequestOf(j, idleOnly)
	if plain && cycle.hopelessPreemptions[request] {
		return false
	}
	rule := cycle.preemptionRule(j, idleOnly)
	for range need {
		best := cycle.cheapestPreemption(j, &rule)
		if best == nil {
			if plain {
				cycle.hopelessPreemptions[request] = true
			}
			return false
		}
		cycle.preempt(j, best)
	}
	return true
}

// preemptionPlan is a machine that will have the resources for a task, and what has to be stopped for that.
type preemptionPlan struct {
	machine *schedulableMachine
	stops   []*placement
	cost    capacity.Cost
}

// preempt stops what a plan names, and reserves the resources for a task of a job.
func (cycle *schedulingCycle) preempt(j *job, c *preemptionPlan) {
	target := c.machine
	for _, p := range c.stops {
		p.requestStop(stopModeFor(j, p), stopPreempted)
		cycle.state.dispatch(p.machine)
		if p.phase < phaseSent {
			cycle.state.endPlacement(p)
			target.free.Add(resource.OfTask(p.job.spec))
			cycle.capacityGrew()
		}
		target.freeAfterStops.Add(resource.OfTask(p.job.spec))
		cycle.state.logPreempted(p, j)
	}
	target.freeAfterStops.Subtract(resource.OfTask(j.spec))
	// What is free there already is reserved too, as far as the task needs it.
	target.free = target.free.CappedBy(target.freeAfterStops)
	target.machine.capacityChanged = true // the reservation is for this cycle only
	cycle.state.updateCapacityIndex(target)
}

// capacityGrew notes that requests that failed in this cycle may succeed now.
func (cycle *schedulingCycle) capacityGrew() {
	clear(cycle.exhaustedRequests)
	clear(cycle.hopelessPreemptions)
}

// cheapestPreemption finds the machine on which preemption for a job's next task costs the least, and of these the first by
// name; nil if there is none.
func (cycle *schedulingCycle) cheapestPreemption(j *job, rule *preemptionRule) *preemptionPlan {
	s := &preemptionSearch{
		cycle:   cycle,
		job:     j,
		rule:    rule,
		need:    resource.OfTask(j.spec),
		image:   capacity.BitOf(j.spec.Image),
		allowed: j.groupRules(),
	}
	if len(rule.candidates) > 0 {
		// Few jobs can be shrunk: only the machines of their tasks come into question, and those that will have the
		// resources without preemption.
		for _, victim := range rule.candidates {
			for _, p := range victim.placements {
				s.consider(p.machine)
			}
		}
		s.walk(0)
	} else {
		s.walk(rule.belowRank)
	}
	return s.best
}

// preemptionSearch is a search for the machine on which preemption costs the least.
type preemptionSearch struct {
	cycle   *schedulingCycle
	job     *job
	rule    *preemptionRule
	need    resource.Amount
	image   capacity.ImageBit
	allowed func(capacity.Group) bool
	best    *preemptionPlan
}

// walk evaluates all machines that may be better than the best so far, if work below a rank can be stopped.
func (s *preemptionSearch) walk(below int) {
	evaluated := s.cycle.params.fleet.index.Walk(s.allowed, func(b *capacity.Bounds) bool {
		least, possible := b.MinCost(s.need, below, s.image)
		return !possible || !s.better(least, b.FirstName)
	}, s.evaluate)
	s.cycle.evaluations -= max(1, evaluated)
}

// better tells whether a cost on a machine, or on one that comes after it by name, may be better than the best.
func (s *preemptionSearch) better(cost capacity.Cost, name string) bool {
	if s.best == nil || cost.Less(s.best.cost) {
		return true
	}
	return cost == s.best.cost && name < s.best.machine.machine.name
}

// consider evaluates a machine if a task of the job may run there.
func (s *preemptionSearch) consider(m *machine) {
	s.cycle.evaluations--
	if m.schedulable != nil && s.allowed(m.group()) {
		s.evaluate(m.schedulable)
	}
}

// evaluate works out what has to stop on a machine.
func (s *preemptionSearch) evaluate(target *schedulableMachine) {
	if s.cycle.state.avoidsMachine(s.job, target.machine) {
		return
	}
	stops, possible := s.cycle.preemptionSet(s.job, target, s.rule.mayStop)
	if !possible {
		return
	}
	if cost := costOf(stops, target, s.job); s.better(cost, target.machine.name) {
		s.best = &preemptionPlan{target, stops, cost}
	}
}

// stopModeFor tells how a placement is stopped for a job. A service is not made to wait for one more checkpoint of
// idle-priority work, which loses at most what it did since the last one.
func stopModeFor(j *job, p *placement) stopMode {
	if p.job.isIdlePriority() && !j.isArray() {
		return stopImmediate
	}
	return stopAfterCheckpoint
}

// costOf gives what preemption on a machine costs: instances that are stopped, then the state of the job's image there, then
// instances of idle priority that are stopped.
func costOf(stops []*placement, target *schedulableMachine, j *job) capacity.Cost {
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

// preemptionSet gives the instances to stop on a machine so that a task of j fits, the most fulfilled job's first; false
// if all that may be stopped would not be enough.
func (cycle *schedulingCycle) preemptionSet(j *job, target *schedulableMachine, mayStop func(*job, *placement) bool) ([]*placement, bool) {
	need := resource.OfTask(j.spec)
	if target.freeAfterStops.Covers(need) {
		return nil, true
	}
	// Mostly all that may be stopped there would not be enough; that is the cheaper question.
	freeAtMost := target.freeAfterStops
	for _, p := range target.machine.placementsInOrder {
		if mayStop(j, p) {
			freeAtMost.Add(resource.OfTask(p.job.spec))
		}
	}
	cycle.evaluations -= len(target.machine.placementsInOrder) / checksPerEvaluation
	if !freeAtMost.Covers(need) {
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
	cycle.evaluations -= evaluationsPerVictim * len(candidates)
	victims, possible := scheduling.SelectVictims(need, target.freeAfterStops, instances)
	stops := make([]*placement, len(victims))
	for i, victim := range victims {
		stops[i] = candidates[victim]
	}
	return stops, possible
}

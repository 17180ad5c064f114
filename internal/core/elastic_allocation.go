package core

import (
	"sort"

	"bitternwing/internal/resource"
	"bitternwing/internal/scheduling"
)

// allocateElastic allocates free resources to arrays. Idle-priority work comes last: it takes what all else leaves, and
// is preempted for what found no machine.
func (cycle *schedulingCycle) allocateElastic() {
	var regular, idle []*job
	for _, j := range cycle.state.jobsToRun() {
		switch {
		case !j.isArray() || !cycle.schedulable(j) || j.unplaced() == 0:
		case j.isIdlePriority():
			idle = append(idle, j)
		default:
			regular = append(regular, j)
		}
	}
	cycle.allocateForDeadlines(regular)
	for _, candidate := range cycle.allocateByFulfillment(regular) {
		cycle.preemptIdleFor(candidate)
	}
	cycle.allocateForDeadlines(idle)
	cycle.allocateByFulfillment(idle)
}

// allocateForDeadlines allocates free resources to arrays that would miss their deadline or their class's objective
// without them, those with the earliest latest start first. It is an exception to the order of fulfillment: with equal
// shares all arrays that compete would end at about the same, late time; one after the other, most are in time. It
// preempts nobody.
func (cycle *schedulingCycle) allocateForDeadlines(jobs []*job) {
	var late []*job
	for _, j := range jobs {
		if j.activeInstances() < cycle.requiredInstances(j) {
			late = append(late, j)
		}
	}
	sort.SliceStable(late, func(a, b int) bool {
		x, y := late[a], late[b]
		if x.withinGuarantee != y.withinGuarantee {
			return x.withinGuarantee
		}
		return x.latestStart() < y.latestStart()
	})
	for _, j := range late {
		cycle.allocate(j, cycle.requiredInstances(j)-j.activeInstances())
	}
}

// allocate allocates up to so many instances to a job, as long as there are resources and its team's limit allows it.
func (cycle *schedulingCycle) allocate(j *job, instances int) {
	for from := 0; instances > 0 && cycle.hasBudget() && cycle.withinLimit(j, 1); instances-- {
		task := cycle.state.nextTask(j, from)
		if task < 0 {
			return
		}
		m := cycle.findMachine(j)
		if m == nil {
			return
		}
		cycle.place(j, task, m)
		cycle.state.persist(j, task)
		from = task + 1
	}
}

// requiredInstances is how many instances of an array have to run now for its deadline or its class's objective, as far
// as its owner's estimate tells. The jobs after one on which a pipeline's deadline depends have no time to spare, so it
// needs all of its instances; without a deadline or objective the minimum will do.
func (cycle *schedulingCycle) requiredInstances(j *job) int {
	if j.elastic() && j.hasDeadline() {
		return j.maxInstances()
	}
	if !j.elastic() || j.spec.EstimatedRunS <= 0 {
		return j.minInstances()
	}
	ageS := float64(cycle.params.wallMS-j.queuedMS) / 1000
	required, possible := scheduling.InstancesForObjective(cycle.params.objectives, j.spec.Class, ageS, j.spec.EstimatedRunS, j.unfinished())
	if !possible {
		return j.minInstances()
	}
	return required
}

// allocateByFulfillment allocates free resources, one instance at a time, to the least fulfilled job below 1.0. A job
// that finds no machine for its next instance, or has reached its team's limit, drops out of this cycle. It returns the
// candidates that found no machine.
func (cycle *schedulingCycle) allocateByFulfillment(jobs []*job) []*scheduling.Candidate[*job] {
	var candidates, lacking []*scheduling.Candidate[*job]
	for _, j := range jobs {
		if j.unplaced() > 0 {
			candidates = append(candidates, &scheduling.Candidate[*job]{
				Job:       j,
				Instances: j.instances(),
				Task:      resource.OfTask(j.spec),
				Position:  j.position(),
			})
		}
	}
	queue := scheduling.NewFulfillmentQueue(candidates)
	for queue.Len() > 0 && cycle.hasBudget() {
		candidate := queue.LeastFulfilled()
		j := candidate.Job
		task := cycle.state.nextTask(j, candidate.NextTask)
		if task < 0 || candidate.Instances.Current >= candidate.Instances.Max || !cycle.withinLimit(j, 1) {
			queue.RemoveLeastFulfilled()
			continue
		}
		m := cycle.findMachine(j)
		if m == nil {
			lacking = append(lacking, candidate)
			queue.RemoveLeastFulfilled()
			continue
		}
		cycle.place(j, task, m)
		cycle.state.persist(j, task)
		queue.RecordAllocation(task)
	}
	return lacking
}

// preemptIdleFor preempts idle-priority work above its minimum for an array's further instances. It is an exception to
// the design, by which only minimums preempt: work that is to run when nobody else wants the machines must not keep them
// from anybody, and its tasks can hold all the CPUs of a fleet whose GPUs are free.
func (cycle *schedulingCycle) preemptIdleFor(candidate *scheduling.Candidate[*job]) {
	j := candidate.Job
	missing := candidate.Instances.Max - candidate.Instances.Current
	for missing > 0 && cycle.hasBudget() && cycle.withinLimit(j, 1) && cycle.preemptFor(j, 1, true) {
		cycle.countUsage(j, 1) // as good as placed: its team's limit holds for the next instance
		missing--
	}
}

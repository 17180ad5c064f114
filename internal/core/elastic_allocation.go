package core

import (
	"sort"

	"bitternwing/internal/resource"
	"bitternwing/internal/scheduling"
)

// allocateElastic allocates free resources to arrays. Idle-priority arrays come last: they get the remaining resources,
// and are preempted for other arrays that found no machine.
func (cycle *schedulingCycle) allocateElastic() {
	var regular, idle []*job
	for _, j := range cycle.state.queuedJobs() {
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

// allocateForDeadlines allocates free resources to arrays that would otherwise miss their deadline or the objective of
// their class, in the order of their latest start. It takes precedence over the order of fulfillment: with equal
// shares, all competing arrays would end at about the same time and late; one after another, most end in time. It
// preempts no tasks.
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

// allocate allocates up to the given number of instances to a job, as long as there are free resources and the team's
// limit permits.
func (cycle *schedulingCycle) allocate(j *job, instances int) {
	for nextTask := 0; instances > 0 && cycle.hasBudget() && cycle.withinLimit(j, 1); instances-- {
		task := cycle.nextTask(j, nextTask)
		if task < 0 {
			return
		}
		m := cycle.findMachine(j)
		if m == nil {
			return
		}
		cycle.place(j, task, m)
		cycle.state.persist(j, task)
		nextTask = task + 1
	}
}

// requiredInstances returns the number of instances that an array needs now to meet its deadline or the objective of
// its class, according to its owner's estimate. A job that a pipeline's deadline depends on needs all instances, since
// the jobs after it have no slack. Without a deadline or an objective, the minimum is enough.
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

// allocateByFulfillment allocates free resources, one instance at a time, to the least fulfilled job with a score below
// 1.0. A job that finds no machine for its next instance, or has reached its team's limit, is not considered further in
// this cycle. It returns the candidates that found no machine.
func (cycle *schedulingCycle) allocateByFulfillment(jobs []*job) []*scheduling.Candidate[*job] {
	var candidates, withoutMachine []*scheduling.Candidate[*job]
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
		task := cycle.nextTask(j, candidate.NextTask)
		if task < 0 || candidate.Instances.Current >= candidate.Instances.Max || !cycle.withinLimit(j, 1) {
			queue.RemoveLeastFulfilled()
			continue
		}
		m := cycle.findMachine(j)
		if m == nil {
			withoutMachine = append(withoutMachine, candidate)
			queue.RemoveLeastFulfilled()
			continue
		}
		cycle.place(j, task, m)
		cycle.state.persist(j, task)
		queue.RecordAllocation(task)
	}
	return withoutMachine
}

// preemptIdleFor preempts idle-priority work for the instances of an array above its minimum. Otherwise only minimums
// preempt. Idle-priority work is the exception, since it must not keep resources from any other job, and its tasks
// could occupy all CPUs of a fleet whose GPUs are free.
func (cycle *schedulingCycle) preemptIdleFor(candidate *scheduling.Candidate[*job]) {
	j := candidate.Job
	missing := candidate.Instances.Max - candidate.Instances.Current
	for missing > 0 && cycle.hasBudget() && cycle.withinLimit(j, 1) && cycle.preemptFor(j, 1, true) {
		cycle.addUsage(j, 1) // counted as placed, so that the team's limit applies to the next instance
		missing--
	}
}

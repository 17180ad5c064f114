package core

import (
	"sort"

	"bitternwing/internal/resource"
	"bitternwing/internal/scheduling"
)

// markWithinGuarantee finds the jobs that fit into their team's guarantee together with the team's older unfinished
// jobs.
func (cycle *schedulingCycle) markWithinGuarantee() {
	claimed := scheduling.TeamUsage{}
	for _, j := range cycle.state.jobsToRun() {
		j.withinGuarantee = false
		if j.cancelled || j.team == nil {
			continue
		}
		claimed.Add(j.spec.Team, resource.OfTask(j.spec), j.unfinished())
		j.withinGuarantee = !claimed.ExceedsGuarantee(j.team)
	}
}

// placeMinimums places the tasks of jobs that lack their minimum: services that are not complete, and arrays without a
// task. Where no machine has the resources, the most fulfilled jobs are preempted. It returns the job at which the
// budget ran out, where the next cycle goes on: so each job has its turn, and arrays are allocated free resources only
// after all services had theirs.
func (cycle *schedulingCycle) placeMinimums() *job {
	resumeFrom := cycle.params.resumeFrom
	var stopped *job
	for _, j := range cycle.lackingMinimum() {
		need := j.missingForMinimum()
		switch {
		case !cycle.withinLimit(j, need):
			continue
		case resumeFrom != nil && j.urgency().Before(resumeFrom.urgency()):
			// It had its turn in the last cycle; machines for it are still to be requested.
		case !cycle.hasBudget():
			if stopped == nil {
				stopped = j
			}
			continue
		case cycle.placeAllOrNone(j, need):
			continue
		default:
			cycle.preemptFor(j, need, false)
		}
		cycle.unmetDemand = append(cycle.unmetDemand, unmetDemand{j, need})
	}
	return stopped
}

// lackingMinimum gives the jobs that lack their minimum, the most urgent first.
func (cycle *schedulingCycle) lackingMinimum() []*job {
	var lacking []*job
	for _, j := range cycle.state.jobsToRun() {
		if !cycle.schedulable(j) || j.unplaced() == 0 {
			continue
		}
		if !j.isArray() || j.activeInstances() < j.minInstances() {
			lacking = append(lacking, j)
		}
	}
	sort.SliceStable(lacking, func(a, b int) bool { return lacking[a].urgency().Before(lacking[b].urgency()) })
	return lacking
}

// missingForMinimum is how many tasks have to be placed at once: all of a service, and one of an array.
func (j *job) missingForMinimum() int {
	if j.isArray() {
		return 1
	}
	return j.unplaced()
}

// placeAllOrNone places the next tasks of a job, all of them or none.
func (cycle *schedulingCycle) placeAllOrNone(j *job, need int) bool {
	var placed []*placement
	from := 0
	for len(placed) < need {
		task := cycle.state.nextTask(j, from)
		if task < 0 {
			break
		}
		m := cycle.findMachine(j)
		if m == nil {
			for i := len(placed) - 1; i >= 0; i-- {
				cycle.revertPlacement(placed[i])
			}
			return false
		}
		placed = append(placed, cycle.place(j, task, m))
		from = task + 1
	}
	for _, p := range placed {
		cycle.state.persist(j, p.task)
	}
	return true
}

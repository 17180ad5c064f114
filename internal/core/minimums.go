package core

import (
	"sort"

	"bitternwing/internal/resource"
	"bitternwing/internal/scheduling"
)

// markWithinGuarantee marks the jobs that fit into their team's guarantee together with the team's older unfinished
// jobs.
func (cycle *schedulingCycle) markWithinGuarantee() {
	claimed := scheduling.TeamUsage{}
	for _, j := range cycle.state.queuedJobs() {
		j.withinGuarantee = false
		if j.cancelled || j.team == nil {
			continue
		}
		claimed.Add(j.spec.Team, resource.OfTask(j.spec), j.unfinished())
		j.withinGuarantee = !claimed.ExceedsGuarantee(j.team)
	}
}

// placeMinimums places the tasks of jobs below their minimum: incomplete services, and arrays without a task. If no
// machine has the resources, it preempts the most fulfilled jobs. It returns the job at which the budget ran out, from
// which the next cycle continues; nil if all jobs were considered. So every job is considered in turn, and arrays get
// free resources only after all services were considered.
func (cycle *schedulingCycle) placeMinimums() *job {
	resumeFrom := cycle.params.resumeFrom
	var resumeAt *job
	for _, j := range cycle.jobsBelowMinimum() {
		cycle.work.JobsBelowMinimum++
		need := j.missingForMinimum()
		switch {
		case !cycle.withinLimit(j, need):
			continue
		case resumeFrom != nil && j.urgency().Before(resumeFrom.urgency()):
			// The job was considered in the last cycle. Its demand still counts for scale-out.
		case !cycle.hasBudget():
			if resumeAt == nil {
				resumeAt = j
			}
			continue
		default:
			switch cycle.placeMinimum(j, need) {
			case placedAll:
				continue
			case placedSome:
				resumeAt = j
				continue
			case placedNone:
				if cycle.fleetMayHold(j) {
					cycle.preemptFor(j, need, false)
				}
			}
		}
		cycle.unmetDemand = append(cycle.unmetDemand, unmetDemand{j, need})
	}
	return resumeAt
}

// jobsBelowMinimum returns the jobs below their minimum, the most urgent first.
func (cycle *schedulingCycle) jobsBelowMinimum() []*job {
	var jobs []*job
	for _, j := range cycle.state.queuedJobs() {
		if !cycle.schedulable(j) || j.unplaced() == 0 {
			continue
		}
		if !j.isArray() || j.activeInstances() < j.minInstances() {
			jobs = append(jobs, j)
		}
	}
	sort.SliceStable(jobs, func(a, b int) bool { return jobs[a].urgency().Before(jobs[b].urgency()) })
	return jobs
}

// missingForMinimum returns the number of tasks that have to be placed together: all unplaced tasks of a service, and
// one of an array.
func (j *job) missingForMinimum() int {
	if j.isArray() {
		return 1
	}
	return j.unplaced()
}

// placementResult is how far the placement of tasks that belong together got.
type placementResult int

const (
	placedNone placementResult = iota // there is no room for all of them
	placedAll
	placedSome // the cycle may not continue; the next one goes on with the others
)

// placeMinimum places the next tasks of a job if there is room for all of them. If the cycle may not continue, the
// tasks placed so far remain, and the next cycle begins with the others.
func (cycle *schedulingCycle) placeMinimum(j *job, need int) placementResult {
	if !cycle.findRoom(j, need) {
		return placedNone
	}
	var placed []*placement
	nextTask := 0
	for len(placed) < need {
		if len(placed) > 0 && !cycle.mayContinue() {
			cycle.persist(placed)
			return placedSome
		}
		task := cycle.nextTask(j, nextTask)
		if task < 0 {
			break
		}
		m := cycle.findMachine(j)
		if m == nil {
			for i := len(placed) - 1; i >= 0; i-- {
				cycle.revertPlacement(placed[i])
			}
			return placedNone
		}
		placed = append(placed, cycle.place(j, task, m))
		nextTask = task + 1
	}
	cycle.persist(placed)
	return placedAll
}

// persist schedules the records of tasks to be written.
func (cycle *schedulingCycle) persist(placed []*placement) {
	for _, p := range placed {
		cycle.state.persist(p.job, p.task)
	}
}

// nextTask returns the lowest task number, not below from, that is neither done nor placed; -1 if there is none. The
// tasks that it passes over are charged to the budget.
func (cycle *schedulingCycle) nextTask(j *job, from int) int {
	from = max(from, j.nextUnplaced)
	task := cycle.state.nextTask(j, from)
	end := task
	if task < 0 {
		end = j.spec.Tasks
	}
	cycle.evaluationsLeft -= max(0, end-from) / checksPerEvaluation
	return task
}

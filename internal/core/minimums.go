package core

import (
	"sort"

	"bitternwing/internal/resource"
	"bitternwing/internal/scheduling"
)

// markWithinGuarantee finds the jobs that fit into their team's guarantee together with the team's older unfinished
// jobs.
func (l *leader) markWithinGuarantee() {
	claimed := scheduling.TeamUsage{}
	for _, j := range l.queue {
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
func (r *schedulingCycle) placeMinimums() *job {
	resumeFrom := r.leader.cycles.resumeFrom
	var stopped *job
	for _, j := range r.lackingMinimum() {
		need := j.missingForMinimum()
		switch {
		case !r.withinLimit(j, need):
			continue
		case resumeFrom != nil && j.urgency().Before(resumeFrom.urgency()):
			// It had its turn in the last cycle; machines for it are still to be requested.
		case !r.hasBudget():
			if stopped == nil {
				stopped = j
			}
			continue
		case r.placeAllOrNone(j, need):
			continue
		default:
			r.preemptFor(j, need, false)
		}
		r.unmetDemand = append(r.unmetDemand, unmetDemand{j, need})
	}
	return stopped
}

// lackingMinimum gives the jobs that lack their minimum, the most urgent first.
func (r *schedulingCycle) lackingMinimum() []*job {
	var lacking []*job
	for _, j := range r.leader.queue {
		if !r.schedulable(j) || j.unplaced() == 0 {
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
func (r *schedulingCycle) placeAllOrNone(j *job, need int) bool {
	l := r.leader
	var placed []*placement
	from := 0
	for len(placed) < need {
		task := l.nextTask(j, from)
		if task < 0 {
			break
		}
		m := r.findMachine(j)
		if m == nil {
			for i := len(placed) - 1; i >= 0; i-- {
				r.revertPlacement(placed[i])
			}
			return false
		}
		placed = append(placed, r.place(j, task, m))
		from = task + 1
	}
	for _, p := range placed {
		l.markDirty(l.chunkOf(j, p.task))
	}
	return true
}

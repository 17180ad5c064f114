package core

import (
	"bitternwing/internal/dependency"
	"bitternwing/internal/resource"
	"bitternwing/internal/scheduling"
	"bitternwing/internal/wire"
)

// This file adapts jobs to the policy of package scheduling.
//
// An array is elastic: it has at least one task and at most its unfinished tasks as instances. The size of a service is
// fixed, and an array with a single unfinished task has equal bounds, so neither has a fulfillment score.

func (j *job) minInstances() int { return min(1, j.unfinished()) }
func (j *job) maxInstances() int { return j.unfinished() }

// activeInstances returns the number of instances that are not being stopped. An instance that is being stopped does
// not count, although its resources are still in use.
func (j *job) activeInstances() int { return len(j.placements) - j.stopping }

// instances returns the number of active instances with its bounds.
func (j *job) instances() scheduling.Instances {
	return scheduling.Instances{Current: j.activeInstances(), Min: j.minInstances(), Max: j.maxInstances()}
}

func (j *job) elastic() bool {
	return j.isArray() && !j.cancelled && j.instances().Elastic()
}

// shrinkable reports whether a job is elastic and above its minimum.
func (j *job) shrinkable() bool { return j.elastic() && j.activeInstances() > j.minInstances() }

// priority returns the rank of a job, which is raised to the highest priority among its dependents.
func priority(j *job) int { return j.rank }

// isIdlePriority reports whether a job runs only on resources that no other job needs.
func (j *job) isIdlePriority() bool { return priority(j) == wire.PriorityIdle.Rank() }

// hasDeadline reports whether the deadline of a pipeline depends on a job.
func (j *job) hasDeadline() bool { return j.latestEndMS != dependency.NoDeadline }

// latestStart returns the Unix time in milliseconds by which a job has to start to meet the deadlines that depend on
// it, according to its owner's estimate of its run time.
func (j *job) latestStart() int64 {
	if !j.hasDeadline() {
		return j.latestEndMS
	}
	return j.latestEndMS - milliseconds(j.spec.EstimatedRunS)
}

// position returns the position of a job in the queue: jobs are ordered by the start of their waiting time, then by ID.
func (j *job) position() scheduling.QueuePosition {
	return scheduling.QueuePosition{QueuedMS: j.queuedMS, ID: j.id}
}

func (j *job) queuedBefore(k *job) bool { return j.position().Before(k.position()) }

// urgency returns the attributes that order the jobs below their minimum.
func (j *job) urgency() scheduling.Urgency {
	return scheduling.Urgency{
		WithinGuarantee: j.withinGuarantee,
		Priority:        priority(j),
		LatestStartMS:   j.latestStart(),
		Position:        j.position(),
	}
}

// preemptionCriteria returns the attributes that decide which jobs a job may preempt and which may preempt it.
func (j *job) preemptionCriteria() scheduling.PreemptionCriteria {
	return scheduling.PreemptionCriteria{Team: j.team, Priority: priority(j), WithinGuarantee: j.withinGuarantee}
}

// addUsage adds a number of tasks of a job to the usage of its team; a negative number is subtracted.
func (cycle *schedulingCycle) addUsage(j *job, tasks int) {
	cycle.usage.Add(j.spec.Team, resource.OfTask(j.spec), tasks)
}

// withinLimit reports whether the team of a job stays within its limit with the given number of additional tasks.
func (cycle *schedulingCycle) withinLimit(j *job, tasks int) bool {
	return cycle.usage.WithinLimit(j.team, resource.OfTask(j.spec), tasks)
}

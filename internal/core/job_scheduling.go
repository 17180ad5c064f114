package core

import (
	"bitternwing/internal/dependency"
	"bitternwing/internal/resource"
	"bitternwing/internal/scheduling"
	"bitternwing/internal/wire"
)

// This file is what the policy of package scheduling needs to know of a job.
//
// An array is elastic: its bounds are one task and its unfinished tasks. A service has a fixed size, and an array with a
// single unfinished task has equal bounds: neither has a fulfillment score.

func (j *job) minInstances() int { return min(1, j.unfinished()) }
func (j *job) maxInstances() int { return j.unfinished() }

// activeInstances counts the instances that are not stopping. A stopping one does not count, although its resources are not
// free yet.
func (j *job) activeInstances() int { return len(j.placements) - j.stopping }

// instances gives the number of instances with its bounds.
func (j *job) instances() scheduling.Instances {
	return scheduling.Instances{Current: j.activeInstances(), Min: j.minInstances(), Max: j.maxInstances()}
}

func (j *job) elastic() bool {
	return j.isArray() && !j.cancelled && j.instances().Elastic()
}

// shrinkable tells whether a job is elastic and above its minimum.
func (j *job) shrinkable() bool { return j.elastic() && j.activeInstances() > j.minInstances() }

// priority gives a job's rank; jobs that depend on it lend it theirs.
func priority(j *job) int { return j.rank }

// isIdlePriority tells whether a job is to run only on what nobody else wants.
func (j *job) isIdlePriority() bool { return priority(j) == wire.PriorityIdle.Rank() }

// hasDeadline tells whether a pipeline's deadline depends on a job.
func (j *job) hasDeadline() bool { return j.latestEndMS != dependency.Never }

// latestStart is the Unix time in milliseconds at which a job has to start for the deadlines that depend on it, as far
// as its owner's estimate tells.
func (j *job) latestStart() int64 {
	if !j.hasDeadline() {
		return j.latestEndMS
	}
	return j.latestEndMS - milliseconds(j.spec.EstimatedRunS)
}

// position is a job's place in the order of submission.
func (j *job) position() scheduling.QueuePosition {
	return scheduling.QueuePosition{QueuedMS: j.queuedMS, ID: j.id}
}

func (j *job) queuedBefore(k *job) bool { return j.position().Before(k.position()) }

// urgency is what the turn of a job that lacks its minimum depends on.
func (j *job) urgency() scheduling.Urgency {
	return scheduling.Urgency{
		WithinGuarantee: j.withinGuarantee,
		Priority:        priority(j),
		LatestStartMS:   j.latestStart(),
		Position:        j.position(),
	}
}

// claim is what decides whom a job may preempt, and who may preempt it.
func (j *job) claim() scheduling.PreemptionCriteria {
	return scheduling.PreemptionCriteria{Team: j.team, Priority: priority(j), WithinGuarantee: j.withinGuarantee}
}

// countUsage counts so many more tasks of a job as used by its team.
func (cycle *schedulingCycle) countUsage(j *job, tasks int) {
	cycle.usage.Add(j.spec.Team, resource.OfTask(j.spec), tasks)
}

// withinLimit tells whether a job's team stays within its limit with so many more tasks.
func (cycle *schedulingCycle) withinLimit(j *job, tasks int) bool {
	return cycle.usage.WithinLimit(j.team, resource.OfTask(j.spec), tasks)
}

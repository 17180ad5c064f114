package core

import (
	"maps"
	"slices"

	"bitternwing/internal/rollout"
	"bitternwing/internal/wire"
)

// planMatchesJob reports whether a plan controls a job: the job has to be a service of the plan's team. A plan names
// the IDs of its new jobs before they are submitted, so a job of another team may have such an ID.
func planMatchesJob(plan *rollout.Plan, spec *wire.Job) bool {
	return spec.Team == plan.Team && spec.Kind == wire.KindService
}

// planHolds reports whether a plan holds a job back, so that it may not be started.
func (l *leader) planHolds(id string, spec *wire.Job) bool {
	records := make([]*rollout.Record, 0, 2)
	if current := l.core.cache.PlanForJob(id); current != nil {
		records = append(records, current.Record)
	}
	for _, uncommitted := range l.rollouts.uncommitted {
		records = append(records, uncommitted)
	}
	return slices.ContainsFunc(records, func(r *rollout.Record) bool {
		return r != nil && planMatchesJob(&r.Plan, spec) && r.BlocksStart(id)
	})
}

// refreshHoldsOf updates which of the given jobs are held back.
func (l *leader) refreshHoldsOf(ids []string) {
	for _, id := range ids {
		if j := l.jobs[id]; j != nil {
			l.refreshHold(j)
		}
	}
}

// refreshHolds updates which of all jobs are held back.
func (l *leader) refreshHolds() {
	if l.recovered {
		l.refreshHoldsOf(slices.Sorted(maps.Keys(l.jobs)))
	}
}

// refreshHold updates whether a job is held back. A job that is now held is removed from the queue unless some of its
// tasks are placed. A job that is no longer held is queued, and its waiting time counts from then.
func (l *leader) refreshHold(j *job) {
	held := l.planHolds(j.id, j.spec)
	if held == j.heldByRollout {
		return
	}
	j.heldByRollout = held
	if held {
		if len(j.placements) == 0 {
			l.dequeue(j)
		}
		return
	}
	if !j.waitingForDependencies && !j.queued {
		j.queuedMS = max(j.queuedMS, l.core.now.WallMS)
		l.enqueue(j)
	}
	l.requestCycle()
}

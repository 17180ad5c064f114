package core

import (
	"maps"
	"slices"

	"bitternwing/internal/rollout"
	"bitternwing/internal/wire"
)

// planMatchesJob tells whether a plan may decide about a job: it is a service of the plan's team. An ID that somebody else
// has taken is not the plan's.
func planMatchesJob(plan *rollout.Plan, spec *wire.Job) bool {
	return spec.Team == plan.Team && spec.Kind == wire.KindService
}

// planHolds tells whether a job may not be started because of a plan.
func (l *leader) planHolds(id string, spec *wire.Job) bool {
	records := make([]*rollout.Record, 0, 2)
	if current := l.core.cache.PlanHolding(id); current != nil {
		records = append(records, current.Record)
	}
	for _, uncommitted := range l.rollouts.uncommitted {
		records = append(records, uncommitted)
	}
	return slices.ContainsFunc(records, func(r *rollout.Record) bool {
		return r != nil && planMatchesJob(&r.Plan, spec) && r.BlocksStart(id)
	})
}

// refreshHoldsOf updates which of some jobs are held.
func (l *leader) refreshHoldsOf(ids []string) {
	for _, id := range ids {
		if j := l.jobs[id]; j != nil {
			l.refreshHold(j)
		}
	}
}

// refreshHolds updates which jobs are held.
func (l *leader) refreshHolds() {
	if l.recovered {
		l.refreshHoldsOf(slices.Sorted(maps.Keys(l.jobs)))
	}
}

// refreshHold removes a job that is held from the queue, unless some of it was placed, and queues one that is no longer held.
// Its wait counts from then.
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

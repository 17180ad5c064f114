package core

import (
	"encoding/json"

	"bitternwing/internal/election"
	"bitternwing/internal/outcome"
	"bitternwing/internal/rollout"
	"bitternwing/internal/stored"
	"bitternwing/internal/watchcache"
	"bitternwing/internal/wire"
)

// conditionalTxn returns a compare-and-swap of a key on its version, fenced by the leader's term.
func (l *leader) conditionalTxn(key string, version uint64, op wire.Op) wire.Txn {
	return wire.Txn{If: []wire.Condition{l.termCondition(), {Key: key, Version: version}}, Then: []wire.Op{op}}
}

// commitPlan writes a plan's next record, and calls onResult with the result. The record takes effect once the write is
// known to have succeeded.
func (l *leader) commitPlan(active *activeRollout, current *watchcache.Plan, next *rollout.Record, onResult func(Result)) {
	c := l.core
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	active.writeInFlight = true
	active.markDropped(current.Record, next)
	l.writer.spend(1)
	id := l.registerStoreCall(func(r Result) {
		active.writeInFlight = false
		l.applyPlanWriteResult(active, r, value)
		if r.Outcome == outcome.OK {
			active.markRecorded(next)
		}
		onResult(r)
	})
	key := stored.PlanKey(active.name)
	c.emit(StoreTxn{CallID: id, Txn: l.conditionalTxn(key, current.Version, wire.Op{Put: key, Value: value})})
}

// commitTransition writes a plan's next phase or an operator's change, and logs it once it is committed.
func (l *leader) commitTransition(active *activeRollout, current *watchcache.Plan, next *rollout.Record, onResult func(Result)) {
	l.commitPlan(active, current, next, func(r Result) {
		if r.Outcome == outcome.OK {
			l.logPlan(active, next)
		}
		onResult(r)
	})
}

// logPlan logs a committed transition with the plan's capacity.
func (l *leader) logPlan(active *activeRollout, record *rollout.Record) {
	capacity := record.Plan.CapacityOf(l.observeRollout(active, record))
	l.core.log(Info, "rollout phase committed", "plan", active.name, "phase", string(record.Phase), "step", record.Step+1, "share", record.Share,
		"reason", string(record.Reason), "detail", record.Detail, "paused", record.PausedMS != 0,
		"old_capacity", capacity.Old, "new_capacity", capacity.New, "promised", capacity.Promised,
		"routers", len(active.routers.Active(nil, l.core.routingHoldTime(), l.core.now.Steady)))
}

// applyPlanWriteResult handles the result of a write of a plan. The value is nil if the write removes the plan.
func (l *leader) applyPlanWriteResult(active *activeRollout, r Result, value json.RawMessage) {
	c := l.core
	switch {
	case r.Outcome == outcome.OK:
		c.applyPlan(active.name, value, r.Txn.Revision)
	case termSuperseded(r):
		c.election.StepDown(election.TermSuperseded)
	case r.Outcome == outcome.Conflict, r.Outcome == outcome.Unknown:
		// An earlier write was applied after all, or this one may still be applied: read what is stored.
		l.rereadPlan(active)
	default:
		active.retryAt = c.now.Steady + c.times.retryPause
		c.wakeBy(active.retryAt)
	}
}

// rereadPlan reads the stored record of a plan and applies it.
func (l *leader) rereadPlan(active *activeRollout) {
	c := l.core
	active.writeInFlight = true
	id := l.registerStoreCall(func(r Result) {
		active.writeInFlight = false
		active.retryAt = c.now.Steady + c.times.retryPause
		if r.Outcome == outcome.OK {
			c.applyPlan(active.name, r.Item.Value, r.Item.Version)
		}
	})
	c.emit(StoreGet{CallID: id, Key: stored.PlanKey(active.name)})
}

// removePlan deletes the record of an ended plan whose retention period has expired.
func (l *leader) removePlan(active *activeRollout, current *watchcache.Plan) {
	active.writeInFlight = true
	l.writer.spend(1)
	id := l.registerStoreCall(func(r Result) {
		active.writeInFlight = false
		l.applyPlanWriteResult(active, r, nil)
	})
	key := stored.PlanKey(active.name)
	l.core.emit(StoreTxn{CallID: id, Txn: l.conditionalTxn(key, current.Version, wire.Op{Delete: key})})
}

// applyPlan updates the cache with a plan's record that was read, written or watched, and the jobs that it holds back.
func (c *Core) applyPlan(name string, value json.RawMessage, version uint64) {
	before := c.cache.Plan(name)
	c.cache.ApplyPlan(name, value, version)
	if c.leader != nil {
		c.leader.planChanged(before, c.cache.Plan(name))
	}
}

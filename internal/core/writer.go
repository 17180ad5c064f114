package core

import (
	"time"

	"bitternwing/internal/election"
	"bitternwing/internal/outcome"
	"bitternwing/internal/ratelimit"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// writer commits the leader's decisions to the key-value store. It batches many changes into a transaction and keeps
// within the write rate.
//
// Each transaction is a compare-and-swap. It is conditional on the term, which fences off earlier leaders, and on the
// version of each key that it changes, so a transaction that arrives late changes nothing.
type writer struct {
	leader      *leader
	records     *runRecords
	endings     []*job           // ended jobs whose final states have to be written
	cancels     []*job           // jobs to be cancelled because a job that they depend on was
	orphans     []wire.Condition // run records to be deleted, whose jobs have ended
	inFlight    int              // transactions without a result yet
	pausedUntil time.Duration    // earliest time of the next transaction, after one was dropped for exceeding the rate limit
	budget      ratelimit.Bucket

	taskCounts      shardWriter
	countsWrittenAt time.Duration
	catalogInFlight bool
}

// maxTxnsInFlight bounds the transactions in flight.
const maxTxnsInFlight = 2

// leaderWriteShare is the leader's share of the write rate. The rest is left for submissions and cancellations at all
// nodes.
const leaderWriteShare = 0.6

// throttleLeases is how long writes keep to the announced future rate after a transaction was dropped for exceeding the
// rate limit, in lease durations of workers.
const throttleLeases = 6

func (w *writer) init(l *leader) {
	w.leader, w.records = l, &l.records
	w.taskCounts = newShardWriter(l, stored.TaskCountKey)
	w.budget = ratelimit.NewBucket(w.rate(), l.core.now.Steady)
}

// rate returns how many changes per second the leader may write.
func (w *writer) rate() float64 {
	c := w.leader.core
	return leaderWriteShare * c.limits.writesPerSecond(c.now.Steady)
}

// spend takes changes from the write budget. The budget may become negative; later changes then wait until it recovers.
func (w *writer) spend(changes int) { w.budget.Spend(float64(changes)) }

// mayWriteOne reports whether the budget allows another change.
func (w *writer) mayWriteOne() bool { return w.budget.Tokens() >= 1 }

// mayWriteHints reports whether the budget allows writes that nothing waits for.
func (w *writer) mayWriteHints() bool { return w.budget.Tokens() >= w.urgentReserve() }

// urgentReserve returns the part of the budget that hints and records of idle-priority jobs leave for all other writes.
// Without it a large array of short tasks, which always has more to write than the rate allows, would delay them.
func (w *writer) urgentReserve() float64 { return w.rate() / 2 }

// minChanges returns how many changes the budget must allow before a transaction is sent. The end of a job takes two
// changes in one transaction. If run records took each single change as it became available, no end would ever be
// written at a low write rate.
func (w *writer) minChanges() float64 {
	if len(w.endings) > 0 {
		return minEndChanges
	}
	return 1
}

// wakeWhenAffordable schedules a wake-up for when the budget allows the given number of changes.
func (w *writer) wakeWhenAffordable(changes float64) {
	c := w.leader.core
	c.wakeBy(c.now.Steady + max(time.Millisecond, w.budget.WaitFor(changes, w.rate())))
}

// run sends pending writes as far as the budget allows.
func (w *writer) run() {
	l, c := w.leader, w.leader.core
	w.budget.Refill(c.now.Steady, w.rate(), max(w.rate(), minEndChanges))
	if c.now.Steady < w.pausedUntil {
		c.wakeBy(w.pausedUntil)
		return
	}
	if l.layoutMigration.requested || l.termUpgrade.pending() {
		return
	}
	for w.inFlight < maxTxnsInFlight && !c.storeHealth.down {
		if need := w.minChanges(); w.budget.Tokens() < need {
			w.wakeWhenAffordable(need)
			return
		}
		if !w.sendNext() {
			break
		}
	}
	if len(w.records.dirty) > 0 && w.budget.Tokens() < w.urgentReserve()+1 {
		w.wakeWhenAffordable(w.urgentReserve() + 1)
	}
	w.writeCounts()
	w.writeCatalog()
}

// termCondition returns the condition that no newer term has begun.
func (l *leader) termCondition() wire.Condition {
	return wire.Condition{Key: stored.TermKey, Version: l.termVersion}
}

// sendNext sends a transaction and reports whether there was anything to write. Ends and cancellations of jobs go
// first, since users wait for them. Run records are next, since task starts wait for them. Orphaned records are deleted
// last.
func (w *writer) sendNext() bool {
	b := w.newBatch()
	w.addEndings(b)
	w.addCancels(b)
	w.addRecords(b)
	w.addOrphans(b)
	if len(b.txn.Then) == 0 {
		return false
	}
	w.spend(len(b.txn.Then))
	w.inFlight++
	id := w.leader.registerStoreCall(func(r Result) {
		w.inFlight--
		w.applyResult(b, r)
	})
	w.leader.core.emit(StoreTxn{CallID: id, Txn: b.txn})
	return true
}

// applyResult handles a transaction's outcome. Unless the transaction is known to have been applied, all of its changes
// are queued again and written from the state at that time. If a transaction of unknown outcome was applied after all,
// the repeated write conflicts on the versions, which are then read again.
func (w *writer) applyResult(b *writeBatch, r Result) {
	failed := r.conflictingKeys()
	if failed[stored.TermKey] {
		w.leader.core.election.StepDown(election.TermSuperseded)
		return
	}
	for _, chunk := range b.chunks {
		w.applyRecordResult(chunk, r, failed)
	}
	if r.Outcome == outcome.OK {
		w.commitPlacements(b)
	}
	for _, cancel := range b.cancels {
		w.applyCancelResult(cancel, r, failed)
	}
	for _, j := range b.endings {
		if w.leader.jobs[j.id] == j { // otherwise it was found to have ended meanwhile
			w.applyEndResult(j, b, r, failed)
		}
	}
	if r.Outcome != outcome.OK {
		w.applyFailure(b, r, failed)
	}
}

// applyFailure handles a transaction that is not known to have been applied.
func (w *writer) applyFailure(b *writeBatch, r Result, failed map[string]bool) {
	c := w.leader.core
	if r.Outcome == outcome.Dropped {
		w.budget.Refund(float64(len(b.txn.Then)))
		w.pausedUntil = c.now.Steady + c.times.retryPause
		c.limits.throttle(c.now.Steady, throttleLeases*c.times.lease)
	}
	w.requeueOrphans(b, failed)
	if r.Outcome == outcome.Invalid {
		c.limits.observeInvalid(b.txn)
		c.log(Error, "transaction rejected as invalid", "ops", len(b.txn.Then))
	}
}

// conflictingKeys returns the keys whose conditions failed, or nil unless the outcome is a conflict.
func (r Result) conflictingKeys() map[string]bool {
	if r.Outcome != outcome.Conflict {
		return nil
	}
	return r.failedKeys()
}

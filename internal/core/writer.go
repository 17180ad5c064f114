package core

import (
	"time"

	"bitternwing/internal/election"
	"bitternwing/internal/outcome"
	"bitternwing/internal/ratelimit"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// writer brings what the leader decided into the key-value store, many changes to a transaction and within the write rate.
// Each transaction is a compare-and-swap: it is conditional on the term, which fences off earlier leaders, and on the
// version of each key that it changes. One that is applied late changes nothing.
type writer struct {
	leader    *leader
	records   *runRecords
	endings   []*job // whose final states have to be written
	cancels   []*job // to be cancelled with a job that they depend on
	orphans   []wire.Condition
	inFlight  int
	notBefore time.Duration // no transaction before this, after one above the store's rate
	budget    ratelimit.Bucket

	counts          shardWriter
	nextCounts      time.Duration
	catalogInFlight bool
}

// maxTxnsInFlight is how many transactions are on their way at a time.
const maxTxnsInFlight = 2

// leaderWriteShare is the leader's part of the write rate. The rest is left to submissions and cancellations at all nodes.
const leaderWriteShare = 0.6

// throttleLeases is for how many of workers' leases writes keep to the rate that is to come, after one was above the
// store's rate.
const throttleLeases = 6

func (w *writer) init(l *leader) {
	w.leader, w.records = l, &l.records
	w.counts = newShardWriter(l, stored.TaskCountKey)
	w.budget = ratelimit.NewBucket(w.rate(), l.core.now.Steady)
}

// rate returns how many changes a second the leader may write.
func (w *writer) rate() float64 {
	c := w.leader.core
	return leaderWriteShare * c.limits.writesPerSecond(c.now.Steady)
}

// spend takes changes from the write budget. It may go into debt, which later changes wait for.
func (w *writer) spend(changes int) { w.budget.Spend(float64(changes)) }

// mayWriteOne reports whether the budget has a change left.
func (w *writer) mayWriteOne() bool { return w.budget.Tokens() >= 1 }

// mayWriteHints reports whether the budget has enough left for what nobody waits for.
func (w *writer) mayWriteHints() bool { return w.budget.Tokens() >= w.urgentReserve() }

// urgentReserve is what hints and records of idle-priority jobs leave to all other writes: a huge array of short tasks
// always has more to write than the rate allows.
func (w *writer) urgentReserve() float64 { return w.rate() / 2 }

// minChanges is what a transaction has to be able to write. Where writes are scarce the end of a job would never find its
// two at once, were records of tasks to take each as it comes.
func (w *writer) minChanges() float64 {
	if len(w.endings) > 0 {
		return minEndChanges
	}
	return 1
}

// wakeAt has the core woken when the budget has so many changes.
func (w *writer) wakeAt(changes float64) {
	c := w.leader.core
	c.wakeBy(c.now.Steady + max(time.Millisecond, w.budget.WaitFor(changes, w.rate())))
}

// run sends what there is to write, as far as the budget allows.
func (w *writer) run() {
	l, c := w.leader, w.leader.core
	w.budget.Refill(c.now.Steady, w.rate(), max(w.rate(), minEndChanges))
	if c.now.Steady < w.notBefore {
		c.wakeBy(w.notBefore)
		return
	}
	if l.layoutMigration.requested || l.termUpgrade.pending() {
		return
	}
	for w.inFlight < maxTxnsInFlight && !c.storeHealth.down {
		if need := w.minChanges(); w.budget.Tokens() < need {
			w.wakeAt(need)
			return
		}
		if !w.sendNext() {
			break
		}
	}
	if len(w.records.dirty) > 0 && w.budget.Tokens() < w.urgentReserve()+1 {
		w.wakeAt(w.urgentReserve() + 1)
	}
	w.writeCounts()
	w.writeCatalog()
}

// termCondition is the condition that no later leader was elected.
func (l *leader) termCondition() wire.Condition {
	return wire.Condition{Key: stored.TermKey, Version: l.termVersion}
}

// sendNext sends one transaction; false if there is nothing to write. Ends of jobs go first, since users wait for them,
// records of tasks next, since starts wait for them, and the deletion of orphaned records last.
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

// applyResult handles a transaction's outcome. Unless it is known to have been applied, all of it is written again from
// what is known then; if one of unknown outcome was applied after all, the versions no longer match and are read.
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
	for _, x := range b.cancels {
		w.applyCancelResult(x, r, failed)
	}
	for _, j := range b.endings {
		if w.leader.jobs[j.id] == j { // else it was found to have ended meanwhile
			w.applyEndResult(j, b, r, failed)
		}
	}
	if r.Outcome != outcome.OK {
		w.applyFailure(b, r, failed)
	}
}

// applyFailure handles the outcome of a transaction that is not known to have been applied.
func (w *writer) applyFailure(b *writeBatch, r Result, failed map[string]bool) {
	c := w.leader.core
	if r.Outcome == outcome.Dropped {
		w.budget.Refund(float64(len(b.txn.Then)))
		w.notBefore = c.now.Steady + c.times.retryPause
		c.limits.throttle(c.now.Steady, throttleLeases*c.times.lease)
	}
	w.requeueOrphans(b, failed)
	if r.Outcome == outcome.Invalid {
		c.limits.observeInvalid(b.txn)
		c.log(Error, "transaction rejected as invalid", "ops", len(b.txn.Then))
	}
}

// conflictingKeys returns the keys whose conditions failed, if that is why nothing was applied.
func (r Result) conflictingKeys() map[string]bool {
	if r.Outcome != outcome.Conflict {
		return nil
	}
	return r.failedKeys()
}

package core

import (
	"slices"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/election"
	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// writer brings what the leader decided into the state service, many changes to a
// transaction and within the write rate. Each transaction is conditional on the
// term, and on the version of each key that it changes: one that is applied late
// changes nothing.
type writer struct {
	leader    *leader
	dirty     []*recordChunk
	endings   []*job
	cancels   []*job // that need a cancelled job
	orphans   []wire.Condition
	inFlight  int
	notBefore time.Duration // after a transaction above the service's rate

	rateTokens float64
	refilledAt time.Duration

	nextCounts       time.Duration
	countsInFlight   bool
	countsWritten    map[string]string
	countShardsInUse int // shards that were needed at some time
	catalogInFlight  bool
}

func (w *writer) init(l *leader) {
	w.leader = l
	w.countsWritten = map[string]string{}
	w.refilledAt = l.core.now.Steady
	w.rateTokens = w.rate()
}

// rate leaves a part of the writes to submissions and cancels at all nodes.
func (w *writer) rate() float64 {
	return 0.6 * w.leader.core.limits.writesPerSecond(w.leader.core.now.Steady)
}

func (l *leader) markDirty(ch *recordChunk) {
	l.observedChanges++
	if !ch.dirty {
		ch.dirty = true
		l.writer.dirty = append(l.writer.dirty, ch)
	}
}

// persisted tells whether all that is known about a chunk is in the state service.
func (ch *recordChunk) persisted() bool { return !ch.dirty && !ch.inFlight }

func (w *writer) deleteOrphan(key string, version uint64) {
	w.orphans = append(w.orphans, wire.Condition{Key: key, Version: version})
}

func (w *writer) refill() {
	now := w.leader.core.now.Steady
	w.rateTokens = min(max(w.rate(), endWrites), w.rateTokens+w.rate()*(now-w.refilledAt).Seconds())
	w.refilledAt = now
}

func (w *writer) run() {
	c := w.leader.core
	w.refill()
	if c.now.Steady < w.notBefore {
		c.wakeBy(w.notBefore)
		return
	}
	if w.leader.layoutMigration.requested || w.leader.termUpgrade.pending() {
		return
	}
	for w.inFlight < 2 && !c.storeHealth.down {
		if need := w.minOps(); w.rateTokens < need {
			w.wakeAt(need)
			return
		}
		if !w.sendNext() {
			break
		}
	}
	if len(w.dirty) > 0 && w.rateTokens < w.urgentReserve()+1 {
		w.wakeAt(w.urgentReserve() + 1)
	}
	w.writeCounts()
	w.writeCatalog()
}

// throttleLeases is for how many of workers' leases writes keep to the rate that is to come, after one was
// above the service's rate.
const throttleLeases = 6

// minOps is what a transaction has to be able to write. Where writes are scarce the end of a job
// would never find its two at once, were records of tasks to take each as it comes.
func (w *writer) minOps() float64 {
	if len(w.endings) > 0 {
		return endWrites
	}
	return 1
}

// urgentReserve is what records of idle-time work leave to all other writes: a huge array of short
// tasks always has more to write than the rate allows.
func (w *writer) urgentReserve() float64 { return w.rate() / 2 }

// wakeAt has the core woken when there are so many tokens.
func (w *writer) wakeAt(tokens float64) {
	c := w.leader.core
	c.wakeBy(c.now.Steady + max(time.Millisecond, config.Seconds((tokens-w.rateTokens)/w.rate())))
}

// writeBatch is a transaction being put together.
type writeBatch struct {
	txn        wire.Txn
	size       int
	conditions map[string]bool
	chunks     []*recordChunk
	placements []*placement
	endings    []*job
	cancels    []cancelledJob
	orphans    []wire.Condition
}

func (b *writeBatch) addCondition(key string, version uint64) {
	if !b.conditions[key] {
		b.conditions[key] = true
		b.txn.If = append(b.txn.If, wire.Condition{Key: key, Version: version})
	}
}

// sendNext sends one transaction; false if there is nothing to write.
func (w *writer) sendNext() bool {
	l, c := w.leader, w.leader.core
	ops := min(c.limits.maxChanges(), int(w.rateTokens))
	b := &writeBatch{conditions: map[string]bool{}}
	b.addCondition(stored.TermKey, l.termVersion)

	// Ends of jobs first: users wait for them.
	var laterJobs []*job
	for i, j := range w.endings {
		if l.jobs[j.id] != j {
			continue
		}
		if len(b.txn.Then)+endWrites > ops {
			laterJobs = append(laterJobs, w.endings[i:]...)
			break
		}
		if !w.addEnd(b, j, ops) {
			laterJobs = append(laterJobs, j)
		}
	}
	w.endings = laterJobs

	w.addCancels(b, ops)

	// Then records of tasks, the most urgent work first: what starts waits for them.
	slices.SortStableFunc(w.dirty, func(a, b *recordChunk) int { return priority(b.job) - priority(a.job) })
	idleOps := int(w.rateTokens - w.urgentReserve())
	var laterChunks []*recordChunk
	for _, ch := range w.dirty {
		if ch.job.ending || l.jobs[ch.job.id] != ch.job {
			ch.dirty = false
			continue
		}
		if ch.inFlight || ch.rereadInFlight || len(b.txn.Then) >= ops || len(b.txn.If)+2 > c.limits.maxConditions() ||
			b.size > wire.MaxBody/2 || ch.job.isIdlePriority() && len(b.txn.Then) >= idleOps {
			laterChunks = append(laterChunks, ch)
			continue
		}
		if !w.addChunk(b, ch) {
			laterChunks = append(laterChunks, ch)
		}
	}
	w.dirty = laterChunks

	for len(w.orphans) > 0 && len(b.txn.Then) < ops {
		o := w.orphans[0]
		w.orphans = w.orphans[1:]
		b.addCondition(o.Key, o.Version)
		b.txn.Then = append(b.txn.Then, wire.Op{Delete: o.Key})
		b.orphans = append(b.orphans, o)
	}
	if len(b.txn.Then) == 0 {
		return false
	}
	w.rateTokens -= float64(len(b.txn.Then))
	w.inFlight++
	id := l.registerStoreCall(func(r Result) {
		w.inFlight--
		w.applyResult(b, r)
	})
	c.emit(StoreTxn{CallID: id, Txn: b.txn})
	return true
}

// addChunk adds a record; false if it is too large to be written now.
func (w *writer) addChunk(b *writeBatch, ch *recordChunk) bool {
	value, placed := w.leader.encodeRecord(ch)
	if len(value) > w.leader.maxRecordBytes() {
		w.leader.revertUnwritten(ch)
		if value, placed = w.leader.encodeRecord(ch); len(value) > w.leader.maxRecordBytes() {
			return false
		}
	}
	key := w.leader.recordKey(ch)
	b.addCondition(key, ch.version)
	for _, p := range placed {
		if p.phase == phaseUncommitted {
			// A new placement stands only while the job is not cancelled.
			b.addCondition(stored.JobKey(ch.job.id), ch.job.version)
			b.placements = append(b.placements, p)
		}
	}
	b.txn.Then = append(b.txn.Then, wire.Op{Put: key, Value: value})
	b.size += len(value) + 128
	b.chunks = append(b.chunks, ch)
	ch.dirty, ch.inFlight = false, true
	return true
}

// applyResult takes a transaction's outcome. Unless it is known to have been applied,
// all of it is written again from what is known now; if an unknown one was applied
// after all, the versions no longer match and are read.
func (w *writer) applyResult(b *writeBatch, r Result) {
	failed := map[string]bool{}
	if r.Outcome == outcome.Conflict {
		for _, k := range r.Txn.Failed {
			failed[k] = true
		}
		if failed[stored.TermKey] {
			w.leader.core.election.StepDown(election.TermSuperseded)
			return
		}
	}
	for _, ch := range b.chunks {
		w.applyChunkResult(ch, r, failed)
	}
	if r.Outcome == outcome.OK {
		for _, p := range b.placements {
			if p.phase == phaseUncommitted {
				p.phase = phaseCommitted
				w.leader.pendingDispatch = append(w.leader.pendingDispatch, p.machine)
			}
		}
	}
	for _, x := range b.cancels {
		w.applyCancelResult(x, r, failed)
	}
	for _, j := range b.endings {
		if w.leader.jobs[j.id] == j { // else it was found to be over meanwhile
			w.applyEndResult(j, b, r, failed)
		}
	}
	if r.Outcome == outcome.OK {
		return
	}
	if r.Outcome == outcome.Dropped {
		w.rateTokens += float64(len(b.txn.Then))
		w.notBefore = w.leader.core.now.Steady + w.leader.core.times.retryPause
		w.leader.core.limits.throttle(w.leader.core.now.Steady, throttleLeases*w.leader.core.times.lease)
	}
	for _, o := range b.orphans {
		if !failed[o.Key] {
			w.orphans = append(w.orphans, o)
		}
	}
	if r.Outcome == outcome.Invalid {
		w.leader.core.limits.observeInvalid(b.txn)
		w.leader.core.log(Error, "transaction rejected as invalid", "ops", len(b.txn.Then))
	}
}

// applyChunkResult takes what became of a record.
func (w *writer) applyChunkResult(ch *recordChunk, r Result, failed map[string]bool) {
	ch.inFlight = false
	key := w.leader.recordKey(ch)
	switch {
	case r.Outcome == outcome.OK:
		ch.version = r.Txn.Revision
	case failed[key]:
		w.leader.markDirty(ch)
		w.reread(ch)
	default:
		w.leader.markDirty(ch)
	}
	if failed[stored.JobKey(ch.job.id)] {
		w.rereadJob(ch.job)
	}
}

// reread finds the version of a record whose last write had an unknown outcome.
// Only the version counts: the leader is the only writer of its term.
func (w *writer) reread(ch *recordChunk) {
	if ch.rereadInFlight {
		return
	}
	ch.rereadInFlight = true
	id := w.leader.registerStoreCall(func(r Result) {
		ch.rereadInFlight = false
		switch r.Outcome {
		case outcome.OK:
			ch.version = r.Item.Version
		case outcome.NotFound:
			ch.version = 0
		}
	})
	w.leader.core.emit(StoreGet{CallID: id, Key: w.leader.recordKey(ch)})
}

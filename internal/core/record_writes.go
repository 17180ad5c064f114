package core

import (
	"slices"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// markDirty has a chunk's record written.
func (l *leader) markDirty(ch *recordChunk) {
	l.reconciler.changes.observe()
	if !ch.dirty {
		ch.dirty = true
		l.writer.dirty = append(l.writer.dirty, ch)
	}
}

// persisted reports whether all that is known about a chunk is in the key-value store.
func (ch *recordChunk) persisted() bool { return !ch.dirty && !ch.inFlight }

// addRecords adds records of tasks, those of the most urgent jobs first.
func (w *writer) addRecords(b *writeBatch) {
	slices.SortStableFunc(w.dirty, func(a, b *recordChunk) int { return priority(b.job) - priority(a.job) })
	idleChanges := int(w.budget.Tokens() - w.urgentReserve())
	var later []*recordChunk
	for _, ch := range w.dirty {
		if ch.job.ending || w.leader.jobs[ch.job.id] != ch.job {
			ch.dirty = false
			continue
		}
		if !w.mayAddRecord(b, ch, idleChanges) || !w.addRecord(b, ch) {
			later = append(later, ch)
		}
	}
	w.dirty = later
}

// mayAddRecord reports whether a record may be written with a batch, which takes so many changes of idle-priority jobs.
func (w *writer) mayAddRecord(b *writeBatch, ch *recordChunk, idleChanges int) bool {
	switch {
	case ch.inFlight || ch.rereadInFlight:
		return false // its version is not known
	case !b.hasRoom(1) || b.size > wire.MaxBody/2:
		return false
	case len(b.txn.If)+2 > w.leader.core.limits.maxConditions():
		return false
	}
	return !ch.job.isIdlePriority() || len(b.txn.Then) < idleChanges
}

// addRecord adds a record; false if it is too large to be written now.
func (w *writer) addRecord(b *writeBatch, ch *recordChunk) bool {
	l := w.leader
	value, placed := l.encodeRecord(ch)
	if len(value) > l.maxRecordBytes() {
		l.revertUnwritten(ch)
		value, placed = l.encodeRecord(ch)
		if len(value) > l.maxRecordBytes() {
			return false
		}
	}
	key := l.recordKey(ch)
	b.addCondition(key, ch.version)
	for _, p := range placed {
		if p.phase == phaseUncommitted {
			// A new placement stands only while the job is not cancelled.
			b.addCondition(stored.JobKey(ch.job.id), ch.job.version)
			b.placements = append(b.placements, p)
		}
	}
	b.put(key, value)
	b.chunks = append(b.chunks, ch)
	ch.dirty, ch.inFlight = false, true
	return true
}

// applyRecordResult takes what became of the write of a record.
func (w *writer) applyRecordResult(ch *recordChunk, r Result, failed map[string]bool) {
	ch.inFlight = false
	switch {
	case r.Outcome == outcome.OK:
		ch.version = r.Txn.Revision
	case failed[w.leader.recordKey(ch)]:
		w.leader.markDirty(ch)
		w.reread(ch)
	default:
		w.leader.markDirty(ch)
	}
	if failed[stored.JobKey(ch.job.id)] {
		w.rereadJob(ch.job)
	}
}

// commitPlacements has the placements dispatched that were written.
func (w *writer) commitPlacements(b *writeBatch) {
	for _, p := range b.placements {
		if p.phase == phaseUncommitted {
			p.phase = phaseCommitted
			w.leader.dispatcher.add(p.machine)
		}
	}
}

// reread finds the version of a record whose last write had an unknown outcome. Only the version counts: the leader is the
// only writer of its term.
func (w *writer) reread(ch *recordChunk) {
	if ch.rereadInFlight {
		return
	}
	ch.rereadInFlight = true
	id := w.leader.registerStoreCall(func(r Result) {
		ch.rereadInFlight = false
		if r.Outcome == outcome.OK {
			ch.version = r.Item.Version
		}
		if r.Outcome == outcome.NotFound {
			ch.version = 0
		}
	})
	w.leader.core.emit(StoreGet{CallID: id, Key: w.leader.recordKey(ch)})
}

// deleteOrphan has a record deleted whose job has ended.
func (w *writer) deleteOrphan(key string, version uint64) {
	w.orphans = append(w.orphans, wire.Condition{Key: key, Version: version})
}

// deleteOrphans has records deleted whose job has ended.
func (w *writer) deleteOrphans(records []wire.Condition) { w.orphans = append(w.orphans, records...) }

// addOrphans adds the deletion of orphaned records.
func (w *writer) addOrphans(b *writeBatch) {
	for len(w.orphans) > 0 && b.hasRoom(1) {
		o := w.orphans[0]
		w.orphans = w.orphans[1:]
		b.delete(o.Key, o.Version)
		b.orphans = append(b.orphans, o)
	}
}

// requeueOrphans has orphans deleted after all that were not. One that has another version by now, or is gone, is left
// to the next leader.
func (w *writer) requeueOrphans(b *writeBatch, failed map[string]bool) {
	for _, o := range b.orphans {
		if !failed[o.Key] {
			w.orphans = append(w.orphans, o)
		}
	}
}

package core

import (
	"slices"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// persisted reports whether the key-value store has the present state of a chunk.
func (chunk *recordChunk) persisted() bool { return !chunk.dirty && !chunk.inFlight }

// addRecords adds records of tasks, those of the most urgent jobs first.
func (w *writer) addRecords(b *writeBatch) {
	slices.SortStableFunc(w.records.dirty, func(a, b *recordChunk) int { return priority(b.job) - priority(a.job) })
	idleChanges := int(w.budget.Tokens() - w.urgentReserve())
	var later []*recordChunk
	for _, chunk := range w.records.dirty {
		if chunk.job.ending || w.leader.jobs[chunk.job.id] != chunk.job {
			chunk.dirty = false
			continue
		}
		if !w.mayAddRecord(b, chunk, idleChanges) || !w.addRecord(b, chunk) {
			later = append(later, chunk)
		}
	}
	w.records.dirty = later
}

// mayAddRecord reports whether a record may be written with a batch, which takes so many changes of idle-priority jobs.
func (w *writer) mayAddRecord(b *writeBatch, chunk *recordChunk, idleChanges int) bool {
	switch {
	case chunk.inFlight || chunk.rereadInFlight:
		return false // its version is not known
	case !b.hasRoom(1) || b.size > wire.MaxBodyBytes/2:
		return false
	case len(b.txn.If)+2 > w.leader.core.limits.maxConditions():
		return false
	}
	return !chunk.job.isIdlePriority() || len(b.txn.Then) < idleChanges
}

// addRecord adds a record; false if it is too large to be written now.
func (w *writer) addRecord(b *writeBatch, chunk *recordChunk) bool {
	value, placed := w.records.encode(chunk)
	if len(value) > w.records.maxBytes() {
		w.revertUnwritten(chunk)
		value, placed = w.records.encode(chunk)
		if len(value) > w.records.maxBytes() {
			return false
		}
	}
	key := w.records.key(chunk)
	b.addCondition(key, chunk.version)
	for _, p := range placed {
		if p.phase == phaseUncommitted {
			// A new placement stands only while the job is not cancelled.
			b.addCondition(stored.JobKey(chunk.job.id), chunk.job.version)
			b.placements = append(b.placements, p)
		}
	}
	b.put(key, value)
	b.chunks = append(b.chunks, chunk)
	chunk.dirty, chunk.inFlight = false, true
	return true
}

// applyRecordResult handles the result of the write of a record.
func (w *writer) applyRecordResult(chunk *recordChunk, r Result, failed map[string]bool) {
	chunk.inFlight = false
	switch {
	case r.Outcome == outcome.OK:
		chunk.version = r.Txn.Revision
	case failed[w.records.key(chunk)]:
		w.records.markDirty(chunk)
		w.reread(chunk)
	default:
		w.records.markDirty(chunk)
	}
	if failed[stored.JobKey(chunk.job.id)] {
		w.rereadJob(chunk.job)
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
func (w *writer) reread(chunk *recordChunk) {
	if chunk.rereadInFlight {
		return
	}
	chunk.rereadInFlight = true
	id := w.leader.registerStoreCall(func(r Result) {
		chunk.rereadInFlight = false
		if r.Outcome == outcome.OK {
			chunk.version = r.Item.Version
		}
		if r.Outcome == outcome.NotFound {
			chunk.version = 0
		}
	})
	w.leader.core.emit(StoreGet{CallID: id, Key: w.records.key(chunk)})
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

// revertUnwritten ends the placements that were not written, in a record of the first layout that is too large by now. The
// rest of it gets smaller as its tasks end, and is written then.
func (w *writer) revertUnwritten(chunk *recordChunk) {
	for _, p := range w.records.placedIn(chunk) {
		if p.phase == phaseUncommitted {
			w.leader.endPlacement(p)
		}
	}
}

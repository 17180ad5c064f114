package core

import (
	"slices"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// persisted reports whether the key-value store holds the current state of the chunk.
func (chunk *recordChunk) persisted() bool { return !chunk.dirty && !chunk.inFlight }

// addRecords adds changed run records to a batch, those of the most urgent jobs first.
func (w *writer) addRecords(b *writeBatch) {
	slices.SortStableFunc(w.records.dirty, func(a, b *recordChunk) int { return priority(b.job) - priority(a.job) })
	idleChanges := int(w.budget.Tokens() - w.urgentReserve())
	var deferred []*recordChunk
	for _, chunk := range w.records.dirty {
		if chunk.job.endPending || w.leader.jobs[chunk.job.id] != chunk.job {
			chunk.dirty = false
			continue
		}
		if !w.mayAddRecord(b, chunk, idleChanges) || !w.addRecord(b, chunk) {
			deferred = append(deferred, chunk)
		}
	}
	w.records.dirty = deferred
}

// mayAddRecord reports whether a chunk's record may be added to a batch. Records of idle-priority jobs may be added
// while the batch has fewer than idleChanges changes.
func (w *writer) mayAddRecord(b *writeBatch, chunk *recordChunk, idleChanges int) bool {
	switch {
	case chunk.inFlight || chunk.rereadInFlight:
		return false // the version of its key is not known
	case !b.hasRoom(1) || b.bodyBytes > wire.MaxBodyBytes/2:
		return false
	case len(b.txn.If)+2 > w.leader.core.limits.maxConditions():
		return false
	}
	return !chunk.job.isIdlePriority() || len(b.txn.Then) < idleChanges
}

// addRecord adds a chunk's record to a batch. It returns false if the record is too large to be written now.
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
			// The job must not have been cancelled when a new placement is committed.
			b.addCondition(stored.JobKey(chunk.job.id), chunk.job.version)
			b.placements = append(b.placements, p)
		}
	}
	b.put(key, value)
	b.chunks = append(b.chunks, chunk)
	chunk.dirty, chunk.inFlight = false, true
	return true
}

// applyRecordResult handles the result of a transaction that wrote a chunk's record.
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

// commitPlacements marks the placements of a batch as committed and queues their machines for dispatch.
func (w *writer) commitPlacements(b *writeBatch) {
	for _, p := range b.placements {
		if p.phase == phaseUncommitted {
			p.phase = phaseCommitted
			w.leader.dispatcher.enqueue(p.machine)
		}
	}
}

// reread reads the version of a record whose last write had an unknown outcome. The value needs no check, since only
// the leader writes records during its term.
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

// deleteOrphans queues the deletion of run records whose jobs have ended.
func (w *writer) deleteOrphans(records []wire.Condition) { w.orphans = append(w.orphans, records...) }

// addOrphans adds deletions of orphaned records to a batch.
func (w *writer) addOrphans(b *writeBatch) {
	for len(w.orphans) > 0 && b.hasRoom(1) {
		orphan := w.orphans[0]
		w.orphans = w.orphans[1:]
		b.delete(orphan.Key, orphan.Version)
		b.orphans = append(b.orphans, orphan)
	}
}

// requeueOrphans queues the orphans of a failed batch again. An orphan whose version has changed, or which no longer
// exists, is dropped; if it exists, the next leader deletes it.
func (w *writer) requeueOrphans(b *writeBatch, failed map[string]bool) {
	for _, orphan := range b.orphans {
		if !failed[orphan.Key] {
			w.orphans = append(w.orphans, orphan)
		}
	}
}

// revertUnwritten ends the uncommitted placements of a record of the index layout that has become too large to be
// written. If the record is still too large, it is written once more of its tasks have ended.
func (w *writer) revertUnwritten(chunk *recordChunk) {
	for _, p := range w.records.placementsIn(chunk) {
		if p.phase == phaseUncommitted {
			w.leader.endPlacement(p)
		}
	}
}

package core

import (
	"maps"
	"slices"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// queueEnd queues a job's final state to be written.
func (w *writer) queueEnd(j *job) { w.endings = append(w.endings, j) }

// minEndChanges is the minimum number of changes for the end of a job: its final state is put and its key is deleted.
const minEndChanges = 2

// endChangeBytes is the approximate size of each change of a job's end in the body of a transaction.
const endChangeBytes = 256

// addEndings adds the queued ends of jobs to a batch while there is room.
func (w *writer) addEndings(b *writeBatch) {
	var later []*job
	for i, j := range w.endings {
		if w.leader.jobs[j.id] != j {
			continue
		}
		if !b.hasRoom(minEndChanges) {
			later = append(later, w.endings[i:]...)
			break
		}
		if !w.addEnd(b, j) {
			later = append(later, j)
		}
	}
	w.endings = later
}

// addEnd adds a job's end to a batch: it puts the final state and deletes the job's other keys. Records that don't fit
// into the batch are deleted later as orphans. It returns false if the end can't be written yet, because the version of
// a record is not known.
func (w *writer) addEnd(b *writeBatch, j *job) bool {
	for _, chunk := range j.chunks {
		if chunk.inFlight || chunk.rereadInFlight {
			return false
		}
	}
	j.finalState = stored.FinalState{State: wire.JobDone, Done: j.done, EndedMS: w.leader.core.now.WallMS}
	if j.cancelled {
		j.finalState.State = wire.JobCancelled
	}
	value, err := j.finalState.Encode()
	if err != nil {
		return false
	}
	b.addCondition(stored.JobKey(j.id), j.version)
	b.txn.Then = append(b.txn.Then, wire.Op{Put: stored.FinalStateKey(j.id), Value: value}, wire.Op{Delete: stored.JobKey(j.id)})
	records := w.records.keys(j)
	for _, r := range records {
		if b.hasRoom(1) && len(b.txn.If)+2 < w.leader.core.limits.maxConditions() {
			b.delete(r.Key, r.Version)
		}
	}
	b.bodyBytes += endChangeBytes * (minEndChanges + len(records))
	b.endings = append(b.endings, j)
	return true
}

// applyEndResult handles the result of writing a job's end.
func (w *writer) applyEndResult(j *job, b *writeBatch, r Result, failedKeys map[string]bool) {
	switch {
	case r.Outcome == outcome.OK:
		w.completeEnd(j, b)
	case failedKeys[stored.JobKey(j.id)]:
		// Either the job was cancelled first, or an earlier write of this end with an unknown outcome was applied. The
		// key is read before the end is written again, because a retry without the current version would fail forever.
		w.rereadJob(j)
	default:
		for _, index := range slices.Sorted(maps.Keys(j.chunks)) {
			if chunk := j.chunks[index]; failedKeys[w.records.key(chunk)] {
				w.reread(chunk)
			}
		}
		maps.DeleteFunc(j.supersededRecords, func(key string, _ uint64) bool { return failedKeys[key] })
		w.queueEnd(j)
	}
}

// completeEnd drops a job whose end was written, and queues the deletion of records that did not fit into that
// transaction.
func (w *writer) completeEnd(j *job, b *writeBatch) {
	l, c := w.leader, w.leader.core
	c.cacheFinalState(j.id, j.finalState)
	remaining := slices.DeleteFunc(w.records.keys(j), func(record wire.Condition) bool { return b.conditions[record.Key] })
	w.deleteOrphans(remaining)
	l.removeJob(j)
	c.log(Info, "job ended", "job", j.id, "cancelled", j.cancelled)
	c.log(Debug, "job statistics", "class", j.spec.Class, "tasks", j.spec.Tasks, "after_s", (c.now.WallMS-j.acceptedMS)/1000)
}

// rereadJob reads a job's key without waiting for the watch.
func (w *writer) rereadJob(j *job) {
	id := w.leader.registerStoreCall(func(r Result) { w.applyReread(j, r) })
	w.leader.core.emit(StoreGet{CallID: id, Key: stored.JobKey(j.id)})
}

// applyReread applies a job's key that was read, and queues the job's end again if it is still to be written.
func (w *writer) applyReread(j *job, r Result) {
	l := w.leader
	if r.Outcome == outcome.NotFound {
		// A write of the job's end whose outcome was unknown has been applied.
		if j.endPending && l.jobs[j.id] == j {
			w.deleteOrphans(w.records.keys(j))
			l.removeJob(j)
		}
		return
	}
	if r.Outcome == outcome.OK {
		l.core.applyJobIfNewer(j.id, r.Item.Value, r.Item.Version, fromRead)
		l.applyJobChange(j.id)
	}
	if j.endPending {
		w.queueEnd(j)
	}
}

package core

import (
	"maps"
	"slices"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// queueEnd has a job's final state written.
func (w *writer) queueEnd(j *job) { w.endings = append(w.endings, j) }

// endChanges is what the end of a job takes at least: its final state is put, its key deleted.
const endChanges = 2

// endChangeBytes is what each change of a job's end takes in the body, about.
const endChangeBytes = 256

// addEndings adds the ends of jobs.
func (w *writer) addEndings(b *writeBatch) {
	var later []*job
	for i, j := range w.endings {
		if w.leader.jobs[j.id] != j {
			continue
		}
		if !b.hasRoom(endChanges) {
			later = append(later, w.endings[i:]...)
			break
		}
		if !w.addEnd(b, j) {
			later = append(later, j)
		}
	}
	w.endings = later
}

// addEnd adds a job's end: its final state is put, its other keys go. Records that don't fit any more are deleted as
// orphans. It returns false if the version of a record is not known yet.
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
	b.bodyBytes += endChangeBytes * (endChanges + len(records))
	b.endings = append(b.endings, j)
	return true
}

// applyEndResult handles the result of the write of a job's end.
func (w *writer) applyEndResult(j *job, b *writeBatch, r Result, failed map[string]bool) {
	switch {
	case r.Outcome == outcome.OK:
		w.completeEnd(j, b)
	case failed[stored.JobKey(j.id)]:
		// A cancel came first, or this very end was applied before, its outcome
		// unknown. It is written again only once that is known: repeating it
		// blindly would go on for good.
		w.rereadJob(j)
	default:
		for _, index := range slices.Sorted(maps.Keys(j.chunks)) {
			if chunk := j.chunks[index]; failed[w.records.key(chunk)] {
				w.reread(chunk)
			}
		}
		maps.DeleteFunc(j.superseded, func(key string, _ uint64) bool { return failed[key] })
		w.queueEnd(j)
	}
}

// completeEnd drops a job whose end is written, and has the records deleted that did not fit into that transaction.
func (w *writer) completeEnd(j *job, b *writeBatch) {
	l, c := w.leader, w.leader.core
	c.cacheFinalState(j.id, j.finalState)
	left := slices.DeleteFunc(w.records.keys(j), func(record wire.Condition) bool { return b.conditions[record.Key] })
	w.deleteOrphans(left)
	l.dropJob(j)
	c.log(Info, "job ended", "job", j.id, "cancelled", j.cancelled)
	c.log(Debug, "job statistics", "class", j.spec.Class, "tasks", j.spec.Tasks, "after_s", (c.now.WallMS-j.acceptedMS)/1000)
}

// rereadJob finds out what became of a job's key without waiting for the watch.
func (w *writer) rereadJob(j *job) {
	id := w.leader.registerStoreCall(func(r Result) { w.applyReread(j, r) })
	w.leader.core.emit(StoreGet{CallID: id, Key: stored.JobKey(j.id)})
}

// applyReread takes a job's key as it was read, and goes on with the job's end.
func (w *writer) applyReread(j *job, r Result) {
	l := w.leader
	if r.Outcome == outcome.NotFound {
		// Its end, whose outcome was unknown, was applied.
		if j.ending && l.jobs[j.id] == j {
			w.deleteOrphans(w.records.keys(j))
			l.dropJob(j)
		}
		return
	}
	if r.Outcome == outcome.OK {
		l.core.applyJobIfNewer(j.id, r.Item.Value, r.Item.Version, fromRead)
		l.applyJobChange(j.id)
	}
	if j.ending {
		w.queueEnd(j)
	}
}

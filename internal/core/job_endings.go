package core

import (
	"maps"
	"slices"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

func (w *writer) queueEnd(j *job) { w.endings = append(w.endings, j) }

// endWrites is what the end of a job takes at least: its final state is put, its key deleted.
const endWrites = 2

// addEnd adds a job's end: its final state is put, its other keys go. Records
// that don't fit any more are left to be swept as orphans.
func (w *writer) addEnd(b *writeBatch, j *job, ops int) bool {
	for _, ch := range j.chunks {
		if ch.inFlight || ch.rereadInFlight {
			return false
		}
	}
	records := w.leader.recordKeys(j)
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
	for _, r := range records {
		if len(b.txn.Then) < ops && len(b.txn.If)+2 < w.leader.core.limits.maxConditions() {
			b.addCondition(r.Key, r.Version)
			b.txn.Then = append(b.txn.Then, wire.Op{Delete: r.Key})
		}
	}
	b.size += 256 * (2 + len(records))
	b.endings = append(b.endings, j)
	return true
}

// applyEndResult takes what became of the end of a job.
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
			if ch := j.chunks[index]; failed[w.leader.recordKey(ch)] {
				w.reread(ch)
			}
		}
		maps.DeleteFunc(j.superseded, func(key string, _ uint64) bool { return failed[key] })
		w.queueEnd(j)
	}
}

// completeEnd drops a job whose end is written, and sweeps the records that did not fit into that
// transaction.
func (w *writer) completeEnd(j *job, b *writeBatch) {
	l, c := w.leader, w.leader.core
	c.cacheFinalState(j.id, j.finalState)
	for _, r := range l.recordKeys(j) {
		if !b.conditions[r.Key] {
			w.deleteOrphan(r.Key, r.Version)
		}
	}
	l.dropJob(j)
	c.log(Info, "job ended", "job", j.id, "cancelled", j.cancelled)
	c.log(Debug, "job statistics", "class", j.spec.Class, "tasks", j.spec.Tasks, "after_s", (c.now.WallMS-j.acceptedMS)/1000)
}

// rereadJob finds out what became of a job's key without waiting for the watch.
func (w *writer) rereadJob(j *job) {
	l, c := w.leader, w.leader.core
	id := l.registerStoreCall(func(r Result) {
		switch r.Outcome {
		case outcome.OK:
			c.applyJobIfNewer(j.id, r.Item.Value, r.Item.Version, fromRead)
			l.applyJobChange(j.id)
			if j.ending {
				w.queueEnd(j)
			}
		case outcome.NotFound:
			// Its end, whose outcome was unknown, was applied.
			if j.ending && l.jobs[j.id] == j {
				for _, r := range l.recordKeys(j) {
					w.deleteOrphan(r.Key, r.Version)
				}
				l.dropJob(j)
			}
		default:
			if j.ending {
				w.queueEnd(j)
			}
		}
	})
	c.emit(StoreGet{CallID: id, Key: stored.JobKey(j.id)})
}

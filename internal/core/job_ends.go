package core

import (
	"encoding/json"
	"maps"
	"slices"

	"bitternwing/internal/call"
	"bitternwing/internal/wire"
)

func (w *writer) finish(j *job) { w.finishes = append(w.finishes, j) }

// endWrites is what the end of a job takes at least: its final state is put, its key deleted.
const endWrites = 2

// addFinish adds a job's end: its final state is put, its other keys go. Records
// that don't fit any more are left to be swept as orphans.
func (w *writer) addFinish(b *batch, j *job, ops int) bool {
	for _, ch := range j.chunks {
		if ch.inFlight || ch.reading {
			return false
		}
	}
	records := w.l.recordKeys(j)
	j.end = finalState{State: wire.JobDone, Done: j.done, EndedMS: w.l.c.now.WallMS}
	if j.cancelled {
		j.end.State = wire.JobCancelled
	}
	value, err := json.Marshal(j.end)
	if err != nil {
		return false
	}
	b.cond(activeJobPrefix+j.id, j.version)
	b.txn.Then = append(b.txn.Then, wire.Op{Put: finalStatePrefix + j.id, Value: value}, wire.Op{Delete: activeJobPrefix + j.id})
	for _, r := range records {
		if len(b.txn.Then) < ops && len(b.txn.If)+2 < w.l.c.limits.maxConditions() {
			b.cond(r.Key, r.Version)
			b.txn.Then = append(b.txn.Then, wire.Op{Delete: r.Key})
		}
	}
	b.size += 256 * (2 + len(records))
	b.jobs = append(b.jobs, j)
	return true
}

// settleEnd takes what became of the end of a job.
func (w *writer) settleEnd(j *job, b *batch, r Result, failed map[string]bool) {
	switch {
	case r.Outcome == call.OK:
		w.ended(j, b)
	case failed[activeJobPrefix+j.id]:
		// A cancel came first, or this very end was applied before, its outcome
		// unknown. It is written again only once that is known: repeating it
		// blindly would go on for good.
		w.rereadJob(j)
	default:
		for _, index := range slices.Sorted(maps.Keys(j.chunks)) {
			if ch := j.chunks[index]; failed[w.l.runKey(ch)] {
				w.reread(ch)
			}
		}
		maps.DeleteFunc(j.superseded, func(key string, _ uint64) bool { return failed[key] })
		w.finish(j)
	}
}

// ended drops a job whose end is written, and sweeps the records that did not fit into that
// transaction.
func (w *writer) ended(j *job, b *batch) {
	l, c := w.l, w.l.c
	c.cacheFinalState(j.id, j.end)
	for _, r := range l.recordKeys(j) {
		if !b.seen[r.Key] {
			w.orphan(r.Key, r.Version)
		}
	}
	l.dropJob(j)
	c.log(Info, "job ended", "job", j.id, "cancelled", j.cancelled)
	c.log(Debug, "ended job", "class", j.spec.Class, "tasks", j.spec.Tasks, "after_s", (c.now.WallMS-j.at)/1000)
}

// rereadJob finds out what became of a job's key without waiting for the watch.
func (w *writer) rereadJob(j *job) {
	l, c := w.l, w.l.c
	id := l.stateCall(func(r Result) {
		switch r.Outcome {
		case call.OK:
			c.applyJobIfNewer(j.id, r.Item.Value, r.Item.Version, fromRead)
			l.jobChanged(j.id)
			if j.final {
				w.finish(j)
			}
		case call.Missing:
			// Its end, whose outcome was unknown, was applied.
			if j.final && l.jobs[j.id] == j {
				for _, r := range l.recordKeys(j) {
					w.orphan(r.Key, r.Version)
				}
				l.dropJob(j)
			}
		default:
			if j.final {
				w.finish(j)
			}
		}
	})
	c.emit(StoreGet{CallID: id, Key: activeJobPrefix + j.id})
}

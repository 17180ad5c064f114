package core

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"bitternwing/internal/record"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// recordChunk is the run record of a range of tasks: what has to be durable of them. highestAttempt is the highest attempt
// used for any task of the range, so that no attempt is ever used twice.
type recordChunk struct {
	job            *job
	index          int // the range begins at the task index * tasksPerRecord
	highestAttempt uint64
	done           record.Bits
	version        uint64 // of its key; 0: not written yet
	dirty          bool
	inFlight       bool
	rereadInFlight bool
}

// tasksPerRecord is how many tasks a run record holds.
func (l *leader) tasksPerRecord() int { return l.recordLayout.Tasks() }

// recordKey is the key of a chunk's record.
func (l *leader) recordKey(ch *recordChunk) string {
	return stored.RunRecordKey(l.recordLayout.Key(ch.job.id, ch.index))
}

func (l *leader) chunkOf(j *job, task int) *recordChunk {
	i := task / l.tasksPerRecord()
	ch := j.chunks[i]
	if ch == nil {
		ch = &recordChunk{job: j, index: i, done: record.NewBits(l.tasksPerRecord())}
		j.chunks[i] = ch
	}
	return ch
}

func (l *leader) isDone(j *job, task int) bool {
	ch := j.chunks[task/l.tasksPerRecord()]
	return ch != nil && ch.done.Has(task%l.tasksPerRecord())
}

func (l *leader) setDone(j *job, task int) {
	if l.isDone(j, task) {
		return
	}
	ch := l.chunkOf(j, task)
	ch.done.Set(task % l.tasksPerRecord())
	j.done++
	l.markDirty(ch)
}

// recordPersisted tells whether all that is known of a task is in the key-value store.
func (l *leader) recordPersisted(j *job, task int) bool {
	ch := j.chunks[task/l.tasksPerRecord()]
	return ch == nil || ch.persisted()
}

// recordKeys gives the keys of all records of a job, with their versions.
func (l *leader) recordKeys(j *job) []wire.Condition {
	var keys []wire.Condition
	for _, i := range slices.Sorted(maps.Keys(j.chunks)) {
		if ch := j.chunks[i]; ch.version != 0 {
			keys = append(keys, wire.Condition{Key: l.recordKey(ch), Version: ch.version})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(j.superseded)) {
		keys = append(keys, wire.Condition{Key: key, Version: j.superseded[key]})
	}
	return keys
}

// encodeRecord gives a chunk's record and the placements in it.
func (l *leader) encodeRecord(ch *recordChunk) (json.RawMessage, []*placement) {
	r := record.Record{HighestAttempt: ch.highestAttempt, Done: ch.done, Placed: map[int]record.Run{}}
	ps := l.placedIn(ch)
	for _, p := range ps {
		r.Placed[p.task] = record.Run{Attempt: p.attempt, Machine: p.machine.name, Incarnation: p.incarnation}
	}
	b, err := r.Encode()
	if err != nil {
		panic(fmt.Sprintf("a run record can't be encoded: %v", err)) // only plain values are in it
	}
	return b, ps
}

// placedIn gives the placements of a chunk's tasks, in order.
func (l *leader) placedIn(ch *recordChunk) []*placement {
	var ps []*placement
	first := ch.index * l.tasksPerRecord()
	for t := first; t < min(first+l.tasksPerRecord(), ch.job.spec.Tasks); t++ {
		if p := ch.job.placements[t]; p != nil {
			ps = append(ps, p)
		}
	}
	return ps
}

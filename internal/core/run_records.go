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

// runRecords are the run records of all jobs: their keys and values, and which have yet to be written. The chunks of a job
// are fields of the job.
type runRecords struct {
	limits  *storeLimits
	layout  record.Layout
	changes *changeCounter
	dirty   []*recordChunk // have to be written
}

// tasksPerRecord is how many tasks a run record holds.
func (r *runRecords) tasksPerRecord() int { return r.layout.TasksPerRecord() }

// key is the key of a chunk's record.
func (r *runRecords) key(chunk *recordChunk) string {
	return stored.RunRecordKey(r.layout.Key(chunk.job.id, chunk.index))
}

// chunkOf gives the chunk with a task, and makes it if there is none yet.
func (r *runRecords) chunkOf(j *job, task int) *recordChunk {
	index := task / r.tasksPerRecord()
	chunk := j.chunks[index]
	if chunk == nil {
		chunk = &recordChunk{job: j, index: index, done: record.NewBits(r.tasksPerRecord())}
		j.chunks[index] = chunk
	}
	return chunk
}

// isDone tells whether a task is done.
func (r *runRecords) isDone(j *job, task int) bool {
	chunk := j.chunks[task/r.tasksPerRecord()]
	return chunk != nil && chunk.done.Has(task%r.tasksPerRecord())
}

// setDone notes that a task is done.
func (r *runRecords) setDone(j *job, task int) {
	if r.isDone(j, task) {
		return
	}
	chunk := r.chunkOf(j, task)
	chunk.done.Set(task % r.tasksPerRecord())
	j.done++
	r.markDirty(chunk)
}

// isPersisted tells whether all that is known of a task is in the key-value store.
func (r *runRecords) isPersisted(j *job, task int) bool {
	chunk := j.chunks[task/r.tasksPerRecord()]
	return chunk == nil || chunk.persisted()
}

// keys gives the keys of all records of a job, with their versions.
func (r *runRecords) keys(j *job) []wire.Condition {
	var conditions []wire.Condition
	for _, i := range slices.Sorted(maps.Keys(j.chunks)) {
		if chunk := j.chunks[i]; chunk.version != 0 {
			conditions = append(conditions, wire.Condition{Key: r.key(chunk), Version: chunk.version})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(j.supersededRecords)) {
		conditions = append(conditions, wire.Condition{Key: key, Version: j.supersededRecords[key]})
	}
	return conditions
}

// encode gives a chunk's record and the placements in it.
func (r *runRecords) encode(chunk *recordChunk) (json.RawMessage, []*placement) {
	value := record.Record{HighestAttempt: chunk.highestAttempt, Done: chunk.done, Placed: map[int]record.Run{}}
	placements := r.placedIn(chunk)
	for _, p := range placements {
		value.Placed[p.task] = record.Run{Attempt: p.attempt, Machine: p.machine.name, Incarnation: p.incarnation}
	}
	encoded, err := value.Encode()
	if err != nil {
		panic(fmt.Sprintf("a run record can't be encoded: %v", err)) // only plain values are in it
	}
	return encoded, placements
}

// placedIn gives the placements of a chunk's tasks, in order.
func (r *runRecords) placedIn(chunk *recordChunk) []*placement {
	var placements []*placement
	first := chunk.index * r.tasksPerRecord()
	for task := first; task < min(first+r.tasksPerRecord(), chunk.job.spec.Tasks); task++ {
		if p := chunk.job.placements[task]; p != nil {
			placements = append(placements, p)
		}
	}
	return placements
}

// markDirty has a chunk's record written.
func (r *runRecords) markDirty(chunk *recordChunk) {
	r.changes.increment()
	if !chunk.dirty {
		chunk.dirty = true
		r.dirty = append(r.dirty, chunk)
	}
}

// nextTask gives the lowest task from a number on that is neither done nor placed; -1 if there is none.
func (r *runRecords) nextTask(j *job, from int) int {
	for task := max(from, j.nextUnplaced); task < j.spec.Tasks; task++ {
		open := j.placements[task] == nil && !r.isDone(j, task)
		if open && !r.isFull(j, task) {
			return task
		}
		if task == j.nextUnplaced && !open {
			j.nextUnplaced++
		}
	}
	return -1
}

// maxBytes is how large a record may be.
func (r *runRecords) maxBytes() int {
	if r.layout.ByTask > 0 {
		return r.limits.maxValueBytes()
	}
	return r.limits.largestAcceptedValue()
}

// isFull reports whether the record of a task should take no further placement: the limits have fallen before the
// layout could change.
func (r *runRecords) isFull(j *job, task int) bool {
	if r.layout.ByTask > 0 || !r.limits.lowered {
		return false
	}
	chunk := j.chunks[task/r.tasksPerRecord()]
	return chunk != nil && len(r.placedIn(chunk)) >= r.limits.maxValueBytes()/record.PlacementBytes
}

// nextAttempt gives the number of a task's next attempt.
func (r *runRecords) nextAttempt(j *job, task int) uint64 {
	chunk := r.chunkOf(j, task)
	chunk.highestAttempt++
	return chunk.highestAttempt
}

// withdrawAttempt frees the number of an attempt that was never written.
func (r *runRecords) withdrawAttempt(p *placement) {
	if chunk := r.chunkOf(p.job, p.task); chunk.highestAttempt == p.attempt && !chunk.inFlight && !chunk.dirty {
		chunk.highestAttempt--
	}
}

// changeLayout goes on in another layout, of which no record is to be written yet.
func (r *runRecords) changeLayout(next record.Layout) {
	r.layout, r.dirty = next, nil
}

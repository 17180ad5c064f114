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

// recordChunk is the leader's copy of a run record, which holds the durable state of a range of a job's tasks.
// highestAttempt is the highest attempt number used for any task of the range, so that no number is ever reused.
type recordChunk struct {
	job            *job
	index          int // the range begins at task index * tasksPerRecord
	highestAttempt uint64
	done           record.Bits
	version        uint64 // version of the record's key; 0: not written yet
	dirty          bool   // the record has changes that are not yet part of a write
	inFlight       bool   // a write of the record has no result yet
	rereadInFlight bool
}

// runRecords manages the run records of all jobs: their layout, keys and values, and which of them have to be written.
// The chunks themselves are kept in the jobs.
type runRecords struct {
	limits  *storeLimits
	layout  record.Layout
	changes *changeCounter
	dirty   []*recordChunk // chunks whose records have to be written
}

// tasksPerRecord returns how many tasks a run record holds.
func (r *runRecords) tasksPerRecord() int { return r.layout.TasksPerRecord() }

// key returns the key of a chunk's record.
func (r *runRecords) key(chunk *recordChunk) string {
	return stored.RunRecordKey(r.layout.Key(chunk.job.id, chunk.index))
}

// chunkOf returns the chunk of a task. It creates the chunk if there is none yet.
func (r *runRecords) chunkOf(j *job, task int) *recordChunk {
	index := task / r.tasksPerRecord()
	chunk := j.chunks[index]
	if chunk == nil {
		chunk = &recordChunk{job: j, index: index, done: record.NewBits(r.tasksPerRecord())}
		j.chunks[index] = chunk
	}
	return chunk
}

// isDone reports whether a task is done.
func (r *runRecords) isDone(j *job, task int) bool {
	chunk := j.chunks[task/r.tasksPerRecord()]
	return chunk != nil && chunk.done.Has(task%r.tasksPerRecord())
}

// setDone marks a task as done.
func (r *runRecords) setDone(j *job, task int) {
	if r.isDone(j, task) {
		return
	}
	chunk := r.chunkOf(j, task)
	chunk.done.Add(task % r.tasksPerRecord())
	j.done++
	r.markDirty(chunk)
}

// isPersisted reports whether the key-value store holds the current state of a task.
func (r *runRecords) isPersisted(j *job, task int) bool {
	chunk := j.chunks[task/r.tasksPerRecord()]
	return chunk == nil || chunk.persisted()
}

// keys returns the keys of all stored records of a job with their versions.
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

// encode returns a chunk's record in its stored form and the placements in it.
func (r *runRecords) encode(chunk *recordChunk) (json.RawMessage, []*placement) {
	value := record.Record{HighestAttempt: chunk.highestAttempt, Done: chunk.done, Placed: map[int]record.Run{}}
	placements := r.placementsIn(chunk)
	for _, p := range placements {
		value.Placed[p.task] = record.Run{Attempt: p.attempt, Machine: p.machine.name, Incarnation: p.incarnation}
	}
	encoded, err := value.Encode()
	if err != nil {
		panic(fmt.Sprintf("encode run record: %v", err)) // can't happen: a record has only fields that JSON can encode
	}
	return encoded, placements
}

// placementsIn returns the placements of a chunk's tasks in task order.
func (r *runRecords) placementsIn(chunk *recordChunk) []*placement {
	var placements []*placement
	first := chunk.index * r.tasksPerRecord()
	for task := first; task < min(first+r.tasksPerRecord(), chunk.job.spec.Tasks); task++ {
		if p := chunk.job.placements[task]; p != nil {
			placements = append(placements, p)
		}
	}
	return placements
}

// markDirty queues a chunk's record to be written.
func (r *runRecords) markDirty(chunk *recordChunk) {
	r.changes.increment()
	if !chunk.dirty {
		chunk.dirty = true
		r.dirty = append(r.dirty, chunk)
	}
}

// nextTask returns the lowest task, not below from, that is neither done nor placed and whose record is not full; -1 if
// there is none.
func (r *runRecords) nextTask(j *job, from int) int {
	for task := max(from, j.nextUnplaced); task < j.spec.Tasks; task++ {
		needsPlacement := j.placements[task] == nil && !r.isDone(j, task)
		if needsPlacement && !r.isFull(j, task) {
			return task
		}
		if task == j.nextUnplaced && !needsPlacement {
			j.nextUnplaced++
		}
	}
	return -1
}

// maxBytes returns the largest size of a record in bytes.
func (r *runRecords) maxBytes() int {
	if r.layout.TaskLayoutTasks > 0 {
		return r.limits.maxValueBytes()
	}
	return r.limits.maxAcceptedValueBytes()
}

// isFull reports whether the record of a task should take no further placements, because the store's value size limit
// was lowered before the layout could be migrated.
func (r *runRecords) isFull(j *job, task int) bool {
	if r.layout.TaskLayoutTasks > 0 || !r.limits.nextValueLimitInEffect {
		return false
	}
	chunk := j.chunks[task/r.tasksPerRecord()]
	return chunk != nil && len(r.placementsIn(chunk)) >= r.limits.maxValueBytes()/record.PlacementBytes
}

// nextAttempt assigns and returns the number of a task's next attempt.
func (r *runRecords) nextAttempt(j *job, task int) uint64 {
	chunk := r.chunkOf(j, task)
	chunk.highestAttempt++
	return chunk.highestAttempt
}

// withdrawAttempt frees the number of a placement's attempt if it was never written.
func (r *runRecords) withdrawAttempt(p *placement) {
	if chunk := r.chunkOf(p.job, p.task); chunk.highestAttempt == p.attempt && !chunk.inFlight && !chunk.dirty {
		chunk.highestAttempt--
	}
}

// changeLayout switches to another layout. No record of the new layout has to be written yet.
func (r *runRecords) changeLayout(next record.Layout) {
	r.layout, r.dirty = next, nil
}

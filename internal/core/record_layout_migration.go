package core

import (
	"maps"
	"slices"
	"time"

	"bitternwing/internal/election"
	"bitternwing/internal/outcome"
	"bitternwing/internal/record"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// This file migrates the run records to their second layout, once, when the settings announce smaller values.
//
// Version 1 finds a record by an index, whose meaning follows from its settings; it would take records of the second
// layout for those of other tasks, or delete them. So the migration waits until every controller is known to run a version
// that can read both. A controller that is out of reach is not known to; one that was known to once stays so, since
// versions are not rolled back (docs/operating.md).
//
// The layout is written once, conditional on the term, and never changed again. The term is written with it, in a form
// that fences off version 1: none of its nodes can read it, so none wins another election. A candidate for the next term
// that has not seen the layout, or one with an older write on its way, fails by the version of the term's key.
//
// Until then records are written in the first layout, and may turn out too large: see revertUnwritten and isFull.

// recordLayoutByTask is the second layout, as nodes announce to each other that they support it.
const recordLayoutByTask = 2

// layoutMigration migrates the records of a leader. It changes the version of the term's key, and so holds the leader.
type layoutMigration struct {
	leader    *leader
	requested bool // nothing else is written until it is settled
	inFlight  bool
	retryAt   time.Duration // not before
}

// layout returns the layout of the run records that is in use.
func (c *Core) layout() record.Layout {
	if layout, known := c.cache.RecordLayout(); known {
		return layout
	}
	return record.Layout{ByIndex: record.IndexLayoutTasks(c.limits.present.ValueKB)}
}

// mayRun reports whether the records have to change their layout, and all controllers can read the next one.
func (m *layoutMigration) mayRun() bool {
	l, c := m.leader, m.leader.core
	return l.records.layout.ByTask == 0 && c.limits.valuesShrink() && c.members.AllSupportRecordLayout(recordLayoutByTask) &&
		l.mayCommit()
}

// run writes the next layout once it may be used and no record is on its way: a record of the first layout that was
// written after the migration would contradict newer records of the same tasks.
func (m *layoutMigration) run() {
	l, c := m.leader, m.leader.core
	if !m.mayRun() {
		m.requested = m.inFlight
		return
	}
	m.requested = true
	if m.inFlight || l.writer.inFlight > 0 {
		return
	}
	if c.now.Steady < m.retryAt {
		c.wakeBy(m.retryAt)
		return
	}
	next := record.Layout{ByIndex: l.records.layout.ByIndex, ByTask: record.TaskLayoutTasks(c.limits.maxValueBytes())}
	layout, layoutErr := next.Encode()
	term, termErr := c.encodeTerm(l.storedTerm(), next)
	if layoutErr != nil || termErr != nil {
		return
	}
	m.inFlight = true
	id := l.registerStoreCall(func(r Result) { m.applyResult(next, r) })
	c.emit(StoreTxn{CallID: id, Txn: wire.Txn{
		If:   []wire.Condition{l.termCondition(), {Key: stored.RecordLayoutKey}},
		Then: []wire.Op{{Put: stored.RecordLayoutKey, Value: layout}, {Put: stored.TermKey, Value: term}},
	}})
}

// applyResult handles the result of the write of the next layout.
func (m *layoutMigration) applyResult(next record.Layout, r Result) {
	c := m.leader.core
	m.inFlight = false
	switch r.Outcome {
	case outcome.OK:
		m.applyLayout(next, r.Txn.Revision)
	case outcome.Conflict:
		// It was applied before, its outcome unknown, or the term has moved on. The next leader finds out.
		c.election.StepDown(election.RecordLayoutIndeterminate)
	case outcome.Unknown, outcome.Unavailable, outcome.NotFound, outcome.Invalid, outcome.TooOld, outcome.TooLarge, outcome.Dropped:
		m.retryAt = c.now.Steady + c.times.retryPause
		c.wakeBy(m.retryAt)
	}
}

// applyLayout goes on in the second layout. Records of the first stay where they are, and are overridden where something
// changes.
func (m *layoutMigration) applyLayout(next record.Layout, version uint64) {
	l, c, old := m.leader, m.leader.core, m.leader.records.layout
	l.termVersion = version
	l.records.changeLayout(next)
	m.requested = false
	c.cache.ObserveTerm(l.storedTerm(), c.cache.TermFormat(), version)
	c.cache.ObserveRecordLayout(next, version)
	for _, id := range slices.Sorted(maps.Keys(l.jobs)) {
		l.records.migrateChunks(l.jobs[id], old)
	}
	c.log(Info, "run record layout migrated", "by_index", next.ByIndex, "by_task", next.ByTask)
}

// migrateChunks spreads a job's chunks over those of the new layout. What the old records don't have yet is written anew.
func (r *runRecords) migrateChunks(j *job, old record.Layout) {
	chunks := j.chunks
	j.chunks = map[int]*recordChunk{}
	for _, index := range slices.Sorted(maps.Keys(chunks)) {
		chunk := chunks[index]
		if chunk.version != 0 {
			j.supersede(stored.RunRecordKey(old.Key(j.id, index)), chunk.version)
		}
		stale := !chunk.persisted() || chunk.rereadInFlight
		chunk.dirty = false
		first := index * old.ByIndex
		for task := first; task < min(first+old.ByIndex, j.spec.Tasks); task++ {
			part := r.chunkOf(j, task)
			part.highestAttempt = max(part.highestAttempt, chunk.highestAttempt)
			if chunk.done.Has(task - first) {
				part.done.Set(task % r.tasksPerRecord())
			}
			if stale {
				r.markDirty(part)
			}
		}
	}
}

// supersede notes a record of a layout that is not written any more: it is deleted with the job's end.
func (j *job) supersede(key string, version uint64) {
	if j.supersededRecords == nil {
		j.supersededRecords = map[string]uint64{}
	}
	j.supersededRecords[key] = version
}

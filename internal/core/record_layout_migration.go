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

// This file migrates the run records from the index layout to the task layout. That happens once, when the settings
// announce a smaller limit on the size of values.
//
// Version 1 of the program finds a record by an index whose meaning depends on its settings. It would attribute records
// of the task layout to other tasks, or delete them. So the migration waits until every node has announced that it
// supports both layouts. A node that can't be reached may not support it. One that has announced support once keeps it,
// since versions are not rolled back (docs/operating.md).
//
// The layout is written once, conditional on the term, and never changed again. The same transaction rewrites the term
// in a format that version 1 can't read, so none of its nodes wins another election. It also changes the version of the
// term key, so a candidate that has not seen the layout can't win the next term, and writes that are still in flight
// fail.
//
// Before the migration records are written in the index layout and may become too large; see revertUnwritten and
// isFull.

// recordLayoutByTask is the number of the task layout, by which nodes announce to each other that they support it.
const recordLayoutByTask = 2

// layoutMigration migrates the run records of a leader. It changes the version of the leader's term key.
type layoutMigration struct {
	leader    *leader
	requested bool // the writer sends nothing until the migration is settled
	inFlight  bool
	retryAt   time.Duration // earliest time of the next attempt
}

// layout returns the current layout of the run records.
func (c *Core) layout() record.Layout {
	if layout, known := c.cache.RecordLayout(); known {
		return layout
	}
	return record.Layout{IndexLayoutTasks: record.IndexLayoutTasks(c.limits.current.ValueKB)}
}

// mayRun reports whether the run records have to be migrated and all nodes support the task layout.
func (m *layoutMigration) mayRun() bool {
	l, c := m.leader, m.leader.core
	return l.records.layout.TaskLayoutTasks == 0 && c.limits.valueLimitWillDecrease() && c.members.AllSupportRecordLayout(recordLayoutByTask) &&
		l.mayCommit()
}

// run writes the task layout once it may be used and no transaction is in flight. A record of the index layout that was
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
	next := record.Layout{IndexLayoutTasks: l.records.layout.IndexLayoutTasks, TaskLayoutTasks: record.TaskLayoutTasks(c.limits.maxValueBytes())}
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

// applyResult handles the result of writing the task layout.
func (m *layoutMigration) applyResult(next record.Layout, r Result) {
	c := m.leader.core
	m.inFlight = false
	switch r.Outcome {
	case outcome.OK:
		m.applyLayout(next, r.Txn.Revision)
	case outcome.Conflict:
		// Either an earlier attempt of unknown outcome was applied, or a newer term has begun. The next leader reads
		// the stored layout.
		c.election.StepDown(election.RecordLayoutIndeterminate)
	case outcome.Unknown, outcome.Unavailable, outcome.NotFound, outcome.Invalid, outcome.TooOld, outcome.TooLarge, outcome.Dropped:
		m.retryAt = c.now.Steady + c.times.retryPause
		c.wakeBy(m.retryAt)
	}
}

// applyLayout switches to the task layout. Records of the index layout remain stored; a record of the task layout
// overrides them for its tasks once the state of one of these changes.
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
	c.log(Info, "run record layout migrated", "by_index", next.IndexLayoutTasks, "by_task", next.TaskLayoutTasks)
}

// migrateChunks splits a job's chunks into chunks of the new layout. State that was not yet written in the old layout
// is written in the new one.
func (r *runRecords) migrateChunks(j *job, old record.Layout) {
	chunks := j.chunks
	j.chunks = map[int]*recordChunk{}
	for _, index := range slices.Sorted(maps.Keys(chunks)) {
		chunk := chunks[index]
		if chunk.version != 0 {
			j.addSupersededRecord(stored.RunRecordKey(old.Key(j.id, index)), chunk.version)
		}
		needsWrite := !chunk.persisted() || chunk.rereadInFlight
		chunk.dirty = false
		first := index * old.IndexLayoutTasks
		for task := first; task < min(first+old.IndexLayoutTasks, j.spec.Tasks); task++ {
			newChunk := r.chunkOf(j, task)
			newChunk.highestAttempt = max(newChunk.highestAttempt, chunk.highestAttempt)
			if chunk.done.Has(task - first) {
				newChunk.done.Add(task % r.tasksPerRecord())
			}
			if needsWrite {
				r.markDirty(newChunk)
			}
		}
	}
}

// addSupersededRecord registers a stored record of the index layout, to be deleted when the job ends.
func (j *job) addSupersededRecord(key string, version uint64) {
	if j.supersededRecords == nil {
		j.supersededRecords = map[string]uint64{}
	}
	j.supersededRecords[key] = version
}

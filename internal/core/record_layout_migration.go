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
// that fences off version 1: none of its nodes can read it, so none wins another election. Whoever stood for the next term
// without knowing of the layout, or has an older write on its way, fails by the version of the term's key.
//
// Until then records are written in the first layout, and may turn out too large: see revertUnwritten and recordFull.

// recordLayoutByTask is the second layout, as nodes tell each other that they know it.
const recordLayoutByTask = 2

// layoutMigration is how far the migration is.
type layoutMigration struct {
	requested bool // nothing else is written until it is settled
	inFlight  bool
	retryAt   time.Duration // not before
}

// layout returns the layout of the run records that is in use.
func (c *Core) layout() record.Layout {
	if layout, known := c.cache.RecordLayout(); known {
		return layout
	}
	return record.Layout{ByIndex: record.ByIndexFor(c.limits.present.ValueKB)}
}

// mayMigrateLayout reports whether the records have to change their layout, and all controllers can read the next one.
func (l *leader) mayMigrateLayout() bool {
	c := l.core
	return l.recordLayout.ByTask == 0 && c.limits.valuesShrink() && c.members.AllSupportRecordLayout(recordLayoutByTask) &&
		l.mayCommit()
}

// migrateLayout writes the next layout once it may be used and no record is on its way: a record of the first layout that
// was written after the migration would contradict newer records of the same tasks.
func (l *leader) migrateLayout() {
	c, migration := l.core, &l.layoutMigration
	if !l.mayMigrateLayout() {
		migration.requested = migration.inFlight
		return
	}
	migration.requested = true
	if migration.inFlight || l.writer.inFlight > 0 {
		return
	}
	if c.now.Steady < migration.retryAt {
		c.wakeBy(migration.retryAt)
		return
	}
	next := record.Layout{ByIndex: l.recordLayout.ByIndex, ByTask: record.ByTaskFor(c.limits.maxValueBytes())}
	layout, layoutErr := next.Encode()
	term, termErr := c.encodeTerm(l.storedTerm(), next)
	if layoutErr != nil || termErr != nil {
		return
	}
	migration.inFlight = true
	id := l.registerStoreCall(func(r Result) { l.applyMigration(next, r) })
	c.emit(StoreTxn{CallID: id, Txn: wire.Txn{
		If:   []wire.Condition{l.termCondition(), {Key: stored.RecordLayoutKey}},
		Then: []wire.Op{{Put: stored.RecordLayoutKey, Value: layout}, {Put: stored.TermKey, Value: term}},
	}})
}

// applyMigration takes what became of the write of the next layout.
func (l *leader) applyMigration(next record.Layout, r Result) {
	c, migration := l.core, &l.layoutMigration
	migration.inFlight = false
	switch r.Outcome {
	case outcome.OK:
		l.applyLayout(next, r.Txn.Revision)
	case outcome.Conflict:
		// It was applied before, its outcome unknown, or the term has moved on. The next leader finds out.
		c.election.StepDown(election.RecordLayoutIndeterminate)
	case outcome.Unknown, outcome.Unavailable, outcome.NotFound, outcome.Invalid, outcome.TooOld, outcome.TooLarge, outcome.Dropped:
		migration.retryAt = c.now.Steady + c.times.retryPause
		c.wakeBy(migration.retryAt)
	}
}

// applyLayout goes on in the second layout. Records of the first stay where they are, and are overridden where something
// changes.
func (l *leader) applyLayout(next record.Layout, version uint64) {
	c, old := l.core, l.recordLayout
	l.termVersion, l.recordLayout = version, next
	l.layoutMigration.requested = false
	c.cache.ObserveTerm(l.storedTerm(), c.cache.TermFormat(), version)
	c.cache.ObserveRecordLayout(next, version)
	l.writer.dirty = nil
	for _, id := range slices.Sorted(maps.Keys(l.jobs)) {
		l.migrateChunks(l.jobs[id], old)
	}
	c.log(Info, "run record layout migrated", "by_index", next.ByIndex, "by_task", next.ByTask)
}

// migrateChunks spreads a job's chunks over those of the new layout. What the old records don't have yet is written anew.
func (l *leader) migrateChunks(j *job, old record.Layout) {
	chunks := j.chunks
	j.chunks = map[int]*recordChunk{}
	for _, index := range slices.Sorted(maps.Keys(chunks)) {
		ch := chunks[index]
		if ch.version != 0 {
			j.supersede(stored.RunRecordKey(old.Key(j.id, index)), ch.version)
		}
		stale := !ch.persisted() || ch.rereadInFlight
		ch.dirty = false
		first := index * old.ByIndex
		for task := first; task < min(first+old.ByIndex, j.spec.Tasks); task++ {
			part := l.chunkOf(j, task)
			part.highestAttempt = max(part.highestAttempt, ch.highestAttempt)
			if ch.done.Has(task - first) {
				part.done.Set(task % l.tasksPerRecord())
			}
			if stale {
				l.markDirty(part)
			}
		}
	}
}

// supersede notes a record of a layout that is not written any more: it is deleted with the job's end.
func (j *job) supersede(key string, version uint64) {
	if j.superseded == nil {
		j.superseded = map[string]uint64{}
	}
	j.superseded[key] = version
}

// maxRecordBytes is how large a record may be.
func (l *leader) maxRecordBytes() int {
	if l.recordLayout.ByTask > 0 {
		return l.core.limits.maxValueBytes()
	}
	return l.core.limits.largestAcceptedValue()
}

// revertUnwritten ends the placements that were not written, in a record of the first layout that is too large by now. The
// rest of it gets smaller as its tasks end, and is written then.
func (l *leader) revertUnwritten(ch *recordChunk) {
	for _, p := range l.placedIn(ch) {
		if p.phase == phaseUncommitted {
			l.endPlacement(p)
		}
	}
}

// recordFull reports whether the record of a task should take no further placement: the limits have fallen before the
// layout could change.
func (l *leader) recordFull(j *job, task int) bool {
	if l.recordLayout.ByTask > 0 || !l.core.limits.lowered {
		return false
	}
	ch := j.chunks[task/l.tasksPerRecord()]
	return ch != nil && len(l.placedIn(ch)) >= l.core.limits.maxValueBytes()/record.PlacementBytes
}

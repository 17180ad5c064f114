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

// This file changes the layout of the run records, once, when the settings announce smaller values.
//
// Version 1 finds a record by an index, whose meaning follows from its settings; it would take records
// of the second layout for those of other tasks, or delete them. So the change waits until every
// controller is known to run a version that can read both. One that is out of reach is not known to; one
// that has said so once stays so, for versions are not taken back (docs/operating.md). The decision is
// held by the state service, conditional on the term, and nobody goes back on it. With it the term
// is written anew, in a form in which no node of version 1 can win another one; and whoever stood for the
// next term without knowing of the change, or has a write of before on its way, fails by its version.
//
// Until then records are written as before, and may turn out too large: see shed and crowded.

// recordLayoutByTask is the second layout, as nodes tell each other that they know it.
const recordLayoutByTask = 2

// layoutMigration is the state of the change.
type layoutMigration struct {
	requested bool // nothing else is written until it is settled
	inFlight  bool
	retryAt   time.Duration // not before
}

// layout gives the layout that the state service says is in use.
func (c *Core) layout() record.Layout {
	if layout, known := c.cache.RecordLayout(); known {
		return layout
	}
	return record.Layout{ByIndex: record.ByIndexFor(c.limits.present.ValueKB)}
}

// migrateLayout writes the decision once it may be taken and no record is on its way. A record written
// late, after the change, would else tell of tasks what newer ones don't.
func (l *leader) migrateLayout() {
	c, x := l.core, &l.layoutMigration
	if l.recordLayout.ByTask > 0 || !c.limits.valuesShrink() || !c.members.AllSupportRecordLayout(recordLayoutByTask) || c.storeHealth.down || !c.election.LeaseValid() {
		x.requested = x.inFlight
		return
	}
	x.requested = true
	if x.inFlight || l.writer.inFlight > 0 {
		return
	}
	if c.now.Steady < x.retryAt {
		c.wakeBy(x.retryAt)
		return
	}
	next := record.Layout{ByIndex: l.recordLayout.ByIndex, ByTask: record.ByTaskFor(c.limits.maxValueBytes())}
	layout, err1 := next.Encode()
	term, err2 := c.encodeTerm(stored.Term{Number: l.term, Node: c.settings.Node}, next)
	if err1 != nil || err2 != nil {
		return
	}
	x.inFlight = true
	id := l.registerStoreCall(func(r Result) {
		x.inFlight = false
		switch r.Outcome {
		case outcome.OK:
			l.applyLayout(next, r.Txn.Revision)
		case outcome.Conflict:
			// It was applied before, its outcome unknown, or the term has moved on. The next leader
			// finds out.
			c.election.StepDown(election.RecordLayoutIndeterminate)
		default:
			x.retryAt = c.now.Steady + c.times.retryPause
			c.wakeBy(x.retryAt)
		}
	})
	c.emit(StoreTxn{CallID: id, Txn: wire.Txn{
		If:   []wire.Condition{{Key: stored.TermKey, Version: l.termVersion}, {Key: stored.RecordLayoutKey}},
		Then: []wire.Op{{Put: stored.RecordLayoutKey, Value: layout}, {Put: stored.TermKey, Value: term}},
	}})
}

// applyLayout goes on in the second layout. What was written stays where it is, and is overridden
// where something changes.
func (l *leader) applyLayout(next record.Layout, version uint64) {
	c, old := l.core, l.recordLayout
	l.termVersion, l.recordLayout = version, next
	l.layoutMigration.requested = false
	c.cache.ObserveTerm(stored.Term{Number: l.term, Node: c.settings.Node}, c.cache.TermFormat(), version)
	c.cache.ObserveRecordLayout(next, version)
	l.writer.dirty = nil
	for _, id := range slices.Sorted(maps.Keys(l.jobs)) {
		l.migrateChunks(l.jobs[id], old)
	}
	c.log(Info, "run record layout migrated", "by_index", next.ByIndex, "by_task", next.ByTask)
}

// migrateChunks spreads a job's chunks over those of the new layout. What the old records don't tell yet is
// written anew.
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

// supersede takes note of a record of a layout that is not written any more: it goes with the job's end.
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

// revertUnwritten takes back what was placed and not written, in a record of the first layout that is too large by
// now. The rest of it gets smaller as its tasks end, and is written then.
func (l *leader) revertUnwritten(ch *recordChunk) {
	for _, p := range l.placedIn(ch) {
		if p.phase == phaseUncommitted {
			l.endPlacement(p)
		}
	}
}

// recordFull tells whether the record of a task had better take no further placement: the limits have
// fallen before the layout could change.
func (l *leader) recordFull(j *job, task int) bool {
	if l.recordLayout.ByTask > 0 || !l.core.limits.lowered {
		return false
	}
	ch := j.chunks[task/l.tasksPerRecord()]
	return ch != nil && len(l.placedIn(ch)) >= l.core.limits.maxValueBytes()/record.PlacementBytes
}

package core

import (
	"slices"
	"time"

	"bitternwing/internal/call"
	"bitternwing/internal/config"
	"bitternwing/internal/wire"
)

// writer brings what the leader decided into the state service, many changes to a
// transaction and within the write rate. Each transaction is conditional on the
// term, and on the version of each key that it changes: one that is applied late
// changes nothing.
type writer struct {
	l         *leader
	dirty     []*chunk
	finishes  []*job
	cancels   []*job // that need a cancelled job
	orphans   []wire.Condition
	inFlight  int
	notBefore time.Duration // after a transaction above the service's rate

	tokens   float64
	tokensAt time.Duration

	countsAt    time.Duration
	countsBusy  bool
	countsLast  map[string]string
	countsInUse int // shards that were needed at some time
	catalogOut  bool
}

func (w *writer) init(l *leader) {
	w.l = l
	w.countsLast = map[string]string{}
	w.tokensAt = l.c.now.Steady
	w.tokens = w.rate()
}

// rate leaves a part of the writes to submissions and cancels at all nodes.
func (w *writer) rate() float64 {
	return 0.6 * w.l.c.limits.writesPerSecond(w.l.c.now.Steady)
}

func (l *leader) mark(ch *chunk) {
	l.changes++
	if !ch.dirty {
		ch.dirty = true
		l.writes.dirty = append(l.writes.dirty, ch)
	}
}

// clean tells whether all that is known about a chunk is in the state service.
func (ch *chunk) clean() bool { return !ch.dirty && !ch.inFlight }

func (w *writer) orphan(key string, version uint64) {
	w.orphans = append(w.orphans, wire.Condition{Key: key, Version: version})
}

func (w *writer) refill() {
	now := w.l.c.now.Steady
	w.tokens = min(max(w.rate(), endWrites), w.tokens+w.rate()*(now-w.tokensAt).Seconds())
	w.tokensAt = now
}

func (w *writer) run() {
	c := w.l.c
	w.refill()
	if c.now.Steady < w.notBefore {
		c.wakeBy(w.notBefore)
		return
	}
	if w.l.change.wanted || w.l.guard.target != baseTermFormat {
		return
	}
	for w.inFlight < 2 && !c.storeDown {
		if need := w.least(); w.tokens < need {
			w.wakeAt(need)
			return
		}
		if !w.one() {
			break
		}
	}
	if len(w.dirty) > 0 && w.tokens < w.reserve()+1 {
		w.wakeAt(w.reserve() + 1)
	}
	w.counts()
	w.writeCatalog()
}

// slowLeases is for how many of workers' leases writes keep to the rate that is to come, after one was
// above the service's rate.
const slowLeases = 6

// least is what a transaction has to be able to write. Where writes are scarce the end of a job
// would never find its two at once, were records of tasks to take each as it comes.
func (w *writer) least() float64 {
	if len(w.finishes) > 0 {
		return endWrites
	}
	return 1
}

// reserve is what records of idle-time work leave to all other writes: a huge array of short
// tasks always has more to write than the rate allows.
func (w *writer) reserve() float64 { return w.rate() / 2 }

// wakeAt has the core woken when there are so many tokens.
func (w *writer) wakeAt(tokens float64) {
	c := w.l.c
	c.wakeBy(c.now.Steady + max(time.Millisecond, config.Seconds((tokens-w.tokens)/w.rate())))
}

// batch is a transaction being put together.
type batch struct {
	txn    wire.Txn
	size   int
	seen   map[string]bool
	chunks []*chunk
	placed []*placement
	jobs   []*job
	cancel []cancelledJob
	orphan []wire.Condition
}

func (b *batch) cond(key string, version uint64) {
	if !b.seen[key] {
		b.seen[key] = true
		b.txn.If = append(b.txn.If, wire.Condition{Key: key, Version: version})
	}
}

// one sends one transaction; false if there is nothing to write.
func (w *writer) one() bool {
	l, c := w.l, w.l.c
	ops := min(c.limits.maxChanges(), int(w.tokens))
	b := &batch{seen: map[string]bool{}}
	b.cond(termKey, l.version)

	// Ends of jobs first: users wait for them.
	var laterJobs []*job
	for i, j := range w.finishes {
		if l.jobs[j.id] != j {
			continue
		}
		if len(b.txn.Then)+endWrites > ops {
			laterJobs = append(laterJobs, w.finishes[i:]...)
			break
		}
		if !w.addFinish(b, j, ops) {
			laterJobs = append(laterJobs, j)
		}
	}
	w.finishes = laterJobs

	w.addCancels(b, ops)

	// Then records of tasks, the most urgent work first: what starts waits for them.
	slices.SortStableFunc(w.dirty, func(a, b *chunk) int { return priority(b.job) - priority(a.job) })
	idleOps := int(w.tokens - w.reserve())
	var laterChunks []*chunk
	for _, ch := range w.dirty {
		if ch.job.final || l.jobs[ch.job.id] != ch.job {
			ch.dirty = false
			continue
		}
		if ch.inFlight || ch.reading || len(b.txn.Then) >= ops || len(b.txn.If)+2 > c.limits.maxConditions() ||
			b.size > wire.MaxBody/2 || ch.job.idleTime() && len(b.txn.Then) >= idleOps {
			laterChunks = append(laterChunks, ch)
			continue
		}
		if !w.addChunk(b, ch) {
			laterChunks = append(laterChunks, ch)
		}
	}
	w.dirty = laterChunks

	for len(w.orphans) > 0 && len(b.txn.Then) < ops {
		o := w.orphans[0]
		w.orphans = w.orphans[1:]
		b.cond(o.Key, o.Version)
		b.txn.Then = append(b.txn.Then, wire.Op{Delete: o.Key})
		b.orphan = append(b.orphan, o)
	}
	if len(b.txn.Then) == 0 {
		return false
	}
	w.tokens -= float64(len(b.txn.Then))
	w.inFlight++
	id := l.stateCall(func(r Result) {
		w.inFlight--
		w.settle(b, r)
	})
	c.emit(StoreTxn{CallID: id, Txn: b.txn})
	return true
}

// addChunk adds a record; false if it is too large to be written now.
func (w *writer) addChunk(b *batch, ch *chunk) bool {
	value, placed := w.l.encode(ch)
	if len(value) > w.l.mostRecord() {
		w.l.shed(ch)
		if value, placed = w.l.encode(ch); len(value) > w.l.mostRecord() {
			return false
		}
	}
	key := w.l.runKey(ch)
	b.cond(key, ch.version)
	for _, p := range placed {
		if p.phase == uncommitted {
			// A new placement stands only while the job is not cancelled.
			b.cond(activeJobPrefix+ch.job.id, ch.job.version)
			b.placed = append(b.placed, p)
		}
	}
	b.txn.Then = append(b.txn.Then, wire.Op{Put: key, Value: value})
	b.size += len(value) + 128
	b.chunks = append(b.chunks, ch)
	ch.dirty, ch.inFlight = false, true
	return true
}

// settle takes a transaction's outcome. Unless it is known to have been applied,
// all of it is written again from what is known now; if an unknown one was applied
// after all, the versions no longer match and are read.
func (w *writer) settle(b *batch, r Result) {
	failed := map[string]bool{}
	if r.Outcome == call.Conflict {
		for _, k := range r.Txn.Failed {
			failed[k] = true
		}
		if failed[termKey] {
			w.l.c.election.stepDown("the term moved on")
			return
		}
	}
	for _, ch := range b.chunks {
		w.settleChunk(ch, r, failed)
	}
	if r.Outcome == call.OK {
		for _, p := range b.placed {
			if p.phase == uncommitted {
				p.phase = committed
				w.l.due = append(w.l.due, p.machine)
			}
		}
	}
	for _, x := range b.cancel {
		w.settleCancel(x, r, failed)
	}
	for _, j := range b.jobs {
		if w.l.jobs[j.id] == j { // else it was found to be over meanwhile
			w.settleEnd(j, b, r, failed)
		}
	}
	if r.Outcome == call.OK {
		return
	}
	if r.Outcome == call.Dropped {
		w.tokens += float64(len(b.txn.Then))
		w.notBefore = w.l.c.now.Steady + w.l.c.times.retryPause
		w.l.c.limits.throttle(w.l.c.now.Steady, slowLeases*w.l.c.times.lease)
	}
	for _, o := range b.orphan {
		if !failed[o.Key] {
			w.orphans = append(w.orphans, o)
		}
	}
	if r.Outcome == call.Invalid {
		w.l.c.limits.observeInvalid(b.txn)
		w.l.c.log(Error, "a transaction was malformed", "ops", len(b.txn.Then))
	}
}

// settleChunk takes what became of a record.
func (w *writer) settleChunk(ch *chunk, r Result, failed map[string]bool) {
	ch.inFlight = false
	key := w.l.runKey(ch)
	switch {
	case r.Outcome == call.OK:
		ch.version = r.Txn.Revision
	case failed[key]:
		w.l.mark(ch)
		w.reread(ch)
	default:
		w.l.mark(ch)
	}
	if failed[activeJobPrefix+ch.job.id] {
		w.rereadJob(ch.job)
	}
}

// reread finds the version of a record whose last write had an unknown outcome.
// Only the version counts: the leader is the only writer of its term.
func (w *writer) reread(ch *chunk) {
	if ch.reading {
		return
	}
	ch.reading = true
	id := w.l.stateCall(func(r Result) {
		ch.reading = false
		switch r.Outcome {
		case call.OK:
			ch.version = r.Item.Version
		case call.Missing:
			ch.version = 0
		}
	})
	w.l.c.emit(StoreGet{CallID: id, Key: w.l.runKey(ch)})
}

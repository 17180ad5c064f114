package core

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"bitternwing/internal/call"
	"bitternwing/internal/capacity"
	"bitternwing/internal/record"
	"bitternwing/internal/spread"
	"bitternwing/internal/wire"
)

// leader is the state of a node that holds a term. All of it is rebuilt at a win:
// first from the records in the state service, then from workers' reports.
type leader struct {
	c       *Core
	term    uint64
	version uint64 // of the term key; every write is conditional on it
	since   time.Duration

	loaded    bool // the records are read
	reading   bool
	readAt    time.Duration        // no reading before this
	runs      map[string]wire.Item // records read so far
	runsAfter string               // the last key of the pages read so far
	runsAll   bool
	runsAllAt time.Duration // when all were
	unread    unreadTerm

	jobs       map[string]*job
	order      []*job // by acceptance
	machines   map[string]*machine
	fleet      []*machine // by name
	room       *capacity.Index[*host]
	replicas   *spread.Ledger
	moves      moves
	prefetches prefetches
	due        []*machine    // with starts that were just committed
	layout     record.Layout // of the run records
	change     layoutChange
	guard      termFormatUpgrade
	plans      *planRuns
	allowances *allowances
	evaluated  uint64                   // evaluations of the dependency graph that are taken in
	released   map[string]time.Duration // names given back, so that late reports of them don't count
	// changes counts what reports change, and evidenceCount the reports that were taken as evidence.
	changes, evidenceCount uint64
	inspecting             int
	ordering               int                      // direct orders without an answer yet
	idleAt                 time.Duration            // when this leader was last not entitled to act
	outAt                  map[string]time.Duration // when a zone was last seen cut off with its nodes
	apart                  []string                 // zones much of which can not be reached, whoever keeps it
	cutZones               map[string]bool          // zones much of which is silent; true: none of their nodes answers either

	releaseAt   time.Duration // when held answers are given next
	tendAt      time.Duration // when the fleet and the cancelled jobs are looked through next
	writes      writer
	rentals     rentals
	rounds      rounds
	images      imageHints
	unreachable unreachableHints
}

func newLeader(c *Core, term, version uint64) *leader {
	l := &leader{c: c, term: term, version: version, since: c.now.Steady, releaseAt: farFuture,
		runs: map[string]wire.Item{}, jobs: map[string]*job{}, machines: map[string]*machine{},
		room: capacity.NewIndex[*host](), replicas: spread.NewLedger(), released: map[string]time.Duration{}, cutZones: map[string]bool{}, outAt: map[string]time.Duration{}}
	l.unread.renewedBefore = c.leaseRenewals.answers[RecoveringLeaderBasis]
	l.plans = newPlanRuns(l)
	l.allowances = newAllowances(l)
	l.writes.init(l)
	l.rentals.init(l)
	l.rounds.at = c.now.Steady
	l.unreachable = unreachableHints{l: l, at: c.now.Steady + c.times.checkInterval}
	l.images = imageHints{l: l, at: c.now.Steady, last: map[string]string{}}
	return l
}

// call registers a result that counts only while this term lasts.
func (l *leader) call(f func(Result)) uint64 {
	return l.c.registerCall(func(r Result) {
		if l.c.leader == l {
			f(r)
		}
	})
}

func (l *leader) stateCall(f func(Result)) uint64 {
	return l.c.registerStoreCall(func(r Result) {
		if l.c.leader == l {
			f(r)
		}
	})
}

func (l *leader) run() {
	if !l.loaded {
		l.load()
		if !l.loaded {
			return
		}
	}
	l.followDependencies()
	l.allowances.run()
	if now := l.c.now.Steady; now >= l.tendAt {
		l.tendAt = l.c.coalesce(now + 1)
		l.watchMachines()
		l.cancels()
		l.rentals.stuck()
		l.c.warnOfUndersizedSettings(len(l.fleet))
	}
	l.c.wakeBy(l.tendAt)
	l.round()
	l.changeLayout()
	l.upgradeTermFormat()
	l.plans.run()
	l.runPrefetches()
	l.writes.run()
	l.orders()
	l.releaseAnswers()
	l.rentals.run()
	l.images.run()
	l.unreachable.run()
}

// entitled tells whether this leader may act for the controllers: in time, or in
// an outage of the state service that all nodes confirm, in which nobody can win
// a term.
func (l *leader) entitled() bool { return l.c.election.leaseValid() || l.c.storeOutageConfirmed() }

// load reads the run records and waits until the watch has come as far as the
// win. Both are then complete: later writes of earlier terms fail.
func (l *leader) load() {
	if !l.reading && !l.runsAll {
		if l.c.now.Steady < l.readAt {
			l.c.wakeBy(l.readAt)
			return
		}
		l.readRuns()
	}
	if !l.runsAll || l.c.cache.revision < l.version {
		l.warnUnread()
		return
	}
	l.layout = l.c.layout()
	l.unreachable.last = l.c.cache.unreachableHintTexts()
	ids := make([]string, 0, len(l.c.cache.jobs))
	for id := range l.c.cache.jobs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		l.addJob(id, l.c.cache.jobs[id])
	}
	l.takeRecords(l.runs)
	l.runs = nil
	l.loaded = true
	for _, id := range ids {
		j := l.jobs[id]
		l.jobChanged(id)
		l.finishIfDone(j)
	}
	l.c.log(Info, "records read", "term", l.term, "jobs", len(l.jobs))
	l.logTakeover()
	l.wantRound()
}

// readRuns reads the next page of the run records, and those after it.
func (l *leader) readRuns() {
	l.reading = true
	id := l.stateCall(func(r Result) {
		l.reading = false
		if r.Outcome != call.OK {
			// What was read stays as it is: nobody but this leader writes records in its term.
			l.readAt = l.c.now.Steady + l.c.times.retryPause
			l.c.wakeBy(l.readAt)
			return
		}
		for _, it := range r.Page.Items {
			l.runs[it.Key] = it
		}
		if n := len(r.Page.Items); r.Page.More && n > 0 {
			l.runsAfter = r.Page.Items[n-1].Key
			l.readRuns()
			return
		}
		l.runsAll, l.runsAllAt = true, l.c.now.Steady
	})
	l.c.emit(StoreList{CallID: id, Prefix: runRecordPrefix, After: l.runsAfter})
}

// takeRecords takes the run records of earlier terms.
func (l *leader) takeRecords(items map[string]wire.Item) {
	found := map[string][]record.Stored{}
	for _, name := range slices.Sorted(maps.Keys(items)) {
		it := items[name]
		key, ok := record.ParseKey(strings.TrimPrefix(name, runRecordPrefix))
		if !ok {
			l.c.log(Error, "a run record of another version", "key", name)
			continue
		}
		if l.jobs[key.Job] == nil {
			l.writes.orphan(name, it.Version)
			continue
		}
		r, err := record.Decode(it.Value, l.layout.TasksOf(key))
		if err != nil {
			l.c.log(Error, "a run record can't be read", "key", name, "error", err.Error())
			continue
		}
		found[key.Job] = append(found[key.Job], record.Stored{Key: key, Version: it.Version, Record: r})
	}
	for _, id := range slices.Sorted(maps.Keys(found)) {
		l.takeParts(l.jobs[id], found[id])
	}
}

// takeParts takes what a job's records tell. Each placement in them may be running, or its start still
// on the way, until its machine tells.
func (l *leader) takeParts(j *job, found []record.Stored) {
	if j.waiting {
		// A job has a record only if an earlier leader found it ready.
		l.admit(j)
	}
	if !j.queued {
		l.enqueue(j) // held by a plan that goes back, after it was placed
	}
	for _, s := range found {
		if l.layout.ByTask > 0 && !s.Key.ByTask {
			j.supersede(runRecordPrefix+s.Key.String(), s.Version)
		}
	}
	parts := l.layout.Assemble(found)
	for _, index := range slices.Sorted(maps.Keys(parts)) {
		part := parts[index]
		ch := l.chunkOf(j, index*l.chunkSize())
		ch.version, ch.next, ch.done = part.Version, part.Next, part.Done
		j.done += part.Done.Count()
		for _, task := range slices.Sorted(maps.Keys(part.Placed)) {
			if task < j.spec.Tasks {
				l.inherit(j, task, part.Placed[task])
			}
		}
	}
}

// inherit takes a placement of an earlier term.
func (l *leader) inherit(j *job, task int, run record.Run) {
	m := l.machine(run.Machine)
	m.seenUp = true
	p := &placement{job: j, task: task, attempt: run.Attempt, machine: m, session: run.Session,
		phase: sent, sentSeq: inherited, since: l.c.now.Steady}
	j.hold(p)
	m.touch(j.spec.Image, j.spec.ImageGB)
}

// jobChanged takes a change of a job's key from the watch.
func (l *leader) jobChanged(id string) {
	if !l.loaded {
		return
	}
	e, j := l.c.cache.jobs[id], l.jobs[id]
	if e == nil {
		return // only the leader ends jobs, and drops them itself
	}
	if j == nil {
		if _, over := l.c.cache.finals[id]; over {
			return
		}
		j = l.addJob(id, e)
		l.wantRound()
	}
	j.version = max(j.version, e.version)
	if e.CancelledMS != 0 && !j.cancelled {
		l.cancelJob(j, e.CancelledMS)
	}
}

// cancelJob stops all of a job. What was not yet sent never will be.
func (l *leader) cancelJob(j *job, atMS int64) {
	age := time.Duration(max(0, l.c.now.WallMS-atMS)) * time.Millisecond
	j.cancelled = true
	j.cancelledAt = l.c.now.Steady - age
	for _, p := range j.byTask() {
		if p.phase < sent {
			l.end(p)
			continue
		}
		p.halt(stopNow, stopCancelled)
		p.stopOut = false
		if p.direct != 0 {
			// Its start may still be on the way, behind the stop.
			l.raise(p.machine, p.direct)
		}
		l.due = append(l.due, p.machine)
	}
	l.wantRound()
	l.finishIfDone(j)
}

// byTask gives a job's placements in order.
func (j *job) byTask() []*placement {
	ps := make([]*placement, 0, len(j.placed))
	for _, p := range j.placed {
		ps = append(ps, p)
	}
	sort.Slice(ps, func(a, b int) bool { return ps[a].task < ps[b].task })
	return ps
}

// finishIfDone writes a job's final state once all its tasks are done, or all are
// gone after a cancel.
func (l *leader) finishIfDone(j *job) {
	if j.final || len(j.placed) > 0 {
		return
	}
	if j.cancelled || j.array() && j.done >= j.spec.Tasks {
		j.final = true
		l.writes.finish(j)
	}
}

// cancels sees to it that a cancelled job's tasks are gone in time: a machine that
// does not obey is released.
func (l *leader) cancels() {
	if !l.entitled() {
		return
	}
	for _, j := range l.order {
		if !j.cancelled || len(j.placed) == 0 {
			continue
		}
		for _, p := range j.byTask() {
			if l.c.now.Steady >= l.cancelDue(p) {
				l.rentals.release(p.machine, releaseCancelled)
			}
		}
	}
}

// cancelDue tells when a machine with a task of a cancelled job is released for it. Releasing takes
// a call or two and a retry: half the time is left for it. What an earlier leader
// recorded may long be gone, its end not yet written: the machine gets the time to say so here,
// as far as there is any.
func (l *leader) cancelDue(p *placement) time.Duration {
	due := p.job.cancelledAt + l.c.times.cancelDeadline*4/10
	if !p.machine.up {
		due = max(due, min(l.since+l.c.times.lease/2, p.job.cancelledAt+l.c.times.cancelDeadline*6/10))
	}
	return due
}

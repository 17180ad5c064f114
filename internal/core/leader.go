package core

import (
	"maps"
	"slices"
	"sort"
	"time"

	"bitternwing/internal/capacity"
	"bitternwing/internal/outcome"
	"bitternwing/internal/record"
	"bitternwing/internal/stored"
	"bitternwing/internal/topologyspread"
	"bitternwing/internal/wire"
)

// leader is the state of a node that holds a term. All of it is rebuilt at a win:
// first from the records in the state service, then from workers' reports.
type leader struct {
	core        *Core
	term        uint64
	termVersion uint64 // of the term key; every write is conditional on it
	startedAt   time.Duration

	recovered          bool // the records are read
	recordReadInFlight bool
	nextRecordRead     time.Duration        // no reading before this
	recordItems        map[string]wire.Item // records read so far
	recordCursor       string               // the last key of the pages read so far
	allRecordsRead     bool
	recordsReadAt      time.Duration // when all were
	recovery           recoveryStats

	jobs             map[string]*job
	queue            []*job // by acceptance
	machines         map[string]*machine
	machinesByName   []*machine // by name
	capacityIndex    *capacity.Index[*schedulableMachine]
	replicaLedger    *topologyspread.Ledger
	rebalancing      rebalancing
	prefetches       imagePrefetcher
	pendingDispatch  []*machine    // with starts that were just committed
	recordLayout     record.Layout // of the run records
	layoutMigration  layoutMigration
	termUpgrade      termFormatUpgrade
	rollouts         *rolloutManager
	quotas           *quotaManager
	dependenciesSeen uint64                   // evaluations of the dependency graph that are taken in
	releasedMachines map[string]time.Duration // names given back, so that late reports of them don't count
	// changes counts what reports change, and evidenceCount the reports that were taken as evidence.
	observedChanges, reconciliations uint64
	statusQueriesInFlight            int
	commandsInFlight                 int                      // direct orders without an answer yet
	lastWithoutAuthority             time.Duration            // when this leader was last not entitled to act
	zoneIsolatedAt                   map[string]time.Duration // when a zone was last seen cut off with its nodes
	unreachableZones                 []string                 // zones much of which can not be reached, whoever keeps it
	silentZones                      map[string]bool          // zones much of which is silent; true: none of their nodes answers either

	nextHeldResponse time.Duration // when held answers are given next
	nextFleetCheck   time.Duration // when the fleet and the cancelled jobs are looked through next
	writer           writer
	provisioner      provisioner
	cycles           cycleTimer
	images           imageHints
	unreachable      unreachableHints
}

func newLeader(c *Core, term, version uint64) *leader {
	l := &leader{core: c, term: term, termVersion: version, startedAt: c.now.Steady, nextHeldResponse: farFuture,
		recordItems: map[string]wire.Item{}, jobs: map[string]*job{}, machines: map[string]*machine{},
		capacityIndex: capacity.NewIndex[*schedulableMachine](), replicaLedger: topologyspread.NewLedger(), releasedMachines: map[string]time.Duration{}, silentZones: map[string]bool{}, zoneIsolatedAt: map[string]time.Duration{}}
	l.recovery.renewalsBefore = c.leaseRenewals.responses[RecoveringLeaderBasis]
	l.rollouts = newRolloutManager(l)
	l.quotas = newQuotaManager(l)
	l.writer.init(l)
	l.provisioner.init(l)
	l.cycles.nextAt = c.now.Steady
	l.unreachable = unreachableHints{leader: l, nextWrite: c.now.Steady + c.times.checkInterval}
	l.images = imageHints{leader: l, nextWrite: c.now.Steady, written: map[string]string{}}
	return l
}

// call registers a result that counts only while this term lasts.
func (l *leader) call(f func(Result)) uint64 {
	return l.core.registerCall(func(r Result) {
		if l.core.leader == l {
			f(r)
		}
	})
}

func (l *leader) stateCall(f func(Result)) uint64 {
	return l.core.registerStoreCall(func(r Result) {
		if l.core.leader == l {
			f(r)
		}
	})
}

func (l *leader) run() {
	if !l.recovered {
		l.recoverState()
		if !l.recovered {
			return
		}
	}
	l.followDependencies()
	l.quotas.run()
	if now := l.core.now.Steady; now >= l.nextFleetCheck {
		l.nextFleetCheck = l.core.coalesce(now + 1)
		l.checkMachines()
		l.enforceCancellations()
		l.provisioner.releaseNeverUp()
		l.core.warnOfUndersizedSettings(len(l.machinesByName))
	}
	l.core.wakeBy(l.nextFleetCheck)
	l.runSchedulingCycle()
	l.migrateLayout()
	l.upgradeTermFormat()
	l.rollouts.run()
	l.runPrefetches()
	l.writer.run()
	l.sendDirectCommands()
	l.sendDueHeldResponses()
	l.provisioner.run()
	l.images.run()
	l.unreachable.run()
}

// turnAwayWaiting answers everyone who waits for this leader, whose term ends.
func (l *leader) turnAwayWaiting() {
	l.redirectHeldResponses()
	l.rollouts.refuseWaiting()
	l.quotas.refuseWaiting()
}

// hasAuthority tells whether this leader may act for the controllers: in time, or in
// an outage of the state service that all nodes confirm, in which nobody can win
// a term.
func (l *leader) hasAuthority() bool {
	return l.core.election.LeaseValid() || l.core.storeOutageConfirmed()
}

// recoverState reads the run records and waits until the watch has come as far as the
// win. Both are then complete: later writes of earlier terms fail.
func (l *leader) recoverState() {
	if !l.recordReadInFlight && !l.allRecordsRead {
		if l.core.now.Steady < l.nextRecordRead {
			l.core.wakeBy(l.nextRecordRead)
			return
		}
		l.readRecords()
	}
	if !l.allRecordsRead || l.core.cache.Revision() < l.termVersion {
		l.warnSlowRecovery()
		return
	}
	l.recordLayout = l.core.layout()
	l.unreachable.written = l.core.cache.UnreachableHintValues()
	ids := l.core.cache.JobIDs()
	for _, id := range ids {
		l.addJob(id, l.core.cache.Job(id))
	}
	l.applyRecords(l.recordItems)
	l.recordItems = nil
	l.recovered = true
	for _, id := range ids {
		j := l.jobs[id]
		l.applyJobChange(id)
		l.finishIfDone(j)
	}
	l.core.log(Info, "leader recovered state", "term", l.term, "jobs", len(l.jobs))
	l.logFailover()
	l.requestCycle()
}

// readRecords reads the next page of the run records, and those after it.
func (l *leader) readRecords() {
	l.recordReadInFlight = true
	id := l.stateCall(func(r Result) {
		l.recordReadInFlight = false
		if r.Outcome != outcome.OK {
			// What was read stays as it is: nobody but this leader writes records in its term.
			l.nextRecordRead = l.core.now.Steady + l.core.times.retryPause
			l.core.wakeBy(l.nextRecordRead)
			return
		}
		for _, it := range r.Page.Items {
			l.recordItems[it.Key] = it
		}
		if n := len(r.Page.Items); r.Page.More && n > 0 {
			l.recordCursor = r.Page.Items[n-1].Key
			l.readRecords()
			return
		}
		l.allRecordsRead, l.recordsReadAt = true, l.core.now.Steady
	})
	l.core.emit(StoreList{CallID: id, Prefix: stored.RunRecordPrefix, After: l.recordCursor})
}

// applyRecords takes the run records of earlier terms.
func (l *leader) applyRecords(items map[string]wire.Item) {
	found := map[string][]record.Entry{}
	for _, name := range slices.Sorted(maps.Keys(items)) {
		it := items[name]
		key, ok := stored.ParseRunRecordKey(name)
		if !ok {
			l.core.log(Error, "run record key not recognized", "key", name)
			continue
		}
		if l.jobs[key.Job] == nil {
			l.writer.deleteOrphan(name, it.Version)
			continue
		}
		r, err := record.Decode(it.Value, l.recordLayout.TasksOf(key))
		if err != nil {
			l.core.log(Error, "run record unreadable", "key", name, "error", err.Error())
			continue
		}
		found[key.Job] = append(found[key.Job], record.Entry{Key: key, Version: it.Version, Record: r})
	}
	for _, id := range slices.Sorted(maps.Keys(found)) {
		l.applyJobRecords(l.jobs[id], found[id])
	}
}

// applyJobRecords takes what a job's records tell. Each placement in them may be running, or its start still
// on the way, until its machine tells.
func (l *leader) applyJobRecords(j *job, found []record.Entry) {
	if j.waitingForDependencies {
		// A job has a record only if an earlier leader found it ready.
		l.admit(j)
	}
	if !j.queued {
		l.enqueue(j) // held by a plan that goes back, after it was placed
	}
	for _, s := range found {
		if l.recordLayout.ByTask > 0 && !s.Key.ByTask {
			j.supersede(stored.RunRecordKey(s.Key), s.Version)
		}
	}
	parts := l.recordLayout.Assemble(found)
	for _, index := range slices.Sorted(maps.Keys(parts)) {
		part := parts[index]
		ch := l.chunkOf(j, index*l.tasksPerRecord())
		ch.version, ch.highestAttempt, ch.done = part.Version, part.HighestAttempt, part.Done
		j.done += part.Done.Count()
		for _, task := range slices.Sorted(maps.Keys(part.Placed)) {
			if task < j.spec.Tasks {
				l.adoptPlacement(j, task, part.Placed[task])
			}
		}
	}
}

// adoptPlacement takes a placement of an earlier term.
func (l *leader) adoptPlacement(j *job, task int, run record.Run) {
	m := l.machineNamed(run.Machine)
	m.everReported = true
	p := &placement{job: j, task: task, attempt: run.Attempt, machine: m, incarnation: run.Incarnation,
		phase: phaseSent, startSequence: startSequenceUnknown, placedAt: l.core.now.Steady}
	j.addPlacement(p)
	m.addImage(j.spec.Image, j.spec.ImageGB)
}

// applyJobChange takes a change of a job's key from the watch.
func (l *leader) applyJobChange(id string) {
	if !l.recovered {
		return
	}
	e, j := l.core.cache.Job(id), l.jobs[id]
	if e == nil {
		return // only the leader ends jobs, and drops them itself
	}
	if j == nil {
		if _, over := l.core.cache.FinalState(id); over {
			return
		}
		j = l.addJob(id, e)
		l.requestCycle()
	}
	j.version = max(j.version, e.Version)
	if e.CancelledMS != 0 && !j.cancelled {
		l.applyCancellation(j, e.CancelledMS)
	}
}

// applyCancellation stops all of a job. What was not yet sent never will be.
func (l *leader) applyCancellation(j *job, atMS int64) {
	age := time.Duration(max(0, l.core.now.WallMS-atMS)) * time.Millisecond
	j.cancelled = true
	j.cancelledAt = l.core.now.Steady - age
	for _, p := range j.placementsByTask() {
		if p.phase < phaseSent {
			l.endPlacement(p)
			continue
		}
		p.requestStop(stopImmediate, stopCancelled)
		p.stopSent = false
		if p.directStartToken != 0 {
			// Its start may still be on the way, behind the stop.
			p.machine.fence.RaiseAbove(p.directStartToken)
		}
		l.pendingDispatch = append(l.pendingDispatch, p.machine)
	}
	l.requestCycle()
	l.finishIfDone(j)
}

// placementsByTask gives a job's placements in order.
func (j *job) placementsByTask() []*placement {
	ps := make([]*placement, 0, len(j.placements))
	for _, p := range j.placements {
		ps = append(ps, p)
	}
	sort.Slice(ps, func(a, b int) bool { return ps[a].task < ps[b].task })
	return ps
}

// finishIfDone writes a job's final state once all its tasks are done, or all are
// gone after a cancel.
func (l *leader) finishIfDone(j *job) {
	if j.ending || len(j.placements) > 0 {
		return
	}
	if j.cancelled || j.isArray() && j.done >= j.spec.Tasks {
		j.ending = true
		l.writer.queueEnd(j)
	}
}

// enforceCancellations sees to it that a cancelled job's tasks are gone in time: a machine that
// does not obey is released.
func (l *leader) enforceCancellations() {
	if !l.hasAuthority() {
		return
	}
	for _, j := range l.queue {
		if !j.cancelled || len(j.placements) == 0 {
			continue
		}
		for _, p := range j.placementsByTask() {
			if l.core.now.Steady >= l.cancellationDeadline(p) {
				l.provisioner.release(p.machine, releaseCancelled)
			}
		}
	}
}

// cancellationDeadline tells when a machine with a task of a cancelled job is released for it. Releasing takes
// a call or two and a retry: half the time is left for it. What an earlier leader
// recorded may long be gone, its end not yet written: the machine gets the time to say so here,
// as far as there is any.
func (l *leader) cancellationDeadline(p *placement) time.Duration {
	due := p.job.cancelledAt + l.core.times.cancelDeadline*4/10
	if !p.machine.reported {
		due = max(due, min(l.startedAt+l.core.times.lease/2, p.job.cancelledAt+l.core.times.cancelDeadline*6/10))
	}
	return due
}

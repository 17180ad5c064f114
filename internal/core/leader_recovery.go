package core

import (
	"maps"
	"slices"
	"time"

	"bitternwing/internal/outcome"
	"bitternwing/internal/record"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// leaderRecovery restores the state of earlier terms when a term begins: the jobs from the watch cache, and their
// placements from the run records, which are read page by page.
//
// Both are complete once all pages are read and the watch has reached the revision at which the term was won. Writes of
// earlier leaders that arrive later fail, since the version of the term key has changed.
//
// The records are decoded page by page too, each page in a step of its own, so that workers and users are answered in
// between.
//
// Until then the leader only renews the leases of workers, which would expire otherwise, and stops the tasks that it
// knows to be cancelled, like every node that renews a lease. It makes no other decisions.
type leaderRecovery struct {
	leader *leader

	pages        [][]wire.Item             // pages of run records that are not decoded yet
	entriesByJob map[string][]record.Entry // decoded run records
	orphans      []wire.Condition          // run records of jobs that have ended
	lastKey      string                    // last key of the last page read
	readInFlight bool
	nextRead     time.Duration // earliest time of the next read
	recordsRead  bool          // all pages have been read
	completedAt  time.Duration // when the last page was read

	renewalsAtStart uint64 // leases that this process renewed during the recoveries of earlier terms
	slowLogged      bool
}

func newLeaderRecovery(l *leader) *leaderRecovery {
	return &leaderRecovery{leader: l, entriesByJob: map[string][]record.Entry{},
		renewalsAtStart: l.core.leaseRenewals.responses[RecoveringLeaderBasis]}
}

// run reads the next page if it is due, and restores the state once everything is read.
func (r *leaderRecovery) run() {
	l, c := r.leader, r.leader.core
	if !r.readInFlight && !r.recordsRead {
		if c.now.Steady < r.nextRead {
			c.wakeBy(r.nextRead)
			return
		}
		r.readPage()
	}
	if !r.recordsRead || c.cache.Revision() < l.termVersion {
		r.logIfSlow()
		return
	}
	if len(r.pages) > 0 {
		r.decodePage()
	}
	if len(r.pages) > 0 {
		c.wakeBy(c.now.Steady) // the next page
		return
	}
	r.restore()
}

// readPage reads the next page of the run records.
func (r *leaderRecovery) readPage() {
	r.readInFlight = true
	id := r.leader.registerStoreCall(r.handlePage)
	r.leader.core.emit(StoreList{CallID: id, Prefix: stored.RunRecordPrefix, After: r.lastKey})
}

// handlePage stores a page and reads the next one. If a read fails, the pages read before it stay valid, since only
// this leader writes records in its term.
func (r *leaderRecovery) handlePage(result Result) {
	c := r.leader.core
	r.readInFlight = false
	if result.Outcome != outcome.OK {
		r.nextRead = c.now.Steady + c.times.retryPause
		c.wakeBy(r.nextRead)
		return
	}
	items := result.Page.Items
	r.pages = append(r.pages, items)
	if result.Page.More && len(items) > 0 {
		r.lastKey = items[len(items)-1].Key
		r.readPage()
		return
	}
	r.recordsRead, r.completedAt = true, c.now.Steady
}

// restore builds the leader's jobs and placements from the watch cache and the run records.
func (r *leaderRecovery) restore() {
	l, c := r.leader, r.leader.core
	l.records.layout = c.layout()
	l.unreachableHints.written = c.cache.UnreachableHintValues()
	ids := c.cache.JobIDs()
	for _, id := range ids {
		l.addJob(id, c.cache.Job(id))
	}
	r.applyRecords()
	r.entriesByJob, r.orphans = nil, nil
	l.recovered = true
	for _, id := range ids {
		j := l.jobs[id]
		l.applyJobChange(id)
		l.queueEndIfDone(j)
	}
	c.log(Info, "leader recovered state", "term", l.term, "jobs", len(l.jobs))
	r.logFailover()
	l.requestCycle()
}

// applyRecords restores the placements and progress of all jobs from the run records. Records of jobs that have ended
// are queued for deletion.
func (r *leaderRecovery) applyRecords() {
	for _, id := range slices.Sorted(maps.Keys(r.entriesByJob)) {
		if j := r.leader.jobs[id]; j != nil {
			r.applyJobRecords(j, r.entriesByJob[id])
		}
	}
	r.leader.writer.deleteOrphans(r.orphans)
}

// decodePage decodes the records of the next page. A record that can't be decoded is left as it is.
func (r *leaderRecovery) decodePage() {
	c := r.leader.core
	layout := c.layout()
	for _, item := range r.pages[0] {
		key, ok := stored.ParseRunRecordKey(item.Key)
		if !ok {
			c.log(Error, "run record key not recognized", "key", item.Key)
			continue
		}
		if c.cache.Job(key.Job) == nil {
			r.orphans = append(r.orphans, wire.Condition{Key: item.Key, Version: item.Version})
			continue
		}
		decoded, err := record.Decode(item.Value, layout.TasksIn(key))
		if err != nil {
			c.log(Error, "run record unreadable", "key", item.Key, "error", err.Error())
			continue
		}
		r.entriesByJob[key.Job] = append(r.entriesByJob[key.Job], record.Entry{Key: key, Version: item.Version, Record: decoded})
	}
	r.pages = r.pages[1:]
}

// applyJobRecords restores the placements and progress of a job from its run records.
func (r *leaderRecovery) applyJobRecords(j *job, entries []record.Entry) {
	l := r.leader
	if j.waitingForDependencies {
		// A job has a record only if an earlier leader found it ready.
		l.admit(j)
	}
	if !j.queued {
		l.enqueue(j) // a rollout plan that is being rolled back holds it, but it was placed earlier
	}
	for _, entry := range entries {
		if l.records.layout.TaskLayoutTasks > 0 && !entry.Key.TaskLayout {
			j.addSupersededRecord(stored.RunRecordKey(entry.Key), entry.Version)
		}
	}
	assembledByIndex := l.records.layout.Assemble(entries)
	for _, index := range slices.Sorted(maps.Keys(assembledByIndex)) {
		assembled := assembledByIndex[index]
		chunk := l.records.chunkOf(j, index*l.records.tasksPerRecord())
		chunk.version, chunk.highestAttempt, chunk.done = assembled.Version, assembled.HighestAttempt, assembled.Done
		j.done += assembled.Done.Count()
		for _, task := range slices.Sorted(maps.Keys(assembled.Placed)) {
			if task < j.spec.Tasks {
				r.adoptPlacement(j, task, assembled.Placed[task])
			}
		}
	}
}

// adoptPlacement restores a placement of an earlier term. Until the machine's next heartbeat it is unknown whether the
// task runs or its start command is still in flight.
func (r *leaderRecovery) adoptPlacement(j *job, task int, run record.Run) {
	m := r.leader.findOrAddMachine(run.Machine)
	m.everReported = true
	p := &placement{job: j, task: task, attempt: run.Attempt, machine: m, incarnation: run.Incarnation,
		phase: phaseSent, startSequence: startSequenceUnknown, placedAt: r.leader.core.now.Steady}
	j.addPlacement(p)
	m.addImage(j.spec.Image, j.spec.ImageGB)
}

// renewals returns how many leases were renewed so far during this recovery.
func (r *leaderRecovery) renewals() uint64 {
	return r.leader.core.leaseRenewals.responses[RecoveringLeaderBasis] - r.renewalsAtStart
}

// logIfSlow logs once if the recovery takes longer than a check interval.
func (r *leaderRecovery) logIfSlow() {
	l, c := r.leader, r.leader.core
	if r.slowLogged || c.now.Steady-l.startedAt < c.times.checkInterval {
		return
	}
	r.slowLogged = true
	c.log(Info, "leader still recovering state", "term", l.term, "records_read", r.recordsRead,
		"revision", c.cache.Revision(), "required_revision", l.termVersion, "leases_renewed", r.renewals())
}

// logFailover logs how long the recovery took and how many leases were renewed meanwhile.
func (r *leaderRecovery) logFailover() {
	l, c := r.leader, r.leader.core
	c.log(Debug, "failover completed", "term", l.term, "after_ms", (c.now.Steady - l.startedAt).Milliseconds(),
		"records_ms", (r.completedAt - l.startedAt).Milliseconds(), "revision", c.cache.Revision(), "leases_renewed", r.renewals())
}

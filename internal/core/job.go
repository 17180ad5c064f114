package core

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"bitternwing/internal/capacity"
	"bitternwing/internal/config"
	"bitternwing/internal/record"
	"bitternwing/internal/stored"
	"bitternwing/internal/topologyspread"
	"bitternwing/internal/watchcache"
	"bitternwing/internal/wire"
)

// job is a job as the leader works on it.
type job struct {
	id                     string
	spec                   *wire.Job
	acceptedMS             int64  // time of day of its acceptance, in milliseconds
	queuedMS               int64  // the same, or of the end of the last job that it needed: its waits count from here
	waitingForDependencies bool   // for jobs that it needs: it is in no order and holds nothing
	heldByRollout          bool   // by the plan of a rollout: nothing of it may be started
	queued                 bool   // it is in the order
	rank                   int    // its priority, or the highest of the jobs that need it
	latestEndMS            int64  // time of day by which deadlines need it to be done
	version                uint64 // of its key
	cancelled              bool
	cancelledAt            time.Duration     // on the steady clock
	ending                 bool              // its last write is on the way
	finalState             stored.FinalState // as it is written then

	team   *config.Team
	chunks map[int]*recordChunk
	// superseded are the job's records of a layout that is not written any more, with their versions.
	superseded       map[string]uint64
	placements       map[int]*placement     // by task
	placementsByZone map[string]int         // of these, how many are in each zone
	replicaLedger    *topologyspread.Ledger // of all models
	withinGuarantee  bool                   // in this round: it fits into its team's guarantee
	stopping         int                    // of these, told to stop
	done             int
	nextUnplaced     int // no task below this is both undone and unplaced

	// Failure accounting, see faults.go.
	ranSuccessfully bool // a task of it ran well somewhere
	failedOn        map[string]bool
	retryAt         time.Duration // no start before this
}

// recordChunk is the run record of a range of tasks: what must not be forgotten about
// them. next is the highest attempt used for any task of the range, so that no
// attempt is ever used twice.
type recordChunk struct {
	job            *job
	index          int // the range begins at this many times the tasks of a record
	highestAttempt uint64
	done           record.Bits
	version        uint64 // of its key; 0: not written yet
	dirty          bool
	inFlight       bool
	rereadInFlight bool
}

// placement is an attempt of a task on a machine. It lives from the moment it is
// decided until there is evidence that the attempt is not and will not be there.
type placement struct {
	job                 *job
	task                int
	attempt             uint64
	machine             *machine
	incarnation         uint64
	phase               placementPhase
	startSequence       uint64              // the report in whose answer its start went out
	directStartToken    uint64              // the token with which its start was sent directly; 0: it was not
	directStartInFlight bool                // for the answer to a direct start
	directStartSequence uint64              // seq of that answer; 0: none came
	imageState          capacity.ImageState // of its machine when it was placed
	cost                placementCost       // of a replica: what its place cost
	state               wire.TaskState      // as last reported
	placedAt            time.Duration
	runningSince        time.Duration // when first seen running; 0: not yet
	// lastReconciliation is the last of the leader's evidence, by its count, that shows the placement.
	lastReconciliation uint64
	taskName           string // of the protocol; empty: not asked for yet
	stop               stopMode
	stopReason         stopReason
	stopSent           bool // the stop went out directly; reports' answers repeat it
}

type placementPhase int

const (
	phaseUncommitted placementPhase = iota // not yet in the state service: nothing was sent
	phaseCommitted                         // may be sent
	phaseSent                              // sent by this leader, or perhaps by an earlier one
	phaseReported                          // reported by the machine
)

type stopMode int

const (
	stopNone stopMode = iota
	stopAfterCheckpoint
	stopImmediate
)

// stopReason is why a placement was told to stop, for the log.
type stopReason string

const (
	stopCancelled          stopReason = "cancelled"
	stopDrain              stopReason = "drain"          // its machine is to be returned, or will be taken
	stopPreempted          stopReason = "shrunk"         // another job lacks its minimum
	stopRebalanced         stopReason = "moved"          // its model's replicas are to be in balance
	stopCompletedElsewhere stopReason = "done elsewhere" // another attempt has completed
)

// startSequenceUnknown marks a placement of an earlier term, whose start may have gone out.
const startSequenceUnknown = ^uint64(0)

// requestStop has a placement stopped, from now on or, if it is being stopped, with this kind.
func (p *placement) requestStop(kind stopMode, why stopReason) {
	if p.stop == stopNone {
		p.job.stopping++
	}
	p.stop, p.stopReason = kind, why
	p.machine.capacityChanged = true
}

// addPlacement takes up a placement.
func (j *job) addPlacement(p *placement) {
	j.placements[p.task] = p
	j.placementsByZone[p.machine.zone]++
	p.countReplica(true)
	p.machine.addPlacement(p)
}

// removePlacement takes away the placement that the job has of a task.
func (j *job) removePlacement(p *placement) {
	delete(j.placements, p.task)
	j.leaveZone(p.machine.zone)
	p.countReplica(false)
	p.machine.removePlacement(p)
}

func (j *job) leaveZone(zone string) {
	if j.placementsByZone[zone]--; j.placementsByZone[zone] == 0 {
		delete(j.placementsByZone, zone)
	}
}

func (p *placement) name() string {
	if p.taskName == "" {
		p.taskName = wire.TaskName(p.job.id, p.task)
	}
	return p.taskName
}

// tasksPerRecord is how many tasks a run record holds.
func (l *leader) tasksPerRecord() int { return l.recordLayout.Tasks() }

// recordKey is the key of a chunk's record.
func (l *leader) recordKey(ch *recordChunk) string {
	return stored.RunRecordKey(l.recordLayout.Key(ch.job.id, ch.index))
}

func (l *leader) chunkOf(j *job, task int) *recordChunk {
	i := task / l.tasksPerRecord()
	ch := j.chunks[i]
	if ch == nil {
		ch = &recordChunk{job: j, index: i, done: record.NewBits(l.tasksPerRecord())}
		j.chunks[i] = ch
	}
	return ch
}

func (l *leader) isDone(j *job, task int) bool {
	ch := j.chunks[task/l.tasksPerRecord()]
	return ch != nil && ch.done.Has(task%l.tasksPerRecord())
}

func (l *leader) setDone(j *job, task int) {
	if l.isDone(j, task) {
		return
	}
	ch := l.chunkOf(j, task)
	ch.done.Set(task % l.tasksPerRecord())
	j.done++
	l.markDirty(ch)
}

// recordKeys gives the keys of all records of a job, with their versions.
func (l *leader) recordKeys(j *job) []wire.Condition {
	var keys []wire.Condition
	for _, i := range slices.Sorted(maps.Keys(j.chunks)) {
		if ch := j.chunks[i]; ch.version != 0 {
			keys = append(keys, wire.Condition{Key: l.recordKey(ch), Version: ch.version})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(j.superseded)) {
		keys = append(keys, wire.Condition{Key: key, Version: j.superseded[key]})
	}
	return keys
}

// nextTask gives the lowest task from a number on that is neither done nor
// placed; -1 if there is none.
func (l *leader) nextTask(j *job, from int) int {
	for t := max(from, j.nextUnplaced); t < j.spec.Tasks; t++ {
		open := j.placements[t] == nil && !l.isDone(j, t)
		if open && !l.recordFull(j, t) {
			return t
		}
		if t == j.nextUnplaced && !open {
			j.nextUnplaced++
		}
	}
	return -1
}

// unplaced counts the tasks that still need a place.
func (j *job) unplaced() int { return j.spec.Tasks - j.done - len(j.placements) }

// unfinished counts the tasks that are not done.
func (j *job) unfinished() int { return j.spec.Tasks - j.done }

func (j *job) isArray() bool { return j.spec.Kind == wire.KindArray }

func (j *job) taskCounts() stored.TaskCounts {
	running := 0
	for _, p := range j.placements {
		if p.state == wire.TaskRunning || p.state == wire.TaskCheckpointing {
			running++
		}
	}
	return stored.TaskCounts{Running: running, Done: j.done}
}

// encodeRecord gives a chunk's record and the placements in it.
func (l *leader) encodeRecord(ch *recordChunk) (json.RawMessage, []*placement) {
	r := record.Record{HighestAttempt: ch.highestAttempt, Done: ch.done, Placed: map[int]record.Run{}}
	ps := l.placedIn(ch)
	for _, p := range ps {
		r.Placed[p.task] = record.Run{Attempt: p.attempt, Machine: p.machine.name, Incarnation: p.incarnation}
	}
	b, err := r.Encode()
	if err != nil {
		panic(fmt.Sprintf("a run record can't be encoded: %v", err)) // only plain values are in it
	}
	return b, ps
}

// placedIn gives the placements of a chunk's tasks, in order.
func (l *leader) placedIn(ch *recordChunk) []*placement {
	var ps []*placement
	first := ch.index * l.tasksPerRecord()
	for t := first; t < min(first+l.tasksPerRecord(), ch.job.spec.Tasks); t++ {
		if p := ch.job.placements[t]; p != nil {
			ps = append(ps, p)
		}
	}
	return ps
}

// addJob takes a job up. One that needs others waits until they are done.
func (l *leader) addJob(id string, e *watchcache.Job) *job {
	status := l.core.dependencies.graph.Of(id)
	j := &job{id: id, spec: e.Spec, acceptedMS: e.AcceptedMS, queuedMS: e.AcceptedMS, version: e.Version, team: l.teamOf(e.Spec.Team),
		rank: status.Priority, latestEndMS: status.LatestEndMS, chunks: map[int]*recordChunk{}, placements: map[int]*placement{}, placementsByZone: map[string]int{}, replicaLedger: l.replicaLedger}
	l.jobs[id] = j
	j.waitingForDependencies = len(e.Spec.Dependencies) > 0
	j.heldByRollout = l.planHolds(id, e.Spec)
	if !j.waitingForDependencies && !j.heldByRollout {
		l.enqueue(j)
	}
	return j
}

// enqueue puts a job into the order of those that are to run.
func (l *leader) enqueue(j *job) {
	i := sort.Search(len(l.queue), func(i int) bool { return j.queuedBefore(l.queue[i]) })
	l.queue = slices.Insert(l.queue, i, j)
	j.queued = true
}

// dequeue takes a job out of the order, if it is in there.
func (l *leader) dequeue(j *job) {
	if i := slices.Index(l.queue, j); i >= 0 {
		l.queue = slices.Delete(l.queue, i, i+1)
	}
	j.queued = false
}

func (l *leader) dropJob(j *job) {
	delete(l.jobs, j.id)
	l.dequeue(j)
}

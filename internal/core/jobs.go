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
	"bitternwing/internal/spread"
	"bitternwing/internal/wire"
)

// job is a job as the leader works on it.
type job struct {
	id          string
	spec        *wire.Job
	at          int64  // time of day of its acceptance, in milliseconds
	queuedAt    int64  // the same, or of the end of the last job that it needed: its waits count from here
	waiting     bool   // for jobs that it needs: it is in no order and holds nothing
	held        bool   // by the plan of a rollout: nothing of it may be started
	queued      bool   // it is in the order
	rank        int    // its priority, or the highest of the jobs that need it
	latestEnd   int64  // time of day by which deadlines need it to be done
	version     uint64 // of its key
	cancelled   bool
	cancelledAt time.Duration // on the steady clock
	final       bool          // its last write is on the way
	end         finalState    // as it is written then

	team   *config.Team
	chunks map[int]*chunk
	// superseded are the job's records of a layout that is not written any more, with their versions.
	superseded map[string]uint64
	placed     map[int]*placement // by task
	zones      map[string]int     // of these, how many are in each zone
	replicas   *spread.Ledger     // of all models
	guaranteed bool               // in this round: it fits into its team's guarantee
	halted     int                // of these, told to stop
	done       int
	cursor     int // no task below this is both undone and unplaced

	// Failure accounting, see faults.go.
	proven  bool // a task of it ran well somewhere
	failed  map[string]bool
	waitFor time.Duration // no start before this
}

// chunk is the run record of a range of tasks: what must not be forgotten about
// them. next is the highest attempt used for any task of the range, so that no
// attempt is ever used twice.
type chunk struct {
	job      *job
	index    int // the range begins at this many times the tasks of a record
	next     uint64
	done     record.Bits
	version  uint64 // of its key; 0: not written yet
	dirty    bool
	inFlight bool
	reading  bool
}

// placement is an attempt of a task on a machine. It lives from the moment it is
// decided until there is evidence that the attempt is not and will not be there.
type placement struct {
	job     *job
	task    int
	attempt uint64
	machine *machine
	session uint64
	phase   phase
	sentSeq uint64          // the report in whose answer its start went out
	direct  uint64          // the token with which its start was sent directly; 0: it was not
	waits   bool            // for the answer to a direct start
	answer  uint64          // seq of that answer; 0: none came
	warmth  capacity.Warmth // of its machine when it was placed
	trade   trade           // of a replica: what its place cost
	state   wire.TaskState  // as last reported
	since   time.Duration
	ranAt   time.Duration // when first seen running; 0: not yet
	// reportedIn is the last of the leader's evidence, by its count, that shows the placement.
	reportedIn uint64
	taskName   string // of the protocol; empty: not asked for yet
	stop       stopKind
	stopWhy    stopReason
	stopOut    bool // the stop went out directly; reports' answers repeat it
}

type phase int

const (
	uncommitted phase = iota // not yet in the state service: nothing was sent
	committed                // may be sent
	sent                     // sent by this leader, or perhaps by an earlier one
	seen                     // reported by the machine
)

type stopKind int

const (
	keep stopKind = iota
	stopSaving
	stopNow
)

// stopReason is why a placement was told to stop, for the log.
type stopReason string

const (
	stopCancelled     stopReason = "cancelled"
	stopDrain         stopReason = "drain"          // its machine is to be returned, or will be taken
	stopShrunk        stopReason = "shrunk"         // another job lacks its minimum
	stopMoved         stopReason = "moved"          // its model's replicas are to be in balance
	stopDoneElsewhere stopReason = "done elsewhere" // another attempt has completed
)

// inherited marks a placement of an earlier term, whose start may have gone out.
const inherited = ^uint64(0)

// halt has a placement stopped, from now on or, if it is being stopped, with this kind.
func (p *placement) halt(kind stopKind, why stopReason) {
	if p.stop == keep {
		p.job.halted++
	}
	p.stop, p.stopWhy = kind, why
	p.machine.roomChanged = true
}

// hold takes up a placement.
func (j *job) hold(p *placement) {
	j.placed[p.task] = p
	j.zones[p.machine.zone]++
	p.countReplica(true)
	p.machine.add(p)
}

// drop takes away the placement that the job has of a task.
func (j *job) drop(p *placement) {
	delete(j.placed, p.task)
	j.leaveZone(p.machine.zone)
	p.countReplica(false)
	p.machine.remove(p)
}

func (j *job) leaveZone(zone string) {
	if j.zones[zone]--; j.zones[zone] == 0 {
		delete(j.zones, zone)
	}
}

func (p *placement) name() string {
	if p.taskName == "" {
		p.taskName = wire.TaskName(p.job.id, p.task)
	}
	return p.taskName
}

// chunkSize is how many tasks a run record holds.
func (l *leader) chunkSize() int { return l.layout.Tasks() }

// runKey is the key of a chunk's record.
func (l *leader) runKey(ch *chunk) string {
	return runRecordPrefix + l.layout.Key(ch.job.id, ch.index).String()
}

func (l *leader) chunkOf(j *job, task int) *chunk {
	i := task / l.chunkSize()
	ch := j.chunks[i]
	if ch == nil {
		ch = &chunk{job: j, index: i, done: record.NewBits(l.chunkSize())}
		j.chunks[i] = ch
	}
	return ch
}

func (l *leader) isDone(j *job, task int) bool {
	ch := j.chunks[task/l.chunkSize()]
	return ch != nil && ch.done.Has(task%l.chunkSize())
}

func (l *leader) setDone(j *job, task int) {
	if l.isDone(j, task) {
		return
	}
	ch := l.chunkOf(j, task)
	ch.done.Set(task % l.chunkSize())
	j.done++
	l.mark(ch)
}

// recordKeys gives the keys of all records of a job, with their versions.
func (l *leader) recordKeys(j *job) []wire.Condition {
	var keys []wire.Condition
	for _, i := range slices.Sorted(maps.Keys(j.chunks)) {
		if ch := j.chunks[i]; ch.version != 0 {
			keys = append(keys, wire.Condition{Key: l.runKey(ch), Version: ch.version})
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
	for t := max(from, j.cursor); t < j.spec.Tasks; t++ {
		open := j.placed[t] == nil && !l.isDone(j, t)
		if open && !l.crowded(j, t) {
			return t
		}
		if t == j.cursor && !open {
			j.cursor++
		}
	}
	return -1
}

// unplaced counts the tasks that still need a place.
func (j *job) unplaced() int { return j.spec.Tasks - j.done - len(j.placed) }

// unfinished counts the tasks that are not done.
func (j *job) unfinished() int { return j.spec.Tasks - j.done }

func (j *job) array() bool { return j.spec.Kind == wire.KindArray }

func (j *job) counts() taskCounts {
	running := 0
	for _, p := range j.placed {
		if p.state == wire.TaskRunning || p.state == wire.TaskCheckpointing {
			running++
		}
	}
	return taskCounts{running, j.done}
}

func (j *job) before(k *job) bool {
	if j.queuedAt != k.queuedAt {
		return j.queuedAt < k.queuedAt
	}
	return j.id < k.id
}

// encode gives a chunk's record and the placements in it.
func (l *leader) encode(ch *chunk) (json.RawMessage, []*placement) {
	r := record.Record{Next: ch.next, Done: ch.done, Placed: map[int]record.Run{}}
	ps := l.placedIn(ch)
	for _, p := range ps {
		r.Placed[p.task] = record.Run{Attempt: p.attempt, Machine: p.machine.name, Session: p.session}
	}
	b, err := r.Encode()
	if err != nil {
		panic(fmt.Sprintf("a run record can't be encoded: %v", err)) // only plain values are in it
	}
	return b, ps
}

// placedIn gives the placements of a chunk's tasks, in order.
func (l *leader) placedIn(ch *chunk) []*placement {
	var ps []*placement
	first := ch.index * l.chunkSize()
	for t := first; t < min(first+l.chunkSize(), ch.job.spec.Tasks); t++ {
		if p := ch.job.placed[t]; p != nil {
			ps = append(ps, p)
		}
	}
	return ps
}

// addJob takes a job up. One that needs others waits until they are done.
func (l *leader) addJob(id string, e *cachedJob) *job {
	status := l.c.dependencies.graph.Of(id)
	j := &job{id: id, spec: e.Spec, at: e.AcceptedMS, queuedAt: e.AcceptedMS, version: e.version, team: l.teamOf(e.Spec.Team),
		rank: status.Priority, latestEnd: status.LatestEndMS, chunks: map[int]*chunk{}, placed: map[int]*placement{}, zones: map[string]int{}, replicas: l.replicas}
	l.jobs[id] = j
	j.waiting = len(e.Spec.Dependencies) > 0
	j.held = l.planHolds(id, e.Spec)
	if !j.waiting && !j.held {
		l.enqueue(j)
	}
	return j
}

// enqueue puts a job into the order of those that are to run.
func (l *leader) enqueue(j *job) {
	i := sort.Search(len(l.order), func(i int) bool { return j.before(l.order[i]) })
	l.order = slices.Insert(l.order, i, j)
	j.queued = true
}

// dequeue takes a job out of the order, if it is in there.
func (l *leader) dequeue(j *job) {
	if i := slices.Index(l.order, j); i >= 0 {
		l.order = slices.Delete(l.order, i, i+1)
	}
	j.queued = false
}

func (l *leader) dropJob(j *job) {
	delete(l.jobs, j.id)
	l.dequeue(j)
}

package simworker

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/resource"
	"bitternwing/internal/wire"
)

// Never is the time of what does not happen by itself.
const Never = time.Duration(math.MaxInt64)

// Jobs tells what a task is to do, as the description that its user has uploaded.
type Jobs interface {
	// Job gives a submitted job; nil if there is none.
	Job(id string) *wire.Job
	// RunTime is how long a task runs; Never if it runs until it is stopped.
	RunTime(job *wire.Job, task int) time.Duration
}

// Observer is told what happens on the machines. It is called while the machine is locked, and must not
// call back.
type Observer interface {
	// StartReceived tells that a worker took in a start command for an attempt that it does not hold.
	StartReceived(Start)
	// TaskRuns tells that a task's image is there and that it is on its machine from now on.
	TaskRuns(machine, task string)
	// TaskEnds tells that a task that was on its machine is so no longer; done if it completed.
	TaskEnds(machine, task string, done bool)
}

// Start is a start command that a worker took in.
type Start struct {
	Machine, Task  string
	Attempt, Token uint64
}

// Description names a machine and says what it is.
type Description struct {
	Name string
	Zone string
	Spot bool
	Type wire.MachineType
}

// Machine is a worker's state without its clock and its network: what it holds, its session, and how it
// obeys commands. Times are those of any steady clock.
type Machine struct {
	about    Description
	addr     string
	jobs     Jobs
	observer Observer

	session uint64
	seq     uint64
	token   uint64
	tasks   map[attempt]*task
	images  map[string]time.Duration // when each is, or will be, there
	fetches int64                    // made so far, and how long they take together
	took    time.Duration
	next    time.Duration // when something changes by itself
	changed bool          // since the last report
}

// attempt names an attempt of a task.
type attempt struct {
	task   string
	number uint64
}

// task is an attempt of a task on a machine.
type task struct {
	wire.TaskStatus
	job   *wire.Job // nil: it was refused
	until time.Duration
}

// onMachine tells whether the task's image is there and it has not ended.
func (t *task) onMachine() bool {
	return t.State == wire.TaskRunning || t.State == wire.TaskCheckpointing
}

// NewMachine makes a machine without tasks, in its first session.
func NewMachine(about Description, addr string, jobs Jobs, observer Observer) *Machine {
	return &Machine{about: about, addr: addr, jobs: jobs, observer: observer, session: 1, next: Never,
		tasks: map[attempt]*task{}, images: map[string]time.Duration{}}
}

// Advance lets time pass: images arrive, tasks run, complete and finish saving.
func (m *Machine) Advance(now time.Duration) {
	if now < m.next {
		return
	}
	m.next = Never
	for _, t := range m.sorted() {
		for t.until <= now {
			m.proceed(t)
		}
		m.next = min(m.next, t.until)
	}
}

// proceed takes a task to its next state at the time that was set for it.
func (m *Machine) proceed(t *task) {
	at := t.until
	t.until = Never
	m.changed = true
	switch t.State {
	case wire.TaskFetching:
		t.State = wire.TaskRunning
		m.observer.TaskRuns(m.about.Name, t.Task)
		_, index, _ := wire.ParseTaskName(t.Task)
		if d := m.jobs.RunTime(t.job, index); d != Never {
			t.until = at + d
		}
	case wire.TaskRunning:
		m.exit(t, wire.CauseDone)
	case wire.TaskCheckpointing:
		t.Checkpointed = true
		m.exit(t, wire.CauseStopped)
	case wire.TaskExited: // final
	}
}

// exit ends a task; it stays in the reports until it is forgotten.
func (m *Machine) exit(t *task, why wire.ExitCause) {
	if t.onMachine() {
		m.observer.TaskEnds(m.about.Name, t.Task, why == wire.CauseDone)
	}
	t.State, t.Cause, t.until = wire.TaskExited, why, Never
	m.changed = true
}

// Next is when something changes by itself.
func (m *Machine) Next() time.Duration { return m.next }

// Changed tells whether tasks have changed since the last report.
func (m *Machine) Changed() bool { return m.changed }

// Running counts the tasks of a job that run.
func (m *Machine) Running(job string) int {
	n := 0
	for _, t := range m.tasks {
		if t.job != nil && t.job.ID == job && t.State == wire.TaskRunning {
			n++
		}
	}
	return n
}

// RunsTask tells whether a task runs here: its image is there, and it has not ended.
func (m *Machine) RunsTask(name string) bool {
	for _, t := range m.tasks {
		if t.Task == name && t.State == wire.TaskRunning {
			return true
		}
	}
	return false
}

// Session is the number of the present session.
func (m *Machine) Session() uint64 { return m.session }

// Expire ends the session: the lease has run out, and all tasks are killed and forgotten.
func (m *Machine) Expire() {
	m.Clear()
	m.session++
	m.changed = true
}

// Clear kills and forgets all tasks, as when the machine ends.
func (m *Machine) Clear() {
	for _, t := range m.sorted() {
		if t.onMachine() {
			m.observer.TaskEnds(m.about.Name, t.Task, false)
		}
	}
	clear(m.tasks)
	m.next = Never
}

// Report gives the next report.
func (m *Machine) Report(now time.Duration) *wire.Heartbeat {
	m.Advance(now)
	m.seq++
	m.changed = false
	r := &wire.Heartbeat{Machine: m.about.Name, Addr: m.addr, Type: m.about.Type.Name, Zone: m.about.Zone, Spot: m.about.Spot,
		Incarnation: m.session, Sequence: m.seq, FencingToken: m.token, Tasks: make([]wire.TaskStatus, 0, len(m.tasks))}
	for _, t := range m.sorted() {
		r.Tasks = append(r.Tasks, t.TaskStatus)
	}
	return r
}

// Answered takes the answer to a report of a session. False: it was dropped, and renews no lease.
func (m *Machine) Answered(now time.Duration, session uint64, a wire.HeartbeatResponse) bool {
	if a.FencingToken < m.token || session != m.session {
		return false
	}
	m.token = a.FencingToken
	m.execute(now, a.Commands)
	return true
}

// Ordered takes direct commands. False: nothing was executed.
func (m *Machine) Ordered(now time.Duration, o wire.DirectCommands) bool {
	if o.FencingToken < m.token || o.Incarnation != m.session {
		return false
	}
	m.token = o.FencingToken
	m.execute(now, o.Commands)
	return true
}

func (m *Machine) execute(now time.Duration, commands []wire.Command) {
	m.Advance(now)
	for _, c := range commands {
		name := attempt{c.Task, c.Attempt}
		t := m.tasks[name]
		switch {
		case c.Op == wire.OpStart && t == nil:
			m.start(now, name)
		case c.Op == wire.OpStop && t != nil:
			m.stop(now, t, c.GracePeriodS)
		case c.Op == wire.OpForget && t != nil && t.State == wire.TaskExited:
			delete(m.tasks, name)
		}
	}
}

// start begins an attempt, or reports why it is refused.
func (m *Machine) start(now time.Duration, name attempt) {
	m.observer.StartReceived(Start{m.about.Name, name.task, name.number, m.token})
	t := &task{TaskStatus: wire.TaskStatus{Task: name.task, Attempt: name.number, State: wire.TaskFetching}, until: Never}
	id, index, ok := wire.ParseTaskName(name.task)
	job := m.jobs.Job(id)
	known := ok && job != nil && index < job.Tasks
	var refusal wire.ExitCause
	switch {
	case !known:
		refusal = wire.CauseUnknownTask
	case m.Holds(name.task):
		refusal = wire.CauseBusy
	case !m.free().Holds(resource.OfTask(job)):
		refusal = wire.CauseNoCapacity
	}
	m.tasks[name] = t
	m.changed = true
	if refusal != "" {
		m.exit(t, refusal)
		return
	}
	t.job = job
	t.until = m.fetch(now, job)
	m.next = min(m.next, t.until)
}

// Tasks counts the tasks in its reports.
func (m *Machine) Tasks() int { return len(m.tasks) }

// About says what machine it is.
func (m *Machine) About() Description { return m.about }

// Holds tells whether an attempt of a task is here that has not exited.
func (m *Machine) Holds(name string) bool {
	for _, t := range m.tasks {
		if t.Task == name && t.State != wire.TaskExited {
			return true
		}
	}
	return false
}

// fetch gives the time at which a job's image is there.
func (m *Machine) fetch(now time.Duration, job *wire.Job) time.Duration {
	return m.Prefetch(now, job.Image, job.ImageGB)
}

// Prefetch begins to fetch an image, if it is not there, and gives the time at which it is.
func (m *Machine) Prefetch(now time.Duration, image string, gb float64) time.Duration {
	at, known := m.images[image]
	if !known {
		takes := config.Seconds(gb / m.about.Type.FetchGBPerS)
		m.fetches++
		m.took += takes
		at = now + takes
		m.images[image] = at
	}
	return max(now, at)
}

// stop ends a task, after it has saved if it can and is given the time.
func (m *Machine) stop(now time.Duration, t *task, graceS *float64) {
	grace := 0.0
	if graceS != nil {
		grace = *graceS
	}
	switch {
	case t.State == wire.TaskExited:
	case t.State == wire.TaskCheckpointing && grace > 0:
	case t.State == wire.TaskRunning && t.job.CheckpointIntervalS > 0 && grace >= t.job.CheckpointTimeS:
		t.State = wire.TaskCheckpointing
		t.until = now + config.Seconds(t.job.CheckpointTimeS)
		m.next = min(m.next, t.until)
		m.changed = true
	default:
		m.exit(t, wire.CauseStopped)
	}
}

// free is what the tasks leave of the machine.
func (m *Machine) free() resource.Amount {
	free := resource.OfMachine(&m.about.Type)
	for _, t := range m.tasks {
		if t.job != nil && t.State != wire.TaskExited {
			free.Take(resource.OfTask(t.job))
		}
	}
	return free
}

// sorted gives the tasks in order of their names and attempts.
func (m *Machine) sorted() []*task {
	return slices.SortedFunc(maps.Values(m.tasks), func(a, b *task) int {
		return cmp.Or(strings.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
}

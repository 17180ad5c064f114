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

// Jobs gives the jobs that users have uploaded, and how long their tasks run.
type Jobs interface {
	// Job gives a submitted job; nil if there is none.
	Job(id string) *wire.Job
	// RunTime is how long a task runs; Never if it runs until it is stopped.
	RunTime(job *wire.Job, task int) time.Duration
}

// Observer observes the machines. It is called while the machine is locked, and must not
// call back.
type Observer interface {
	// StartReceived is called for a start command of an attempt that the worker does not hold.
	StartReceived(Start)
	// TaskRuns is called when a task's image is there: it is on its machine from now on.
	TaskRuns(machine, task string)
	// TaskEnds is called when a task that was on its machine no longer is; done if it completed.
	TaskEnds(machine, task string, done bool)
}

// Start is a start command that a worker received.
type Start struct {
	Machine, Task         string
	Attempt, FencingToken uint64
}

// MachineInfo describes a machine.
type MachineInfo struct {
	Name string
	Zone string
	Spot bool
	Type wire.MachineType
}

// Machine is a worker's state without its clock and its network: its tasks, its incarnation, and how it
// executes commands. Times are those of any steady clock.
type Machine struct {
	info     MachineInfo
	address  string
	jobs     Jobs
	observer Observer

	incarnation  uint64
	sequence     uint64
	fencingToken uint64
	tasks        map[attempt]*task
	imageReadyAt map[string]time.Duration // when each is, or will be, there
	fetches      int64                    // so far; fetchTime is how long they take together
	fetchTime    time.Duration
	nextEventAt  time.Duration // when something changes by itself
	changed      bool          // since the last heartbeat
}

// attempt names an attempt of a task.
type attempt struct {
	task   string
	number uint64
}

// task is an attempt of a task on a machine.
type task struct {
	wire.TaskStatus
	job          *wire.Job // nil: it was refused
	transitionAt time.Duration
}

// onMachine tells whether the task's image is there and it has not ended.
func (t *task) onMachine() bool {
	return t.State == wire.TaskRunning || t.State == wire.TaskCheckpointing
}

// NewMachine makes a machine without tasks, in its first incarnation.
func NewMachine(info MachineInfo, address string, jobs Jobs, observer Observer) *Machine {
	return &Machine{info: info, address: address, jobs: jobs, observer: observer, incarnation: 1, nextEventAt: Never,
		tasks: map[attempt]*task{}, imageReadyAt: map[string]time.Duration{}}
}

// Advance advances the time: fetches end, tasks run, complete and finish their checkpoints.
func (m *Machine) Advance(now time.Duration) {
	if now < m.nextEventAt {
		return
	}
	m.nextEventAt = Never
	for _, t := range m.sortedTasks() {
		for t.transitionAt <= now {
			m.transition(t)
		}
		m.nextEventAt = min(m.nextEventAt, t.transitionAt)
	}
}

// transition takes a task to its next state at the time that was set for it.
func (m *Machine) transition(t *task) {
	at := t.transitionAt
	t.transitionAt = Never
	m.changed = true
	switch t.State {
	case wire.TaskFetching:
		t.State = wire.TaskRunning
		m.observer.TaskRuns(m.info.Name, t.Task)
		_, index, _ := wire.ParseTaskName(t.Task)
		if d := m.jobs.RunTime(t.job, index); d != Never {
			t.transitionAt = at + d
		}
	case wire.TaskRunning:
		m.exit(t, wire.CauseDone)
	case wire.TaskCheckpointing:
		t.Checkpointed = true
		m.exit(t, wire.CauseStopped)
	case wire.TaskExited: // final
	}
}

// exit ends a task; it stays in the heartbeats until it is forgotten.
func (m *Machine) exit(t *task, cause wire.ExitCause) {
	if t.onMachine() {
		m.observer.TaskEnds(m.info.Name, t.Task, cause == wire.CauseDone)
	}
	t.State, t.Cause, t.transitionAt = wire.TaskExited, cause, Never
	m.changed = true
}

// NextEventAt is when something changes by itself.
func (m *Machine) NextEventAt() time.Duration { return m.nextEventAt }

// Changed tells whether tasks have changed since the last heartbeat.
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

// ExpireLease ends the incarnation: the lease has expired, and all tasks are killed and forgotten.
func (m *Machine) ExpireLease() {
	m.KillAll()
	m.incarnation++
	m.changed = true
}

// KillAll kills and forgets all tasks, as when the machine ends.
func (m *Machine) KillAll() {
	for _, t := range m.sortedTasks() {
		if t.onMachine() {
			m.observer.TaskEnds(m.info.Name, t.Task, false)
		}
	}
	clear(m.tasks)
	m.nextEventAt = Never
}

// Heartbeat gives the next heartbeat.
func (m *Machine) Heartbeat(now time.Duration) *wire.Heartbeat {
	m.Advance(now)
	m.sequence++
	m.changed = false
	r := &wire.Heartbeat{Machine: m.info.Name, Addr: m.address, Type: m.info.Type.Name, Zone: m.info.Zone, Spot: m.info.Spot,
		Incarnation: m.incarnation, Sequence: m.sequence, FencingToken: m.fencingToken, Tasks: make([]wire.TaskStatus, 0, len(m.tasks))}
	for _, t := range m.sortedTasks() {
		r.Tasks = append(r.Tasks, t.TaskStatus)
	}
	return r
}

// ApplyHeartbeatResponse executes the response to a heartbeat of an incarnation. False: it was dropped, and renews no lease.
func (m *Machine) ApplyHeartbeatResponse(now time.Duration, incarnation uint64, response wire.HeartbeatResponse) bool {
	if response.FencingToken < m.fencingToken || incarnation != m.incarnation {
		return false
	}
	m.fencingToken = response.FencingToken
	m.execute(now, response.Commands)
	return true
}

// ApplyDirectCommands executes direct commands. False: none were executed.
func (m *Machine) ApplyDirectCommands(now time.Duration, direct wire.DirectCommands) bool {
	if direct.FencingToken < m.fencingToken || direct.Incarnation != m.incarnation {
		return false
	}
	m.fencingToken = direct.FencingToken
	m.execute(now, direct.Commands)
	return true
}

// execute executes commands in order.
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

// start starts an attempt, or has it exit with the cause of its refusal.
func (m *Machine) start(now time.Duration, name attempt) {
	m.observer.StartReceived(Start{m.info.Name, name.task, name.number, m.fencingToken})
	t := &task{TaskStatus: wire.TaskStatus{Task: name.task, Attempt: name.number, State: wire.TaskFetching}, transitionAt: Never}
	id, index, ok := wire.ParseTaskName(name.task)
	job := m.jobs.Job(id)
	known := ok && job != nil && index < job.Tasks
	var refusal wire.ExitCause
	switch {
	case !known:
		refusal = wire.CauseUnknownTask
	case m.Holds(name.task):
		refusal = wire.CauseBusy
	case !m.free().Covers(resource.OfTask(job)):
		refusal = wire.CauseNoCapacity
	}
	m.tasks[name] = t
	m.changed = true
	if refusal != "" {
		m.exit(t, refusal)
		return
	}
	t.job = job
	t.transitionAt = m.fetch(now, job)
	m.nextEventAt = min(m.nextEventAt, t.transitionAt)
}

// TaskCount counts the tasks in its heartbeats.
func (m *Machine) TaskCount() int { return len(m.tasks) }

// Info describes the machine.
func (m *Machine) Info() MachineInfo { return m.info }

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

// Prefetch begins to fetch an image, if it is not there, and gives the time at which it will be.
func (m *Machine) Prefetch(now time.Duration, image string, sizeGB float64) time.Duration {
	readyAt, known := m.imageReadyAt[image]
	if !known {
		duration := config.Seconds(sizeGB / m.info.Type.FetchGBPerS)
		m.fetches++
		m.fetchTime += duration
		readyAt = now + duration
		m.imageReadyAt[image] = readyAt
	}
	return max(now, readyAt)
}

// stop ends a task, after a checkpoint if it can make one and the grace period allows it.
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
		t.transitionAt = now + config.Seconds(t.job.CheckpointTimeS)
		m.nextEventAt = min(m.nextEventAt, t.transitionAt)
		m.changed = true
	default:
		m.exit(t, wire.CauseStopped)
	}
}

// free is the free capacity of the machine.
func (m *Machine) free() resource.Amount {
	free := resource.OfMachine(&m.info.Type)
	for _, t := range m.tasks {
		if t.job != nil && t.State != wire.TaskExited {
			free.Subtract(resource.OfTask(t.job))
		}
	}
	return free
}

// sortedTasks gives the tasks in order of their names and attempts.
func (m *Machine) sortedTasks() []*task {
	return slices.SortedFunc(maps.Values(m.tasks), func(a, b *task) int {
		return cmp.Or(strings.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
}

package simworker

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"bitternwing/internal/resource"
	"bitternwing/internal/wire"
)

// Never is the time of an event that is not scheduled.
const Never = time.Duration(math.MaxInt64)

// Jobs looks up submitted jobs and how long their tasks run.
type Jobs interface {
	// Job returns a submitted job, or nil.
	Job(id string) *wire.Job
	// RunTime returns how long a task runs; Never if it runs until it is stopped.
	RunTime(job *wire.Job, task int) time.Duration
}

// Observer is notified of events on machines. It is called while the machine's worker is locked and must not call back.
type Observer interface {
	// StartReceived is called for a start command for an attempt that the worker does not hold.
	StartReceived(Start)
	// TaskRuns is called when a task starts to run because its image is cached.
	TaskRuns(machine, task string)
	// TaskEnds is called when a task that has started to run ends. Done reports whether it completed.
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

// Machine is the state of a worker without clock and network: its incarnation, its tasks and its image cache. The
// caller passes the time of a monotonic clock.
type Machine struct {
	info     MachineInfo
	address  string
	jobs     Jobs
	observer Observer

	incarnation  uint64
	sequence     uint64
	fencingToken uint64
	tasks        map[attempt]*task
	imageReadyAt map[string]time.Duration // when each image is cached; may be in the future
	fetches      int64                    // number of fetches
	fetchTime    time.Duration            // sum over all fetches
	nextEventAt  time.Duration            // earliest transitionAt of all tasks
	failing      bool                     // tasks that start fail at once
	refusing     bool                     // starts are refused
	changed      bool                     // tasks or incarnation have changed since the last heartbeat
}

// attempt identifies an attempt of a task.
type attempt struct {
	task   string
	number uint64
}

// task is an attempt of a task on a machine.
type task struct {
	wire.TaskStatus
	job          *wire.Job     // nil: the start was refused
	transitionAt time.Duration // time of the next state; Never: none is scheduled
}

// onMachine reports whether the task has started to run and not ended.
func (t *task) onMachine() bool {
	return t.State == wire.TaskRunning || t.State == wire.TaskCheckpointing
}

// NewMachine returns a machine without tasks, in its first incarnation.
func NewMachine(info MachineInfo, address string, jobs Jobs, observer Observer) *Machine {
	return &Machine{info: info, address: address, jobs: jobs, observer: observer, incarnation: 1, nextEventAt: Never,
		tasks: map[attempt]*task{}, imageReadyAt: map[string]time.Duration{}}
}

// Advance advances the time and performs the state transitions that are due: completed fetches, runs and checkpoints.
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

// transition moves a task to its next state at the scheduled time.
func (m *Machine) transition(t *task) {
	at := t.transitionAt
	t.transitionAt = Never
	m.changed = true
	switch t.State {
	case wire.TaskFetching:
		t.State = wire.TaskRunning
		m.observer.TaskRuns(m.info.Name, t.Task)
		if m.failing {
			m.exit(t, wire.CauseError)
			return
		}
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

// exit ends a task. It stays in the heartbeats until a forget command.
func (m *Machine) exit(t *task, cause wire.ExitCause) {
	if t.onMachine() {
		m.observer.TaskEnds(m.info.Name, t.Task, cause == wire.CauseDone)
	}
	t.State, t.Cause, t.transitionAt = wire.TaskExited, cause, Never
	m.changed = true
}

// NextEventAt returns when the next state transition is due; Never if none is scheduled.
func (m *Machine) NextEventAt() time.Duration { return m.nextEventAt }

// Changed reports whether tasks or the incarnation have changed since the last heartbeat.
func (m *Machine) Changed() bool { return m.changed }

// Running returns how many tasks of a job run on the machine.
func (m *Machine) Running(job string) int {
	count := 0
	for _, t := range m.tasks {
		if t.job != nil && t.job.ID == job && t.State == wire.TaskRunning {
			count++
		}
	}
	return count
}

// RunsTask reports whether a task runs on the machine.
func (m *Machine) RunsTask(name string) bool {
	for _, t := range m.tasks {
		if t.Task == name && t.State == wire.TaskRunning {
			return true
		}
	}
	return false
}

// ExpireLease kills and forgets all tasks after the lease has expired, and begins a new incarnation.
func (m *Machine) ExpireLease() {
	m.KillAll()
	m.incarnation++
	m.changed = true
}

// Restart begins anew with the first incarnation if the worker's state is lost, and otherwise with the next incarnation.
func (m *Machine) Restart(stateLost bool) {
	m.KillAll()
	m.changed = true
	if stateLost {
		m.incarnation, m.sequence, m.fencingToken = 1, 0, 0
		return
	}
	m.incarnation++
}

// KillAll kills and forgets all tasks.
func (m *Machine) KillAll() {
	for _, t := range m.sortedTasks() {
		if t.onMachine() {
			m.observer.TaskEnds(m.info.Name, t.Task, false)
		}
	}
	clear(m.tasks)
	m.nextEventAt = Never
}

// Heartbeat returns the next heartbeat.
func (m *Machine) Heartbeat(now time.Duration) *wire.Heartbeat {
	m.Advance(now)
	m.sequence++
	m.changed = false
	heartbeat := &wire.Heartbeat{Machine: m.info.Name, Addr: m.address, Type: m.info.Type.Name, Zone: m.info.Zone, Spot: m.info.Spot,
		Incarnation: m.incarnation, Sequence: m.sequence, FencingToken: m.fencingToken, Tasks: make([]wire.TaskStatus, 0, len(m.tasks))}
	for _, t := range m.sortedTasks() {
		heartbeat.Tasks = append(heartbeat.Tasks, t.TaskStatus)
	}
	return heartbeat
}

// TaskCount returns the number of tasks that a heartbeat has.
func (m *Machine) TaskCount() int { return len(m.tasks) }

// Info returns the description of the machine.
func (m *Machine) Info() MachineInfo { return m.info }

// Holds reports whether the machine has an attempt of a task that has not exited.
func (m *Machine) Holds(name string) bool {
	for _, t := range m.tasks {
		if t.Task == name && t.State != wire.TaskExited {
			return true
		}
	}
	return false
}

// free returns the free capacity of the machine.
func (m *Machine) free() resource.Amount {
	free := resource.OfMachine(&m.info.Type)
	for _, t := range m.tasks {
		if t.job != nil && t.State != wire.TaskExited {
			free.Subtract(resource.OfTask(t.job))
		}
	}
	return free
}

// sortedTasks returns the tasks in order of name and attempt.
func (m *Machine) sortedTasks() []*task {
	return slices.SortedFunc(maps.Values(m.tasks), func(a, b *task) int {
		return cmp.Or(strings.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
}

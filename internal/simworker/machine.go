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
	// TaskRuns is called when a task's image is cached: the task is on its machine from now on.
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

// onMachine tells whether the task's image is cached and it has not ended.
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
	count := 0
	for _, t := range m.tasks {
		if t.job != nil && t.job.ID == job && t.State == wire.TaskRunning {
			count++
		}
	}
	return count
}

// RunsTask tells whether a task runs here: its image is cached, and it has not ended.
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
	heartbeat := &wire.Heartbeat{Machine: m.info.Name, Addr: m.address, Type: m.info.Type.Name, Zone: m.info.Zone, Spot: m.info.Spot,
		Incarnation: m.incarnation, Sequence: m.sequence, FencingToken: m.fencingToken, Tasks: make([]wire.TaskStatus, 0, len(m.tasks))}
	for _, t := range m.sortedTasks() {
		heartbeat.Tasks = append(heartbeat.Tasks, t.TaskStatus)
	}
	return heartbeat
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

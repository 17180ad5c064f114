package simworker

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bitternwing/internal/wire"
)

// testEnvironment holds the jobs for a machine under test and records the machine's events.
type testEnvironment struct {
	jobs   map[string]*wire.Job
	events []string
}

func (e *testEnvironment) Job(id string) *wire.Job { return e.jobs[id] }
func (e *testEnvironment) RunTime(job *wire.Job, _ int) time.Duration {
	if job.Kind == wire.KindService {
		return Never
	}
	return 10 * time.Second
}
func (e *testEnvironment) StartReceived(start Start)          { e.record("start", start.Task, start.Attempt) }
func (e *testEnvironment) TaskRuns(_, task string)            { e.record("runs", task) }
func (e *testEnvironment) record(what ...any)                 { e.events = append(e.events, fmt.Sprintln(what...)) }
func (e *testEnvironment) TaskEnds(_, task string, done bool) { e.record("ends", task, done) }

func newTestMachine() (*Machine, *testEnvironment) {
	environment := &testEnvironment{jobs: map[string]*wire.Job{
		"run-000001": {ID: "run-000001", Kind: wire.KindArray, Tasks: 9, GPUs: 1, Image: "a", ImageGB: 4, CheckpointIntervalS: 5, CheckpointTimeS: 2},
		"run-000002": {ID: "run-000002", Kind: wire.KindService, Tasks: 1, GPUs: 1, Image: "a", ImageGB: 4},
	}}
	info := MachineInfo{Name: "host-1", Zone: "z1", Type: wire.MachineType{Name: "g2", GPUs: 2, CPUs: 8, MemoryGB: 64, FetchGBPerS: 2}}
	return NewMachine(info, "127.16.0.1:1", environment, environment), environment
}

func start(task string, attempt uint64) wire.Command {
	return wire.Command{Op: wire.OpStart, Task: task, Attempt: attempt}
}

func stop(task string, attempt uint64, grace float64) wire.Command {
	return wire.Command{Op: wire.OpStop, Task: task, Attempt: attempt, GracePeriodS: &grace}
}

// states formats the tasks of a machine's heartbeat.
func states(m *Machine, now time.Duration) []string {
	var all []string
	for _, t := range m.Heartbeat(now).Tasks {
		all = append(all, fmt.Sprint(t.Task, "#", t.Attempt, " ", t.State, t.Cause))
	}
	return all
}

// expect checks the tasks of a machine's heartbeat at a time in seconds.
func expect(t *testing.T, m *Machine, at time.Duration, want ...string) {
	t.Helper()
	if got := states(m, at*time.Second); !slices.Equal(got, want) {
		t.Errorf("after %d s: got %q, want %q", at, got, want)
	}
}

// TestCommands checks how commands are executed: an image is fetched once, a start of an attempt that the worker holds
// has no effect, an attempt that can't start exits with the cause, and an attempt may start again after it is
// forgotten.
func TestCommands(t *testing.T) {
	m, _ := newTestMachine()
	apply := func(now time.Duration, commands ...wire.Command) {
		t.Helper()
		if !m.ApplyDirectCommands(now*time.Second, wire.DirectCommands{FencingToken: 5, Incarnation: 1, Commands: commands}) {
			t.Errorf("commands at %d s: got dropped, want executed", now)
		}
	}
	apply(0, start("run-000001/0", 1), start("run-000002/0", 1), start("run-000001/0", 1))
	expect(t, m, 1, "run-000001/0#1 pulling", "run-000002/0#1 pulling")
	expect(t, m, 2, "run-000001/0#1 running", "run-000002/0#1 running")
	apply(3, start("run-000001/0", 2), start("run-000001/1", 1), start("run-000009/0", 1))
	expect(t, m, 4, "run-000001/0#1 running", "run-000001/0#2 exitedbusy", "run-000001/1#1 exitedno_room",
		"run-000002/0#1 running", "run-000009/0#1 exitedno_such")
	forget := wire.Command{Op: wire.OpForget, Task: "run-000001/1", Attempt: 1}
	apply(5, forget, stop("run-000002/0", 1, 9), start("run-000001/1", 1))
	expect(t, m, 5, "run-000001/0#1 running", "run-000001/0#2 exitedbusy", "run-000001/1#1 running",
		"run-000002/0#1 exitedstopped", "run-000009/0#1 exitedno_such")
	apply(6, stop("run-000001/0", 1, 2), stop("run-000001/1", 1, 1))
	expect(t, m, 7, "run-000001/0#1 saving", "run-000001/0#2 exitedbusy", "run-000001/1#1 exitedstopped",
		"run-000002/0#1 exitedstopped", "run-000009/0#1 exitedno_such")
	m.Advance(8 * time.Second)
	if heartbeat := m.Heartbeat(8 * time.Second); heartbeat.Tasks[0].State != wire.TaskExited || !heartbeat.Tasks[0].Checkpointed {
		t.Errorf("task after its checkpoint: got %+v, want exited with a checkpoint", heartbeat.Tasks[0])
	}
}

// TestFencingTokensAndIncarnations checks that commands with a lower fencing token or for an earlier incarnation are
// dropped.
func TestFencingTokensAndIncarnations(t *testing.T) {
	m, environment := newTestMachine()
	if !m.ApplyHeartbeatResponse(0, 1, wire.HeartbeatResponse{FencingToken: 7, Commands: []wire.Command{start("run-000002/0", 1)}}) {
		t.Error("response with a higher fencing token: got dropped, want executed")
	}
	if m.ApplyHeartbeatResponse(0, 1, wire.HeartbeatResponse{FencingToken: 6}) || m.ApplyDirectCommands(0, wire.DirectCommands{FencingToken: 6, Incarnation: 1}) {
		t.Error("commands with a lower fencing token: got executed, want dropped")
	}
	m.Advance(3 * time.Second)
	m.ExpireLease()
	if m.ApplyHeartbeatResponse(4*time.Second, 1, wire.HeartbeatResponse{FencingToken: 8}) || m.ApplyDirectCommands(0, wire.DirectCommands{FencingToken: 8, Incarnation: 1}) {
		t.Error("commands for an earlier incarnation: got executed, want dropped")
	}
	expect(t, m, 4)
	want := []string{"start run-000002/0 1\n", "runs run-000002/0\n", "ends run-000002/0 false\n"}
	if !slices.Equal(environment.events, want) || m.Heartbeat(0).Incarnation != 2 {
		t.Errorf("events: got %q", environment.events)
	}
}

// TestCompletion checks that a task completes after its run time.
func TestCompletion(t *testing.T) {
	m, environment := newTestMachine()
	m.ApplyDirectCommands(0, wire.DirectCommands{Incarnation: 1, Commands: []wire.Command{start("run-000001/3", 1)}})
	if m.NextEventAt() != 2*time.Second {
		t.Errorf("next event: got %v, want the end of the image fetch after 2 s", m.NextEventAt())
	}
	expect(t, m, 11, "run-000001/3#1 running")
	expect(t, m, 12, "run-000001/3#1 exiteddone")
	if m.NextEventAt() != Never || environment.events[len(environment.events)-1] != "ends run-000001/3 true\n" {
		t.Errorf("events: got %q", environment.events)
	}
}

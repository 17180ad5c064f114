package core

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"bitternwing/internal/config"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// newIdleCore returns a core that has not handled any input yet.
func newIdleCore() *Core {
	settings := &config.Settings{Node: "a", Zone: "z1", Operator: config.DefaultOperatorSettings()}
	settings.Params.Workers = config.Workers{HeartbeatIntervalS: 1, LeaseS: 10, CancelDeadlineS: 30}
	settings.Params.Store = config.Store{RPS: 150, WriteRPS: 60, ValueKB: 16, TxnOps: 12}
	settings.Params.Limits = config.ProcessLimits{CPUShare: 0.06, MemoryMB: 98, MaxConnections: 600}
	return New(settings, "first")
}

// drawHeartbeat draws a heartbeat and adds the jobs of its tasks to the core's cache. Some of them are cancelled: of
// these one half are active and the other half have ended.
func drawHeartbeat(t *rapid.T, c *Core) *wire.Heartbeat {
	states := []wire.TaskState{wire.TaskFetching, wire.TaskRunning, wire.TaskRunning, wire.TaskCheckpointing, wire.TaskExited}
	heartbeat := &wire.Heartbeat{Machine: "m1", Incarnation: 1}
	tasks := rapid.IntRange(0, 3*maxCommands).Draw(t, "tasks")
	cancelledOf10 := rapid.IntRange(0, 10).Draw(t, "cancelled of 10")
	for i := range tasks {
		job := fmt.Sprintf("run-%06d", i)
		switch {
		case i%10 >= cancelledOf10:
			applyJob(t, c, stored.Job{Spec: &wire.Job{ID: job, Tasks: 1}})
		case i%2 == 0:
			applyJob(t, c, stored.Job{Spec: &wire.Job{ID: job, Tasks: 1}, CancelledMS: 1})
		default:
			c.cache.AddFinalState(job, stored.FinalState{State: wire.JobCancelled})
		}
		state := states[rapid.IntRange(0, len(states)-1).Draw(t, "state")]
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: wire.TaskName(job, 0), Attempt: uint64(i), State: state})
	}
	return heartbeat
}

// applyJob adds a job to the core's cache.
func applyJob(t *rapid.T, c *Core, job stored.Job) {
	value, err := job.Encode()
	if err != nil {
		t.Fatal(err)
	}
	c.cache.ApplyJob(job.Spec.ID, value, 1)
}

// cancelledLeft returns the number of tasks in a heartbeat that have not exited and whose jobs are known to be
// cancelled.
func cancelledLeft(c *Core, heartbeat *wire.Heartbeat) (left int) {
	for _, task := range heartbeat.Tasks {
		job, _, _ := wire.ParseTaskName(task.Task)
		if task.State != wire.TaskExited && c.isKnownCancelled(job) {
			left++
		}
	}
	return left
}

// applyStops carries out the stops of a response on the tasks of a heartbeat.
func applyStops(heartbeat *wire.Heartbeat, response *leaseResponse) {
	stopped := map[attemptName]bool{}
	for _, command := range response.commands {
		stopped[attemptName{command.Task, command.Attempt}] = command.Op == wire.OpStop
	}
	for i := range heartbeat.Tasks {
		if task := &heartbeat.Tasks[i]; stopped[attemptName{task.Task, task.Attempt}] {
			task.State = wire.TaskExited
		}
	}
}

// TestLeaseResponsesStopCancelledTasks responds to heartbeats with many tasks while many other commands are pending.
// Each response must stop as many cancelled tasks as it has room for, and no attempt may get two commands. All
// cancelled tasks are then stopped by as few responses as possible.
func TestLeaseResponsesStopCancelledTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newIdleCore()
		heartbeat := drawHeartbeat(t, c)
		otherCommands := rapid.IntRange(0, 2*maxCommands).Draw(t, "other commands")
		for left := cancelledLeft(c, heartbeat); ; left = cancelledLeft(c, heartbeat) {
			response := c.newLeaseResponse(heartbeat)
			for i := range otherCommands {
				response.add(wire.Command{Op: wire.OpForget, Task: wire.TaskName("run-900000", i), Attempt: 1})
			}
			for i := range heartbeat.Tasks {
				response.add(stopImmediately(&heartbeat.Tasks[i])) // as the leader stops tasks for other reasons
			}
			seen := map[attemptName]bool{}
			for _, command := range response.commands {
				name := attemptName{command.Task, command.Attempt}
				if seen[name] {
					t.Fatalf("got two commands for %v in one response, want one", name)
				}
				seen[name] = true
			}
			if len(response.commands) > maxCommands {
				t.Fatalf("got a response with %d commands, want at most the limit", len(response.commands))
			}
			if left == 0 {
				return
			}
			applyStops(heartbeat, response)
			if after, maxLeft := cancelledLeft(c, heartbeat), max(0, left-maxCommands); after > maxLeft {
				t.Fatalf("%d of %d cancelled tasks are left after a response, want at most %d", after, left, maxLeft)
			}
		}
	})
}

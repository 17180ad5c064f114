package core

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"bitternwing/internal/config"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// newIdleCore makes a core that has done nothing yet.
func newIdleCore() *Core {
	set := &config.Settings{Node: "a", Zone: "z1", Operator: config.DefaultOperatorSettings()}
	set.Params.Workers = config.Workers{HeartbeatIntervalS: 1, LeaseS: 10, CancelDeadlineS: 30}
	set.Params.Store = config.Store{RPS: 150, WriteRPS: 60, ValueKB: 16, TxnOps: 12}
	set.Params.Limits = config.ProcessLimits{CPUShare: 0.06, MemoryMB: 98, MaxConnections: 600}
	return New(set, "first")
}

// drawHeartbeat draws the tasks of a machine, and makes a part of their jobs known to be cancelled: active ones, and
// ones whose final state is known.
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

// applyJob has the cache know a job.
func applyJob(t *rapid.T, c *Core, job stored.Job) {
	value, err := job.Encode()
	if err != nil {
		t.Fatal(err)
	}
	c.cache.ApplyJob(job.Spec.ID, value, 1)
}

// cancelledLeft counts the tasks of a heartbeat that have not exited and whose jobs are known to be cancelled.
func cancelledLeft(c *Core, heartbeat *wire.Heartbeat) (left int) {
	for _, task := range heartbeat.Tasks {
		job, _, _ := wire.ParseTaskName(task.Task)
		if task.State != wire.TaskExited && c.isKnownCancelled(job) {
			left++
		}
	}
	return left
}

// obey has a worker carry out the stops of a response.
func obey(heartbeat *wire.Heartbeat, response *leaseResponse) {
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

// TestLeaseAnswersStopCancelled responds to heartbeats of many tasks, with many other commands to give. Each response stops
// as many cancelled tasks as it may hold commands, none of them twice; so all of them are stopped after as many responses
// as they fill.
func TestLeaseAnswersStopCancelled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newIdleCore()
		heartbeat := drawHeartbeat(t, c)
		others := rapid.IntRange(0, 2*maxCommands).Draw(t, "other commands")
		for left := cancelledLeft(c, heartbeat); ; left = cancelledLeft(c, heartbeat) {
			response := c.newLeaseResponse(heartbeat)
			for i := range others {
				response.add(wire.Command{Op: wire.OpForget, Task: wire.TaskName("run-900000", i), Attempt: 1})
			}
			for i := range heartbeat.Tasks {
				response.add(stopImmediately(&heartbeat.Tasks[i])) // the leader's own
			}
			seen := map[attemptName]bool{}
			for _, command := range response.commands {
				name := attemptName{command.Task, command.Attempt}
				if seen[name] {
					t.Fatalf("two commands for %v", name)
				}
				seen[name] = true
			}
			if len(response.commands) > maxCommands {
				t.Fatalf("%d commands", len(response.commands))
			}
			if left == 0 {
				return
			}
			obey(heartbeat, response)
			if after, most := cancelledLeft(c, heartbeat), max(0, left-maxCommands); after > most {
				t.Fatalf("%d of %d cancelled tasks are left after a response, not %d at most", after, left, most)
			}
		}
	})
}

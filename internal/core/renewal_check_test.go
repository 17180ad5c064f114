package core_test

import (
	"bitternwing/internal/core"
	"bitternwing/internal/wire"
)

// maxResponseCommands is the maximum number of commands in a response. A response with as many stops is not checked
// further.
const maxResponseCommands = 400

// checkRenewal checks the response to a heartbeat. If the response renews the worker's lease, it must stop every task
// of the heartbeat whose job the node knows to be cancelled, up to the maximum number of commands. This holds whichever
// node leads, whether or not the key-value store is available, and whether or not the cancellation was confirmed to a
// user.
func (s *simulation) checkRenewal(node *simulatedNode, r core.Response) {
	heartbeat := node.pendingHeartbeats[r.RequestID]
	delete(node.pendingHeartbeats, r.RequestID)
	response, renews := r.Body.(wire.HeartbeatResponse)
	if heartbeat == nil || !renews {
		return
	}
	for _, task := range leftRunning(heartbeat, response, node.core.KnowsCancelled) {
		s.ruleChecker.addViolation(s.now, "left_running",
			"%s renewed the lease of %s but did not stop %s, which it knows to be cancelled (leader without recovered state: %v)",
			node.name, heartbeat.Machine, task, node.core.Status(node.steadyTime(s.now)).Recovering > 0)
	}
}

// leftRunning returns the tasks of a heartbeat that a response should stop and does not.
func leftRunning(heartbeat *wire.Heartbeat, response wire.HeartbeatResponse, cancelled func(job string) bool) []string {
	stopped := map[string]bool{}
	for _, command := range response.Commands {
		if command.Op == wire.OpStop {
			stopped[attemptKey(command.Task, command.Attempt)] = true
		}
	}
	if len(stopped) >= maxResponseCommands {
		return nil
	}
	var left []string
	for _, task := range heartbeat.Tasks {
		job, _, ok := wire.ParseTaskName(task.Task)
		if ok && task.State != wire.TaskExited && cancelled(job) && !stopped[attemptKey(task.Task, task.Attempt)] {
			left = append(left, task.Task)
		}
	}
	return left
}

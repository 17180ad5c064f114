package core_test

import (
	"bitternwing/internal/core"
	"bitternwing/internal/wire"
)

// maxCheckedStops is how many tasks a response stops at least, if so many are to be stopped.
const maxCheckedStops = 400

// checkRenewal checks the response to a heartbeat: if it renews the worker's lease, it stops each task of the heartbeat
// whose job the node knows to be cancelled, up to the bound of commands. Whether any other node leads, is served, or has
// told a user does not matter.
func (s *simulation) checkRenewal(node *simulatedNode, r core.Response) {
	heartbeat := node.pendingHeartbeats[r.RequestID]
	delete(node.pendingHeartbeats, r.RequestID)
	response, renews := r.Body.(wire.HeartbeatResponse)
	if heartbeat == nil || !renews {
		return
	}
	for _, task := range leftRunning(heartbeat, response, node.core.KnowsCancelled) {
		s.ruleChecker.addViolation(s.now, "left_running", "%s renews the lease of %s and leaves %s, which it knows to be cancelled (leads without records: %v)",
			node.name, heartbeat.Machine, task, node.core.Status(node.steadyTime(s.now)).Recovering > 0)
	}
}

// leftRunning gives the tasks of a heartbeat that a response should stop and does not.
func leftRunning(heartbeat *wire.Heartbeat, response wire.HeartbeatResponse, cancelled func(job string) bool) []string {
	stopped := map[string]bool{}
	for _, command := range response.Commands {
		if command.Op == wire.OpStop {
			stopped[attemptKey(command.Task, command.Attempt)] = true
		}
	}
	if len(stopped) >= maxCheckedStops {
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

package core_test

import (
	"bitternwing/internal/core"
	"bitternwing/internal/wire"
)

// mostStops is how many tasks an answer stops at least, if so many are to be stopped.
const mostStops = 400

// checkRenewal checks an answer to a report: if it renews the worker's lease, it stops each task of the report whose job
// the node knows to be cancelled, up to the bound of commands. Whether any other node leads, is served, or has told a
// user does not matter.
func (s *sim) checkRenewal(n *simNode, a core.Response) {
	report := n.reports[a.RequestID]
	delete(n.reports, a.RequestID)
	answer, renews := a.Body.(wire.HeartbeatResponse)
	if report == nil || !renews {
		return
	}
	for _, task := range leftRunning(report, answer, n.core.KnowsCancelled) {
		s.ruleChecker.breaks(s.now, "left_running", "%s renews the lease of %s and leaves %s, which it knows to be cancelled (leads without records: %v)",
			n.name, report.Machine, task, n.core.Status(n.steady(s.now)).Recovering > 0)
	}
}

// leftRunning gives the tasks of a report that an answer should stop and does not.
func leftRunning(report *wire.Heartbeat, answer wire.HeartbeatResponse, cancelled func(job string) bool) []string {
	stopped := map[string]bool{}
	for _, command := range answer.Commands {
		if command.Op == wire.OpStop {
			stopped[attemptKey(command.Task, command.Attempt)] = true
		}
	}
	if len(stopped) >= mostStops {
		return nil
	}
	var left []string
	for _, task := range report.Tasks {
		job, _, ok := wire.ParseTaskName(task.Task)
		if ok && task.State != wire.TaskExited && cancelled(job) && !stopped[attemptKey(task.Task, task.Attempt)] {
			left = append(left, task.Task)
		}
	}
	return left
}

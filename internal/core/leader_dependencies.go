package core

import "bitternwing/internal/dependency"

// applyDependencyChanges applies changes of the dependency graph. Jobs whose dependencies are done are queued, and jobs
// that depend on a cancelled job are cancelled. A job inherits the priority and the deadline of its dependents while it
// has any.
func (l *leader) applyDependencyChanges() {
	graph := l.core.dependencies.graph
	evaluations := graph.Evaluations()
	if evaluations == l.appliedEvaluations {
		return
	}
	l.appliedEvaluations = evaluations
	for _, id := range graph.TopologicalOrder() {
		if j := l.jobs[id]; j != nil && j.waitingForDependencies && !j.cancelled {
			l.updateWaitingJob(j)
		}
	}
	for _, j := range l.queue {
		j.inheritUrgency(graph.Status(j.id))
	}
}

// updateWaitingJob queues a waiting job once its dependencies are done, or cancels it if it depends on a cancelled job.
func (l *leader) updateWaitingJob(j *job) {
	switch l.core.dependencies.graph.Status(j.id).State {
	case dependency.Ready:
		l.admit(j)
		l.requestCycle()
	case dependency.Cancelled:
		l.writer.queueCancel(j)
	case dependency.Waiting, dependency.Unresolved:
	}
}

// inheritUrgency sets a job's priority and latest end to those that its dependents require.
func (j *job) inheritUrgency(status dependency.Status) {
	if j.rank != status.Priority {
		j.markMachineCapacityChanged()
	}
	j.rank, j.latestEndMS = status.Priority, status.LatestEndMS
}

// markMachineCapacityChanged marks the job's machines so that their preemptible capacity is calculated again.
func (j *job) markMachineCapacityChanged() {
	for _, p := range j.placements {
		p.machine.capacityChanged = true
	}
}

// admit queues a job whose dependencies are done, unless a rollout plan holds it. From then on the job counts towards
// its team's usage, and its waiting time starts.
func (l *leader) admit(j *job) {
	status := l.core.dependencies.graph.Status(j.id)
	j.waitingForDependencies = false
	j.rank, j.latestEndMS = status.Priority, status.LatestEndMS
	if status.State == dependency.Ready {
		j.queuedMS = max(j.acceptedMS, status.ReadyMS)
	}
	if !j.heldByRollout {
		l.enqueue(j)
	}
}

package core

import "bitternwing/internal/dependency"

// followDependencies takes in changes of the dependency graph: jobs that are ready are queued, jobs that depend on a
// cancelled one are cancelled, and jobs on which others depend inherit their priority and deadline for as long as they do.
func (l *leader) followDependencies() {
	graph := l.core.dependencies.graph
	evaluations := graph.Evaluations()
	if evaluations == l.dependenciesSeen {
		return
	}
	l.dependenciesSeen = evaluations
	for _, id := range graph.TopologicalOrder() {
		if j := l.jobs[id]; j != nil && j.waitingForDependencies && !j.cancelled {
			l.followWaitingJob(j)
		}
	}
	for _, j := range l.queue {
		j.inheritUrgency(graph.Status(j.id))
	}
}

// followWaitingJob queues or cancels a job that waits for others, as far as they have ended.
func (l *leader) followWaitingJob(j *job) {
	switch l.core.dependencies.graph.Status(j.id).State {
	case dependency.Ready:
		l.admit(j)
		l.requestCycle()
	case dependency.Cancelled:
		l.writer.queueCancel(j)
	case dependency.Waiting, dependency.Unresolved:
	}
}

// inheritUrgency gives a job the priority and the latest end that the jobs that depend on it lend to it.
func (j *job) inheritUrgency(status dependency.Status) {
	if j.rank != status.Priority {
		j.rankChanged()
	}
	j.rank, j.latestEndMS = status.Priority, status.LatestEndMS
}

// rankChanged notes that what could be preempted on the job's machines has to be calculated again.
func (j *job) rankChanged() {
	for _, p := range j.placements {
		p.machine.capacityChanged = true
	}
}

// admit queues a job that has waited for others. From here on it counts for its team, and its waiting time counts.
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

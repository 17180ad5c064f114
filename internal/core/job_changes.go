package core

import (
	"sort"
	"time"
)

// applyJobChange updates the leader's state of a job from the watch cache.
func (l *leader) applyJobChange(id string) {
	if !l.recovered {
		return
	}
	cached, j := l.core.cache.Job(id), l.jobs[id]
	if cached == nil {
		return // only the leader ends jobs, and it drops them itself
	}
	if j == nil {
		if _, ended := l.core.cache.FinalState(id); ended {
			return
		}
		j = l.addJob(id, cached)
		l.requestCycle()
	}
	j.version = max(j.version, cached.Version)
	if cached.CancelledMS != 0 && !j.cancelled {
		l.applyCancellation(j, cached.CancelledMS)
	}
}

// applyCancellation stops all tasks of a job. Placements whose start was not sent yet are ended at once.
func (l *leader) applyCancellation(j *job, cancelledMS int64) {
	age := time.Duration(max(0, l.core.now.WallMS-cancelledMS)) * time.Millisecond
	j.cancelled = true
	j.cancelledAt = l.core.now.Steady - age
	for _, p := range j.placementsByTask() {
		if p.phase < phaseSent {
			l.endPlacement(p)
			continue
		}
		p.requestStop(stopImmediate, stopCancelled)
		p.stopSent = false
		if p.directStartToken != 0 {
			// Its start may still be in flight and arrive after the stop, so the fence is raised above its token.
			p.machine.fence.RaiseAbove(p.directStartToken)
		}
		l.dispatcher.enqueue(p.machine)
	}
	l.requestCycle()
	l.queueEndIfDone(j)
}

// placementsByTask returns a job's placements in task order.
func (j *job) placementsByTask() []*placement {
	placements := make([]*placement, 0, len(j.placements))
	for _, p := range j.placements {
		placements = append(placements, p)
	}
	sort.Slice(placements, func(a, b int) bool { return placements[a].task < placements[b].task })
	return placements
}

// queueEndIfDone queues the write of a job's final state if the job has no placements left and is either cancelled or
// an array all of whose tasks are done.
func (l *leader) queueEndIfDone(j *job) {
	if j.endPending || len(j.placements) > 0 {
		return
	}
	if j.cancelled || j.isArray() && j.done >= j.spec.Tasks {
		j.endPending = true
		l.writer.queueEnd(j)
	}
}

const (
	// cancelReleaseTenths is the time after which a machine that still runs tasks of a cancelled job is released, in
	// tenths of the time allowed for a cancellation. The remaining time is for the release itself, which takes one or
	// two calls and a retry.
	cancelReleaseTenths = 4
	// cancelRecoveryTenths is the upper bound of that time for a machine that has not sent a heartbeat to a new leader
	// yet. Such a machine is given more time, since the task that an earlier leader recorded may have exited long ago
	// without its end being written.
	cancelRecoveryTenths = 6
)

// enforceCancellations releases machines that have not stopped the tasks of a cancelled job in time.
func (l *leader) enforceCancellations() {
	if !l.hasAuthority() {
		return
	}
	for _, j := range l.queue {
		if !j.cancelled || len(j.placements) == 0 {
			continue
		}
		for _, p := range j.placementsByTask() {
			if l.core.now.Steady >= l.cancellationDeadline(p) {
				l.provisioner.release(p.machine, releaseCancelled)
			}
		}
	}
}

// cancellationDeadline returns when the machine of a cancelled job's placement is released if the placement has not
// ended.
func (l *leader) cancellationDeadline(p *placement) time.Duration {
	cancelledAt, limit := p.job.cancelledAt, l.core.times.cancelDeadline
	due := cancelledAt + limit*cancelReleaseTenths/10
	if p.machine.reportedInTerm {
		return due
	}
	reportDeadline := l.startedAt + l.core.times.lease/2
	return max(due, min(reportDeadline, cancelledAt+limit*cancelRecoveryTenths/10))
}

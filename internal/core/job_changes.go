package core

import (
	"sort"
	"time"
)

// applyJobChange takes in a change of a job's key.
func (l *leader) applyJobChange(id string) {
	if !l.recovered {
		return
	}
	cached, j := l.core.cache.Job(id), l.jobs[id]
	if cached == nil {
		return // only the leader ends jobs, and drops them itself
	}
	if j == nil {
		if _, over := l.core.cache.FinalState(id); over {
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

// applyCancellation stops all tasks of a job. Starts that were not yet sent never will be.
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
			// Its start may still be on the way, and arrive after the stop.
			p.machine.fence.RaiseAbove(p.directStartToken)
		}
		l.dispatcher.enqueue(p.machine)
	}
	l.requestCycle()
	l.finishIfDone(j)
}

// placementsByTask gives a job's placements by task number.
func (j *job) placementsByTask() []*placement {
	placements := make([]*placement, 0, len(j.placements))
	for _, p := range j.placements {
		placements = append(placements, p)
	}
	sort.Slice(placements, func(a, b int) bool { return placements[a].task < placements[b].task })
	return placements
}

// finishIfDone writes a job's final state once all its tasks are done, or all are gone after a cancellation.
func (l *leader) finishIfDone(j *job) {
	if j.ending || len(j.placements) > 0 {
		return
	}
	if j.cancelled || j.isArray() && j.done >= j.spec.Tasks {
		j.ending = true
		l.writer.queueEnd(j)
	}
}

// The parts of the time for a cancellation after which a machine is released that still runs a task of the job. Releasing
// takes a call or two and a retry.
const (
	cancelReleaseTenths = 4
	// cancelRecoveryTenths is the latest for a machine that has yet to send a new leader a heartbeat: what an earlier leader
	// recorded may long be gone, its end not yet written.
	cancelRecoveryTenths = 6
)

// enforceCancellations releases the machines that don't stop the tasks of a cancelled job in time.
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

// cancellationDeadline gives when a machine is released that still runs a task of a cancelled job.
func (l *leader) cancellationDeadline(p *placement) time.Duration {
	cancelledAt, limit := p.job.cancelledAt, l.core.times.cancelDeadline
	due := cancelledAt + limit*cancelReleaseTenths/10
	if p.machine.reported {
		return due
	}
	timeToReport := l.startedAt + l.core.times.lease/2
	return max(due, min(timeToReport, cancelledAt+limit*cancelRecoveryTenths/10))
}

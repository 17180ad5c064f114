package core

import (
	"time"

	"bitternwing/internal/fencing"
	"bitternwing/internal/wire"
)

// reconcileTasks finds out from a heartbeat which tasks have ended. The heartbeat is newer than all before it here.
// A task that it lacks is proven absent only if it carries this term's fencing token: the worker then had taken a
// response of this term, after which no earlier start can still take effect, and each response of this term before it
// was either taken or dropped. That does not hold for a heartbeat that the worker was asked for.
func (l *leader) reconcileTasks(m *machine, heartbeat *wire.Heartbeat, origin heartbeatOrigin) {
	if m.fence.Shown(heartbeat.FencingToken) {
		l.requestCycle()
	}
	if len(m.orphanedTasks) > 0 {
		m.capacityChanged = true // they may be gone
	}
	m.exitedTasks, m.orphanedTasks = m.exitedTasks[:0], m.orphanedTasks[:0]
	l.reconciliations++
	for i := range heartbeat.Tasks {
		l.reconcileTask(m, heartbeat.Incarnation, &heartbeat.Tasks[i])
	}
	for _, p := range l.missingPlacements(m, heartbeat) {
		if p.incarnation < heartbeat.Incarnation {
			// The worker has killed and forgotten all of its earlier incarnation.
			l.core.log(Debug, "task lost with worker incarnation", "task", p.name(), "attempt", p.attempt)
			l.endPlacement(p)
		} else {
			l.reconcileMissingTask(p, heartbeat, origin)
		}
	}
}

// missingPlacements gives the placements of which a heartbeat shows that their tasks are lost with an earlier
// incarnation, or that it lacks them.
func (l *leader) missingPlacements(m *machine, heartbeat *wire.Heartbeat) []*placement {
	ofThisTerm := fencing.TermOf(heartbeat.FencingToken) == l.term
	var missing []*placement
	for _, p := range m.placementsInOrder {
		lost := p.incarnation < heartbeat.Incarnation
		lacking := p.incarnation == heartbeat.Incarnation && p.lastReconciliation != l.reconciliations
		if lost || lacking && ofThisTerm {
			missing = append(missing, p)
		}
	}
	return missing
}

// reconcileTask takes in what a heartbeat says of a task.
func (l *leader) reconcileTask(m *machine, incarnation uint64, task *wire.TaskStatus) {
	p := m.placements[task.Task]
	if p == nil || p.attempt != task.Attempt || p.incarnation != incarnation {
		l.observedChanges++
		l.reconcileUnknownTask(m, task)
		return
	}
	p.lastReconciliation = l.reconciliations
	if task.State == wire.TaskExited {
		l.observedChanges++
		m.exitedTasks = append(m.exitedTasks, *task)
		l.observeTaskExit(p, task)
		return
	}
	p.phase = max(p.phase, phaseReported)
	if p.state != task.State {
		l.observedChanges++
		p.state = task.State
		if task.State == wire.TaskRunning && p.runningSince == 0 {
			l.observeTaskStart(p)
		}
	}
	if p.runningSince != 0 && (!p.job.ranSuccessfully || len(m.failures) > 0) {
		l.failures.recordSuccess(p, false)
	}
}

// observeTaskStart notes that a task is seen running for the first time.
func (l *leader) observeTaskStart(p *placement) {
	now := l.core.now
	p.runningSince = now.Steady
	p.machine.markImageReady(p.job.spec.Image)
	accepted := now.Steady - time.Duration(now.WallMS-p.job.queuedMS)*time.Millisecond
	l.core.log(Debug, "task running", "task", p.name(), "class", p.job.spec.Class, "worker", p.machine.name, "image_state", p.imageState,
		"placed_ms", (p.placedAt - accepted).Milliseconds(), "start_ms", (now.Steady - p.placedAt).Milliseconds())
}

// reconcileMissingTask handles a placement that a heartbeat of this term, and of the placement's incarnation, lacks.
func (l *leader) reconcileMissingTask(p *placement, heartbeat *wire.Heartbeat, origin heartbeatOrigin) {
	switch {
	case p.directStartInFlight:
		return
	case p.directStartToken != 0 && heartbeat.FencingToken <= p.directStartToken:
		// Its direct start may take effect yet.
		if p.directStartSequence == 0 || heartbeat.Sequence > p.directStartSequence {
			p.machine.fence.RaiseAbove(p.directStartToken)
		}
		return
	case p.directStartToken != 0, p.phase == phaseReported:
	case p.phase == phaseSent && p.startWasTaken(heartbeat, origin):
	default:
		return
	}
	l.core.log(Debug, "task missing from heartbeat", "task", p.name(), "attempt", p.attempt)
	l.endPlacement(p)
}

// startWasTaken tells whether the worker had taken, or dropped, the response with the start when it sent a heartbeat.
func (p *placement) startWasTaken(heartbeat *wire.Heartbeat, origin heartbeatOrigin) bool {
	return p.startSequence == startSequenceUnknown || heartbeat.Sequence > p.startSequence && origin != originQuery
}

// reconcileUnknownTask handles a task in a heartbeat that no placement here explains.
func (l *leader) reconcileUnknownTask(m *machine, task *wire.TaskStatus) {
	id, index, ok := wire.ParseTaskName(task.Task)
	if !ok {
		return
	}
	if task.State != wire.TaskExited {
		m.orphanedTasks = append(m.orphanedTasks, *task)
		return
	}
	m.exitedTasks = append(m.exitedTasks, *task)
	j := l.jobs[id]
	if task.Cause == wire.CauseDone && j != nil && index < j.spec.Tasks && j.isArray() && !l.isDone(j, index) {
		l.completeElsewhere(j, index)
	}
}

// completeElsewhere notes that an attempt without a placement has completed a task, which is true whichever attempt
// it was. The task's placement is ended.
func (l *leader) completeElsewhere(j *job, task int) {
	l.setDone(j, task)
	if p := j.placements[task]; p != nil {
		if p.phase < phaseSent {
			l.endPlacement(p)
		} else {
			p.requestStop(stopImmediate, stopCompletedElsewhere)
		}
	}
	l.finishIfDone(j)
}

// observeTaskExit ends a placement whose task has exited.
func (l *leader) observeTaskExit(p *placement, task *wire.TaskStatus) {
	j, now := p.job, l.core.now.Steady
	retryPause := l.core.times.checkInterval * 2
	l.core.log(Debug, "task exited", "task", task.Task, "attempt", task.Attempt, "reason", task.Cause, "stop_reason", p.stopReason, "worker", p.machine.name)
	switch task.Cause {
	case wire.CauseDone:
		if j.isArray() {
			l.setDone(j, p.task)
		}
		l.failures.recordSuccess(p, true)
	case wire.CauseError:
		l.failures.recordFailure(p)
	case wire.CauseNoCapacity:
		p.machine.noCapacityUntil = now + retryPause
	case wire.CauseBusy, wire.CauseUnknownTask:
		j.retryAt = max(j.retryAt, now+retryPause)
	case wire.CauseStopped:
	}
	l.endPlacement(p)
}

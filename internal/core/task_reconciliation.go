package core

import (
	"time"

	"bitternwing/internal/fencing"
	"bitternwing/internal/wire"
)

// reconcileTasks determines from a heartbeat which tasks have ended. The heartbeat is newer than all others reconciled
// in this term.
//
// A task that is missing from the heartbeat is known to be absent only if the heartbeat carries this term's fencing
// token. The worker has then processed a response of this term, after which no start command of an earlier term can
// take effect. Each earlier response of this term was either processed or discarded, except if the heartbeat was
// returned in response to a query.
func (r *reconciler) reconcileTasks(m *machine, heartbeat *wire.Heartbeat, origin heartbeatOrigin) {
	if m.fence.Confirm(heartbeat.FencingToken) {
		r.actions.requestCycle()
	}
	if len(m.orphanedTasks) > 0 {
		m.capacityChanged = true // some of them may have exited
	}
	m.exitedTasks, m.orphanedTasks = m.exitedTasks[:0], m.orphanedTasks[:0]
	r.reconciliations++
	for i := range heartbeat.Tasks {
		r.reconcileTask(m, heartbeat.Incarnation, &heartbeat.Tasks[i])
	}
	for _, p := range r.missingPlacements(m, heartbeat) {
		if p.incarnation < heartbeat.Incarnation {
			// A new incarnation of the worker has killed and forgotten all tasks of the earlier one.
			r.core.log(Debug, "task lost with worker incarnation", "task", p.name(), "attempt", p.attempt)
			r.actions.endPlacement(p)
		} else {
			r.reconcileMissingTask(p, heartbeat, origin)
		}
	}
}

// missingPlacements returns the placements whose tasks were lost with an earlier incarnation of the worker, or are
// missing from a heartbeat that carries this term's fencing token.
func (r *reconciler) missingPlacements(m *machine, heartbeat *wire.Heartbeat) []*placement {
	ofThisTerm := fencing.TermOf(heartbeat.FencingToken) == r.term
	var missing []*placement
	for _, p := range m.placementsInOrder {
		lost := p.incarnation < heartbeat.Incarnation
		absent := p.incarnation == heartbeat.Incarnation && p.lastReconciliation != r.reconciliations
		if lost || absent && ofThisTerm {
			missing = append(missing, p)
		}
	}
	return missing
}

// reconcileTask reconciles the placement of a task with the task's status in a heartbeat.
func (r *reconciler) reconcileTask(m *machine, incarnation uint64, task *wire.TaskStatus) {
	p := m.placements[task.Task]
	if p == nil || p.attempt != task.Attempt || p.incarnation != incarnation {
		r.changes.increment()
		r.reconcileUnknownTask(m, task)
		return
	}
	p.lastReconciliation = r.reconciliations
	if task.State == wire.TaskExited {
		r.changes.increment()
		m.exitedTasks = append(m.exitedTasks, *task)
		r.handleTaskExit(p, task)
		return
	}
	p.phase = max(p.phase, phaseReported)
	if p.state != task.State {
		r.changes.increment()
		p.state = task.State
		if task.State == wire.TaskRunning && p.runningSince == 0 {
			r.handleTaskStart(p)
		}
	}
	if p.runningSince != 0 && (!p.job.ranSuccessfully || len(m.failures) > 0) {
		r.failures.recordSuccess(p, false)
	}
}

// handleTaskStart handles the first heartbeat in which a task is running.
func (r *reconciler) handleTaskStart(p *placement) {
	now := r.core.now
	p.runningSince = now.Steady
	p.machine.markImageReady(p.job.spec.Image)
	accepted := now.Steady - time.Duration(now.WallMS-p.job.queuedMS)*time.Millisecond
	r.core.log(Debug, "task running", "task", p.name(), "class", p.job.spec.Class, "worker", p.machine.name,
		"image_state", p.imageState, "placed_ms", (p.placedAt - accepted).Milliseconds(),
		"start_ms", (now.Steady - p.placedAt).Milliseconds())
}

// reconcileMissingTask handles a placement whose task is missing from a heartbeat that carries this term's fencing
// token and has the placement's incarnation.
func (r *reconciler) reconcileMissingTask(p *placement, heartbeat *wire.Heartbeat, origin heartbeatOrigin) {
	switch {
	case p.directStartInFlight:
		return
	case p.directStartToken != 0 && heartbeat.FencingToken <= p.directStartToken:
		// The direct start command may still take effect.
		if p.directStartSequence == 0 || heartbeat.Sequence > p.directStartSequence {
			p.machine.fence.RaiseAbove(p.directStartToken)
		}
		return
	case p.directStartToken != 0, p.phase == phaseReported:
	case p.phase == phaseSent && p.startResponseHandled(heartbeat, origin):
	default:
		return
	}
	r.core.log(Debug, "task missing from heartbeat", "task", p.name(), "attempt", p.attempt)
	r.actions.endPlacement(p)
}

// startResponseHandled reports whether the worker had processed or discarded the response with the start command by the
// time it sent a heartbeat.
func (p *placement) startResponseHandled(heartbeat *wire.Heartbeat, origin heartbeatOrigin) bool {
	return p.startSequence == startSequenceUnknown || heartbeat.Sequence > p.startSequence && origin != originRequested
}

// reconcileUnknownTask handles a task in a heartbeat that has no matching placement.
func (r *reconciler) reconcileUnknownTask(m *machine, task *wire.TaskStatus) {
	id, index, ok := wire.ParseTaskName(task.Task)
	if !ok {
		return
	}
	if task.State != wire.TaskExited {
		m.orphanedTasks = append(m.orphanedTasks, *task)
		return
	}
	m.exitedTasks = append(m.exitedTasks, *task)
	j := r.jobs[id]
	if task.Cause == wire.CauseDone && j != nil && index < j.spec.Tasks && j.isArray() && !r.records.isDone(j, index) {
		r.markCompletedElsewhere(j, index)
	}
}

// markCompletedElsewhere marks a task as done that was completed by an attempt without a placement. It does not matter
// which attempt completed the task. The task's current placement is ended or stopped.
func (r *reconciler) markCompletedElsewhere(j *job, task int) {
	r.records.setDone(j, task)
	if p := j.placements[task]; p != nil {
		if p.phase < phaseSent {
			r.actions.endPlacement(p)
		} else {
			p.requestStop(stopImmediate, stopCompletedElsewhere)
		}
	}
	r.actions.queueEndIfDone(j)
}

// handleTaskExit handles the exit of a task and ends its placement.
func (r *reconciler) handleTaskExit(p *placement, task *wire.TaskStatus) {
	j, now := p.job, r.core.now.Steady
	retryPause := r.core.times.checkInterval * 2
	r.core.log(Debug, "task exited", "task", task.Task, "attempt", task.Attempt, "reason", task.Cause,
		"stop_reason", p.stopReason, "worker", p.machine.name)
	switch task.Cause {
	case wire.CauseDone:
		if j.isArray() {
			r.records.setDone(j, p.task)
		}
		r.failures.recordSuccess(p, true)
	case wire.CauseError:
		r.failures.recordFailure(p)
	case wire.CauseNoCapacity:
		p.machine.noCapacityUntil = now + retryPause
	case wire.CauseBusy, wire.CauseUnknownTask:
		j.retryAt = max(j.retryAt, now+retryPause)
	case wire.CauseStopped:
	}
	r.actions.endPlacement(p)
}

package core

import (
	"time"

	"bitternwing/internal/fencing"
	"bitternwing/internal/wire"
)

// reconcileTasks finds out from a heartbeat which tasks have ended. The heartbeat is newer than all before it here.
// A task that it lacks is proven absent only if it carries this term's fencing token: the worker then had taken a
// response of this term, after which no earlier start can still take effect, and each response of this term before it
// was either taken or dropped. That does not hold for a heartbeat that the worker was queried for.
func (r *reconciler) reconcileTasks(m *machine, heartbeat *wire.Heartbeat, origin heartbeatOrigin) {
	if m.fence.Confirm(heartbeat.FencingToken) {
		r.actions.requestCycle()
	}
	if len(m.orphanedTasks) > 0 {
		m.capacityChanged = true // they may be gone
	}
	m.exitedTasks, m.orphanedTasks = m.exitedTasks[:0], m.orphanedTasks[:0]
	r.reconciliations++
	for i := range heartbeat.Tasks {
		r.reconcileTask(m, heartbeat.Incarnation, &heartbeat.Tasks[i])
	}
	for _, p := range r.missingPlacements(m, heartbeat) {
		if p.incarnation < heartbeat.Incarnation {
			// The worker has killed and forgotten all of its earlier incarnation.
			r.core.log(Debug, "task lost with worker incarnation", "task", p.name(), "attempt", p.attempt)
			r.actions.endPlacement(p)
		} else {
			r.reconcileMissingTask(p, heartbeat, origin)
		}
	}
}

// missingPlacements gives the placements of which a heartbeat shows that their tasks are lost with an earlier
// incarnation, or that it lacks them.
func (r *reconciler) missingPlacements(m *machine, heartbeat *wire.Heartbeat) []*placement {
	ofThisTerm := fencing.TermOf(heartbeat.FencingToken) == r.term
	var missing []*placement
	for _, p := range m.placementsInOrder {
		lost := p.incarnation < heartbeat.Incarnation
		lacking := p.incarnation == heartbeat.Incarnation && p.lastReconciliation != r.reconciliations
		if lost || lacking && ofThisTerm {
			missing = append(missing, p)
		}
	}
	return missing
}

// reconcileTask reconciles a placement with its task in a heartbeat.
func (r *reconciler) reconcileTask(m *machine, incarnation uint64, task *wire.TaskStatus) {
	p := m.placements[task.Task]
	if p == nil || p.attempt != task.Attempt || p.incarnation != incarnation {
		r.changes.observe()
		r.reconcileUnknownTask(m, task)
		return
	}
	p.lastReconciliation = r.reconciliations
	if task.State == wire.TaskExited {
		r.changes.observe()
		m.exitedTasks = append(m.exitedTasks, *task)
		r.observeTaskExit(p, task)
		return
	}
	p.phase = max(p.phase, phaseReported)
	if p.state != task.State {
		r.changes.observe()
		p.state = task.State
		if task.State == wire.TaskRunning && p.runningSince == 0 {
			r.observeTaskStart(p)
		}
	}
	if p.runningSince != 0 && (!p.job.ranSuccessfully || len(m.failures) > 0) {
		r.failures.recordSuccess(p, false)
	}
}

// observeTaskStart notes that a task is seen running for the first time.
func (r *reconciler) observeTaskStart(p *placement) {
	now := r.core.now
	p.runningSince = now.Steady
	p.machine.markImageReady(p.job.spec.Image)
	accepted := now.Steady - time.Duration(now.WallMS-p.job.queuedMS)*time.Millisecond
	r.core.log(Debug, "task running", "task", p.name(), "class", p.job.spec.Class, "worker", p.machine.name,
		"image_state", p.imageState, "placed_ms", (p.placedAt - accepted).Milliseconds(), "start_ms", (now.Steady - p.placedAt).Milliseconds())
}

// reconcileMissingTask handles a placement that a heartbeat of this term, and of the placement's incarnation, lacks.
func (r *reconciler) reconcileMissingTask(p *placement, heartbeat *wire.Heartbeat, origin heartbeatOrigin) {
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
	r.core.log(Debug, "task missing from heartbeat", "task", p.name(), "attempt", p.attempt)
	r.actions.endPlacement(p)
}

// startWasTaken tells whether the worker had taken, or dropped, the response with the start when it sent a heartbeat.
func (p *placement) startWasTaken(heartbeat *wire.Heartbeat, origin heartbeatOrigin) bool {
	return p.startSequence == startSequenceUnknown || heartbeat.Sequence > p.startSequence && origin != originQuery
}

// reconcileUnknownTask handles a task in a heartbeat that no placement here explains.
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
		r.completeElsewhere(j, index)
	}
}

// completeElsewhere notes that an attempt without a placement has completed a task, which is true whichever attempt
// it was. The task's placement is ended.
func (r *reconciler) completeElsewhere(j *job, task int) {
	r.records.setDone(j, task)
	if p := j.placements[task]; p != nil {
		if p.phase < phaseSent {
			r.actions.endPlacement(p)
		} else {
			p.requestStop(stopImmediate, stopCompletedElsewhere)
		}
	}
	r.actions.finishIfDone(j)
}

// observeTaskExit ends a placement whose task has exited.
func (r *reconciler) observeTaskExit(p *placement, task *wire.TaskStatus) {
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

package core

import (
	"time"

	"bitternwing/internal/wire"
)

// handleHeartbeat answers a worker's report.
func (c *Core) handleHeartbeat(in WorkerHeartbeat) {
	r := in.Heartbeat
	c.lastHeartbeat = c.now.Steady
	l := c.leader
	if l == nil {
		if c.leaseRelay.handleHeartbeat(in) {
			return
		}
		to := ""
		if c.cache.leaderVersion != 0 && c.cache.leader.Node != c.settings.Node {
			to = c.cache.leader.Node
		} else if !c.cache.ready {
			to = c.members.Leader(c.now.Steady) // started while the state service is down
		}
		c.respond(in.RequestID, 421, wire.Redirect{Leader: to})
		return
	}
	// A worker that knows a newer term would drop what this node says; a node
	// past its deadline is not entitled to say anything.
	if termOfFencingToken(r.FencingToken) > l.term || !l.hasAuthority() {
		if len(r.Tasks) > 0 && c.storeDown && c.leaseRelay.renewDuringStoreOutage(in) {
			return
		}
		c.respond(in.RequestID, 421, wire.Redirect{})
		return
	}
	before := l.observedChanges
	answer := c.newLeaseResponse(r)
	basis := l.reconcileHeartbeat(r, answer)
	token := max(firstFencingToken(l.term), r.FencingToken)
	if m := l.machines[r.Machine]; m != nil {
		m.fencingToken = max(m.fencingToken, token)
		token = l.fencingToken(m)
	}
	if !l.holdResponse(in.RequestID, r, token, answer) {
		c.renewLease(in.RequestID, basis, token, answer)
	}
	c.nothingChanged = l.recovered && l.observedChanges == before && len(answer.commands) == 0
}

// reconcileHeartbeat takes in a report and adds commands to its answer.
func (l *leader) reconcileHeartbeat(r *wire.Heartbeat, answer *leaseResponse) LeaseBasis {
	if !l.recovered {
		return RecoveringLeaderBasis // what runs is not yet known
	}
	if _, was := l.releasedMachines[r.Machine]; was {
		return RemovedMachineBasis
	}
	m := l.machineNamed(r.Machine)
	if m.reported && (r.Incarnation < m.incarnation || r.Incarnation == m.incarnation && r.Sequence <= m.sequence) {
		// A late copy. It proves nothing, and its answer reaches nobody.
		return StaleHeartbeatBasis
	}
	l.supersedeHeldResponse(m)
	if r.Incarnation != m.incarnation || !m.reported {
		l.observedChanges++
	}
	now := l.core.now.Steady
	if !m.reported {
		l.core.log(Debug, "worker registered", "worker", m.name, "after", (now - m.requestedAt).String())
		l.requestCycle()
	}
	switch {
	case !m.reported && !m.inCloudList && !m.requestedHere && termOfFencingToken(r.FencingToken) < l.term:
		// Nobody here knows it: its report may be a late copy, of a machine long gone.
		l.requireFencingToken(m, firstFencingToken(l.term))
	case m.reported && r.Incarnation > m.incarnation:
		l.core.log(Info, "worker restarted with new incarnation", "worker", m.name, "tasks", len(m.placements))
		if now-m.lastHeartbeat < l.core.times.lease/2 {
			// Its lease ran out although its reports came and were answered.
			l.requireFencingToken(m, l.fencingToken(m)+1)
		}
	}
	if now-m.lastHeartbeat > l.core.times.heartbeatTimeout {
		m.fencingTokenRequiredSince = now
	}
	m.setIdentity(r.Type, r.Zone, r.Addr, r.Spot)
	m.enterIncarnation(r.Incarnation)
	m.reported, m.everReported, m.missedLists = true, true, 0
	m.sequence, m.lastHeartbeat, m.lastHoldTime = r.Sequence, now, 0
	l.provisioner.cancelRelease(m)
	if r.ReclaimNoticeS != nil && !m.reclaiming {
		m.reclaiming = true
		l.core.log(Info, "worker reclaim notice", "worker", m.name, "in_s", *r.ReclaimNoticeS)
		l.requestCycle()
	}
	l.reconcileTasks(m, r, false)
	l.addCommands(m, r, answer)
	return LeaderBasis
}

// reconcileTasks draws from a report what has ended. A report is newer than all before
// it here. What it lacks is proven absent only if it carries this term's token:
// the worker then had taken an answer of this term, after which no earlier start
// can still take effect, and each answer of this term before it was either taken
// or dropped. That does not hold for a report that the worker was asked for: it may come
// while an answer with a start is still on its way to the worker.
func (l *leader) reconcileTasks(m *machine, r *wire.Heartbeat, asked bool) {
	if m.requiredFencingToken != 0 && r.FencingToken >= m.requiredFencingToken {
		m.requiredFencingToken = 0
		l.requestCycle()
	}
	if len(m.orphanedTasks) > 0 {
		m.capacityChanged = true // they may be gone
	}
	m.exitedTasks, m.orphanedTasks = m.exitedTasks[:0], m.orphanedTasks[:0]
	l.reconciliations++
	for i := range r.Tasks {
		l.reconcileTask(m, r.Incarnation, &r.Tasks[i])
	}
	var missing []*placement
	for _, p := range m.placementsInOrder {
		if p.incarnation < r.Incarnation || p.lastReconciliation != l.reconciliations && p.incarnation == r.Incarnation && termOfFencingToken(r.FencingToken) == l.term {
			missing = append(missing, p)
		}
	}
	for _, p := range missing {
		switch {
		case p.incarnation < r.Incarnation:
			// The worker killed and forgot all of its earlier session.
			l.core.log(Debug, "task lost with worker incarnation", "task", p.name(), "attempt", p.attempt)
			l.endPlacement(p)
		default:
			l.reconcileMissingTask(p, r, asked)
		}
	}
}

// reconcileTask takes in what a report says of a task.
func (l *leader) reconcileTask(m *machine, session uint64, t *wire.TaskStatus) {
	p := m.placements[t.Task]
	if p == nil || p.attempt != t.Attempt || p.incarnation != session {
		l.observedChanges++
		l.reconcileUnknownTask(m, t)
		return
	}
	p.lastReconciliation = l.reconciliations
	if t.State == wire.TaskExited {
		l.observedChanges++
		m.exitedTasks = append(m.exitedTasks, *t)
		l.observeTaskExit(p, t)
		return
	}
	p.phase = max(p.phase, phaseReported)
	if p.state != t.State {
		l.observedChanges++
		p.state = t.State
		if t.State == wire.TaskRunning && p.runningSince == 0 {
			l.observeTaskStart(p)
		}
	}
	if p.runningSince != 0 && (!p.job.ranSuccessfully || len(m.failures) > 0) {
		l.recordSuccess(p, false)
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

// reconcileMissingTask draws from a report of this term's token, and of the placement's session, that it
// lacks the placement.
func (l *leader) reconcileMissingTask(p *placement, r *wire.Heartbeat, asked bool) {
	switch {
	case p.directStartInFlight:
		return
	case p.directStartToken != 0 && r.FencingToken <= p.directStartToken:
		// Its direct start may take effect yet.
		if p.directStartSequence == 0 || r.Sequence > p.directStartSequence {
			l.raiseFencingToken(p.machine, p.directStartToken)
		}
		return
	case p.directStartToken != 0, p.phase == phaseReported:
	case p.phase == phaseSent && (p.startSequence == startSequenceUnknown || r.Sequence > p.startSequence && !asked):
	default:
		return
	}
	l.core.log(Debug, "task missing from heartbeat", "task", p.name(), "attempt", p.attempt)
	l.endPlacement(p)
}

// reconcileUnknownTask handles a task in a report that no placement here explains.
func (l *leader) reconcileUnknownTask(m *machine, t *wire.TaskStatus) {
	id, task, ok := wire.ParseTaskName(t.Task)
	if !ok {
		return
	}
	j := l.jobs[id]
	if t.State != wire.TaskExited {
		m.orphanedTasks = append(m.orphanedTasks, *t)
		return
	}
	m.exitedTasks = append(m.exitedTasks, *t)
	if t.Cause == wire.CauseDone && j != nil && task < j.spec.Tasks && j.isArray() && !l.isDone(j, task) {
		// Done is true whichever attempt says it.
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
}

// observeTaskExit ends a placement whose task has exited.
func (l *leader) observeTaskExit(p *placement, t *wire.TaskStatus) {
	j := p.job
	l.core.log(Debug, "task exited", "task", t.Task, "attempt", t.Attempt, "reason", t.Cause, "stop_reason", p.stopReason, "worker", p.machine.name)
	switch t.Cause {
	case wire.CauseDone:
		if j.isArray() {
			l.setDone(j, p.task)
		}
		l.recordSuccess(p, true)
	case wire.CauseError:
		l.recordFailure(p)
	case wire.CauseNoCapacity:
		p.machine.noCapacityUntil = l.core.now.Steady + l.core.times.checkInterval*2
	case wire.CauseBusy, wire.CauseUnknownTask:
		j.retryAt = max(j.retryAt, l.core.now.Steady+l.core.times.checkInterval*2)
	}
	l.endPlacement(p)
}

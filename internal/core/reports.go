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
		if c.leaseRelay.checkin(in) {
			return
		}
		to := ""
		if c.cache.leaderVersion != 0 && c.cache.leader.Node != c.settings.Node {
			to = c.cache.leader.Node
		} else if !c.cache.ready {
			to = c.leadingPeer() // started while the state service is down
		}
		c.respond(in.RequestID, 421, wire.Redirect{Leader: to})
		return
	}
	// A worker that knows a newer term would drop what this node says; a node
	// past its deadline is not entitled to say anything.
	if termOf(r.FencingToken) > l.term || !l.entitled() {
		if len(r.Tasks) > 0 && c.storeDown && c.leaseRelay.renewWithoutState(in) {
			return
		}
		c.respond(in.RequestID, 421, wire.Redirect{})
		return
	}
	before := l.changes
	answer := c.newLeaseAnswer(r)
	basis := l.report(r, answer)
	token := max(firstToken(l.term), r.FencingToken)
	if m := l.machines[r.Machine]; m != nil {
		m.current = max(m.current, token)
		token = l.token(m)
	}
	if !l.holdAnswer(in.RequestID, r, token, answer) {
		c.renewLease(in.RequestID, basis, token, answer)
	}
	c.nothingChanged = l.loaded && l.changes == before && len(answer.commands) == 0
}

// report takes in a report and adds commands to its answer.
func (l *leader) report(r *wire.Heartbeat, answer *leaseAnswer) LeaseBasis {
	if !l.loaded {
		return RecoveringLeaderBasis // what runs is not yet known
	}
	if _, was := l.released[r.Machine]; was {
		return RemovedMachineBasis
	}
	m := l.machine(r.Machine)
	if m.up && (r.Incarnation < m.session || r.Incarnation == m.session && r.Sequence <= m.seq) {
		// A late copy. It proves nothing, and its answer reaches nobody.
		return StaleHeartbeatBasis
	}
	l.dropHeld(m)
	if r.Incarnation != m.session || !m.up {
		l.changes++
	}
	now := l.c.now.Steady
	if !m.up {
		l.c.log(Debug, "machine up", "machine", m.name, "after", (now - m.rentedAt).String())
		l.wantRound()
	}
	switch {
	case !m.up && !m.listed && !m.rented && termOf(r.FencingToken) < l.term:
		// Nobody here knows it: its report may be a late copy, of a machine long gone.
		l.requireToken(m, firstToken(l.term))
	case m.up && r.Incarnation > m.session:
		l.c.log(Info, "machine in a new session", "machine", m.name, "tasks", len(m.runs))
		if now-m.heard < l.c.times.lease/2 {
			// Its lease ran out although its reports came and were answered.
			l.requireToken(m, l.token(m)+1)
		}
	}
	if now-m.heard > l.c.times.heartbeatTimeout {
		m.tokenRequiredSince = now
	}
	m.describe(r.Type, r.Zone, r.Addr, r.Spot)
	m.enter(r.Incarnation)
	m.up, m.seenUp, m.missing = true, true, 0
	m.seq, m.heard, m.lastHold = r.Sequence, now, 0
	l.rentals.takeBack(m)
	if r.ReclaimNoticeS != nil && !m.notice {
		m.notice = true
		l.c.log(Info, "machine will be taken", "machine", m.name, "in_s", *r.ReclaimNoticeS)
		l.wantRound()
	}
	l.evidence(m, r, false)
	l.commands(m, r, answer)
	return LeaderBasis
}

// evidence draws from a report what has ended. A report is newer than all before
// it here. What it lacks is proven absent only if it carries this term's token:
// the worker then had taken an answer of this term, after which no earlier start
// can still take effect, and each answer of this term before it was either taken
// or dropped. That does not hold for a report that the worker was asked for: it may come
// while an answer with a start is still on its way to the worker.
func (l *leader) evidence(m *machine, r *wire.Heartbeat, asked bool) {
	if m.requiredToken != 0 && r.FencingToken >= m.requiredToken {
		m.requiredToken = 0
		l.wantRound()
	}
	if len(m.orphanedTasks) > 0 {
		m.roomChanged = true // they may be gone
	}
	m.exits, m.orphanedTasks = m.exits[:0], m.orphanedTasks[:0]
	l.evidenceCount++
	for i := range r.Tasks {
		l.reportedTask(m, r.Incarnation, &r.Tasks[i])
	}
	var missing []*placement
	for _, p := range m.list {
		if p.session < r.Incarnation || p.reportedIn != l.evidenceCount && p.session == r.Incarnation && termOf(r.FencingToken) == l.term {
			missing = append(missing, p)
		}
	}
	for _, p := range missing {
		switch {
		case p.session < r.Incarnation:
			// The worker killed and forgot all of its earlier session.
			l.c.log(Debug, "task lost with its session", "task", p.name(), "attempt", p.attempt)
			l.end(p)
		default:
			l.unreported(p, r, asked)
		}
	}
}

// reportedTask takes in what a report says of a task.
func (l *leader) reportedTask(m *machine, session uint64, t *wire.TaskStatus) {
	p := m.runs[t.Task]
	if p == nil || p.attempt != t.Attempt || p.session != session {
		l.changes++
		l.unexplained(m, t)
		return
	}
	p.reportedIn = l.evidenceCount
	if t.State == wire.TaskExited {
		l.changes++
		m.exits = append(m.exits, *t)
		l.exited(p, t)
		return
	}
	p.phase = max(p.phase, seen)
	if p.state != t.State {
		l.changes++
		p.state = t.State
		if t.State == wire.TaskRunning && p.ranAt == 0 {
			l.firstRuns(p)
		}
	}
	if p.ranAt != 0 && (!p.job.proven || len(m.errors) > 0) {
		l.ranWell(p, false)
	}
}

// firstRuns notes that a task is seen running for the first time.
func (l *leader) firstRuns(p *placement) {
	now := l.c.now
	p.ranAt = now.Steady
	p.machine.imageReady(p.job.spec.Image)
	accepted := now.Steady - time.Duration(now.WallMS-p.job.queuedAt)*time.Millisecond
	l.c.log(Debug, "task runs", "task", p.name(), "class", p.job.spec.Class, "machine", p.machine.name, "warmth", p.warmth,
		"placed_ms", (p.since - accepted).Milliseconds(), "ran_ms", (now.Steady - p.since).Milliseconds())
}

// unreported draws from a report of this term's token, and of the placement's session, that it
// lacks the placement.
func (l *leader) unreported(p *placement, r *wire.Heartbeat, asked bool) {
	switch {
	case p.waits:
		return
	case p.direct != 0 && r.FencingToken <= p.direct:
		// Its direct start may take effect yet.
		if p.answer == 0 || r.Sequence > p.answer {
			l.raise(p.machine, p.direct)
		}
		return
	case p.direct != 0, p.phase == seen:
	case p.phase == sent && (p.sentSeq == inherited || r.Sequence > p.sentSeq && !asked):
	default:
		return
	}
	l.c.log(Debug, "task absent", "task", p.name(), "attempt", p.attempt)
	l.end(p)
}

// unexplained handles a task in a report that no placement here explains.
func (l *leader) unexplained(m *machine, t *wire.TaskStatus) {
	id, task, ok := wire.ParseTaskName(t.Task)
	if !ok {
		return
	}
	j := l.jobs[id]
	if t.State != wire.TaskExited {
		m.orphanedTasks = append(m.orphanedTasks, *t)
		return
	}
	m.exits = append(m.exits, *t)
	if t.Cause == wire.CauseDone && j != nil && task < j.spec.Tasks && j.array() && !l.isDone(j, task) {
		// Done is true whichever attempt says it.
		l.setDone(j, task)
		if p := j.placed[task]; p != nil {
			if p.phase < sent {
				l.end(p)
			} else {
				p.halt(stopNow, stopDoneElsewhere)
			}
		}
		l.finishIfDone(j)
	}
}

// exited ends a placement whose task has exited.
func (l *leader) exited(p *placement, t *wire.TaskStatus) {
	j := p.job
	l.c.log(Debug, "task exited", "task", t.Task, "attempt", t.Attempt, "why", t.Cause, "told", p.stopWhy, "machine", p.machine.name)
	switch t.Cause {
	case wire.CauseDone:
		if j.array() {
			l.setDone(j, p.task)
		}
		l.ranWell(p, true)
	case wire.CauseError:
		l.erred(p)
	case wire.CauseNoCapacity:
		p.machine.full = l.c.now.Steady + l.c.times.checkInterval*2
	case wire.CauseBusy, wire.CauseUnknownTask:
		j.waitFor = max(j.waitFor, l.c.now.Steady+l.c.times.checkInterval*2)
	}
	l.end(p)
}

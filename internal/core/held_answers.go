package core

import (
	"time"

	"bitternwing/internal/wire"
)

// heldAnswer is the answer to a report that is held back: there is nothing to tell, and until it is answered the
// worker sends no other report. It goes at its time, or as soon as the machine has something to do.
type heldAnswer struct {
	req    uint64
	report *wire.Heartbeat
	due    time.Duration
}

// holdAnswer holds the answer to a report back if it tells nothing and no change is expected that the worker would
// have to report; false if it has to be answered now.
func (l *leader) holdAnswer(req uint64, r *wire.Heartbeat, token uint64, answer *leaseAnswer) bool {
	c := l.c
	m := l.machines[r.Machine]
	if !c.operator.PaceReports || m == nil || c.storeDown || len(answer.commands) > 0 || token != r.FencingToken || m.held != nil || !l.mayWait(m, r) {
		return false
	}
	now := c.now.Steady
	hold := c.pacer.Hold(m.settled(), c.timerLoad.Level(now))
	if hold == 0 {
		return false
	}
	m.lastHold = hold
	m.held = &heldAnswer{req: req, report: r, due: c.pacer.Release(now, hold)}
	l.releaseAt = min(l.releaseAt, m.held.due)
	c.wakeBy(l.releaseAt)
	return true
}

// mayWait tells whether a report is the newest of a machine that is to be kept.
func (l *leader) mayWait(m *machine, r *wire.Heartbeat) bool {
	newest := m.up && m.session == r.Incarnation && m.seq == r.Sequence
	return newest && l.loaded && m.requiredToken == 0 && !m.notice && !m.releasing && !m.faulty
}

// settled tells whether nothing is under way on a machine that its next report would show: it has no task, or tasks that run
// and are to go on.
func (m *machine) settled() bool {
	if len(m.exits) > 0 || len(m.orphanedTasks) > 0 {
		return false
	}
	for _, p := range m.list {
		if p.stop != keep || p.state != wire.TaskRunning {
			return false
		}
	}
	return true
}

// answerHeld gives a machine's held answer, with all that it is to do by now.
func (l *leader) answerHeld(m *machine) {
	held := m.held
	if held == nil {
		return
	}
	m.held = nil
	if !l.entitled() {
		l.c.respond(held.req, 421, wire.Redirect{})
		return
	}
	basis, answer := LeaderBasis, l.c.newLeaseAnswer(held.report)
	switch {
	case l.machines[m.name] != m:
		basis = RemovedMachineBasis
	case l.mayWait(m, held.report):
		l.commands(m, held.report, answer)
	}
	l.c.renewLease(held.req, basis, max(l.token(m), held.report.FencingToken), answer)
}

// dropHeld ends a held answer whose worker has sent a newer report, and so has given it up.
func (l *leader) dropHeld(m *machine) {
	if m.held != nil {
		l.c.renewLease(m.held.req, StaleHeartbeatBasis, m.held.report.FencingToken, l.c.newLeaseAnswer(m.held.report))
		m.held = nil
	}
}

// releaseAnswers gives the held answers whose time has come.
func (l *leader) releaseAnswers() {
	now := l.c.now.Steady
	if now < l.releaseAt {
		l.c.wakeBy(l.releaseAt)
		return
	}
	l.releaseAt = farFuture
	for _, m := range l.fleet {
		switch {
		case m.held == nil:
		case now >= m.held.due:
			l.answerHeld(m)
		default:
			l.releaseAt = min(l.releaseAt, m.held.due)
		}
	}
	l.c.wakeBy(l.releaseAt)
}

// refuseHeld sends the workers with held answers to the next leader, at the end of this term.
func (l *leader) refuseHeld() {
	for _, m := range l.fleet {
		if m.held != nil {
			l.c.respond(m.held.req, 421, wire.Redirect{})
			m.held = nil
		}
	}
}

package core

import (
	"time"

	"bitternwing/internal/wire"
)

// heldResponse is the answer to a report that is held back: there is nothing to tell, and until it is answered the
// worker sends no other report. It goes at its time, or as soon as the machine has something to do.
type heldResponse struct {
	requestID uint64
	heartbeat *wire.Heartbeat
	due       time.Duration
}

// holdResponse holds the answer to a report back if it tells nothing and no change is expected that the worker would
// have to report; false if it has to be answered now.
func (l *leader) holdResponse(req uint64, r *wire.Heartbeat, token uint64, answer *leaseResponse) bool {
	c := l.core
	m := l.machines[r.Machine]
	if !c.operator.PaceHeartbeats || m == nil || c.storeDown || len(answer.commands) > 0 || token != r.FencingToken || m.heldResponse != nil || !l.mayHold(m, r) {
		return false
	}
	now := c.now.Steady
	hold := c.pacer.Hold(m.steady(), c.timerLoad.Level(now))
	if hold == 0 {
		return false
	}
	m.lastHoldTime = hold
	m.heldResponse = &heldResponse{requestID: req, heartbeat: r, due: c.pacer.Release(now, hold)}
	l.nextHeldResponse = min(l.nextHeldResponse, m.heldResponse.due)
	c.wakeBy(l.nextHeldResponse)
	return true
}

// mayHold tells whether a report is the newest of a machine that is to be kept.
func (l *leader) mayHold(m *machine, r *wire.Heartbeat) bool {
	newest := m.reported && m.incarnation == r.Incarnation && m.sequence == r.Sequence
	return newest && l.recovered && !m.fence.Required() && !m.reclaiming && !m.releasing && !m.quarantined
}

// steady tells whether nothing is under way on a machine that its next report would show: it has no task, or tasks that run
// and are to go on.
func (m *machine) steady() bool {
	if len(m.exitedTasks) > 0 || len(m.orphanedTasks) > 0 {
		return false
	}
	for _, p := range m.placementsInOrder {
		if p.stop != stopNone || p.state != wire.TaskRunning {
			return false
		}
	}
	return true
}

// sendHeldResponse gives a machine's held answer, with all that it is to do by now.
func (l *leader) sendHeldResponse(m *machine) {
	held := m.heldResponse
	if held == nil {
		return
	}
	m.heldResponse = nil
	if !l.hasAuthority() {
		l.core.respond(held.requestID, 421, wire.Redirect{})
		return
	}
	basis, answer := LeaderBasis, l.core.newLeaseResponse(held.heartbeat)
	switch {
	case l.machines[m.name] != m:
		basis = RemovedMachineBasis
	case l.mayHold(m, held.heartbeat):
		l.addCommands(m, held.heartbeat, answer)
	}
	l.core.renewLease(held.requestID, basis, max(m.fence.Token(), held.heartbeat.FencingToken), answer)
}

// supersedeHeldResponse ends a held answer whose worker has sent a newer report, and so has given it up.
func (l *leader) supersedeHeldResponse(m *machine) {
	if m.heldResponse != nil {
		l.core.renewLease(m.heldResponse.requestID, StaleHeartbeatBasis, m.heldResponse.heartbeat.FencingToken, l.core.newLeaseResponse(m.heldResponse.heartbeat))
		m.heldResponse = nil
	}
}

// sendDueHeldResponses gives the held answers whose time has come.
func (l *leader) sendDueHeldResponses() {
	now := l.core.now.Steady
	if now < l.nextHeldResponse {
		l.core.wakeBy(l.nextHeldResponse)
		return
	}
	l.nextHeldResponse = farFuture
	for _, m := range l.machinesByName {
		switch {
		case m.heldResponse == nil:
		case now >= m.heldResponse.due:
			l.sendHeldResponse(m)
		default:
			l.nextHeldResponse = min(l.nextHeldResponse, m.heldResponse.due)
		}
	}
	l.core.wakeBy(l.nextHeldResponse)
}

// redirectHeldResponses sends the workers with held answers to the next leader, at the end of this term.
func (l *leader) redirectHeldResponses() {
	for _, m := range l.machinesByName {
		if m.heldResponse != nil {
			l.core.respond(m.heldResponse.requestID, 421, wire.Redirect{})
			m.heldResponse = nil
		}
	}
}

package core

import (
	"net/http"
	"time"

	"bitternwing/internal/wire"
)

// heldResponse is the response to a heartbeat that is held: there are no commands, and until it is sent the worker
// sends no other heartbeat. It is sent when it is due, or as soon as there is a command for the machine.
type heldResponse struct {
	requestID uint64
	heartbeat *wire.Heartbeat
	due       time.Duration
}

// holdResponse holds the response to a heartbeat if it has no commands and no change is expected that the worker would
// have to report; false if it has to be sent now.
func (l *leader) holdResponse(requestID uint64, heartbeat *wire.Heartbeat, token uint64, response *leaseResponse) bool {
	c := l.core
	m := l.machines[heartbeat.Machine]
	if !c.operator.PaceHeartbeats || m == nil || c.storeHealth.down || m.heldResponse != nil {
		return false
	}
	if len(response.commands) > 0 || token != heartbeat.FencingToken || !l.mayHold(m, heartbeat) {
		return false
	}
	now := c.now.Steady
	hold := c.pacer.Hold(m.steady(), c.timerLoad.Level(now))
	if hold == 0 {
		return false
	}
	m.lastHoldTime = hold
	m.heldResponse = &heldResponse{requestID: requestID, heartbeat: heartbeat, due: c.pacer.Release(now, hold)}
	l.nextHeldResponse = min(l.nextHeldResponse, m.heldResponse.due)
	c.wakeBy(l.nextHeldResponse)
	return true
}

// mayHold tells whether a heartbeat is the newest of a machine that is to be kept.
func (l *leader) mayHold(m *machine, heartbeat *wire.Heartbeat) bool {
	newest := m.reported && m.incarnation == heartbeat.Incarnation && m.sequence == heartbeat.Sequence
	kept := !m.reclaiming && !m.releasing && !m.quarantined
	return newest && kept && l.recovered && !m.fence.Required()
}

// steady tells whether nothing is under way on a machine that its next heartbeat would show: it has no task, or tasks
// that run and are to go on.
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

// sendHeldResponse sends a machine's held response, with all commands that there are by now.
func (l *leader) sendHeldResponse(m *machine) {
	held := m.heldResponse
	if held == nil {
		return
	}
	m.heldResponse = nil
	if !l.hasAuthority() {
		l.core.respond(held.requestID, http.StatusMisdirectedRequest, wire.Redirect{})
		return
	}
	basis, response := LeaderBasis, l.core.newLeaseResponse(held.heartbeat)
	switch {
	case l.machines[m.name] != m:
		basis = RemovedMachineBasis
	case l.mayHold(m, held.heartbeat):
		l.addCommands(m, held.heartbeat, response)
	}
	l.core.renewLease(held.requestID, basis, max(m.fence.Token(), held.heartbeat.FencingToken), response)
}

// supersedeHeldResponse ends a held response whose worker has sent a newer heartbeat, and so has given it up.
func (l *leader) supersedeHeldResponse(m *machine) {
	held := m.heldResponse
	if held == nil {
		return
	}
	l.core.renewLease(held.requestID, StaleHeartbeatBasis, held.heartbeat.FencingToken, l.core.newLeaseResponse(held.heartbeat))
	m.heldResponse = nil
}

// sendDueHeldResponses sends the held responses that are due.
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

// redirectHeldResponses redirects the workers with held responses to the next leader, at the end of this term.
func (l *leader) redirectHeldResponses() {
	for _, m := range l.machinesByName {
		if m.heldResponse != nil {
			l.core.respond(m.heldResponse.requestID, http.StatusMisdirectedRequest, wire.Redirect{})
			m.heldResponse = nil
		}
	}
}

package core

import (
	"net/http"
	"time"

	"bitternwing/internal/wire"
)

// heldResponse is a response to a heartbeat that is held because it would carry no commands. The worker sends no other
// heartbeat until it gets the response. The response is sent when it is due or as soon as there is a command for the
// machine.
type heldResponse struct {
	requestID uint64
	heartbeat *wire.Heartbeat
	due       time.Duration
}

// heldResponses paces the workers' heartbeats: it holds responses and sends them when they are due. Each held response
// is stored in its machine.
type heldResponses struct {
	core      *Core
	authority leaderAuthority
	machines  map[string]*machine
	commands  *commandBuilder
	recovery  recoveryState

	nextDue time.Duration // when the next held response is due
}

// recoveryState reports whether the leader has recovered the state of earlier terms.
type recoveryState interface{ hasRecovered() bool }

// newHeldResponses returns the held responses of a leader, with none held.
func newHeldResponses(l *leader) *heldResponses {
	return &heldResponses{
		core:      l.core,
		authority: l.leaderAuthority,
		machines:  l.machines,
		commands:  l.commands,
		recovery:  l,
		nextDue:   farFuture,
	}
}

// hold holds the response to a heartbeat if it has no commands and no change is expected that the worker would have to
// report. It returns false if the response has to be sent now.
func (h *heldResponses) hold(requestID uint64, heartbeat *wire.Heartbeat, token uint64, response *leaseResponse) bool {
	c := h.core
	m := h.machines[heartbeat.Machine]
	if !c.operator.PaceHeartbeats || m == nil || c.storeHealth.down || m.heldResponse != nil {
		return false
	}
	if len(response.commands) > 0 || token != heartbeat.FencingToken || !h.mayHold(m, heartbeat) {
		return false
	}
	now := c.now.Steady
	holdTime := c.pacer.Hold(m.isStable(), c.timerLoad.Level(now))
	if holdTime == 0 {
		return false
	}
	m.lastHoldTime = holdTime
	m.heldResponse = &heldResponse{requestID: requestID, heartbeat: heartbeat, due: c.pacer.ReleaseAt(now, holdTime)}
	h.nextDue = min(h.nextDue, m.heldResponse.due)
	c.wakeBy(h.nextDue)
	return true
}

// mayHold reports whether the response to a heartbeat may be held: the heartbeat is the newest one of a machine that is
// to stay in the fleet and need not show a fencing token.
func (h *heldResponses) mayHold(m *machine, heartbeat *wire.Heartbeat) bool {
	newest := m.reportedInTerm && m.incarnation == heartbeat.Incarnation && m.sequence == heartbeat.Sequence
	staysInFleet := !m.reclaiming && !m.releasing && !m.quarantined
	return newest && staysInFleet && h.recovery.hasRecovered() && !m.fence.Required()
}

// isStable reports whether no change is expected in the machine's next heartbeat: it has no tasks, or only running
// tasks that are not to be stopped.
func (m *machine) isStable() bool {
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

// send sends a machine's held response, with all commands that have become pending meanwhile.
func (h *heldResponses) send(m *machine) {
	held := m.heldResponse
	if held == nil {
		return
	}
	m.heldResponse = nil
	if !h.authority.hasAuthority() {
		h.core.respond(held.requestID, http.StatusMisdirectedRequest, wire.Redirect{})
		return
	}
	basis, response := LeaderBasis, h.core.newLeaseResponse(held.heartbeat)
	switch {
	case h.machines[m.name] != m:
		basis = RemovedMachineBasis
	case h.mayHold(m, held.heartbeat):
		h.commands.addCommands(m, held.heartbeat, response)
	}
	h.core.renewLease(held.requestID, basis, max(m.fence.Token(), held.heartbeat.FencingToken), response)
}

// supersede responds to the heartbeat of a machine's held response without commands, because the worker has sent a
// newer heartbeat and no longer waits for the response.
func (h *heldResponses) supersede(m *machine) {
	held := m.heldResponse
	if held == nil {
		return
	}
	h.core.renewLease(held.requestID, StaleHeartbeatBasis, held.heartbeat.FencingToken, h.core.newLeaseResponse(held.heartbeat))
	m.heldResponse = nil
}

// sendDue sends the held responses that are due.
func (h *heldResponses) sendDue(machines []*machine) {
	now := h.core.now.Steady
	if now < h.nextDue {
		h.core.wakeBy(h.nextDue)
		return
	}
	h.nextDue = farFuture
	for _, m := range machines {
		switch {
		case m.heldResponse == nil:
		case now >= m.heldResponse.due:
			h.send(m)
		default:
			h.nextDue = min(h.nextDue, m.heldResponse.due)
		}
	}
	h.core.wakeBy(h.nextDue)
}

// redirectAll redirects all workers with held responses, at the end of this term, so that they look for the next
// leader.
func (h *heldResponses) redirectAll(machines []*machine) {
	for _, m := range machines {
		if m.heldResponse != nil {
			h.core.respond(m.heldResponse.requestID, http.StatusMisdirectedRequest, wire.Redirect{})
			m.heldResponse = nil
		}
	}
}

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

// heldResponses holds responses to heartbeats, which paces the workers, and sends them when they are due. Which response a
// machine's worker waits for is kept on the machine.
type heldResponses struct {
	core      *Core
	authority leaderAuthority
	machines  map[string]*machine
	commands  *commandBuilder
	recovery  recoveryState

	nextDue time.Duration // when held responses are sent next
}

// recoveryState tells whether the leader has recovered the state of earlier terms.
type recoveryState interface{ hasRecovered() bool }

// newHeldResponses makes the held responses of a leader.
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

// hold holds the response to a heartbeat if it has no commands and no change is expected that the worker would
// have to report; false if it has to be sent now.
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
	pause := c.pacer.Hold(m.steady(), c.timerLoad.Level(now))
	if pause == 0 {
		return false
	}
	m.lastHoldTime = pause
	m.heldResponse = &heldResponse{requestID: requestID, heartbeat: heartbeat, due: c.pacer.ReleaseAt(now, pause)}
	h.nextDue = min(h.nextDue, m.heldResponse.due)
	c.wakeBy(h.nextDue)
	return true
}

// mayHold tells whether a heartbeat is the newest of a machine that is to stay in the fleet.
func (h *heldResponses) mayHold(m *machine, heartbeat *wire.Heartbeat) bool {
	newest := m.reported && m.incarnation == heartbeat.Incarnation && m.sequence == heartbeat.Sequence
	kept := !m.reclaiming && !m.releasing && !m.quarantined
	return newest && kept && h.recovery.hasRecovered() && !m.fence.Required()
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

// send sends a machine's held response, with all commands that there are by now.
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

// supersede ends a held response whose worker has sent a newer heartbeat, and so has given it up.
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

// redirectAll redirects the workers with held responses to the next leader, at the end of this term.
func (h *heldResponses) redirectAll(machines []*machine) {
	for _, m := range machines {
		if m.heldResponse != nil {
			h.core.respond(m.heldResponse.requestID, http.StatusMisdirectedRequest, wire.Redirect{})
			m.heldResponse = nil
		}
	}
}

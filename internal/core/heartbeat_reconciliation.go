package core

import (
	"bitternwing/internal/fencing"
	"bitternwing/internal/wire"
)

// heartbeatOrigin is how a heartbeat came to this node.
type heartbeatOrigin int

const (
	// originWorker: the worker sent it by itself, to this node or to one that relays it.
	originWorker heartbeatOrigin = iota
	// originQuery: the worker was asked for it. It may come while a response with a start is still on its way.
	originQuery
)

// reconcileHeartbeat reconciles what the leader knows with a heartbeat and adds commands to its response.
func (l *leader) reconcileHeartbeat(heartbeat *wire.Heartbeat, response *leaseResponse) LeaseBasis {
	if !l.recovered {
		return RecoveringLeaderBasis // what runs is not yet known
	}
	if _, released := l.releasedMachines[heartbeat.Machine]; released {
		return RemovedMachineBasis
	}
	m := l.machineNamed(heartbeat.Machine)
	if m.isStale(heartbeat) {
		// A late copy. It proves nothing, and its response reaches nobody.
		return StaleHeartbeatBasis
	}
	l.heldResponses.supersede(m)
	l.observeRegistration(m, heartbeat)
	l.checkContact(m, heartbeat)
	m.applyHeartbeat(heartbeat)
	m.lastHeartbeat, m.lastHoldTime = l.core.now.Steady, 0
	l.provisioner.cancelRelease(m)
	l.observeReclaimNotice(m, heartbeat)
	l.reconcileTasks(m, heartbeat, originWorker)
	l.commands.addCommands(m, heartbeat, response)
	return LeaderBasis
}

// reconcileIndirect reconciles what the leader knows with a heartbeat that another node has relayed, or that the
// worker was asked for. It is evidence, and shows that the machine is alive; but its response carries no starts.
func (l *leader) reconcileIndirect(heartbeat *wire.Heartbeat, origin heartbeatOrigin) {
	m := l.machines[heartbeat.Machine]
	if !l.recovered || m == nil || m.isStale(heartbeat) {
		return
	}
	m.lastRelayed = l.core.now.Steady
	m.applyHeartbeat(heartbeat)
	l.provisioner.cancelRelease(m)
	m.reclaiming = m.reclaiming || heartbeat.ReclaimNoticeS != nil
	l.reconcileTasks(m, heartbeat, origin)
}

// isStale tells whether a heartbeat is no newer than one that was taken in before in this term.
func (m *machine) isStale(heartbeat *wire.Heartbeat) bool {
	return m.reported && !isNewer(heartbeat, m.incarnation, m.sequence)
}

// isNewer tells whether a heartbeat was sent after the one of an incarnation with a sequence number.
func isNewer(heartbeat *wire.Heartbeat, incarnation, sequence uint64) bool {
	if heartbeat.Incarnation != incarnation {
		return heartbeat.Incarnation > incarnation
	}
	return heartbeat.Sequence > sequence
}

// applyHeartbeat takes in what a heartbeat says of the machine itself.
func (m *machine) applyHeartbeat(heartbeat *wire.Heartbeat) {
	m.setIdentity(heartbeat.Type, heartbeat.Zone, heartbeat.Addr, heartbeat.Spot)
	m.enterIncarnation(heartbeat.Incarnation)
	m.reported, m.everReported, m.missedLists = true, true, 0
	m.sequence = heartbeat.Sequence
}

// observeRegistration notes the first heartbeat of a worker in this term, or of its incarnation.
func (l *leader) observeRegistration(m *machine, heartbeat *wire.Heartbeat) {
	if heartbeat.Incarnation != m.incarnation || !m.reported {
		l.observedChanges++
	}
	if !m.reported {
		l.core.log(Debug, "worker registered", "worker", m.name, "after", (l.core.now.Steady - m.requestedAt).String())
		l.requestCycle()
	}
}

// checkContact requires that a machine shows a fencing token where responses may not reach it, or where its heartbeat
// may be a late copy.
func (l *leader) checkContact(m *machine, heartbeat *wire.Heartbeat) {
	now := l.core.now.Steady
	switch {
	case !m.reported && l.isUnknown(m) && fencing.TermOf(heartbeat.FencingToken) < l.term:
		// Its heartbeat may be a late copy, of a machine long gone.
		l.requireFencingToken(m, fencing.FirstToken(l.term))
	case m.reported && heartbeat.Incarnation > m.incarnation:
		l.core.log(Info, "worker restarted with new incarnation", "worker", m.name, "tasks", len(m.placements))
		if now-m.lastHeartbeat < l.core.times.lease/2 {
			// Its lease expired although its heartbeats came and were answered.
			l.requireFencingToken(m, m.fence.Token()+1)
		}
	}
	if now-m.lastHeartbeat > l.core.times.heartbeatTimeout {
		m.fence.RestartRequirement(now)
	}
}

// isUnknown tells whether this leader has neither seen a machine in the cloud's list nor requested it.
func (l *leader) isUnknown(m *machine) bool { return !m.inCloudList && !m.requestedHere }

// observeReclaimNotice notes that the cloud will reclaim a machine.
func (l *leader) observeReclaimNotice(m *machine, heartbeat *wire.Heartbeat) {
	if heartbeat.ReclaimNoticeS == nil || m.reclaiming {
		return
	}
	m.reclaiming = true
	l.core.log(Info, "worker reclaim notice", "worker", m.name, "in_s", *heartbeat.ReclaimNoticeS)
	l.requestCycle()
}

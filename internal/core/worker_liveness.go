package core

import (
	"slices"
	"time"

	"bitternwing/internal/wire"
)

// livenessMonitor tells dead machines from those that are merely out of this node's reach, and releases them. It queries
// the status of silent machines, and drains those that are about to be taken.
type livenessMonitor struct {
	core        *Core
	authority   leaderAuthority
	calls       termCalls
	placements  placementEnder
	heartbeats  indirectReconciler
	provisioner *provisioner
	termStart   time.Duration

	lastWithoutAuthority time.Duration            // when this leader last had no authority to act
	zoneIsolatedAt       map[string]time.Duration // when a zone was last seen isolated with its controllers
	unreachableZones     []string                 // zones much of which this node can't reach, whoever renews the leases there
	silentZones          map[string]bool          // zones much of which is silent; true: none of their controllers answers either
	queriesInFlight      int                      // status queries without a result yet
}

// placementEnder ends placements whose attempts are not and will not be on their machines.
type placementEnder interface{ endPlacement(p *placement) }

// indirectReconciler reconciles the state with heartbeats that workers did not send to this node themselves.
type indirectReconciler interface {
	reconcileIndirect(heartbeat *wire.Heartbeat, origin heartbeatOrigin)
}

// newLivenessMonitor makes the monitor of a leader.
func newLivenessMonitor(l *leader) *livenessMonitor {
	return &livenessMonitor{
		core:           l.core,
		authority:      l.leaderAuthority,
		calls:          l.termCalls,
		placements:     l,
		heartbeats:     l.reconciler,
		provisioner:    &l.provisioner,
		termStart:      l.startedAt,
		zoneIsolatedAt: map[string]time.Duration{},
		silentZones:    map[string]bool{},
	}
}

// zoneSilent reports whether much of a zone is silent.
func (v *livenessMonitor) zoneSilent(zone string) bool {
	_, silent := v.silentZones[zone]
	return silent
}

// check looks for machines that are silent too long and stops what runs on those that will be taken.
func (v *livenessMonitor) check(machines []*machine) {
	v.checkZones(machines)
	hasAuthority := v.authority.hasAuthority()
	if !hasAuthority {
		v.lastWithoutAuthority = v.core.now.Steady
	}
	for _, m := range machines {
		if hasAuthority {
			v.releaseUnreachable(m)
		}
		if m.reclaiming || m.quarantined {
			v.drain(m)
		}
		if hasAuthority {
			v.queryStatus(m)
		}
	}
}

// releaseUnreachable releases a machine that is silent too long, or that responses don't reach.
func (v *livenessMonitor) releaseUnreachable(m *machine) {
	if m.hasEverReported() && !m.releasing && v.core.now.Steady >= v.releaseDeadline(m) {
		v.provisioner.release(m, releaseSilent)
	}
	if v.responsesLost(m) {
		v.provisioner.release(m, releaseResponsesLost)
	}
}

// hasEverReported tells whether the machine has sent a heartbeat in this term or an earlier one.
func (m *machine) hasEverReported() bool { return m.reported || m.everReported }

// minUnansweredQueries in a row show that a machine itself does not answer.
const minUnansweredQueries = 2

// releaseDeadline is until when a machine may be silent.
func (v *livenessMonitor) releaseDeadline(m *machine) time.Duration {
	due := m.lastHeardDirectlyOrRelayed() + v.allowedSilence(m)
	// Workers have to find their way back first: those of a zone that was isolated, and all after a time in which this
	// leader could not respond.
	due = max(due, v.lastWithoutAuthority+v.unreachableTimeout())
	if !m.reported {
		// What the last leader wrote of it may be a heartbeat interval old, and it has to find this one.
		due = max(due, v.termStart+v.core.times.lease/2)
	}
	if at, was := v.zoneIsolatedAt[m.zone]; was {
		due = max(due, at+max(v.unreachableTimeout(), v.core.times.lease))
	}
	return due
}

// unreachableTimeout is for how long a machine may be silent if the reason is unknown.
func (v *livenessMonitor) unreachableTimeout() time.Duration {
	return time.Duration(float64(v.core.times.lease) * v.core.operator.UnreachableLeases)
}

// allowedSilence is for how long a machine may be silent, by the state of its zone and its own.
func (v *livenessMonitor) allowedSilence(m *machine) time.Duration {
	limit := v.unreachableTimeout()
	lease := max(limit, v.core.times.lease)
	isolated, mostlySilent := v.silentZones[m.zone]
	unreachableZone := m.zone != v.core.settings.Zone && slices.Contains(v.unreachableZones, m.zone)
	answersNobody := m.unansweredQueries >= minUnansweredQueries
	switch {
	case isolated:
		// The zone's own nodes renew its workers' leases; dead machines show in the cloud's list.
		return time.Duration(float64(lease) * v.core.operator.PartitionLeases)
	case mostlySilent, unreachableZone, !m.reported && !answersNobody:
		// Much of a zone is silent, or out of this node's reach while others renew its leases: its workers may be on
		// their way to a node that does, the last few as well. Or a worker has yet to find this leader. By then its
		// tasks are gone with its lease, or it was heard of: a heartbeat is relayed within half a heartbeat interval.
		return lease * 11 / 10
	case answersNobody && !v.relayedLately(m, 2*lease):
		return limit * 5 / 8
	}
	return limit
}

// relayedLately tells whether a heartbeat of the machine was relayed within a time.
func (v *livenessMonitor) relayedLately(m *machine, within time.Duration) bool {
	return m.lastRelayed != 0 && v.core.now.Steady-m.lastRelayed <= within
}

// drain evicts what can save a checkpoint from a machine that will be taken, and all from one that is faulty.
func (v *livenessMonitor) drain(m *machine) {
	for _, p := range m.placementsSnapshot() {
		switch {
		case p.stop != stopNone:
		case p.phase < phaseSent:
			v.placements.endPlacement(p)
		case p.job.spec.CheckpointIntervalS > 0:
			p.requestStop(stopAfterCheckpoint, stopDrain)
		case m.quarantined:
			p.requestStop(stopImmediate, stopDrain)
		}
	}
	if m.quarantined && len(m.placements) == 0 {
		v.provisioner.release(m, releaseFaulty)
	}
}

// responsesLost reports whether a machine's heartbeats have arrived for half a lease without showing that responses reach
// it. The time in which this leader could not respond does not count.
func (v *livenessMonitor) responsesLost(m *machine) bool {
	now := v.core.now.Steady
	if !m.fence.Required() || now-m.lastHeartbeat >= v.core.times.heartbeatTimeout {
		return false
	}
	return now-max(m.fence.RequiredSince(), v.lastWithoutAuthority) > v.core.times.lease/2
}

package core

import (
	"slices"
	"time"

	"bitternwing/internal/wire"
)

// livenessMonitor detects dead machines, as opposed to machines that only this node can't reach, and releases them. It
// queries the workers of silent machines, and drains machines that are about to be reclaimed or are faulty.
type livenessMonitor struct {
	core        *Core
	authority   leaderAuthority
	calls       termCalls
	placements  placementEnder
	heartbeats  indirectReconciler
	provisioner *provisioner
	termStart   time.Duration

	lastWithoutAuthority time.Duration            // when this leader last had no authority to act
	zoneIsolatedAt       map[string]time.Duration // when a zone was last found to be isolated
	unreachableZones     []string                 // zones of which this node can't reach a large part
	silentZones          map[string]bool          // zones of which a large part is silent; true: isolated, since its nodes don't answer either
	queriesInFlight      int                      // status queries without a result yet
}

// placementEnder ends placements whose attempts are not running on their machines and never will be.
type placementEnder interface{ endPlacement(p *placement) }

// indirectReconciler reconciles the state with heartbeats other than those that workers send periodically to this node.
type indirectReconciler interface {
	reconcileIndirect(heartbeat *wire.Heartbeat, origin heartbeatOrigin)
}

// newLivenessMonitor returns the liveness monitor of a leader.
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

// zoneSilent reports whether a large part of a zone is silent.
func (lm *livenessMonitor) zoneSilent(zone string) bool {
	_, silent := lm.silentZones[zone]
	return silent
}

// check releases machines that have been silent for too long, drains those that will be reclaimed or are faulty, and
// queries the workers of silent ones.
func (lm *livenessMonitor) check(machines []*machine) {
	lm.checkZones(machines)
	hasAuthority := lm.authority.hasAuthority()
	if !hasAuthority {
		lm.lastWithoutAuthority = lm.core.now.Steady
	}
	for _, m := range machines {
		if hasAuthority {
			lm.releaseUnreachable(m)
		}
		if m.reclaiming || m.quarantined {
			lm.drain(m)
		}
		if hasAuthority {
			lm.queryStatus(m)
		}
	}
}

// releaseUnreachable releases a machine that has been silent for too long or that responses don't reach.
func (lm *livenessMonitor) releaseUnreachable(m *machine) {
	if m.hasEverReported() && !m.releasing && lm.core.now.Steady >= lm.releaseDeadline(m) {
		lm.provisioner.release(m, releaseSilent)
	}
	if lm.responsesLost(m) {
		lm.provisioner.release(m, releaseResponsesLost)
	}
}

// hasEverReported reports whether the machine has sent a heartbeat in this term or an earlier one.
func (m *machine) hasEverReported() bool { return m.reportedInTerm || m.everReported }

// minUnansweredQueries is the number of consecutive unanswered status queries after which a machine counts as
// unresponsive.
const minUnansweredQueries = 2

// releaseDeadline returns the time until which a machine may be silent.
func (lm *livenessMonitor) releaseDeadline(m *machine) time.Duration {
	due := m.lastHeardDirectlyOrRelayed() + lm.allowedSilence(m)
	// Workers need time to find the leader again: all workers after a period in which this leader could not respond,
	// and those of a zone that was isolated.
	due = max(due, lm.lastWithoutAuthority+lm.unreachableTimeout())
	if !m.reportedInTerm {
		// What the previous leader stored about the machine may be a heartbeat interval old, and the worker has to find
		// the new leader.
		due = max(due, lm.termStart+lm.core.times.lease/2)
	}
	if isolatedAt, wasIsolated := lm.zoneIsolatedAt[m.zone]; wasIsolated {
		due = max(due, isolatedAt+max(lm.unreachableTimeout(), lm.core.times.lease))
	}
	return due
}

// unreachableTimeout returns how long a machine may be silent for an unknown reason.
func (lm *livenessMonitor) unreachableTimeout() time.Duration {
	return time.Duration(float64(lm.core.times.lease) * lm.core.operator.UnreachableTimeoutLeases)
}

// allowedSilence returns how long a machine may be silent, which depends on its own state and that of its zone.
func (lm *livenessMonitor) allowedSilence(m *machine) time.Duration {
	timeout := lm.unreachableTimeout()
	lease := max(timeout, lm.core.times.lease)
	isolated, mostlySilent := lm.silentZones[m.zone]
	unreachableZone := m.zone != lm.core.settings.Zone && slices.Contains(lm.unreachableZones, m.zone)
	unresponsive := m.unansweredQueries >= minUnansweredQueries
	switch {
	case isolated:
		// The zone's own nodes renew the leases of its workers. Dead machines are detected by the cloud's list.
		return time.Duration(float64(lease) * lm.core.operator.PartitionTimeoutLeases)
	case mostlySilent, unreachableZone, !m.reportedInTerm && !unresponsive:
		// Either a large part of the zone is silent, or this node can't reach it while others renew the leases there,
		// or the worker has yet to find this leader. All of the zone's workers may be looking for a node that renews
		// their leases, including the last few that are silent. After this time the worker's tasks have ended with its
		// lease, or this leader has heard of the worker, because a heartbeat is relayed within half a heartbeat
		// interval.
		return lease * 11 / 10
	case unresponsive && !lm.relayedWithin(m, 2*lease):
		return timeout * 5 / 8
	}
	return timeout
}

// relayedWithin reports whether another node relayed a heartbeat of the machine, or its worker answered a query, within
// a period.
func (lm *livenessMonitor) relayedWithin(m *machine, period time.Duration) bool {
	return m.lastRelayed != 0 && lm.core.now.Steady-m.lastRelayed <= period
}

// drain stops the tasks that write checkpoints on a machine that will be reclaimed, and all tasks on a faulty one.
func (lm *livenessMonitor) drain(m *machine) {
	for _, p := range m.placementsSnapshot() {
		switch {
		case p.stop != stopNone:
		case p.phase < phaseSent:
			lm.placements.endPlacement(p)
		case p.job.spec.CheckpointIntervalS > 0:
			p.requestStop(stopAfterCheckpoint, stopDrain)
		case m.quarantined:
			p.requestStop(stopImmediate, stopDrain)
		}
	}
	if m.quarantined && len(m.placements) == 0 {
		lm.provisioner.release(m, releaseFaulty)
	}
}

// responsesLost reports whether a machine's heartbeats have arrived for half a lease without the required fencing
// token, so that responses do not seem to reach the worker. Time in which this leader had no authority to respond does
// not count.
func (lm *livenessMonitor) responsesLost(m *machine) bool {
	now := lm.core.now.Steady
	if !m.fence.Required() || now-m.lastHeartbeat >= lm.core.times.heartbeatTimeout {
		return false
	}
	return now-max(m.fence.RequiredSince(), lm.lastWithoutAuthority) > lm.core.times.lease/2
}

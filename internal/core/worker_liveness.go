package core

import (
	"maps"
	"slices"
	"time"

	"bitternwing/internal/outcome"
)

// checkMachines looks for machines that are silent too long and stops what runs on those that will be taken.
func (l *leader) checkMachines() {
	l.checkZones()
	hasAuthority := l.hasAuthority()
	if !hasAuthority {
		l.lastWithoutAuthority = l.core.now.Steady
	}
	for _, m := range l.machinesByName {
		if hasAuthority {
			l.releaseUnreachable(m)
		}
		if m.reclaiming || m.quarantined {
			l.drain(m)
		}
		if hasAuthority {
			l.queryStatus(m)
		}
	}
}

// releaseUnreachable releases a machine that is silent too long, or that responses don't reach.
func (l *leader) releaseUnreachable(m *machine) {
	if m.hasEverReported() && !m.releasing && l.core.now.Steady >= l.releaseDeadline(m) {
		l.provisioner.release(m, releaseSilent)
	}
	if l.responsesLost(m) {
		l.provisioner.release(m, releaseResponsesLost)
	}
}

// hasEverReported tells whether the machine has sent a heartbeat in this term or an earlier one.
func (m *machine) hasEverReported() bool { return m.reported || m.everReported }

// zoneReachability counts a zone's machines that have sent a heartbeat at some time.
type zoneReachability struct {
	total       int
	silent      int // not heard of lately, here or by another node
	unreachable int // not heard of lately by this node itself
}

// mostlySilent tells whether it is rather the network or a change of leaders than the machines. In the leader's own
// zone it is the network only where nearly all are out of its reach: a partition between zones takes none out of reach
// there, so the rest is dead, hangs or is cut off from everybody. There only what this node itself hears counts. Were
// relayed heartbeats to count, the first of them would turn all that have yet to find another node into single silent
// machines, to be released at once.
func (z *zoneReachability) mostlySilent(ownZone bool) bool {
	if ownZone {
		return z.unreachable > maxSingleFailures && z.unreachable*4 > 3*z.total
	}
	return z.silent > maxSingleFailures && z.silent*4 > z.total
}

// mostlyUnreachable tells whether much of a zone is out of this node's reach, whoever renews its leases.
func (z *zoneReachability) mostlyUnreachable() bool {
	return z.unreachable > maxSingleFailures && z.unreachable*4 > z.total
}

// maxSingleFailures of a zone that are silent at once are taken for single ones, whatever share they are.
const maxSingleFailures = 3

// checkZones finds the zones much of which is silent or out of this node's reach.
func (l *leader) checkZones() {
	zones := l.zoneReachability()
	l.unreachableZones = nil
	clear(l.silentZones)
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		reachability := zones[zone]
		if reachability.mostlyUnreachable() {
			l.unreachableZones = append(l.unreachableZones, zone)
		}
		if !reachability.mostlySilent(zone == l.core.settings.Zone) {
			continue
		}
		l.silentZones[zone] = l.core.members.ZoneIsolated(zone)
		if l.silentZones[zone] {
			l.zoneIsolatedAt[zone] = l.core.now.Steady
		}
	}
}

func (l *leader) zoneReachability() map[string]*zoneReachability {
	zones := map[string]*zoneReachability{}
	for _, m := range l.machinesByName {
		if !m.hasEverReported() {
			continue
		}
		zone := zones[m.zone]
		if zone == nil {
			zone = &zoneReachability{}
			zones[m.zone] = zone
		}
		zone.total++
		if l.silentSince(m, m.lastHeardDirectlyOrRelayed()) {
			zone.silent++
		}
		if l.silentSince(m, m.lastHeardDirectly()) {
			zone.unreachable++
		}
	}
	return zones
}

// silentSince tells whether a machine has been silent since a moment a third of a lease ago.
func (l *leader) silentSince(m *machine, at time.Duration) bool {
	return l.core.now.Steady-at > l.core.pacer.HeartbeatTimeout(l.core.times.lease/3, m.lastHoldTime)
}

// queryStatus asks a machine for its status that has sent no heartbeat here for a while: one that hangs, is dead or out
// of reach does not answer; one that has yet to find the leader does, and shows what it has.
func (l *leader) queryStatus(m *machine) {
	if m.lastHeardDirectlyOrRelayed() > m.queriedAt {
		m.unansweredQueries = 0
	}
	if !m.hasEverReported() || m.releasing || m.addr == "" || !l.statusQueryDue(m) {
		return
	}
	m.queryInFlight, m.queriedAt = true, l.core.now.Steady
	l.statusQueriesInFlight++
	query := statusQuery{leader: l, machine: m}
	id := l.registerCall(query.applyResult)
	l.core.emit(QueryWorker{CallID: id, Addr: m.addr})
}

// statusQueryDue tells whether a machine has been silent, and not been asked, for long enough.
func (l *leader) statusQueryDue(m *machine) bool {
	if m.queryInFlight || l.statusQueriesInFlight >= l.core.maxStatusQueries() {
		return false
	}
	now := l.core.now.Steady
	silence := l.core.pacer.HeartbeatTimeout(l.core.times.lease/4, m.lastHoldTime)
	return now-m.lastHeardDirectly() >= silence && now-m.queriedAt >= l.core.times.checkInterval
}

// statusQuery is a query for a machine's status.
type statusQuery struct {
	leader  *leader
	machine *machine
}

func (q statusQuery) applyResult(result Result) {
	l, m := q.leader, q.machine
	m.queryInFlight = false
	l.statusQueriesInFlight--
	switch {
	case result.Outcome == outcome.Dropped:
		// It was not asked at all.
	case result.Outcome != outcome.OK:
		m.unansweredQueries++
	case result.Heartbeat.Machine == m.name:
		m.queryAnsweredAt = l.core.now.Steady
		l.reconcileIndirect(&result.Heartbeat, originQuery)
	}
}

// maxStatusQueries bounds the sockets that status queries take.
func (c *Core) maxStatusQueries() int { return max(4, c.settings.Params.Limits.MaxConnections/40) }

// maxDirectCommands bounds the sockets that direct commands take.
func (c *Core) maxDirectCommands() int { return max(4, c.settings.Params.Limits.MaxConnections/12) }

// minUnansweredQueries in a row show that a machine itself does not answer.
const minUnansweredQueries = 2

// releaseDeadline tells until when a machine may be silent.
func (l *leader) releaseDeadline(m *machine) time.Duration {
	due := m.lastHeardDirectlyOrRelayed() + l.allowedSilence(m)
	// Workers have to find their way back first: those of a zone that was isolated, and all after a time in which this
	// leader could not respond.
	due = max(due, l.lastWithoutAuthority+l.unreachableTimeout())
	if !m.reported {
		// What the last leader told of it may be a heartbeat interval old, and it has to find this one.
		due = max(due, l.startedAt+l.core.times.lease/2)
	}
	if at, was := l.zoneIsolatedAt[m.zone]; was {
		due = max(due, at+max(l.unreachableTimeout(), l.core.times.lease))
	}
	return due
}

// unreachableTimeout is for how long a machine may be silent if nothing is known of the reason.
func (l *leader) unreachableTimeout() time.Duration {
	return time.Duration(float64(l.core.times.lease) * l.core.operator.UnreachableLeases)
}

// allowedSilence tells for how long a machine may be silent, by what is known of its zone and of itself.
func (l *leader) allowedSilence(m *machine) time.Duration {
	limit := l.unreachableTimeout()
	lease := max(limit, l.core.times.lease)
	isolated, mostlySilent := l.silentZones[m.zone]
	unreachableZone := m.zone != l.core.settings.Zone && slices.Contains(l.unreachableZones, m.zone)
	answersNobody := m.unansweredQueries >= minUnansweredQueries
	switch {
	case isolated:
		// The zone's own nodes renew its workers' leases; dead machines show in the cloud's list.
		return time.Duration(float64(lease) * l.core.operator.PartitionLeases)
	case mostlySilent, unreachableZone, !m.reported && !answersNobody:
		// Much of a zone is silent, or out of this node's reach while others renew its leases: its workers may be on
		// their way to a node that does, the last few as well. Or a worker has yet to find this leader. By then its
		// tasks are gone with its lease, or it was heard of: a relay tells within half a heartbeat interval.
		return lease * 11 / 10
	case answersNobody && !l.relayedLately(m, 2*lease):
		return limit * 5 / 8
	}
	return limit
}

// relayedLately tells whether a heartbeat of the machine was relayed within a time.
func (l *leader) relayedLately(m *machine, within time.Duration) bool {
	return m.lastRelayed != 0 && l.core.now.Steady-m.lastRelayed <= within
}

// drain evicts what can save a checkpoint from a machine that will be taken, and all from one that is faulty.
func (l *leader) drain(m *machine) {
	for _, p := range m.placementsSnapshot() {
		switch {
		case p.stop != stopNone:
		case p.phase < phaseSent:
			l.endPlacement(p)
		case p.job.spec.CheckpointIntervalS > 0:
			p.requestStop(stopAfterCheckpoint, stopDrain)
		case m.quarantined:
			p.requestStop(stopImmediate, stopDrain)
		}
	}
	if m.quarantined && len(m.placements) == 0 {
		l.provisioner.release(m, releaseFaulty)
	}
}

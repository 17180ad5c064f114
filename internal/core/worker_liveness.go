package core

import (
	"maps"
	"slices"
	"time"

	"bitternwing/internal/outcome"
)

// checkMachines looks for machines that are silent too long and stops what runs on
// those that will be taken.
func (l *leader) checkMachines() {
	l.checkZones()
	entitled := l.hasAuthority()
	if !entitled {
		l.lastWithoutAuthority = l.core.now.Steady
	}
	for _, m := range l.machinesByName {
		if entitled {
			l.releaseUnreachable(m)
		}
		if m.reclaiming || m.quarantined {
			l.drain(m)
		}
		if entitled {
			l.queryStatus(m)
		}
	}
}

// releaseUnreachable gives back a machine that is silent too long, or that answers don't reach.
func (l *leader) releaseUnreachable(m *machine) {
	if (m.reported || m.everReported) && !m.releasing && l.core.now.Steady >= l.releaseDeadline(m) {
		l.provisioner.release(m, releaseSilent)
	}
	if l.responsesLost(m) {
		l.provisioner.release(m, releaseResponsesLost)
	}
}

// zoneReachability counts a zone's machines that have reported at some time.
type zoneReachability struct {
	total       int
	silent      int // not heard of lately, here or by another node
	unreachable int // not heard lately by this node itself
}

// mostlySilent tells whether it is rather the network or a change of leaders than the machines. In
// the leader's own zone it is the network only where nearly all are out of its reach: what cuts
// zones apart takes none out of reach there, so the rest is dead, hangs or is cut off from
// everybody. There it counts what this node itself hears. Were reports that others pass on to
// count, the first of them would turn all that have yet to find another node into single
// silent machines, to be released at once.
func (z *zoneReachability) mostlySilent(ownZone bool) bool {
	if ownZone {
		return z.unreachable > maxSingleFailures && z.unreachable*4 > 3*z.total
	}
	return z.silent > maxSingleFailures && z.silent*4 > z.total
}

// mostlyUnreachable tells whether much of a zone is out of this node's reach, whoever keeps it.
func (z *zoneReachability) mostlyUnreachable() bool {
	return z.unreachable > maxSingleFailures && z.unreachable*4 > z.total
}

// maxSingleFailures of a zone that are silent at once are taken for single ones, whatever share they are.
const maxSingleFailures = 3

// checkZones finds the zones much of which is silent or out of this node's reach.
func (l *leader) checkZones() {
	now := l.core.now.Steady
	zones := l.zoneReachability()
	l.unreachableZones = nil
	clear(l.silentZones)
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		z := zones[zone]
		if z.mostlyUnreachable() {
			l.unreachableZones = append(l.unreachableZones, zone)
		}
		if !z.mostlySilent(zone == l.core.settings.Zone) {
			continue
		}
		l.silentZones[zone] = l.core.members.ZoneIsolated(zone)
		if l.silentZones[zone] {
			l.zoneIsolatedAt[zone] = now
		}
	}
}

func (l *leader) zoneReachability() map[string]*zoneReachability {
	zones := map[string]*zoneReachability{}
	for _, m := range l.machinesByName {
		if !m.reported && !m.everReported {
			continue
		}
		z := zones[m.zone]
		if z == nil {
			z = &zoneReachability{}
			zones[m.zone] = z
		}
		z.total++
		if l.silentSince(m, m.lastHeardDirectlyOrRelayed()) {
			z.silent++
		}
		if l.silentSince(m, max(m.lastHeartbeat, m.queryAnsweredAt)) {
			z.unreachable++
		}
	}
	return zones
}

// silentSince tells whether a machine has been silent since a moment a third of a lease ago.
func (l *leader) silentSince(m *machine, at time.Duration) bool {
	return l.core.now.Steady-at > l.core.pacer.HeartbeatTimeout(l.core.times.lease/3, m.lastHoldTime)
}

// queryStatus asks a machine directly that has not reported here for a while: one that hangs,
// is dead or out of reach does not answer; one that has yet to find the leader does, and
// shows what it has.
func (l *leader) queryStatus(m *machine) {
	now := l.core.now.Steady
	if m.lastHeardDirectlyOrRelayed() > m.queriedAt {
		m.unansweredQueries = 0
	}
	if !m.reported && !m.everReported || m.releasing || m.queryInFlight || m.addr == "" || l.statusQueriesInFlight >= l.core.maxStatusQueries() ||
		now-max(m.lastHeartbeat, m.queryAnsweredAt) < l.core.pacer.HeartbeatTimeout(l.core.times.lease/4, m.lastHoldTime) || now-m.queriedAt < l.core.times.checkInterval {
		return
	}
	m.queryInFlight, m.queriedAt = true, now
	l.statusQueriesInFlight++
	id := l.registerCall(func(r Result) {
		m.queryInFlight = false
		l.statusQueriesInFlight--
		switch {
		case r.Outcome == outcome.Dropped:
			// It was not asked at all.
		case r.Outcome != outcome.OK:
			m.unansweredQueries++
		case r.Heartbeat.Machine == m.name:
			m.queryAnsweredAt = l.core.now.Steady
			l.reconcileIndirect(&r.Heartbeat, originQuery)
		}
	})
	l.core.emit(QueryWorker{CallID: id, Addr: m.addr})
}

// maxStatusQueries and mostOrders bound the sockets that questions to silent machines and
// direct orders take.
func (c *Core) maxStatusQueries() int  { return max(4, c.settings.Params.Limits.MaxConnections/40) }
func (c *Core) maxDirectCommands() int { return max(4, c.settings.Params.Limits.MaxConnections/12) }

// releaseDeadline tells until when a machine may be silent.
func (l *leader) releaseDeadline(m *machine) time.Duration {
	limit := time.Duration(float64(l.core.times.lease) * l.core.operator.UnreachableLeases)
	lease := max(limit, l.core.times.lease)
	due := m.lastHeardDirectlyOrRelayed() + limit
	out, many := l.silentZones[m.zone]
	switch {
	case out:
		// Its own nodes keep its workers alive; dead machines show in the cloud's list.
		due = m.lastHeardDirectlyOrRelayed() + time.Duration(float64(lease)*l.core.operator.PartitionLeases)
	case many, m.zone != l.core.settings.Zone && slices.Contains(l.unreachableZones, m.zone), !m.reported && m.unansweredQueries < 2:
		// Much of a zone is silent, or out of this node's reach and kept by others: its workers
		// may be on their way to a node that keeps them, the last few as well. Or a worker has yet to find
		// this leader. By then its tasks are gone with its lease, or it was heard of: who
		// keeps it tells within half a heartbeat interval.
		due = m.lastHeardDirectlyOrRelayed() + lease*11/10
	case m.unansweredQueries >= 2 && (m.lastRelayed == 0 || l.core.now.Steady-m.lastRelayed > 2*lease):
		due = m.lastHeardDirectlyOrRelayed() + limit*5/8
	}
	// Workers have to find their way back first: those of a zone that was cut off, and all
	// after a time in which this leader could not answer.
	due = max(due, l.lastWithoutAuthority+limit)
	if !m.reported {
		// What the last leader told of it may be a heartbeat interval old, and it has to find this one.
		due = max(due, l.startedAt+lease/2)
	}
	if at, was := l.zoneIsolatedAt[m.zone]; was {
		due = max(due, at+lease)
	}
	return due
}

// drain stops what can save its progress on a machine that will be taken, and all on one
// that is faulty.
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

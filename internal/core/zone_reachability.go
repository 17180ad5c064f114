package core

import (
	"maps"
	"slices"
	"time"
)

// zoneReachability counts the machines of a zone that have ever sent a heartbeat.
type zoneReachability struct {
	total       int
	silent      int // not heard from recently, neither directly nor by a relayed heartbeat
	unreachable int // not heard from recently by this node itself
}

// mostlySilent reports whether so many machines of the zone are silent that the cause is likely the network or a change
// of leaders rather than the machines themselves.
//
// In the leader's own zone the network is a likely cause only if nearly all machines are unreachable. A partition
// between zones makes no machine of the leader's own zone unreachable, so if fewer machines there are silent, these are
// dead, hung or unreachable for all nodes. In its own zone only what this node hears itself counts. If relayed
// heartbeats counted, then after the first one the machines whose workers have yet to find another node would count as
// individual failures and be released at once.
func (z *zoneReachability) mostlySilent(ownZone bool) bool {
	if ownZone {
		return z.unreachable > maxSingleFailures && z.unreachable*4 > 3*z.total
	}
	return z.silent > maxSingleFailures && z.silent*4 > z.total
}

// mostlyUnreachable reports whether this node can't reach a large part of the zone, whether or not other nodes renew
// the leases there.
func (z *zoneReachability) mostlyUnreachable() bool {
	return z.unreachable > maxSingleFailures && z.unreachable*4 > z.total
}

// maxSingleFailures is the largest number of silent machines of a zone that count as individual failures, whatever
// share of the zone they are.
const maxSingleFailures = 3

// checkZones finds the zones of which a large part is silent or unreachable.
func (lm *livenessMonitor) checkZones(machines []*machine) {
	zones := lm.countReachability(machines)
	lm.unreachableZones = nil
	clear(lm.silentZones)
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		reachability := zones[zone]
		if reachability.mostlyUnreachable() {
			lm.unreachableZones = append(lm.unreachableZones, zone)
		}
		if !reachability.mostlySilent(zone == lm.core.settings.Zone) {
			continue
		}
		lm.silentZones[zone] = lm.core.members.ZoneIsolated(zone)
		if lm.silentZones[zone] {
			lm.zoneIsolatedAt[zone] = lm.core.now.Steady
		}
	}
}

// countReachability returns the counts of machines by zone.
func (lm *livenessMonitor) countReachability(machines []*machine) map[string]*zoneReachability {
	zones := map[string]*zoneReachability{}
	for _, m := range machines {
		if !m.hasEverReported() {
			continue
		}
		zone := zones[m.zone]
		if zone == nil {
			zone = &zoneReachability{}
			zones[m.zone] = zone
		}
		zone.total++
		if lm.isSilent(m, m.lastHeardDirectlyOrRelayed()) {
			zone.silent++
		}
		if lm.isSilent(m, m.lastHeardDirectly()) {
			zone.unreachable++
		}
	}
	return zones
}

// isSilent reports whether a machine that was last heard from at a given time has been silent for more than a third of
// a lease, or for longer if its last response was held.
func (lm *livenessMonitor) isSilent(m *machine, lastHeard time.Duration) bool {
	return lm.core.now.Steady-lastHeard > lm.core.pacer.HeartbeatTimeout(lm.core.times.lease/3, m.lastHoldTime)
}

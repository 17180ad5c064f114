package core

import (
	"maps"
	"slices"
	"time"
)

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
func (v *livenessMonitor) checkZones(machines []*machine) {
	zones := v.zoneReachability(machines)
	v.unreachableZones = nil
	clear(v.silentZones)
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		reachability := zones[zone]
		if reachability.mostlyUnreachable() {
			v.unreachableZones = append(v.unreachableZones, zone)
		}
		if !reachability.mostlySilent(zone == v.core.settings.Zone) {
			continue
		}
		v.silentZones[zone] = v.core.members.ZoneIsolated(zone)
		if v.silentZones[zone] {
			v.zoneIsolatedAt[zone] = v.core.now.Steady
		}
	}
}

// zoneReachability counts the machines of each zone.
func (v *livenessMonitor) zoneReachability(machines []*machine) map[string]*zoneReachability {
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
		if v.silentSince(m, m.lastHeardDirectlyOrRelayed()) {
			zone.silent++
		}
		if v.silentSince(m, m.lastHeardDirectly()) {
			zone.unreachable++
		}
	}
	return zones
}

// silentSince tells whether a machine has been silent since a moment a third of a lease ago.
func (v *livenessMonitor) silentSince(m *machine, at time.Duration) bool {
	return v.core.now.Steady-at > v.core.pacer.HeartbeatTimeout(v.core.times.lease/3, m.lastHoldTime)
}

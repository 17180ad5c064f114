package membership

import "time"

// WorkersReachOnlyPeers reports whether workers send heartbeats to peers while none has reached this node for a third
// of a worker's lease. The network between the workers and this node is then down, and a leader should hand over to a
// node that the workers reach.
func (m *Members) WorkersReachOnlyPeers(now, lastHeartbeat time.Duration) bool {
	silence := m.timing.WorkerLease / 3
	if now-lastHeartbeat < silence {
		return false
	}
	for _, p := range m.peers {
		if m.RecentlyHeard(p, now) && p.status.HeartbeatAge >= 0 && p.status.HeartbeatAge < silence/2 {
			return true
		}
	}
	return false
}

// OwnZoneIsolated reports whether this node's zone seems to be isolated by a network partition: no node outside the
// zone answers, and the key-value store is available neither to this node (storeDown) nor to any other in the zone.
//
// If there are other nodes in the zone, at least one of them must answer. Otherwise this node alone has lost the
// network, and its workers must try another one.
func (m *Members) OwnZoneIsolated(now time.Duration, storeDown bool) bool {
	peersOutside, peersInside, heardInside := false, false, false
	for _, p := range m.peers {
		if p.node.Zone != m.self.Zone {
			peersOutside = true
			if p.reachable || !p.queryCompleted {
				return false
			}
			continue
		}
		peersInside = true
		if m.RecentlyHeard(p, now) {
			heardInside = true
			if !p.status.StoreDown {
				return false
			}
		}
	}
	return peersOutside && storeDown && (heardInside || !peersInside)
}

// ZoneIsolated reports whether another zone has nodes and none of them answers.
func (m *Members) ZoneIsolated(zone string) bool {
	hasPeers := false
	for _, p := range m.peers {
		if p.node.Zone != zone {
			continue
		}
		if p.reachable || !p.queryCompleted {
			return false
		}
		hasPeers = true
	}
	return hasPeers && zone != m.self.Zone
}

// ZoneRenewsOwnLeases reports whether the nodes of a zone renew the leases of its workers while the zone is isolated
// (OwnZoneIsolated). This requires nodes both inside and outside the zone.
func (m *Members) ZoneRenewsOwnLeases(zone string) bool {
	inside, outside := false, false
	for _, node := range m.failoverOrder {
		inside = inside || node.Zone == zone
		outside = outside || node.Zone != zone
	}
	return inside && outside
}

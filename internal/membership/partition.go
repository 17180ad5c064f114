package membership

import "time"

// WorkersReachOnlyPeers reports whether workers send heartbeats to peers while none has come here since a moment that
// is a while ago: the network between the workers and this node is down, and a leader should step down for a node that
// they reach.
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

// OwnZoneIsolated reports whether this node's zone seems to be cut off from everything else: no node outside it
// answers, the key-value store doesn't either (storeDown), and it serves no node inside.
//
// With other nodes inside, one of them has to answer: else this node alone lost the network, and its workers must look
// elsewhere.
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

// ZoneIsolated reports whether another zone has controllers and none of them answers.
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

// ZoneRenewsOwnLeases reports whether the controllers of a zone renew the leases of its workers while it is cut off:
// it has some, and others are elsewhere (OwnZoneIsolated).
func (m *Members) ZoneRenewsOwnLeases(zone string) bool {
	inside, outside := false, false
	for _, node := range m.failoverOrder {
		inside = inside || node.Zone == zone
		outside = outside || node.Zone != zone
	}
	return inside && outside
}

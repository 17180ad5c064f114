package core

import "time"

// peer is what is known of another node.
type peer struct {
	name           string
	zone           string
	queryInFlight  bool
	queriedAt      time.Duration
	heardAt        time.Duration // 0: never
	reachableSince time.Duration // since when it has answered each time
	queried        bool          // a question was answered, or had its time
	reachable      bool          // the last one was answered
	// relayedAt is when it last passed on reports of workers by the state service; 0: never.
	relayedAt time.Duration
	status    PeerStatus
	// unresolved are the cancelled jobs of the same name in its status.
	unresolved map[string]bool

	revision      uint64 // it has said that it knows all changes of jobs up to here
	recordLayouts uint32 // the newest layout of run records that it has said it knows
	// supportsRollouts tells that it has said that its version knows plans of rollouts.
	supportsRollouts bool
}

func (c *Core) queryPeers() {
	for _, p := range c.peers {
		due := c.coalesce(p.queriedAt + c.peerInterval(p))
		if p.reachable && c.cancellations.awaitingLeader(p) {
			due = p.queriedAt + c.times.checkInterval/8
		}
		if p.queryInFlight {
			continue
		}
		mayWait := !p.reachable || len(c.cancellations.unacknowledgedBy(p)) == 0
		if p.queriedAt != 0 && c.now.Steady < due && mayWait {
			c.wakeBy(due)
			continue
		}
		c.queryPeer(p)
	}
}

// peerInterval is how often a peer is asked. While a leader is there and all is well, nodes that don't lead hardly
// need each other.
func (c *Core) peerInterval(p *peer) time.Duration {
	if c.leader == nil && !c.storeDown && p.reachable && !p.status.Leading && !p.status.StoreDown && c.leadingPeer() != "" {
		return 2 * c.times.checkInterval
	}
	return c.times.checkInterval
}

// recentlyHeard tells whether a peer was heard within the last few questions.
func (c *Core) recentlyHeard(p *peer) bool {
	return p.reachable && p.heardAt != 0 && c.now.Steady-p.heardAt < 3*c.times.checkInterval
}

// peerLeads tells whether a peer was heard to lead within the last few questions.
func (c *Core) peerLeads(p *peer) bool { return c.recentlyHeard(p) && p.status.Leading }

// storeOutageConfirmed tells whether every other node says that the state service refuses
// it as well and none knows a newer term. One node that doesn't answer is enough
// for a no: it may be served, and lead.
func (c *Core) storeOutageConfirmed() bool {
	for _, p := range c.peers {
		if p.status.Term > c.cache.term.Number {
			return false
		}
	}
	return c.noPeerServed()
}

// noPeerServed tells whether every other node says that the state service does not serve
// it, whatever terms they know.
func (c *Core) noPeerServed() bool {
	for _, p := range c.peers {
		if !c.recentlyHeard(p) || !p.status.StoreDown {
			return false
		}
	}
	return true
}

// workersReachOnlyPeers tells whether workers report to other nodes while none has
// reported here for a while: the network between workers and this node is gone,
// and a leader should make way for one that they reach.
func (c *Core) workersReachOnlyPeers(since time.Duration) bool {
	quiet := c.times.lease / 3
	if c.now.Steady-max(since, c.lastHeartbeat) < quiet {
		return false
	}
	for _, p := range c.peers {
		if c.recentlyHeard(p) && p.status.HeartbeatAge >= 0 && p.status.HeartbeatAge < quiet/2 {
			return true
		}
	}
	return false
}

// ownZoneIsolated tells whether this node's zone seems to be cut off from everything else: no
// node outside it answers, the state service doesn't either, and no node inside it
// fares better.
//
// With other nodes inside, one of them has to answer: else this node alone lost the
// network, and its workers must look elsewhere.
func (c *Core) ownZoneIsolated() bool {
	outside, inside, heard := false, false, false
	for _, p := range c.peers {
		switch {
		case p.zone != c.settings.Zone:
			outside = true
			if p.reachable || !p.queried {
				return false
			}
		default:
			inside = true
			if c.recentlyHeard(p) {
				heard = true
				if !p.status.StoreDown {
					return false
				}
			}
		}
	}
	return outside && c.storeDown && (heard || !inside)
}

// zoneIsolated tells whether another zone has nodes and none of them answers.
func (c *Core) zoneIsolated(zone string) bool {
	out := false
	for _, p := range c.peers {
		if p.zone == zone {
			if p.reachable || !p.queried {
				return false
			}
			out = true
		}
	}
	return out && zone != c.settings.Zone
}

// leadingPeer gives the node that says of itself that it leads, with the newest term.
func (c *Core) leadingPeer() string {
	name, term := "", uint64(0)
	for _, p := range c.peers {
		if c.peerLeads(p) && p.status.Term > term {
			name, term = p.name, p.status.Term
		}
	}
	return name
}

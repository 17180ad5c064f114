package core

import "time"

// peer is what is known of another node.
type peer struct {
	node    string
	zone    string
	asking  bool
	askedAt time.Duration
	heardAt time.Duration // 0: never
	backAt  time.Duration // since when it has answered each time
	tried   bool          // a question was answered, or had its time
	reached bool          // the last one was answered
	// relayedAt is when it last passed on reports of workers by the state service; 0: never.
	relayedAt time.Duration
	status    PeerStatus
	// unsettled are the cancelled jobs of the same name in its status.
	unsettled map[string]bool

	revision uint64 // it has said that it knows all changes of jobs up to here
	layouts  uint32 // the newest layout of run records that it has said it knows
	// knowsPlans tells that it has said that its version knows plans of rollouts.
	knowsPlans bool
}

func (c *Core) runPeers() {
	for _, p := range c.peers {
		due := c.aligned(p.askedAt + c.peerInterval(p))
		if p.reached && c.cancels.stopping(p) {
			due = p.askedAt + c.t.heartbeat/8
		}
		if p.asking {
			continue
		}
		mayWait := !p.reached || len(c.cancels.unacknowledgedBy(p)) == 0
		if p.askedAt != 0 && c.now.Steady < due && mayWait {
			c.at(due)
			continue
		}
		c.askPeer(p)
	}
}

// peerInterval is how often a peer is asked. While a leader is there and all is well, nodes that don't lead hardly
// need each other.
func (c *Core) peerInterval(p *peer) time.Duration {
	if c.lead == nil && !c.stateDown && p.reached && !p.status.Leads && !p.status.StateDown && c.leadingPeer() != "" {
		return 2 * c.t.heartbeat
	}
	return c.t.heartbeat
}

// fresh tells whether a peer was heard within the last few questions.
func (c *Core) fresh(p *peer) bool {
	return p.reached && p.heardAt != 0 && c.now.Steady-p.heardAt < 3*c.t.heartbeat
}

// leads tells whether a peer was heard to lead within the last few questions.
func (c *Core) leads(p *peer) bool { return c.fresh(p) && p.status.Leads }

// allRefused tells whether every other node says that the state service refuses
// it as well and none knows a newer term. One node that doesn't answer is enough
// for a no: it may be served, and lead.
func (c *Core) allRefused() bool {
	for _, p := range c.peers {
		if p.status.Term > c.dir.term.Term {
			return false
		}
	}
	return c.noneServed()
}

// noneServed tells whether every other node says that the state service does not serve
// it, whatever terms they know.
func (c *Core) noneServed() bool {
	for _, p := range c.peers {
		if !c.fresh(p) || !p.status.StateDown {
			return false
		}
	}
	return true
}

// workersElsewhere tells whether workers report to other nodes while none has
// reported here for a while: the network between workers and this node is gone,
// and a leader should make way for one that they reach.
func (c *Core) workersElsewhere(since time.Duration) bool {
	quiet := c.t.lease / 3
	if c.now.Steady-max(since, c.lastReport) < quiet {
		return false
	}
	for _, p := range c.peers {
		if c.fresh(p) && p.status.ReportAge >= 0 && p.status.ReportAge < quiet/2 {
			return true
		}
	}
	return false
}

// zoneCut tells whether this node's zone seems to be cut off from everything else: no
// node outside it answers, the state service doesn't either, and no node inside it
// fares better.
//
// With other nodes inside, one of them has to answer: else this node alone lost the
// network, and its workers must look elsewhere.
func (c *Core) zoneCut() bool {
	outside, inside, heard := false, false, false
	for _, p := range c.peers {
		switch {
		case p.zone != c.set.Zone:
			outside = true
			if p.reached || !p.tried {
				return false
			}
		default:
			inside = true
			if c.fresh(p) {
				heard = true
				if !p.status.StateDown {
					return false
				}
			}
		}
	}
	return outside && c.stateDown && (heard || !inside)
}

// zoneOut tells whether another zone has nodes and none of them answers.
func (c *Core) zoneOut(zone string) bool {
	out := false
	for _, p := range c.peers {
		if p.zone == zone {
			if p.reached || !p.tried {
				return false
			}
			out = true
		}
	}
	return out && zone != c.set.Zone
}

// leadingPeer gives the node that says of itself that it leads, with the newest term.
func (c *Core) leadingPeer() string {
	name, term := "", uint64(0)
	for _, p := range c.peers {
		if c.leads(p) && p.status.Term > term {
			name, term = p.node, p.status.Term
		}
	}
	return name
}

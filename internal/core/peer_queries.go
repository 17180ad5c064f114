package core

import (
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/membership"
	"bitternwing/internal/outcome"
)

// followerQueryFactor is the factor by which the query interval between two followers is longer while a leader is
// reachable.
const followerQueryFactor = 2

// newMembers returns this node's view of all nodes in the settings.
func newMembers(s *config.Settings, t times) *membership.Members {
	peers := make([]membership.Node, 0, len(s.Peers))
	for _, p := range s.Peers {
		peers = append(peers, membership.Node{Name: p.Node, Zone: p.Zone})
	}
	return membership.New(membership.Node{Name: s.Node, Zone: s.Zone}, peers,
		membership.Timing{CheckInterval: t.checkInterval, WorkerLease: t.lease})
}

// queryPeers sends the peer queries that are due.
func (c *Core) queryPeers() {
	for _, p := range c.members.Peers() {
		if p.QueryInFlight() {
			continue
		}
		due := c.peerQueryDue(p)
		deferrable := !p.Reachable() || len(c.cancellations.unacknowledgedBy(p)) == 0
		if p.QueriedAt() != 0 && c.now.Steady < due && deferrable {
			c.wakeBy(due)
			continue
		}
		c.queryPeer(p)
	}
}

// peerQueryDue returns when a peer is to be queried next. A leader is queried more often while users wait for it to
// resolve a cancellation.
func (c *Core) peerQueryDue(p *membership.Peer) time.Duration {
	if p.Reachable() && c.cancellations.awaitingLeader(p) {
		return p.QueriedAt() + c.times.checkInterval/8
	}
	return c.coalesce(p.QueriedAt() + c.peerQueryInterval(p))
}

// peerQueryInterval returns the interval between two queries of a peer. Followers need little from each other while a
// leader is reachable and the key-value store is available to both.
func (c *Core) peerQueryInterval(p *membership.Peer) time.Duration {
	status := p.Status()
	bothFollow := c.leader == nil && !status.Leading
	storeAvailableToBoth := !c.storeHealth.down && !status.StoreDown
	if bothFollow && storeAvailableToBoth && p.Reachable() && c.members.Leader(c.now.Steady) != "" {
		return followerQueryFactor * c.times.checkInterval
	}
	return c.times.checkInterval
}

// peerQuery is a query for a peer's status. It also carries the cancellations that the peer has not acknowledged, and
// the response acknowledges them.
type peerQuery struct {
	core          *Core
	peer          *membership.Peer
	cancellations []*pendingCancellation
}

// queryPeer sends a status query to a peer.
func (c *Core) queryPeer(p *membership.Peer) {
	query := &peerQuery{core: c, peer: p, cancellations: c.cancellations.unacknowledgedBy(p)}
	p.QueryStarted(c.now.Steady)
	effect := QueryPeer{CallID: c.registerCall(query.handleResult), Node: p.Name()}
	for _, pending := range query.cancellations {
		effect.Cancellations = append(effect.Cancellations, pending.cancellation)
	}
	c.emit(effect)
}

// handleResult records the peer's status and acknowledgements, or that the query failed.
func (q *peerQuery) handleResult(r Result) {
	if r.Outcome == outcome.OK {
		q.peer.QueryAnswered(q.core.now.Steady, r.Peer)
		for _, pending := range q.cancellations {
			pending.acknowledgedBy[q.peer] = true
		}
	} else {
		q.peer.QueryFailed()
	}
	q.core.cancellations.resolvePending()
}

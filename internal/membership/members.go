// Package membership keeps what a controller node knows about the other nodes of its region. From this it determines
// which of them can be reached, which one leads, whether the key-value store is available to any of them, and whether a
// zone is isolated by a network partition.
//
// It is a failure detector in the sense of Chandra and Toueg (1996): each peer is queried periodically, and a peer that
// does not answer is suspected, not known, to be down. Whatever follows from a suspicion must therefore be safe if the
// suspicion is wrong. The membership itself is static and part of the settings.
//
// The package is pure. The time and the responses are passed in, and it has no side effects: it sends no queries, reads
// no clock, writes nothing, and depends neither on the leader's state nor on the cache of the store.
package membership

import (
	"slices"
	"strings"
	"time"
)

// Timing holds the durations that failure detection depends on.
type Timing struct {
	// CheckInterval is the time between two queries of a peer.
	CheckInterval time.Duration
	// WorkerLease is the duration of a worker's lease.
	WorkerLease time.Duration
}

// recentChecks is how long a response counts as recent, in check intervals.
const recentChecks = 3

// Members is the set of the region's nodes as seen by one of them.
type Members struct {
	self          Node
	peers         []*Peer
	failoverOrder []Node
	timing        Timing
}

// New returns the view of a node that has not heard from any peer yet.
func New(self Node, peers []Node, timing Timing) *Members {
	m := &Members{self: self, timing: timing, failoverOrder: append([]Node{self}, peers...)}
	for _, peer := range peers {
		m.peers = append(m.peers, &Peer{node: peer})
	}
	slices.SortStableFunc(m.failoverOrder, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	return m
}

// Self returns the node that has this view.
func (m *Members) Self() Node { return m.self }

// Peers returns the other nodes, in the order of the settings.
func (m *Members) Peers() []*Peer { return m.peers }

// Peer returns the peer with the given name, or nil if there is none.
func (m *Members) Peer(name string) *Peer {
	for _, p := range m.peers {
		if p.node.Name == name {
			return p
		}
	}
	return nil
}

// FailoverOrder returns all nodes in the order in which workers try them when they lose the leader. The order is a
// ring: after the last one, workers try the first.
func (m *Members) FailoverOrder() []Node { return m.failoverOrder }

// RecentlyHeard reports whether a peer is reachable and answered within the last recentChecks checks.
func (m *Members) RecentlyHeard(p *Peer, now time.Duration) bool {
	return p.reachable && p.heardAt != 0 && now-p.heardAt < recentChecks*m.timing.CheckInterval
}

// ReachableForChecks reports whether a peer has answered every query of the last recentChecks checks. After a network
// partition the peers become reachable one after another, so the first ones do not show which others will follow.
func (m *Members) ReachableForChecks(p *Peer, now time.Duration) bool {
	return now-p.reachableSince >= recentChecks*m.timing.CheckInterval
}

// SuspectedDown reports whether a peer has not answered for longer than the timeout. A peer that relays heartbeats
// of workers is alive even if this node can't reach it, for instance when two zones can't reach each other.
func (m *Members) SuspectedDown(p *Peer, now, timeout time.Duration) bool {
	relays := p.relayedAt != 0 && now-p.relayedAt < m.timing.WorkerLease
	return p.queryCompleted && !p.reachable && now-p.heardAt > timeout && !relays
}

// ObserveRelay records that a node relays heartbeats of workers, whether or not this node can reach it.
func (m *Members) ObserveRelay(node string, now time.Duration) {
	if p := m.Peer(node); p != nil {
		p.relayedAt = now
	}
}

// Leads reports whether a peer recently answered that it leads.
func (m *Members) Leads(p *Peer, now time.Duration) bool {
	return m.RecentlyHeard(p, now) && p.status.Leading
}

// Leader returns the name of the peer that recently answered that it leads, or "" if there is none. If there are
// several, the one with the newest term is returned.
func (m *Members) Leader(now time.Duration) string {
	name, term := "", uint64(0)
	for _, p := range m.peers {
		if m.Leads(p, now) && p.status.Term > term {
			name, term = p.node.Name, p.status.Term
		}
	}
	return name
}

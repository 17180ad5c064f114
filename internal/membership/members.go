// Package membership holds what a controller knows of the other controllers of its region, and draws conclusions from it:
// which of them can be reached, which leads, whether the key-value store serves any of them, and whether a zone is cut
// off from the rest.
//
// It is a failure detector in the sense of Chandra and Toueg (1996): each peer is queried periodically, and one that
// does not answer is suspected, not known, to be down. What follows from a suspicion must therefore be safe if it is
// wrong. The membership itself is static: it is part of the settings.
//
// The package is pure. It is handed the time and the answers, and has no effects: it sends no query, reads no clock,
// writes nothing, and knows neither the leader's state nor the cache of the store.
package membership

import (
	"slices"
	"strings"
	"time"
)

// Timing is how quickly failures are to be noticed.
type Timing struct {
	// CheckInterval is the time between two queries of a peer.
	CheckInterval time.Duration
	// WorkerLease is the life of a worker's lease.
	WorkerLease time.Duration
}

// recentChecks is for how many check intervals an answer counts as recent.
const recentChecks = 3

// Members are the controllers of a region as one of them sees them.
type Members struct {
	self          Node
	peers         []*Peer
	failoverOrder []Node
	timing        Timing
}

// New makes the view of a controller that has heard of no peer yet.
func New(self Node, peers []Node, timing Timing) *Members {
	m := &Members{self: self, timing: timing, failoverOrder: append([]Node{self}, peers...)}
	for _, peer := range peers {
		m.peers = append(m.peers, &Peer{node: peer})
	}
	slices.SortStableFunc(m.failoverOrder, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	return m
}

// Self is the controller whose view this is.
func (m *Members) Self() Node { return m.self }

// Peers are the other controllers, in the order of the settings.
func (m *Members) Peers() []*Peer { return m.peers }

// Peer gives the peer of a name; nil if there is none.
func (m *Members) Peer(name string) *Peer {
	for _, p := range m.peers {
		if p.node.Name == name {
			return p
		}
	}
	return nil
}

// FailoverOrder gives all controllers in the order in which workers try them when they lose the leader. It is a ring:
// after the last one they try the first.
func (m *Members) FailoverOrder() []Node { return m.failoverOrder }

// RecentlyHeard reports whether a peer is reachable and answered within the last few checks.
func (m *Members) RecentlyHeard(p *Peer, now time.Duration) bool {
	return p.reachable && p.heardAt != 0 && now-p.heardAt < recentChecks*m.timing.CheckInterval
}

// ReachableForChecks reports whether a peer has answered every query of the last few checks. After a network partition
// the peers are heard again one after the other; who has just come back says little of those still to come.
func (m *Members) ReachableForChecks(p *Peer, now time.Duration) bool {
	return now-p.reachableSince >= recentChecks*m.timing.CheckInterval
}

// SuspectedDown reports whether a peer has not answered for longer than a time. One that relays heartbeats of workers
// is alive although it can't be reached, as when two zones can't reach each other.
func (m *Members) SuspectedDown(p *Peer, now, silence time.Duration) bool {
	relays := p.relayedAt != 0 && now-p.relayedAt < m.timing.WorkerLease
	return p.queryCompleted && !p.reachable && now-p.heardAt > silence && !relays
}

// ObserveRelay notes that a controller relays heartbeats of workers, whether it can be reached from here or not.
func (m *Members) ObserveRelay(node string, now time.Duration) {
	if p := m.Peer(node); p != nil {
		p.relayedAt = now
	}
}

// Leads reports whether a peer was recently heard to lead.
func (m *Members) Leads(p *Peer, now time.Duration) bool {
	return m.RecentlyHeard(p, now) && p.status.Leading
}

// Leader gives the name of the peer that was recently heard to lead, with the newest term; empty if there is none.
func (m *Members) Leader(now time.Duration) string {
	name, term := "", uint64(0)
	for _, p := range m.peers {
		if m.Leads(p, now) && p.status.Term > term {
			name, term = p.node.Name, p.status.Term
		}
	}
	return name
}

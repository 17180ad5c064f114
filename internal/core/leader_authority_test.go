package core

import (
	"testing"

	"bitternwing/internal/config"
	"bitternwing/internal/membership"
	"bitternwing/internal/outcome"
)

// newLeaderWithPeers returns a leader of term 3 whose lease is not valid. The key-value store is unavailable to it and
// to both of its peers.
func newLeaderWithPeers() *leader {
	settings := *newIdleCore().settings
	settings.Peers = []config.Peer{{Node: "b", Zone: "z2"}, {Node: "c", Zone: "z3"}}
	c := New(&settings, "first")
	c.leader = newLeader(c, 3, 1)
	c.now.Steady = c.times.lease
	c.storeHealth.observe(outcome.Unavailable)
	for _, p := range c.members.Peers() {
		p.QueryStarted(c.now.Steady)
		p.QueryAnswered(c.now.Steady, membership.Status{StoreDown: true})
	}
	return c.leader
}

// TestAuthorityWithoutLease checks that a leader whose lease has expired has authority only while all peers confirm an
// outage of the key-value store, and that it never commits.
func TestAuthorityWithoutLease(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(c *Core, peer *membership.Peer)
		want   bool
	}{
		{"all peers confirm the outage", func(*Core, *membership.Peer) {}, true},
		{"a peer does not answer", func(_ *Core, peer *membership.Peer) { peer.QueryFailed() }, false},
		{"the store is available to a peer", func(c *Core, peer *membership.Peer) {
			peer.QueryAnswered(c.now.Steady, membership.Status{})
		}, false},
		{"a peer knows a newer term", func(c *Core, peer *membership.Peer) {
			peer.QueryAnswered(c.now.Steady, membership.Status{StoreDown: true, Term: 4})
		}, false},
		{"no peer has answered recently", func(c *Core, _ *membership.Peer) { c.now.Steady += c.times.lease }, false},
	} {
		l := newLeaderWithPeers()
		tc.change(l.core, l.core.members.Peer("c"))
		if got := l.hasAuthority(); got != tc.want {
			t.Errorf("%s: hasAuthority = %v, want %v", tc.name, got, tc.want)
		}
		if l.mayCommit() {
			t.Errorf("%s: the leader may commit without a valid lease", tc.name)
		}
	}
}

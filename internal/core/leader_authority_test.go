package core

import (
	"testing"

	"bitternwing/internal/config"
	"bitternwing/internal/membership"
	"bitternwing/internal/outcome"
)

// newLeaderWithPeers makes a leader of term 3 whose lease is not valid. The store serves neither it nor its two peers.
func newLeaderWithPeers() *leader {
	set := *newIdleCore().settings
	set.Peers = []config.Peer{{Node: "b", Zone: "z2"}, {Node: "c", Zone: "z3"}}
	c := New(&set, "first")
	c.leader = newLeader(c, 3, 1)
	c.now.Steady = c.times.lease
	c.storeHealth.observe(outcome.Unavailable)
	for _, p := range c.members.Peers() {
		p.QueryStarted(c.now.Steady)
		p.QueryAnswered(c.now.Steady, membership.Status{StoreDown: true})
	}
	return c.leader
}

// TestAuthorityWithoutLease: past its lease a leader acts only while all peers confirm an outage of the store, and commits
// nothing even then.
func TestAuthorityWithoutLease(t *testing.T) {
	for _, x := range []struct {
		name   string
		change func(c *Core, peer *membership.Peer)
		want   bool
	}{
		{"all peers confirm the outage", func(*Core, *membership.Peer) {}, true},
		{"a peer does not answer", func(_ *Core, peer *membership.Peer) { peer.QueryFailed() }, false},
		{"the store serves a peer", func(c *Core, peer *membership.Peer) {
			peer.QueryAnswered(c.now.Steady, membership.Status{})
		}, false},
		{"a peer knows a newer term", func(c *Core, peer *membership.Peer) {
			peer.QueryAnswered(c.now.Steady, membership.Status{StoreDown: true, Term: 4})
		}, false},
		{"the peers were not heard lately", func(c *Core, _ *membership.Peer) { c.now.Steady += c.times.lease }, false},
	} {
		l := newLeaderWithPeers()
		x.change(l.core, l.core.members.Peer("c"))
		if got := l.hasAuthority(); got != x.want {
			t.Errorf("%s: authority %v, want %v", x.name, got, x.want)
		}
		if l.mayCommit() {
			t.Errorf("%s: the leader commits without a lease", x.name)
		}
	}
}

package election

import (
	"testing"

	"bitternwing/internal/membership"
)

func TestFailoverRing(t *testing.T) {
	for _, tt := range []struct {
		name       string
		zones      string // one digit for each node: a, b, c ...
		leader     string
		hops       int
		sharesZone bool
	}{
		{"a single node", "1", "a", 0, false},
		{"all in one zone", "111", "a", 0, false},
		{"one zone each", "123", "c", 1, false},
		{"the successor is in the leader's zone", "112", "a", 1, true},
		{"the successor is in another zone", "112", "b", 1, false},
		{"two nodes of one zone follow the leader", "112", "c", 2, false},
		{"two alternating zones", "1212", "b", 1, false},
		{"all other nodes share a zone", "1222", "a", 3, false},
	} {
		var nodes []membership.Node
		for i, zone := range tt.zones {
			nodes = append(nodes, membership.Node{Name: string(rune('a' + i)), Zone: string(zone)})
		}
		ring := newFailoverRing(membership.New(nodes[0], nodes[1:], membership.Timing{}))
		if got := ring.failoverHops(tt.leader); got != tt.hops {
			t.Errorf("%s: %d hops, want %d", tt.name, got, tt.hops)
		}
		if got := ring.sharesZoneWithSuccessor(tt.leader); got != tt.sharesZone {
			t.Errorf("%s: shares the zone with its successor: %v, want %v", tt.name, got, tt.sharesZone)
		}
	}
}

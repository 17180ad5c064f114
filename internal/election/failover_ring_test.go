package election

import (
	"testing"

	"bitternwing/internal/membership"
)

func TestFailoverRing(t *testing.T) {
	for _, x := range []struct {
		name   string
		zones  string // of the controllers a, b, c ...
		leader string
		hops   int
		shares bool
	}{
		{"alone", "1", "a", 0, false},
		{"all in one zone", "111", "a", 0, false},
		{"a zone each", "123", "c", 1, false},
		{"the successor is in the leader's zone", "112", "a", 1, true},
		{"the successor is in another zone", "112", "b", 1, false},
		{"two of one zone follow", "112", "c", 2, false},
		{"two zones that alternate", "1212", "b", 1, false},
		{"all others are in one zone", "1222", "a", 3, false},
	} {
		var nodes []membership.Node
		for i, zone := range x.zones {
			nodes = append(nodes, membership.Node{Name: string(rune('a' + i)), Zone: string(zone)})
		}
		ring := newFailoverRing(membership.New(nodes[0], nodes[1:], membership.Timing{}))
		if got := ring.failoverHops(x.leader); got != x.hops {
			t.Errorf("%s: %d hops, want %d", x.name, got, x.hops)
		}
		if got := ring.sharesZoneWithSuccessor(x.leader); got != x.shares {
			t.Errorf("%s: shares the zone with its successor: %v, want %v", x.name, got, x.shares)
		}
	}
}

package core_test

import (
	"testing"
	"time"

	"bitternwing/internal/core"
)

// TestLeaderShedsUsers has the leader run short of processor time. It tells the load balancer to send users to the others,
// who are not short, until it has time to spare again; with none of the others there it goes on serving them.
func TestLeaderShedsUsers(t *testing.T) {
	for _, x := range []struct {
		name       string
		othersGone bool
		sheds      bool
	}{
		{"others are there", false, true},
		{"the others are gone", true, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := newSim(t, 41, map[string]string{"a": "z1", "b": "z1", "c": "z1"})
			for range 8 {
				s.addMachine("z1", false, 0)
			}
			s.end = 10 * time.Second
			s.run()
			leader := s.leader()
			if x.othersGone {
				for _, n := range s.nodes {
					if n != leader {
						s.kill(n)
					}
				}
			}
			shed, othersShed := false, false
			s.every(100*time.Millisecond, func() {
				shed = shed || !leader.core.Healthy()
				for _, n := range s.nodes {
					othersShed = othersShed || n != leader && n.core != nil && !n.core.Healthy()
				}
			})
			leader.stepTime, leader.short = 160*time.Millisecond, 25*time.Second
			s.end = 25 * time.Second
			s.run()
			if shed != x.sheds || othersShed {
				t.Errorf("the leader sheds users: %v, want %v; others do: %v", shed, x.sheds, othersShed)
			}
			s.end = 45 * time.Second
			s.run()
			if !leader.core.Healthy() {
				t.Error("it sheds users with time to spare")
			}
		})
	}
}

// TestLeaseAfterQuickTerms: the lease of a leader is longer the more terms began lately, up to a bound.
func TestLeaseAfterQuickTerms(t *testing.T) {
	const second = time.Second
	for _, x := range []struct {
		name   string
		begins []time.Duration // of terms, the first of which a process heard of at its start
		want   time.Duration
	}{
		{"the first term", []time.Duration{1 * second}, 2 * second},
		{"one takeover", []time.Duration{1 * second, 95 * second}, 4 * second},
		{"two", []time.Duration{1 * second, 90 * second, 95 * second}, 5 * second},
		{"many", []time.Duration{1 * second, 80 * second, 85 * second, 90 * second, 95 * second}, 5 * second},
		{"long ago", []time.Duration{1 * second, 20 * second, 30 * second, 40 * second}, 2 * second},
	} {
		if got := core.LeaseTTL(100*second, 10*second, 2*second, x.begins); got != x.want {
			t.Errorf("%s: %v, want %v", x.name, got, x.want)
		}
	}
}

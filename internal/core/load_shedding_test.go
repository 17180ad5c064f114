package core_test

import (
	"testing"
	"time"
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
			s := newSimulation(t, 41, map[string]string{"a": "z1", "b": "z1", "c": "z1"})
			for range 8 {
				s.addMachine("z1", false, 0)
			}
			s.end = 10 * time.Second
			s.run()
			leader := s.leader()
			if x.othersGone {
				for _, node := range s.nodes {
					if node != leader {
						s.killNode(node)
					}
				}
			}
			shed, othersShed := false, false
			s.every(100*time.Millisecond, func() {
				shed = shed || !leader.core.Healthy()
				for _, node := range s.nodes {
					othersShed = othersShed || node != leader && node.core != nil && !node.core.Healthy()
				}
			})
			leader.stepTime, leader.slowUntil = 160*time.Millisecond, 25*time.Second
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

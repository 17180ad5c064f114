package core_test

import (
	"testing"
	"time"
)

// TestLeaderShedsUsers overloads the leader's CPU. The leader must report itself as unhealthy, so that the load balancer
// sends users to the other nodes, until the overload ends. If no other node is up, it must continue to serve users.
func TestLeaderShedsUsers(t *testing.T) {
	for _, test := range []struct {
		name       string
		othersDown bool
		wantShed   bool
	}{
		{"other nodes are up", false, true},
		{"other nodes are down", true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSimulation(t, 41, map[string]string{"a": "z1", "b": "z1", "c": "z1"})
			for range 8 {
				s.addMachine("z1", false, 0)
			}
			s.end = 10 * time.Second
			s.run()
			leader := s.leader()
			if test.othersDown {
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
			leader.stepTime, leader.overloadedUntil = 160*time.Millisecond, 25*time.Second
			s.end = 25 * time.Second
			s.run()
			if shed != test.wantShed || othersShed {
				t.Errorf("leader shed users: %v, want %v; other nodes shed users: %v, want false",
					shed, test.wantShed, othersShed)
			}
			s.end = 45 * time.Second
			s.run()
			if !leader.core.Healthy() {
				t.Error("the leader sheds users 20 s after the end of the CPU overload, want it healthy")
			}
		})
	}
}

package core_test

import (
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
)

// simPatience is after how long a node gives a call up, but for those to the cloud.
const simPatience = time.Second

func (s *sim) meet(zone, other string) bool {
	return zone == other || !s.partition && s.zoneCut != zone && s.zoneCut != other
}

func (s *sim) stateReach(n *simNode) bool { return s.now >= n.noState && s.zoneCut != n.zone }

func (s *sim) peerReach(n, m *simNode) bool {
	return s.now >= n.noPeers && s.now >= m.noPeers && s.meet(n.zone, m.zone)
}

func (s *sim) workerReach(n *simNode, w *simWorker) bool {
	return s.now >= n.noWorkers && s.meet(n.zone, w.zone)
}

// deliver brings a message over a link. While the link is down it is lost, or held back and
// delivered once it is up again.
func (s *sim) deliver(reach func() bool, hold bool, do func()) {
	if reach() {
		s.after(s.latency(), do)
		return
	}
	if hold {
		s.after(200*time.Millisecond, func() { s.deliver(reach, hold, do) })
	}
}

// call makes a call of a node: the request goes over a link, is carried out there, and the
// answer comes back. Whatever has not come after the node's patience is unknown.
func (s *sim) call(n *simNode, id uint64, patience time.Duration, reach func() bool, hold bool, there func() (core.Result, bool)) {
	life, sent := n.life, n.steady(s.now)
	over := false
	give := func(r core.Result) {
		if over || n.life != life {
			return
		}
		over = true
		r.CallID, r.SentAt = id, sent
		s.step(n, r)
	}
	s.after(patience, func() { give(core.Result{Outcome: outcome.Unknown}) })
	s.deliver(reach, hold, func() {
		r, ok := there()
		if ok {
			s.deliver(reach, false, func() { give(r) })
		}
	})
}

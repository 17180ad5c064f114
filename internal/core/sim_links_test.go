package core_test

import (
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
)

// callTimeout is the timeout of a node's calls, but for those to the cloud.
const callTimeout = time.Second

// zonesConnected tells whether messages from one zone reach another.
func (s *simulation) zonesConnected(zone, other string) bool {
	return zone == other || !s.partitioned && s.isolatedZone != zone && s.isolatedZone != other
}

func (s *simulation) reachesStore(node *simulatedNode) bool {
	return s.now >= node.storeCutUntil && s.isolatedZone != node.zone
}

func (s *simulation) reachesPeer(node, peer *simulatedNode) bool {
	return s.now >= node.peersCutUntil && s.now >= peer.peersCutUntil && s.zonesConnected(node.zone, peer.zone)
}

func (s *simulation) reachesWorker(node *simulatedNode, worker *simulatedWorker) bool {
	return s.now >= node.workersCutUntil && s.zonesConnected(node.zone, worker.zone)
}

// deliver sends a message over a link. While the link is down the message is lost, or queued until the link is up.
func (s *simulation) deliver(reach func() bool, queueWhileDown bool, action func()) {
	if reach() {
		s.after(s.latency(), action)
		return
	}
	if queueWhileDown {
		s.after(200*time.Millisecond, func() { s.deliver(reach, queueWhileDown, action) })
	}
}

// call makes a remote call of a node. A call without a response before the timeout has an unknown outcome, and a response
// that arrives later is dropped.
func (s *simulation) call(node *simulatedNode, id uint64, timeout time.Duration, reach func() bool, queueWhileDown bool, handle func() (core.Result, bool)) {
	incarnation, sent := node.incarnation, node.steadyTime(s.now)
	over := false
	give := func(result core.Result) {
		if over || node.incarnation != incarnation {
			return
		}
		over = true
		result.CallID, result.SentAt = id, sent
		s.deliverInput(node, result)
	}
	s.after(timeout, func() { give(core.Result{Outcome: outcome.Unknown}) })
	s.deliver(reach, queueWhileDown, func() {
		result, ok := handle()
		if ok {
			s.deliver(reach, false, func() { give(result) })
		}
	})
}

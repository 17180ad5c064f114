package core_test

import (
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
)

// callTimeout is the timeout of a node's calls, except those to the cloud.
const callTimeout = time.Second

// zonesConnected reports whether messages from one zone reach another.
func (s *simulation) zonesConnected(zone, other string) bool {
	return zone == other || !s.partitioned && s.isolatedZone != zone && s.isolatedZone != other
}

// reachesStore reports whether messages between a node and the key-value store arrive.
func (s *simulation) reachesStore(node *simulatedNode) bool {
	return s.now >= node.storeCutUntil && s.isolatedZone != node.zone
}

// reachesPeer reports whether messages between two nodes arrive.
func (s *simulation) reachesPeer(node, peer *simulatedNode) bool {
	return s.now >= node.peersCutUntil && s.now >= peer.peersCutUntil && s.zonesConnected(node.zone, peer.zone)
}

// reachesWorker reports whether messages between a node and a worker arrive, unless the worker itself is cut off.
func (s *simulation) reachesWorker(node *simulatedNode, worker *simulatedWorker) bool {
	return s.now >= node.workersCutUntil && s.zonesConnected(node.zone, worker.zone)
}

// deliver sends a message over a link. While the link is down the message is lost, or with queueWhileDown delivered
// once the link is up again.
func (s *simulation) deliver(reachable func() bool, queueWhileDown bool, action func()) {
	if reachable() {
		s.after(s.latency(), action)
		return
	}
	if queueWhileDown {
		s.after(200*time.Millisecond, func() { s.deliver(reachable, queueWhileDown, action) })
	}
}

// call makes a node's remote call. A call without a response before the timeout has an unknown outcome, and a response
// that arrives later is dropped. handle runs when the call arrives; false means that it sends no response.
func (s *simulation) call(node *simulatedNode, id uint64, timeout time.Duration, reachable func() bool, queueWhileDown bool, handle func() (core.Result, bool)) {
	incarnation, sentAt := node.incarnation, node.steadyTime(s.now)
	done := false
	finish := func(result core.Result) {
		if done || node.incarnation != incarnation {
			return
		}
		done = true
		result.CallID, result.SentAt = id, sentAt
		s.deliverInput(node, result)
	}
	s.after(timeout, func() { finish(core.Result{Outcome: outcome.Unknown}) })
	s.deliver(reachable, queueWhileDown, func() {
		result, responded := handle()
		if responded {
			s.deliver(reachable, false, func() { finish(result) })
		}
	})
}

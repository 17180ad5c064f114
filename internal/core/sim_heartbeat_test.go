package core_test

import (
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/wire"
)

// sendHeartbeatSoon schedules a worker's next heartbeat as early as the protocol allows.
func (s *simulation) sendHeartbeatSoon(worker *simulatedWorker) {
	worker.nextHeartbeat = min(worker.nextHeartbeat, worker.lastHeartbeat+500*time.Millisecond)
}

// newHeartbeat returns a worker's next heartbeat.
func (s *simulation) newHeartbeat(worker *simulatedWorker) *wire.Heartbeat {
	worker.sequence++
	heartbeat := &wire.Heartbeat{Machine: worker.name, Addr: worker.name + ":1", Type: "g8", Zone: worker.zone, Spot: worker.spot, Incarnation: worker.incarnation, Sequence: worker.sequence, FencingToken: worker.fencingToken}
	if worker.reclaimNotice {
		remaining := 5.0
		heartbeat.ReclaimNoticeS = &remaining
	}
	for _, key := range sortedKeys(worker.tasks) {
		heartbeat.Tasks = append(heartbeat.Tasks, worker.tasks[key].TaskStatus)
	}
	return heartbeat
}

// heartbeatQueueTimeout is how long a node keeps a queued heartbeat before it drops it.
const heartbeatQueueTimeout = 3 * time.Second

// sendHeartbeat sends a heartbeat to the worker's current node. After a failure the next one goes to the next node.
func (s *simulation) sendHeartbeat(worker *simulatedWorker) {
	node := s.nodes[worker.nodeIndex]
	heartbeat := s.newHeartbeat(worker)
	worker.heartbeatInFlight, worker.lastHeartbeat = true, s.now
	worker.nextHeartbeat = s.now + s.between(heartbeatInterval*3/4, heartbeatInterval*5/4)
	worker.heartbeatGeneration++
	generation, sentAt := worker.heartbeatGeneration, s.now
	switchNode := func(delay time.Duration) {
		worker.heartbeatInFlight = false
		worker.nodeIndex = (worker.nodeIndex + 1) % len(s.nodes)
		worker.nextHeartbeat = s.now + delay
	}
	s.after(4*time.Second, func() {
		if worker.heartbeatInFlight && worker.heartbeatGeneration == generation {
			switchNode(time.Second)
		}
	})
	reachable := func() bool { return s.reachesWorker(node, worker) && s.now >= worker.outboundCutUntil }
	if s.delayedHeartbeatShare > 0 && s.random.Float64() < s.delayedHeartbeatShare {
		s.after(s.between(2*time.Second, 15*time.Second), func() {
			if node := s.nodes[s.random.IntN(len(s.nodes))]; node.core != nil {
				s.deliverHeartbeat(node, heartbeat, nil)
			}
		})
	}
	s.deliver(reachable, true, func() {
		if node.core == nil {
			if worker.heartbeatGeneration == generation && worker.heartbeatInFlight {
				switchNode(time.Second) // connection refused
			}
			return
		}
		s.deliverHeartbeat(node, heartbeat, func(response core.Response) {
			s.deliver(func() bool { return s.reachesWorker(node, worker) && s.now >= worker.inboundCutUntil }, false, func() {
				s.receiveHeartbeatResponse(worker, node, response, generation, sentAt, heartbeat.Incarnation, switchNode)
			})
		})
	})
}

// deliverHeartbeat delivers a copy of a heartbeat to a running node. The response goes to onResponse unless that is
// nil.
func (s *simulation) deliverHeartbeat(node *simulatedNode, heartbeat *wire.Heartbeat, onResponse func(core.Response)) {
	node.lastRequest++
	if onResponse != nil {
		node.responseHandlers[node.lastRequest] = onResponse
	}
	copied := *heartbeat
	copied.Tasks = append([]wire.TaskStatus(nil), heartbeat.Tasks...)
	node.pendingHeartbeats[node.lastRequest] = &copied
	s.deliverInputUntil(node, core.WorkerHeartbeat{RequestID: node.lastRequest, Heartbeat: &copied}, s.now+heartbeatQueueTimeout)
}

// receiveHeartbeatResponse renews the worker's lease and executes the commands, or follows a redirect to the leader.
func (s *simulation) receiveHeartbeatResponse(worker *simulatedWorker, node *simulatedNode, response core.Response, generation int, sentAt time.Duration, incarnation uint64, switchNode func(time.Duration)) {
	if worker.gone || worker.heartbeatGeneration != generation || !worker.heartbeatInFlight {
		return
	}
	if s.now < worker.hungUntil {
		// The protocol forbids executing the commands of a response that is read late. The request times out after 4 s.
		return
	}
	s.expireLease(worker)
	if response.Status != 200 {
		delay := time.Second
		if redirect, ok := response.Body.(wire.Redirect); ok && response.Status == 421 && redirect.Leader != "" && redirect.Leader != node.name {
			for i, peer := range s.nodes {
				if peer.name == redirect.Leader {
					worker.heartbeatInFlight, worker.nodeIndex, worker.nextHeartbeat = false, i, s.now+s.between(0, 500*time.Millisecond)
					return
				}
			}
		}
		switchNode(delay)
		return
	}
	worker.heartbeatInFlight = false
	body, ok := response.Body.(wire.HeartbeatResponse)
	if !ok || incarnation != worker.incarnation || body.FencingToken < worker.fencingToken {
		return
	}
	if body.FencingToken > worker.fencingToken {
		s.sendHeartbeatSoon(worker)
	}
	s.deliverCopies(worker)
	worker.fencingToken, worker.leaseRenewedAt = body.FencingToken, max(worker.leaseRenewedAt, sentAt)
	if len(body.Commands) > 0 {
		s.logf("%s: responds to %s, token %s%s", node.name, worker.name, showToken(body.FencingToken), showCommands(body.Commands))
	}
	s.executeCommands(worker, body.Commands)
	s.deliverCopies(worker)
}

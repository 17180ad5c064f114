package core_test

import (
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/wire"
)

// sendHeartbeatSoon has a worker send its next heartbeat as early as the protocol allows.
func (s *simulation) sendHeartbeatSoon(worker *simulatedWorker) {
	worker.nextHeartbeat = min(worker.nextHeartbeat, worker.lastHeartbeat+500*time.Millisecond)
}

// newHeartbeat gives a worker's next heartbeat.
func (s *simulation) newHeartbeat(worker *simulatedWorker) *wire.Heartbeat {
	worker.sequence++
	heartbeat := &wire.Heartbeat{Machine: worker.name, Addr: worker.name + ":1", Type: "g8", Zone: worker.zone, Spot: worker.spot, Incarnation: worker.incarnation, Sequence: worker.sequence, FencingToken: worker.fencingToken}
	if worker.reclaimNotice {
		left := 5.0
		heartbeat.ReclaimNoticeS = &left
	}
	for _, k := range sortedKeys(worker.tasks) {
		heartbeat.Tasks = append(heartbeat.Tasks, worker.tasks[k].TaskStatus)
	}
	return heartbeat
}

// workerTimeout is after how long a node drops a heartbeat that waits for it.
const workerTimeout = 3 * time.Second

// sendHeartbeat sends a heartbeat to the worker's node. On a failure the next one goes to the next node.
func (s *simulation) sendHeartbeat(worker *simulatedWorker) {
	node := s.nodes[worker.nodeIndex]
	heartbeat := s.newHeartbeat(worker)
	worker.heartbeatInFlight, worker.lastHeartbeat = true, s.now
	worker.nextHeartbeat = s.now + s.between(heartbeatInterval*3/4, heartbeatInterval*5/4)
	worker.generation++
	generation, sent := worker.generation, s.now
	elsewhere := func(d time.Duration) {
		worker.heartbeatInFlight = false
		worker.nodeIndex = (worker.nodeIndex + 1) % len(s.nodes)
		worker.nextHeartbeat = s.now + d
	}
	s.after(4*time.Second, func() {
		if worker.heartbeatInFlight && worker.generation == generation {
			elsewhere(time.Second)
		}
	})
	reach := func() bool { return s.reachesWorker(node, worker) && s.now >= worker.muteUntil }
	if s.lateHeartbeatShare > 0 && s.random.Float64() < s.lateHeartbeatShare {
		s.after(s.between(2*time.Second, 15*time.Second), func() {
			if node := s.nodes[s.random.IntN(len(s.nodes))]; node.core != nil {
				s.deliverHeartbeat(node, heartbeat, nil)
			}
		})
	}
	s.deliver(reach, true, func() {
		if node.core == nil {
			if worker.generation == generation && worker.heartbeatInFlight {
				elsewhere(time.Second) // refused
			}
			return
		}
		s.deliverHeartbeat(node, heartbeat, func(response core.Response) {
			s.deliver(func() bool { return s.reachesWorker(node, worker) && s.now >= worker.deafUntil }, false, func() {
				s.receiveHeartbeatResponse(worker, node, response, generation, sent, heartbeat.Incarnation, elsewhere)
			})
		})
	})
}

// deliverHeartbeat hands a copy of a heartbeat to a node that runs. The response goes to then, unless that is nil.
func (s *simulation) deliverHeartbeat(node *simulatedNode, heartbeat *wire.Heartbeat, then func(core.Response)) {
	node.lastRequest++
	if then != nil {
		node.waiting[node.lastRequest] = then
	}
	copied := *heartbeat
	copied.Tasks = append([]wire.TaskStatus(nil), heartbeat.Tasks...)
	node.heartbeats[node.lastRequest] = &copied
	s.deliverInputUntil(node, core.WorkerHeartbeat{RequestID: node.lastRequest, Heartbeat: &copied}, s.now+workerTimeout)
}

// receiveHeartbeatResponse renews the worker's lease and carries out commands, or follows a redirect to the leader.
func (s *simulation) receiveHeartbeatResponse(worker *simulatedWorker, node *simulatedNode, response core.Response, generation int, sent time.Duration, incarnation uint64, elsewhere func(time.Duration)) {
	if worker.gone || worker.generation != generation || !worker.heartbeatInFlight {
		return
	}
	if s.now < worker.hungUntil {
		return // dropped after four seconds, or read late: the page says they are never executed late
	}
	s.expireLease(worker)
	if response.Status != 200 {
		d := time.Second
		if to, ok := response.Body.(wire.Redirect); ok && response.Status == 421 && to.Leader != "" && to.Leader != node.name {
			for i, peer := range s.nodes {
				if peer.name == to.Leader {
					worker.heartbeatInFlight, worker.nodeIndex, worker.nextHeartbeat = false, i, s.now+s.between(0, 500*time.Millisecond)
					return
				}
			}
		}
		elsewhere(d)
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
	worker.fencingToken, worker.leaseRenewedAt = body.FencingToken, max(worker.leaseRenewedAt, sent)
	if len(body.Commands) > 0 {
		s.record("%s: responds to %s token %s%s", node.name, worker.name, showToken(body.FencingToken), showCommands(body.Commands))
	}
	s.execute(worker, body.Commands)
}

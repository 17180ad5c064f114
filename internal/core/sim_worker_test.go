package core_test

import (
	"strings"
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
)

// simulatedWorker is a machine and the worker on it.
type simulatedWorker struct {
	name, zone     string
	spot           bool
	rentedAt       time.Duration
	up             bool // the worker runs
	gone           bool // released, reclaimed or stopped
	stoppedAt      time.Duration
	incarnation    uint64
	sequence       uint64 // of the last heartbeat
	fencingToken   uint64 // the newest one that it has seen
	leaseRenewedAt time.Duration
	tasks          map[string]*simulatedTask // by attemptKey
	images         map[string]bool

	hungUntil     time.Duration
	heldMessages  []func()      // that arrived while it hung
	deafUntil     time.Duration // it receives nothing until then
	muteUntil     time.Duration // its heartbeats reach nobody until then
	reclaimNotice bool
	faulty        bool // all tasks on it fail

	nodeIndex         int // of the node that gets its heartbeats
	heartbeatInFlight bool
	nextHeartbeat     time.Duration
	lastHeartbeat     time.Duration
	generation        int // of heartbeats: responses to older ones are dropped
}

// callWorker makes a direct call of a node to a worker. A share of these calls is carried out late, or twice.
func (s *simulation) callWorker(node *simulatedNode, id uint64, addr string, there func(*simulatedWorker) core.Result) {
	worker := s.workerByName[strings.TrimSuffix(addr, ":1")]
	reach := func() bool { return worker != nil && s.reachesWorker(node, worker) && s.now >= worker.deafUntil }
	s.call(node, id, callTimeout, reach, true, func() (core.Result, bool) {
		if worker.gone || !worker.up {
			return core.Result{}, false
		}
		if s.now < worker.hungUntil {
			worker.heldMessages = append(worker.heldMessages, func() { there(worker) })
			return core.Result{}, false
		}
		s.expireLease(worker)
		if s.lateCommandShare > 0 && s.random.Float64() < s.lateCommandShare {
			// Held up on the way for seconds, or carried out and repeated later.
			s.after(s.between(time.Second, 12*time.Second), func() {
				if worker.up && s.now >= worker.hungUntil {
					s.expireLease(worker)
					s.record("delayed commands at %s", worker.name)
					there(worker)
				}
			})
			if s.random.IntN(2) == 0 {
				return core.Result{}, false
			}
		}
		return there(worker), true
	})
}

// sendCommands sends a worker direct commands. It carries them out if they are for its incarnation, and their fencing
// token is not older than the newest one that it has seen.
func (s *simulation) sendCommands(node *simulatedNode, effect core.SendCommands) {
	s.record("%s: sends commands to %s token %s%s", node.name, effect.Addr, showToken(effect.FencingToken), showCommands(effect.Commands))
	s.callWorker(node, effect.CallID, effect.Addr, func(worker *simulatedWorker) core.Result {
		if effect.FencingToken < worker.fencingToken || effect.Incarnation != worker.incarnation {
			return core.Result{Outcome: outcome.Conflict, Heartbeat: *s.newHeartbeat(worker)}
		}
		worker.fencingToken = effect.FencingToken
		s.execute(worker, effect.Commands)
		s.sendHeartbeatSoon(worker)
		return core.Result{Outcome: outcome.OK, Heartbeat: *s.newHeartbeat(worker)}
	})
}

// expireLease ends the incarnation of a worker whose lease has expired.
func (s *simulation) expireLease(worker *simulatedWorker) {
	if s.now-worker.leaseRenewedAt <= workerLease {
		return
	}
	if len(worker.tasks) > 0 {
		s.show("%s: lease expired with %d tasks", worker.name, len(worker.tasks))
	}
	s.killTasks(worker)
	worker.incarnation++
	worker.leaseRenewedAt = s.now
	s.sendHeartbeatSoon(worker)
}

// runWorker runs a worker's loop: it checks its lease and sends heartbeats when they are due.
func (s *simulation) runWorker(worker *simulatedWorker) {
	if worker.gone {
		return
	}
	s.after(50*time.Millisecond, func() { s.runWorker(worker) })
	if s.now < worker.hungUntil {
		return
	}
	s.expireLease(worker)
	for _, f := range worker.heldMessages {
		f()
	}
	worker.heldMessages = nil
	if !worker.heartbeatInFlight && s.now >= worker.nextHeartbeat {
		s.sendHeartbeat(worker)
	}
}

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
	up             bool          // the worker process runs
	gone           bool          // released, reclaimed or stopped
	stoppedAt      time.Duration // when a fault stopped the machine; 0: not stopped, or no longer in the cloud's list
	incarnation    uint64
	sequence       uint64 // of the last heartbeat
	fencingToken   uint64 // highest one received
	leaseRenewedAt time.Duration
	tasks          map[string]*simulatedTask // by attemptKey
	images         map[string]bool

	hungUntil         time.Duration
	deferredMessages  []func()      // calls received while hung, handled afterwards
	inboundCutUntil   time.Duration // the worker receives nothing until then
	commandsHeldUntil time.Duration // direct commands to the worker are held up until then, and then arrive
	outboundCutUntil  time.Duration // its heartbeats reach no node until then
	reclaimNotice     bool
	copies            commandCopies
	startedAttempts   map[string]bool // by attemptKey
	startedAnew       bool            // its process was restarted without its state
	faulty            bool            // all tasks on the machine fail
	refusingUntil     time.Duration   // until then the worker refuses all starts
	unlistedUntil     time.Duration   // until then the cloud\'s list lacks the machine

	nodeIndex           int // index of the node that receives its heartbeats
	heartbeatInFlight   bool
	nextHeartbeat       time.Duration
	lastHeartbeat       time.Duration
	heartbeatGeneration int // incremented per heartbeat; responses to earlier ones are dropped
}

// workerAt returns the worker with an address; nil if there is none.
func (s *simulation) workerAt(addr string) *simulatedWorker {
	return s.workerByName[strings.TrimSuffix(addr, ":1")]
}

// callWorker makes a node's direct call to a worker. While delayedCommandShare is set, that fraction is handled late or
// twice.
func (s *simulation) callWorker(node *simulatedNode, id uint64, addr string, handle func(*simulatedWorker) core.Result) {
	worker := s.workerAt(addr)
	reachable := func() bool { return worker != nil && s.reachesWorker(node, worker) && s.now >= worker.inboundCutUntil }
	s.call(node, id, callTimeout, reachable, true, func() (core.Result, bool) {
		if worker.gone || !worker.up {
			return core.Result{}, false
		}
		if s.now < worker.hungUntil {
			worker.deferredMessages = append(worker.deferredMessages, func() { handle(worker) })
			return core.Result{}, false
		}
		s.expireLease(worker)
		if s.delayedCommandShare > 0 && s.random.Float64() < s.delayedCommandShare {
			// Either the call is delayed in the network for seconds, or it is handled now and repeated later.
			s.after(s.between(time.Second, 12*time.Second), func() {
				if worker.up && s.now >= worker.hungUntil {
					s.expireLease(worker)
					s.logf("delayed commands handled by %s", worker.name)
					handle(worker)
				}
			})
			if s.random.IntN(2) == 0 {
				return core.Result{}, false
			}
		}
		return handle(worker), true
	})
}

// sendCommands sends direct commands to a worker. The worker executes them if they name its current incarnation and
// their fencing token is not lower than the highest one that it has received.
func (s *simulation) sendCommands(node *simulatedNode, effect core.SendCommands) {
	s.logf("%s: sends commands to %s, token %s%s", node.name, effect.Addr, showToken(effect.FencingToken), showCommands(effect.Commands))
	if worker := s.workerAt(effect.Addr); worker != nil && s.now < worker.commandsHeldUntil {
		s.holdCommands(node, worker, effect)
		return
	}
	s.callWorker(node, effect.CallID, effect.Addr, func(worker *simulatedWorker) core.Result {
		if effect.FencingToken < worker.fencingToken || effect.Incarnation != worker.incarnation {
			return core.Result{Outcome: outcome.Conflict, Heartbeat: *s.newHeartbeat(worker)}
		}
		s.deliverCopies(worker)
		worker.fencingToken = effect.FencingToken
		s.executeCommands(worker, effect.Commands)
		s.recordForCopies(worker, effect)
		s.deliverCopies(worker)
		s.sendHeartbeatSoon(worker)
		return core.Result{Outcome: outcome.OK, Heartbeat: *s.newHeartbeat(worker)}
	})
}

// expireLease kills the tasks of a worker whose lease has expired, and starts its next incarnation.
func (s *simulation) expireLease(worker *simulatedWorker) {
	if s.now-worker.leaseRenewedAt <= workerLease {
		return
	}
	if len(worker.tasks) > 0 {
		s.tracef("%s: lease expired with %d tasks", worker.name, len(worker.tasks))
	}
	s.killTasks(worker)
	worker.incarnation++
	worker.leaseRenewedAt = s.now
	s.deliverCopies(worker)
	s.sendHeartbeatSoon(worker)
}

// runWorker runs a worker's loop, which checks the lease and sends heartbeats when they are due.
func (s *simulation) runWorker(worker *simulatedWorker) {
	if worker.gone {
		return
	}
	s.after(50*time.Millisecond, func() { s.runWorker(worker) })
	if !worker.up || s.now < worker.hungUntil {
		return
	}
	s.expireLease(worker)
	for _, handle := range worker.deferredMessages {
		handle()
	}
	worker.deferredMessages = nil
	if !worker.heartbeatInFlight && s.now >= worker.nextHeartbeat {
		s.sendHeartbeat(worker)
	}
}

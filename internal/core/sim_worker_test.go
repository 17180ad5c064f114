package core_test

import (
	"fmt"
	"strings"
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
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

// simulatedTask is an attempt of a task on a worker.
type simulatedTask struct {
	wire.TaskStatus
	onMachine  bool // the rule checker knows it to be there
	generation int  // of its state: timers of older ones do nothing
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
					s.record("late orders at %s", worker.name)
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
	s.record("%s: orders %s token %s%s", node.name, effect.Addr, showToken(effect.FencingToken), showCommands(effect.Commands))
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

// killTasks ends all tasks of a worker, and forgets them.
func (s *simulation) killTasks(worker *simulatedWorker) {
	for _, k := range sortedKeys(worker.tasks) {
		s.leaveMachine(worker, worker.tasks[k], false)
	}
	clear(worker.tasks)
}

// leaveMachine tells the rule checker that a task is on its machine no more.
func (s *simulation) leaveMachine(worker *simulatedWorker, task *simulatedTask, done bool) {
	task.generation++
	if task.onMachine {
		task.onMachine = false
		s.ruleChecker.recordEnd(task.Task, worker.name, done)
	}
}

// expireLease ends the incarnation of a worker whose lease has expired.
func (s *simulation) expireLease(worker *simulatedWorker) {
	if s.now-worker.leaseRenewedAt <= workerLease {
		return
	}
	if len(worker.tasks) > 0 {
		s.show("%s loses its lease with %d tasks", worker.name, len(worker.tasks))
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
		s.record("%s: answers %s token %s%s", node.name, worker.name, showToken(body.FencingToken), showCommands(body.Commands))
	}
	s.execute(worker, body.Commands)
}

// attemptKey names an attempt of a task.
func attemptKey(task string, attempt uint64) string { return fmt.Sprint(task, "#", attempt) }

// execute carries out commands as the worker protocol says.
func (s *simulation) execute(worker *simulatedWorker, commands []wire.Command) {
	for _, command := range commands {
		key := attemptKey(command.Task, command.Attempt)
		task := worker.tasks[key]
		switch command.Op {
		case wire.OpStart:
			if task == nil {
				s.startTask(worker, key, command)
			}
		case wire.OpStop:
			if task == nil || task.State == wire.TaskExited {
				break
			}
			if job := s.jobOf(task.Task); task.State == wire.TaskRunning && job != nil && job.spec.CheckpointIntervalS > 0 && command.GracePeriodS != nil && *command.GracePeriodS >= job.spec.CheckpointTimeS {
				task.State = wire.TaskCheckpointing
				task.generation++
				generation := task.generation
				s.after(time.Duration(job.spec.CheckpointTimeS*float64(time.Second)), func() {
					if task.generation == generation {
						s.exitTask(worker, task, wire.CauseStopped)
					}
				})
				break
			}
			s.exitTask(worker, task, wire.CauseStopped)
		case wire.OpForget:
			if task != nil && task.State == wire.TaskExited {
				delete(worker.tasks, key)
			}
		}
	}
	s.sendHeartbeatSoon(worker)
}

func (s *simulation) jobOf(task string) *simulatedJob {
	id, _, _ := wire.ParseTaskName(task)
	for _, job := range s.jobs {
		if job.spec.ID == id {
			return job
		}
	}
	return nil
}

// startTask fetches the image and runs a task, or refuses it.
func (s *simulation) startTask(worker *simulatedWorker, key string, command wire.Command) {
	task := &simulatedTask{TaskStatus: wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: wire.TaskFetching}}
	worker.tasks[key] = task
	job := s.jobOf(command.Task)
	used := 0.0
	for _, k := range sortedKeys(worker.tasks) {
		o := worker.tasks[k]
		if o == task || o.State == wire.TaskExited {
			continue
		}
		if o.Task == command.Task {
			s.exitTask(worker, task, wire.CauseBusy)
			return
		}
		if x := s.jobOf(o.Task); x != nil {
			used += x.spec.GPUs
		}
	}
	switch {
	case job == nil:
		s.exitTask(worker, task, wire.CauseUnknownTask)
		return
	case used+job.spec.GPUs > 8:
		s.exitTask(worker, task, wire.CauseNoCapacity)
		return
	}
	fetch := 100 * time.Millisecond
	if !worker.images[job.spec.Image] {
		fetch = s.between(2*time.Second, 4*time.Second)
	}
	generation := task.generation
	s.runLater(worker, task, generation, fetch, func() {
		worker.images[job.spec.Image] = true
		task.State, task.onMachine = wire.TaskRunning, true
		s.show("%s starts %s#%d", worker.name, task.Task, task.Attempt)
		s.ruleChecker.recordStart(s.now, taskStart{task.Task, worker.name, "g8", worker.zone, worker.spot})
		s.sendHeartbeatSoon(worker)
		run := time.Duration(job.runSeconds * (0.8 + 0.4*s.random.Float64()) * float64(time.Second))
		switch {
		case s.completedTasks[task.Task]:
			s.exitTask(worker, task, wire.CauseDone)
		case job.faulty || worker.faulty:
			s.runLater(worker, task, task.generation, 300*time.Millisecond, func() { s.exitTask(worker, task, wire.CauseError) })
		case job.spec.Kind == wire.KindArray:
			s.runLater(worker, task, task.generation, run, func() { s.exitTask(worker, task, wire.CauseDone) })
		}
	})
}

// runLater does something on a machine after a delay, and not while the machine hangs.
func (s *simulation) runLater(worker *simulatedWorker, task *simulatedTask, generation int, d time.Duration, action func()) {
	s.after(d, func() {
		if task.generation != generation || worker.gone {
			return
		}
		if s.now < worker.hungUntil {
			s.runLater(worker, task, generation, worker.hungUntil-s.now+time.Millisecond, action)
			return
		}
		s.expireLease(worker)
		if task.generation == generation {
			action()
		}
	})
}

// exitTask ends a task; the worker keeps its status until it is told to forget it.
func (s *simulation) exitTask(worker *simulatedWorker, task *simulatedTask, cause wire.ExitCause) {
	if task.State == wire.TaskExited {
		return
	}
	task.State, task.Cause = wire.TaskExited, cause
	if cause == wire.CauseDone {
		s.completedTasks[task.Task] = true
	}
	if cause == wire.CauseStopped && task.onMachine {
		s.show("%s stops %s#%d", worker.name, task.Task, task.Attempt)
	}
	s.leaveMachine(worker, task, cause == wire.CauseDone)
	s.sendHeartbeatSoon(worker)
}

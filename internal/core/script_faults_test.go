package core_test

import (
	"strconv"
	"strings"
	"time"
)

// fault is a line of a script that injects a fault: its name and its arguments. Arguments count from 1.
type fault struct {
	simulation *simulation
	words      []string
}

// seconds returns an argument that is a duration in seconds.
func (f fault) seconds(i int) time.Duration { return parseSeconds(f.simulation.tb, f.words[i]) }

// endAt returns the end of a fault whose duration is an argument.
func (f fault) endAt(i int) time.Duration { return f.simulation.now + f.seconds(i) }

// nodes returns the nodes that the first argument names.
func (f fault) nodes() []*simulatedNode {
	switch f.words[1] {
	case "all":
		return f.simulation.nodes
	case "leader":
		return []*simulatedNode{f.simulation.leader()}
	case "follower":
		for _, node := range f.simulation.nodes {
			if node != f.simulation.leader() && node.core != nil {
				return []*simulatedNode{node}
			}
		}
		return nil
	}
	return []*simulatedNode{f.simulation.nodeNamed(f.words[1])}
}

// worker returns the worker that the first argument names, by machine or by an index into the workers that are up; nil
// if there is none.
func (f fault) worker() *simulatedWorker {
	number, err := strconv.Atoi(f.words[1])
	if err != nil {
		return f.simulation.workerByName[f.words[1]]
	}
	var up []*simulatedWorker
	for _, worker := range f.simulation.workers {
		if worker.up && !worker.gone {
			up = append(up, worker)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[number%len(up)]
}

// faultHandlers maps the name of a fault to its handler, for all faults but those of one worker.
var faultHandlers = map[string]func(f fault){
	"store_unavailable": fault.refuseStoreRequests,
	"isolate":           fault.isolateNode,
	"enforce_limits":    fault.enforceLimits,
	"kill":              fault.killNode,
	"upgrade":           fault.killNode,
	"freeze":            fault.freezeNode,
	"overload_cpu":      fault.overloadCPU,
	"store_outage":      func(f fault) { f.simulation.storeOutageUntil = max(f.simulation.storeOutageUntil, f.endAt(1)) },
	"store_delay":       func(f fault) { f.simulation.storeDelay, f.simulation.storeDelayUntil = f.seconds(1), f.endAt(2) },
	"slow_responses": func(f fault) {
		f.simulation.slowResponseShare, f.simulation.slowResponsesUntil = f.seconds(1).Seconds(), f.endAt(2)
	},
	"cloud_outage":         func(f fault) { f.simulation.cloudOutageUntil = max(f.simulation.cloudOutageUntil, f.endAt(1)) },
	"refuse_releases":      func(f fault) { f.simulation.releasesRefusedUntil = f.endAt(1) },
	"cancel_running":       func(f fault) { f.simulation.cancelRunningJob() },
	"delayed_transactions": func(f fault) { f.setShareFor(&f.simulation.delayedTransactionShare) },
	"delayed_heartbeats":   func(f fault) { f.setShareFor(&f.simulation.delayedHeartbeatShare) },
	"copied_commands":      fault.copyCommands,
	"delayed_commands":     func(f fault) { f.setShareFor(&f.simulation.delayedCommandShare) },
	"boot_faults":          fault.setBootFaults,
	"poll_load":            fault.startPolling,
	"partition_zones":      fault.partition,
	"isolate_zone":         fault.isolateZone,
	"invalid_requests":     func(f fault) { f.simulation.sendEdgeCaseRequests() },
}

// workerFaultHandlers maps the name of a fault of one worker to its handler.
var workerFaultHandlers = map[string]func(f fault, worker *simulatedWorker){
	"hang": func(f fault, worker *simulatedWorker) {
		worker.hungUntil = max(worker.hungUntil, f.endAt(2))
		f.simulation.resumeAfterHang(worker, f.seconds(2))
	},
	"hold_commands":       func(f fault, worker *simulatedWorker) { worker.commandsHeldUntil = f.endAt(2) },
	"refuse_starts":       func(f fault, worker *simulatedWorker) { worker.refusingUntil = f.endAt(2) },
	"unlist":              func(f fault, worker *simulatedWorker) { worker.unlistedUntil = f.endAt(2) },
	"restart_worker":      fault.restartWorker,
	"restart_worker_anew": fault.restartWorkerAnew,
	"drop_inbound": func(f fault, worker *simulatedWorker) {
		worker.inboundCutUntil = max(worker.inboundCutUntil, f.endAt(2))
	},
	"drop_heartbeats": func(f fault, worker *simulatedWorker) {
		worker.outboundCutUntil = max(worker.outboundCutUntil, f.endAt(2))
	},
	"fail_tasks":     fault.failTasks,
	"stop_machine":   fault.stopMachine,
	"remove_machine": func(f fault, worker *simulatedWorker) { f.simulation.removeMachine(worker) },
	"reclaim":        fault.reclaim,
}

// inject injects a fault.
func (s *simulation) inject(f fault) {
	s.logf("fault: %s", strings.Join(f.words, " "))
	if handle := faultHandlers[f.words[0]]; handle != nil {
		handle(f)
		return
	}
	handle := workerFaultHandlers[f.words[0]]
	if handle == nil {
		s.tb.Fatalf("unknown fault: %v", f.words)
	}
	worker := f.worker()
	if worker == nil || worker.gone {
		return
	}
	s.logf("faulted worker: %s", worker.name)
	handle(f, worker)
}

// refuseStoreRequests makes the key-value store refuse a node's requests.
func (f fault) refuseStoreRequests() {
	for _, node := range f.nodes() {
		node.storeRefusedUntil = max(node.storeRefusedUntil, f.endAt(2))
	}
}

// isolateNode cuts a node off from what the second argument lists: the key-value store, peers, workers or users.
func (f fault) isolateNode() {
	for _, node := range f.nodes() {
		for _, service := range strings.Split(f.words[2], ",") {
			switch service {
			case "store":
				node.storeCutUntil = max(node.storeCutUntil, f.endAt(3))
			case "peers":
				node.peersCutUntil = max(node.peersCutUntil, f.endAt(3))
			case "workers":
				node.workersCutUntil = max(node.workersCutUntil, f.endAt(3))
			case "users":
				node.usersCutUntil = max(node.usersCutUntil, f.endAt(3))
			}
		}
	}
}

// enforceLimits makes the key-value store enforce the announced limits.
func (f fault) enforceLimits() {
	next := f.simulation.params.Store.Next
	f.simulation.store.SetLimits(int(1024**next.ValueKB), *next.TxnOps)
}

// killNode ends a node's process, and starts it again after the time in the second argument. An upgrade starts the new
// version.
func (f fault) killNode() {
	for _, node := range f.nodes() {
		node.oldVersion = node.oldVersion && f.words[0] == "kill"
		f.simulation.killNode(node)
		incarnation := node.incarnation
		f.simulation.at(f.endAt(2), func() {
			if node.incarnation == incarnation {
				f.simulation.startNode(node)
			}
		})
	}
}

// freezeNode suspends a node's process.
func (f fault) freezeNode() {
	for _, node := range f.nodes() {
		node.frozenUntil = max(node.frozenUntil, f.endAt(2))
	}
}

// overloadCPU makes each step of a node take as many milliseconds as the second argument.
func (f fault) overloadCPU() {
	for _, node := range f.nodes() {
		node.stepTime, node.overloadedUntil = f.seconds(2)/1000, f.endAt(3)
	}
}

// setShareFor sets a share of messages to the first argument, for the duration in the second one.
func (f fault) setShareFor(share *float64) {
	*share = f.seconds(1).Seconds()
	f.simulation.at(f.endAt(2), func() { *share = 0 })
}

// setBootFaults sets the share of new machines that never boot, and the factor for the boot times of the others.
func (f fault) setBootFaults() {
	f.simulation.bootFailureShare, f.simulation.bootFactor = f.seconds(1).Seconds(), f.seconds(2).Seconds()
	f.simulation.at(f.endAt(3), func() { f.simulation.bootFailureShare, f.simulation.bootFactor = 0, 0 })
}

// startPolling makes users poll jobs at a rate, and afterwards adds the number of responses by status to the trace.
func (f fault) startPolling() {
	end := f.endAt(2)
	interval := time.Duration(float64(time.Second) / f.seconds(1).Seconds())
	var poll func()
	poll = func() {
		if f.simulation.now < end {
			f.simulation.pollOnce()
			f.simulation.after(interval, poll)
		}
	}
	poll()
	f.simulation.at(end+2*time.Second, func() { f.simulation.tracef("poll responses: %v", f.simulation.pollStatuses) })
}

// partition partitions the zones from each other.
func (f fault) partition() {
	f.simulation.partitioned = true
	f.simulation.at(f.endAt(1), func() { f.simulation.partitioned = false })
}

// isolateZone cuts a zone off from everything outside it: the other zones, the key-value store, the cloud and users.
func (f fault) isolateZone() {
	f.simulation.isolatedZone = f.words[1]
	f.simulation.at(f.endAt(2), func() { f.simulation.isolatedZone = "" })
}

// failTasks makes all tasks on a machine fail while the fault lasts.
func (f fault) failTasks(worker *simulatedWorker) {
	worker.faulty = true
	f.simulation.at(f.endAt(2), func() { worker.faulty = false })
}

// stopMachine stops a machine without notice.
func (f fault) stopMachine(worker *simulatedWorker) {
	worker.gone, worker.up, worker.stoppedAt = true, false, f.simulation.now
	f.simulation.killTasks(worker)
}

// reclaim reclaims a machine 5 s after its worker has received the reclaim notice.
func (f fault) reclaim(worker *simulatedWorker) {
	worker.reclaimNotice = true
	f.simulation.sendHeartbeatSoon(worker)
	f.simulation.after(5*time.Second, func() { f.simulation.removeMachine(worker) })
}

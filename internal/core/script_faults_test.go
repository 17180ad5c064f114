package core_test

import (
	"strconv"
	"strings"
	"time"
)

// fault is a line of a script that injects a fault: the word that names it, and its arguments.
type fault struct {
	simulation *simulation
	words      []string
}

// seconds gives an argument that is a time in seconds.
func (f fault) seconds(i int) time.Duration { return parseSeconds(f.simulation.tb, f.words[i]) }

// until gives the end of a fault that lasts as long as an argument says.
func (f fault) until(i int) time.Duration { return f.simulation.now + f.seconds(i) }

// nodes gives the nodes that the first argument names.
func (f fault) nodes() []*simulatedNode {
	switch f.words[1] {
	case "all":
		return f.simulation.nodes
	case "leader":
		return []*simulatedNode{f.simulation.leader()}
	case "other":
		for _, node := range f.simulation.nodes {
			if node != f.simulation.leader() && node.core != nil {
				return []*simulatedNode{node}
			}
		}
		return nil
	}
	return []*simulatedNode{f.simulation.nodeNamed(f.words[1])}
}

// worker gives the worker that the first argument names: by machine, or by number among those that are up.
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

// faultHandlers carry out the faults that a script names, but for those of workers.
var faultHandlers = map[string]func(f fault){
	"refuse":       fault.refuseNode,
	"cut":          fault.cutNode,
	"limits":       fault.applyNextLimits,
	"kill":         fault.killNode,
	"upgrade":      fault.killNode,
	"freeze":       fault.freezeNode,
	"short":        fault.slowNode,
	"outage":       func(f fault) { f.simulation.storeOutageUntil = max(f.simulation.storeOutageUntil, f.until(1)) },
	"slow":         func(f fault) { f.simulation.storeDelay, f.simulation.storeDelayUntil = f.seconds(1), f.until(2) },
	"cloud":        func(f fault) { f.simulation.cloudOutageUntil = max(f.simulation.cloudOutageUntil, f.until(1)) },
	"cancel_now":   func(f fault) { f.simulation.cancelRunningJob() },
	"late_writes":  func(f fault) { f.setShare(&f.simulation.lateTransactionShare) },
	"late_reports": func(f fault) { f.setShare(&f.simulation.lateHeartbeatShare) },
	"late_orders":  func(f fault) { f.setShare(&f.simulation.lateCommandShare) },
	"boots":        fault.changeBoots,
	"polls":        fault.poll,
	"partition":    fault.partition,
	"zone_cut":     fault.cutZone,
	"odd":          func(f fault) { f.simulation.sendEdgeCaseRequests() },
}

// workerFaultHandlers carry out the faults of one worker.
var workerFaultHandlers = map[string]func(f fault, worker *simulatedWorker){
	"hang": func(f fault, worker *simulatedWorker) { worker.hungUntil = max(worker.hungUntil, f.until(2)) },
	"deaf": func(f fault, worker *simulatedWorker) {
		worker.inboundCutUntil = max(worker.inboundCutUntil, f.until(2))
	},
	"mute": func(f fault, worker *simulatedWorker) {
		worker.outboundCutUntil = max(worker.outboundCutUntil, f.until(2))
	},
	"sick":   fault.makeFaulty,
	"die":    fault.stopMachine,
	"take":   func(f fault, worker *simulatedWorker) { f.simulation.removeMachine(worker) },
	"recall": fault.reclaim,
}

// inject carries out a fault.
func (s *simulation) inject(f fault) {
	s.logf("trouble: %s", strings.Join(f.words, " "))
	if handle := faultHandlers[f.words[0]]; handle != nil {
		handle(f)
		return
	}
	handle := workerFaultHandlers[f.words[0]]
	if handle == nil {
		s.tb.Fatalf("unknown: %v", f.words)
	}
	worker := f.worker()
	if worker == nil || worker.gone {
		return
	}
	s.logf("it is %s", worker.name)
	handle(f, worker)
}

// refuseNode has the key-value store refuse a node.
func (f fault) refuseNode() {
	for _, node := range f.nodes() {
		node.storeRefusedUntil = max(node.storeRefusedUntil, f.until(2))
	}
}

// cutNode cuts a node off from the services that the second argument lists.
func (f fault) cutNode() {
	for _, node := range f.nodes() {
		for _, service := range strings.Split(f.words[2], ",") {
			switch service {
			case "state":
				node.storeCutUntil = max(node.storeCutUntil, f.until(3))
			case "peers":
				node.peersCutUntil = max(node.peersCutUntil, f.until(3))
			case "workers":
				node.workersCutUntil = max(node.workersCutUntil, f.until(3))
			case "users":
				node.usersCutUntil = max(node.usersCutUntil, f.until(3))
			}
		}
	}
}

// applyNextLimits has the limits to come take effect in the key-value store.
func (f fault) applyNextLimits() {
	next := f.simulation.params.Store.Next
	f.simulation.store.SetLimits(int(1024**next.ValueKB), *next.TxnOps)
}

// killNode ends a node's process and starts it again; an upgrade starts the new version.
func (f fault) killNode() {
	for _, node := range f.nodes() {
		node.oldVersion = node.oldVersion && f.words[0] == "kill"
		f.simulation.killNode(node)
		incarnation := node.incarnation
		f.simulation.at(f.until(2), func() {
			if node.incarnation == incarnation {
				f.simulation.startNode(node)
			}
		})
	}
}

// freezeNode has a node's process stand still.
func (f fault) freezeNode() {
	for _, node := range f.nodes() {
		node.frozenUntil = max(node.frozenUntil, f.until(2))
	}
}

// slowNode has each step of a node take some milliseconds.
func (f fault) slowNode() {
	for _, node := range f.nodes() {
		node.stepTime, node.slowUntil = f.seconds(2)/1000, f.until(3)
	}
}

// setShare sets a share of messages to the first argument, for as long as the second one says.
func (f fault) setShare(share *float64) {
	*share = f.seconds(1).Seconds()
	f.simulation.at(f.until(2), func() { *share = 0 })
}

// changeBoots changes how new machines come up.
func (f fault) changeBoots() {
	f.simulation.bootFailureShare, f.simulation.bootFactor = f.seconds(1).Seconds(), f.seconds(2).Seconds()
	f.simulation.at(f.until(3), func() { f.simulation.bootFailureShare, f.simulation.bootFactor = 0, 0 })
}

// poll has users ask about jobs at a rate, and shows the statuses that they got.
func (f fault) poll() {
	end := f.until(2)
	interval := time.Duration(float64(time.Second) / f.seconds(1).Seconds())
	var ask func()
	ask = func() {
		if f.simulation.now < end {
			f.simulation.pollOnce()
			f.simulation.after(interval, ask)
		}
	}
	ask()
	f.simulation.at(end+2*time.Second, func() { f.simulation.tracef("polls: %v", f.simulation.pollStatuses) })
}

// partition cuts the zones off from each other.
func (f fault) partition() {
	f.simulation.partitioned = true
	f.simulation.at(f.until(1), func() { f.simulation.partitioned = false })
}

// cutZone cuts a zone off from everything.
func (f fault) cutZone() {
	f.simulation.isolatedZone = f.words[1]
	f.simulation.at(f.until(2), func() { f.simulation.isolatedZone = "" })
}

// makeFaulty has all tasks on a machine fail.
func (f fault) makeFaulty(worker *simulatedWorker) {
	worker.faulty = true
	f.simulation.at(f.until(2), func() { worker.faulty = false })
}

// stopMachine stops a machine without notice.
func (f fault) stopMachine(worker *simulatedWorker) {
	worker.gone, worker.up, worker.stoppedAt = true, false, f.simulation.now
	f.simulation.killTasks(worker)
}

// reclaim has the cloud take a machine back after a notice.
func (f fault) reclaim(worker *simulatedWorker) {
	worker.reclaimNotice = true
	f.simulation.sendHeartbeatSoon(worker)
	f.simulation.after(5*time.Second, func() { f.simulation.removeMachine(worker) })
}

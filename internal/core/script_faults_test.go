package core_test

import (
	"strconv"
	"strings"
	"time"
)

// fault is a line of a script whose time has come: the word that names it, and its arguments.
type fault struct {
	s     *sim
	words []string
}

// seconds gives an argument that is a time in seconds.
func (f fault) seconds(i int) time.Duration { return parseSeconds(f.s.t, f.words[i]) }

// until gives the end of a fault that lasts as long as an argument says.
func (f fault) until(i int) time.Duration { return f.s.now + f.seconds(i) }

// nodes gives the nodes that the first argument names.
func (f fault) nodes() []*simNode {
	switch f.words[1] {
	case "all":
		return f.s.nodes
	case "leader":
		return []*simNode{f.s.leader()}
	case "other":
		for _, n := range f.s.nodes {
			if n != f.s.leader() && n.core != nil {
				return []*simNode{n}
			}
		}
		return nil
	}
	return []*simNode{f.s.node(f.words[1])}
}

// worker gives the worker that the first argument names: by machine, or by number among those that are up.
func (f fault) worker() *simWorker {
	number, err := strconv.Atoi(f.words[1])
	if err != nil {
		return f.s.byName[f.words[1]]
	}
	var up []*simWorker
	for _, worker := range f.s.workers {
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
	"outage":       func(f fault) { f.s.outage = max(f.s.outage, f.until(1)) },
	"slow":         func(f fault) { f.s.slow, f.s.slowUntil = f.seconds(1), f.until(2) },
	"cloud":        func(f fault) { f.s.cloudOut = max(f.s.cloudOut, f.until(1)) },
	"cancel_now":   func(f fault) { f.s.cancelRunning() },
	"late_writes":  func(f fault) { f.setShare(&f.s.lateWrites) },
	"late_reports": func(f fault) { f.setShare(&f.s.lateReports) },
	"late_orders":  func(f fault) { f.setShare(&f.s.lateOrders) },
	"boots":        fault.changeBoots,
	"polls":        fault.poll,
	"partition":    fault.partition,
	"zone_cut":     fault.cutZone,
	"odd":          func(f fault) { f.s.odd() },
}

// workerFaultHandlers carry out the faults of one worker.
var workerFaultHandlers = map[string]func(f fault, worker *simWorker){
	"hang":   func(f fault, worker *simWorker) { worker.hung = max(worker.hung, f.until(2)) },
	"deaf":   func(f fault, worker *simWorker) { worker.deaf = max(worker.deaf, f.until(2)) },
	"mute":   func(f fault, worker *simWorker) { worker.mute = max(worker.mute, f.until(2)) },
	"sick":   fault.makeFaulty,
	"die":    fault.stopMachine,
	"take":   func(f fault, worker *simWorker) { f.s.remove(worker) },
	"recall": fault.reclaim,
}

// inject carries out a fault.
func (s *sim) inject(f fault) {
	s.note("trouble: %s", strings.Join(f.words, " "))
	if handle := faultHandlers[f.words[0]]; handle != nil {
		handle(f)
		return
	}
	handle := workerFaultHandlers[f.words[0]]
	if handle == nil {
		s.t.Fatalf("unknown: %v", f.words)
	}
	worker := f.worker()
	if worker == nil || worker.gone {
		return
	}
	s.note("it is %s", worker.name)
	handle(f, worker)
}

// refuseNode has the key-value store refuse a node.
func (f fault) refuseNode() {
	for _, n := range f.nodes() {
		n.refused = max(n.refused, f.until(2))
	}
}

// cutNode cuts a node off from the services that the second argument lists.
func (f fault) cutNode() {
	for _, n := range f.nodes() {
		for _, service := range strings.Split(f.words[2], ",") {
			switch service {
			case "state":
				n.noState = max(n.noState, f.until(3))
			case "peers":
				n.noPeers = max(n.noPeers, f.until(3))
			case "workers":
				n.noWorkers = max(n.noWorkers, f.until(3))
			case "users":
				n.noUsers = max(n.noUsers, f.until(3))
			}
		}
	}
}

// applyNextLimits has the limits to come take effect in the key-value store.
func (f fault) applyNextLimits() {
	next := f.s.set.Store.Next
	f.s.store.SetLimits(int(1024**next.ValueKB), *next.TxnOps)
}

// killNode ends a node's process and starts it again; an upgrade starts the new version.
func (f fault) killNode() {
	for _, n := range f.nodes() {
		n.old = n.old && f.words[0] == "kill"
		f.s.kill(n)
		life := n.life
		f.s.at(f.until(2), func() {
			if n.life == life {
				f.s.start(n)
			}
		})
	}
}

// freezeNode has a node's process stand still.
func (f fault) freezeNode() {
	for _, n := range f.nodes() {
		n.frozen = max(n.frozen, f.until(2))
	}
}

// slowNode has each step of a node take some milliseconds.
func (f fault) slowNode() {
	for _, n := range f.nodes() {
		n.stepTime, n.short = f.seconds(2)/1000, f.until(3)
	}
}

// setShare sets a share of messages to the first argument, for as long as the second one says.
func (f fault) setShare(share *float64) {
	*share = f.seconds(1).Seconds()
	f.s.at(f.until(2), func() { *share = 0 })
}

// changeBoots changes how new machines come up.
func (f fault) changeBoots() {
	f.s.bootFail, f.s.bootFactor = f.seconds(1).Seconds(), f.seconds(2).Seconds()
	f.s.at(f.until(3), func() { f.s.bootFail, f.s.bootFactor = 0, 0 })
}

// poll has users ask about jobs at a rate, and shows the statuses that they got.
func (f fault) poll() {
	end := f.until(2)
	interval := time.Duration(float64(time.Second) / f.seconds(1).Seconds())
	var ask func()
	ask = func() {
		if f.s.now < end {
			f.s.pollOnce()
			f.s.after(interval, ask)
		}
	}
	ask()
	f.s.at(end+2*time.Second, func() { f.s.say("polls: %v", f.s.polled) })
}

// partition cuts the zones off from each other.
func (f fault) partition() {
	f.s.partition = true
	f.s.at(f.until(1), func() { f.s.partition = false })
}

// cutZone cuts a zone off from everything.
func (f fault) cutZone() {
	f.s.zoneCut = f.words[1]
	f.s.at(f.until(2), func() { f.s.zoneCut = "" })
}

// makeFaulty has all tasks on a machine fail.
func (f fault) makeFaulty(worker *simWorker) {
	worker.sick = true
	f.s.at(f.until(2), func() { worker.sick = false })
}

// stopMachine stops a machine without notice.
func (f fault) stopMachine(worker *simWorker) {
	worker.gone, worker.up, worker.stopped = true, false, f.s.now
	f.s.killTasks(worker)
}

// reclaim has the cloud take a machine back after a notice.
func (f fault) reclaim(worker *simWorker) {
	worker.notice = true
	f.s.soon(worker)
	f.s.after(5*time.Second, func() { f.s.remove(worker) })
}

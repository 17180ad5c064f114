package core_test

import (
	"fmt"
	"strings"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
	"bitternwing/internal/simworker"
	"bitternwing/internal/wire"
)

// scaleWorker is a worker of a scale cluster: a hollow machine that reports.
type scaleWorker struct {
	index            int
	name, addr, zone string
	up               time.Duration
	due, sent        time.Duration // its next report, and its last one
	node             int
	dead             bool
	inFlight         uint64 // the request of a report without an answer; 0: none
	machine          *simworker.Machine
}

// leastBetweenReports is the protocol's least time between two reports.
const leastBetweenReports = 500 * time.Millisecond

// rent brings machines up.
func (y *scaleCluster) rent(e core.CloudScaleOut) core.Result {
	r := core.Result{CallID: e.CallID, Outcome: outcome.OK}
	for i := 0; i < e.Request.Count && y.rented < y.most; i++ {
		y.rented++
		w := &scaleWorker{index: len(y.workers), name: fmt.Sprintf("m%04d", len(y.workers)+1), zone: e.Request.Zone,
			up: y.now + 5*time.Second + time.Duration(y.rnd.Intn(3000))*time.Millisecond}
		w.addr = w.name + ":9000"
		w.machine = simworker.NewMachine(simworker.MachineInfo{Name: w.name, Zone: w.zone, Spot: e.Request.Spot, Type: catalog.Types[0]}, w.addr, y, y)
		y.byAddr[w.addr] = w
		y.byName[w.name] = w
		y.workers = append(y.workers, w)
		r.MachineNames = append(r.MachineNames, w.name)
	}
	if len(r.MachineNames) == 0 {
		r.Outcome = outcome.Unavailable
	}
	return r
}

// live lets a worker's tasks go on and has it report, regularly and when they have changed.
func (w *scaleWorker) live(y *scaleCluster) {
	w.machine.Advance(y.now)
	if w.inFlight != 0 && y.now < w.sent+wire.HeartbeatTimeout {
		return // a worker has one report in flight
	}
	due := w.due
	if w.machine.Changed() {
		due = min(due, w.sent+leastBetweenReports)
	}
	if y.now < due {
		return
	}
	report := config.Seconds(y.set.Params.Workers.HeartbeatIntervalS)
	w.sent = y.now
	w.due = y.now + report*3/4 + time.Duration(y.rnd.Int63n(int64(report/2)))
	if y.blocked(y.nodes[w.node], w) {
		// No answer in 4 s: the next node, after 1 s.
		w.node = (w.node + 1) % len(y.nodes)
		w.due, w.sent = y.now+5*time.Second, y.now+5*time.Second
		return
	}
	y.counted.checkins++
	y.req++
	w.inFlight = y.req<<16 | uint64(w.index)
	y.step(y.nodes[w.node], core.WorkerHeartbeat{RequestID: w.inFlight, Heartbeat: w.machine.Heartbeat(y.now)})
}

// answered takes the answer to a report; false if the worker does not wait for it any more.
func (w *scaleWorker) answered(req uint64) bool {
	waits := w.inFlight == req
	if waits {
		w.inFlight = 0
	}
	return waits
}

// blocked tells whether a node and a worker can't reach each other.
func (y *scaleCluster) blocked(n *scaleNode, w *scaleWorker) bool {
	return y.apart != "" && w.zone == y.apart && n.zone != y.apart
}

// direct gives a worker that a node reaches at an address; nil if there is none.
func (y *scaleCluster) direct(n *scaleNode, addr string) *scaleWorker {
	w := y.byAddr[addr]
	if w == nil || w.dead || y.blocked(n, w) {
		return nil
	}
	return w
}

// Job gives a job that was uploaded.
func (y *scaleCluster) Job(id string) *wire.Job { return y.specs[id] }

// RunTime has tasks of arrays run for half a minute to one and a half.
func (y *scaleCluster) RunTime(job *wire.Job, _ int) time.Duration {
	if job.Kind == wire.KindService {
		return simworker.Never
	}
	return time.Duration(30+y.rnd.Intn(60)) * time.Second
}

// StartReceived checks that no other machine holds the task.
func (y *scaleCluster) StartReceived(s simworker.Start) {
	w := y.byName[s.Machine]
	if x := y.holders[s.Task]; x != nil && x != w && !x.dead && x.machine.Holds(s.Task) {
		y.t.Errorf("%s runs twice", s.Task)
	}
	y.holders[s.Task] = w
	y.started++
	if y.onStart != nil {
		y.onStart(s.Task)
	}
}

// TaskRuns is known by its start.
func (y *scaleCluster) TaskRuns(machine, task string) {
	if y.onRuns != nil {
		y.onRuns(machine, task)
	}
}

// TaskEnds notes that a machine holds a task no longer.
func (y *scaleCluster) TaskEnds(_, task string, _ bool) {
	delete(y.holders, task)
	if y.onEnds != nil {
		y.onEnds(task)
	}
}

// holds tells whether a machine holds a task of a job.
func (y *scaleCluster) holds(id string) bool {
	for task := range y.holders {
		if strings.HasPrefix(task, fmt.Sprint(id, "/")) {
			return true
		}
	}
	return false
}

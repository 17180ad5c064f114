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
	index                        int
	name, addr, zone             string
	upAt                         time.Duration
	nextHeartbeat, lastHeartbeat time.Duration // its next report, and its last one
	nodeIndex                    int
	dead                         bool
	inFlight                     uint64 // the request of a report without an answer; 0: none
	machine                      *simworker.Machine
}

// minHeartbeatInterval is the protocol's least time between two reports.
const minHeartbeatInterval = 500 * time.Millisecond

// scaleOut brings machines up.
func (cluster *scaleCluster) scaleOut(effect core.CloudScaleOut) core.Result {
	result := core.Result{CallID: effect.CallID, Outcome: outcome.OK}
	for i := 0; i < effect.Request.Count && cluster.rented < cluster.machineLimit; i++ {
		cluster.rented++
		worker := &scaleWorker{index: len(cluster.workers), name: fmt.Sprintf("m%04d", len(cluster.workers)+1), zone: effect.Request.Zone,
			upAt: cluster.now + 5*time.Second + time.Duration(cluster.random.Intn(3000))*time.Millisecond}
		worker.addr = worker.name + ":9000"
		worker.machine = simworker.NewMachine(simworker.MachineInfo{Name: worker.name, Zone: worker.zone, Spot: effect.Request.Spot, Type: testCatalog.Types[0]}, worker.addr, cluster, cluster)
		cluster.workerByAddr[worker.addr] = worker
		cluster.workerByName[worker.name] = worker
		cluster.workers = append(cluster.workers, worker)
		result.MachineNames = append(result.MachineNames, worker.name)
	}
	if len(result.MachineNames) == 0 {
		result.Outcome = outcome.Unavailable
	}
	return result
}

// advance lets a worker's tasks go on and has it report, regularly and when they have changed.
func (worker *scaleWorker) advance(cluster *scaleCluster) {
	worker.machine.Advance(cluster.now)
	if worker.inFlight != 0 && cluster.now < worker.lastHeartbeat+wire.HeartbeatTimeout {
		return // a worker has one report in flight
	}
	due := worker.nextHeartbeat
	if worker.machine.Changed() {
		due = min(due, worker.lastHeartbeat+minHeartbeatInterval)
	}
	if cluster.now < due {
		return
	}
	report := config.Seconds(cluster.lastSettings.Params.Workers.HeartbeatIntervalS)
	worker.lastHeartbeat = cluster.now
	worker.nextHeartbeat = cluster.now + report*3/4 + time.Duration(cluster.random.Int63n(int64(report/2)))
	if cluster.separated(cluster.nodes[worker.nodeIndex], worker) {
		// No answer in 4 s: the next node, after 1 s.
		worker.nodeIndex = (worker.nodeIndex + 1) % len(cluster.nodes)
		worker.nextHeartbeat, worker.lastHeartbeat = cluster.now+5*time.Second, cluster.now+5*time.Second
		return
	}
	cluster.counts.heartbeats++
	cluster.lastRequest++
	worker.inFlight = cluster.lastRequest<<16 | uint64(worker.index)
	cluster.step(cluster.nodes[worker.nodeIndex], core.WorkerHeartbeat{RequestID: worker.inFlight, Heartbeat: worker.machine.Heartbeat(cluster.now)})
}

// takeResponse takes the answer to a report; false if the worker does not wait for it any more.
func (worker *scaleWorker) takeResponse(request uint64) bool {
	waits := worker.inFlight == request
	if waits {
		worker.inFlight = 0
	}
	return waits
}

// separated tells whether a node and a worker can't reach each other.
func (cluster *scaleCluster) separated(node *scaleNode, worker *scaleWorker) bool {
	return cluster.isolatedZone != "" && worker.zone == cluster.isolatedZone && node.zone != cluster.isolatedZone
}

// reachableWorker gives a worker that a node reaches at an address; nil if there is none.
func (cluster *scaleCluster) reachableWorker(node *scaleNode, addr string) *scaleWorker {
	worker := cluster.workerByAddr[addr]
	if worker == nil || worker.dead || cluster.separated(node, worker) {
		return nil
	}
	return worker
}

// Job gives a job that was uploaded.
func (cluster *scaleCluster) Job(id string) *wire.Job { return cluster.specs[id] }

// RunTime has tasks of arrays run for half a minute to one and a half.
func (cluster *scaleCluster) RunTime(job *wire.Job, _ int) time.Duration {
	if job.Kind == wire.KindService {
		return simworker.Never
	}
	return time.Duration(30+cluster.random.Intn(60)) * time.Second
}

// StartReceived checks that no other machine holds the task.
func (cluster *scaleCluster) StartReceived(s simworker.Start) {
	worker := cluster.workerByName[s.Machine]
	if x := cluster.workerByTask[s.Task]; x != nil && x != worker && !x.dead && x.machine.Holds(s.Task) {
		cluster.test.Errorf("%s runs twice", s.Task)
	}
	cluster.workerByTask[s.Task] = worker
	cluster.startedTasks++
	if cluster.onStart != nil {
		cluster.onStart(s.Task)
	}
}

// TaskRuns is known by its start.
func (cluster *scaleCluster) TaskRuns(machine, task string) {
	if cluster.onRuns != nil {
		cluster.onRuns(machine, task)
	}
}

// TaskEnds notes that a machine holds a task no longer.
func (cluster *scaleCluster) TaskEnds(_, task string, _ bool) {
	delete(cluster.workerByTask, task)
	if cluster.onEnds != nil {
		cluster.onEnds(task)
	}
}

// runsOnWorker tells whether a machine holds a task of a job.
func (cluster *scaleCluster) runsOnWorker(id string) bool {
	for task := range cluster.workerByTask {
		if strings.HasPrefix(task, fmt.Sprint(id, "/")) {
			return true
		}
	}
	return false
}

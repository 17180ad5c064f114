package core_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/core"
	"bitternwing/internal/wire"
)

// These tests run fleets whose data exceeds the size of one value of the key-value store, one page or one message.

// largeFleetSize is a number of machines that must not hit any fixed limit.
const largeFleetSize = 4400

// newLargeFleet returns a cluster with a number of running machines in three zones, one of which has no nodes, and
// settings that are sufficient for them.
func newLargeFleet(t *testing.T, nodes, machines int) *scaleCluster {
	t.Helper()
	cluster := newLargeScaleCluster(t, nodes, 0)
	cluster.operator.IdleTimeoutBoots = 100
	cluster.adjustParams = func(p *config.Params) {
		p.Store = config.Store{RPS: 2000, WriteRPS: 1000, ValueKB: 16, TxnOps: 48}
		p.Cloud.RPS = 8
		p.Limits = config.ProcessLimits{CPUShare: 1, MemoryMB: 1000, MaxConnections: 3 * machines}
		for i := range p.Teams {
			p.Teams[i].MaxGPUs = 0
		}
	}
	cluster.restartNodes()
	cluster.addMachines(machines, "z1", "z2", "z3")
	cluster.runFor(10 * time.Second)
	return cluster
}

// restartNodes restarts the processes of all nodes.
func (cluster *scaleCluster) restartNodes() {
	for i := range cluster.nodes {
		cluster.startNode(i)
	}
	cluster.runFor(3 * time.Second)
}

// submitServices submits n services of one task, with a pause after every 100 so that the nodes accept all of them.
func (cluster *scaleCluster) submitServices(n int, gpus float64) {
	for i := range n {
		cluster.submit(wire.Job{Kind: wire.KindService, Tasks: 1, GPUs: gpus})
		if i%100 == 99 {
			cluster.runFor(100 * time.Millisecond)
		}
	}
}

// leaderNode returns the leading node; nil if there is none.
func (cluster *scaleCluster) leaderNode() *scaleNode {
	for _, node := range cluster.nodes {
		if node.core.PeerStatus().Leading {
			return node
		}
	}
	return nil
}

// followerNode returns a node that does not lead.
func (cluster *scaleCluster) followerNode() *scaleNode {
	for _, node := range cluster.nodes {
		if !node.core.PeerStatus().Leading {
			return node
		}
	}
	cluster.t.Fatal("all nodes lead")
	return nil
}

// TestLargeFleet restarts the leader of a fleet of 4,400 machines under load. The next leader must continue to start
// tasks, and must not release any machine with tasks.
func TestLargeFleet(t *testing.T) {
	cluster := newLargeFleet(t, 3, largeFleetSize)
	cluster.submitServices(1500, 1)
	cluster.runLoad(0, 60, 10)
	before := cluster.startedTasks
	cluster.restartLeader()
	cluster.runLoad(0, 60, 12)
	t.Logf("%d machines, %d starts before and %d after the restart of the leader, %+v", cluster.rentedMachines, before, cluster.startedTasks-before, cluster.counts)
	if cluster.rentedMachines < largeFleetSize || cluster.counts.releasedWithTasks > 0 {
		t.Errorf("%d machines are up, want at least the whole fleet; %d with tasks were released, want 0", cluster.rentedMachines, cluster.counts.releasedWithTasks)
	}
	if before < 5000 || cluster.startedTasks-before < 1000 {
		t.Errorf("got %d starts before the restart of the leader, want at least 5000; got %d after it, want at least 1000", before, cluster.startedTasks-before)
	}
}

// TestPagedMachineList has a cloud that lists 4,400 machines in nine pages and allows two calls per second. The leader
// must still read the whole list, rent the machine that a new service needs, and stay within the cloud's rate.
func TestPagedMachineList(t *testing.T) {
	cluster := newLargeScaleCluster(t, 1, 0)
	cluster.operator.IdleTimeoutBoots = 100
	cluster.adjustParams = func(p *config.Params) { p.Cloud.RPS = 2 }
	cluster.cloudRate = 2
	cluster.restartNodes()
	cluster.addMachines(largeFleetSize)
	cluster.machineLimit += 10
	cluster.runFor(10 * time.Second)
	cluster.submit(wire.Job{Kind: wire.KindService, Tasks: 1, GPUs: 1, Zone: "z2"})
	cluster.runFor(60 * time.Second)
	if pages := cluster.counts.pages; cluster.rentedMachines <= largeFleetSize || pages < 40 {
		t.Errorf("got %d machines after %d pages of the list, want more than before and at least 40 pages", cluster.rentedMachines, pages)
	}
	if cluster.droppedCloudCalls > 0 {
		t.Errorf("%d calls exceeded the cloud's rate, want 0", cluster.droppedCloudCalls)
	}
}

// TestManyUnreachableMachines cuts off a zone of 1,200 machines, and then restarts the leader. From the stored hints
// the next leader must know since when each machine is unreachable, and release it as early as the previous leader
// would have.
func TestManyUnreachableMachines(t *testing.T) {
	const machines = 3600
	cluster := newLargeFleet(t, 3, machines)
	cluster.submitServices(machines, 5) // one on each machine
	cluster.runFor(10 * time.Second)
	if len(cluster.workerByTask) != machines {
		t.Fatalf("got %d machines with a task, want %d", len(cluster.workerByTask), machines)
	}
	cluster.isolatedZone = "z3"
	cluster.runFor(9 * time.Second)
	silentMachines := map[string]int64{}
	for _, key := range storedKeys(cluster.store, "w/s") {
		item, _ := cluster.store.Get(key)
		if err := json.Unmarshal(item.Value, &silentMachines); err != nil {
			t.Fatal(key, err)
		}
	}
	cluster.restartLeader()
	cluster.runFor(15 * time.Second)
	remaining := 0
	for _, worker := range cluster.workers {
		if worker.zone == "z3" && !worker.stopped {
			remaining++
		}
	}
	if len(silentMachines) != 1200 || remaining > 0 {
		t.Errorf("got %d machines in the hints, want 1200; %d have not been released after 24 s, want 0", len(silentMachines), remaining)
	}
	cluster.isolatedZone = ""
	cluster.runFor(10 * time.Second)
	if keys := storedKeys(cluster.store, "w/s"); len(keys) > 0 {
		t.Errorf("hints %v remain although all machines are reachable", keys)
	}
}

// TestTaskCountsOfManyJobs runs more jobs than eight values of the key-value store can contain task counts of. A node
// that does not lead must still report each job as running.
func TestTaskCountsOfManyJobs(t *testing.T) {
	cluster := newLargeScaleCluster(t, 2, 0)
	cluster.adjustParams = func(p *config.Params) { p.Store.ValueKB = 2 }
	cluster.restartNodes()
	cluster.addMachines(120)
	cluster.runFor(10 * time.Second)
	const jobs = 800
	cluster.submitServices(jobs, 1)
	cluster.runFor(90 * time.Second)
	node, notRunning := cluster.followerNode(), 0
	for _, id := range cluster.liveServices {
		cluster.lastRequest++
		cluster.step(node, core.GetJob{RequestID: cluster.lastRequest << 16, ID: id})
		cluster.runFor(100 * time.Millisecond)
		if response, ok := cluster.lastResponse.(wire.JobResponse); !ok || response.Status != wire.JobRunning {
			notRunning++
		}
	}
	if len(cluster.liveServices) != jobs || len(cluster.workerByTask) != jobs || notRunning > 0 {
		t.Errorf("got %d jobs with %d tasks, %d of them not reported as running; want one task for each job, and 0", len(cluster.liveServices), len(cluster.workerByTask), notRunning)
	}
}

// TestManyUnresolvedCancellations cancels more jobs at once than a node's status can list as unresolved. Their tasks
// wait for an image on machines that no longer respond. No response may report one of these jobs as cancelled.
func TestManyUnresolvedCancellations(t *testing.T) {
	cluster := newLargeScaleCluster(t, 2, 0)
	cluster.adjustParams = func(p *config.Params) { p.Store.WriteRPS = 1000 }
	cluster.restartNodes()
	cluster.addMachines(200)
	cluster.runFor(10 * time.Second)
	const jobs = 1300
	var ids []string
	for i := range jobs {
		id := fmt.Sprintf("run-%020d", i)
		ids = append(ids, id)
		cluster.submitAt(cluster.nodes[i%2], &wire.Job{ID: id, Kind: wire.KindService, Class: "c", Team: fmt.Sprintf("t%d", i%12), Tasks: 1,
			CPUs: 4, GPUs: 1, MemoryGB: 20, Priority: "prod", Image: "img-1", ImageGB: 300})
		if i%100 == 99 {
			cluster.runFor(100 * time.Millisecond)
		}
	}
	cluster.runFor(3 * time.Second)
	if len(cluster.workerByTask) != jobs {
		t.Fatalf("got %d tasks that wait for their image, want %d", len(cluster.workerByTask), jobs)
	}
	for _, worker := range cluster.workers {
		worker.stopped = true
	}
	node := cluster.followerNode()
	cluster.responseStatuses = map[uint64]int{}
	for i, id := range ids {
		cluster.lastRequest++
		cluster.step(node, core.CancelJob{RequestID: cluster.lastRequest << 16, ID: id})
		if i%100 == 99 {
			cluster.runFor(600 * time.Millisecond)
		}
	}
	cluster.runFor(time.Second)
	statuses := map[int]int{}
	for _, status := range cluster.responseStatuses {
		statuses[status]++
	}
	if statuses[503] != jobs {
		t.Errorf("got responses by status %v, want all 503", statuses)
	}
	for _, peer := range cluster.nodes {
		status := peer.core.PeerStatus()
		listed := len(strings.Join(status.UnresolvedCancellations, ",,"))
		if status.Leading && (!status.MoreUnresolved || listed > 32<<10) {
			t.Errorf("got %d unresolved cancellations in %d bytes, more: %v; want at most 32 KiB and more", len(status.UnresolvedCancellations), listed, status.MoreUnresolved)
		}
	}
}

// TestInsufficientSettingsAreLoggedOnce grows a fleet beyond what the settings are sufficient for. Each insufficient
// field must be logged exactly once.
func TestInsufficientSettingsAreLoggedOnce(t *testing.T) {
	cluster := newLargeScaleCluster(t, 1, 0)
	cluster.addMachines(900)
	cluster.runFor(10 * time.Second)
	if len(cluster.loggedFields) > 0 {
		t.Errorf("900 machines: got warnings %v, want none", cluster.loggedFields)
	}
	for range 3 {
		cluster.addMachines(200)
		cluster.runFor(6 * time.Second)
	}
	if count := cluster.loggedFields["params.limits.max_connections"]; count != 1 {
		t.Errorf("1,500 machines: got warnings %v, want one for params.limits.max_connections", cluster.loggedFields)
	}
	for field, count := range cluster.loggedFields {
		if count != 1 {
			t.Errorf("%s was logged %d times, want once", field, count)
		}
	}
}

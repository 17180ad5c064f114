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

// These tests play fleets that are larger than what one value, page or message holds.

// largeFleet is the number of machines that no fixed limit may stand below, and some more.
const largeFleet = 4400

// newFleetOf has so many machines up in three zones, one of which has no nodes, with settings that carry them.
func newFleetOf(t *testing.T, nodes, machines int) *scaleCluster {
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
	cluster.restart()
	cluster.addMachines(machines, "z1", "z2", "z3")
	cluster.runFor(10 * time.Second)
	return cluster
}

// restart starts all nodes anew.
func (cluster *scaleCluster) restart() {
	for i := range cluster.nodes {
		cluster.startNode(i)
	}
	cluster.runFor(3 * time.Second)
}

// submitServices hands in services of one task, as many at a time as the nodes take.
func (cluster *scaleCluster) submitServices(n int, gpus float64) {
	for i := range n {
		cluster.submit(wire.Job{Kind: wire.KindService, Tasks: 1, GPUs: gpus})
		if i%100 == 99 {
			cluster.runFor(100 * time.Millisecond)
		}
	}
}

// leaderNode gives the node that leads; nil if none does.
func (cluster *scaleCluster) leaderNode() *scaleNode {
	for _, node := range cluster.nodes {
		if node.core.PeerStatus().Leading {
			return node
		}
	}
	return nil
}

// follower gives a node that does not lead.
func (cluster *scaleCluster) follower() *scaleNode {
	for _, node := range cluster.nodes {
		if !node.core.PeerStatus().Leading {
			return node
		}
	}
	cluster.test.Fatal("all nodes lead")
	return nil
}

// TestLargeFleet plays 4,400 machines through a leader's end. The next one goes on starting, and gives back
// nothing that works.
func TestLargeFleet(t *testing.T) {
	cluster := newFleetOf(t, 3, largeFleet)
	cluster.submitServices(1500, 1)
	cluster.playLoad(0, 60, 10)
	before := cluster.startedTasks
	cluster.restartLeader()
	cluster.playLoad(0, 60, 12)
	t.Logf("%d machines, %d starts before and %d after the leader's end, %+v", cluster.rented, before, cluster.startedTasks-before, cluster.counts)
	if cluster.rented < largeFleet || cluster.counts.releasedWithWork > 0 {
		t.Errorf("%d machines are up, %d with work were released", cluster.rented, cluster.counts.releasedWithWork)
	}
	if before < 5000 || cluster.startedTasks-before < 1000 {
		t.Errorf("%d starts before the leader's end, %d after it", before, cluster.startedTasks-before)
	}
}

// TestListOfManyPages has a cloud that lists 4,400 machines in nine pages and answers two requests a second. The list
// is read all the same, and what is missing is rented.
func TestListOfManyPages(t *testing.T) {
	cluster := newLargeScaleCluster(t, 1, 0)
	cluster.operator.IdleTimeoutBoots = 100
	cluster.adjustParams = func(p *config.Params) { p.Cloud.RPS = 2 }
	cluster.cloudRate = 2
	cluster.restart()
	cluster.addMachines(largeFleet)
	cluster.machineLimit += 10
	cluster.runFor(10 * time.Second)
	cluster.submit(wire.Job{Kind: wire.KindService, Tasks: 1, GPUs: 1, Zone: "z2"})
	cluster.runFor(60 * time.Second)
	if pages := cluster.counts.pages; cluster.rented <= largeFleet || pages < 40 {
		t.Errorf("%d machines after %d pages of the list", cluster.rented, pages)
	}
	if cluster.droppedCloudCalls > 0 {
		t.Errorf("%d requests were above the cloud's rate", cluster.droppedCloudCalls)
	}
}

// TestManyUnreachableMachines silences a zone of 1,200 machines, and ends the leader. The next one knows of all of them
// since when they are silent, and gives them back as soon as the last one would have.
func TestManyUnreachableMachines(t *testing.T) {
	const machines = 3600
	cluster := newFleetOf(t, 3, machines)
	cluster.submitServices(machines, 5) // one on each machine
	cluster.runFor(10 * time.Second)
	if len(cluster.workerByTask) != machines {
		t.Fatalf("%d of %d machines have work", len(cluster.workerByTask), machines)
	}
	cluster.isolatedZone = "z3"
	cluster.runFor(9 * time.Second)
	told := map[string]int64{}
	for _, key := range storedKeys(cluster.store, "w/s") {
		item, _ := cluster.store.Get(key)
		if err := json.Unmarshal(item.Value, &told); err != nil {
			t.Fatal(key, err)
		}
	}
	cluster.restartLeader()
	cluster.runFor(15 * time.Second)
	left := 0
	for _, worker := range cluster.workers {
		if worker.zone == "z3" && !worker.dead {
			left++
		}
	}
	if len(told) != 1200 || left > 0 {
		t.Errorf("%d machines are in the hints, %d are kept after 24 s, of 1200", len(told), left)
	}
	cluster.isolatedZone = ""
	cluster.runFor(10 * time.Second)
	if keys := storedKeys(cluster.store, "w/s"); len(keys) > 0 {
		t.Errorf("%v are left when nothing is silent", keys)
	}
}

// TestCountsOfManyJobs has more jobs running than eight values hold counts of. Each is shown as running at a node that
// does not lead.
func TestCountsOfManyJobs(t *testing.T) {
	cluster := newLargeScaleCluster(t, 2, 0)
	cluster.adjustParams = func(p *config.Params) { p.Store.ValueKB = 2 }
	cluster.restart()
	cluster.addMachines(120)
	cluster.runFor(10 * time.Second)
	const jobs = 800
	cluster.submitServices(jobs, 1)
	cluster.runFor(90 * time.Second)
	node, pending := cluster.follower(), 0
	for _, id := range cluster.liveServices {
		cluster.lastRequest++
		cluster.step(node, core.GetJob{RequestID: cluster.lastRequest << 16, ID: id})
		cluster.runFor(100 * time.Millisecond)
		if s, ok := cluster.lastAnswer.(wire.JobResponse); !ok || s.Status != wire.JobRunning {
			pending++
		}
	}
	if len(cluster.liveServices) != jobs || len(cluster.workerByTask) != jobs || pending > 0 {
		t.Errorf("%d jobs with %d tasks, %d are not shown as running", len(cluster.liveServices), len(cluster.workerByTask), pending)
	}
}

// TestManyUnsettledCancellations cancels more jobs at once, whose tasks wait for their image on machines that don't
// answer any more, than a node's status can list. No user is told of any of them.
func TestManyUnsettledCancellations(t *testing.T) {
	cluster := newLargeScaleCluster(t, 2, 0)
	cluster.adjustParams = func(p *config.Params) { p.Store.WriteRPS = 1000 }
	cluster.restart()
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
		t.Fatalf("%d tasks of %d wait for their image", len(cluster.workerByTask), jobs)
	}
	for _, worker := range cluster.workers {
		worker.dead = true
	}
	node := cluster.follower()
	cluster.answerStatuses = map[uint64]int{}
	for i, id := range ids {
		cluster.lastRequest++
		cluster.step(node, core.CancelJob{RequestID: cluster.lastRequest << 16, ID: id})
		if i%100 == 99 {
			cluster.runFor(600 * time.Millisecond)
		}
	}
	cluster.runFor(time.Second)
	statuses := map[int]int{}
	for _, status := range cluster.answerStatuses {
		statuses[status]++
	}
	if statuses[503] != jobs {
		t.Errorf("answers by status: %v", statuses)
	}
	for _, x := range cluster.nodes {
		s := x.core.PeerStatus()
		listed := len(strings.Join(s.UnresolvedCancellations, ",,"))
		if s.Leading && (!s.MoreUnresolved || listed > 32<<10) {
			t.Errorf("%d unsettled jobs in %d bytes, more: %v", len(s.UnresolvedCancellations), listed, s.MoreUnresolved)
		}
	}
}

// TestSmallSettingsAreLoggedOnce grows a fleet beyond what the settings carry. Each field is named in one line, once.
func TestSmallSettingsAreLoggedOnce(t *testing.T) {
	cluster := newLargeScaleCluster(t, 1, 0)
	cluster.addMachines(900)
	cluster.runFor(10 * time.Second)
	if len(cluster.logged) > 0 {
		t.Errorf("logged for 900 machines: %v", cluster.logged)
	}
	for range 3 {
		cluster.addMachines(200)
		cluster.runFor(6 * time.Second)
	}
	if n := cluster.logged["params.limits.max_connections"]; n != 1 {
		t.Errorf("1,500 machines: %v", cluster.logged)
	}
	for field, n := range cluster.logged {
		if n != 1 {
			t.Errorf("%s was logged %d times", field, n)
		}
	}
}

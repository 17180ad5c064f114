package core_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bitternwing/internal/wire"
)

// checkCapacityIndex checks that each node's capacity index is what it would be if it were built anew.
func (cluster *scaleCluster) checkCapacityIndex() {
	cluster.t.Helper()
	for _, node := range cluster.nodes {
		if err := node.core.CheckCapacityIndex(); err != nil {
			cluster.t.Errorf("%s at %v: %v", node.name, cluster.now, err)
		}
	}
}

// fullCluster has a full fleet, and as many tasks that wait.
func fullCluster(t *testing.T, nodes, machines int) *scaleCluster {
	t.Helper()
	cluster := newLargeScaleCluster(t, nodes, 0)
	cluster.addMachines(machines)
	cluster.runFor(5 * time.Second)
	for range 2 * machines / 6 {
		cluster.submit(wire.Job{Kind: wire.KindArray, Tasks: 60, GPUs: 0.8})
		cluster.runFor(50 * time.Millisecond)
	}
	cluster.runFor(5 * time.Second)
	return cluster
}

// TestTakeoverOfFullFleet has a leader take over a full fleet, with heartbeats of all workers at once: the index is that of
// what runs, nothing is lost, and waiting tasks go on to be placed.
func TestTakeoverOfFullFleet(t *testing.T) {
	cluster := fullCluster(t, 3, 300)
	running, started := len(cluster.workerByTask), cluster.startedTasks
	cluster.restartLeader()
	cluster.runFor(8 * time.Second)
	cluster.checkCapacityIndex()
	cluster.runFor(60 * time.Second)
	cluster.checkCapacityIndex()
	if running < 2900 || cluster.counts.releasedWithTasks > 0 || cluster.startedTasks-started < 10 {
		t.Errorf("%d tasks, %d machines with work released, %d starts after it", running, cluster.counts.releasedWithTasks, cluster.startedTasks-started)
	}
}

// TestCapacityOfSilentZone partitions a zone and heals it: nothing is placed there meanwhile, and all of its capacity is used
// afterwards.
func TestCapacityOfSilentZone(t *testing.T) {
	cluster := newLargeScaleCluster(t, 3, 0)
	cluster.addMachines(100, "z1", "z2")
	cluster.runLoad(20, 0, 10)
	cluster.checkCapacityIndex()
	cluster.isolatedZone = "z2"
	cluster.runFor(40 * time.Second)
	cluster.checkCapacityIndex()
	cluster.submit(wire.Job{Kind: wire.KindArray, Tasks: 60, GPUs: 4})
	cluster.runFor(5 * time.Second)
	if here, there := cluster.lastJobByZone(); here == 0 || there > 0 {
		t.Errorf("%d tasks were started, and %d in the zone that is out of reach", here, there)
	}
	cluster.isolatedZone = ""
	cluster.runFor(20 * time.Second)
	cluster.checkCapacityIndex()
	cluster.submit(wire.Job{Kind: wire.KindArray, Tasks: 400, GPUs: 1})
	cluster.runFor(10 * time.Second)
	if here, there := cluster.lastJobByZone(); there == 0 {
		t.Errorf("%d tasks were started, none in the zone that is back", here)
	}
}

// lastJobByZone counts the tasks of the last array, in the first zone and in the second one.
func (cluster *scaleCluster) lastJobByZone() (first, second int) {
	for task, worker := range cluster.workerByTask {
		switch {
		case !strings.HasPrefix(task, fmt.Sprintf("run-a%05d/", cluster.submittedJobs)):
		case worker.zone == "z1":
			first++
		default:
			second++
		}
	}
	return first, second
}

// TestHugeArray places an array of the largest size as far as there is capacity. The number of evaluations depends on the tasks
// placed, not on those that wait.
func TestHugeArray(t *testing.T) {
	cluster := newLargeScaleCluster(t, 1, 0)
	cluster.addMachines(400)
	cluster.runFor(5 * time.Second)
	n := cluster.nodes[0].core
	before := n.Evaluations()
	cluster.submit(wire.Job{Kind: wire.KindArray, Tasks: wire.MaxTasks, GPUs: 1})
	cluster.runFor(20 * time.Second)
	// The limit of the team is 1,500 tasks.
	if cluster.startedTasks != 1500 {
		t.Errorf("%d tasks were started", cluster.startedTasks)
	}
	if perStart := float64(n.Evaluations()-before) / float64(cluster.startedTasks); perStart > 100 {
		t.Errorf("%.0f evaluations for a start", perStart)
	}
	cluster.checkCapacityIndex()
}

// TestHopelessBacklog has as many jobs wait as there are machines, for which there is no capacity. Each cycle refuses them
// without evaluating machines for each.
func TestHopelessBacklog(t *testing.T) {
	cluster := fullCluster(t, 1, 200)
	n := cluster.nodes[0].core
	const jobs, seconds = 200, 10
	for range jobs {
		cluster.submit(wire.Job{Kind: wire.KindService, Tasks: 1, GPUs: 9}) // more than any machine has
		cluster.submit(wire.Job{Kind: wire.KindArray, Tasks: 2, GPUs: 8})
		cluster.runFor(20 * time.Millisecond)
	}
	cluster.runFor(2 * time.Second)
	before, started := n.Evaluations(), cluster.startedTasks
	cluster.runFor(seconds * time.Second)
	spent := n.Evaluations() - before
	t.Logf("%d evaluations, %d starts", spent, cluster.startedTasks-started)
	// Eight cycles a second at the most, each with a few evaluations for each of two kinds of jobs of a team: among them
	// one for every four jobs that could be shrunk.
	if most := seconds * 8 * 2 * len(cluster.lastSettings.Params.Teams) * 40; spent > most || cluster.startedTasks > started {
		t.Errorf("%d evaluations in %d s for a backlog of %d, more than %d", spent, seconds, 2*jobs, most)
	}
	cluster.checkCapacityIndex()
}

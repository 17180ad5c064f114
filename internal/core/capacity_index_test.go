package core_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bitternwing/internal/wire"
)

// checkCapacityIndex checks that the capacity index of each node equals one that is rebuilt from scratch.
func (cluster *scaleCluster) checkCapacityIndex() {
	cluster.t.Helper()
	for _, node := range cluster.nodes {
		if err := node.core.CheckCapacityIndex(); err != nil {
			cluster.t.Errorf("%s at %v: %v", node.name, cluster.now, err)
		}
	}
}

// fullCluster returns a cluster whose machines are all in use, with about as many tasks still waiting.
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

// TestTakeoverOfFullFleet checks a change of leader on a full fleet, in which all workers send heartbeats to the new
// leader at once. The new index must match the running tasks, no machine with tasks may be released, and waiting tasks
// must continue to be placed.
func TestTakeoverOfFullFleet(t *testing.T) {
	cluster := fullCluster(t, 3, 300)
	running, started := len(cluster.workerByTask), cluster.startedTasks
	cluster.restartLeader()
	cluster.runFor(8 * time.Second)
	cluster.checkCapacityIndex()
	cluster.runFor(60 * time.Second)
	cluster.checkCapacityIndex()
	if running < 2900 || cluster.counts.releasedWithTasks > 0 || cluster.startedTasks-started < 10 {
		t.Errorf("%d tasks ran before the change of leader, %d machines with tasks were released, %d tasks were started after it; want at least 2900, none, at least 10",
			running, cluster.counts.releasedWithTasks, cluster.startedTasks-started)
	}
}

// TestCapacityOfSilentZone checks that nothing is placed in a partitioned zone, and that its capacity is used again
// after the partition heals.
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
	if reachable, partitioned := cluster.lastJobByZone(); reachable == 0 || partitioned > 0 {
		t.Errorf("got %d started tasks in the reachable zone and %d in the partitioned zone, want some and none", reachable, partitioned)
	}
	cluster.isolatedZone = ""
	cluster.runFor(20 * time.Second)
	cluster.checkCapacityIndex()
	cluster.submit(wire.Job{Kind: wire.KindArray, Tasks: 400, GPUs: 1})
	cluster.runFor(10 * time.Second)
	if reachable, partitioned := cluster.lastJobByZone(); partitioned == 0 {
		t.Errorf("got %d started tasks in the other zone and none in the zone that is reachable again, want some there", reachable)
	}
}

// lastJobByZone returns the number of running tasks of the last submitted array in zone z1 and in all other zones.
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

// TestArrayOfMaximumSize places an array of the maximum size, as far as the capacity and the team limit allow. The
// number of evaluations must depend on the tasks placed, not on those that wait.
func TestArrayOfMaximumSize(t *testing.T) {
	cluster := newLargeScaleCluster(t, 1, 0)
	cluster.addMachines(400)
	cluster.runFor(5 * time.Second)
	node := cluster.nodes[0].core
	before := node.Evaluations()
	cluster.submit(wire.Job{Kind: wire.KindArray, Tasks: wire.MaxTasks, GPUs: 1})
	cluster.runFor(20 * time.Second)
	// The limit of the team is 1,500 tasks.
	if cluster.startedTasks != 1500 {
		t.Errorf("got %d started tasks, want 1500", cluster.startedTasks)
	}
	if perStart := float64(node.Evaluations()-before) / float64(cluster.startedTasks); perStart > 100 {
		t.Errorf("got %.0f evaluations per started task, want at most 100", perStart)
	}
	cluster.checkCapacityIndex()
}

// TestUnplaceableBacklog queues twice as many jobs as there are machines, all without capacity for them. A cycle must
// reject them without an evaluation of all machines for each job.
func TestUnplaceableBacklog(t *testing.T) {
	cluster := fullCluster(t, 1, 200)
	node := cluster.nodes[0].core
	const jobs, seconds = 200, 10
	for range jobs {
		cluster.submit(wire.Job{Kind: wire.KindService, Tasks: 1, GPUs: 9}) // more than any machine has
		cluster.submit(wire.Job{Kind: wire.KindArray, Tasks: 2, GPUs: 8})
		cluster.runFor(20 * time.Millisecond)
	}
	cluster.runFor(2 * time.Second)
	before, started := node.Evaluations(), cluster.startedTasks
	cluster.runFor(seconds * time.Second)
	evaluations := node.Evaluations() - before
	t.Logf("%d evaluations, %d starts", evaluations, cluster.startedTasks-started)
	// At most eight cycles a second, and two kinds of jobs for each team. Each kind costs a few evaluations, and one
	// for every four jobs that could be shrunk.
	if maxEvaluations := seconds * 8 * 2 * len(cluster.lastSettings.Params.Teams) * 40; evaluations > maxEvaluations || cluster.startedTasks > started {
		t.Errorf("got %d evaluations in %d s for a backlog of %d jobs, want at most %d and no starts", evaluations, seconds, 2*jobs, maxEvaluations)
	}
	cluster.checkCapacityIndex()
}

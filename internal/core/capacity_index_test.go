package core_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bitternwing/internal/wire"
)

// checkCapacityIndex checks that each node's capacity index is what it would be if it were built anew.
func (y *scaleCluster) checkCapacityIndex() {
	y.t.Helper()
	for _, n := range y.nodes {
		if err := n.core.CheckCapacityIndex(); err != nil {
			y.t.Errorf("%s at %v: %v", n.name, y.now, err)
		}
	}
}

// fullCluster has a full fleet, and as many tasks that wait.
func fullCluster(t *testing.T, nodes, machines int) *scaleCluster {
	t.Helper()
	y := newLargeScaleCluster(t, nodes, 0)
	y.have(machines)
	y.pass(5 * time.Second)
	for range 2 * machines / 6 {
		y.submit(wire.Job{Kind: wire.KindArray, Tasks: 60, GPUs: 0.8})
		y.pass(50 * time.Millisecond)
	}
	y.pass(5 * time.Second)
	return y
}

// TestTakeoverOfFullFleet has a leader take over a full fleet, with heartbeats of all workers at once: the index is that of
// what runs, nothing is lost, and waiting tasks go on to be placed.
func TestTakeoverOfFullFleet(t *testing.T) {
	y := fullCluster(t, 3, 300)
	running, started := len(y.holders), y.started
	y.crash()
	y.pass(8 * time.Second)
	y.checkCapacityIndex()
	y.pass(60 * time.Second)
	y.checkCapacityIndex()
	if running < 2900 || y.counted.released > 0 || y.started-started < 10 {
		t.Errorf("%d tasks, %d machines with work released, %d starts after it", running, y.counted.released, y.started-started)
	}
}

// TestCapacityOfSilentZone partitions a zone and heals it: nothing is placed there meanwhile, and all of its capacity is used
// afterwards.
func TestCapacityOfSilentZone(t *testing.T) {
	y := newLargeScaleCluster(t, 3, 0)
	y.have(100, "z1", "z2")
	y.day(20, 0, 10)
	y.checkCapacityIndex()
	y.apart = "z2"
	y.pass(40 * time.Second)
	y.checkCapacityIndex()
	y.submit(wire.Job{Kind: wire.KindArray, Tasks: 60, GPUs: 4})
	y.pass(5 * time.Second)
	if here, there := y.lastJobByZone(); here == 0 || there > 0 {
		t.Errorf("%d tasks were started, and %d in the zone that is out of reach", here, there)
	}
	y.apart = ""
	y.pass(20 * time.Second)
	y.checkCapacityIndex()
	y.submit(wire.Job{Kind: wire.KindArray, Tasks: 400, GPUs: 1})
	y.pass(10 * time.Second)
	if here, there := y.lastJobByZone(); there == 0 {
		t.Errorf("%d tasks were started, none in the zone that is back", here)
	}
}

// lastJobByZone counts the tasks of the last array, in the first zone and in the second one.
func (y *scaleCluster) lastJobByZone() (first, second int) {
	for task, w := range y.holders {
		switch {
		case !strings.HasPrefix(task, fmt.Sprintf("run-a%05d/", y.jobs)):
		case w.zone == "z1":
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
	y := newLargeScaleCluster(t, 1, 0)
	y.have(400)
	y.pass(5 * time.Second)
	n := y.nodes[0].core
	before := n.Evaluations()
	y.submit(wire.Job{Kind: wire.KindArray, Tasks: wire.MaxTasks, GPUs: 1})
	y.pass(20 * time.Second)
	// The limit of the team is 1,500 tasks.
	if y.started != 1500 {
		t.Errorf("%d tasks were started", y.started)
	}
	if perStart := float64(n.Evaluations()-before) / float64(y.started); perStart > 100 {
		t.Errorf("%.0f evaluations for a start", perStart)
	}
	y.checkCapacityIndex()
}

// TestHopelessBacklog has as many jobs wait as there are machines, for which there is no capacity. Each cycle refuses them
// without evaluating machines for each.
func TestHopelessBacklog(t *testing.T) {
	y := fullCluster(t, 1, 200)
	n := y.nodes[0].core
	const jobs, seconds = 200, 10
	for range jobs {
		y.submit(wire.Job{Kind: wire.KindService, Tasks: 1, GPUs: 9}) // more than any machine has
		y.submit(wire.Job{Kind: wire.KindArray, Tasks: 2, GPUs: 8})
		y.pass(20 * time.Millisecond)
	}
	y.pass(2 * time.Second)
	before, started := n.Evaluations(), y.started
	y.pass(seconds * time.Second)
	spent := n.Evaluations() - before
	t.Logf("%d evaluations, %d starts", spent, y.started-started)
	// Eight cycles a second at the most, each with a few evaluations for each of two kinds of jobs of a team: among them
	// one for every four jobs that could be shrunk.
	if most := seconds * 8 * 2 * len(y.set.Params.Teams) * 40; spent > most || y.started > started {
		t.Errorf("%d evaluations in %d s for a backlog of %d, more than %d", spent, seconds, 2*jobs, most)
	}
	y.checkCapacityIndex()
}

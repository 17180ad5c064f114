package core_test

import (
	"strings"
	"testing"
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/wire"
)

// TestScale plays a full fleet of 1,000 machines with seven nodes through a minute of
// work, a leader's end included, and counts what it asks of the state service and how many
// workers it calls at once.
func TestScale(t *testing.T) {
	cluster := newLargeScaleCluster(t, 7, 1000)
	cluster.playLoad(500, 60, 60)
	if cluster.rented < 600 {
		t.Fatalf("only %d machines are up: the day is too small to tell", cluster.rented)
	}
	cluster.counts = scaleCounts{}
	cluster.restartLeader()
	const seconds = 60
	cluster.playLoad(0, 0, seconds)
	c, p := cluster.counts, cluster.lastSettings.Params.Store
	t.Logf("%d machines, %d reports, %+v", cluster.rented, c.heartbeats, c)
	if c.heartbeats < seconds*200 {
		t.Errorf("%d reports: the workers do not report", c.heartbeats)
	}
	if n := c.transactions + c.gets + c.lists; float64(n) > 0.9*seconds*p.RPS {
		t.Errorf("%d requests to the state service in %d s, of %v a second", n, seconds, p.RPS)
	}
	if float64(c.writes) > 0.9*seconds*p.WriteRPS {
		t.Errorf("%d writes in %d s, of %v a second", c.writes, seconds, p.WriteRPS)
	}
	if most := cluster.lastSettings.Params.Limits.MaxConnections / 8; c.mostConcurrentCalls > most || c.mostConcurrentCalls == 0 {
		t.Errorf("%d calls to workers at once, of %d", c.mostConcurrentCalls, most)
	}
	// The cloud's list has two pages, and it is read every list lag.
	if lists := seconds / int(cluster.lastSettings.Params.Cloud.ListLagS); c.releasedWithWork > 0 || c.pages < 2*lists-2 {
		t.Errorf("%d machines with work were released; %d pages of %d lists", c.releasedWithWork, c.pages, lists)
	}
	if c.largestTransaction > p.TxnOps {
		t.Errorf("a transaction with %d changes, of %d", c.largestTransaction, p.TxnOps)
	}
}

// TestZoneKept cuts the workers of a large zone off from the leader's. Nodes of their own
// zone keep them, and pass on more reports than one transaction holds: the leader releases
// none of them, however long it lasts.
func TestZoneKept(t *testing.T) {
	cluster := newLargeScaleCluster(t, 3, 0)
	cluster.addMachines(400, "z1", "z2")
	cluster.playLoad(400, 0, 20)
	cluster.counts = scaleCounts{}
	cluster.isolatedZone = "z2"
	cluster.runFor(60 * time.Second)
	if n := cluster.counts.releasedWithWork; n > 0 || len(storedKeys(cluster.store, "w/k/")) < 6 {
		t.Errorf("%d machines of the zone were released, reports are in %v", n, storedKeys(cluster.store, "w/k/"))
	}
	t.Logf("%+v", cluster.counts)
}

// TestWorkFollowsChange plays the same jobs on a fleet of 50 and of 200 machines. What is
// asked of the state service and of the workers follows the jobs, not the fleet.
func TestWorkFollowsChange(t *testing.T) {
	play := func(machines int) scaleCounts {
		cluster := newScaleCluster(t, 3, 0)
		cluster.addMachines(machines)
		cluster.runFor(10 * time.Second)
		cluster.counts = scaleCounts{}
		cluster.playLoad(10, 2, 30)
		return cluster.counts
	}
	few, many := play(50), play(200)
	t.Logf("50 machines %+v", few)
	t.Logf("200 machines %+v", many)
	more := func(what string, a, b int, times float64) {
		if a == 0 || float64(b) > times*float64(a) {
			t.Errorf("%s: %d on 50 machines, %d on 200", what, a, b)
		}
	}
	more("transactions", few.transactions, many.transactions, 1.2)
	more("writes", few.writes, many.writes, 1.2)
	more("bytes written", few.bytes, many.bytes, 1.2)
	// With more machines the same tasks are on more of them.
	more("orders", few.commands, many.commands, 1.5)
}

// TestRoundBudget plays a full fleet, more jobs than it holds, under a budget of a few
// evaluations a second. The rounds keep within it, and a service and an array that come
// then get their turn all the same once there is room.
func TestRoundBudget(t *testing.T) {
	cluster := newScaleCluster(t, 1, 0)
	cluster.operator.CycleBudget = 0.0001
	cluster.startNode(0)
	cluster.addMachines(100)
	const seconds = 120
	cluster.playLoad(150, 20, seconds)
	n := cluster.nodes[0].core
	// A round that is out of budget, two a second at the most, still makes a step: a search that looks at a few
	// machines.
	most := n.EvaluationsPerSecond()*seconds + 2*seconds*20
	t.Logf("%d evaluations of %.0f, %+v", n.Evaluations(), most, cluster.counts)
	if evaluations := float64(n.Evaluations()); evaluations > most || evaluations < most/2 {
		t.Errorf("%.0f evaluations in %d s, of %.0f", evaluations, seconds, most)
	}
	for _, kind := range []string{"run-0", "run-a"} {
		late := 0
		for task := range cluster.workerByTask {
			if strings.HasPrefix(task, kind) && task[5:10] > "00175" {
				late++
			}
		}
		if late == 0 {
			t.Errorf("no task of a late job %s runs", kind)
		}
	}
}

// TestSlowProcessor plays rounds on a processor on which an evaluation takes fifty times what is
// assumed at first. Once that is measured, rounds keep to their share of the time.
func TestSlowProcessor(t *testing.T) {
	cluster := newScaleCluster(t, 1, 0)
	cluster.evaluationCost = 5 * time.Microsecond
	cluster.addMachines(200)
	cluster.playLoad(200, 40, 30)
	n := cluster.nodes[0].core
	before := n.Evaluations()
	const seconds = 60
	cluster.playLoad(100, 40, seconds)
	spent := time.Duration(n.Evaluations()-before) * cluster.evaluationCost
	share := time.Duration(cluster.operator.CycleBudget * cluster.lastSettings.Params.Limits.CPUShare * seconds * float64(time.Second))
	t.Logf("%v of %v", spent, share)
	if spent > share*3/2 || spent < share/20 {
		t.Errorf("rounds took %v, of %v", spent, share)
	}
}

// TestFinishedJobsAreBounded ends more jobs than a node remembers. What it remembers stays
// within the bound, and a job that it forgot is answered from the state service.
func TestFinishedJobsAreBounded(t *testing.T) {
	cluster := newScaleCluster(t, 2, 0)
	cluster.memoryMB = 0.2 // 20 final states
	for i := range cluster.nodes {
		cluster.startNode(i)
	}
	cluster.addMachines(4)
	cluster.runFor(3 * time.Second)
	for i := 0; i < 60; i++ {
		cluster.submit(wire.Job{Kind: wire.KindService, Tasks: 1, GPUs: 1})
		cluster.runFor(200 * time.Millisecond)
		cluster.lastRequest++
		cluster.step(cluster.nodes[0], core.CancelJob{RequestID: cluster.lastRequest << 16, ID: cluster.liveServices[i]})
	}
	cluster.runFor(40 * time.Second)
	if n := len(storedKeys(cluster.store, "f/")); n != 60 {
		t.Fatalf("%d jobs ended, of 60", n)
	}
	for _, node := range cluster.nodes {
		if k := node.core.FinalStateCount(); k == 0 || k > 20 {
			t.Errorf("%s remembers %d final states, of 20", node.name, k)
		}
	}
	gets := cluster.counts.gets
	cluster.lastRequest++
	cluster.lastAnswer = nil
	cluster.step(cluster.nodes[1], core.GetJob{RequestID: cluster.lastRequest << 16, ID: cluster.liveServices[0]})
	cluster.runFor(time.Second)
	if s, ok := cluster.lastAnswer.(wire.JobResponse); !ok || s.Status != wire.JobCancelled || cluster.counts.gets == gets {
		t.Errorf("the first job is answered %+v after %d reads", cluster.lastAnswer, cluster.counts.gets-gets)
	}
}

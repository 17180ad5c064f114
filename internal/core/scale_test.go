package core_test

import (
	"strings"
	"testing"
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/wire"
)

// TestScale runs a full fleet of 1,000 machines with seven nodes for one minute after a restart of the leader. Calls to
// the key-value store, concurrent calls to workers and the size of transactions must stay within the configured limits,
// and no machine with tasks may be released.
func TestScale(t *testing.T) {
	cluster := newLargeScaleCluster(t, 7, 1000)
	cluster.runLoad(500, 60, 60)
	if cluster.rentedMachines < 600 {
		t.Fatalf("got %d machines that are up, want at least 600 for a meaningful load", cluster.rentedMachines)
	}
	cluster.counts = scaleCounts{}
	cluster.restartLeader()
	const seconds = 60
	cluster.runLoad(0, 0, seconds)
	counts, store := cluster.counts, cluster.lastSettings.Params.Store
	t.Logf("%d machines, %d heartbeats, %+v", cluster.rentedMachines, counts.heartbeats, counts)
	if counts.heartbeats < seconds*200 {
		t.Errorf("got %d heartbeats, want at least 200 per second", counts.heartbeats)
	}
	if requests := counts.transactions + counts.gets + counts.lists; float64(requests) > 0.9*seconds*store.RPS {
		t.Errorf("got %d requests to the key-value store in %d s, want at most 90%% of %v per second", requests, seconds, store.RPS)
	}
	if float64(counts.writes) > 0.9*seconds*store.WriteRPS {
		t.Errorf("got %d writes in %d s, want at most 90%% of %v per second", counts.writes, seconds, store.WriteRPS)
	}
	if limit := cluster.lastSettings.Params.Limits.MaxConnections / 8; counts.mostConcurrentCalls > limit || counts.mostConcurrentCalls == 0 {
		t.Errorf("got %d concurrent calls to workers, want 1 to %d", counts.mostConcurrentCalls, limit)
	}
	// The cloud's list has two pages and is read once per list lag.
	if lists := seconds / int(cluster.lastSettings.Params.Cloud.ListLagS); counts.releasedWithTasks > 0 || counts.pages < 2*lists-2 {
		t.Errorf("%d machines with tasks were released, want 0; got %d pages, want 2 for each of %d lists", counts.releasedWithTasks, counts.pages, lists)
	}
	if counts.largestTransaction > store.TxnOps {
		t.Errorf("got a transaction with %d changes, want at most %d", counts.largestTransaction, store.TxnOps)
	}
}

// TestIsolatedZoneKeepsMachines cuts a zone of 200 workers off from the leader's zone for a minute. Nodes of the
// isolated zone relay the workers' heartbeats through the key-value store, more of them than fit into one transaction.
// The leader must not release any of these machines.
func TestIsolatedZoneKeepsMachines(t *testing.T) {
	cluster := newLargeScaleCluster(t, 3, 0)
	cluster.addMachines(400, "z1", "z2")
	cluster.runLoad(400, 0, 20)
	cluster.counts = scaleCounts{}
	cluster.isolatedZone = "z2"
	cluster.runFor(60 * time.Second)
	if released := cluster.counts.releasedWithTasks; released > 0 || len(storedKeys(cluster.store, "w/k/")) < 6 {
		t.Errorf("%d machines with tasks were released, want 0; relayed heartbeats are in %v, want at least 6 keys", released, storedKeys(cluster.store, "w/k/"))
	}
	t.Logf("%+v", cluster.counts)
}

// TestCallsScaleWithJobs runs the same jobs on fleets of 50 and of 200 machines. The number of calls to the key-value
// store and to workers must depend on the jobs, not on the size of the fleet.
func TestCallsScaleWithJobs(t *testing.T) {
	run := func(machines int) scaleCounts {
		cluster := newScaleCluster(t, 3, 0)
		cluster.addMachines(machines)
		cluster.runFor(10 * time.Second)
		cluster.counts = scaleCounts{}
		cluster.runLoad(10, 2, 30)
		return cluster.counts
	}
	few, many := run(50), run(200)
	t.Logf("50 machines %+v", few)
	t.Logf("200 machines %+v", many)
	checkGrowth := func(name string, small, large int, factor float64) {
		if small == 0 || float64(large) > factor*float64(small) {
			t.Errorf("%s: got %d on 50 machines and %d on 200, want about as many", name, small, large)
		}
	}
	checkGrowth("transactions", few.transactions, many.transactions, 1.2)
	checkGrowth("writes", few.writes, many.writes, 1.2)
	checkGrowth("bytes written", few.bytes, many.bytes, 1.2)
	// On the larger fleet the same tasks are spread over more machines.
	checkGrowth("direct commands", few.commands, many.commands, 1.5)
}

// TestCycleBudget runs a fleet with more jobs than it has capacity for, on a budget of few evaluations per second. The
// scheduling cycles must keep to the budget, and services and arrays that are submitted late must still be scheduled
// once there is capacity.
func TestCycleBudget(t *testing.T) {
	cluster := newScaleCluster(t, 1, 0)
	cluster.operator.CycleBudget = 0.0001
	cluster.startNode(0)
	cluster.addMachines(100)
	const seconds = 120
	cluster.runLoad(150, 20, seconds)
	node := cluster.nodes[0].core
	// A cycle that is out of budget still makes one step, a search that evaluates a few machines. There are at most two
	// such cycles per second.
	limit := node.EvaluationsPerSecond()*seconds + 2*seconds*20
	t.Logf("%d evaluations, limit %.0f, %+v", node.Evaluations(), limit, cluster.counts)
	if evaluations := float64(node.Evaluations()); evaluations > limit || evaluations < limit/2 {
		t.Errorf("got %.0f evaluations in %d s, want between half and all of %.0f", evaluations, seconds, limit)
	}
	for _, kind := range []string{"run-0", "run-a"} {
		lateTasks := 0
		for task := range cluster.workerByTask {
			if strings.HasPrefix(task, kind) && task[5:10] > "00175" {
				lateTasks++
			}
		}
		if lateTasks == 0 {
			t.Errorf("no task of a late job %s... runs, want at least one", kind)
		}
	}
}

// TestSlowProcessor runs scheduling cycles on a CPU on which an evaluation takes fifty times the initially assumed
// time. Once the cost has been measured, the cycles must keep to their share of CPU time.
func TestSlowProcessor(t *testing.T) {
	cluster := newScaleCluster(t, 1, 0)
	cluster.evaluationCost = 5 * time.Microsecond
	cluster.addMachines(200)
	cluster.runLoad(200, 40, 30)
	node := cluster.nodes[0].core
	before := node.Evaluations()
	const seconds = 60
	cluster.runLoad(100, 40, seconds)
	spent := time.Duration(node.Evaluations()-before) * cluster.evaluationCost
	allowed := time.Duration(cluster.operator.CycleBudget * cluster.lastSettings.Params.Limits.CPUShare * seconds * float64(time.Second))
	t.Logf("%v of %v allowed", spent, allowed)
	if spent > allowed*3/2 || spent < allowed/20 {
		t.Errorf("scheduling cycles took %v, want between 5%% and 150%% of %v", spent, allowed)
	}
}

// TestFinishedJobsAreBounded ends more jobs than a node keeps final states of. The number kept must stay within the
// bound, and a job whose final state was evicted must be read from the key-value store.
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
	if stored := len(storedKeys(cluster.store, "f/")); stored != 60 {
		t.Fatalf("got %d ended jobs, want 60", stored)
	}
	for _, node := range cluster.nodes {
		if remembered := node.core.FinalStateCount(); remembered == 0 || remembered > 20 {
			t.Errorf("%s keeps %d final states, want 1 to 20", node.name, remembered)
		}
	}
	gets := cluster.counts.gets
	cluster.lastRequest++
	cluster.lastResponse = nil
	cluster.step(cluster.nodes[1], core.GetJob{RequestID: cluster.lastRequest << 16, ID: cluster.liveServices[0]})
	cluster.runFor(time.Second)
	if state, ok := cluster.lastResponse.(wire.JobResponse); !ok || state.Status != wire.JobCancelled || cluster.counts.gets == gets {
		t.Errorf("got response %+v for the first job after %d reads, want it cancelled after at least one read", cluster.lastResponse, cluster.counts.gets-gets)
	}
}

package core_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// TestReplicasPlacedInOneCycleAreSpread places nine replicas of a model in one cycle while no machine has the image,
// like those of a new version in a rollout. Then it places more replicas of the model for another job. Both must be
// balanced over the zones.
func TestReplicasPlacedInOneCycleAreSpread(t *testing.T) {
	cluster := newSpreadCluster(t, spreadSettings, threeZones)
	cluster.runService("run-000001", 9, "img-a", 8)
	cluster.expectReplicas("nine replicas at once", 3, 3, 3)
	cluster.runService("run-000002", 3, "img-a", 8)
	cluster.expectReplicas("three more replicas of the model", 4, 4, 4)
	disabled := spreadSettings
	disabled.Enabled = false
	cluster = newSpreadCluster(t, disabled, threeZones)
	cluster.runService("run-000001", 9, "img-a", 8)
	if zones := cluster.replicasByZone(""); len(zones) > 2 {
		t.Errorf("without spreading, the replicas are in %v, want at most two zones: the test would not detect missing spreading", zones)
	}
}

// TestImageLoadAgainstSpread uses weights whose load time exceeds the expected loss, so replicas remain in the zone
// with the weights. With a higher loss rate they must spread.
func TestImageLoadAgainstSpread(t *testing.T) {
	for _, c := range []struct {
		zoneLosses float64
		zones      int
	}{{0.001, 1}, {1, 3}} {
		spread := spreadSettings
		spread.ZoneLossesPerDay, spread.MachineLossesPerDay = c.zoneLosses, 0
		cluster := newSpreadCluster(t, spread, threeZones)
		cluster.runService("run-000001", 1, "img-a", 40)
		cluster.runService("run-000002", 5, "img-a", 40)
		if zones := cluster.replicasByZone(""); len(zones) != c.zones {
			t.Errorf("%g zone losses per day: got replicas in %v, want %d zones", c.zoneLosses, zones, c.zones)
		}
	}
}

// TestZonesWithoutCapacity has a zone without machines, a zone with space for one replica, and an image larger than the
// cache of a machine.
func TestZonesWithoutCapacity(t *testing.T) {
	cluster := newSpreadCluster(t, spreadSettings, map[string]int{"z1": 6, "z2": 6})
	cluster.runService("run-000001", 8, "img-a", 8)
	cluster.expectReplicas("zone z3 without machines", 4, 4, 0)
	cluster = newSpreadCluster(t, spreadSettings, map[string]int{"z1": 6, "z2": 1, "z3": 6})
	cluster.submitAt(cluster.nodes[0], &wire.Job{ID: "run-000009", Kind: wire.KindService, Class: "c", Team: "t2", Tasks: 1, CPUs: 4, GPUs: 7, MemoryGB: 20,
		Priority: "prod", Zone: "z2", Image: "img-z", ImageGB: 1})
	cluster.runFor(10 * time.Second)
	cluster.runService("run-000001", 9, "img-a", 8)
	if zones := cluster.replicasByZone("run-000001"); zones["z2"] != 1 || zones["z1"] != 4 || zones["z3"] != 4 {
		t.Errorf("zone z2 has space for one replica: got %v, want 4, 1, 4", zones)
	}
	cluster = newSpreadCluster(t, spreadSettings, threeZones)
	cluster.runService("run-000001", 6, "img-a", 310)
	cluster.runFor(80 * time.Second)
	cluster.expectReplicas("image larger than the cache", 2, 2, 2)
}

// TestSingleZone has a single zone, where no loss can be avoided. Each task must be placed on the same machine as
// without spreading.
func TestSingleZone(t *testing.T) {
	placementsWith := func(enabled bool) string {
		spread := spreadSettings
		spread.Enabled, spread.MachineLossesPerDay = enabled, 0
		cluster := newSpreadCluster(t, spread, map[string]int{"z1": 12})
		for i := range 8 {
			cluster.runService(fmt.Sprintf("run-%06d", i), 1+i%4, fmt.Sprintf("img-%d", i%3), 8)
		}
		machineByTask := map[string]string{}
		for task, worker := range cluster.workerByTask {
			machineByTask[task] = worker.name
		}
		return fmt.Sprint(machineByTask)
	}
	if on, off := placementsWith(true), placementsWith(false); on != off {
		t.Errorf("with spreading:\n%s\nwithout:\n%s", on, off)
	}
}

// TestZoneLostWithAllReadyCopies kills the zone that holds all ready copies of an image. The replicas must come back in
// both of the other zones.
func TestZoneLostWithAllReadyCopies(t *testing.T) {
	disabled := spreadSettings
	disabled.Enabled = false
	cluster := newSpreadCluster(t, disabled, threeZones)
	cluster.runService("run-000001", 6, "img-a", 8)
	zone := ""
	for z, n := range cluster.replicasByZone("") {
		if n == 6 {
			zone = z
		}
	}
	if zone == "" {
		t.Fatalf("replicas are in %v, want a single zone", cluster.replicasByZone(""))
	}
	cluster.operator.Spread = spreadSettings
	cluster.operator.Spread.MovesPerHour = 0 // so that replicas stay in place when spreading is enabled
	cluster.restartNodes()
	cluster.runFor(10 * time.Second)
	cluster.killZone(zone)
	cluster.runFor(90 * time.Second)
	if zones := cluster.replicasByZone(""); len(zones) != 2 || zones[zone] != 0 {
		t.Errorf("after the loss of %s: got replicas in %v, want both other zones", zone, zones)
	}
}

// TestRepeatedZoneLoss kills and restores a zone ten times, and restarts the leader during two of the rebalancing
// phases. Only the replicas needed for balance may move, one at a time, and they must stay afterwards.
func TestRepeatedZoneLoss(t *testing.T) {
	cluster := newSpreadCluster(t, spreadSettings, threeZones)
	cluster.runService("run-000001", 6, "img-a", 8)
	cluster.expectReplicas("before the first loss", 2, 2, 2)
	for i := range 10 {
		cluster.killZone("z3")
		cluster.runFor(60 * time.Second)
		cluster.expectReplicas(fmt.Sprint("loss ", i), 3, 3, 0)
		cluster.addMachines(6, "z3")
		cluster.starts = 0
		minRunning := 6
		for range 60 {
			cluster.runFor(time.Second)
			minRunning = min(minRunning, len(cluster.zoneOf))
			if i%5 == 2 && cluster.starts == 1 {
				cluster.restartLeader()
				cluster.starts++ // restart only once
			}
		}
		cluster.expectReplicas(fmt.Sprint("restoration ", i), 2, 2, 2)
		if moved := cluster.starts; moved > 3 || minRunning < 5 {
			t.Errorf("restoration %d: %d starts, want at most 3; at least %d of 6 replicas ran, want 5 or more", i, moved, minRunning)
		}
	}
}

// TestLossOfOnlyImageCopy kills the only machine with the weights, three times. The replica must come back on another
// machine each time.
func TestLossOfOnlyImageCopy(t *testing.T) {
	cluster := newSpreadCluster(t, spreadSettings, threeZones)
	cluster.runService("run-000001", 1, "img-a", 8)
	for range 3 {
		holder := cluster.workerByTask["run-000001/0"]
		holder.stopped = true
		holder.machine.KillAll()
		cluster.runFor(60 * time.Second)
		if next := cluster.workerByTask["run-000001/0"]; len(cluster.zoneOf) != 1 || next == holder {
			t.Fatalf("got running replicas %v, want one, restarted on another machine", cluster.zoneOf)
		}
	}
}

// TestRebalancingKeepsConstraints checks that no replica is moved without a budget, or if its job is bound to a zone.
func TestRebalancingKeepsConstraints(t *testing.T) {
	noMoves := spreadSettings
	noMoves.MovesPerHour = 0
	cluster := newSpreadCluster(t, noMoves, map[string]int{"z1": 6, "z2": 6, "z3": 6})
	cluster.killZone("z3")
	cluster.runFor(60 * time.Second)
	cluster.runService("run-000001", 6, "img-a", 8)
	cluster.addMachines(6, "z3")
	cluster.runFor(60 * time.Second)
	cluster.expectReplicas("no budget for moves", 3, 3, 0)

	cluster = newSpreadCluster(t, spreadSettings, threeZones)
	cluster.submitAt(cluster.nodes[0], &wire.Job{ID: "run-000001", Kind: wire.KindService, Class: "c", Team: "t1", Tasks: 4, CPUs: 4, GPUs: 1, MemoryGB: 20,
		Priority: "prod", Image: "img-a", ImageGB: 8, Zone: "z1"})
	cluster.runFor(60 * time.Second)
	cluster.expectReplicas("service bound to zone z1", 4, 0, 0)
}

// TestNewLeaderCountsRunningReplicas checks that a new leader counts the running replicas before it places more.
func TestNewLeaderCountsRunningReplicas(t *testing.T) {
	cluster := newSpreadCluster(t, spreadSettings, threeZones)
	cluster.runService("run-000001", 3, "img-a", 8)
	cluster.restartLeader()
	cluster.runFor(8 * time.Second)
	cluster.runService("run-000002", 3, "img-a", 8)
	cluster.expectReplicas("after a change of leader", 2, 2, 2)
	for _, node := range cluster.nodes {
		if err := node.core.CheckCapacityIndex(); err != nil {
			t.Error(err)
		}
	}
}

// TestPlacementCosts requests the placements of a job. For a replica that was not placed on the best fit, the response
// must hold the cost of the best fit.
func TestPlacementCosts(t *testing.T) {
	cluster := newSpreadCluster(t, spreadSettings, threeZones)
	cluster.runService("run-000001", 1, "img-a", 8)
	cluster.runService("run-000002", 1, "img-b", 8)
	cluster.runService("run-000003", 3, "img-a", 8)
	getPlacements := func(id string) core.Response {
		var got core.Response
		cluster.onResponse = func(response core.Response) bool { got = response; return true }
		cluster.step(cluster.leaderNode(), core.GetPlacements{RequestID: 1 << 40, Job: id})
		cluster.onResponse = nil
		return got
	}
	placements, ok := getPlacements("run-000003").Body.([]core.ReplicaPlacement)
	if !ok || len(placements) != 3 {
		t.Fatalf("got placements %+v, want 3", placements)
	}
	displaced := 0
	for _, p := range placements {
		if !p.PlacedByThisLeader || !p.SpreadWeighed || !strings.HasPrefix(p.Task, "run-000003/") {
			t.Errorf("got %+v, want a replica placed by this leader with spread weighed", p)
		}
		if p.BestFit != "" && p.BestFit != p.Machine && p.AvoidedLossS > p.ImageLoadS-p.BestFitLoadS && p.ImageLoadS > 0 {
			displaced++
		}
	}
	if displaced == 0 {
		t.Errorf("no replica was placed away from its best fit for balance: %+v", placements)
	}
	if response := getPlacements("run-000099"); response.Status != 404 {
		t.Errorf("unknown job: got %+v, want status 404", response)
	}
	cluster.restartLeader()
	cluster.runFor(8 * time.Second)
	if placements, ok := getPlacements("run-000003").Body.([]core.ReplicaPlacement); !ok || len(placements) != 3 || placements[0].PlacedByThisLeader {
		t.Errorf("after a change of leader: got %+v, want 3 replicas placed by an earlier leader", placements)
	}
}

// TestStaleImageHints stores image hints that name a machine that has evicted the image, and a machine that no longer
// exists. A new leader must treat the image on a hinted machine as unconfirmed: preferred over a machine without the
// image, but not over a machine with a confirmed copy.
func TestStaleImageHints(t *testing.T) {
	cluster := newSpreadCluster(t, spreadSettings, threeZones)
	cluster.store.Txn(wire.Txn{Then: []wire.Op{{Put: "w/i/0", Value: []byte(`{"m0004":["img-a"],"m9999":["img-a"]}`)}}})
	cluster.restartLeader()
	cluster.runFor(12 * time.Second)
	cluster.runService("run-000001", 3, "img-a", 8)
	cluster.expectReplicas("stale image hints", 1, 1, 1)
	if replicas := cluster.workerByName["m0004"].machine.Running("run-000001"); replicas != 1 {
		t.Errorf("got %d replicas on the machine with the unconfirmed image, want 1", replicas)
	}

	cluster = newSpreadCluster(t, spreadSettings, map[string]int{"z1": 2})
	cluster.operator.Spread.MachineLossesPerDay = 0
	for i, gpus := range []float64{6, 4} { // 4 GPUs do not fit beside 6 on one machine
		cluster.submitAt(cluster.nodes[0], &wire.Job{ID: fmt.Sprintf("run-00000%d", i), Kind: wire.KindService, Class: "c", Team: "t1", Tasks: 1, CPUs: 4, GPUs: gpus,
			MemoryGB: 20, Priority: "prod", Image: []string{"img-f", "img-a"}[i], ImageGB: 8})
		cluster.runFor(10 * time.Second)
	}
	confirmed := cluster.workerByTask["run-000001/0"]
	if confirmed == cluster.workerByTask["run-000000/0"] {
		t.Fatal("both services are on one machine, want two machines")
	}
	cluster.store.Txn(wire.Txn{Then: []wire.Op{{Put: "w/i/0", Value: []byte(`{"m0001":["img-a"],"m0002":["img-a"]}`)}}})
	cluster.restartLeader()
	cluster.runFor(12 * time.Second)
	cluster.runService("run-000002", 1, "img-a", 8)
	if cluster.workerByTask["run-000002/0"] != confirmed {
		t.Error("a machine with an unconfirmed image was preferred over one with a confirmed image")
	}
}

// TestHangingMachineKeepsReplica makes the machine with the only copy of the weights hang repeatedly, each time for
// less than its lease. Its replica must be neither restarted nor moved.
func TestHangingMachineKeepsReplica(t *testing.T) {
	cluster := newSpreadCluster(t, spreadSettings, threeZones)
	cluster.runService("run-000001", 1, "img-a", 8)
	holder := cluster.workerByTask["run-000001/0"]
	cluster.starts = 0
	for range 5 {
		holder.stopped = true
		cluster.runFor(3 * time.Second)
		holder.stopped = false
		cluster.runFor(5 * time.Second)
	}
	if cluster.workerByTask["run-000001/0"] != holder || cluster.starts != 0 || len(cluster.zoneOf) != 1 {
		t.Errorf("got %d starts, want 0; got running replicas %v, want one, on its machine", cluster.starts, cluster.zoneOf)
	}
}

// TestPrefetchIntoEachZone prefetches a copy of a model's weights into each zone, within the budget. After the loss of
// the zone with all replicas, they must start without waiting for the weights. If workers do not support the request,
// it must not be repeated.
func TestPrefetchIntoEachZone(t *testing.T) {
	settings := spreadSettings
	settings.ZoneLossesPerDay, settings.MachineLossesPerDay, settings.MovesPerHour = 0, 0, 0 // so that replicas stay with their weights
	settings.PrefetchGBPerHour = 100
	cluster := newSpreadCluster(t, settings, threeZones)
	cluster.runService("run-000001", 3, "img-a", 40)
	cluster.runService("run-000002", 1, "img-b", 40) // beyond the budget
	if cluster.prefetched != 2 {
		t.Errorf("got %d requested copies, want one for each of the two other zones of the first model", cluster.prefetched)
	}
	zone := cluster.zoneOf["run-000001/0"]
	maxWait := time.Duration(0)
	startedAt := map[string]time.Duration{}
	cluster.onStart = func(task string) { startedAt[task] = cluster.now }
	countRunning := cluster.onRunning
	cluster.onRunning = func(machine, task string) {
		countRunning(machine, task)
		if strings.HasPrefix(task, "run-000001/") {
			maxWait = max(maxWait, cluster.now-startedAt[task])
		}
	}
	cluster.killZone(zone)
	cluster.runFor(60 * time.Second)
	if n := cluster.replicasByZone("run-000001"); n[zone] != 0 || len(cluster.zoneOf) != 4 || maxWait > time.Second {
		t.Errorf("after the loss of %s: got replicas in %v and a longest wait for weights of %v, want 4 running in other zones and at most 1 s", zone, n, maxWait)
	}

	cluster = newSpreadCluster(t, settings, threeZones)
	cluster.prefetchOutcome = outcome.NotFound
	cluster.runService("run-000001", 3, "img-a", 8)
	cluster.runFor(20 * time.Second)
	if cluster.prefetched > 2 {
		t.Errorf("got %d requests to workers that do not support prefetching, want at most 2", cluster.prefetched)
	}
	if len(cluster.zoneOf) != 3 {
		t.Errorf("got running replicas %v, want 3", cluster.zoneOf)
	}
}

// TestManyModelsOnFullFleet has no spare capacity for balancing. All replicas must run nevertheless.
func TestManyModelsOnFullFleet(t *testing.T) {
	cluster := newSpreadCluster(t, spreadSettings, map[string]int{"z1": 2, "z2": 2, "z3": 2})
	for i := range 24 {
		cluster.submitAt(cluster.nodes[0], &wire.Job{ID: fmt.Sprintf("run-%06d", i), Kind: wire.KindService, Class: "c", Team: "t1", Tasks: 2, CPUs: 1, GPUs: 1,
			MemoryGB: 1, Priority: "prod", Image: fmt.Sprint("img-", i), ImageGB: 8})
	}
	cluster.runFor(90 * time.Second)
	cluster.expectReplicas("full fleet", 16, 16, 16)
}

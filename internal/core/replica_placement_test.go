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
	world := newSpreadCluster(t, spreadSettings, threeZones)
	world.runService("run-000001", 9, "img-a", 8)
	world.expectReplicas("nine replicas at once", 3, 3, 3)
	world.runService("run-000002", 3, "img-a", 8)
	world.expectReplicas("three more replicas of the model", 4, 4, 4)
	disabled := spreadSettings
	disabled.Enabled = false
	world = newSpreadCluster(t, disabled, threeZones)
	world.runService("run-000001", 9, "img-a", 8)
	if zones := world.replicasByZone(""); len(zones) > 2 {
		t.Errorf("without spreading, the replicas are in %v, want at most two zones: the test would not detect missing spreading", zones)
	}
}

// TestImageLoadAgainstSpread has weights whose load time exceeds the expected loss, so replicas stay in the zone with
// the weights. With a higher loss rate they must spread.
func TestImageLoadAgainstSpread(t *testing.T) {
	for _, c := range []struct {
		zoneLosses float64
		zones      int
	}{{0.001, 1}, {1, 3}} {
		spread := spreadSettings
		spread.ZoneLossesPerDay, spread.MachineLossesPerDay = c.zoneLosses, 0
		world := newSpreadCluster(t, spread, threeZones)
		world.runService("run-000001", 1, "img-a", 40)
		world.runService("run-000002", 5, "img-a", 40)
		if zones := world.replicasByZone(""); len(zones) != c.zones {
			t.Errorf("%g zone losses per day: replicas in %v, want %d zones", c.zoneLosses, zones, c.zones)
		}
	}
}

// TestZonesWithoutCapacity has a zone without machines, a zone with space for one replica, and an image larger than the
// cache of a machine.
func TestZonesWithoutCapacity(t *testing.T) {
	world := newSpreadCluster(t, spreadSettings, map[string]int{"z1": 6, "z2": 6})
	world.runService("run-000001", 8, "img-a", 8)
	world.expectReplicas("zone z3 without machines", 4, 4, 0)
	world = newSpreadCluster(t, spreadSettings, map[string]int{"z1": 6, "z2": 1, "z3": 6})
	world.submitAt(world.nodes[0], &wire.Job{ID: "run-000009", Kind: wire.KindService, Class: "c", Team: "t2", Tasks: 1, CPUs: 4, GPUs: 7, MemoryGB: 20,
		Priority: "prod", Zone: "z2", Image: "img-z", ImageGB: 1})
	world.runFor(10 * time.Second)
	world.runService("run-000001", 9, "img-a", 8)
	if zones := world.replicasByZone("run-000001"); zones["z2"] != 1 || zones["z1"] != 4 || zones["z3"] != 4 {
		t.Errorf("zone z2 has space for one replica: got %v, want 4, 1, 4", zones)
	}
	world = newSpreadCluster(t, spreadSettings, threeZones)
	world.runService("run-000001", 6, "img-a", 310)
	world.runFor(80 * time.Second)
	world.expectReplicas("image larger than the cache", 2, 2, 2)
}

// TestSingleZone has a single zone, where no loss can be avoided. Each task must be placed on the same machine as
// without spreading.
func TestSingleZone(t *testing.T) {
	placementsWith := func(enabled bool) string {
		spread := spreadSettings
		spread.Enabled, spread.MachineLossesPerDay = enabled, 0
		world := newSpreadCluster(t, spread, map[string]int{"z1": 12})
		for i := range 8 {
			world.runService(fmt.Sprintf("run-%06d", i), 1+i%4, fmt.Sprintf("img-%d", i%3), 8)
		}
		machineByTask := map[string]string{}
		for task, worker := range world.workerByTask {
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
	world := newSpreadCluster(t, disabled, threeZones)
	world.runService("run-000001", 6, "img-a", 8)
	zone := ""
	for z, n := range world.replicasByZone("") {
		if n == 6 {
			zone = z
		}
	}
	if zone == "" {
		t.Fatalf("replicas are in %v, want a single zone", world.replicasByZone(""))
	}
	world.operator.Spread = spreadSettings
	world.operator.Spread.MovesPerHour = 0 // so that replicas stay in place when spreading is enabled
	world.restartNodes()
	world.runFor(10 * time.Second)
	world.killZone(zone)
	world.runFor(90 * time.Second)
	if zones := world.replicasByZone(""); len(zones) != 2 || zones[zone] != 0 {
		t.Errorf("after the loss of %s: replicas in %v, want both other zones", zone, zones)
	}
}

// TestRepeatedZoneLoss kills and restores a zone ten times, and restarts the leader during two of the rebalancing
// phases. Only the replicas needed for balance may move, one at a time, and they must stay afterwards.
func TestRepeatedZoneLoss(t *testing.T) {
	world := newSpreadCluster(t, spreadSettings, threeZones)
	world.runService("run-000001", 6, "img-a", 8)
	world.expectReplicas("before the first loss", 2, 2, 2)
	for i := range 10 {
		world.killZone("z3")
		world.runFor(60 * time.Second)
		world.expectReplicas(fmt.Sprint("loss ", i), 3, 3, 0)
		world.addMachines(6, "z3")
		world.starts = 0
		minRunning := 6
		for range 60 {
			world.runFor(time.Second)
			minRunning = min(minRunning, len(world.zoneOf))
			if i%5 == 2 && world.starts == 1 {
				world.restartLeader()
				world.starts++ // restart only once
			}
		}
		world.expectReplicas(fmt.Sprint("restoration ", i), 2, 2, 2)
		if moved := world.starts; moved > 3 || minRunning < 5 {
			t.Errorf("restoration %d: %d starts, want at most 3; at least %d of 6 replicas ran, want 5 or more", i, moved, minRunning)
		}
	}
}

// TestLossOfOnlyImageCopy kills the only machine with the weights, three times. The replica must come back on another
// machine each time.
func TestLossOfOnlyImageCopy(t *testing.T) {
	world := newSpreadCluster(t, spreadSettings, threeZones)
	world.runService("run-000001", 1, "img-a", 8)
	for range 3 {
		holder := world.workerByTask["run-000001/0"]
		holder.stopped = true
		holder.machine.KillAll()
		world.runFor(60 * time.Second)
		if next := world.workerByTask["run-000001/0"]; len(world.zoneOf) != 1 || next == holder {
			t.Fatalf("the replica did not restart on another machine: running %v", world.zoneOf)
		}
	}
}

// TestRebalancingKeepsConstraints checks that no replica is moved without a budget, or if its job is bound to a zone.
func TestRebalancingKeepsConstraints(t *testing.T) {
	noMoves := spreadSettings
	noMoves.MovesPerHour = 0
	world := newSpreadCluster(t, noMoves, map[string]int{"z1": 6, "z2": 6, "z3": 6})
	world.killZone("z3")
	world.runFor(60 * time.Second)
	world.runService("run-000001", 6, "img-a", 8)
	world.addMachines(6, "z3")
	world.runFor(60 * time.Second)
	world.expectReplicas("no budget for moves", 3, 3, 0)

	world = newSpreadCluster(t, spreadSettings, threeZones)
	world.submitAt(world.nodes[0], &wire.Job{ID: "run-000001", Kind: wire.KindService, Class: "c", Team: "t1", Tasks: 4, CPUs: 4, GPUs: 1, MemoryGB: 20,
		Priority: "prod", Image: "img-a", ImageGB: 8, Zone: "z1"})
	world.runFor(60 * time.Second)
	world.expectReplicas("service bound to zone z1", 4, 0, 0)
}

// TestNewLeaderCountsRunningReplicas checks that a new leader counts the running replicas before it places more.
func TestNewLeaderCountsRunningReplicas(t *testing.T) {
	world := newSpreadCluster(t, spreadSettings, threeZones)
	world.runService("run-000001", 3, "img-a", 8)
	world.restartLeader()
	world.runFor(8 * time.Second)
	world.runService("run-000002", 3, "img-a", 8)
	world.expectReplicas("after a change of leader", 2, 2, 2)
	for _, node := range world.nodes {
		if err := node.core.CheckCapacityIndex(); err != nil {
			t.Error(err)
		}
	}
}

// TestPlacementCosts requests the placements of a job. For a replica that was not placed on the best fit, the response
// must hold the cost of the best fit.
func TestPlacementCosts(t *testing.T) {
	world := newSpreadCluster(t, spreadSettings, threeZones)
	world.runService("run-000001", 1, "img-a", 8)
	world.runService("run-000002", 1, "img-b", 8)
	world.runService("run-000003", 3, "img-a", 8)
	getPlacements := func(id string) core.Response {
		var got core.Response
		world.onResponse = func(response core.Response) bool { got = response; return true }
		world.step(world.leaderNode(), core.GetPlacements{RequestID: 1 << 40, Job: id})
		world.onResponse = nil
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
	world.restartLeader()
	world.runFor(8 * time.Second)
	if placements, ok := getPlacements("run-000003").Body.([]core.ReplicaPlacement); !ok || len(placements) != 3 || placements[0].PlacedByThisLeader {
		t.Errorf("after a change of leader: got %+v, want 3 replicas placed by an earlier leader", placements)
	}
}

// TestStaleImageHints stores image hints that name a machine that has evicted the image, and a machine that no longer
// exists. A new leader must treat the image on a hinted machine as unconfirmed: preferred over a machine without the
// image, but not over a machine with a confirmed copy.
func TestStaleImageHints(t *testing.T) {
	world := newSpreadCluster(t, spreadSettings, threeZones)
	world.store.Txn(wire.Txn{Then: []wire.Op{{Put: "w/i/0", Value: []byte(`{"m0004":["img-a"],"m9999":["img-a"]}`)}}})
	world.restartLeader()
	world.runFor(12 * time.Second)
	world.runService("run-000001", 3, "img-a", 8)
	world.expectReplicas("stale image hints", 1, 1, 1)
	if replicas := world.workerByName["m0004"].machine.Running("run-000001"); replicas != 1 {
		t.Errorf("%d replicas are on the machine with the unconfirmed image, want 1", replicas)
	}

	world = newSpreadCluster(t, spreadSettings, map[string]int{"z1": 2})
	world.operator.Spread.MachineLossesPerDay = 0
	for i, gpus := range []float64{6, 4} { // 4 GPUs do not fit beside 6 on one machine
		world.submitAt(world.nodes[0], &wire.Job{ID: fmt.Sprintf("run-00000%d", i), Kind: wire.KindService, Class: "c", Team: "t1", Tasks: 1, CPUs: 4, GPUs: gpus,
			MemoryGB: 20, Priority: "prod", Image: []string{"img-f", "img-a"}[i], ImageGB: 8})
		world.runFor(10 * time.Second)
	}
	confirmed := world.workerByTask["run-000001/0"]
	if confirmed == world.workerByTask["run-000000/0"] {
		t.Fatal("both services are on one machine")
	}
	world.store.Txn(wire.Txn{Then: []wire.Op{{Put: "w/i/0", Value: []byte(`{"m0001":["img-a"],"m0002":["img-a"]}`)}}})
	world.restartLeader()
	world.runFor(12 * time.Second)
	world.runService("run-000002", 1, "img-a", 8)
	if world.workerByTask["run-000002/0"] != confirmed {
		t.Error("a machine with an unconfirmed image was preferred over one with a confirmed image")
	}
}

// TestHangingMachineKeepsReplica lets the machine with the only copy of the weights hang repeatedly, each time for less
// than its lease. Its replica must be neither restarted nor moved.
func TestHangingMachineKeepsReplica(t *testing.T) {
	world := newSpreadCluster(t, spreadSettings, threeZones)
	world.runService("run-000001", 1, "img-a", 8)
	holder := world.workerByTask["run-000001/0"]
	world.starts = 0
	for range 5 {
		holder.stopped = true
		world.runFor(3 * time.Second)
		holder.stopped = false
		world.runFor(5 * time.Second)
	}
	if world.workerByTask["run-000001/0"] != holder || world.starts != 0 || len(world.zoneOf) != 1 {
		t.Errorf("%d starts, want 0; running: %v", world.starts, world.zoneOf)
	}
}

// TestPrefetchIntoEachZone prefetches a copy of a model's weights into each zone, within the budget. After the loss of
// the zone with all replicas, they must start without waiting for the weights. If workers do not support the request,
// it must not be repeated.
func TestPrefetchIntoEachZone(t *testing.T) {
	settings := spreadSettings
	settings.ZoneLossesPerDay, settings.MachineLossesPerDay, settings.MovesPerHour = 0, 0, 0 // so that replicas stay with their weights
	settings.PrefetchGBPerHour = 100
	world := newSpreadCluster(t, settings, threeZones)
	world.runService("run-000001", 3, "img-a", 40)
	world.runService("run-000002", 1, "img-b", 40) // beyond the budget
	if world.prefetched != 2 {
		t.Errorf("%d copies were requested, want one for each of the two other zones of the first model", world.prefetched)
	}
	zone := world.zoneOf["run-000001/0"]
	maxWait := time.Duration(0)
	startedAt := map[string]time.Duration{}
	world.onStart = func(task string) { startedAt[task] = world.now }
	countRunning := world.onRunning
	world.onRunning = func(machine, task string) {
		countRunning(machine, task)
		if strings.HasPrefix(task, "run-000001/") {
			maxWait = max(maxWait, world.now-startedAt[task])
		}
	}
	world.killZone(zone)
	world.runFor(60 * time.Second)
	if n := world.replicasByZone("run-000001"); n[zone] != 0 || len(world.zoneOf) != 4 || maxWait > time.Second {
		t.Errorf("after the loss of %s: replicas in %v, the longest wait for weights was %v", zone, n, maxWait)
	}

	world = newSpreadCluster(t, settings, threeZones)
	world.prefetchOutcome = outcome.NotFound
	world.runService("run-000001", 3, "img-a", 8)
	world.runFor(20 * time.Second)
	if world.prefetched > 2 {
		t.Errorf("%d requests to workers that do not support prefetching, want at most 2", world.prefetched)
	}
	if len(world.zoneOf) != 3 {
		t.Errorf("running replicas: %v, want 3", world.zoneOf)
	}
}

// TestManyModelsOnFullFleet has no spare capacity for balancing. All replicas must run nevertheless.
func TestManyModelsOnFullFleet(t *testing.T) {
	world := newSpreadCluster(t, spreadSettings, map[string]int{"z1": 2, "z2": 2, "z3": 2})
	for i := range 24 {
		world.submitAt(world.nodes[0], &wire.Job{ID: fmt.Sprintf("run-%06d", i), Kind: wire.KindService, Class: "c", Team: "t1", Tasks: 2, CPUs: 1, GPUs: 1,
			MemoryGB: 1, Priority: "prod", Image: fmt.Sprint("img-", i), ImageGB: 8})
	}
	world.runFor(90 * time.Second)
	world.expectReplicas("full fleet", 16, 16, 16)
}

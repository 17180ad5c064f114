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

// TestBurstIsSpread has nine replicas of a model whose image is nowhere placed in one cycle, as those of a rollout's new version, and then
// more of the same model in another job.
func TestBurstIsSpread(t *testing.T) {
	world := newSpreadWorld(t, losses, threeZones)
	world.service("run-000001", 9, "img-a", 8)
	world.expect("a wave", 3, 3, 3)
	world.service("run-000002", 3, "img-a", 8)
	world.expect("more of the model", 4, 4, 4)
	off := losses
	off.Enabled = false
	world = newSpreadWorld(t, off, threeZones)
	world.service("run-000001", 9, "img-a", 8)
	if zones := world.zones(""); len(zones) > 2 {
		t.Errorf("without weighing they are in %v: there is nothing to tell apart", zones)
	}
}

// TestImageLoadAgainstSpread has weights that take longer to load than what a balance is worth: replicas stay with them. With more losses
// expected they spread.
func TestImageLoadAgainstSpread(t *testing.T) {
	for _, x := range []struct {
		zoneLosses float64
		zones      int
	}{{0.001, 1}, {1, 3}} {
		spread := losses
		spread.ZoneLossesPerDay, spread.MachineLossesPerDay = x.zoneLosses, 0
		world := newSpreadWorld(t, spread, threeZones)
		world.service("run-000001", 1, "img-a", 40)
		world.service("run-000002", 5, "img-a", 40)
		if zones := world.zones(""); len(zones) != x.zones {
			t.Errorf("%g losses of a zone a day: %v, not %d zones", x.zoneLosses, zones, x.zones)
		}
	}
}

// TestZonesWithoutCapacity has zones of unequal size, one without machines, and images larger than a machine's cache.
func TestZonesWithoutCapacity(t *testing.T) {
	world := newSpreadWorld(t, losses, map[string]int{"z1": 6, "z2": 6})
	world.service("run-000001", 8, "img-a", 8)
	world.expect("one zone without machines", 4, 4, 0)
	world = newSpreadWorld(t, losses, map[string]int{"z1": 6, "z2": 1, "z3": 6})
	world.submitAt(world.nodes[0], &wire.Job{ID: "run-000009", Kind: wire.KindService, Class: "c", Team: "t2", Tasks: 1, CPUs: 4, GPUs: 7, MemoryGB: 20,
		Priority: "prod", Zone: "z2", Image: "img-z", ImageGB: 1})
	world.runFor(10 * time.Second)
	world.service("run-000001", 9, "img-a", 8)
	if zones := world.zones("run-000001"); zones["z2"] != 1 || zones["z1"] != 4 || zones["z3"] != 4 {
		t.Errorf("a zone with room for one: %v", zones)
	}
	world = newSpreadWorld(t, losses, threeZones)
	world.service("run-000001", 6, "img-a", 310)
	world.runFor(80 * time.Second)
	world.expect("an image larger than the cache", 2, 2, 2)
}

// TestOneZoneOnly has a single zone: nothing can be avoided, and each task goes where it goes without weighing.
func TestOneZoneOnly(t *testing.T) {
	holders := func(enabled bool) string {
		spread := losses
		spread.Enabled, spread.MachineLossesPerDay = enabled, 0
		world := newSpreadWorld(t, spread, map[string]int{"z1": 12})
		for i := range 8 {
			world.service(fmt.Sprintf("run-%06d", i), 1+i%4, fmt.Sprintf("img-%d", i%3), 8)
		}
		places := map[string]string{}
		for task, worker := range world.workerByTask {
			places[task] = worker.name
		}
		return fmt.Sprint(places)
	}
	if on, off := holders(true), holders(false); on != off {
		t.Errorf("weighed:\n%s\nnot weighed:\n%s", on, off)
	}
}

// TestZoneLostWithAllReadyCopies has all copies of the image in the zone that is lost. The replicas come back elsewhere, in balance, and once
// the zone is there again some return to it, a replica at a time; with all of the model running in between.
func TestZoneLostWithAllReadyCopies(t *testing.T) {
	off := losses
	off.Enabled = false
	world := newSpreadWorld(t, off, threeZones)
	world.service("run-000001", 6, "img-a", 8)
	zone := ""
	for z, n := range world.zones("") {
		if n == 6 {
			zone = z
		}
	}
	if zone == "" {
		t.Fatalf("the replicas are not in one zone: %v", world.zones(""))
	}
	world.operator.Spread = losses
	world.operator.Spread.MovesPerHour = 0 // as it is when weighing is switched on
	world.restartNodes()
	world.runFor(10 * time.Second)
	world.loseZone(zone)
	world.runFor(90 * time.Second)
	if zones := world.zones(""); len(zones) != 2 || zones[zone] != 0 {
		t.Errorf("after the loss of %s: %v", zone, zones)
	}
}

// TestZonesCutAndHealed loses and returns a zone ten times, with the leader's end in the midst of two repairs. Replicas move as often as the
// balance needs, and stay then.
func TestZonesCutAndHealed(t *testing.T) {
	world := newSpreadWorld(t, losses, threeZones)
	world.service("run-000001", 6, "img-a", 8)
	world.expect("at first", 2, 2, 2)
	for i := range 10 {
		world.loseZone("z3")
		world.runFor(60 * time.Second)
		world.expect(fmt.Sprint("lost for the time ", i), 3, 3, 0)
		world.addMachines(6, "z3")
		world.starts = 0
		least := 6
		for range 60 {
			world.runFor(time.Second)
			least = min(least, len(world.running))
			if i%5 == 2 && world.starts == 1 {
				world.restartLeader()
				world.starts++ // once
			}
		}
		world.expect(fmt.Sprint("back for the time ", i), 2, 2, 2)
		if moved := world.starts; moved > 3 || least < 5 {
			t.Errorf("back for the time %d: %d starts, at least %d of 6 ran", i, moved, least)
		}
	}
}

// TestLastCopyDies has the weights on one machine only, which dies, hangs, or is to be taken: the replica comes back, and
// its image does not count as ready there any more.
func TestLastCopyDies(t *testing.T) {
	world := newSpreadWorld(t, losses, threeZones)
	world.service("run-000001", 1, "img-a", 8)
	for range 3 {
		holder := world.workerByTask["run-000001/0"]
		holder.stopped = true
		holder.machine.KillAll()
		world.runFor(60 * time.Second)
		if next := world.workerByTask["run-000001/0"]; len(world.running) != 1 || next == holder {
			t.Fatalf("it does not come back: %v", world.running)
		}
	}
}

// TestRebalancingKeepsConstraints moves nothing that has no choice, nothing while not all of the model runs, and nothing beyond the budget.
func TestRebalancingKeepsConstraints(t *testing.T) {
	none := losses
	none.MovesPerHour = 0
	world := newSpreadWorld(t, none, map[string]int{"z1": 6, "z2": 6, "z3": 6})
	world.loseZone("z3")
	world.runFor(60 * time.Second)
	world.service("run-000001", 6, "img-a", 8)
	world.addMachines(6, "z3")
	world.runFor(60 * time.Second)
	world.expect("without a budget", 3, 3, 0)

	world = newSpreadWorld(t, losses, threeZones)
	world.submitAt(world.nodes[0], &wire.Job{ID: "run-000001", Kind: wire.KindService, Class: "c", Team: "t1", Tasks: 4, CPUs: 4, GPUs: 1, MemoryGB: 20,
		Priority: "prod", Image: "img-a", ImageGB: 8, Zone: "z1"})
	world.runFor(60 * time.Second)
	world.expect("bound to a zone", 4, 0, 0)
}

// TestNewLeaderKnowsReplicas has a leader end. The next one counts the replicas that run before it places more.
func TestNewLeaderKnowsReplicas(t *testing.T) {
	world := newSpreadWorld(t, losses, threeZones)
	world.service("run-000001", 3, "img-a", 8)
	world.restartLeader()
	world.runFor(8 * time.Second)
	world.service("run-000002", 3, "img-a", 8)
	world.expect("over a leader's end", 2, 2, 2)
	for _, node := range world.nodes {
		if err := node.core.CheckCapacityIndex(); err != nil {
			t.Error(err)
		}
	}
}

// TestExplained requests the placements of a job: for a replica that was not placed on the best fit they have what that would have cost.
func TestExplained(t *testing.T) {
	world := newSpreadWorld(t, losses, threeZones)
	world.service("run-000001", 1, "img-a", 8)
	world.service("run-000002", 1, "img-b", 8)
	world.service("run-000003", 3, "img-a", 8)
	ask := func(id string) core.Response {
		var got core.Response
		world.onResponse = func(response core.Response) bool { got = response; return true }
		world.step(world.leaderNode(), core.GetPlacements{RequestID: 1 << 40, Job: id})
		world.onResponse = nil
		return got
	}
	places, ok := ask("run-000003").Body.([]core.ReplicaPlacement)
	if !ok || len(places) != 3 {
		t.Fatalf("%+v", places)
	}
	explained := 0
	for _, p := range places {
		if !p.Chosen || !p.Weighed || !strings.HasPrefix(p.Task, "run-000003/") {
			t.Errorf("%+v", p)
		}
		if p.Warmest != "" && p.Warmest != p.Machine && p.AvoidedS > p.LoadS-p.WarmestLoadS && p.LoadS > 0 {
			explained++
		}
	}
	if explained == 0 {
		t.Errorf("no replica paid for the balance: %+v", places)
	}
	if response := ask("run-000099"); response.Status != 404 {
		t.Errorf("an unknown job: %+v", response)
	}
	world.restartLeader()
	world.runFor(8 * time.Second)
	if places, ok := ask("run-000003").Body.([]core.ReplicaPlacement); !ok || len(places) != 3 || places[0].Chosen {
		t.Errorf("after a leader's end: %+v", places)
	}
}

// TestWrongHints has the hints of where weights lie name a machine that has evicted them, and one that is no more. To a new leader
// that is unknown: better than cold, and worse than a machine that has shown them.
func TestWrongHints(t *testing.T) {
	world := newSpreadWorld(t, losses, threeZones)
	world.store.Txn(wire.Txn{Then: []wire.Op{{Put: "w/i/0", Value: []byte(`{"m0004":["img-a"],"m9999":["img-a"]}`)}}})
	world.restartLeader()
	world.runFor(12 * time.Second)
	world.service("run-000001", 3, "img-a", 8)
	world.expect("with wrong hints", 1, 1, 1)
	if holders := world.workerByName["m0004"].machine.Running("run-000001"); holders != 1 {
		t.Errorf("%d replicas are on the machine that is thought to be warm", holders)
	}

	world = newSpreadWorld(t, losses, map[string]int{"z1": 2})
	world.operator.Spread.MachineLossesPerDay = 0
	for i, gpus := range []float64{6, 4} { // the second one does not fit beside the first, on the machine that is left tighter
		world.submitAt(world.nodes[0], &wire.Job{ID: fmt.Sprintf("run-00000%d", i), Kind: wire.KindService, Class: "c", Team: "t1", Tasks: 1, CPUs: 4, GPUs: gpus,
			MemoryGB: 20, Priority: "prod", Image: []string{"img-f", "img-a"}[i], ImageGB: 8})
		world.runFor(10 * time.Second)
	}
	shown := world.workerByTask["run-000001/0"]
	if shown == world.workerByTask["run-000000/0"] {
		t.Fatal("both are on one machine")
	}
	world.store.Txn(wire.Txn{Then: []wire.Op{{Put: "w/i/0", Value: []byte(`{"m0001":["img-a"],"m0002":["img-a"]}`)}}})
	world.restartLeader()
	world.runFor(12 * time.Second)
	world.service("run-000002", 1, "img-a", 8)
	if world.workerByTask["run-000002/0"] != shown {
		t.Error("a machine that is only thought to be warm is taken before one that has shown it")
	}
}

// TestHangingHolder has the machine with the only copy hang for less than its lease, and come back. Its replica is not started
// elsewhere, and is moved nowhere.
func TestHangingHolder(t *testing.T) {
	world := newSpreadWorld(t, losses, threeZones)
	world.service("run-000001", 1, "img-a", 8)
	holder := world.workerByTask["run-000001/0"]
	world.starts = 0
	for range 5 {
		holder.stopped = true
		world.runFor(3 * time.Second)
		holder.stopped = false
		world.runFor(5 * time.Second)
	}
	if world.workerByTask["run-000001/0"] != holder || world.starts != 0 || len(world.running) != 1 {
		t.Errorf("%d starts, running %v", world.starts, world.running)
	}
}

// TestCopiesAhead has a copy of a model's weights fetched into each zone, within the budget. After the loss of the zone with all
// replicas they come back warm; and where workers don't know the request, nothing is asked for again.
func TestCopiesAhead(t *testing.T) {
	ahead := losses
	ahead.ZoneLossesPerDay, ahead.MachineLossesPerDay, ahead.MovesPerHour = 0, 0, 0 // replicas stay with their weights
	ahead.PrefetchGBPerHour = 100
	world := newSpreadWorld(t, ahead, threeZones)
	world.service("run-000001", 3, "img-a", 40)
	world.service("run-000002", 1, "img-b", 40) // beyond the budget
	if world.prefetched != 2 {
		t.Errorf("%d copies were asked for, not one for each other zone of the first model", world.prefetched)
	}
	zone := world.running["run-000001/0"]
	waited := time.Duration(0)
	started := map[string]time.Duration{}
	world.onStart = func(task string) { started[task] = world.now }
	follow := world.onRunning
	world.onRunning = func(machine, task string) {
		follow(machine, task)
		if strings.HasPrefix(task, "run-000001/") {
			waited = max(waited, world.now-started[task])
		}
	}
	world.loseZone(zone)
	world.runFor(60 * time.Second)
	if n := world.zones("run-000001"); n[zone] != 0 || len(world.running) != 4 || waited > time.Second {
		t.Errorf("after the loss of %s: %v, a replica waited %v for its weights", zone, n, waited)
	}

	world = newSpreadWorld(t, ahead, threeZones)
	world.prefetchOutcome = outcome.NotFound
	world.service("run-000001", 3, "img-a", 8)
	world.runFor(20 * time.Second)
	if world.prefetched > 2 {
		t.Errorf("%d requests to workers that don't know them", world.prefetched)
	}
	if len(world.running) != 3 {
		t.Errorf("%v run", world.running)
	}
}

// TestManyModelsOnAFullFleet has no free capacity for balance: all replicas run all the same.
func TestManyModelsOnAFullFleet(t *testing.T) {
	world := newSpreadWorld(t, losses, map[string]int{"z1": 2, "z2": 2, "z3": 2})
	for i := range 24 {
		world.submitAt(world.nodes[0], &wire.Job{ID: fmt.Sprintf("run-%06d", i), Kind: wire.KindService, Class: "c", Team: "t1", Tasks: 2, CPUs: 1, GPUs: 1,
			MemoryGB: 1, Priority: "prod", Image: fmt.Sprint("img-", i), ImageGB: 8})
	}
	world.runFor(90 * time.Second)
	world.expect("a full fleet", 16, 16, 16)
}

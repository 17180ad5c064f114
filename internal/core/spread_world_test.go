package core_test

import (
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/wire"
)

// spreadWorld is a cluster in which places of replicas are weighed. It follows in which zone each replica runs.
type spreadWorld struct {
	*scaleCluster
	running map[string]string // zones, by task
	starts  int
}

// losses make a zone's loss weigh more than the load of the tests' images, and a machine's less.
var losses = config.Spread{Enabled: true, ZoneLossesPerDay: 0.1, MachineLossesPerDay: 0.001, ReplicaDays: 30, MovesPerHour: 1200}

// newSpreadWorld has so many machines in each zone; the first two zones have nodes.
func newSpreadWorld(t testReporter, spread config.Spread, perZone map[string]int) *spreadWorld {
	cluster := newScaleCluster(t, 3, 0)
	world := &spreadWorld{scaleCluster: cluster, running: map[string]string{}}
	cluster.operator.IdleBoots = 100
	cluster.operator.Spread = spread
	cluster.adjustParams = func(p *config.Params) {
		p.Store.RPS, p.Store.WriteRPS = 1000, 1000
		for i := range p.Teams {
			p.Teams[i].MaxGPUs = 0
		}
	}
	cluster.onRunning = func(machine, task string) { world.running[task] = cluster.workerByName[machine].zone; world.starts++ }
	cluster.onEnd = func(task string) { delete(world.running, task) }
	cluster.restartNodes()
	for _, zone := range []string{"z1", "z2", "z3"} {
		if perZone[zone] > 0 {
			cluster.addMachines(perZone[zone], zone)
		}
	}
	cluster.runFor(10 * time.Second)
	return world
}

var threeZones = map[string]int{"z1": 6, "z2": 6, "z3": 6}

// service submits a service of a model and lets its replicas come up.
func (world *spreadWorld) service(id string, tasks int, image string, imageGB float64) {
	world.submitAt(world.nodes[0], &wire.Job{ID: id, Kind: wire.KindService, Class: "c", Team: "t1", Tasks: tasks, CPUs: 4, GPUs: 1, MemoryGB: 20,
		Priority: "prod", Image: image, ImageGB: imageGB})
	world.runFor(25 * time.Second)
}

// zones counts the running replicas of a job, or of all jobs for "", by zone.
func (world *spreadWorld) zones(job string) map[string]int {
	zones := map[string]int{}
	for task, zone := range world.running {
		if id, _, _ := wire.ParseTaskName(task); job == "" || id == job {
			zones[zone]++
		}
	}
	return zones
}

// expect checks how many replicas are in each zone.
func (world *spreadWorld) expect(what string, z1, z2, z3 int) {
	world.t.Helper()
	if got := world.zones(""); got["z1"] != z1 || got["z2"] != z2 || got["z3"] != z3 {
		world.t.Errorf("%s: %v, not %d, %d, %d", what, got, z1, z2, z3)
	}
}

// loseZone ends all machines of a zone.
func (world *spreadWorld) loseZone(zone string) {
	for _, x := range world.workers {
		if x.zone == zone && !x.stopped {
			x.stopped = true
			x.machine.KillAll()
		}
	}
}

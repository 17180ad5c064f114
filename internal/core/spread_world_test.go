package core_test

import (
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/wire"
)

// spreadCluster is a cluster with spreading of replicas enabled. It tracks the zone in which each replica runs.
type spreadCluster struct {
	*scaleCluster
	zoneOf map[string]string // by running task
	starts int
}

// spreadSettings are settings with which the expected loss of a zone outweighs the load of the tests' images, and the
// loss of a machine does not.
var spreadSettings = config.Spread{Enabled: true, ZoneLossesPerDay: 0.1, MachineLossesPerDay: 0.001, ReplicaLifetimeDays: 30, MovesPerHour: 1200}

// newSpreadCluster returns a cluster with the given number of machines in each zone. The first two zones have controller
// nodes.
func newSpreadCluster(t testReporter, spread config.Spread, machinesPerZone map[string]int) *spreadCluster {
	cluster := newScaleCluster(t, 3, 0)
	world := &spreadCluster{scaleCluster: cluster, zoneOf: map[string]string{}}
	cluster.operator.IdleTimeoutBoots = 100
	cluster.operator.Spread = spread
	cluster.adjustParams = func(p *config.Params) {
		p.Store.RPS, p.Store.WriteRPS = 1000, 1000
		for i := range p.Teams {
			p.Teams[i].MaxGPUs = 0
		}
	}
	cluster.onRunning = func(machine, task string) { world.zoneOf[task] = cluster.workerByName[machine].zone; world.starts++ }
	cluster.onEnd = func(task string) { delete(world.zoneOf, task) }
	cluster.restartNodes()
	for _, zone := range []string{"z1", "z2", "z3"} {
		if machinesPerZone[zone] > 0 {
			cluster.addMachines(machinesPerZone[zone], zone)
		}
	}
	cluster.runFor(10 * time.Second)
	return world
}

var threeZones = map[string]int{"z1": 6, "z2": 6, "z3": 6}

// runService submits a service of a model and waits until its replicas have had time to start.
func (world *spreadCluster) runService(id string, tasks int, image string, imageGB float64) {
	world.submitAt(world.nodes[0], &wire.Job{ID: id, Kind: wire.KindService, Class: "c", Team: "t1", Tasks: tasks, CPUs: 4, GPUs: 1, MemoryGB: 20,
		Priority: "prod", Image: image, ImageGB: imageGB})
	world.runFor(25 * time.Second)
}

// replicasByZone returns the number of running replicas in each zone, of the given job or, for "", of all jobs.
func (world *spreadCluster) replicasByZone(job string) map[string]int {
	zones := map[string]int{}
	for task, zone := range world.zoneOf {
		if id, _, _ := wire.ParseTaskName(task); job == "" || id == job {
			zones[zone]++
		}
	}
	return zones
}

// expectReplicas checks the number of replicas in each zone.
func (world *spreadCluster) expectReplicas(what string, z1, z2, z3 int) {
	world.t.Helper()
	if got := world.replicasByZone(""); got["z1"] != z1 || got["z2"] != z2 || got["z3"] != z3 {
		world.t.Errorf("%s: replicas by zone are %v, want %d, %d, %d", what, got, z1, z2, z3)
	}
}

// killZone kills all machines of a zone.
func (world *spreadCluster) killZone(zone string) {
	for _, worker := range world.workers {
		if worker.zone == zone && !worker.stopped {
			worker.stopped = true
			worker.machine.KillAll()
		}
	}
}

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
	base := newScaleCluster(t, 3, 0)
	cluster := &spreadCluster{scaleCluster: base, zoneOf: map[string]string{}}
	base.operator.IdleTimeoutBoots = 100
	base.operator.Spread = spread
	base.adjustParams = func(p *config.Params) {
		p.Store.RPS, p.Store.WriteRPS = 1000, 1000
		for i := range p.Teams {
			p.Teams[i].MaxGPUs = 0
		}
	}
	base.onRunning = func(machine, task string) { cluster.zoneOf[task] = base.workerByName[machine].zone; cluster.starts++ }
	base.onEnd = func(task string) { delete(cluster.zoneOf, task) }
	base.restartNodes()
	for _, zone := range []string{"z1", "z2", "z3"} {
		if machinesPerZone[zone] > 0 {
			base.addMachines(machinesPerZone[zone], zone)
		}
	}
	base.runFor(10 * time.Second)
	return cluster
}

var threeZones = map[string]int{"z1": 6, "z2": 6, "z3": 6}

// runService submits a service of a model and waits until its replicas have had time to start.
func (cluster *spreadCluster) runService(id string, tasks int, image string, imageGB float64) {
	cluster.submitAt(cluster.nodes[0], &wire.Job{ID: id, Kind: wire.KindService, Class: "c", Team: "t1", Tasks: tasks, CPUs: 4, GPUs: 1, MemoryGB: 20,
		Priority: "prod", Image: image, ImageGB: imageGB})
	cluster.runFor(25 * time.Second)
}

// replicasByZone returns the number of running replicas in each zone, of the given job or, for "", of all jobs.
func (cluster *spreadCluster) replicasByZone(job string) map[string]int {
	zones := map[string]int{}
	for task, zone := range cluster.zoneOf {
		if id, _, _ := wire.ParseTaskName(task); job == "" || id == job {
			zones[zone]++
		}
	}
	return zones
}

// expectReplicas checks the number of replicas in each zone.
func (cluster *spreadCluster) expectReplicas(what string, z1, z2, z3 int) {
	cluster.t.Helper()
	if got := cluster.replicasByZone(""); got["z1"] != z1 || got["z2"] != z2 || got["z3"] != z3 {
		cluster.t.Errorf("%s: got replicas by zone %v, want %d, %d, %d", what, got, z1, z2, z3)
	}
}

// killZone kills all machines of a zone.
func (cluster *spreadCluster) killZone(zone string) {
	for _, worker := range cluster.workers {
		if worker.zone == zone && !worker.stopped {
			worker.stopped = true
			worker.machine.KillAll()
		}
	}
}

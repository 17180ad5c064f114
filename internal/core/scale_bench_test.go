package core_test

import (
	"fmt"
	"testing"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/wire"
)

// Target load of a whole fleet, to which the benchmarks are scaled.
const (
	targetMachines = 8800
	targetTasks    = 83_000
	targetStarts   = 6100 // per second
	tasksPerArray  = 60
)

// newTargetCluster returns a cluster of one node, which may use a whole CPU core, and a number of running machines. The
// limits of the key-value store are so high that they don't matter. The durations of steps are measured.
func newTargetCluster(b *testing.B, machines int) *scaleCluster {
	b.Helper()
	cluster := newLargeScaleCluster(b, 1, 0)
	cluster.adjustParams = func(p *config.Params) {
		p.Store = config.Store{RPS: 100_000, WriteRPS: 100_000, ValueKB: 64, TxnOps: 128}
		p.Limits = config.ProcessLimits{CPUShare: 1, MemoryMB: 4000, MaxConnections: 3 * targetMachines}
		share := float64(machines) / targetMachines
		p.Teams = nil
		for i := range 12 {
			// On a full fleet, half of the teams run beyond their guarantee and the others within it.
			p.Teams = append(p.Teams, config.Team{Name: fmt.Sprintf("t%d", i), GuaranteedGPUs: []float64{1000, 9000}[i%2] * share})
		}
	}
	cluster.startNode(0)
	cluster.operator.IdleTimeoutBoots = 100
	cluster.runFor(3 * time.Second)
	cluster.addMachines(machines)
	cluster.runFor(10 * time.Second)
	cluster.measureSteps = true
	return cluster
}

// submitArrays submits n arrays of tasks of such a size that the target number of tasks fills the fleet to 95%.
func (cluster *scaleCluster) submitArrays(n int) {
	for range n {
		cluster.submit(wire.Job{Kind: wire.KindArray, Tasks: tasksPerArray, GPUs: 0.8})
	}
}

// arraysPerSecond returns how many arrays to submit per second for 110% of the target's starts on a fleet of this size.
func arraysPerSecond(machines int) int {
	return targetStarts * machines / targetMachines / tasksPerArray * 11 / 10
}

// fillFleet submits 125% of the target number of tasks, which is more than the fleet has capacity for.
func (cluster *scaleCluster) fillFleet(machines int) {
	for submittedTasks := 0; submittedTasks < targetTasks*machines/targetMachines*5/4; submittedTasks += arraysPerSecond(machines) * tasksPerArray {
		cluster.submitArrays(arraysPerSecond(machines))
		cluster.runFor(time.Second)
	}
	cluster.runFor(5 * time.Second)
}

// BenchmarkFill fills an empty fleet to 95% as fast as the cycle budget allows. It reports the mean and the minimum of
// starts per second, and the leader's CPU time per start.
func BenchmarkFill(b *testing.B) {
	for _, machines := range []int{targetMachines / 16, targetMachines / 8, targetMachines / 4, targetMachines / 2, targetMachines} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			for range b.N {
				cluster := newTargetCluster(b, machines)
				tasks := targetTasks * machines / targetMachines
				seconds, fewestStarts := 0, targetTasks
				for cluster.startedTasks < tasks*95/100 && seconds < 300 {
					before := cluster.startedTasks
					cluster.submitArrays(arraysPerSecond(machines))
					cluster.runFor(time.Second)
					if seconds++; seconds > 1 && cluster.startedTasks < tasks*95/100 {
						fewestStarts = min(fewestStarts, cluster.startedTasks-before)
					}
				}
				b.ReportMetric(float64(cluster.startedTasks)/float64(seconds), "starts/s")
				b.ReportMetric(float64(fewestStarts), "least/s")
				b.ReportMetric(float64(cluster.stepTime.Microseconds())/float64(cluster.startedTasks), "µs/start")
				b.ReportMetric(float64(cluster.longestStep.Milliseconds()), "ms-longest")
				b.ReportMetric(float64(cluster.startedTasks), "started")
			}
		})
	}
}

// BenchmarkFull submits arrays and some services to a full fleet that has capacity for few of them. It reports the
// longest step and the number of CPU cores that the leader uses.
func BenchmarkFull(b *testing.B) {
	for _, machines := range []int{targetMachines / 8, targetMachines / 2, targetMachines} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			for range b.N {
				cluster := newTargetCluster(b, machines)
				cluster.fillFleet(machines)
				cluster.stepTime, cluster.longestStep = 0, 0
				before := cluster.startedTasks
				const seconds = 20
				for range seconds {
					cluster.submitArrays(40 * machines / targetMachines)
					for range 8 * machines / targetMachines {
						cluster.submit(wire.Job{Kind: wire.KindService, Tasks: 2, GPUs: 4})
					}
					cluster.runFor(time.Second)
				}
				b.ReportMetric(float64(cluster.longestStep.Milliseconds()), "ms-longest")
				b.ReportMetric(cluster.stepTime.Seconds()/seconds, "cores")
				b.ReportMetric(float64(cluster.startedTasks-before)/seconds, "starts/s")
				b.ReportMetric(float64(len(cluster.workerByTask)), "tasks")
			}
		})
	}
}

// BenchmarkFillReplicas fills half of an empty fleet with services, with topology spread disabled and enabled. It
// reports the leader's CPU time per start.
func BenchmarkFillReplicas(b *testing.B) {
	const replicas = 20
	for _, spread := range []bool{false, true} {
		b.Run(fmt.Sprintf("weighed-%v", spread), func(b *testing.B) {
			for range b.N {
				cluster := newTargetCluster(b, targetMachines)
				cluster.operator.Spread.Enabled = spread
				for seconds := 0; cluster.startedTasks < targetTasks/2 && seconds < 300; seconds++ {
					for range targetStarts / replicas / 2 {
						cluster.submit(wire.Job{Kind: wire.KindService, Tasks: replicas, GPUs: 0.8})
					}
					cluster.runFor(time.Second)
				}
				b.ReportMetric(float64(cluster.stepTime.Microseconds())/float64(cluster.startedTasks), "µs/start")
				b.ReportMetric(float64(cluster.longestStep.Milliseconds()), "ms-longest")
				b.ReportMetric(float64(cluster.startedTasks), "started")
			}
		})
	}
}

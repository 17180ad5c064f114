package core_test

import (
	"fmt"
	"testing"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/wire"
)

// The target that the benchmarks are for, of a whole fleet.
const (
	targetMachines = 8800
	targetTasks    = 83_000
	targetStarts   = 6100 // a second
	tasksOfArray   = 60
)

// newTargetCluster has one node with a core of its own that leads so many machines, all up, with a state service
// that is not the limit. What its steps take is what they really take.
func newTargetCluster(b *testing.B, machines int) *scaleCluster {
	b.Helper()
	cluster := newLargeScaleCluster(b, 1, 0)
	cluster.adjustParams = func(p *config.Params) {
		p.Store = config.Store{RPS: 100_000, WriteRPS: 100_000, ValueKB: 64, TxnOps: 128}
		p.Limits = config.ProcessLimits{CPUShare: 1, MemoryMB: 4000, MaxConnections: 3 * targetMachines}
		share := float64(machines) / targetMachines
		p.Teams = nil
		for i := range 12 {
			// Every other team runs beyond its guarantee on a full fleet, the rest within it.
			p.Teams = append(p.Teams, config.Team{Name: fmt.Sprintf("t%d", i), GuaranteedGPUs: []float64{1000, 9000}[i%2] * share})
		}
	}
	cluster.startNode(0)
	cluster.operator.IdleTimeoutBoots = 100
	cluster.runFor(3 * time.Second)
	cluster.addMachines(machines)
	cluster.runFor(10 * time.Second)
	cluster.measured = true
	return cluster
}

// submitArrays hands in arrays of tasks that together fill a machine of the fleet to 95%.
func (cluster *scaleCluster) submitArrays(n int) {
	for range n {
		cluster.submit(wire.Job{Kind: wire.KindArray, Tasks: tasksOfArray, GPUs: 0.8})
	}
}

// perSecond is how many arrays come a second where a tenth more tasks than the target's are asked for.
func perSecond(machines int) int {
	return targetStarts * machines / targetMachines / tasksOfArray * 11 / 10
}

// fill has a quarter more tasks come than there is room for.
func (cluster *scaleCluster) fill(machines int) {
	for asked := 0; asked < targetTasks*machines/targetMachines*5/4; asked += perSecond(machines) * tasksOfArray {
		cluster.submitArrays(perSecond(machines))
		cluster.runFor(time.Second)
	}
	cluster.runFor(5 * time.Second)
}

// BenchmarkFill fills an empty fleet to 95%, as quickly as the budget of rounds allows, and gives the starts a second,
// the least of a second, and the processor time of the leader for each.
func BenchmarkFill(b *testing.B) {
	for _, machines := range []int{targetMachines / 16, targetMachines / 8, targetMachines / 4, targetMachines / 2, targetMachines} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			for range b.N {
				cluster := newTargetCluster(b, machines)
				tasks := targetTasks * machines / targetMachines
				seconds, least := 0, targetTasks
				for cluster.startedTasks < tasks*95/100 && seconds < 300 {
					before := cluster.startedTasks
					cluster.submitArrays(perSecond(machines))
					cluster.runFor(time.Second)
					if seconds++; seconds > 1 && cluster.startedTasks < tasks*95/100 {
						least = min(least, cluster.startedTasks-before)
					}
				}
				b.ReportMetric(float64(cluster.startedTasks)/float64(seconds), "starts/s")
				b.ReportMetric(float64(least), "least/s")
				b.ReportMetric(float64(cluster.stepTime.Microseconds())/float64(cluster.startedTasks), "µs/start")
				b.ReportMetric(float64(cluster.longestStep.Milliseconds()), "ms-longest")
				b.ReportMetric(float64(cluster.startedTasks), "started")
			}
		})
	}
}

// BenchmarkFull has arrays, and some services, come to a full fleet that has room for few of them, and gives the longest
// step and the share of a core that the leader takes.
func BenchmarkFull(b *testing.B) {
	for _, machines := range []int{targetMachines / 8, targetMachines / 2, targetMachines} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			for range b.N {
				cluster := newTargetCluster(b, machines)
				cluster.fill(machines)
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

// BenchmarkFillReplicas fills half of an empty fleet with services, with their places weighed and not, and gives the processor
// time of the leader for each start.
func BenchmarkFillReplicas(b *testing.B) {
	const replicas = 20
	for _, weighed := range []bool{false, true} {
		b.Run(fmt.Sprintf("weighed-%v", weighed), func(b *testing.B) {
			for range b.N {
				cluster := newTargetCluster(b, targetMachines)
				cluster.operator.Spread.Enabled = weighed
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

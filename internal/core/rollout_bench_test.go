package core_test

import (
	"fmt"
	"testing"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
	"bitternwing/internal/rollout"
)

// BenchmarkRollouts measures the CPU time of the leader, in microseconds per second of simulated time, with various
// numbers of plans that are baking. Each plan has two old and two new jobs of two replicas each, probes once a second,
// and one router.
func BenchmarkRollouts(b *testing.B) {
	for _, plans := range []int{0, 1, 10, 100} {
		b.Run(fmt.Sprint(plans), func(b *testing.B) {
			for range b.N {
				b.ReportMetric(leaderCPUTime(b, plans), "µs/s")
			}
		})
	}
}

// leaderCPUTime returns the leader's CPU time with the given number of plans, in microseconds per second.
func leaderCPUTime(b *testing.B, plans int) float64 {
	b.Helper()
	cluster := &rolloutCluster{scaleCluster: newScaleCluster(b, 1, 0), plan: &rollout.Plan{Name: "none"}}
	cluster.operator.Rollouts.Enabled, cluster.operator.Rollouts.CheckIntervalS, cluster.operator.IdleTimeoutBoots = true, 1, 100
	cluster.interceptEffect = cluster.interceptCall
	cluster.adjustParams = func(p *config.Params) {
		p.Store = config.Store{RPS: 10_000, WriteRPS: 10_000, ValueKB: 64, TxnOps: 128}
		p.Limits = config.ProcessLimits{CPUShare: 1, MemoryMB: 1000, MaxConnections: 10_000}
		p.Teams = []config.Team{{Name: "t1"}}
	}
	cluster.restartNodes()
	cluster.addMachines(400)
	cluster.runFor(10 * time.Second)
	for i := range plans {
		cluster.applyPlan(i)
	}
	cluster.runFor(30 * time.Second)
	cluster.measureSteps, cluster.stepTime = true, 0
	const seconds = 20
	for range seconds {
		cluster.requestAllRoutings(plans)
		cluster.runFor(time.Second)
	}
	if baking := cluster.bakingPlans(); baking != plans {
		b.Fatalf("got %d baking plans, want %d", baking, plans)
	}
	return float64(cluster.stepTime.Microseconds()) / seconds
}

// applyPlan applies a plan with jobs of its own, and submits the jobs.
func (cluster *rolloutCluster) applyPlan(i int) {
	id := func(k int) string { return fmt.Sprintf("run-%07d", 100*(i+1)+k) }
	plan := &rollout.Plan{Name: fmt.Sprint("plan-", i), Team: "t1", PromisedCapacity: 30,
		Old: rollout.VersionSpec{Jobs: []string{id(1), id(2)}, ReplicaCapacity: 10}, New: rollout.VersionSpec{Jobs: []string{id(3), id(4)}, ReplicaCapacity: 10},
		Steps:  []rollout.Step{{Jobs: []string{id(3)}, Share: 0.5, BakeS: 1e5}, {Jobs: []string{id(4)}, Share: 1}},
		Limits: rollout.Limits{WaitTimeoutS: 1000, ValidationTimeoutS: 1000, RouterGoneS: 20, RetentionS: 30}}
	for _, job := range plan.Old.Jobs {
		cluster.submitReplica(job)
	}
	cluster.runFor(200 * time.Millisecond)
	cluster.requestUntilAnswered(func(request uint64) core.Input { return core.ApplyPlan{RequestID: request, Plan: plan} })
	for _, job := range plan.New.Jobs {
		cluster.submitReplica(job)
	}
	cluster.runFor(200 * time.Millisecond)
}

// requestAllRoutings sends a request from the router of each plan.
func (cluster *rolloutCluster) requestAllRoutings(plans int) {
	for i := range plans {
		cluster.lastRequest++
		cluster.step(cluster.nodes[0], core.GetRouting{RequestID: cluster.lastRequest << 16, Name: fmt.Sprint("plan-", i), Router: "north"})
	}
}

// bakingPlans returns the number of plans that are baking.
func (cluster *rolloutCluster) bakingPlans() int {
	n := 0
	for _, key := range storedKeys(cluster.store, "w/p/") {
		item, got := cluster.store.Get(key)
		if r, err := rollout.Decode(item.Value); got == outcome.OK && err == nil && r.Phase == rollout.Baking {
			n++
		}
	}
	return n
}

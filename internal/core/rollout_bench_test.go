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
	world := &rolloutCluster{scaleCluster: newScaleCluster(b, 1, 0), plan: &rollout.Plan{Name: "none"}}
	world.operator.Rollouts.Enabled, world.operator.Rollouts.CheckIntervalS, world.operator.IdleTimeoutBoots = true, 1, 100
	world.interceptEffect = world.interceptCall
	world.adjustParams = func(p *config.Params) {
		p.Store = config.Store{RPS: 10_000, WriteRPS: 10_000, ValueKB: 64, TxnOps: 128}
		p.Limits = config.ProcessLimits{CPUShare: 1, MemoryMB: 1000, MaxConnections: 10_000}
		p.Teams = []config.Team{{Name: "t1"}}
	}
	world.restartNodes()
	world.addMachines(400)
	world.runFor(10 * time.Second)
	for i := range plans {
		world.applyPlan(i)
	}
	world.runFor(30 * time.Second)
	world.measureSteps, world.stepTime = true, 0
	const seconds = 20
	for range seconds {
		world.requestAllRoutings(plans)
		world.runFor(time.Second)
	}
	if baking := world.bakingPlans(); baking != plans {
		b.Fatalf("%d plans of %d are baking", baking, plans)
	}
	return float64(world.stepTime.Microseconds()) / seconds
}

// applyPlan applies a plan with jobs of its own, and submits the jobs.
func (world *rolloutCluster) applyPlan(i int) {
	id := func(k int) string { return fmt.Sprintf("run-%07d", 100*(i+1)+k) }
	plan := &rollout.Plan{Name: fmt.Sprint("plan-", i), Team: "t1", PromisedCapacity: 30,
		Old: rollout.VersionSpec{Jobs: []string{id(1), id(2)}, ReplicaCapacity: 10}, New: rollout.VersionSpec{Jobs: []string{id(3), id(4)}, ReplicaCapacity: 10},
		Steps:  []rollout.Step{{Jobs: []string{id(3)}, Share: 0.5, BakeS: 1e5}, {Jobs: []string{id(4)}, Share: 1}},
		Limits: rollout.Limits{WaitTimeoutS: 1000, ValidationTimeoutS: 1000, RouterGoneS: 20, RetentionS: 30}}
	for _, job := range plan.Old.Jobs {
		world.submitReplica(job)
	}
	world.runFor(200 * time.Millisecond)
	world.requestUntilAnswered(func(request uint64) core.Input { return core.ApplyPlan{RequestID: request, Plan: plan} })
	for _, job := range plan.New.Jobs {
		world.submitReplica(job)
	}
	world.runFor(200 * time.Millisecond)
}

// requestAllRoutings sends a request from the router of each plan.
func (world *rolloutCluster) requestAllRoutings(plans int) {
	for i := range plans {
		world.lastRequest++
		world.step(world.nodes[0], core.GetRouting{RequestID: world.lastRequest << 16, Name: fmt.Sprint("plan-", i), Router: "north"})
	}
}

// bakingPlans returns the number of plans that are baking.
func (world *rolloutCluster) bakingPlans() int {
	n := 0
	for _, key := range storedKeys(world.store, "w/p/") {
		item, got := world.store.Get(key)
		if r, err := rollout.Decode(item.Value); got == outcome.OK && err == nil && r.Phase == rollout.Baking {
			n++
		}
	}
	return n
}

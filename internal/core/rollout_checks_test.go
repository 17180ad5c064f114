package core_test

import (
	"encoding/json"
	"slices"
	"time"

	"bitternwing/internal/outcome"
	"bitternwing/internal/rollout"
)

// servesCorrectly reports whether a replica runs and passes the checks.
func (world *rolloutCluster) servesCorrectly(weight rollout.Weight) bool {
	return world.probe(rollout.Replica{Task: weight.Task, Attempt: weight.Attempt, Address: weight.Address, Version: weight.Version}).Verdict == rollout.Passed
}

// check checks the guarantees of a rollout in the current state, and records the phases of the plan.
func (world *rolloutCluster) check() {
	r := world.record()
	if r == nil {
		return
	}
	if r.Phase != world.lastPhase {
		world.lastPhase = r.Phase
		world.phases = append(world.phases, string(r.Phase))
	}
	world.checkJobs(r)
	if world.capacityNotGuaranteed || world.wrongAnswers != nil && world.now < world.wrongAnswersSince+world.detectionTime {
		return
	}
	for _, router := range world.routers {
		if len(router.grant.Routing.Weights) == 0 || world.gone(router) {
			continue
		}
		world.checkRecorded(r, router)
		if !world.holdsStaleGrant(router) {
			world.checkCapacity(r, router)
		}
	}
}

// checkJobs checks that no new job runs before its step, and that no old job is cancelled before the plan retires them.
func (world *rolloutCluster) checkJobs(r *rollout.Record) {
	for i := range newJobs {
		if world.hasTaskOnWorker(newJob(i)) && (r.Phase == rollout.Pending || i > r.Step) {
			world.t.Fatalf("new job %s runs in phase %s of step %d", newJob(i), r.Phase, r.Step)
		}
	}
	if world.capacityNotGuaranteed || r.Phase == rollout.Retiring || r.Phase == rollout.Completed {
		return
	}
	for i := range oldJobs {
		if world.cancelled(oldJob(i)) {
			world.t.Fatalf("old job %s is cancelled in phase %s", oldJob(i), r.Phase)
		}
	}
}

// checkCapacity checks that the replicas to which a router sends traffic have at least the promised capacity.
func (world *rolloutCluster) checkCapacity(r *rollout.Record, router *simulatedRouter) {
	capacity, weights := 0.0, router.weights(world.now)
	for _, weight := range weights {
		if world.servesCorrectly(weight) {
			capacity += world.plan.Old.ReplicaCapacity
		}
	}
	if capacity < world.plan.PromisedCapacity {
		world.t.Fatalf("%v: router %s has a capacity of %g in phase %s of step %d: %+v, lease until %v", world.now, router.name, capacity, r.Phase,
			r.Step, weights, router.grantExpiresAt)
	}
}

// holdsStaleGrant reports whether a router uses a routing that was granted before the wrong answers could be detected,
// and has had no answer since, as happens while no node leads. It uses that routing until its lease expires.
func (world *rolloutCluster) holdsStaleGrant(r *simulatedRouter) bool {
	return world.wrongAnswers != nil && r.unanswered && r.grantRequestedAt < world.wrongAnswersSince+world.detectionTime && world.now < r.grantExpiresAt
}

// checkRecorded checks that a router with a routing is in the plan's record, from which the next leader learns about
// it.
func (world *rolloutCluster) checkRecorded(r *rollout.Record, router *simulatedRouter) {
	if !r.Phase.Terminal() && !slices.Contains(r.Routers, router.name) {
		world.t.Fatalf("%v: router %s has a routing and is not recorded in phase %s of step %d: %v", world.now, router.name, r.Phase, r.Step, r.Routers)
	}
}

// gone reports whether a router's lease expired so long ago that the plan may no longer wait for it.
func (world *rolloutCluster) gone(r *simulatedRouter) bool {
	return world.now > r.grantExpiresAt+15*time.Second
}

// cancelled reports whether a job is cancelled.
func (world *rolloutCluster) cancelled(id string) bool {
	if item, got := world.store.Get("w/a/" + id); got == outcome.OK {
		var v struct {
			CancelledMS int64 `json:"x"`
		}
		return json.Unmarshal(item.Value, &v) == nil && v.CancelledMS != 0
	}
	_, got := world.store.Get("f/" + id)
	return got == outcome.OK
}

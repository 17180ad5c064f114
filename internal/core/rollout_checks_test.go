package core_test

import (
	"encoding/json"
	"slices"
	"time"

	"bitternwing/internal/outcome"
	"bitternwing/internal/rollout"
)

// serves tells whether a replica runs and answers rightly.
func (world *rolloutWorld) serves(x rollout.Weight) bool {
	return world.probe(rollout.Replica{Task: x.Task, Attempt: x.Attempt, Address: x.Address, Version: x.Version}).Verdict == rollout.Passed
}

// check checks what a rollout promises, at this moment.
func (world *rolloutWorld) check() {
	r := world.record()
	if r == nil {
		return
	}
	if r.Phase != world.lastPhase {
		world.lastPhase = r.Phase
		world.phases = append(world.phases, string(r.Phase))
	}
	world.checkJobs(r)
	if world.machinesTaken || world.answersWrongly != nil && world.now < world.answersWronglySince+world.tolerance {
		return
	}
	for _, router := range world.routers {
		if len(router.grant.Routing.Weights) == 0 || world.gone(router) {
			continue
		}
		world.checkRecorded(r, router)
		if !world.unreached(router) {
			world.checkCapacity(r, router)
		}
	}
}

// checkJobs checks that nothing was started before its step, and nothing of the old version cancelled before its time.
func (world *rolloutWorld) checkJobs(r *rollout.Record) {
	for i := range newJobs {
		if world.hasTaskOnWorker(newJob(i)) && (r.Phase == rollout.Pending || i > r.Step) {
			world.t.Fatalf("%s runs in %s of step %d", newJob(i), r.Phase, r.Step)
		}
	}
	if world.machinesTaken || r.Phase == rollout.Retiring || r.Phase == rollout.Completed {
		return
	}
	for i := range oldJobs {
		if world.cancelled(oldJob(i)) {
			world.t.Fatalf("%s is cancelled in %s", oldJob(i), r.Phase)
		}
	}
}

// checkCapacity checks that what a router reaches can serve what is promised.
func (world *rolloutWorld) checkCapacity(r *rollout.Record, router *simulatedRouter) {
	capacity, weights := 0.0, router.weights(world.now)
	for _, x := range weights {
		if world.serves(x) {
			capacity += world.plan.Old.ReplicaCapacity
		}
	}
	if capacity < world.plan.PromisedCapacity {
		world.t.Fatalf("%v: router %s reaches a capacity of %g in %s of step %d: %+v, lease until %v", world.now, router.name, capacity, r.Phase,
			r.Step, weights, router.grantExpiresAt)
	}
}

// unreached tells whether a router was granted what it goes by before wrong answers could be found, and nobody has
// answered it since, as while no node leads. It goes on by that until its lease ends.
func (world *rolloutWorld) unreached(r *simulatedRouter) bool {
	return world.answersWrongly != nil && r.unanswered && r.grantedAt < world.answersWronglySince+world.tolerance && world.now < r.grantExpiresAt
}

// checkRecorded checks that a router with a routing is in the plan's record, from which the next leader learns of it.
func (world *rolloutWorld) checkRecorded(r *rollout.Record, router *simulatedRouter) {
	if !r.Phase.Over() && !slices.Contains(r.Routers, router.name) {
		world.t.Fatalf("%v: router %s has a routing and is not recorded in %s of step %d: %v", world.now, router.name, r.Phase, r.Step, r.Routers)
	}
}

// gone tells whether a router has been without a lease for longer than the plan waits for it.
func (world *rolloutWorld) gone(r *simulatedRouter) bool {
	return world.now > r.grantExpiresAt+15*time.Second
}

// cancelled tells whether a job is cancelled.
func (world *rolloutWorld) cancelled(id string) bool {
	if item, got := world.store.Get("w/a/" + id); got == outcome.OK {
		var v struct {
			CancelledMS int64 `json:"x"`
		}
		return json.Unmarshal(item.Value, &v) == nil && v.CancelledMS != 0
	}
	_, got := world.store.Get("f/" + id)
	return got == outcome.OK
}

package core_test

import (
	"encoding/json"
	"slices"
	"time"

	"bitternwing/internal/outcome"
	"bitternwing/internal/rollout"
)

// servesCorrectly reports whether a replica runs and passes the checks.
func (cluster *rolloutCluster) servesCorrectly(weight rollout.Weight) bool {
	return cluster.probe(rollout.Replica{Task: weight.Task, Attempt: weight.Attempt, Address: weight.Address, Version: weight.Version}).Verdict == rollout.Passed
}

// check checks the guarantees of a rollout in the current state, and records the phases of the plan.
func (cluster *rolloutCluster) check() {
	r := cluster.record()
	if r == nil {
		return
	}
	if r.Phase != cluster.lastPhase {
		cluster.lastPhase = r.Phase
		cluster.phases = append(cluster.phases, string(r.Phase))
	}
	cluster.checkJobs(r)
	if cluster.capacityNotGuaranteed || cluster.wrongAnswers != nil && cluster.now < cluster.wrongAnswersSince+cluster.detectionTime {
		return
	}
	for _, router := range cluster.routers {
		if len(router.grant.Routing.Weights) == 0 || cluster.gone(router) {
			continue
		}
		cluster.checkRecorded(r, router)
		if !cluster.holdsStaleGrant(router) {
			cluster.checkCapacity(r, router)
		}
	}
}

// checkJobs checks that no new job runs before its step, and that no old job is cancelled before the plan retires them.
func (cluster *rolloutCluster) checkJobs(r *rollout.Record) {
	for i := range newJobs {
		if cluster.hasTaskOnWorker(newJob(i)) && (r.Phase == rollout.Pending || i > r.Step) {
			cluster.t.Fatalf("new job %s runs in phase %s of step %d", newJob(i), r.Phase, r.Step)
		}
	}
	if cluster.capacityNotGuaranteed || r.Phase == rollout.Retiring || r.Phase == rollout.Completed {
		return
	}
	for i := range oldJobs {
		if cluster.cancelled(oldJob(i)) {
			cluster.t.Fatalf("old job %s is cancelled in phase %s", oldJob(i), r.Phase)
		}
	}
}

// checkCapacity checks that the replicas to which a router sends traffic have at least the promised capacity.
func (cluster *rolloutCluster) checkCapacity(r *rollout.Record, router *simulatedRouter) {
	capacity, weights := 0.0, router.weights(cluster.now)
	for _, weight := range weights {
		if cluster.servesCorrectly(weight) {
			capacity += cluster.plan.Old.ReplicaCapacity
		}
	}
	if capacity < cluster.plan.PromisedCapacity {
		cluster.t.Fatalf("%v: router %s has capacity %g, below the promised one, in phase %s of step %d: weights %+v, lease until %v", cluster.now, router.name, capacity, r.Phase,
			r.Step, weights, router.grantExpiresAt)
	}
}

// holdsStaleGrant reports whether a router uses a routing that was granted before the wrong answers could be detected,
// and has had no answer since, as happens while no node leads. It uses that routing until its lease expires.
func (cluster *rolloutCluster) holdsStaleGrant(r *simulatedRouter) bool {
	return cluster.wrongAnswers != nil && r.unanswered && r.grantRequestedAt < cluster.wrongAnswersSince+cluster.detectionTime && cluster.now < r.grantExpiresAt
}

// checkRecorded checks that a router with a routing is in the plan's record, since the next leader knows only recorded
// routers.
func (cluster *rolloutCluster) checkRecorded(r *rollout.Record, router *simulatedRouter) {
	if !r.Phase.Terminal() && !slices.Contains(r.Routers, router.name) {
		cluster.t.Fatalf("%v: router %s has a routing and is not recorded in phase %s of step %d: %v", cluster.now, router.name, r.Phase, r.Step, r.Routers)
	}
}

// gone reports whether a router's lease expired so long ago that the plan may no longer wait for it.
func (cluster *rolloutCluster) gone(r *simulatedRouter) bool {
	return cluster.now > r.grantExpiresAt+15*time.Second
}

// cancelled reports whether a job is cancelled.
func (cluster *rolloutCluster) cancelled(id string) bool {
	if item, got := cluster.store.Get("w/a/" + id); got == outcome.OK {
		var v struct {
			CancelledMS int64 `json:"x"`
		}
		return json.Unmarshal(item.Value, &v) == nil && v.CancelledMS != 0
	}
	_, got := cluster.store.Get("f/" + id)
	return got == outcome.OK
}

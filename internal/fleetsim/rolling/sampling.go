package rolling

import (
	"math"
	"net"
	"slices"
	"time"

	"bitternwing/internal/adminapi/operatorpb"
	"bitternwing/internal/simrouter"
)

// sample records the capacity that the routers reach now.
func (r *Rollout) sample() {
	served, running := r.servedCapacity()
	now := r.environment.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	point := Point{AtS: now.Seconds(), Promised: r.model.Promised, Served: served}
	if r.status != nil {
		point.Reported = r.status.GetOldCapacity() + r.status.GetNewCapacity()
		point.NewShare = r.status.GetNewShare()
		r.result.MaxWithoutStatusS = max(r.result.MaxWithoutStatusS, (now - r.statusAt).Seconds())
	}
	r.result.Samples = append(r.result.Samples, point)
	extra := max(0, running-r.model.Jobs*r.model.Replicas)
	r.result.ExtraReplicaS += float64(extra) * sampleInterval.Seconds()
	servedShare := served / r.model.Promised
	if r.result.MinServedAtS == 0 || servedShare < r.result.MinServed {
		r.result.MinServed, r.result.MinServedAtS = servedShare, now.Seconds()
	}
	if served < r.model.Promised {
		r.result.SamplesBelowPromise++
	}
}

// servedCapacity returns the capacity that the worst router reaches, and the number of running replicas. In mode
// Replace there are no routers, and all running replicas count as reached.
func (r *Rollout) servedCapacity() (capacity float64, running int) {
	for _, id := range slices.Concat(r.oldJobs, r.newJobs) {
		running += r.environment.Fleet.Running(id)
	}
	if r.model.Mode == Replace {
		return float64(running) * r.model.ReplicaCapacity, running
	}
	capacity = math.Inf(1)
	for _, router := range r.routers {
		capacity = min(capacity, r.reachableCapacity(router))
	}
	return capacity, running
}

// reachableCapacity returns the capacity that a router reaches. A router that never had a routing counts as reaching
// all of the old version.
func (r *Rollout) reachableCapacity(router *simrouter.Router) float64 {
	weights := router.Weights()
	if len(weights) == 0 && router.Generation() == nil {
		return r.model.ReplicaCapacity * float64(r.model.Jobs*r.model.Replicas)
	}
	reached := 0.0
	for _, weight := range weights {
		if r.isServing(weight) {
			reached += r.model.ReplicaCapacity
		}
	}
	return reached
}

// isServing reports whether a replica runs at the address to which a router sends requests, and responds correctly.
func (r *Rollout) isServing(weight *operatorpb.Weight) bool {
	host, _, err := net.SplitHostPort(weight.GetAddress())
	return err == nil && r.environment.Fleet.Serves(host, weight.GetTask()) && !r.IsWrong(weight.GetTask(), 0)
}

// summarize completes the result with the last status and the counts.
func (r *Rollout) summarize() {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts, result := &r.counts, &r.result
	result.Model = r.model
	result.Phase, result.Reason = r.status.GetPhase(), r.status.GetReason()
	result.Requests = counts.requests.Load()
	result.Wrong, result.WrongAfter = counts.wrong.Load(), counts.wrongAfterRollback.Load()
	result.Lost, result.Doubled, result.Retried = counts.lost.Load(), counts.doubled.Load(), counts.retried.Load()
	result.WrongForS = time.Duration(counts.lastWrongAt.Load() - counts.firstWrongAt.Load()).Seconds()
}

// Result returns the result. It is called after Run has returned.
func (r *Rollout) Result() Result { return r.result }

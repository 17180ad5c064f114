package rolling

import (
	"math"
	"net"
	"slices"
	"time"

	"bitternwing/internal/adminapi/operatorpb"
	"bitternwing/internal/simrouter"
)

// sample samples the capacity that routers reach now.
func (r *Rollout) sample() {
	served, running := r.served()
	now := r.environment.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	point := Point{AtS: now.Seconds(), Promised: r.model.Promised, Served: served}
	if r.status != nil {
		point.Proved = r.status.GetOldCapacity() + r.status.GetNewCapacity()
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

// served gives the capacity that the worst router reaches, and how many replicas run. Without a plan there are no
// routers: then all running replicas are reached.
func (r *Rollout) served() (capacity float64, running int) {
	for _, id := range slices.Concat(r.old, r.new) {
		running += r.environment.Fleet.Running(id)
	}
	if r.model.Mode == Replace {
		return float64(running) * r.model.ReplicaCapacity, running
	}
	capacity = math.Inf(1)
	for _, router := range r.routers {
		capacity = min(capacity, r.reached(router))
	}
	return capacity, running
}

// reached gives the capacity that a router reaches. One without a routing counts as reaching the old version.
func (r *Rollout) reached(router *simrouter.Router) float64 {
	weights := router.Weights()
	if len(weights) == 0 && router.Generation() == nil {
		return r.model.ReplicaCapacity * float64(r.model.Jobs*r.model.Replicas)
	}
	reached := 0.0
	for _, weight := range weights {
		if r.serves(weight) {
			reached += r.model.ReplicaCapacity
		}
	}
	return reached
}

// serves tells whether a replica runs where a router sends requests, and responds rightly.
func (r *Rollout) serves(weight *operatorpb.Weight) bool {
	host, _, err := net.SplitHostPort(weight.GetAddress())
	return err == nil && r.environment.Fleet.Serves(host, weight.GetTask()) && !r.IsWrong(weight.GetTask(), 0)
}

// summarize completes the result.
func (r *Rollout) summarize() {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts, result := &r.requests, &r.result
	result.Model = r.model
	result.Phase, result.Reason = r.status.GetPhase(), r.status.GetReason()
	result.Requests = counts.requests.Load()
	result.Wrong, result.WrongAfter = counts.wrong.Load(), counts.wrongAfter.Load()
	result.Lost, result.Doubled, result.Retried = counts.lost.Load(), counts.doubled.Load(), counts.retried.Load()
	result.WrongForS = time.Duration(counts.lastWrong.Load() - counts.firstWrong.Load()).Seconds()
}

// Result gives the result, after Run has returned.
func (r *Rollout) Result() Result { return r.result }

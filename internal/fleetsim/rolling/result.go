package rolling

import (
	"fmt"

	"bitternwing/internal/rollout"
)

// Result is the result of the rollout of a model.
type Result struct {
	Model               Model   `json:"model"`
	Phase               string  `json:"phase"` // at the end of the simulation
	Reason              string  `json:"reason,omitempty"`
	Events              []Event `json:"events"`
	Samples             []Point `json:"samples"`
	MinServedAtS        float64 `json:"least_served_at_s"`
	MinServed           float64 `json:"least_served_over_promised"` // lowest Point.Served relative to the promise
	SamplesBelowPromise int     `json:"dips"`                       // samples with Served below Promised
	ExtraReplicaS       float64 `json:"extra_replica_s"`            // replica seconds beyond the replicas of the old version
	Requests            int64   `json:"requests"`
	Wrong               int64   `json:"wrong"`
	// WrongAfter counts the wrong responses after the plan was first seen to roll back. WrongForS is the time between
	// the first and the last wrong response.
	WrongAfter int64   `json:"wrong_after_detection"`
	WrongForS  float64 `json:"wrong_for_s"`
	Lost       int64   `json:"lost"`    // requests without a valid response
	Doubled    int64   `json:"doubled"` // responses that belong to another request
	Retried    int64   `json:"retried"`
	// MaxWithoutStatusS is the longest time without a new status of the plan, for example during a failover.
	MaxWithoutStatusS float64 `json:"longest_without_status_s"`
}

// Event is an event of a rollout.
type Event struct {
	AtS  float64 `json:"at_s"`
	What string  `json:"what"`
}

// Point is a sample of the state of a rollout.
type Point struct {
	AtS      float64 `json:"at_s"`
	Promised float64 `json:"promised"`
	Reported float64 `json:"proved"` // capacity of both versions in the plan's status
	Served   float64 `json:"served"` // capacity of the replicas that the worst router reaches
	NewShare float64 `json:"new_share"`
}

// BrokenPromise describes how the rollout failed its promise, or returns "" if it kept it. The baselines, AtOnce and
// Replace, promise nothing.
func (r *Result) BrokenPromise() string {
	switch {
	case r.Model.Mode != Steps:
		return ""
	case r.SamplesBelowPromise > 0:
		return fmt.Sprintf("%s: served capacity fell to %.2f of the promise at %.1f s", r.Model.Name, r.MinServed, r.MinServedAtS)
	case r.Lost > 0 || r.Doubled > 0:
		return fmt.Sprintf("%s: %d responses lost, %d mismatched", r.Model.Name, r.Lost, r.Doubled)
	case r.Model.Expect != "" && rollout.Phase(r.Phase) != r.Model.Expect:
		return fmt.Sprintf("%s: ended in phase %q, expected %s", r.Model.Name, r.Phase, r.Model.Expect)
	}
	return ""
}

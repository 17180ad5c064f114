package rolling

import (
	"fmt"

	"bitternwing/internal/rollout"
)

// Result is the result of the rollout of a model.
type Result struct {
	Model               Model   `json:"model"`
	Phase               string  `json:"phase"` // in the end
	Reason              string  `json:"reason,omitempty"`
	Events              []Event `json:"events"`
	Samples             []Point `json:"samples"`
	MinServedAtS        float64 `json:"least_served_at_s"`
	MinServed           float64 `json:"least_served_over_promised"` // capacity that the worst router reaches
	SamplesBelowPromise int     `json:"dips"`                       // samples below the promise
	ExtraReplicaS       float64 `json:"extra_replica_s"`            // beyond what the old version has
	Requests            int64   `json:"requests"`
	Wrong               int64   `json:"wrong"`
	// WrongAfter counts the wrong responses to users after the rollback was seen, and WrongForS is the time from the first
	// wrong response to the last one.
	WrongAfter int64   `json:"wrong_after_detection"`
	WrongForS  float64 `json:"wrong_for_s"`
	Lost       int64   `json:"lost"`    // no replica responded
	Doubled    int64   `json:"doubled"` // responses to another request
	Retried    int64   `json:"retried"`
	// MaxWithoutStatusS is the longest time without a status of the plan, as during a failover.
	MaxWithoutStatusS float64 `json:"longest_without_status_s"`
}

// Event is an event of a rollout.
type Event struct {
	AtS  float64 `json:"at_s"`
	What string  `json:"what"`
}

// Point is a sample of a rollout.
type Point struct {
	AtS      float64 `json:"at_s"`
	Promised float64 `json:"promised"`
	Proved   float64 `json:"proved"` // capacity of both versions, as the leader says
	Served   float64 `json:"served"` // capacity that the worst router reaches
	NewShare float64 `json:"new_share"`
}

// BrokenPromise tells what the rollout did not keep; "" if it kept all. Baselines promise nothing.
func (r *Result) BrokenPromise() string {
	switch {
	case r.Model.Mode != Steps:
		return ""
	case r.SamplesBelowPromise > 0:
		return fmt.Sprintf("%s: served capacity was %.2f of the promise at %.1f s", r.Model.Name, r.MinServed, r.MinServedAtS)
	case r.Lost > 0 || r.Doubled > 0:
		return fmt.Sprintf("%s: %d answers were lost and %d doubled", r.Model.Name, r.Lost, r.Doubled)
	case r.Model.Expect != "" && rollout.Phase(r.Phase) != r.Model.Expect:
		return fmt.Sprintf("%s: it is %q in the end, not %s", r.Model.Name, r.Phase, r.Model.Expect)
	}
	return ""
}

package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Phase is the phase of a plan.
type Phase string

// The phases, in order. Each step goes through Starting, Checking, Shifting and Baking. Every phase before Retiring may
// change to RollingBack.
const (
	Pending     Phase = "pending"    // waiting for the old version's capacity and for the new jobs of the first step
	Starting    Phase = "starting"   // the jobs of the step may start
	Checking    Phase = "checking"   // the replicas of these jobs are validated
	Shifting    Phase = "shifting"   // routers are sent the traffic share of the step
	Baking      Phase = "baking"     // the new version serves that share for the bake time of the step
	Completing  Phase = "completing" // routers are sent a routing to the new version only
	Retiring    Phase = "retiring"   // routers fall back to the new version, then the old jobs are cancelled
	Completed   Phase = "completed"
	RollingBack Phase = "rolling_back" // traffic returns to the old version, then the new jobs are cancelled
	RolledBack  Phase = "rolled_back"
)

// Reason is the reason for a rollback.
type Reason string

// The reasons for a rollback.
const (
	CheckFailed  Reason = "wrong_answer"
	Unreachable  Reason = "unreachable"
	TimedOut     Reason = "waited_out"
	NewCancelled Reason = "new_job_cancelled"
	Aborted      Reason = "aborted"
)

// Record is a plan with its state, in the stored form.
type Record struct {
	Plan    Plan    `json:"plan"`
	Phase   Phase   `json:"phase"`
	Step    int     `json:"step"`
	Share   float64 `json:"share"` // new version's target share of traffic
	SinceMS int64   `json:"since"` // Unix time in milliseconds at which the phase began
	Reason  Reason  `json:"reason,omitempty"`
	// Detail names the failed replica and check, the cancelled job, or the phase that timed out.
	Detail string `json:"detail,omitempty"`
	// PausedMS is the Unix time in milliseconds at which the plan was paused; 0 if it is not paused.
	PausedMS int64 `json:"paused,omitempty"`
	// Routers are all routers that may have been granted a routing, except those that were gone at an earlier write of
	// the record. They need to have the routing of the Completing phase before the old version is retired.
	Routers []string `json:"routers,omitempty"`
}

// NewRecord returns the record of a plan that is applied now.
func NewRecord(plan *Plan, nowMS int64) *Record {
	return &Record{Plan: *plan, Phase: Pending, SinceMS: nowMS}
}

// ErrUnreadable is returned for a stored record that this version of the program cannot interpret.
var ErrUnreadable = errors.New("the record of a plan can't be read")

// Decode decodes a stored record. If only the phase is unknown, it returns both the record and the error, so that the
// caller can leave the jobs of the plan untouched.
func Decode(data []byte) (*Record, error) {
	r := &Record{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	if r.Plan.Name == "" || r.Step < 0 || r.Step >= len(r.Plan.Steps) {
		return nil, fmt.Errorf("%w: it holds no plan", ErrUnreadable)
	}
	if !r.Phase.known() {
		return r, fmt.Errorf("%w: phase %q", ErrUnreadable, r.Phase)
	}
	return r, nil
}

func (p Phase) known() bool {
	switch p {
	case Pending, Starting, Checking, Shifting, Baking, Completing, Retiring, Completed, RollingBack, RolledBack:
		return true
	}
	return false
}

// Terminal reports whether a plan in this phase has ended.
func (p Phase) Terminal() bool { return p == Completed || p == RolledBack }

// outcomeDecided reports whether a plan in this phase can no longer be rolled back, or is already rolling back.
func (p Phase) outcomeDecided() bool {
	return p == Retiring || p == Completed || p == RollingBack || p == RolledBack
}

// BlocksStart reports whether a job must not be started: it is a new job and either its step has not begun or the plan
// is rolled back.
func (r *Record) BlocksStart(job string) bool {
	step := r.Plan.stepOf(job)
	if step < 0 {
		return false
	}
	switch r.Phase {
	case Pending, RollingBack, RolledBack:
		return true
	case Completed, Retiring:
		return false
	case Starting, Checking, Shifting, Baking, Completing:
	}
	return step > r.Step
}

// Checks returns the checks that new replicas have to pass. Comparisons with the old version are left out once that
// version is being retired.
func (r *Record) Checks() []Check {
	if r.Phase != Retiring && r.Phase != Completed {
		return r.Plan.Checks
	}
	return slices.DeleteFunc(slices.Clone(r.Plan.Checks), func(c Check) bool { return c.CompareWithOld })
}

// withPhase returns a copy of the record in another phase.
func (r *Record) withPhase(phase Phase, nowMS int64) *Record {
	next := *r
	next.Phase, next.SinceMS = phase, nowMS
	return &next
}

// WithRouters returns a copy of the record with the routers that are recorded and those that join.
func (r *Record) WithRouters(recorded, joining []string) *Record {
	next := *r
	next.Routers = slices.Concat(recorded, joining)
	slices.Sort(next.Routers)
	next.Routers = slices.Compact(next.Routers)
	return &next
}

// rollBack returns a copy of the record in the phase RollingBack.
func (r *Record) rollBack(reason Reason, detail string, nowMS int64) *Record {
	next := r.withPhase(RollingBack, nowMS)
	next.Reason, next.Detail = reason, detail
	next.Share, next.PausedMS = 0, 0
	return next
}

// Change is an operator's request to change a plan.
type Change string

// The changes of a plan that an operator may request.
const (
	Pause  Change = "pause"
	Resume Change = "resume"
	Abort  Change = "abort"
)

// RefusedError is returned if a plan cannot be changed.
type RefusedError struct{ Reason string }

func (e *RefusedError) Error() string { return e.Reason }

// Change returns the record after a change, or r itself if nothing changes.
func (r *Record) Change(change Change, nowMS int64) (*Record, error) {
	next := *r
	switch {
	case change == Abort && (r.Phase == RollingBack || r.Phase == RolledBack):
		return r, nil
	case change == Abort && r.Phase.outcomeDecided():
		return nil, &RefusedError{fmt.Sprintf("the plan is %s: the old version is being cancelled", r.Phase)}
	case change == Abort:
		return r.rollBack(Aborted, "", nowMS), nil
	case r.Phase.outcomeDecided():
		return nil, &RefusedError{fmt.Sprintf("the plan is %s", r.Phase)}
	case change == Pause && r.PausedMS == 0:
		next.PausedMS = nowMS
	case change == Resume && r.PausedMS != 0:
		next.SinceMS += max(0, nowMS-r.PausedMS) // the time before the pause still counts
		next.PausedMS = 0
	default:
		return r, nil
	}
	return &next, nil
}

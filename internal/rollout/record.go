package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Phase is where a plan stands.
type Phase string

// The phases, in order. A step goes through starting, checking, shifting and baking; any phase before
// retiring may turn into rolling back.
const (
	Pending     Phase = "pending"    // waits for the old version's capacity and the first new jobs
	Starting    Phase = "starting"   // the step's jobs may run
	Checking    Phase = "checking"   // their replicas are validated
	Shifting    Phase = "shifting"   // routers get the step's share
	Baking      Phase = "baking"     // the new version serves that share for a while
	Completing  Phase = "completing" // all routers get the new version alone
	Retiring    Phase = "retiring"   // routers fall back to the new version; then the old jobs are cancelled
	Completed   Phase = "completed"
	RollingBack Phase = "rolling_back" // traffic returns to the old version, then the new jobs are cancelled
	RolledBack  Phase = "rolled_back"
)

// Reason is why a plan rolled back.
type Reason string

// The reasons.
const (
	WrongAnswer  Reason = "wrong_answer"
	Unreachable  Reason = "unreachable"
	TimedOut     Reason = "waited_out"
	NewCancelled Reason = "new_job_cancelled"
	Aborted      Reason = "aborted"
)

// Record is a plan with its state, as it is stored.
type Record struct {
	Plan    Plan    `json:"plan"`
	Phase   Phase   `json:"phase"`
	Step    int     `json:"step"`
	Share   float64 `json:"share"` // of traffic that the new version is to get
	SinceMS int64   `json:"since"` // Unix time in milliseconds when the phase began
	Reason  Reason  `json:"reason,omitempty"`
	// Detail names the replica and the check that failed, or the job that was cancelled.
	Detail string `json:"detail,omitempty"`
	// PausedMS is the Unix time in milliseconds since when the plan is paused; 0: it is not.
	PausedMS int64 `json:"paused,omitempty"`
	// RouterLeases are all that may have been granted a routing, without those that were gone at an earlier write. They have
	// to have the routing of completion before the old version is retired.
	Routers []string `json:"routers,omitempty"`
}

// NewRecord gives the record of a plan that is applied now.
func NewRecord(plan *Plan, nowMS int64) *Record {
	return &Record{Plan: *plan, Phase: Pending, SinceMS: nowMS}
}

// ErrUnreadable says that a stored record is not one that this version understands.
var ErrUnreadable = errors.New("the record of a plan can't be read")

// Decode reads a stored record. If only the phase is unknown the record is returned with the error, so that its jobs can be
// left as they are.
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

// Terminal tells whether a plan has ended.
func (p Phase) Terminal() bool { return p == Completed || p == RolledBack }

// outcomeDecided tells whether a plan can't be rolled back any more, or is being rolled back.
func (p Phase) outcomeDecided() bool {
	return p == Retiring || p == Completed || p == RollingBack || p == RolledBack
}

// BlocksStart tells whether a job may not be started: it is a new one whose step has not begun, or the plan is rolled back.
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

// Checks gives the checks that new replicas have to pass. Once the old version is retired there is nothing to compare with.
func (r *Record) Checks() []Check {
	if r.Phase != Retiring && r.Phase != Completed {
		return r.Plan.Checks
	}
	return slices.DeleteFunc(slices.Clone(r.Plan.Checks), func(c Check) bool { return c.CompareWithOld })
}

// withPhase gives the record in another phase.
func (r *Record) withPhase(phase Phase, nowMS int64) *Record {
	next := *r
	next.Phase, next.SinceMS = phase, nowMS
	return &next
}

// WithRouters gives the record with these routers: those that are known, and some that join.
func (r *Record) WithRouters(recorded, joining []string) *Record {
	next := *r
	next.Routers = slices.Concat(recorded, joining)
	slices.Sort(next.Routers)
	next.Routers = slices.Compact(next.Routers)
	return &next
}

// rollBack gives the record in the phase RollingBack.
func (r *Record) rollBack(reason Reason, detail string, nowMS int64) *Record {
	next := r.withPhase(RollingBack, nowMS)
	next.Reason, next.Detail = reason, detail
	next.Share, next.PausedMS = 0, 0
	return next
}

// Change is an operator's request to change a plan.
type Change string

// The changes.
const (
	Pause  Change = "pause"
	Resume Change = "resume"
	Abort  Change = "abort"
)

// RefusedError says why a plan can't be changed.
type RefusedError struct{ Reason string }

func (e *RefusedError) Error() string { return e.Reason }

// Change gives the record after a change; the same one if nothing changes.
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
		next.SinceMS += max(0, nowMS-r.PausedMS) // the time before the pause counts
		next.PausedMS = 0
	default:
		return r, nil
	}
	return &next, nil
}

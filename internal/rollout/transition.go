package rollout

import "fmt"

// Next returns the next record of the plan for an observation, or nil if nothing changes. The caller must commit the
// record before acting on it.
func (r *Record) Next(o *Observation) *Record {
	next := r.next(o)
	if next != nil && o.Reconciled {
		next.Routers = o.ActiveRouters
	}
	return next
}

func (r *Record) next(o *Observation) *Record {
	switch r.Phase {
	case Completed, RolledBack:
		return nil
	case RollingBack:
		if o.allJobs(r.acceptedNewJobs(o), func(j Job) bool { return j.Ended }) && o.RoutersCurrent && !o.NewReceivesTraffic {
			return r.withPhase(RolledBack, o.NowMS)
		}
		return nil
	case Retiring:
		if o.allJobs(r.Plan.Old.Jobs, func(j Job) bool { return j.Ended }) {
			return r.withPhase(Completed, o.NowMS)
		}
		return nil
	case Pending, Starting, Checking, Shifting, Baking, Completing:
	}
	if next := r.rollBackOnFailure(o); next != nil {
		return next
	}
	if !o.Reconciled || r.PausedMS != 0 {
		return nil
	}
	if next := r.advance(o); next != nil {
		return next
	}
	return r.rollBackOnTimeout(o)
}

// rollBackOnFailure returns a record that rolls back if there is a failure from which the plan cannot recover, or nil.
func (r *Record) rollBackOnFailure(o *Observation) *Record {
	if o.FailedCheck != "" {
		return r.rollBack(CheckFailed, o.FailedCheck, o.NowMS)
	}
	for _, id := range r.Plan.New.Jobs {
		if o.Jobs[id].Cancelled {
			return r.rollBack(NewCancelled, id, o.NowMS)
		}
	}
	return nil
}

// advance returns a record in the next phase if the condition of the current phase is met, or nil.
func (r *Record) advance(o *Observation) *Record {
	capacity := r.Plan.CapacityOf(o)
	validated := o.allJobs(r.releasedJobs(), func(j Job) bool { return j.Accepted && j.Validated >= j.Replicas })
	switch r.Phase {
	case Pending:
		if capacity.oldSufficient() && o.allJobs(r.Plan.Steps[0].Jobs, func(j Job) bool { return j.Accepted }) {
			return r.withPhase(Starting, o.NowMS)
		}
	case Starting:
		if o.allJobs(r.releasedJobs(), func(j Job) bool { return j.Accepted && j.Running >= j.Replicas }) {
			return r.withPhase(Checking, o.NowMS)
		}
	case Checking:
		if validated && capacity.oldSufficient() && capacity.newSufficientFor(r.Plan.Steps[r.Step].Share) {
			next := r.withPhase(Shifting, o.NowMS)
			next.Share = r.Plan.Steps[r.Step].Share
			return next
		}
	case Shifting, Baking:
		if !validated {
			return r.withPhase(Checking, o.NowMS) // the bake time so far is lost
		}
		return r.advanceServing(o, capacity)
	case Completing:
		if validated && o.mayRetireOld(capacity) {
			return r.withPhase(Retiring, o.NowMS)
		}
	case Retiring, Completed, RollingBack, RolledBack:
	}
	return nil
}

// mayRetireOld reports whether the new version can serve all traffic and no router depends on the old version.
func (o *Observation) mayRetireOld(capacity Capacity) bool {
	return o.Revalidated && capacity.newSufficientFor(1) && o.RoutersCurrent && !o.RoutersOutdated
}

// advanceServing returns the next record of a step whose replicas are all validated, or nil. Shifting changes to Baking
// once all routers have the share of the step. Baking ends after the bake time if the old version could still serve all
// traffic after a rollback.
func (r *Record) advanceServing(o *Observation, capacity Capacity) *Record {
	switch {
	case r.Phase == Shifting && o.RoutersCurrent:
		return r.withPhase(Baking, o.NowMS)
	case r.Phase == Baking && capacity.oldSufficient() && r.phaseLasted(o, r.Plan.Steps[r.Step].BakeS):
		return r.afterBake(o)
	}
	return nil
}

// afterBake returns the record after the bake time of a step: in the next step, or in the phase Completing after the
// last one.
func (r *Record) afterBake(o *Observation) *Record {
	if r.Step+1 < len(r.Plan.Steps) {
		next := r.withPhase(Starting, o.NowMS)
		next.Step++
		return next
	}
	return r.withPhase(Completing, o.NowMS)
}

// rollBackOnTimeout returns a record that rolls back if the current phase has timed out, or nil.
func (r *Record) rollBackOnTimeout(o *Observation) *Record {
	limits := r.Plan.Limits
	reason, limit := TimedOut, limits.WaitTimeoutS
	switch r.Phase {
	case Checking:
		reason, limit = Unreachable, limits.ValidationTimeoutS
	case Baking:
		limit += r.Plan.Steps[r.Step].BakeS
	case Completing:
		limit += limits.RouterGoneS
	case Pending, Starting, Shifting, Retiring, Completed, RollingBack, RolledBack:
	}
	if !r.phaseLasted(o, limit) {
		return nil
	}
	return r.rollBack(reason, fmt.Sprintf("%s for %g s", r.Phase, limit), o.NowMS)
}

// phaseLasted reports whether the phase has certainly lasted for the given time, allowing for the clock errors of this
// leader and of the one that recorded its beginning.
func (r *Record) phaseLasted(o *Observation, seconds float64) bool {
	return float64(o.NowMS-r.SinceMS-2*o.ClockErrorMS) >= 1000*seconds
}

// releasedJobs returns the new jobs of all steps up to the current one.
func (r *Record) releasedJobs() []string {
	var jobs []string
	for _, step := range r.Plan.Steps[:r.Step+1] {
		jobs = append(jobs, step.Jobs...)
	}
	return jobs
}

// acceptedNewJobs returns the new jobs that have been submitted and accepted.
func (r *Record) acceptedNewJobs(o *Observation) []string {
	var jobs []string
	for _, id := range r.Plan.New.Jobs {
		if o.Jobs[id].Accepted {
			jobs = append(jobs, id)
		}
	}
	return jobs
}

// JobsToCancel returns the jobs to cancel now. New jobs are cancelled only when no router sends them traffic, and old
// jobs only after the decision to retire them has been committed.
func (r *Record) JobsToCancel(o *Observation) []string {
	var jobs []string
	add := func(ids []string) {
		for _, id := range ids {
			if j := o.Jobs[id]; j.Accepted && !j.Cancelled {
				jobs = append(jobs, id)
			}
		}
	}
	switch r.Phase {
	case RollingBack:
		if o.RoutersCurrent && !o.NewReceivesTraffic {
			add(r.Plan.New.Jobs)
		}
	case RolledBack:
		add(r.Plan.New.Jobs) // jobs submitted after the rollback
	case Retiring:
		// A router without the current routing would fall back to the old jobs.
		if o.RoutersCurrent && !o.RoutersOutdated {
			add(r.Plan.Old.Jobs)
		}
	case Pending, Starting, Checking, Shifting, Baking, Completing, Completed:
	}
	return jobs
}

// TargetShare returns the new version's share of traffic if its capacity is sufficient.
func (r *Record) TargetShare() float64 {
	switch r.Phase {
	case Completing, Retiring, Completed:
		return 1
	case RollingBack, RolledBack, Pending:
		return 0
	case Starting, Checking, Shifting, Baking:
	}
	return r.Share
}

// RetentionExpired reports whether the plan has ended and the retention period of its record is over.
func (r *Record) RetentionExpired(o *Observation) bool {
	return r.Phase.Terminal() && r.phaseLasted(o, r.Plan.Limits.RetentionS)
}

package rollout

// Observation is the state of the jobs, replicas and routers of a plan at one moment, as the leader observes it.
type Observation struct {
	NowMS        int64 // Unix time in milliseconds
	ClockErrorMS int64 // maximum error of each leader's clock, in milliseconds
	// Reconciled reports whether the leader has had the time to probe every replica. Before that, replicas and routers
	// must not be considered missing.
	Reconciled bool
	Jobs       map[string]Job
	// FailedCheck names a new replica that failed a check, and the check; "" if none did.
	FailedCheck string
	// RoutersCurrent reports whether each router has the current routing or an expired lease.
	RoutersCurrent bool
	// NewReceivesTraffic reports whether the current routing sends traffic to the new version.
	NewReceivesTraffic bool
	// Revalidated reports whether each replica of the new version passed a probe that was sent after the phase began.
	Revalidated bool
	// ActiveRouters are the routers that still request their routing.
	ActiveRouters []string
	// RoutersOutdated reports whether a router of the record may be active without having the current routing.
	RoutersOutdated bool
}

// Job is the observed state of a job.
type Job struct {
	Accepted  bool
	Cancelled bool // or ended: it will start no more tasks
	Ended     bool // no task of the job is left
	Replicas  int  // number when all tasks of the job run
	Running   int
	Validated int
}

// sum returns the sum of a value over the given jobs.
func (o *Observation) sum(jobs []string, value func(Job) int) int {
	n := 0
	for _, id := range jobs {
		n += value(o.Jobs[id])
	}
	return n
}

// allJobs reports whether a condition holds for all of the given jobs.
func (o *Observation) allJobs(jobs []string, condition func(Job) bool) bool {
	for _, id := range jobs {
		if !condition(o.Jobs[id]) {
			return false
		}
	}
	return true
}

// Capacity is the serving capacity of the versions of a plan.
type Capacity struct {
	Old, New float64 // of validated replicas
	Promised float64 // to be kept available by the rollout
}

// roundingTolerance bounds the rounding error of sums of capacities.
const roundingTolerance = 1e-9

// oldSufficient reports whether the old version can serve all of the promised capacity.
func (c Capacity) oldSufficient() bool { return c.Old >= c.Promised-roundingTolerance }

// newSufficientFor reports whether the new version can serve a share of the promised capacity.
func (c Capacity) newSufficientFor(share float64) bool {
	return c.New >= share*c.Promised-roundingTolerance
}

// CapacityOf returns the capacity of the versions of a plan. The promised capacity is that of the plan, but no more
// than that of the old jobs which their owner has not cancelled.
func (p *Plan) CapacityOf(o *Observation) Capacity {
	validated := func(j Job) int { return j.Validated }
	remaining := func(j Job) int {
		if j.Cancelled {
			return 0
		}
		return j.Replicas
	}
	return Capacity{
		Old:      p.Old.ReplicaCapacity * float64(o.sum(p.Old.Jobs, validated)),
		New:      p.New.ReplicaCapacity * float64(o.sum(p.New.Jobs, validated)),
		Promised: min(p.PromisedCapacity, p.Old.ReplicaCapacity*float64(o.sum(p.Old.Jobs, remaining))),
	}
}

// OldCapacityRunning reports whether enough replicas of the old version are running for the promised capacity,
// validated or not.
func (p *Plan) OldCapacityRunning(o *Observation) bool {
	running := o.sum(p.Old.Jobs, func(j Job) int { return j.Running })
	return p.Old.ReplicaCapacity*float64(running) >= p.CapacityOf(o).Promised-roundingTolerance
}

// NewShare returns the new version's share of traffic that is closest to the target and sends neither version more of
// the promised load than it can serve. If both versions together cannot serve the promised load, traffic is divided in
// proportion to their capacity.
func (c Capacity) NewShare(target float64) float64 {
	if c.New <= 0 {
		return 0
	}
	if c.Old+c.New <= c.Promised {
		return c.New / (c.Old + c.New)
	}
	if c.Promised <= 0 {
		return target
	}
	highest, lowest := min(1, c.New/c.Promised), max(0, 1-c.Old/c.Promised)
	return min(highest, max(lowest, target))
}

package rollout

// Observation is the state of a plan's jobs, replicas and routers at a moment, as a leader sees it.
type Observation struct {
	NowMS        int64 // Unix time in milliseconds
	ClockErrorMS int64 // what the clocks of two leaders may differ from the true time, each
	// Reconciled tells that the leader has had time to probe each replica. Before that nothing is known to be missing.
	Reconciled bool
	Jobs       map[string]Job
	// FailedCheck names a new replica that has failed a check, and the check; "": none has.
	FailedCheck string
	// RoutersCurrent tells that each router has the current routing, or that its lease has expired.
	RoutersCurrent bool
	// NewReceivesTraffic tells whether the current routing sends traffic to the new version.
	NewReceivesTraffic bool
	// Revalidated tells that each replica of the new version was probed after the phase began, and passed.
	Revalidated bool
	// RouterLeases are those that still request their routing.
	ActiveRouters []string
	// RoutersOutdated tells that one of the record's routers may be alive and does not have the current routing.
	RoutersOutdated bool
}

// Job is what is seen of a job.
type Job struct {
	Accepted  bool
	Cancelled bool // or ended: it has no future
	Ended     bool // none of its tasks is left
	Replicas  int  // that it has when all of them run
	Running   int
	Validated int
}

// sum adds up a number over jobs.
func (o *Observation) sum(jobs []string, value func(Job) int) int {
	n := 0
	for _, id := range jobs {
		n += value(o.Jobs[id])
	}
	return n
}

// allJobs tells whether a condition holds for all of some jobs.
func (o *Observation) allJobs(jobs []string, condition func(Job) bool) bool {
	for _, id := range jobs {
		if !condition(o.Jobs[id]) {
			return false
		}
	}
	return true
}

// Capacity is what a plan's versions can serve.
type Capacity struct {
	Old, New float64 // of validated replicas
	Promised float64 // that the rollout has to keep
}

// roundingTolerance is for sums of capacities.
const roundingTolerance = 1e-9

// oldSufficient tells whether the old version can serve all of the promised capacity.
func (c Capacity) oldSufficient() bool { return c.Old >= c.Promised-roundingTolerance }

// newSufficientFor tells whether the new version can serve a share of the promised capacity.
func (c Capacity) newSufficientFor(share float64) bool {
	return c.New >= share*c.Promised-roundingTolerance
}

// CapacityOf adds up the capacity of a plan's versions. What is promised is what the plan says, as far as its owner has not
// cancelled the old jobs that serve it.
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

// OldCapacityRunning tells whether as many replicas of the old version run as the promised capacity takes, validated or not.
func (p *Plan) OldCapacityRunning(o *Observation) bool {
	running := o.sum(p.Old.Jobs, func(j Job) int { return j.Running })
	return p.Old.ReplicaCapacity*float64(running) >= p.CapacityOf(o).Promised-roundingTolerance
}

// NewShare gives the share of traffic for the new version that is closest to a target, such that neither version gets more
// of the promised load than it can serve, as far as both together can.
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

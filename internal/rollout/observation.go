package rollout

// Observation is what a leader sees of a plan's jobs, replicas and routers at a moment.
type Observation struct {
	NowMS        int64 // time of day
	ClockErrorMS int64 // what the clocks of two leaders may differ from the true time, each
	// Reconciled tells that the leader has had time to ask each replica. Before that nothing is known to be missing.
	Reconciled bool
	Jobs       map[string]Job
	// FailedCheck names a new replica that has answered wrongly, and the check; "": none has.
	FailedCheck string
	// RoutersCurrent tells that each router knows of the shares that are in force, or that its lease has run out.
	RoutersCurrent bool
	// NewServes tells whether the shares that are in force send traffic to the new version.
	NewServes bool
	// Revalidated tells that each replica of the new version was asked after the phase began, and found right.
	Revalidated bool
	// Routers are those that are not gone.
	Routers []string
	// RoutersMissing tells that one of the record's routers does not know of the completion and is not gone.
	RoutersMissing bool
}

// Job is what is seen of a job.
type Job struct {
	Accepted  bool
	Cancelled bool // or ended: it has no future
	Over      bool // nothing of it is left
	Replicas  int  // that it has when it is whole
	Running   int
	Validated int
}

// count adds up something of some jobs.
func (o *Observation) count(jobs []string, of func(Job) int) int {
	n := 0
	for _, id := range jobs {
		n += of(o.Jobs[id])
	}
	return n
}

// all tells whether something holds for all of some jobs.
func (o *Observation) all(jobs []string, of func(Job) bool) bool {
	for _, id := range jobs {
		if !of(o.Jobs[id]) {
			return false
		}
	}
	return true
}

// Capacity is what a plan's versions can serve.
type Capacity struct {
	Old, New float64 // proved
	Promised float64 // what the rollout may not go below
}

// tolerance is for sums of capacities.
const tolerance = 1e-9

// oldSufficient tells whether the old version can serve all that is promised.
func (c Capacity) oldSufficient() bool { return c.Old >= c.Promised-tolerance }

// newSufficient tells whether the new version can serve a share of what is promised.
func (c Capacity) newSufficient(share float64) bool { return c.New >= share*c.Promised-tolerance }

// CapacityOf adds up the capacity of a plan. The promise is that of the plan, less what its owner took away
// by cancelling old jobs.
func (p *Plan) CapacityOf(o *Observation) Capacity {
	proved := func(j Job) int { return j.Validated }
	whole := func(j Job) int {
		if j.Cancelled {
			return 0
		}
		return j.Replicas
	}
	return Capacity{
		Old:      p.Old.ReplicaCapacity * float64(o.count(p.Old.Jobs, proved)),
		New:      p.New.ReplicaCapacity * float64(o.count(p.New.Jobs, proved)),
		Promised: min(p.PromisedCapacity, p.Old.ReplicaCapacity*float64(o.count(p.Old.Jobs, whole))),
	}
}

// OldRuns tells whether so many replicas of the old version run as the promise takes, proved or not.
func (p *Plan) OldRuns(o *Observation) bool {
	running := o.count(p.Old.Jobs, func(j Job) int { return j.Running })
	return p.Old.ReplicaCapacity*float64(running) >= p.CapacityOf(o).Promised-tolerance
}

// NewShare gives the share of traffic for the new version that comes nearest to the one that is aimed for,
// where each version gets no more of the promised load than it can serve, as far as both together can.
func (c Capacity) NewShare(aim float64) float64 {
	if c.New <= 0 {
		return 0
	}
	if c.Old+c.New <= c.Promised {
		return c.New / (c.Old + c.New)
	}
	if c.Promised <= 0 {
		return aim
	}
	most, least := min(1, c.New/c.Promised), max(0, 1-c.Old/c.Promised)
	return min(most, max(least, aim))
}

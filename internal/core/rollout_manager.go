package core

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/election"
	"bitternwing/internal/outcome"
	"bitternwing/internal/rollout"
	"bitternwing/internal/stored"
	"bitternwing/internal/watchcache"
	"bitternwing/internal/wire"
)

// rolloutManager carries out rollout plans on the leader. Package rollout decides the next transition of a plan. A
// transition is committed to the store before it takes effect.
type rolloutManager struct {
	leader         *leader
	nextCheck      time.Duration
	activeByName   map[string]*activeRollout
	uncommitted    map[string]*rollout.Record // new plans whose first write is in flight; they already hold their jobs
	probesInFlight int
}

// activeRollout is the state that the leader keeps in memory for a plan. The next leader starts without it.
type activeRollout struct {
	name          string
	takenOverAt   time.Duration // when this leader took it over
	validations   *rollout.Validations
	routers       *rollout.RouterLeases
	routing       rollout.Routing
	reconciled    bool
	phase         rollout.Phase // phase of the record when it was last checked
	phaseSince    time.Duration // when this leader first saw that phase
	writeInFlight bool
	retryAt       time.Duration // earliest time of the next write
	changes       []planChange  // waiting to be committed
	joinRequests  []routerJoin  // requests of routers whose names are not in the record yet
	joinsInFlight []routerJoin  // requests of routers whose names are being written
	// droppedRouters holds the routers that a write of this term has removed from the record, or may still remove.
	droppedRouters map[string]bool
}

// planChange is an operator's request to change a plan.
type planChange struct {
	requestID uint64
	change    rollout.Change
}

// newRolloutManager returns a manager that takes over each plan when it first runs.
func newRolloutManager(l *leader) *rolloutManager {
	return &rolloutManager{
		leader:       l,
		nextCheck:    l.core.now.Steady,
		activeByName: map[string]*activeRollout{},
		uncommitted:  map[string]*rollout.Record{},
	}
}

// probeInterval returns the time between two probes of a replica.
func (c *Core) probeInterval() time.Duration {
	return config.Seconds(c.operator.Rollouts.CheckIntervalS)
}

// probeTimeout returns the timeout of a probe.
func (c *Core) probeTimeout() time.Duration { return config.Seconds(c.operator.Rollouts.CheckTimeoutS) }

// routerLease returns how long a router may use a routing, measured by the router's clock.
func (c *Core) routerLease() time.Duration { return config.Seconds(c.operator.Rollouts.RouterLeaseS) }

// routingHoldTime returns the time, by this node's clock, after which a router's lease has expired despite clock drift.
func (c *Core) routingHoldTime() time.Duration {
	return time.Duration(float64(c.routerLease()) * (1 + election.MaxClockDrift))
}

// maxReplicaProbes returns how many probes of replicas may be in flight. Each takes one connection.
func (c *Core) maxReplicaProbes() int { return max(4, c.settings.Params.Limits.MaxConnections/40) }

// run advances all plans.
func (m *rolloutManager) run() {
	l, c := m.leader, m.leader.core
	if c.cache.PlanCount() == 0 && len(m.activeByName) == 0 {
		return
	}
	if c.now.Steady < m.nextCheck {
		c.wakeBy(m.nextCheck)
		return
	}
	m.nextCheck = c.now.Steady + c.times.minCycleGap
	c.wakeBy(m.nextCheck)
	for _, name := range slices.Sorted(maps.Keys(m.activeByName)) {
		if c.cache.Plan(name) == nil {
			m.drop(m.activeByName[name])
		}
	}
	for _, name := range c.cache.PlanNames() {
		current := c.cache.Plan(name)
		active := m.activeByName[name]
		if active == nil {
			active = m.takeOver(name, current)
		}
		if current.Problem == nil {
			l.runRollout(active, current)
		}
	}
}

// takeOver takes over a plan. It starts without an earlier leader's knowledge of the plan's replicas and routers.
func (m *rolloutManager) takeOver(name string, current *watchcache.Plan) *activeRollout {
	c := m.leader.core
	active := &activeRollout{
		name:           name,
		takenOverAt:    c.now.Steady,
		validations:    rollout.NewValidations(c.probeInterval()),
		routers:        rollout.NewRouterLeases(c.routingHoldTime(), c.now.Steady, c.operator.Rollouts.MaxRouters),
		routing:        rollout.Routing{Generation: rollout.Generation{Term: m.leader.term}},
		droppedRouters: map[string]bool{},
	}
	m.activeByName[name] = active
	if current.Problem != nil {
		c.log(Error, "rollout plan unreadable, skipped", "plan", name, "error", current.Problem.Error())
	}
	return active
}

// drop drops the state of a plan whose record was removed, and rejects the requests that wait for it.
func (m *rolloutManager) drop(active *activeRollout) {
	delete(m.activeByName, active.name)
	for _, requestID := range active.pendingRequests() {
		m.leader.core.respond(requestID, http.StatusNotFound, wire.ErrorBody{Error: reasonNoSuchPlan})
	}
}

// pendingRequests returns the IDs of the requests that wait for a commit of the plan.
func (active *activeRollout) pendingRequests() []uint64 {
	var requests []uint64
	for _, pending := range active.changes {
		requests = append(requests, pending.requestID)
	}
	for _, pending := range slices.Concat(active.joinRequests, active.joinsInFlight) {
		requests = append(requests, pending.requestID)
	}
	return requests
}

// rejectPending rejects all requests that wait for a commit. It is called at the end of the term.
func (m *rolloutManager) rejectPending() {
	for _, name := range slices.Sorted(maps.Keys(m.activeByName)) {
		for _, requestID := range m.activeByName[name].pendingRequests() {
			m.leader.core.respondRetryLater(requestID, http.StatusServiceUnavailable, reasonUnavailable)
		}
	}
}

// planChanged updates which jobs are held back after a plan has changed.
func (l *leader) planChanged(before, after *watchcache.Plan) {
	if !l.recovered {
		return
	}
	for _, current := range []*watchcache.Plan{before, after} {
		if current != nil && current.Record != nil {
			l.refreshHoldsOf(current.Record.Plan.New.Jobs)
		}
	}
}

// runRollout probes the plan's replicas, updates its routing, queues the cancellations that are due, and starts at most
// one write of its record.
func (l *leader) runRollout(active *activeRollout, current *watchcache.Plan) {
	c, r := l.core, current.Record
	replicas := l.replicasOf(&r.Plan)
	active.validations.SetReplicas(replicas)
	active.reconcile(l, &r.Plan)
	if active.phase != r.Phase {
		active.phase, active.phaseSince = r.Phase, c.now.Steady
	}
	l.probeReplicas(active, r) // also of an ended plan: routers use its routing until it is removed
	o := l.observeRollout(active, r)
	if active.mayRoute(r, o) && l.hasAuthority() {
		active.updateRouting(c, r, o)
		l.addRouterObservations(active, r, o)
	}
	for _, id := range r.JobsToCancel(o) {
		if j := l.jobs[id]; j != nil && !j.cancelled {
			l.writer.queueCancel(j)
		}
	}
	if !l.mayCommit() {
		c.rejectJoins(active.joinRequests)
		active.joinRequests = nil
		return
	}
	if active.writeInFlight || c.now.Steady < active.retryAt {
		return
	}
	switch {
	case len(active.changes) > 0:
		l.commitChange(active, current)
	case r.RetentionExpired(o):
		l.removePlan(active, current)
	case len(active.joinRequests) > 0:
		l.commitJoins(active, current, o)
	default:
		if next := r.Next(o); next != nil {
			l.commitTransition(active, current, next, func(Result) {})
		}
	}
}

// reconcile marks the plan as reconciled once this leader has received a heartbeat from each machine with tasks of the
// plan and has probed each replica. After a deadline it does so in any case: a worker that has not reached the leader
// within its lease has stopped its tasks.
func (active *activeRollout) reconcile(l *leader, plan *rollout.Plan) {
	c := l.core
	if active.reconciled {
		return
	}
	deadline := active.takenOverAt + c.times.lease + 2*c.probeInterval() + c.probeTimeout()
	reported := c.now.Steady >= active.takenOverAt+c.times.heartbeatTimeout && l.allPlanMachinesReported(plan)
	active.reconciled = c.now.Steady >= deadline || reported && active.validations.AllProbed()
}

// allPlanMachinesReported reports whether each machine with a task of a plan has sent a heartbeat in this term.
func (l *leader) allPlanMachinesReported(plan *rollout.Plan) bool {
	for _, id := range plan.Jobs() {
		j := l.jobs[id]
		if j == nil {
			continue
		}
		for _, p := range j.placements {
			if !p.machine.reportedInTerm {
				return false
			}
		}
	}
	return true
}

// replicasOf returns the running tasks of a plan's jobs, those of the old version first.
func (l *leader) replicasOf(plan *rollout.Plan) []rollout.Replica {
	var replicas []rollout.Replica
	add := func(ids []string, version rollout.Version) {
		for _, id := range ids {
			j := l.jobs[id]
			if j == nil || j.cancelled || !planMatchesJob(plan, j.spec) {
				continue
			}
			for _, p := range j.placementsByTask() {
				address, ok := l.core.modelAddress(p.machine.addr)
				if p.state == wire.TaskRunning && p.stop == stopNone && ok {
					replicas = append(replicas, rollout.Replica{Job: id, Task: p.name(), Attempt: p.attempt, Address: address, Version: version})
				}
			}
		}
	}
	add(plan.Old.Jobs, rollout.OldVersion)
	add(plan.New.Jobs, rollout.NewVersion)
	return replicas
}

// modelAddress returns the address of the model server on a machine, and false if the machine's address is invalid.
func (c *Core) modelAddress(machineAddr string) (string, bool) {
	host, _, err := net.SplitHostPort(machineAddr)
	if err != nil {
		return "", false
	}
	return net.JoinHostPort(host, strconv.Itoa(c.operator.Rollouts.ModelPort)), true
}

// observeRollout returns the state of a plan's jobs and replicas. It assumes that routers are outdated and that the new
// version receives traffic; addRouterObservations replaces this by the state of the routers once the leader has
// reconciled.
func (l *leader) observeRollout(active *activeRollout, r *rollout.Record) *rollout.Observation {
	c := l.core
	o := &rollout.Observation{
		NowMS:              c.now.WallMS,
		ClockErrorMS:       c.maxClockError().Milliseconds(),
		Reconciled:         active.reconciled,
		Jobs:               map[string]rollout.Job{},
		Revalidated:        active.validations.NewValidatedSince(active.phaseSince, c.now.Steady),
		FailedCheck:        active.validations.FailedCheck(),
		NewReceivesTraffic: true,
		RoutersOutdated:    true,
	}
	for _, id := range r.Plan.Old.Jobs {
		o.Jobs[id] = l.observeRolloutJob(&r.Plan, id, true)
	}
	for _, id := range r.Plan.New.Jobs {
		o.Jobs[id] = l.observeRolloutJob(&r.Plan, id, false)
	}
	for _, s := range active.validations.States(c.now.Steady) {
		j := o.Jobs[s.Replica.Job]
		j.Running++
		if s.Validated {
			j.Validated++
		}
		o.Jobs[s.Replica.Job] = j
	}
	return o
}

// observeRolloutJob returns the state of a job. A job that was accepted and no longer exists has ended; old jobs
// are known to have been accepted.
func (l *leader) observeRolloutJob(plan *rollout.Plan, id string, wasAccepted bool) rollout.Job {
	cached := l.core.cache.Job(id)
	if cached == nil {
		_, ended := l.core.cache.FinalState(id)
		hasEnded := wasAccepted || ended
		return rollout.Job{Accepted: hasEnded, Cancelled: hasEnded, Ended: hasEnded}
	}
	if !planMatchesJob(plan, cached.Spec) {
		return rollout.Job{}
	}
	return rollout.Job{Accepted: true, Cancelled: cached.CancelledMS != 0, Replicas: cached.Spec.Tasks}
}

// mayRoute reports whether enough is known to compute a routing. A rollback does not wait for validations once enough
// replicas of the old version run: the sooner traffic returns to them, the fewer wrong answers are served.
func (active *activeRollout) mayRoute(r *rollout.Record, o *rollout.Observation) bool {
	return active.reconciled || r.Phase == rollout.RollingBack && r.Plan.OldCapacityRunning(o)
}

// updateRouting recomputes a plan's routing from the validations of its replicas, and increments the revision if it
// changes.
func (active *activeRollout) updateRouting(c *Core, r *rollout.Record, o *rollout.Observation) {
	capacity := r.Plan.CapacityOf(o)
	if !active.reconciled {
		capacity.New = 0 // route to the old version, which runs although it is not validated yet
	}
	routing := rollout.ComputeRouting(r, capacity, active.validations.States(c.now.Steady))
	routing.Generation = active.routing.Generation
	if routing.Generation.Revision > 0 && routing.SameWeights(&active.routing) {
		return
	}
	routing.Generation.Revision++
	active.routing = routing
	c.log(Debug, "rollout routing updated", "plan", active.name, "term", routing.Generation.Term, "revision", routing.Generation.Revision,
		"replicas", len(routing.Weights), "target_share", r.TargetShare(), "old_capacity", capacity.Old, "new_capacity", capacity.New)
}

// probeReplicas sends the probes that are due. Replicas of the new version also have to pass the plan's checks.
func (l *leader) probeReplicas(active *activeRollout, record *rollout.Record) {
	m := l.rollouts
	for _, probe := range active.validations.DueProbes(l.core.now.Steady, l.core.maxReplicaProbes()-m.probesInFlight) {
		m.probesInFlight++
		id := l.registerCall(func(r Result) {
			m.probesInFlight--
			if r.Outcome == outcome.Dropped {
				active.validations.ProbeNotSent(probe.Replica)
				return
			}
			active.validations.RecordResult(probe.Replica, r.Probe, l.core.now.Steady)
			if r.Probe.Verdict != rollout.Passed {
				l.core.log(Debug, "replica not validated", "plan", active.name, "task", probe.Replica.Task, "verdict", r.Probe.Verdict.String(),
					"check", r.Probe.Check)
			}
		})
		effect := ProbeReplica{CallID: id, Probe: probe, Timeout: l.core.probeTimeout()}
		if probe.Replica.Version == rollout.NewVersion {
			effect.Checks = record.Checks()
		}
		l.core.emit(effect)
	}
}

// conditionalTxn returns a compare-and-swap of a key on its version, fenced by the leader's term.
func (l *leader) conditionalTxn(key string, version uint64, op wire.Op) wire.Txn {
	return wire.Txn{If: []wire.Condition{l.termCondition(), {Key: key, Version: version}}, Then: []wire.Op{op}}
}

// commitPlan writes a plan's next record, and calls onResult with the result. The record takes effect once the write is
// known to have succeeded.
func (l *leader) commitPlan(active *activeRollout, current *watchcache.Plan, next *rollout.Record, onResult func(Result)) {
	c := l.core
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	active.writeInFlight = true
	active.markDropped(current.Record, next)
	l.writer.spend(1)
	id := l.registerStoreCall(func(r Result) {
		active.writeInFlight = false
		l.applyPlanWriteResult(active, r, value)
		if r.Outcome == outcome.OK {
			active.markRecorded(next)
		}
		onResult(r)
	})
	key := stored.PlanKey(active.name)
	c.emit(StoreTxn{CallID: id, Txn: l.conditionalTxn(key, current.Version, wire.Op{Put: key, Value: value})})
}

// commitTransition writes a plan's next phase or an operator's change, and logs it once it is committed.
func (l *leader) commitTransition(active *activeRollout, current *watchcache.Plan, next *rollout.Record, onResult func(Result)) {
	l.commitPlan(active, current, next, func(r Result) {
		if r.Outcome == outcome.OK {
			l.logPlan(active, next)
		}
		onResult(r)
	})
}

// logPlan logs a committed transition with the plan's capacity.
func (l *leader) logPlan(active *activeRollout, record *rollout.Record) {
	capacity := record.Plan.CapacityOf(l.observeRollout(active, record))
	l.core.log(Info, "rollout phase committed", "plan", active.name, "phase", string(record.Phase), "step", record.Step+1, "share", record.Share,
		"reason", string(record.Reason), "detail", record.Detail, "paused", record.PausedMS != 0,
		"old_capacity", capacity.Old, "new_capacity", capacity.New, "promised", capacity.Promised,
		"routers", len(active.routers.Active(nil, l.core.routingHoldTime(), l.core.now.Steady)))
}

// applyPlanWriteResult handles the result of a write of a plan. The value is nil if the write removes the plan.
func (l *leader) applyPlanWriteResult(active *activeRollout, r Result, value json.RawMessage) {
	c := l.core
	switch {
	case r.Outcome == outcome.OK:
		c.applyPlan(active.name, value, r.Txn.Revision)
	case termSuperseded(r):
		c.election.StepDown(election.TermSuperseded)
	case r.Outcome == outcome.Conflict, r.Outcome == outcome.Unknown:
		// An earlier write was applied after all, or this one may still be applied: read what is stored.
		l.rereadPlan(active)
	default:
		active.retryAt = c.now.Steady + c.times.retryPause
		c.wakeBy(active.retryAt)
	}
}

// rereadPlan reads the stored record of a plan and applies it.
func (l *leader) rereadPlan(active *activeRollout) {
	c := l.core
	active.writeInFlight = true
	id := l.registerStoreCall(func(r Result) {
		active.writeInFlight = false
		active.retryAt = c.now.Steady + c.times.retryPause
		if r.Outcome == outcome.OK {
			c.applyPlan(active.name, r.Item.Value, r.Item.Version)
		}
	})
	c.emit(StoreGet{CallID: id, Key: stored.PlanKey(active.name)})
}

// removePlan deletes the record of an ended plan whose retention period has expired.
func (l *leader) removePlan(active *activeRollout, current *watchcache.Plan) {
	active.writeInFlight = true
	l.writer.spend(1)
	id := l.registerStoreCall(func(r Result) {
		active.writeInFlight = false
		l.applyPlanWriteResult(active, r, nil)
	})
	key := stored.PlanKey(active.name)
	l.core.emit(StoreTxn{CallID: id, Txn: l.conditionalTxn(key, current.Version, wire.Op{Delete: key})})
}

// applyPlan updates the cache with a plan's record that was read, written or watched, and the jobs that it holds back.
func (c *Core) applyPlan(name string, value json.RawMessage, version uint64) {
	before := c.cache.Plan(name)
	c.cache.ApplyPlan(name, value, version)
	if c.leader != nil {
		c.leader.planChanged(before, c.cache.Plan(name))
	}
}

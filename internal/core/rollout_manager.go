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

// rolloutManager carries out the plans of rollouts on the leader. Package rollout decides what a plan does next; that is
// committed before it takes effect.
type rolloutManager struct {
	leader         *leader
	nextCheck      time.Duration
	runs           map[string]*activeRollout
	uncommitted    map[string]*rollout.Record // their first write is in flight: they hold their jobs already
	probesInFlight int
}

// activeRollout is a plan while a leader carries it out.
type activeRollout struct {
	name          string
	since         time.Duration // when this leader took it over
	validations   *rollout.Validations
	routers       *rollout.RouterLeases
	routing       rollout.Routing
	reconciled    bool
	phase         rollout.Phase // that was last seen, and since when
	phaseSince    time.Duration
	writeInFlight bool
	retryAt       time.Duration
	changes       []planChange // of operators, that wait to be committed
	joinRequests  []routerJoin // of routers whose names are not in the record yet
	joinsInFlight []routerJoin // of routers whose names are being written
	// droppedRouters holds the routers that a write of this term removes from the record, or may yet remove.
	droppedRouters map[string]bool
}

// planChange is a request of an operator to change a plan.
type planChange struct {
	req    uint64
	change rollout.Change
}

func newRolloutManager(l *leader) *rolloutManager {
	return &rolloutManager{
		leader:      l,
		nextCheck:   l.core.now.Steady,
		runs:        map[string]*activeRollout{},
		uncommitted: map[string]*rollout.Record{},
	}
}

// probeInterval and probeTimeout are the operators' settings for the probes of replicas.
func (c *Core) probeInterval() time.Duration {
	return config.Seconds(c.operator.Rollouts.CheckIntervalS)
}

func (c *Core) probeTimeout() time.Duration { return config.Seconds(c.operator.Rollouts.CheckTimeoutS) }

// routerLease is how long a router may use a routing, by its own clock; routingHoldTime is the same by this node's clock.
func (c *Core) routerLease() time.Duration { return config.Seconds(c.operator.Rollouts.RouterLeaseS) }

func (c *Core) routingHoldTime() time.Duration {
	return time.Duration(float64(c.routerLease()) * (1 + election.MaxClockDrift))
}

// maxReplicaProbes bounds the number of connections for probes of replicas.
func (c *Core) maxReplicaProbes() int { return max(4, c.settings.Params.Limits.MaxConnections/40) }

// run advances all plans.
func (m *rolloutManager) run() {
	l, c := m.leader, m.leader.core
	if c.cache.PlanCount() == 0 && len(m.runs) == 0 {
		return
	}
	if c.now.Steady < m.nextCheck {
		c.wakeBy(m.nextCheck)
		return
	}
	m.nextCheck = c.now.Steady + c.times.minCycleGap
	c.wakeBy(m.nextCheck)
	for _, name := range slices.Sorted(maps.Keys(m.runs)) {
		if c.cache.Plan(name) == nil {
			m.end(m.runs[name])
		}
	}
	for _, name := range c.cache.PlanNames() {
		current := c.cache.Plan(name)
		run := m.runs[name]
		if run == nil {
			run = m.begin(name, current)
		}
		if current.Problem == nil {
			l.runRollout(run, current)
		}
	}
}

// begin takes a plan over. What an earlier leader knew of its replicas and routers is not known here.
func (m *rolloutManager) begin(name string, current *watchcache.Plan) *activeRollout {
	c := m.leader.core
	run := &activeRollout{
		name:           name,
		since:          c.now.Steady,
		validations:    rollout.NewValidations(c.probeInterval()),
		routers:        rollout.NewRouterLeases(c.routingHoldTime(), c.now.Steady, c.operator.Rollouts.MaxRouters),
		routing:        rollout.Routing{Generation: rollout.Generation{Term: m.leader.term}},
		droppedRouters: map[string]bool{},
	}
	m.runs[name] = run
	if current.Problem != nil {
		c.log(Error, "rollout plan unreadable, skipped", "plan", name, "error", current.Problem.Error())
	}
	return run
}

func (m *rolloutManager) end(run *activeRollout) {
	delete(m.runs, run.name)
	for _, req := range run.waiting() {
		m.leader.core.respond(req, http.StatusNotFound, wire.ErrorBody{Error: reasonNoSuchPlan})
	}
}

// waiting gives the IDs of the requests that wait for a commit.
func (run *activeRollout) waiting() []uint64 {
	var requests []uint64
	for _, x := range run.changes {
		requests = append(requests, x.req)
	}
	for _, x := range slices.Concat(run.joinRequests, run.joinsInFlight) {
		requests = append(requests, x.req)
	}
	return requests
}

// refuseWaiting answers all requests that wait for a commit, at the end of this term.
func (m *rolloutManager) refuseWaiting() {
	for _, name := range slices.Sorted(maps.Keys(m.runs)) {
		for _, req := range m.runs[name].waiting() {
			m.leader.core.respondRetryLater(req, http.StatusServiceUnavailable, reasonUnavailable)
		}
	}
}

// planChanged updates which jobs are held after a plan has changed.
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

// runRollout advances a plan by what is observed.
func (l *leader) runRollout(run *activeRollout, current *watchcache.Plan) {
	c, r := l.core, current.Record
	replicas := l.replicasOf(&r.Plan)
	run.validations.SetReplicas(replicas)
	run.reconcile(l, &r.Plan)
	if run.phase != r.Phase {
		run.phase, run.phaseSince = r.Phase, c.now.Steady
	}
	l.probeReplicas(run, r) // of an ended plan too: routers use its routing until it is removed
	o := l.observeRollout(run, r)
	if run.mayRoute(r, o) && l.hasAuthority() {
		run.route(c, r, o)
		l.addRouterObservations(run, r, o)
	}
	for _, id := range r.JobsToCancel(o) {
		if j := l.jobs[id]; j != nil && !j.cancelled {
			l.writer.queueCancel(j)
		}
	}
	if !l.mayCommit() {
		c.refuseJoins(run.joinRequests)
		run.joinRequests = nil
		return
	}
	if run.writeInFlight || c.now.Steady < run.retryAt {
		return
	}
	switch {
	case len(run.changes) > 0:
		l.commitChange(run, current)
	case r.RetentionExpired(o):
		l.removePlan(run, current)
	case len(run.joinRequests) > 0:
		l.commitJoins(run, current, o)
	default:
		if next := r.Next(o); next != nil {
			l.commitTransition(run, current, next, func(Result) {})
		}
	}
}

// reconcile notes when this leader has a heartbeat of each machine with tasks of the plan, and has probed each replica. A
// worker that has not found the leader within a lease has stopped its tasks.
func (run *activeRollout) reconcile(l *leader, plan *rollout.Plan) {
	c := l.core
	if run.reconciled {
		return
	}
	deadline := run.since + c.times.lease + 2*c.probeInterval() + c.probeTimeout()
	reported := c.now.Steady >= run.since+c.times.heartbeatTimeout && l.allPlanMachinesReported(plan)
	run.reconciled = c.now.Steady >= deadline || reported && run.validations.AllProbed()
}

// allPlanMachinesReported tells whether each machine with a task of a plan has sent a heartbeat in this term.
func (l *leader) allPlanMachinesReported(plan *rollout.Plan) bool {
	for _, id := range plan.Jobs() {
		j := l.jobs[id]
		if j == nil {
			continue
		}
		for _, p := range j.placements {
			if !p.machine.reported {
				return false
			}
		}
	}
	return true
}

// replicasOf gives the running tasks of a plan's jobs.
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

// modelAddress gives the address of the model server on a machine; false if the machine's address is invalid.
func (c *Core) modelAddress(machine string) (string, bool) {
	host, _, err := net.SplitHostPort(machine)
	if err != nil {
		return "", false
	}
	return net.JoinHostPort(host, strconv.Itoa(c.operator.Rollouts.ModelPort)), true
}

// observeRollout observes a plan's jobs and replicas. Routers are added by addRouterObservations once the leader has
// reconciled.
func (l *leader) observeRollout(run *activeRollout, r *rollout.Record) *rollout.Observation {
	c := l.core
	o := &rollout.Observation{
		NowMS:              c.now.WallMS,
		ClockErrorMS:       c.clockError().Milliseconds(),
		Reconciled:         run.reconciled,
		Jobs:               map[string]rollout.Job{},
		Revalidated:        run.validations.NewValidatedSince(run.phaseSince, c.now.Steady),
		FailedCheck:        run.validations.FailedCheck(),
		NewReceivesTraffic: true,
		RoutersOutdated:    true,
	}
	for _, id := range r.Plan.Old.Jobs {
		o.Jobs[id] = l.observeRolloutJob(&r.Plan, id, true)
	}
	for _, id := range r.Plan.New.Jobs {
		o.Jobs[id] = l.observeRolloutJob(&r.Plan, id, false)
	}
	for _, s := range run.validations.States(c.now.Steady) {
		j := o.Jobs[s.Replica.Job]
		j.Running++
		if s.Validated {
			j.Validated++
		}
		o.Jobs[s.Replica.Job] = j
	}
	return o
}

// observeRolloutJob observes a job. One that was accepted, as all old jobs were, and does not exist any more is over.
func (l *leader) observeRolloutJob(plan *rollout.Plan, id string, wasAccepted bool) rollout.Job {
	e := l.core.cache.Job(id)
	if e == nil {
		_, ended := l.core.cache.FinalState(id)
		over := wasAccepted || ended
		return rollout.Job{Accepted: over, Cancelled: over, Ended: over}
	}
	if !planMatchesJob(plan, e.Spec) {
		return rollout.Job{}
	}
	return rollout.Job{Accepted: true, Cancelled: e.CancelledMS != 0, Replicas: e.Spec.Tasks}
}

// mayRoute tells whether enough is known for a routing. A rollback does not wait for validations once as much of the old
// version runs as can serve: the sooner traffic returns to it, the fewer wrong answers.
func (run *activeRollout) mayRoute(r *rollout.Record, o *rollout.Observation) bool {
	return run.reconciled || r.Phase == rollout.RollingBack && r.Plan.OldCapacityRunning(o)
}

// route updates a plan's routing by the validations of its replicas.
func (run *activeRollout) route(c *Core, r *rollout.Record, o *rollout.Observation) {
	capacity := r.Plan.CapacityOf(o)
	if !run.reconciled {
		capacity.New = 0 // the old version runs, though it is not validated yet
	}
	routing := rollout.ComputeRouting(r, capacity, run.validations.States(c.now.Steady))
	routing.Generation = run.routing.Generation
	if routing.Generation.Revision > 0 && routing.SameWeights(&run.routing) {
		return
	}
	routing.Generation.Revision++
	run.routing = routing
	c.log(Debug, "rollout routing updated", "plan", run.name, "term", routing.Generation.Term, "revision", routing.Generation.Revision,
		"replicas", len(routing.Weights), "aim", r.TargetShare(), "old_capacity", capacity.Old, "new_capacity", capacity.New)
}

// probeReplicas probes the replicas that are due.
func (l *leader) probeReplicas(run *activeRollout, record *rollout.Record) {
	m := l.rollouts
	for _, probe := range run.validations.DueProbes(l.core.now.Steady, l.core.maxReplicaProbes()-m.probesInFlight) {
		m.probesInFlight++
		id := l.registerCall(func(r Result) {
			m.probesInFlight--
			if r.Outcome == outcome.Dropped {
				run.validations.ProbeNotSent(probe.Replica)
				return
			}
			run.validations.RecordResult(probe.Replica, r.Probe, l.core.now.Steady)
			if r.Probe.Verdict != rollout.Passed {
				l.core.log(Debug, "replica not validated", "plan", run.name, "task", probe.Replica.Task, "verdict", r.Probe.Verdict.String(),
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

// conditionalTxn is a compare-and-swap of a key on its version, fenced by the leader's term.
func (l *leader) conditionalTxn(key string, version uint64, op wire.Op) wire.Txn {
	return wire.Txn{If: []wire.Condition{l.termCondition(), {Key: key, Version: version}}, Then: []wire.Op{op}}
}

// commitPlan writes a plan's next record, which takes effect once it is known to be written.
func (l *leader) commitPlan(run *activeRollout, current *watchcache.Plan, next *rollout.Record, then func(Result)) {
	c := l.core
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	run.writeInFlight = true
	run.noteDropped(current.Record, next)
	l.writer.spend(1)
	id := l.registerStoreCall(func(r Result) {
		run.writeInFlight = false
		l.applyPlanWriteResult(run, r, value)
		if r.Outcome == outcome.OK {
			run.noteRecorded(next)
		}
		then(r)
	})
	key := stored.PlanKey(run.name)
	c.emit(StoreTxn{CallID: id, Txn: l.conditionalTxn(key, current.Version, wire.Op{Put: key, Value: value})})
}

// commitTransition commits a plan's next phase, or an operator's change, and logs it.
func (l *leader) commitTransition(run *activeRollout, current *watchcache.Plan, next *rollout.Record, then func(Result)) {
	l.commitPlan(run, current, next, func(r Result) {
		if r.Outcome == outcome.OK {
			l.logPlan(run, next)
		}
		then(r)
	})
}

// logPlan logs a committed transition, with the plan's capacity.
func (l *leader) logPlan(run *activeRollout, record *rollout.Record) {
	capacity := record.Plan.CapacityOf(l.observeRollout(run, record))
	l.core.log(Info, "rollout phase committed", "plan", run.name, "phase", string(record.Phase), "step", record.Step+1, "share", record.Share,
		"reason", string(record.Reason), "detail", record.Detail, "paused", record.PausedMS != 0,
		"old_capacity", capacity.Old, "new_capacity", capacity.New, "promised", capacity.Promised,
		"routers", len(run.routers.Active(nil, l.core.routingHoldTime(), l.core.now.Steady)))
}

// applyPlanWriteResult takes in the result of a write of a plan; value is nil if it removes the plan.
func (l *leader) applyPlanWriteResult(run *activeRollout, r Result, value json.RawMessage) {
	c := l.core
	switch {
	case r.Outcome == outcome.OK:
		c.applyPlan(run.name, value, r.Txn.Revision)
	case termSuperseded(r):
		c.election.StepDown(election.TermSuperseded)
	case r.Outcome == outcome.Conflict, r.Outcome == outcome.Unknown:
		// An earlier write was applied after all, or this one may yet be: the stored record counts.
		l.rereadPlan(run)
	default:
		run.retryAt = c.now.Steady + c.times.retryPause
		c.wakeBy(run.retryAt)
	}
}

// rereadPlan reads the stored record of a plan.
func (l *leader) rereadPlan(run *activeRollout) {
	c := l.core
	run.writeInFlight = true
	id := l.registerStoreCall(func(r Result) {
		run.writeInFlight = false
		run.retryAt = c.now.Steady + c.times.retryPause
		if r.Outcome == outcome.OK {
			c.applyPlan(run.name, r.Item.Value, r.Item.Version)
		}
	})
	c.emit(StoreGet{CallID: id, Key: stored.PlanKey(run.name)})
}

// removePlan removes the record of a plan that has ended long ago.
func (l *leader) removePlan(run *activeRollout, current *watchcache.Plan) {
	run.writeInFlight = true
	l.writer.spend(1)
	id := l.registerStoreCall(func(r Result) {
		run.writeInFlight = false
		l.applyPlanWriteResult(run, r, nil)
	})
	key := stored.PlanKey(run.name)
	l.core.emit(StoreTxn{CallID: id, Txn: l.conditionalTxn(key, current.Version, wire.Op{Delete: key})})
}

// applyPlan takes in a plan's record as it was read, written or watched.
func (c *Core) applyPlan(name string, value json.RawMessage, version uint64) {
	before := c.cache.Plan(name)
	c.cache.ApplyPlan(name, value, version)
	if c.leader != nil {
		c.leader.planChanged(before, c.cache.Plan(name))
	}
}

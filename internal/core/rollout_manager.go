package core

import (
	"encoding/json"
	"maps"
	"net"
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

// rolloutManager carries out the plans of rollouts on the node that leads. What a plan is to do is decided by package
// rollout, committed, and only then done.
type rolloutManager struct {
	leader         *leader
	nextCheck      time.Duration
	runs           map[string]*activeRollout
	uncommitted    map[string]*rollout.Record // accepted in memory, their commit is on its way: they hold already
	probesInFlight int
}

// activeRollout is a plan while a leader carries it out.
type activeRollout struct {
	name          string
	since         time.Duration // when this leader began with it
	validations   *rollout.Validations
	routers       *rollout.Routers
	routing       rollout.Routing
	reconciled    bool
	phase         rollout.Phase // as it was last seen, and since when
	phaseSince    time.Duration
	writeInFlight bool
	retryAt       time.Duration
	changes       []planChange // of operators, to be committed
	joinRequests  []routerJoin // of routers whose names are not known to be recorded
	joinsInFlight []routerJoin // of those whose names are being written
	// droppedRouters holds the routers that a write of this term was to take out of the record, and may yet.
	droppedRouters map[string]bool
}

// planChange is a change that an operator waits for.
type planChange struct {
	req    uint64
	change rollout.Change
}

func newRolloutManager(l *leader) *rolloutManager {
	return &rolloutManager{leader: l, nextCheck: l.core.now.Steady, runs: map[string]*activeRollout{}, uncommitted: map[string]*rollout.Record{}}
}

// The times of rollouts, from the operators' settings.
func (c *Core) probeInterval() time.Duration {
	return config.Seconds(c.operator.Rollouts.CheckIntervalS)
}
func (c *Core) probeTimeout() time.Duration { return config.Seconds(c.operator.Rollouts.CheckTimeoutS) }

// routerLease is how long a router may go by a routing, by its own clock; heldLease by this node's.
func (c *Core) routerLease() time.Duration { return config.Seconds(c.operator.Rollouts.RouterLeaseS) }
func (c *Core) routingHoldTime() time.Duration {
	return time.Duration(float64(c.routerLease()) * (1 + election.MaxClockDrift))
}

// maxReplicaProbes bounds the sockets that questions to replicas take.
func (c *Core) maxReplicaProbes() int { return max(4, c.settings.Params.Limits.MaxConnections/40) }

// run looks after all plans.
func (t *rolloutManager) run() {
	l, c := t.leader, t.leader.core
	if c.cache.PlanCount() == 0 && len(t.runs) == 0 {
		return
	}
	if c.now.Steady < t.nextCheck {
		c.wakeBy(t.nextCheck)
		return
	}
	t.nextCheck = c.now.Steady + c.times.minCycleGap
	c.wakeBy(t.nextCheck)
	for _, name := range slices.Sorted(maps.Keys(t.runs)) {
		if c.cache.Plan(name) == nil {
			t.end(t.runs[name])
		}
	}
	for _, name := range c.cache.PlanNames() {
		current := c.cache.Plan(name)
		run := t.runs[name]
		if run == nil {
			run = t.begin(name, current)
		}
		if current.Problem == nil {
			l.runRollout(run, current)
		}
	}
}

// begin takes a plan up. Nothing that an earlier leader knew of its replicas and routers counts.
func (t *rolloutManager) begin(name string, current *watchcache.Plan) *activeRollout {
	c := t.leader.core
	run := &activeRollout{name: name, since: c.now.Steady, validations: rollout.NewValidations(c.probeInterval()),
		routers: rollout.NewRouters(c.routingHoldTime(), c.now.Steady, c.operator.Rollouts.MaxRouters),
		routing: rollout.Routing{Generation: rollout.Generation{Term: t.leader.term}}, droppedRouters: map[string]bool{}}
	t.runs[name] = run
	if current.Problem != nil {
		c.log(Error, "rollout plan unreadable, skipped", "plan", name, "error", current.Problem.Error())
	}
	return run
}

func (t *rolloutManager) end(run *activeRollout) {
	delete(t.runs, run.name)
	for _, req := range run.waiting() {
		t.leader.core.respond(req, 404, wire.ErrorBody{Error: reasonNoSuchPlan})
	}
}

// waiting gives the requests that wait for a commit.
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

// refuseWaiting sends all requests that wait for a commit away, at the end of this term.
func (t *rolloutManager) refuseWaiting() {
	for _, name := range slices.Sorted(maps.Keys(t.runs)) {
		for _, req := range t.runs[name].waiting() {
			t.leader.core.respondRetryLater(req, 503, reasonUnavailable)
		}
	}
}

// planChanged brings up to date which jobs are held after a plan has changed.
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

// runRollout does what a plan is due to do.
func (l *leader) runRollout(run *activeRollout, current *watchcache.Plan) {
	c, r := l.core, current.Record
	replicas := l.replicasOf(&r.Plan)
	run.validations.Track(replicas)
	run.reconcile(l, &r.Plan)
	if run.phase != r.Phase {
		run.phase, run.phaseSince = r.Phase, c.now.Steady
	}
	l.probeReplicas(run, r) // of an ended plan too: routers go by it until it is removed
	o := l.observeRollout(run, r)
	if run.mayRoute(r, o) && l.hasAuthority() {
		run.route(c, r, o)
		l.addRouterObservations(run, r, o)
	}
	for _, id := range r.Cancels(o) {
		if j := l.jobs[id]; j != nil && !j.cancelled {
			l.writer.queueCancel(j)
		}
	}
	if c.storeHealth.down || !c.election.LeaseValid() {
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
	case r.Expired(o):
		l.removePlan(run, current)
	case len(run.joinRequests) > 0:
		l.commitJoins(run, current, o)
	default:
		if next := r.Next(o); next != nil {
			l.commitTransition(run, current, next, func(Result) {})
		}
	}
}

// reconcile notes when this leader has heard of all machines with tasks of the plan and has asked all replicas. A worker
// that has not found it within a lease has lost its tasks.
func (run *activeRollout) reconcile(l *leader, plan *rollout.Plan) {
	c := l.core
	if run.reconciled {
		return
	}
	late := run.since + c.times.lease + 2*c.probeInterval() + c.probeTimeout()
	heard := c.now.Steady >= run.since+c.times.heartbeatTimeout && l.allPlanMachinesReported(plan)
	run.reconciled = c.now.Steady >= late || heard && run.validations.AllAnswered()
}

// allPlanMachinesReported tells whether each machine with a task of a plan has reported in this term.
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

// modelAddress gives where the model server of a machine's tasks is.
func (c *Core) modelAddress(machine string) (string, bool) {
	host, _, err := net.SplitHostPort(machine)
	if err != nil {
		return "", false
	}
	return net.JoinHostPort(host, strconv.Itoa(c.operator.Rollouts.ModelPort)), true
}

// observeRollout gives what is seen of a plan. Until the leader has settled nothing is known of the routers.
func (l *leader) observeRollout(run *activeRollout, r *rollout.Record) *rollout.Observation {
	c := l.core
	o := &rollout.Observation{NowMS: c.now.WallMS, ClockErrorMS: c.clockError().Milliseconds(), Reconciled: run.reconciled,
		Jobs: map[string]rollout.Job{}, Revalidated: run.validations.NewValidatedSince(run.phaseSince, c.now.Steady), FailedCheck: run.validations.FailedCheck(), NewServes: true, RoutersMissing: true}
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

// observeRolloutJob gives what is seen of a job. One that was accepted, as all old jobs were, and is not there any more is
// over.
func (l *leader) observeRolloutJob(plan *rollout.Plan, id string, wasAccepted bool) rollout.Job {
	e := l.core.cache.Job(id)
	if e == nil {
		_, ended := l.core.cache.FinalState(id)
		over := wasAccepted || ended
		return rollout.Job{Accepted: over, Cancelled: over, Over: over}
	}
	if !planMatchesJob(plan, e.Spec) {
		return rollout.Job{}
	}
	return rollout.Job{Accepted: true, Cancelled: e.CancelledMS != 0, Replicas: e.Spec.Tasks}
}

// mayRoute tells whether enough is known to share traffic by. A plan that goes back does not wait for proofs once so
// much of the old version runs that it can serve: each moment more is one with wrong answers.
func (run *activeRollout) mayRoute(r *rollout.Record, o *rollout.Observation) bool {
	return run.reconciled || r.Phase == rollout.RollingBack && r.Plan.OldRuns(o)
}

// route brings a plan's routing up to date with what its replicas have proved.
func (run *activeRollout) route(c *Core, r *rollout.Record, o *rollout.Observation) {
	capacity := r.Plan.CapacityOf(o)
	if !run.reconciled {
		capacity.New = 0 // the old version runs, and has yet to prove it
	}
	routing := rollout.RoutingOf(r, capacity, run.validations.States(c.now.Steady))
	routing.Generation = run.routing.Generation
	if routing.Generation.Revision > 0 && routing.SameAs(&run.routing) {
		return
	}
	routing.Generation.Revision++
	run.routing = routing
	c.log(Debug, "rollout routing updated", "plan", run.name, "term", routing.Generation.Term, "revision", routing.Generation.Revision,
		"replicas", len(routing.Weights), "aim", r.TargetShare(), "old_capacity", capacity.Old, "new_capacity", capacity.New)
}

// probeReplicas asks the replicas whose time it is.
func (l *leader) probeReplicas(run *activeRollout, record *rollout.Record) {
	t := l.rollouts
	for _, probe := range run.validations.Due(l.core.now.Steady, l.core.maxReplicaProbes()-t.probesInFlight) {
		t.probesInFlight++
		id := l.registerCall(func(r Result) {
			t.probesInFlight--
			if r.Outcome == outcome.Dropped {
				run.validations.NotSent(probe.Replica)
				return
			}
			run.validations.Observe(probe.Replica, r.Probe, l.core.now.Steady)
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

// conditionalTxn is a change of a key, conditional on the term and on the key's version.
func (l *leader) conditionalTxn(key string, version uint64, op wire.Op) wire.Txn {
	return wire.Txn{If: []wire.Condition{{Key: stored.TermKey, Version: l.termVersion}, {Key: key, Version: version}}, Then: []wire.Op{op}}
}

// commitPlan writes a plan's next record. Nothing is done by it before that is known to be written.
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
	c.emit(StoreTxn{CallID: id, Txn: l.conditionalTxn(stored.PlanKey(run.name), current.Version, wire.Op{Put: stored.PlanKey(run.name), Value: value})})
}

// commitTransition writes a plan's next phase, or an operator's change, and logs it.
func (l *leader) commitTransition(run *activeRollout, current *watchcache.Plan, next *rollout.Record, then func(Result)) {
	l.commitPlan(run, current, next, func(r Result) {
		if r.Outcome == outcome.OK {
			l.logPlan(run, next)
		}
		then(r)
	})
}

// logPlan logs a transition that was committed, with what the plan could serve then.
func (l *leader) logPlan(run *activeRollout, record *rollout.Record) {
	capacity := record.Plan.CapacityOf(l.observeRollout(run, record))
	l.core.log(Info, "rollout phase committed", "plan", run.name, "phase", string(record.Phase), "step", record.Step+1, "share", record.Share,
		"reason", string(record.Reason), "detail", record.Detail, "paused", record.PausedMS != 0,
		"old_capacity", capacity.Old, "new_capacity", capacity.New, "promised", capacity.Promised,
		"routers", len(run.routers.Present(nil, l.core.routingHoldTime(), l.core.now.Steady)))
}

// applyPlanWriteResult takes what became of a write of a plan; value is nil if it was removed.
func (l *leader) applyPlanWriteResult(run *activeRollout, r Result, value json.RawMessage) {
	c := l.core
	switch {
	case r.Outcome == outcome.OK:
		c.applyPlan(run.name, value, r.Txn.Revision)
	case r.Outcome == outcome.Conflict && slices.Contains(r.Txn.Failed, stored.TermKey):
		c.election.StepDown(election.TermSuperseded)
	case r.Outcome == outcome.Conflict, r.Outcome == outcome.Unknown:
		// A write of before was applied after all, or this one may be yet: what is there counts.
		l.rereadPlan(run)
	default:
		run.retryAt = c.now.Steady + c.times.retryPause
		c.wakeBy(run.retryAt)
	}
}

// rereadPlan finds out how a plan stands.
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

// removePlan forgets a plan that has ended a while ago.
func (l *leader) removePlan(run *activeRollout, current *watchcache.Plan) {
	run.writeInFlight = true
	l.writer.spend(1)
	id := l.registerStoreCall(func(r Result) {
		run.writeInFlight = false
		l.applyPlanWriteResult(run, r, nil)
	})
	l.core.emit(StoreTxn{CallID: id, Txn: l.conditionalTxn(stored.PlanKey(run.name), current.Version, wire.Op{Delete: stored.PlanKey(run.name)})})
}

// applyPlan takes a plan's key as it was read, written or heard of.
func (c *Core) applyPlan(name string, value json.RawMessage, version uint64) {
	before := c.cache.Plan(name)
	c.cache.ApplyPlan(name, value, version)
	if c.leader != nil {
		c.leader.planChanged(before, c.cache.Plan(name))
	}
}

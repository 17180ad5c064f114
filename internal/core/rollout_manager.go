package core

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/election"
	"bitternwing/internal/rollout"
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

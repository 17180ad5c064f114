package core

import (
	"encoding/json"
	"net/http"
	"slices"

	"bitternwing/internal/config"
	"bitternwing/internal/outcome"
	"bitternwing/internal/rollout"
	"bitternwing/internal/watchcache"
	"bitternwing/internal/wire"
)

// A router falls back to the old version when its lease expires. So the old version may be retired only once each router
// that was ever granted a routing has confirmed the one of completion, or has been silent for long enough to be gone. A
// leader's memory does not survive it; therefore a router's name is committed to the plan's record before its first routing
// is granted.

// routerJoin is a request of a router that waits for its name to be recorded.
type routerJoin struct {
	req        uint64
	router     string
	generation rollout.Generation // that it uses
}

const reasonTooManyRouters = "too many routers"

// recordReserve is the fraction (one part in so many) of the largest stored value that routers' names leave to later
// transitions of the plan.
const recordReserve = 16

// handleGetRouting gives a router its routing, with a lease.
func (c *Core) handleGetRouting(in GetRouting) {
	l := c.leaderForRequest(in.RequestID)
	if l == nil {
		return
	}
	current, run := c.cache.Plan(in.Name), l.rollouts.runs[in.Name]
	join := routerJoin{in.RequestID, in.Router, in.Generation}
	switch {
	case current == nil:
		c.respond(in.RequestID, http.StatusNotFound, wire.ErrorBody{Error: reasonNoSuchPlan})
	case current.Problem != nil || run == nil || run.routing.Generation.Revision == 0:
		c.respondRetryLater(in.RequestID, http.StatusServiceUnavailable, reasonUnavailable)
	case run.recorded(current.Record, in.Router):
		l.grantRouting(run, join)
	case !l.mayCommit() || len(run.joinRequests) >= c.operator.MaxPendingRequests:
		c.respondRetryLater(in.RequestID, http.StatusServiceUnavailable, reasonUnavailable)
	default:
		run.joinRequests = append(run.joinRequests, join)
		l.rollouts.nextCheck = c.now.Steady
	}
}

// recorded tells whether a router's name is in the plan's record, and no write that may yet be applied removes it.
func (run *activeRollout) recorded(r *rollout.Record, router string) bool {
	return slices.Contains(r.Routers, router) && !run.droppedRouters[router]
}

// noteDropped notes the routers that a write removes from the record. The write may be applied late without an answer, so
// they count as recorded again only once a later write with their names has succeeded.
func (run *activeRollout) noteDropped(before, after *rollout.Record) {
	for _, router := range before.Routers {
		if !slices.Contains(after.Routers, router) {
			run.droppedRouters[router] = true
		}
	}
}

// noteRecorded notes that a record was written: no earlier write can be applied after it.
func (run *activeRollout) noteRecorded(r *rollout.Record) {
	for _, router := range r.Routers {
		delete(run.droppedRouters, router)
	}
}

// grantRouting answers a router whose name is recorded.
func (l *leader) grantRouting(run *activeRollout, join routerJoin) {
	c := l.core
	if !run.routers.Grant(join.router, join.generation, run.routing.Generation, c.now.Steady) {
		c.respondRetryLater(join.req, http.StatusTooManyRequests, reasonTooManyRouters)
		return
	}
	c.respond(join.req, http.StatusOK, RoutingGrant{Routing: run.routing, LeaseMS: c.routerLease().Milliseconds()})
}

// commitJoins records the names of the routers that wait, and then answers them. It removes the names of routers that are
// gone.
func (l *leader) commitJoins(run *activeRollout, current *watchcache.Plan, o *rollout.Observation) {
	next := l.recordWithJoins(run, current.Record, o)
	if next == nil {
		return
	}
	run.joinsInFlight, run.joinRequests = run.joinRequests, nil
	l.commitPlan(run, current, next, func(r Result) {
		joined := run.joinsInFlight
		run.joinsInFlight = nil
		if r.Outcome != outcome.OK || !l.hasAuthority() {
			l.core.refuseJoins(joined)
			return
		}
		for _, join := range joined {
			l.grantRouting(run, join)
		}
	})
}

// recordWithJoins gives the record with the names of the routers that wait. If the record becomes too large the last of them
// are refused; nil if none is left.
func (l *leader) recordWithJoins(run *activeRollout, r *rollout.Record, o *rollout.Observation) *rollout.Record {
	known := r.Routers
	if o.Reconciled {
		known = o.ActiveRouters
	}
	for len(run.joinRequests) > 0 {
		var names []string
		for _, join := range run.joinRequests {
			names = append(names, join.router)
		}
		if next := r.WithRouters(known, names); l.fitsRouters(next) {
			return next
		}
		last := len(run.joinRequests) - 1
		l.core.respondRetryLater(run.joinRequests[last].req, http.StatusTooManyRequests, reasonTooManyRouters)
		run.joinRequests = run.joinRequests[:last]
	}
	return nil
}

// fitsRouters tells whether a record has no more routers than are allowed, and is small enough for later transitions.
func (l *leader) fitsRouters(r *rollout.Record) bool {
	value, err := json.Marshal(r)
	maxBytes := l.core.maxValueBytes()
	return err == nil && len(r.Routers) <= l.core.operator.Rollouts.MaxRouters && len(value) <= maxBytes-maxBytes/recordReserve
}

// refuseJoins tells routers to retry: their names can't be recorded now.
func (c *Core) refuseJoins(joins []routerJoin) {
	for _, join := range joins {
		c.respondRetryLater(join.req, http.StatusServiceUnavailable, reasonUnavailable)
	}
}

// addRouterObservations adds the state of the routers to an observation.
func (l *leader) addRouterObservations(run *activeRollout, r *rollout.Record, o *rollout.Observation) {
	now, generation := l.core.now.Steady, run.routing.Generation
	goneAfter := config.Seconds(r.Plan.Limits.RouterGoneS)
	if !run.reconciled {
		return
	}
	o.NewReceivesTraffic = run.routing.NewReceivesTraffic()
	o.RoutersCurrent = run.routers.AllCurrent(generation, now)
	o.ActiveRouters = run.routers.Active(r.Routers, goneAfter, now)
	o.RoutersOutdated = run.routers.AnyOutdated(o.ActiveRouters, generation, goneAfter, now)
}

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

// A router falls back to the old version when its lease expires. So the old version may be retired only once each
// router that was ever granted a routing has confirmed the final one, or has sent no request for so long that it counts
// as gone. The next leader has to know these routers too; therefore a router's name is committed to the plan's record
// before its first routing is granted.

// routerJoin is a routing request from a router whose name has to be recorded before the response.
type routerJoin struct {
	requestID  uint64
	router     string
	generation rollout.Generation // generation of the routing that the router uses
}

const reasonTooManyRouters = "too many routers"

// recordReserveDivisor determines the reserve of a plan's record: routers' names may not use the last 1/16 of the
// largest stored value, so that later transitions of the plan still fit.
const recordReserveDivisor = 16

// handleGetRouting grants a router the current routing with a lease. If the router's name is not recorded yet, the
// request waits until it is.
func (c *Core) handleGetRouting(in GetRouting) {
	l := c.leaderForRequest(in.RequestID)
	if l == nil {
		return
	}
	current, active := c.cache.Plan(in.Name), l.rollouts.activeByName[in.Name]
	join := routerJoin{in.RequestID, in.Router, in.Generation}
	switch {
	case current == nil:
		c.respond(in.RequestID, http.StatusNotFound, wire.ErrorBody{Error: reasonNoSuchPlan})
	case current.Problem != nil || active == nil || active.routing.Generation.Revision == 0:
		c.respondRetryLater(in.RequestID, http.StatusServiceUnavailable, reasonUnavailable)
	case active.isRecorded(current.Record, in.Router):
		l.grantRouting(active, join)
	case !l.mayCommit() || len(active.joinRequests) >= c.operator.MaxPendingRequests:
		c.respondRetryLater(in.RequestID, http.StatusServiceUnavailable, reasonUnavailable)
	default:
		active.joinRequests = append(active.joinRequests, join)
		l.rollouts.nextCheck = c.now.Steady
	}
}

// isRecorded reports whether a router's name is in the plan's record and no write that may still be applied removes it.
func (active *activeRollout) isRecorded(r *rollout.Record, router string) bool {
	return slices.Contains(r.Routers, router) && !active.droppedRouters[router]
}

// markDropped remembers the routers that a write removes from the record. The write may be applied late without a
// response, so these routers count as recorded again only once a later write with their names has succeeded.
func (active *activeRollout) markDropped(before, after *rollout.Record) {
	for _, router := range before.Routers {
		if !slices.Contains(after.Routers, router) {
			active.droppedRouters[router] = true
		}
	}
}

// markRecorded is called after a record was written. No earlier write can be applied after it, so its routers are
// recorded.
func (active *activeRollout) markRecorded(r *rollout.Record) {
	for _, router := range r.Routers {
		delete(active.droppedRouters, router)
	}
}

// grantRouting responds to a router whose name is recorded, with the current routing and a lease.
func (l *leader) grantRouting(active *activeRollout, join routerJoin) {
	c := l.core
	if !active.routers.Grant(join.router, join.generation, active.routing.Generation, c.now.Steady) {
		c.respondRetryLater(join.requestID, http.StatusTooManyRequests, reasonTooManyRouters)
		return
	}
	c.respond(join.requestID, http.StatusOK, RoutingGrant{Routing: active.routing, LeaseMS: c.routerLease().Milliseconds()})
}

// commitJoins writes the names of the waiting routers to the record and then responds to them. The same write removes
// the names of routers that are gone.
func (l *leader) commitJoins(active *activeRollout, current *watchcache.Plan, o *rollout.Observation) {
	next := l.recordWithJoins(active, current.Record, o)
	if next == nil {
		return
	}
	active.joinsInFlight, active.joinRequests = active.joinRequests, nil
	l.commitPlan(active, current, next, func(r Result) {
		joined := active.joinsInFlight
		active.joinsInFlight = nil
		if r.Outcome != outcome.OK || !l.hasAuthority() {
			l.core.rejectJoins(joined)
			return
		}
		for _, join := range joined {
			l.grantRouting(active, join)
		}
	})
}

// recordWithJoins returns the record with the names of the waiting routers. If the record becomes too large, it rejects
// the last of them; if none is left, it returns nil.
func (l *leader) recordWithJoins(active *activeRollout, r *rollout.Record, o *rollout.Observation) *rollout.Record {
	known := r.Routers
	if o.Reconciled {
		known = o.ActiveRouters
	}
	for len(active.joinRequests) > 0 {
		var names []string
		for _, join := range active.joinRequests {
			names = append(names, join.router)
		}
		if next := r.WithRouters(known, names); l.recordFits(next) {
			return next
		}
		last := len(active.joinRequests) - 1
		l.core.respondRetryLater(active.joinRequests[last].requestID, http.StatusTooManyRequests, reasonTooManyRouters)
		active.joinRequests = active.joinRequests[:last]
	}
	return nil
}

// recordFits reports whether a record has no more routers than allowed and leaves enough bytes for later transitions.
func (l *leader) recordFits(r *rollout.Record) bool {
	value, err := json.Marshal(r)
	maxBytes := l.core.usableValueBytes()
	return err == nil && len(r.Routers) <= l.core.operator.Rollouts.MaxRouters && len(value) <= maxBytes-maxBytes/recordReserveDivisor
}

// rejectJoins rejects the requests of routers whose names can't be recorded now. The routers retry later.
func (c *Core) rejectJoins(joins []routerJoin) {
	for _, join := range joins {
		c.respondRetryLater(join.requestID, http.StatusServiceUnavailable, reasonUnavailable)
	}
}

// addRouterObservations adds the state of the routers to an observation, if the leader has reconciled.
func (l *leader) addRouterObservations(active *activeRollout, r *rollout.Record, o *rollout.Observation) {
	now, generation := l.core.now.Steady, active.routing.Generation
	goneAfter := config.Seconds(r.Plan.Limits.RouterGoneS)
	if !active.reconciled {
		return
	}
	o.NewReceivesTraffic = active.routing.NewReceivesTraffic()
	o.RoutersCurrent = active.routers.AllCurrent(generation, now)
	o.ActiveRouters = active.routers.Active(r.Routers, goneAfter, now)
	o.RoutersOutdated = active.routers.AnyOutdated(o.ActiveRouters, generation, goneAfter, now)
}

package rollout

import (
	"slices"
	"time"
)

// Generation is the version of a routing: the leader's term, then a count within the term. It only increases.
type Generation struct {
	Term     uint64 `json:"term"`
	Revision uint64 `json:"revision"`
}

// Before tells whether a generation is older than another.
func (g Generation) Before(other Generation) bool {
	if g.Term != other.Term {
		return g.Term < other.Term
	}
	return g.Revision < other.Revision
}

// Weight is a replica's share of all traffic.
type Weight struct {
	Task    string  `json:"task"`
	Attempt uint64  `json:"attempt"`
	Address string  `json:"address"`
	Version Version `json:"version"`
	Share   float64 `json:"share"`
}

// Routing is how routers distribute traffic. Fallback is how they do it once their lease has expired.
type Routing struct {
	Generation Generation `json:"generation"`
	Weights    []Weight   `json:"weights"`
	Fallback   []Weight   `json:"fallback"`
}

// NewReceivesTraffic tells whether any traffic goes to the new version.
func (r *Routing) NewReceivesTraffic() bool {
	return slices.ContainsFunc(r.Weights, func(w Weight) bool { return w.Version == NewVersion })
}

// ComputeRouting gives the routing by the states of the replicas. The caller sets the generation.
func ComputeRouting(record *Record, capacity Capacity, states []ReplicaState) Routing {
	var routing Routing
	newShare := capacity.NewShare(record.TargetShare())
	if record.Phase == Retiring || record.Phase == Completed {
		newShare = 1 // the old version is being retired
	}
	routing.Weights = append(distribute(states, OldVersion, 1-newShare), distribute(states, NewVersion, newShare)...)
	fallback := OldVersion
	if record.Phase == Retiring || record.Phase == Completed {
		fallback = NewVersion
	}
	routing.Fallback = distribute(states, fallback, 1)
	return routing
}

// distribute distributes a share of traffic equally over the validated replicas of a version; if none is validated, over those
// that have not failed a check; and if there are none of these, over all: traffic has to go somewhere.
func distribute(states []ReplicaState, version Version, share float64) []Weight {
	if share <= 0 {
		return nil
	}
	pick := func(usable func(ReplicaState) bool) []Weight {
		var weights []Weight
		for _, s := range states {
			if s.Replica.Version == version && usable(s) {
				weights = append(weights, Weight{Task: s.Replica.Task, Attempt: s.Replica.Attempt, Address: s.Replica.Address, Version: version})
			}
		}
		for i := range weights {
			weights[i].Share = share / float64(len(weights))
		}
		return weights
	}
	if validated := pick(func(s ReplicaState) bool { return s.Validated }); len(validated) > 0 {
		return validated
	}
	if weights := pick(func(s ReplicaState) bool { return s.Verdict != Failed }); len(weights) > 0 {
		return weights
	}
	return pick(func(ReplicaState) bool { return true })
}

// SameWeights tells whether two routings differ in nothing but their generation.
func (r *Routing) SameWeights(other *Routing) bool {
	return slices.Equal(r.Weights, other.Weights) && slices.Equal(r.Fallback, other.Fallback)
}

// RouterLeases keeps the leases of routers, in a leader's memory. What an earlier leader granted is not known, but has expired a
// lease after this one began.
type RouterLeases struct {
	duration   time.Duration // as granted, plus the clock drift
	since      time.Duration // when this leader began
	maxRouters int           // of the number of routers
	byRouter   map[string]*routerLease
}

// routerLease is the lease of a router.
type routerLease struct {
	granted     Generation
	confirmed   Generation
	expiresAt   time.Duration
	requestedAt time.Duration
}

// NewRouterLeases makes the leases of a leader that begins now, for at most limit routers.
func NewRouterLeases(lease, now time.Duration, limit int) *RouterLeases {
	return &RouterLeases{duration: lease, since: now, maxRouters: limit, byRouter: map[string]*routerLease{}}
}

// Grant renews a router's lease on a routing and notes which one the router has confirmed. It returns false if there are too
// many routers.
func (l *RouterLeases) Grant(name string, confirmed, granted Generation, now time.Duration) bool {
	lease := l.byRouter[name]
	if lease == nil {
		l.evictIdle(now)
		if len(l.byRouter) >= l.maxRouters {
			return false
		}
		lease = &routerLease{}
		l.byRouter[name] = lease
	}
	lease.confirmed, lease.granted = confirmed, granted
	lease.expiresAt, lease.requestedAt = now+l.duration, now
	return true
}

// evictAfterLeases is after how many leases without a request a router is forgotten to make space for others.
const evictAfterLeases = 10

func (l *RouterLeases) evictIdle(now time.Duration) {
	if len(l.byRouter) < l.maxRouters {
		return
	}
	for name, lease := range l.byRouter {
		if now > lease.requestedAt+evictAfterLeases*l.duration {
			delete(l.byRouter, name)
		}
	}
}

// AllCurrent tells whether each router has a routing no older than this one, or its lease has expired.
func (l *RouterLeases) AllCurrent(g Generation, now time.Duration) bool {
	if now < l.since+l.duration {
		return false // a lease of an earlier leader may not have expired
	}
	for _, lease := range l.byRouter {
		if lease.confirmed.Before(g) && now < lease.expiresAt {
			return false
		}
	}
	return true
}

// AnyOutdated tells whether one of some routers does not have this routing. Routers that have sent no request for goneAfter do
// not count.
func (l *RouterLeases) AnyOutdated(names []string, g Generation, goneAfter, now time.Duration) bool {
	for _, name := range names {
		requestedAt, confirmed := l.since, Generation{}
		if lease := l.byRouter[name]; lease != nil {
			requestedAt, confirmed = lease.requestedAt, lease.confirmed
		}
		if confirmed.Before(g) && now < requestedAt+goneAfter {
			return true
		}
	}
	return false
}

// Active gives the routers that are not gone, by name: those that have sent a request within goneAfter, and of those that
// an earlier leader knew the ones that may yet send one.
func (l *RouterLeases) Active(recorded []string, goneAfter, now time.Duration) []string {
	var names []string
	for name, lease := range l.byRouter {
		if now < lease.requestedAt+goneAfter {
			names = append(names, name)
		}
	}
	for _, name := range recorded {
		if l.byRouter[name] == nil && now < l.since+goneAfter {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

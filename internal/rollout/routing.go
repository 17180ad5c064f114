package rollout

import (
	"slices"
	"time"
)

// Generation is the version of a routing: the term of the leader and a revision within the term. It only increases.
type Generation struct {
	Term     uint64 `json:"term"`
	Revision uint64 `json:"revision"`
}

// Before reports whether g is older than the other generation.
func (g Generation) Before(other Generation) bool {
	if g.Term != other.Term {
		return g.Term < other.Term
	}
	return g.Revision < other.Revision
}

// Weight is the share of all traffic that a replica receives.
type Weight struct {
	Task    string  `json:"task"`
	Attempt uint64  `json:"attempt"`
	Address string  `json:"address"`
	Version Version `json:"version"`
	Share   float64 `json:"share"`
}

// Routing is the distribution of traffic by routers. Fallback applies once the lease of a router has expired.
type Routing struct {
	Generation Generation `json:"generation"`
	Weights    []Weight   `json:"weights"`
	Fallback   []Weight   `json:"fallback"`
}

// NewReceivesTraffic reports whether any traffic goes to the new version.
func (r *Routing) NewReceivesTraffic() bool {
	return slices.ContainsFunc(r.Weights, func(w Weight) bool { return w.Version == NewVersion })
}

// ComputeRouting returns the routing for the states of the replicas. The caller sets the generation.
func ComputeRouting(record *Record, capacity Capacity, states []ReplicaState) Routing {
	var routing Routing
	newShare := capacity.NewShare(record.TargetShare())
	if record.Phase == Retiring || record.Phase == Completed {
		newShare = 1 // whatever its capacity, because the old version is being retired
	}
	routing.Weights = append(distribute(states, OldVersion, 1-newShare), distribute(states, NewVersion, newShare)...)
	fallback := OldVersion
	if record.Phase == Retiring || record.Phase == Completed {
		fallback = NewVersion
	}
	routing.Fallback = distribute(states, fallback, 1)
	return routing
}

// distribute divides a share of traffic equally among the validated replicas of a version. If none is validated, it
// uses the replicas that have not failed a check, and if there are none of these, all replicas: traffic must be sent to
// some replica.
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

// SameWeights reports whether two routings are equal except for their generation.
func (r *Routing) SameWeights(other *Routing) bool {
	return slices.Equal(r.Weights, other.Weights) && slices.Equal(r.Fallback, other.Fallback)
}

// RouterLeases holds the leases of routers in the memory of a leader. Leases that an earlier leader granted are not
// known, but have expired one lease duration after this leader began.
type RouterLeases struct {
	duration   time.Duration // duration granted to routers, plus the clock drift
	since      time.Duration // when this leader began
	maxRouters int
	byRouter   map[string]*routerLease
}

// routerLease is the lease of a router.
type routerLease struct {
	granted     Generation
	confirmed   Generation
	expiresAt   time.Duration
	requestedAt time.Duration
}

// NewRouterLeases returns the leases of a leader that begins now, for at most maxRouters routers.
func NewRouterLeases(duration, now time.Duration, maxRouters int) *RouterLeases {
	return &RouterLeases{duration: duration, since: now, maxRouters: maxRouters, byRouter: map[string]*routerLease{}}
}

// Grant renews the lease of a router and records the generation that the router has confirmed and the one that it is
// granted. It returns false if there are too many routers.
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

// evictAfterLeases is the number of lease durations without a request after which a router may be evicted to make room
// for others.
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

// AllCurrent reports whether each router has a routing of at least this generation or an expired lease.
func (l *RouterLeases) AllCurrent(g Generation, now time.Duration) bool {
	if now < l.since+l.duration {
		return false // leases of an earlier leader may not have expired
	}
	for _, lease := range l.byRouter {
		if lease.confirmed.Before(g) && now < lease.expiresAt {
			return false
		}
	}
	return true
}

// AnyOutdated reports whether any of the named routers has not confirmed this generation. Routers without a request for
// goneAfter do not count.
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

// Active returns the names of the routers that are not gone, sorted. These are the routers with a request within
// goneAfter, and those recorded by an earlier leader that may still send one.
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

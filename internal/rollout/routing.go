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

// NewServes tells whether any traffic goes to the new version.
func (r *Routing) NewServes() bool {
	return slices.ContainsFunc(r.Weights, func(w Weight) bool { return w.Version == NewVersion })
}

// RoutingOf gives the routing by the states of the replicas. The caller sets the generation.
func RoutingOf(r *Record, c Capacity, states []ReplicaState) Routing {
	var routing Routing
	newShare := c.NewShare(r.TargetShare())
	if r.Phase == Retiring || r.Phase == Completed {
		newShare = 1 // the old version is being retired
	}
	routing.Weights = append(spread(states, OldVersion, 1-newShare), spread(states, NewVersion, newShare)...)
	fallback := OldVersion
	if r.Phase == Retiring || r.Phase == Completed {
		fallback = NewVersion
	}
	routing.Fallback = spread(states, fallback, 1)
	return routing
}

// spread distributes a share of traffic equally over the validated replicas of a version; if none is validated, over those
// that have not failed a check; and if there are none of these, over all: traffic has to go somewhere.
func spread(states []ReplicaState, version Version, share float64) []Weight {
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

// SameAs tells whether two routings differ in nothing but their generation.
func (r *Routing) SameAs(other *Routing) bool {
	return slices.Equal(r.Weights, other.Weights) && slices.Equal(r.Fallback, other.Fallback)
}

// Routers keeps the leases of routers, in a leader's memory. What an earlier leader granted is not known, but has expired a
// lease after this one began.
type Routers struct {
	lease   time.Duration // as granted, plus the clock drift
	since   time.Duration // when this leader began
	limit   int           // of the number of routers
	routers map[string]*routerLease
}

// routerLease is the lease of a router.
type routerLease struct {
	granted     Generation
	confirmed   Generation
	until       time.Duration
	requestedAt time.Duration
}

// NewRouters makes the leases of a leader that begins now, for at most limit routers.
func NewRouters(lease, now time.Duration, limit int) *Routers {
	return &Routers{lease: lease, since: now, limit: limit, routers: map[string]*routerLease{}}
}

// Grant renews a router's lease on a routing and notes which one the router has confirmed. It returns false if there are too
// many routers.
func (t *Routers) Grant(name string, confirmed, granted Generation, now time.Duration) bool {
	x := t.routers[name]
	if x == nil {
		t.drop(now)
		if len(t.routers) >= t.limit {
			return false
		}
		x = &routerLease{}
		t.routers[name] = x
	}
	x.confirmed, x.granted = confirmed, granted
	x.until, x.requestedAt = now+t.lease, now
	return true
}

// forgetLeases is after how many leases without a request a router is forgotten to make space for others.
const forgetLeases = 10

func (t *Routers) drop(now time.Duration) {
	if len(t.routers) < t.limit {
		return
	}
	for name, x := range t.routers {
		if now > x.requestedAt+forgetLeases*t.lease {
			delete(t.routers, name)
		}
	}
}

// AllCurrent tells whether each router has a routing no older than this one, or its lease has expired.
func (t *Routers) AllCurrent(g Generation, now time.Duration) bool {
	if now < t.since+t.lease {
		return false // a lease of an earlier leader may not have expired
	}
	for _, x := range t.routers {
		if x.confirmed.Before(g) && now < x.until {
			return false
		}
	}
	return true
}

// Missing tells whether one of some routers does not have this routing. Routers that have sent no request for goneAfter do
// not count.
func (t *Routers) Missing(names []string, g Generation, goneAfter, now time.Duration) bool {
	for _, name := range names {
		requestedAt, confirmed := t.since, Generation{}
		if x := t.routers[name]; x != nil {
			requestedAt, confirmed = x.requestedAt, x.confirmed
		}
		if confirmed.Before(g) && now < requestedAt+goneAfter {
			return true
		}
	}
	return false
}

// Present gives the routers that are not gone, by name: those that have sent a request within goneAfter, and of those that
// an earlier leader knew the ones that may yet send one.
func (t *Routers) Present(earlier []string, goneAfter, now time.Duration) []string {
	var names []string
	for name, x := range t.routers {
		if now < x.requestedAt+goneAfter {
			names = append(names, name)
		}
	}
	for _, name := range earlier {
		if t.routers[name] == nil && now < t.since+goneAfter {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

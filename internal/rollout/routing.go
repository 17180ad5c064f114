package rollout

import (
	"slices"
	"time"
)

// Generation orders the routings that routers get: by term, then by a count within the term. It only grows.
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

// Routing is how routers share traffic. What they are to do when their lease runs out is in Fallback.
type Routing struct {
	Generation Generation `json:"generation"`
	Weights    []Weight   `json:"weights"`
	Fallback   []Weight   `json:"fallback"`
}

// NewServes tells whether any traffic goes to the new version.
func (r *Routing) NewServes() bool {
	return slices.ContainsFunc(r.Weights, func(w Weight) bool { return w.Version == NewVersion })
}

// RoutingOf gives how traffic is to be shared by what the replicas have proved. The caller sets the generation.
func RoutingOf(r *Record, c Capacity, states []ReplicaState) Routing {
	var routing Routing
	newShare := c.NewShare(r.TargetShare())
	if r.Phase == Retiring || r.Phase == Completed {
		newShare = 1 // the old version is on its way out
	}
	routing.Weights = append(spread(states, OldVersion, 1-newShare), spread(states, NewVersion, newShare)...)
	fallback := OldVersion
	if r.Phase == Retiring || r.Phase == Completed {
		fallback = NewVersion
	}
	routing.Fallback = spread(states, fallback, 1)
	return routing
}

// spread shares traffic equally over the proved replicas of a version; where none is proved over those that have not
// answered wrongly, and where there is none of these over all: traffic has to go somewhere.
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
	if proved := pick(func(s ReplicaState) bool { return s.Validated }); len(proved) > 0 {
		return proved
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

// Routers keeps the leases of routers, in a leader's memory. What earlier leaders granted is not known; it has
// run out by a time that the caller gives.
type Routers struct {
	lease   time.Duration // as granted, with what clocks may drift
	since   time.Duration // when this leader began
	most    int           // that are kept
	routers map[string]*routerLease
}

// routerLease is what is known of a router.
type routerLease struct {
	granted   Generation
	confirmed Generation
	until     time.Duration
	askedAt   time.Duration
}

// NewRouters makes the leases of a leader that begins now, at most so many.
func NewRouters(lease, now time.Duration, most int) *Routers {
	return &Routers{lease: lease, since: now, most: most, routers: map[string]*routerLease{}}
}

// Grant renews a router's lease on a routing and takes in which one it has. false: there are too many routers.
func (t *Routers) Grant(name string, confirmed, granted Generation, now time.Duration) bool {
	x := t.routers[name]
	if x == nil {
		t.drop(now)
		if len(t.routers) >= t.most {
			return false
		}
		x = &routerLease{}
		t.routers[name] = x
	}
	x.confirmed, x.granted = confirmed, granted
	x.until, x.askedAt = now+t.lease, now
	return true
}

// forgetLeases is after how many leases a router that does not ask is forgotten where room is needed.
const forgetLeases = 10

func (t *Routers) drop(now time.Duration) {
	if len(t.routers) < t.most {
		return
	}
	for name, x := range t.routers {
		if now > x.askedAt+forgetLeases*t.lease {
			delete(t.routers, name)
		}
	}
}

// AllCurrent tells whether each router has a routing no older than this one, or none at all any more.
func (t *Routers) AllCurrent(g Generation, now time.Duration) bool {
	if now < t.since+t.lease {
		return false // an earlier leader may have granted something that still holds
	}
	for _, x := range t.routers {
		if x.confirmed.Before(g) && now < x.until {
			return false
		}
	}
	return true
}

// Missing tells whether one of some routers does not have this routing, unless it has not asked for as long as
// after which it is taken for gone.
func (t *Routers) Missing(names []string, g Generation, gone, now time.Duration) bool {
	for _, name := range names {
		askedAt, confirmed := t.since, Generation{}
		if x := t.routers[name]; x != nil {
			askedAt, confirmed = x.askedAt, x.confirmed
		}
		if confirmed.Before(g) && now < askedAt+gone {
			return true
		}
	}
	return false
}

// Present gives the routers that are not gone, by name: those that have asked lately, and of some that an earlier
// leader knew those that may yet ask.
func (t *Routers) Present(earlier []string, gone, now time.Duration) []string {
	var names []string
	for name, x := range t.routers {
		if now < x.askedAt+gone {
			names = append(names, name)
		}
	}
	for _, name := range earlier {
		if t.routers[name] == nil && now < t.since+gone {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

package core

import (
	"sort"

	"bitternwing/internal/capacity"
	"bitternwing/internal/resource"
)

// shrinkFor makes room for a job: on the machines where the fewest instances have to
// go, the most fulfilled jobs above their minimum give way. What it counts on is
// held back from others in this round, and each round works it out anew, so an
// instance that is already stopping is not asked for twice. It tells whether there is, or will
// be, room for all. With idleOnly, idle-time work alone gives way.
func (r *round) shrinkFor(j *job, need int, idleOnly bool) bool {
	request, plain := stopRequestOf(j, idleOnly)
	if plain && r.unyielding[request] {
		return false
	}
	rule := r.victimRule(j, idleOnly)
	for held := 0; held < need; held++ {
		best := r.cheapest(j, &rule)
		if best == nil {
			if plain {
				r.unyielding[request] = true
			}
			return false
		}
		r.makeRoom(j, best)
	}
	return true
}

// shrinkChoice is a machine on which room can be made, and how.
type shrinkChoice struct {
	host  *host
	stops []*placement
	cost  capacity.Cost
}

// makeRoom stops what has to go for a task of a job, and holds the room back for it.
func (r *round) makeRoom(j *job, c *shrinkChoice) {
	h := c.host
	for _, p := range c.stops {
		p.requestStop(r.haste(j, p), stopPreempted)
		r.l.pendingDispatch = append(r.l.pendingDispatch, p.machine)
		if p.phase < phaseSent {
			r.l.endPlacement(p)
			h.free.Give(resource.OfTask(p.job.spec))
			r.roomGrew()
		}
		h.soon.Give(resource.OfTask(p.job.spec))
		r.l.core.log(Debug, "shrunk", "task", p.name(), "for", j.id)
	}
	h.soon.Take(resource.OfTask(j.spec))
	// What is free there now is for this job too, as far as it needs it.
	h.free = h.free.Within(h.soon)
	h.m.capacityChanged = true // what is held back is so for this round only
	r.l.updateHost(h)
}

// roomGrew notes that what found no room in this round may find some now.
func (r *round) roomGrew() {
	clear(r.full)
	clear(r.unyielding)
}

// cheapest finds the machine on which making room for a job's next task costs the least, and of these the first
// by name; nil if there is none.
func (r *round) cheapest(j *job, rule *victimRule) *shrinkChoice {
	s := &shrinkSearch{round: r, job: j, rule: rule, need: resource.OfTask(j.spec), image: capacity.BitOf(j.spec.Image), allowed: j.groupRules()}
	if len(rule.among) > 0 {
		// Few jobs can be shrunk: the machines of their tasks are all that there is, beside those where room
		// will be free anyway.
		for _, victim := range rule.among {
			for _, p := range victim.placements {
				s.consider(p.machine)
			}
		}
		s.walk(0)
	} else {
		s.walk(rule.below)
	}
	return s.best
}

// shrinkSearch looks for the cheapest machine.
type shrinkSearch struct {
	round   *round
	job     *job
	rule    *victimRule
	need    resource.Amount
	image   capacity.ImageBit
	allowed func(capacity.Group) bool
	best    *shrinkChoice
}

// walk looks through all machines that may be better than the best so far, if work below a rank can be stopped.
func (s *shrinkSearch) walk(below int) {
	looked := s.round.l.capacityIndex.Walk(s.allowed, func(b *capacity.Bounds) bool {
		least, possible := b.LeastCost(s.need, below, s.image)
		return !possible || !s.better(least, b.First)
	}, s.evaluate)
	s.round.evaluations -= max(1, looked)
}

// better tells whether a cost on a machine, or on one that comes after it by name, may be better than the best.
func (s *shrinkSearch) better(cost capacity.Cost, name string) bool {
	if s.best == nil || cost.Less(s.best.cost) {
		return true
	}
	return cost == s.best.cost && name < s.best.host.m.name
}

// consider evaluates a machine if a task of the job may run there.
func (s *shrinkSearch) consider(m *machine) {
	s.round.evaluations--
	if m.schedulable != nil && s.allowed(m.group()) {
		s.evaluate(m.schedulable)
	}
}

// evaluate works out what has to stop on a machine.
func (s *shrinkSearch) evaluate(h *host) {
	if s.round.l.avoids(s.job, h.m) {
		return
	}
	stops, possible := s.round.stopsFor(s.job, h, s.rule.stops)
	if !possible {
		return
	}
	if cost := costOf(stops, h, s.job); s.better(cost, h.m.name) {
		s.best = &shrinkChoice{h, stops, cost}
	}
}

// haste tells how a placement is stopped for a job. A service waits for each of its replicas, and
// idle-time work, which loses at most what it did since its last checkpoint, does not
// make it wait for one more.
func (r *round) haste(j *job, p *placement) stopMode {
	if p.job.isIdlePriority() && !j.isArray() {
		return stopImmediate
	}
	return stopAfterCheckpoint
}

// costOf gives what it costs to make room on a machine: work that is stopped, but for idle-time
// work; then how long the image takes; then all that is stopped.
func costOf(stops []*placement, h *host, j *job) capacity.Cost {
	cost := capacity.Cost{Warmth: h.m.imageState(j.spec.Image)}
	for _, p := range stops {
		if p.job.isIdlePriority() {
			cost.IdleStops++
		} else {
			cost.Stops++
		}
	}
	return cost
}

// stopsFor gives the instances to stop on a machine so that a task of j fits, the
// most fulfilled job's first.
func (r *round) stopsFor(j *job, h *host, victim func(*job, *placement) bool) ([]*placement, bool) {
	soon := h.soon
	if soon.Holds(resource.OfTask(j.spec)) {
		return nil, true
	}
	// Mostly all that could stop there would not be enough; that is seen first.
	most := soon
	for _, p := range h.m.placementsInOrder {
		if victim(j, p) {
			most.Give(resource.OfTask(p.job.spec))
		}
	}
	r.evaluations -= len(h.m.placementsInOrder) / 4
	if !most.Holds(resource.OfTask(j.spec)) {
		return nil, false
	}
	type scoredVictim struct {
		p     *placement
		score float64
	}
	var vs []scoredVictim
	left := map[*job]int{}
	for _, p := range h.m.placementsInOrder {
		if victim(j, p) {
			n := p.job.activeInstances()
			vs = append(vs, scoredVictim{p, score(n, p.job.minInstances(), p.job.maxInstances())})
			left[p.job] = n - p.job.minInstances()
		}
	}
	r.evaluations -= 4 * len(vs)
	sort.SliceStable(vs, func(a, b int) bool { return vs[a].score > vs[b].score })
	var stops []*placement
	for _, v := range vs {
		if left[v.p.job] == 0 {
			continue
		}
		left[v.p.job]--
		soon.Give(resource.OfTask(v.p.job.spec))
		stops = append(stops, v.p)
		if soon.Holds(resource.OfTask(j.spec)) {
			return stops, true
		}
	}
	return nil, false
}

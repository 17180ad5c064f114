package core

import (
	"bitternwing/internal/resource"
	"sort"
)

// shrinkFor makes room for a job: on the machines where the fewest instances have to
// go, the most fulfilled jobs above their minimum give way. What it counts on is
// held back from others in this round, and each round works it out anew, so an
// instance that is already stopping is not asked for twice. It tells whether there is, or will
// be, room for all.
func (r *round) shrinkFor(j *job, need int, victim victimRule) bool {
	held := 0
	for held < need {
		var best *host
		var bestStops []*placement
		var bestCost stopCost
		for _, h := range r.hosts {
			r.evaluations--
			if !r.allowed(j, h.m) {
				continue
			}
			stops, ok := r.stopsFor(j, h, victim)
			if !ok {
				continue
			}
			if cost := r.costOf(stops, h, j); best == nil || cost.less(bestCost) {
				best, bestStops, bestCost = h, stops, cost
			}
		}
		if best == nil {
			return false
		}
		for _, p := range bestStops {
			p.halt(r.haste(j, p), stopShrunk)
			r.l.due = append(r.l.due, p.machine)
			if p.phase < sent {
				r.l.end(p)
				best.free.Give(resource.OfTask(p.job.spec))
				clear(r.full)
			}
			best.soon.Give(resource.OfTask(p.job.spec))
			r.l.c.log(Debug, "shrunk", "task", p.name(), "for", j.id)
		}
		best.soon.Take(resource.OfTask(j.spec))
		// What is free there now is for this job too, as far as it needs it.
		best.free = best.free.Within(best.soon)
		held++
	}
	return true
}

// haste tells how a placement is stopped for a job. A service waits for each of its replicas, and
// idle-time work, which loses at most what it did since its last checkpoint, does not
// make it wait for one more.
func (r *round) haste(j *job, p *placement) stopKind {
	if p.job.idleTime() && !j.array() {
		return stopNow
	}
	return stopSaving
}

// stopCost is what it costs to make room on a machine: work that is stopped, but for idle-time
// work; then how long the image takes; then all that is stopped.
type stopCost struct{ stops, warmth, idleStops int }

func (r *round) costOf(stops []*placement, h *host, j *job) stopCost {
	cost := stopCost{warmth: h.m.warmth(j.spec.Image)}
	for _, p := range stops {
		if p.job.idleTime() {
			cost.idleStops++
		} else {
			cost.stops++
		}
	}
	return cost
}

func (c stopCost) less(d stopCost) bool {
	if c.stops != d.stops {
		return c.stops < d.stops
	}
	if c.warmth != d.warmth {
		return c.warmth < d.warmth
	}
	return c.idleStops < d.idleStops
}

// stopsFor gives the instances to stop on a machine so that a task of j fits, the
// most fulfilled job's first.
func (r *round) stopsFor(j *job, h *host, victim victimRule) ([]*placement, bool) {
	soon := h.soon
	if soon.Holds(resource.OfTask(j.spec)) {
		return nil, true
	}
	// Mostly all that could stop there would not be enough; that is seen first.
	most := soon
	for _, p := range h.m.list {
		if victim(j, p) {
			most.Give(resource.OfTask(p.job.spec))
		}
	}
	r.evaluations -= len(h.m.list) / 4
	if !most.Holds(resource.OfTask(j.spec)) {
		return nil, false
	}
	type scoredVictim struct {
		p     *placement
		score float64
	}
	var vs []scoredVictim
	left := map[*job]int{}
	for _, p := range h.m.list {
		if victim(j, p) {
			n := p.job.instances()
			vs = append(vs, scoredVictim{p, score(n, p.job.minInstance(), p.job.maxInstance())})
			left[p.job] = n - p.job.minInstance()
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

// victimRule tells whether a placement may be stopped to make room for a job.
type victimRule func(j *job, p *placement) bool

// victim is the rule for a job that lacks its minimum.
func (r *round) victim(j *job, p *placement) bool {
	return p.stop == keep && p.job.shrinkable() && r.mayStop(j, p.job)
}

// idleVictim is the rule for a job that has its minimum: idle-time work alone gives way to it.
func (r *round) idleVictim(j *job, p *placement) bool {
	return p.job.idleTime() && !j.idleTime() && r.victim(j, p)
}

package core

import (
	"sort"
	"time"

	"bitternwing/internal/config"
)

// rounds says when decision rounds are held: regularly, and soon after something
// changed. They share a budget of evaluations (of a machine for a task), which refills with
// time; where a round has used it up, the next one goes on from there.
type rounds struct {
	at          time.Duration
	lastAt      time.Duration
	evaluations float64       // left; below 0 it is made good before the next round does much
	pause       time.Duration // until the next one at least, after one that ran out
	spent       int           // in this term
	resume      *job          // where the last round stopped in the order of minimums; nil: it came through
}

// wantRound asks for a round soon: a recorded exception to the round length of the
// design, for starts that are due within seconds.
func (l *leader) wantRound() {
	l.observedChanges++
	if !l.core.operator.EventRounds {
		return
	}
	gap := time.Duration(float64(l.core.times.minCycleGap) * l.core.slowdown())
	l.cycles.at = min(l.cycles.at, l.cycles.lastAt+max(gap, l.cycles.pause))
}

// round is one decision round.
type round struct {
	l           *leader
	use         usage
	evaluations int
	placed      int
	unmet       []unmetDemand            // what found no room, for the rentals
	full        map[resourceRequest]bool // what no machine has free room for in this round
	weighing    weigher                  // of the job that was placed last
	weighedAt   uint64                   // the changes of the ledger of replicas by then
	victims     *victims                 // the jobs that can be shrunk; nil: not looked for yet
	unyielding  map[stopRequest]bool     // what no machine can make room for in this round
}

// unmetDemand is a number of tasks of a job without a place.
type unmetDemand struct {
	job   *job
	tasks int
}

// priority gives a job's rank; jobs that need it lend it theirs.
func priority(j *job) int { return j.rank }

// budget tells whether the round may go on.
func (r *round) budget() bool { return r.evaluations > 0 }

// usable tells whether a machine may be given tasks: heard of lately, and not on
// its way out.
func (l *leader) usable(m *machine) bool {
	return m.reported && m.machineType != nil && !m.releasing && !m.reclaiming && !m.quarantined && m.requiredFencingToken == 0 &&
		l.core.now.Steady-m.lastHeartbeat < l.core.pacer.Patience(l.core.times.heartbeatTimeout, m.lastHoldTime) && l.core.now.Steady >= m.noCapacityUntil
}

// ready tells whether a job may be given tasks now.
func (r *round) ready(j *job) bool {
	return !j.cancelled && !j.ending && !j.heldByRollout && j.team != nil && r.l.core.now.Steady >= j.retryAt
}

// round decides what starts and what stops.
func (l *leader) round() {
	now := l.core.now.Steady
	if now < l.cycles.at {
		l.core.wakeBy(l.cycles.at)
		return
	}
	l.cycles.at = now + l.core.times.cycleInterval
	l.cycles.pause = 0
	l.core.wakeBy(l.cycles.at)
	if l.core.catalog == nil || !l.core.election.leaseValid() || l.core.storeDown {
		l.cycles.lastAt = now
		l.cycles.at = now + l.core.times.checkInterval
		l.core.wakeBy(l.cycles.at)
		return
	}
	budget := l.budget()
	r := &round{l: l, use: usage{}, evaluations: budget, full: map[resourceRequest]bool{}, unyielding: map[stopRequest]bool{}}
	l.cycles.lastAt = now
	l.refreshHosts()
	for _, j := range l.queue {
		if len(j.placements) > 0 {
			r.use.add(j, len(j.placements))
		}
	}
	l.findGuaranteed()
	l.cycles.resume = r.minimums()
	if l.cycles.resume == nil {
		r.allocateElastic()
	}
	if l.cycles.resume == nil {
		r.moveReplicas()
	}
	l.plan(r)
	r.note()
	spent := budget - r.evaluations
	l.cycles.evaluations -= float64(spent)
	l.cycles.spent += spent
	l.core.evaluationCost.Spend(spent)
	if r.evaluations <= 0 {
		// Out of budget: go on from where this round stopped, once what it took beyond
		// its budget is made good.
		l.cycles.pause = l.cycles.pauseAfter(l.core)
		l.cycles.at = now + l.cycles.pause
		l.core.wakeBy(l.cycles.at)
	}
}

// pauseAfter is the time to the next round after one that ran out. One that had all that a single round may
// have, while there is more, goes on soon.
func (rs *rounds) pauseAfter(c *Core) time.Duration {
	if rs.evaluations > 0 {
		return c.times.minCycleGap
	}
	debt := config.Seconds(-rs.evaluations / c.evaluationsPerSecond())
	return min(max(c.times.checkInterval/2, debt), c.times.cycleInterval)
}

// note writes what a round came to, for whoever looks for the cause of a wait: tasks
// of arrays without a place, how many of them their teams' limits hold back, and the
// room that is free.
func (r *round) note() {
	if r.placed == 0 && len(r.unmet) == 0 {
		return
	}
	unplaced, limited := 0, 0
	for _, j := range r.l.queue {
		if j.isArray() && r.ready(j) && j.unplaced() > 0 {
			unplaced += j.unplaced()
			if !r.use.allows(j, 1) {
				limited += j.unplaced()
			}
		}
	}
	free, spot, idle := 0.0, 0.0, 0
	for _, m := range r.l.machinesByName {
		switch {
		case m.schedulable == nil:
			continue
		case m.spot:
			spot += m.schedulable.free.GPUs
		default:
			free += m.schedulable.free.GPUs
		}
		if len(m.placementsInOrder) == 0 {
			idle++
		}
	}
	r.l.core.log(Debug, "round", "placed", r.placed, "waiting", len(r.unmet), "array_tasks", unplaced,
		"at_limit", limited, "free", free, "free_spot", spot, "idle", idle, "evaluations_left", r.evaluations)
}

// findGuaranteed finds the jobs that fit into their team's guarantee together with
// the team's earlier unfinished jobs.
func (l *leader) findGuaranteed() {
	sums := usage{}
	for _, j := range l.queue {
		j.withinGuarantee = false
		if j.cancelled || j.team == nil {
			continue
		}
		sums.add(j, j.unfinished())
		j.withinGuarantee = !sums.beyond(j.team)
	}
}

// minimums serves what lacks its minimum: services that are not whole, and arrays
// without a task. What finds no room takes it from the most fulfilled. It returns
// the job at which the budget ran out, where the next round goes on: so each job has
// its turn, and free room is given to arrays only after all services had theirs.
func (r *round) minimums() *job {
	l := r.l
	var lacking []*job
	for _, j := range l.queue {
		if !r.ready(j) || j.unplaced() == 0 {
			continue
		}
		if !j.isArray() || j.activeInstances() < j.minInstances() {
			lacking = append(lacking, j)
		}
	}
	before := func(x, y *job) bool {
		if g, h := x.withinGuarantee, y.withinGuarantee; g != h {
			return g
		}
		if p, q := priority(x), priority(y); p != q {
			return p > q
		}
		if s, t := x.latestStart(), y.latestStart(); s != t {
			return s < t
		}
		return x.queuedBefore(y)
	}
	sort.SliceStable(lacking, func(a, b int) bool { return before(lacking[a], lacking[b]) })
	var stopped *job
	for _, j := range lacking {
		need := 1
		if !j.isArray() {
			need = j.unplaced()
		}
		switch {
		case !r.use.allows(j, need):
			continue
		case l.cycles.resume != nil && before(j, l.cycles.resume):
			// It had its turn; what it lacks is still to be rented.
		case !r.budget():
			if stopped == nil {
				stopped = j
			}
			continue
		case r.whole(j, need):
			continue
		default:
			r.shrinkFor(j, need, false)
		}
		r.unmet = append(r.unmet, unmetDemand{j, need})
	}
	return stopped
}

// whole places the next tasks of a job, all of them or none.
func (r *round) whole(j *job, need int) bool {
	l := r.l
	var done []*placement
	from := 0
	for len(done) < need {
		task := l.nextTask(j, from)
		if task < 0 {
			break
		}
		m := r.fit(j)
		if m == nil {
			for i := len(done) - 1; i >= 0; i-- {
				r.unplace(done[i])
			}
			return false
		}
		done = append(done, r.place(j, task, m))
		from = task + 1
	}
	for _, p := range done {
		l.markDirty(l.chunkOf(j, p.task))
	}
	return true
}

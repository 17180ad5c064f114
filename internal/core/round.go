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
	l.changes++
	if !l.c.operator.EventRounds {
		return
	}
	gap := time.Duration(float64(l.c.times.minCycleGap) * l.c.slowdown())
	l.rounds.at = min(l.rounds.at, l.rounds.lastAt+max(gap, l.rounds.pause))
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
	return m.up && m.mt != nil && !m.releasing && !m.notice && !m.faulty && m.requiredToken == 0 &&
		l.c.now.Steady-m.heard < l.c.pacer.Patience(l.c.times.heartbeatTimeout, m.lastHold) && l.c.now.Steady >= m.full
}

// ready tells whether a job may be given tasks now.
func (r *round) ready(j *job) bool {
	return !j.cancelled && !j.final && !j.held && j.team != nil && r.l.c.now.Steady >= j.waitFor
}

// round decides what starts and what stops.
func (l *leader) round() {
	now := l.c.now.Steady
	if now < l.rounds.at {
		l.c.wakeBy(l.rounds.at)
		return
	}
	l.rounds.at = now + l.c.times.cycleInterval
	l.rounds.pause = 0
	l.c.wakeBy(l.rounds.at)
	if l.c.catalog == nil || !l.c.election.leaseValid() || l.c.storeDown {
		l.rounds.lastAt = now
		l.rounds.at = now + l.c.times.checkInterval
		l.c.wakeBy(l.rounds.at)
		return
	}
	budget := l.budget()
	r := &round{l: l, use: usage{}, evaluations: budget, full: map[resourceRequest]bool{}, unyielding: map[stopRequest]bool{}}
	l.rounds.lastAt = now
	l.refreshHosts()
	for _, j := range l.order {
		if len(j.placed) > 0 {
			r.use.add(j, len(j.placed))
		}
	}
	l.findGuaranteed()
	l.rounds.resume = r.minimums()
	if l.rounds.resume == nil {
		r.allocateElastic()
	}
	if l.rounds.resume == nil {
		r.moveReplicas()
	}
	l.plan(r)
	r.note()
	spent := budget - r.evaluations
	l.rounds.evaluations -= float64(spent)
	l.rounds.spent += spent
	l.c.evaluationCost.Spend(spent)
	if r.evaluations <= 0 {
		// Out of budget: go on from where this round stopped, once what it took beyond
		// its budget is made good.
		l.rounds.pause = l.rounds.pauseAfter(l.c)
		l.rounds.at = now + l.rounds.pause
		l.c.wakeBy(l.rounds.at)
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
	for _, j := range r.l.order {
		if j.array() && r.ready(j) && j.unplaced() > 0 {
			unplaced += j.unplaced()
			if !r.use.allows(j, 1) {
				limited += j.unplaced()
			}
		}
	}
	free, spot, idle := 0.0, 0.0, 0
	for _, m := range r.l.fleet {
		switch {
		case m.host == nil:
			continue
		case m.spot:
			spot += m.host.free.GPUs
		default:
			free += m.host.free.GPUs
		}
		if len(m.list) == 0 {
			idle++
		}
	}
	r.l.c.log(Debug, "round", "placed", r.placed, "waiting", len(r.unmet), "array_tasks", unplaced,
		"at_limit", limited, "free", free, "free_spot", spot, "idle", idle, "evaluations_left", r.evaluations)
}

// findGuaranteed finds the jobs that fit into their team's guarantee together with
// the team's earlier unfinished jobs.
func (l *leader) findGuaranteed() {
	sums := usage{}
	for _, j := range l.order {
		j.guaranteed = false
		if j.cancelled || j.team == nil {
			continue
		}
		sums.add(j, j.unfinished())
		j.guaranteed = !sums.beyond(j.team)
	}
}

// minimums serves what lacks its minimum: services that are not whole, and arrays
// without a task. What finds no room takes it from the most fulfilled. It returns
// the job at which the budget ran out, where the next round goes on: so each job has
// its turn, and free room is given to arrays only after all services had theirs.
func (r *round) minimums() *job {
	l := r.l
	var lacking []*job
	for _, j := range l.order {
		if !r.ready(j) || j.unplaced() == 0 {
			continue
		}
		if !j.array() || j.instances() < j.minInstance() {
			lacking = append(lacking, j)
		}
	}
	before := func(x, y *job) bool {
		if g, h := x.guaranteed, y.guaranteed; g != h {
			return g
		}
		if p, q := priority(x), priority(y); p != q {
			return p > q
		}
		if s, t := x.latestStart(), y.latestStart(); s != t {
			return s < t
		}
		return x.before(y)
	}
	sort.SliceStable(lacking, func(a, b int) bool { return before(lacking[a], lacking[b]) })
	var stopped *job
	for _, j := range lacking {
		need := 1
		if !j.array() {
			need = j.unplaced()
		}
		switch {
		case !r.use.allows(j, need):
			continue
		case l.rounds.resume != nil && before(j, l.rounds.resume):
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
		l.mark(l.chunkOf(j, p.task))
	}
	return true
}

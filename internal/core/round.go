package core

import (
	"sort"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/resource"
	"bitternwing/internal/wire"
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
	if !l.c.op.EventRounds {
		return
	}
	l.rounds.at = min(l.rounds.at, l.rounds.lastAt+max(l.c.t.eventGap, l.rounds.pause))
}

// round is one decision round.
type round struct {
	l           *leader
	hosts       []*host
	use         usage
	guaranteed  map[string]bool
	evaluations int
	placed      int
	unmet       []unmetDemand            // what found no room, for the rentals
	full        map[resourceRequest]bool // what no machine has free room for in this round
}

// host is a machine that may take tasks in this round.
type host struct {
	m    *machine
	free resource.Amount
	soon resource.Amount // free once what was told to stop is gone
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
		l.c.now.Steady-m.heard < l.c.t.quiet && l.c.now.Steady >= m.full
}

// freeOf gives what is free of a machine now, and once all that stops is gone.
func (l *leader) freeOf(m *machine) (free, soon resource.Amount) {
	free = resource.OfMachine(m.mt)
	for _, p := range m.runs {
		free.Take(resource.OfTask(p.job.spec))
	}
	for _, t := range m.orphanedTasks {
		if id, _, ok := wire.ParseTask(t.Task); ok && l.jobs[id] != nil {
			free.Take(resource.OfTask(l.jobs[id].spec))
		} else {
			free = resource.Amount{}
		}
	}
	soon = free
	for _, p := range m.runs {
		if p.stop != keep {
			soon.Give(resource.OfTask(p.job.spec))
		}
	}
	return free, soon
}

// ready tells whether a job may be given tasks now.
func (r *round) ready(j *job) bool {
	return !j.cancelled && !j.final && j.team != nil && r.l.c.now.Steady >= j.waitFor
}

// round decides what starts and what stops.
func (l *leader) round() {
	now := l.c.now.Steady
	if now < l.rounds.at {
		l.c.at(l.rounds.at)
		return
	}
	l.rounds.at = now + l.c.t.round
	l.rounds.pause = 0
	l.c.at(l.rounds.at)
	if l.c.catalog == nil || !l.c.elect.inTime() || l.c.stateDown {
		l.rounds.lastAt = now
		l.rounds.at = now + l.c.t.heartbeat
		l.c.at(l.rounds.at)
		return
	}
	budget := l.budget()
	r := &round{l: l, use: usage{}, evaluations: budget, full: map[resourceRequest]bool{}}
	l.rounds.lastAt = now
	for _, m := range l.fleet {
		m.host = nil
		if m.mt == nil {
			m.mt = l.c.machineType(m.kind)
		}
		if l.usable(m) {
			free, soon := l.freeOf(m)
			m.host = &host{m: m, free: free, soon: soon}
			r.hosts = append(r.hosts, m.host)
		}
	}
	for _, j := range l.order {
		if len(j.placed) > 0 {
			r.use.add(j, len(j.placed))
		}
	}
	r.guaranteed = l.withinGuarantee()
	l.rounds.resume = r.minimums()
	if l.rounds.resume == nil {
		r.allocateElastic()
	}
	l.plan(r)
	r.note()
	spent := budget - r.evaluations
	l.rounds.evaluations -= float64(spent)
	l.rounds.spent += spent
	l.c.evaluations.Spend(spent)
	if r.evaluations <= 0 {
		// Out of budget: go on from where this round stopped, once what it took beyond
		// its budget is made good.
		debt := config.Seconds(-l.rounds.evaluations / l.c.evaluationsPerSecond())
		l.rounds.pause = min(max(l.c.t.heartbeat/2, debt), l.c.t.round)
		l.rounds.at = now + l.rounds.pause
		l.c.at(l.rounds.at)
	}
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
	for _, h := range r.hosts {
		if len(h.m.list) == 0 {
			idle++
		}
		if h.m.spot {
			spot += h.free.GPUs
		} else {
			free += h.free.GPUs
		}
	}
	r.l.c.log(Debug, "round", "placed", r.placed, "waiting", len(r.unmet), "array_tasks", unplaced,
		"at_limit", limited, "free", free, "free_spot", spot, "idle", idle, "evaluations_left", r.evaluations)
}

// withinGuarantee finds the jobs that fit into their team's guarantee together with
// the team's earlier unfinished jobs.
func (l *leader) withinGuarantee() map[string]bool {
	sums := map[string]*[2]float64{}
	in := map[string]bool{}
	for _, j := range l.order {
		if j.cancelled || j.team == nil {
			continue
		}
		s := sums[j.spec.Team]
		if s == nil {
			s = new([2]float64)
			sums[j.spec.Team] = s
		}
		s[0] += float64(j.unfinished()) * j.spec.GPUs
		s[1] += float64(j.unfinished()) * j.spec.CPUs
		in[j.id] = !beyondGuarantee(s[0], s[1], j.team)
	}
	return in
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
		if g, h := r.guaranteed[x.id], r.guaranteed[y.id]; g != h {
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
			r.shrinkFor(j, need, r.victim)
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
		m := r.fit(j, task)
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

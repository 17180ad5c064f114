package core

import (
	"sort"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/wire"
)

// rounds says when decision rounds are held: regularly, and soon after something
// changed. They share a budget of looks (at a machine, for a task), which refills with
// time; where a round has used it up, the next one goes on from there.
type rounds struct {
	at     time.Duration
	lastAt time.Duration
	looks  float64       // left; below 0 it is made good before the next round does much
	pause  time.Duration // until the next one at least, after one that ran out
	spent  int           // in this term
	resume *job          // where the last round stopped in the order of minimums; nil: it came through
}

// wantRound asks for a round soon: a recorded exception to the round length of the
// design, for starts that are due within seconds.
func (l *leader) wantRound() {
	if !l.c.op.EventRounds {
		return
	}
	l.rounds.at = min(l.rounds.at, l.rounds.lastAt+max(l.c.t.eventGap, l.rounds.pause))
}

// room is what is free of a machine.
type room struct{ gpus, cpus, mem float64 }

func (r room) holds(s *wire.Job) bool {
	const eps = 1e-9
	return r.gpus+eps >= s.GPUs && r.cpus+eps >= s.CPUs && r.mem+eps >= s.MemoryGB
}

func (r *room) take(s *wire.Job) { r.gpus -= s.GPUs; r.cpus -= s.CPUs; r.mem -= s.MemoryGB }
func (r *room) give(s *wire.Job) { r.gpus += s.GPUs; r.cpus += s.CPUs; r.mem += s.MemoryGB }

// round is one decision round.
type round struct {
	l          *leader
	hosts      []*host
	use        usage
	guaranteed map[string]bool
	looks      int
	placed     int
	want       []want       // what found no room, for the rentals
	full       map[ask]bool // what no machine has free room for in this round
}

// ask is what a task needs of a machine, where any of its kind will do.
type ask struct {
	room
	spot       bool
	zone, kind string
}

// askOf gives a job's ask; false if more than that decides where it may run.
func askOf(j *job) (ask, bool) {
	s := j.spec
	if s.OneZone || s.Spread || len(j.failed) > 0 || len(s.Types) > 1 {
		return ask{}, false
	}
	a := ask{room: room{s.GPUs, s.CPUs, s.MemoryGB}, spot: s.Spot, zone: s.Zone}
	if len(s.Types) == 1 {
		a.kind = s.Types[0]
	}
	return a, true
}

// host is a machine that may take tasks in this round.
type host struct {
	m    *machine
	free room
	soon room // free once what was told to stop is gone
}

// want is a number of tasks of a job without a place.
type want struct {
	job   *job
	tasks int
}

func priority(j *job) int { return wire.Priority(j.spec.Priority) }

// budget tells whether the round may go on.
func (r *round) budget() bool { return r.looks > 0 }

// usable tells whether a machine may be given tasks: heard of lately, and not on
// its way out.
func (l *leader) usable(m *machine) bool {
	return m.up && m.mt != nil && !m.releasing && !m.notice && !m.sick && m.proof == 0 &&
		l.c.now.Steady-m.heard < l.c.t.quiet && l.c.now.Steady >= m.full
}

// freeOf gives what is free of a machine now, and once all that stops is gone.
func (l *leader) freeOf(m *machine) (free, soon room) {
	free = room{m.mt.GPUs, m.mt.CPUs, m.mt.MemoryGB}
	for _, p := range m.runs {
		free.take(p.job.spec)
	}
	for _, t := range m.strays {
		if id, _, ok := wire.ParseTask(t.Task); ok && l.jobs[id] != nil {
			free.take(l.jobs[id].spec)
		} else {
			free = room{}
		}
	}
	soon = free
	for _, p := range m.runs {
		if p.stop != keep {
			soon.give(p.job.spec)
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
		l.rounds.at = now + l.c.t.beat
		l.c.at(l.rounds.at)
		return
	}
	budget := l.budget()
	r := &round{l: l, use: usage{}, looks: budget, full: map[ask]bool{}}
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
		r.shareOut()
	}
	l.plan(r)
	r.note()
	spent := budget - r.looks
	l.rounds.looks -= float64(spent)
	l.rounds.spent += spent
	l.c.looks.taken += spent
	if r.looks <= 0 {
		// Out of budget: go on from where this round stopped, once what it took beyond
		// its budget is made good.
		debt := config.Seconds(-l.rounds.looks / l.c.looksPerSecond())
		l.rounds.pause = min(max(l.c.t.beat/2, debt), l.c.t.round)
		l.rounds.at = now + l.rounds.pause
		l.c.at(l.rounds.at)
	}
}

// note writes what a round came to, for whoever looks for the cause of a wait: tasks
// of arrays without a place, how many of them their teams' limits hold back, and the
// room that is free.
func (r *round) note() {
	if r.placed == 0 && len(r.want) == 0 {
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
			spot += h.free.gpus
		} else {
			free += h.free.gpus
		}
	}
	r.l.c.log(Debug, "round", "placed", r.placed, "waiting", len(r.want), "array_tasks", unplaced,
		"at_limit", limited, "free", free, "free_spot", spot, "idle", idle, "looks_left", r.looks)
}

// lookRate is what a look costs on this machine, as measured on the steps that made many:
// so a round takes the time that it is allowed to, on a slow processor as on a fast one.
type lookRate struct {
	cost  float64       // in seconds; 0: not measured yet
	taken int           // looks of the last step
	looks int           // of the steps since it was measured last
	took  time.Duration // the same
}

// firstLookCost is what a look is taken to cost, in seconds, until it is measured, on this
// many looks; steps with less than a tenth of them do too much else to tell.
const (
	firstLookCost = 60e-9
	measuredLooks = 5000
)

// learn takes how long the last step took. All of its time counts as that of its looks.
// Each measure tells a quarter, and none makes a look cost more than four times what it did,
// so that a standstill in a step is made good by the next ones.
func (r *lookRate) learn(took time.Duration) {
	looks := r.taken
	r.taken = 0
	if took <= 0 || looks < measuredLooks/10 {
		return
	}
	r.looks, r.took = r.looks+looks, r.took+took
	if r.looks < measuredLooks {
		return
	}
	old := r.now()
	cost := min(r.took.Seconds()/float64(r.looks), 4*old)
	r.cost = old + (cost-old)/4
	r.looks, r.took = 0, 0
}

func (r *lookRate) now() float64 {
	if r.cost == 0 {
		return firstLookCost
	}
	return r.cost
}

// looksPerSecond is what the operators' share of the processor allows of looks.
func (c *Core) looksPerSecond() float64 {
	return c.op.RoundBudget * c.set.Params.Limits.CPUShare / c.looks.now()
}

// budget gives the looks that a round may make: the share of the processor that
// operators allow for rounds, over the time since the last one, at most that of a
// report interval; and always a few.
func (l *leader) budget() int {
	rate := l.c.looksPerSecond()
	rs := &l.rounds
	rs.looks = min(rate*l.c.t.beat.Seconds(), rs.looks+rate*(l.c.now.Steady-rs.lastAt).Seconds())
	rs.looks = max(rs.looks, -rate*l.c.t.round.Seconds()) // no debt outlasts the next regular round
	return max(32, int(rs.looks))
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
// its turn, and free room is fed to arrays only after all services had theirs.
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
		r.want = append(r.want, want{j, need})
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
			r.looks--
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
			p.halt(r.haste(j, p), "shrunk")
			r.l.due = append(r.l.due, p.machine)
			if p.phase < sent {
				r.l.end(p)
				best.free.give(p.job.spec)
				clear(r.full)
			}
			best.soon.give(p.job.spec)
			r.l.c.log(Debug, "shrunk", "task", p.name(), "for", j.id)
		}
		best.soon.take(j.spec)
		// What is free there now is for this job too, as far as it needs it.
		best.free.gpus = min(best.free.gpus, max(0, best.soon.gpus))
		best.free.cpus = min(best.free.cpus, max(0, best.soon.cpus))
		best.free.mem = min(best.free.mem, max(0, best.soon.mem))
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
	if soon.holds(j.spec) {
		return nil, true
	}
	// Mostly all that could stop there would not be enough; that is seen first.
	most := soon
	for _, p := range h.m.list {
		if victim(j, p) {
			most.give(p.job.spec)
		}
	}
	r.looks -= len(h.m.list) / 4
	if !most.holds(j.spec) {
		return nil, false
	}
	type candidate struct {
		p     *placement
		score float64
	}
	var vs []candidate
	left := map[*job]int{}
	for _, p := range h.m.list {
		if victim(j, p) {
			n := p.job.instances()
			vs = append(vs, candidate{p, score(n, p.job.minInstance(), p.job.maxInstance())})
			left[p.job] = n - p.job.minInstance()
		}
	}
	r.looks -= 4 * len(vs)
	sort.SliceStable(vs, func(a, b int) bool { return vs[a].score > vs[b].score })
	var stops []*placement
	for _, v := range vs {
		if left[v.p.job] == 0 {
			continue
		}
		left[v.p.job]--
		soon.give(v.p.job.spec)
		stops = append(stops, v.p)
		if soon.holds(j.spec) {
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

package core

import (
	"slices"
	"sort"
	"time"

	"bitternwing/internal/call"
	"bitternwing/internal/wire"
)

// machine is a worker's machine as the leader knows it.
type machine struct {
	name, kind, zone, addr string
	spot                   bool
	mt                     *wire.MachineType

	since    time.Duration // when this leader first knew of it
	rentedAt time.Duration // when it was asked for, as far as known
	rented   bool          // by this leader
	listed   bool          // seen in the cloud's list
	listedAt time.Duration
	missing  int  // complete lists in a row that lack it
	seenUp   bool // it has reported at some time, in this term or an earlier one

	up      bool // it has reported in this term
	session uint64
	seq     uint64
	heard   time.Duration
	kept    time.Duration // when another node last passed a report of it on
	notice  bool

	inspecting  bool
	inspectedAt time.Duration // when it was last asked directly
	reached     time.Duration // when it last answered that
	deaf        int           // questions in a row without an answer, since it was last heard

	runs      map[string]*placement // by task name
	list      []*placement          // the same, by job and task
	host      *host                 // in the present round
	exits     []wire.TaskReport     // exited tasks of the last report
	strays    []wire.TaskReport     // tasks it holds that no record explains
	releasing bool
	ordering  bool                   // direct commands are on the way
	current   uint64                 // the token used with it
	direct    map[attemptName]uint64 // attempts started directly, and with which token
	idleSince time.Duration
	images    []image // most recently used last
	full      time.Duration

	// Failure accounting, see faults.go.
	errors  map[string]int // by job, since something last started and ran well here
	erredAt time.Duration  // when something last failed
	sick    bool

	// Whether answers reach it, see doubt.
	proof     uint64        // the token it has to show; 0: there is no doubt
	doubtedAt time.Duration // since when its reports come and don't show it
}

type attemptName struct {
	task    string
	attempt uint64
}

type image struct {
	name  string
	gb    float64
	ready bool
}

func (m *machine) add(p *placement) {
	m.runs[p.name()] = p
	i, _ := slices.BinarySearchFunc(m.list, p, comparePlacements)
	m.list = slices.Insert(m.list, i, p)
}

func (m *machine) remove(p *placement) {
	delete(m.runs, p.name())
	if i, ok := slices.BinarySearchFunc(m.list, p, comparePlacements); ok && m.list[i] == p {
		m.list = slices.Delete(m.list, i, i+1)
	}
}

func comparePlacements(a, b *placement) int {
	switch {
	case a.job != b.job && a.job.before(b.job):
		return -1
	case a.job != b.job:
		return 1
	}
	return a.task - b.task
}

// sorted gives the machine's placements in order, in a list that stays as it is while
// they end.
func (m *machine) sorted() []*placement { return slices.Clone(m.list) }

// machine gives a machine by name and takes it up if it is new.
func (l *leader) machine(name string) *machine {
	if m := l.machines[name]; m != nil {
		return m
	}
	m := &machine{name: name, since: l.c.now.Steady, rentedAt: l.c.now.Steady, heard: l.heardBefore(name),
		idleSince: l.c.now.Steady, runs: map[string]*placement{}, errors: map[string]int{}}
	l.machines[name] = m
	l.hint(m)
	i := sort.Search(len(l.fleet), func(i int) bool { return l.fleet[i].name > name })
	l.fleet = append(l.fleet, nil)
	copy(l.fleet[i+1:], l.fleet[i:])
	l.fleet[i] = m
	return m
}

// describe fills in what kind of machine it is.
func (m *machine) describe(kind, zone, addr string, spot bool) {
	m.kind, m.zone, m.spot = kind, zone, spot
	if addr != "" {
		m.addr = addr
	}
}

// gone drops a machine: there is evidence that it and all on it are no more.
func (l *leader) gone(m *machine, why string) {
	for _, p := range m.sorted() {
		l.end(p)
	}
	if l.machines[m.name] != m {
		return
	}
	delete(l.machines, m.name)
	for i, x := range l.fleet {
		if x == m {
			l.fleet = append(l.fleet[:i], l.fleet[i+1:]...)
			break
		}
	}
	l.released[m.name] = l.c.now.Steady
	l.c.log(Info, "machine gone", "machine", m.name, "why", why)
	l.wantRound()
}

// end ends a placement: its attempt is not and will not be on its machine.
func (l *leader) end(p *placement) {
	j := p.job
	if j.placed[p.task] != p {
		p.machine.remove(p)
		return
	}
	delete(j.placed, p.task)
	if p.stop != keep {
		j.halted--
	}
	p.machine.remove(p)
	if len(p.machine.runs) == 0 {
		p.machine.idleSince = l.c.now.Steady
	}
	j.cursor = min(j.cursor, p.task)
	l.mark(l.chunkOf(j, p.task))
	l.wantRound()
	l.finishIfDone(j)
}

// checkin answers a worker's report.
func (c *Core) checkin(in Checkin) {
	r := in.Report
	c.lastReport = c.now.Steady
	l := c.lead
	if l == nil {
		if c.care.checkin(in) {
			return
		}
		to := ""
		if c.dir.leadVersion != 0 && c.dir.lead.Node != c.set.Node {
			to = c.dir.lead.Node
		} else if !c.dir.ready {
			to = c.leadingPeer() // started while the state service is down
		}
		c.answer(in.Req, 421, wire.Redirect{Leader: to})
		return
	}
	// A worker that knows a newer term would drop what this node says; a node
	// past its deadline is not entitled to say anything.
	if termOf(r.Token) > l.term || !l.entitled() {
		if len(r.Tasks) > 0 && c.stateDown && c.care.blind(in) {
			return
		}
		c.answer(in.Req, 421, wire.Redirect{})
		return
	}
	cmds := l.report(r)
	token := max(firstToken(l.term), r.Token)
	if m := l.machines[r.Machine]; m != nil {
		m.current = max(m.current, token)
		token = l.token(m)
	}
	c.answer(in.Req, 200, wire.ReportAnswer{Token: token, Commands: cmds})
}

// report takes in a report and gives the commands of its answer.
func (l *leader) report(r *wire.Report) []wire.Command {
	none := []wire.Command{}
	if !l.loaded {
		return none // the answer renews the lease; what runs is not yet known
	}
	if _, was := l.released[r.Machine]; was {
		return none
	}
	m := l.machine(r.Machine)
	if m.up && (r.Session < m.session || r.Session == m.session && r.Seq <= m.seq) {
		// A late copy. It proves nothing, and its answer reaches nobody.
		return none
	}
	now := l.c.now.Steady
	if !m.up {
		l.c.log(Debug, "machine up", "machine", m.name, "after", (now - m.rentedAt).String())
		l.wantRound()
	}
	switch {
	case !m.up && !m.listed && !m.rented && termOf(r.Token) < l.term:
		// Nobody here knows it: its report may be a late copy, of a machine long gone.
		l.doubt(m, firstToken(l.term))
	case m.up && r.Session > m.session:
		l.c.log(Info, "machine in a new session", "machine", m.name, "tasks", len(m.runs))
		if now-m.heard < l.c.t.lease/2 {
			// Its lease ran out although its reports came and were answered.
			l.doubt(m, l.token(m)+1)
		}
	}
	if now-m.heard > l.c.t.quiet {
		m.doubtedAt = now
	}
	m.describe(r.Type, r.Zone, r.Addr, r.Spot)
	m.enter(r.Session)
	m.up, m.seenUp, m.missing = true, true, 0
	m.seq, m.heard = r.Seq, now
	if r.NoticeS != nil && !m.notice {
		m.notice = true
		l.c.log(Info, "machine will be taken", "machine", m.name, "in_s", *r.NoticeS)
		l.wantRound()
	}
	l.evidence(m, r, false)
	return l.commands(m, r)
}

// doubt makes a machine show a token before it gets work: answers and commands may not
// reach it although its reports come. A worker that is reached shows the token at once,
// or with its next report; one that does not for half a lease is given back.
func (l *leader) doubt(m *machine, token uint64) {
	m.current = max(m.current, token)
	if m.proof == 0 {
		m.doubtedAt = l.c.now.Steady
	}
	m.proof = max(m.proof, token)
}

// deafened tells whether a machine's reports have come for half a lease without showing
// that answers reach it.
func (l *leader) deafened(m *machine) bool {
	now := l.c.now.Steady
	return m.proof != 0 && now-m.heard < l.c.t.quiet && now-max(m.doubtedAt, l.idleAt) > l.c.t.lease/2
}

// enter takes a machine into a session. Direct commands of earlier ones are refused
// by the worker from then on.
func (m *machine) enter(session uint64) {
	if session != m.session {
		m.session, m.direct = session, nil
	}
}

// A direct start may come late, or be repeated on the way, for as long as its token
// and session match. That ends once the worker has seen a higher token. So each
// machine has a token of its own within the term's range, and it is raised where the
// end of a direct start matters: with a forget, after which a repeat would run the
// attempt again, and when a report lacks the attempt, before it counts as absent.

// tokensPerTerm is the range of a term's tokens.
const tokensPerTerm = 1_000_000

func firstToken(term uint64) uint64 { return term * tokensPerTerm }
func termOf(token uint64) uint64    { return token / tokensPerTerm }

// token gives the token for a machine, no lower than this term's first.
func (l *leader) token(m *machine) uint64 {
	m.current = max(m.current, firstToken(l.term))
	return m.current
}

// raise makes a machine's token higher than one that was used with it.
func (l *leader) raise(m *machine, used uint64) {
	if used >= l.token(m) {
		m.current = used + 1
	}
}

// mayOrder tells whether the term's range has tokens left for direct starts.
func (l *leader) mayOrder(m *machine) bool { return l.token(m)%tokensPerTerm < tokensPerTerm/2 }

// evidence draws from a report what has ended. A report is newer than all before
// it here. What it lacks is proven absent only if it carries this term's token:
// the worker then had taken an answer of this term, after which no earlier start
// can still take effect, and each answer of this term before it was either taken
// or dropped. That does not hold for a report that the worker was asked for: it may come
// while an answer with a start is still on its way to the worker.
func (l *leader) evidence(m *machine, r *wire.Report, asked bool) {
	now := l.c.now.Steady
	if m.proof != 0 && r.Token >= m.proof {
		m.proof = 0
		l.wantRound()
	}
	settled := termOf(r.Token) == l.term
	reported := make(map[string]bool, len(r.Tasks))
	m.exits, m.strays = m.exits[:0], m.strays[:0]
	for i := range r.Tasks {
		t := &r.Tasks[i]
		p := m.runs[t.Task]
		if p == nil || p.attempt != t.Attempt || p.session != r.Session {
			l.unexplained(m, t)
			continue
		}
		if t.State == wire.TaskExited {
			m.exits = append(m.exits, *t)
			reported[t.Task] = true
			l.exited(p, t)
			continue
		}
		reported[t.Task] = true
		if p.phase < seen {
			p.phase = seen
		}
		if p.state != t.State {
			p.state = t.State
			if t.State == wire.TaskRunning && p.ranAt == 0 {
				p.ranAt = now
				m.imageReady(p.job.spec.Image)
				l.c.log(Debug, "task runs", "task", t.Task, "class", p.job.spec.Class, "machine", m.name, "warmth", p.warmth,
					"placed_ms", (p.since - l.c.now.Steady + time.Duration(l.c.now.WallMS-p.job.at)*time.Millisecond).Milliseconds(),
					"ran_ms", (now - p.since).Milliseconds())
			}
		}
		if p.ranAt != 0 && (!p.job.proven || len(m.errors) > 0) {
			l.ranWell(p, false)
		}
	}
	for _, p := range m.sorted() {
		switch {
		case p.session < r.Session:
			// The worker killed and forgot all of its earlier session.
			l.c.log(Debug, "task lost with its session", "task", p.name(), "attempt", p.attempt)
			l.end(p)
		case reported[p.name()] || p.session > r.Session || !settled:
		case p.waits:
		case p.direct != 0 && r.Token <= p.direct:
			// Its direct start may take effect yet.
			if p.answer == 0 || r.Seq > p.answer {
				l.raise(m, p.direct)
			}
		case p.direct != 0:
			l.c.log(Debug, "task absent", "task", p.name(), "attempt", p.attempt)
			l.end(p)
		case p.phase == seen,
			p.phase == sent && (p.sentSeq == inherited || r.Seq > p.sentSeq && !asked):
			l.c.log(Debug, "task absent", "task", p.name(), "attempt", p.attempt)
			l.end(p)
		}
	}
}

// unexplained handles a task in a report that no placement here explains.
func (l *leader) unexplained(m *machine, t *wire.TaskReport) {
	id, task, ok := wire.ParseTask(t.Task)
	if !ok {
		return
	}
	j := l.jobs[id]
	if t.State != wire.TaskExited {
		m.strays = append(m.strays, *t)
		return
	}
	m.exits = append(m.exits, *t)
	if t.Why == wire.WhyDone && j != nil && task < j.spec.Tasks && j.array() && !l.isDone(j, task) {
		// Done is true whichever attempt says it.
		l.setDone(j, task)
		if p := j.placed[task]; p != nil {
			if p.phase < sent {
				l.end(p)
			} else {
				p.halt(stopNow, "done elsewhere")
			}
		}
		l.finishIfDone(j)
	}
}

// exited ends a placement whose task has exited.
func (l *leader) exited(p *placement, t *wire.TaskReport) {
	j := p.job
	l.c.log(Debug, "task exited", "task", t.Task, "attempt", t.Attempt, "why", t.Why, "told", p.stopWhy, "machine", p.machine.name)
	switch t.Why {
	case wire.WhyDone:
		if j.array() {
			l.setDone(j, p.task)
		}
		l.ranWell(p, true)
	case wire.WhyError:
		l.erred(p)
	case wire.WhyNoRoom:
		p.machine.full = l.c.now.Steady + l.c.t.beat*2
	case wire.WhyBusy, wire.WhyUnknown:
		j.waitFor = max(j.waitFor, l.c.now.Steady+l.c.t.beat*2)
	}
	l.end(p)
}

// most commands in an answer, so that its one line stays within the protocol's 64
// KiB; the rest follows with the next.
const mostCommands = 400

// commands gives a machine its orders.
func (l *leader) commands(m *machine, r *wire.Report) []wire.Command {
	cmds := []wire.Command{}
	for _, t := range m.exits {
		if len(cmds) < mostCommands && l.forgettable(&t) {
			name := attemptName{t.Task, t.Attempt}
			if used, ok := m.direct[name]; ok {
				l.raise(m, used)
				delete(m.direct, name)
			}
			cmds = append(cmds, wire.Command{Op: wire.OpForget, Task: t.Task, Attempt: t.Attempt})
		}
	}
	zero := 0.0
	for _, t := range m.strays {
		// No record explains it, and it has no right to run.
		cmds = append(cmds, wire.Command{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, GraceS: &zero})
	}
	mayStart := l.c.elect.inTime()
	for _, p := range m.sorted() {
		if len(cmds) >= mostCommands {
			break
		}
		switch {
		case p.session != m.session:
		case p.stop != keep && p.phase >= sent:
			if p.stop == stopSaving && p.state == wire.TaskSaving {
				continue
			}
			cmds = append(cmds, p.stopCommand())
		case p.phase == committed && p.stop == keep && mayStart && !p.job.cancelled:
			p.phase, p.sentSeq = sent, r.Seq
			cmds = append(cmds, wire.Command{Op: wire.OpStart, Task: p.name(), Attempt: p.attempt})
		}
	}
	return cmds
}

// stopCommand stops a task, with time to save where it is to save.
func (p *placement) stopCommand() wire.Command {
	grace := 0.0
	if p.stop == stopSaving {
		grace = 1.5 * p.job.spec.SaveS
	}
	return wire.Command{Op: wire.OpStop, Task: p.name(), Attempt: p.attempt, GraceS: &grace}
}

// forgettable tells whether an exit may be forgotten: only once all that it tells
// is in the state service, for after that a repeated start would run again.
func (l *leader) forgettable(t *wire.TaskReport) bool {
	id, task, ok := wire.ParseTask(t.Task)
	if !ok {
		return true
	}
	j := l.jobs[id]
	if j == nil || task >= j.spec.Tasks {
		return l.c.dir.jobs[id] == nil || task >= l.c.dir.jobs[id].Job.Tasks
	}
	if j.final {
		// Its end holds what this exit tells, and is yet to be written: no record is written of it
		// any more, so a clean one proves nothing.
		return false
	}
	ch := j.chunks[task/l.chunkSize()]
	if ch != nil && !ch.clean() {
		return false
	}
	p := j.placed[task]
	return p == nil || p.attempt != t.Attempt
}

// watchMachines looks for machines that are silent too long and stops what runs on
// those that will be taken.
func (l *leader) watchMachines() {
	now := l.c.now.Steady
	silent, apart, up := map[string]int{}, map[string]int{}, map[string]int{}
	for _, m := range l.fleet {
		if m.up || m.seenUp {
			up[m.zone]++
			if now-m.lastHeard() > l.c.t.lease/3 {
				silent[m.zone]++
			}
			if now-max(m.heard, m.reached) > l.c.t.lease/3 {
				apart[m.zone]++
			}
		}
	}
	var zones []string
	for zone, n := range apart {
		if n > 3 && n*4 > up[zone] {
			zones = append(zones, zone)
		}
	}
	sort.Strings(zones)
	l.apart = zones
	clear(l.cutZones)
	for zone, total := range up {
		// If many of a zone are silent at once, it is rather the network or a change of
		// leaders. In this node's own zone it is the network only where nearly all are out of
		// its reach: what cuts zones apart takes none out of reach there, so the rest is dead,
		// hangs or is cut off from everybody. There it counts what this node itself hears. Were
		// reports that others pass on to count, the first of them would turn all that have yet to
		// find another node into single silent machines, to be released at once.
		many := silent[zone] > 3 && silent[zone]*4 > total
		if zone == l.c.set.Zone {
			many = apart[zone] > 3 && apart[zone]*4 > 3*total
		}
		if many {
			l.cutZones[zone] = l.c.zoneOut(zone)
			if l.cutZones[zone] {
				l.outAt[zone] = now
			}
		}
	}
	entitled := l.entitled()
	if !entitled {
		l.idleAt = now
	}
	for _, m := range l.fleet {
		if (m.up || m.seenUp) && !m.releasing && entitled && now >= l.silentUntil(m) {
			l.rentals.release(m, "silent")
		}
		if entitled && l.deafened(m) {
			l.rentals.release(m, "answers don't reach it")
		}
		if m.notice || m.sick {
			l.drain(m)
		}
		if entitled {
			l.inspect(m)
		}
	}
}

// inspect asks a machine directly that has not reported here for a while: one that hangs,
// is dead or out of reach does not answer; one that has yet to find the leader does, and
// shows what it has.
func (l *leader) inspect(m *machine) {
	now := l.c.now.Steady
	if m.lastHeard() > m.inspectedAt {
		m.deaf = 0
	}
	if !m.up && !m.seenUp || m.releasing || m.inspecting || m.addr == "" || l.inspecting >= l.c.mostInspections() ||
		now-max(m.heard, m.reached) < l.c.t.lease/4 || now-m.inspectedAt < l.c.t.beat {
		return
	}
	m.inspecting, m.inspectedAt = true, now
	l.inspecting++
	id := l.call(func(r Result) {
		m.inspecting = false
		l.inspecting--
		switch {
		case r.Outcome != call.OK:
			m.deaf++
		case r.Report.Machine == m.name:
			m.reached = l.c.now.Steady
			l.relayed(&r.Report, true)
		}
	})
	l.c.send(WorkerInspect{ID: id, Addr: m.addr})
}

// mostInspections and mostOrders bound the sockets that questions to silent machines and
// direct orders take.
func (c *Core) mostInspections() int { return max(4, c.set.Params.Limits.MaxConnections/40) }
func (c *Core) mostOrders() int      { return max(4, c.set.Params.Limits.MaxConnections/12) }

// silentUntil tells until when a machine may be silent.
func (l *leader) silentUntil(m *machine) time.Duration {
	limit := time.Duration(float64(l.c.t.lease) * l.c.op.SilentLeases)
	lease := max(limit, l.c.t.lease)
	due := m.lastHeard() + limit
	out, many := l.cutZones[m.zone]
	switch {
	case out:
		// Its own nodes keep its workers alive; dead machines show in the cloud's list.
		due = m.lastHeard() + time.Duration(float64(lease)*l.c.op.CutLeases)
	case many, m.zone != l.c.set.Zone && slices.Contains(l.apart, m.zone), !m.up && m.deaf < 2:
		// Much of a zone is silent, or out of this node's reach and kept by others: its workers
		// may be on their way to a node that keeps them, the last few as well. Or a worker has yet to find
		// this leader. By then its tasks are gone with its lease, or it was heard of: who
		// keeps it tells within half a beat.
		due = m.lastHeard() + lease*11/10
	case m.deaf >= 2 && (m.kept == 0 || l.c.now.Steady-m.kept > 2*lease):
		due = m.lastHeard() + limit*5/8
	}
	// Workers have to find their way back first: those of a zone that was cut off, and all
	// after a time in which this leader could not answer.
	due = max(due, l.idleAt+limit)
	if !m.up {
		// What the last leader told of it may be a beat old, and it has to find this one.
		due = max(due, l.since+lease/2)
	}
	if at, was := l.outAt[m.zone]; was {
		due = max(due, at+lease)
	}
	return due
}

// drain stops what can save its progress on a machine that will be taken, and all on one
// that is sick.
func (l *leader) drain(m *machine) {
	for _, p := range m.sorted() {
		switch {
		case p.stop != keep:
		case p.phase < sent:
			l.end(p)
		case p.job.spec.Checkpoint > 0:
			p.halt(stopSaving, "drain")
		case m.sick:
			p.halt(stopNow, "drain")
		}
	}
	if m.sick && len(m.runs) == 0 {
		l.rentals.release(m, "sick")
	}
}

// lastHeard is when a report of a machine last came, here or by another node.
func (m *machine) lastHeard() time.Duration { return max(m.heard, m.kept) }

// imageReady notes that a machine has an image.
func (m *machine) imageReady(name string) {
	for i := range m.images {
		if m.images[i].name == name {
			m.images[i].ready = true
		}
	}
}

// touch notes that a machine will have an image; the least recently used make way.
func (m *machine) touch(name string, gb float64) {
	img := image{name: name, gb: gb}
	sum := gb
	for i := range m.images {
		if m.images[i].name == name {
			img = m.images[i]
			m.images = append(m.images[:i], m.images[i+1:]...)
			break
		}
	}
	m.images = append(m.images, img)
	if m.mt == nil {
		return
	}
	for i := len(m.images) - 2; i >= 0; i-- {
		sum += m.images[i].gb
		if sum > m.mt.CacheGB && m.mt.CacheGB > 0 {
			m.images = append([]image(nil), m.images[i+1:]...)
			break
		}
	}
}

// cached is how much a machine has in its cache, as far as known.
func (m *machine) cached() float64 {
	sum := 0.0
	for _, img := range m.images {
		if img.ready {
			sum += img.gb
		}
	}
	return sum
}

// warmth of a machine for an image: 0 it is there, 1 it is being fetched, 2 it
// has to be fetched, 3 it has to share the fetch with others.
func (m *machine) warmth(name string) int {
	w := 2
	for i := range m.images {
		if m.images[i].name == name {
			if m.images[i].ready {
				return 0
			}
			return 1
		}
		if !m.images[i].ready {
			w = 3
		}
	}
	return w
}

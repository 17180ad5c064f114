package core

import (
	"fmt"
	"math"
	"sort"
	"time"

	"bitternwing/internal/call"
	"bitternwing/internal/config"
	"bitternwing/internal/wire"
)

// rentals keeps the fleet: what is rented, what goes back, and what the cloud's
// list tells, within the cloud's rate.
type rentals struct {
	l        *leader
	tokens   float64
	tokensAt time.Duration

	seq      int
	requests []*rental
	names    []string // to be released
	retryAt  time.Duration
	relBusy  bool

	listAt    time.Duration
	listBusy  bool
	listSent  time.Duration // when the list being read was asked for
	page      map[string]bool
	everRead  bool
	exhausted map[offer]time.Duration // refused lately; not asked before this
}

// offer is a kind of machine in a zone.
type offer struct {
	kind, zone string
	spot       bool
}

// rental is a request for machines. Its name holds the term, so that no other
// request ever has it; it is repeated under that name until its outcome is known.
type rental struct {
	offer
	name  string
	count int
	tried bool // it went out; until then the next plan makes it anew
	busy  bool
	at    time.Duration // next try
}

func (t *rentals) init(l *leader) {
	t.l = l
	t.tokensAt = l.c.now.Steady
	t.tokens = l.c.set.Params.Cloud.RPS
	t.exhausted = map[offer]time.Duration{}
}

func (t *rentals) spend() bool {
	now := t.l.c.now.Steady
	rps := 0.8 * t.l.c.set.Params.Cloud.RPS
	t.tokens = min(max(1, rps), t.tokens+rps*(now-t.tokensAt).Seconds())
	t.tokensAt = now
	if t.tokens < 1 {
		t.l.c.at(now + config.Seconds((1-t.tokens)/rps))
		return false
	}
	t.tokens--
	return true
}

func (t *rentals) run() {
	l, c := t.l, t.l.c
	if !l.entitled() {
		return
	}
	now := c.now.Steady
	if len(t.names) > 0 && !t.relBusy && now >= t.retryAt && t.spend() {
		t.sendRelease()
	}
	for i := 0; i < len(t.requests); i++ {
		q := t.requests[i]
		if q.busy {
			continue
		}
		if now < q.at {
			c.at(q.at)
			continue
		}
		if !t.spend() {
			break
		}
		t.sendRent(q)
	}
	if !t.listBusy {
		if now < t.listAt {
			c.at(t.listAt)
		} else if t.spend() {
			t.listAt = now + c.t.listLag
			t.listBusy, t.listSent = true, now
			t.page = map[string]bool{}
			t.list("")
		}
	}
}

// release gives a machine back. What is on it counts until the cloud says 200.
func (t *rentals) release(m *machine, why string) {
	if m.releasing {
		return
	}
	m.releasing = true
	t.names = append(t.names, m.name)
	t.l.c.log(Info, "releasing machine", "machine", m.name, "why", why, "tasks", len(m.runs))
	t.l.wantRound()
}

func (t *rentals) sendRelease() {
	l, c := t.l, t.l.c
	n := min(len(t.names), wire.MaxRelease)
	names := append([]string(nil), t.names[:n]...)
	t.names = append([]string(nil), t.names[n:]...)
	t.relBusy = true
	id := l.call(func(r Result) {
		t.relBusy = false
		if r.Outcome == call.OK {
			for _, name := range names {
				if m := l.machines[name]; m != nil {
					l.gone(m, "released")
				}
			}
			return
		}
		// Releasing again does no harm.
		t.names = append(names, t.names...)
		t.retryAt = c.now.Steady + c.t.beat
		c.at(t.retryAt)
	})
	c.send(CloudRelease{ID: id, Names: names})
}

func (t *rentals) sendRent(q *rental) {
	l, c := t.l, t.l.c
	q.busy, q.tried = true, true
	id := l.call(func(r Result) {
		q.busy = false
		now := c.now.Steady
		switch r.Outcome {
		case call.OK:
			for _, name := range r.Names {
				m := l.machine(name)
				m.rentedAt, m.rented = r.Sent, true
				m.describe(q.kind, q.zone, "", q.spot)
				m.mt = c.machineType(q.kind)
			}
			if len(r.Names) < q.count {
				t.exhausted[q.offer] = now + 2*c.t.listLag
			}
			t.drop(q)
			l.wantRound()
			c.log(Info, "rented", "asked", q.count, "got", len(r.Names), "type", q.kind, "zone", q.zone, "spot", q.spot)
		case call.Refused:
			t.exhausted[q.offer] = now + 2*c.t.listLag
			t.drop(q)
			l.wantRound()
			c.log(Debug, "rental refused", "type", q.kind, "zone", q.zone, "spot", q.spot)
		case call.Invalid:
			t.exhausted[q.offer] = now + 20*c.t.listLag
			t.drop(q)
			c.log(Error, "rental was malformed", "type", q.kind, "zone", q.zone)
		default:
			q.at = now + c.t.beat
			c.at(q.at)
		}
	})
	c.send(CloudRent{ID: id, Request: wire.RentRequest{Request: q.name, Type: q.kind, Zone: q.zone, Spot: q.spot, Count: q.count}})
}

// unask drops requests that still wait for the cloud's rate. What is missing is counted
// anew, so that one request asks for all of it: rounds come faster than requests may go
// out, and a queue of small ones would hold the fleet back for many seconds.
func (t *rentals) unask() {
	tried := t.requests[:0]
	for _, q := range t.requests {
		if q.tried {
			tried = append(tried, q)
		}
	}
	clear(t.requests[len(tried):])
	t.requests = tried
}

func (t *rentals) drop(q *rental) {
	for i, x := range t.requests {
		if x == q {
			t.requests = append(t.requests[:i], t.requests[i+1:]...)
			return
		}
	}
}

// list reads the cloud's list, page by page.
func (t *rentals) list(after string) {
	l, c := t.l, t.l.c
	id := l.call(func(r Result) {
		if r.Outcome != call.OK {
			t.listBusy = false
			return
		}
		for i := range r.Machines.Machines {
			e := &r.Machines.Machines[i]
			t.page[e.Name] = true
			t.listed(e)
		}
		if n := len(r.Machines.Machines); r.Machines.More && n > 0 {
			t.list(r.Machines.Machines[n-1].Name)
			return
		}
		t.listBusy = false
		t.everRead = true
		t.absent()
		l.wantRound()
	})
	c.send(CloudList{ID: id, After: after})
}

// listed takes an entry of the cloud's list.
func (t *rentals) listed(e *wire.Machine) {
	l, c := t.l, t.l.c
	now := c.now.Steady
	if at, was := l.released[e.Name]; was {
		if now-at < 10*c.t.listLag {
			return // the list lags
		}
		delete(l.released, e.Name)
	}
	if e.State == wire.MachineFailed {
		if m := l.machines[e.Name]; m != nil {
			l.gone(m, "failed")
		} else {
			l.released[e.Name] = now
		}
		t.names = append(t.names, e.Name)
		return
	}
	_, known := l.machines[e.Name]
	m := l.machine(e.Name)
	if !known {
		c.log(Info, "machine found in the list", "machine", e.Name, "state", e.State)
	}
	if !m.listed {
		m.listed, m.listedAt = true, now
		m.rentedAt = min(m.rentedAt, now-config.Seconds(e.AgeS))
	}
	m.describe(e.Type, e.Zone, e.Addr, e.Spot)
	m.missing = 0
}

// absent looks for machines that a complete list lacks. A list may describe a
// moment up to twice the lag ago, and one list may be older than the one before,
// so a machine counts as gone only if the list was asked for well after it must
// have been listed, and if two lists in a row lack it.
func (t *rentals) absent() {
	l, c := t.l, t.l.c
	for _, m := range append([]*machine(nil), l.fleet...) {
		if t.page[m.name] {
			continue
		}
		known := m.since
		if m.listed {
			known = m.listedAt
		}
		if t.listSent < known+3*c.t.listLag {
			continue
		}
		if m.up && c.now.Steady-m.lastHeard() < 3*c.t.listLag {
			continue
		}
		m.missing++
		if m.missing >= 2 {
			l.gone(m, "no longer listed")
		}
	}
	if len(l.released) > 1000 {
		for name, at := range l.released {
			if c.now.Steady-at > 30*c.t.lease {
				delete(l.released, name)
			}
		}
	}
}

// stuck returns machines that don't come up.
func (t *rentals) stuck() {
	l, c := t.l, t.l.c
	if !l.entitled() {
		return
	}
	for _, m := range l.fleet {
		if m.up || m.seenUp || m.mt == nil || m.releasing {
			continue
		}
		due := m.rentedAt + config.Seconds(m.mt.BootS*c.op.StuckBoots)
		if m.since == l.since || m.since < l.since+c.t.lease {
			// Known from before this term: it may be up and yet to report here.
			due = max(due, l.since+2*c.t.lease)
		}
		if c.now.Steady >= due {
			t.release(m, "did not come up")
		}
	}
}

// settled tells whether this leader's picture of the fleet is good enough to rent
// and return by: the list has been read, and the machines of earlier terms have
// had time to be listed and to report.
func (t *rentals) settled() bool {
	l, c := t.l, t.l.c
	if !t.everRead {
		return false
	}
	if l.term == 1 {
		return true
	}
	if c.now.Steady-l.since < 2*c.t.listLag {
		c.at(l.since + 2*c.t.listLag)
		return false
	}
	if c.now.Steady-l.since > c.t.lease {
		return true
	}
	awaited, up := 0, 0
	for _, m := range l.fleet {
		if m.seenUp && (m.up || m.deaf < 2) {
			awaited++
			if m.up {
				up++
			}
		}
	}
	// The last few may be dead, and so may be those that were asked twice without an answer:
	// what is missing without them is missing anyway.
	return 10*up >= 9*awaited
}

// bin is a machine to come: booting, asked for, or planned.
type bin struct {
	offer
	mt   *wire.MachineType
	room room
	new  bool
}

// planner finds how many machines are missing by packing what waits into those
// that are to come.
type planner struct {
	r     *round
	t     *rentals
	bins  []*bin
	count map[offer]int
	zones map[*job]map[string]int // where a job's tasks are or will be
	work  float64                 // array work not yet worth a machine, in machines
}

// plan rents and returns machines after a round.
func (l *leader) plan(r *round) {
	t := &l.rentals
	if !t.settled() {
		return
	}
	now := l.c.now.Steady
	t.unask()
	p := &planner{r: r, t: t, count: map[offer]int{}, zones: map[*job]map[string]int{}}
	for _, m := range l.fleet {
		if m.mt == nil || m.releasing {
			continue
		}
		o := offer{m.kind, m.zone, m.spot}
		p.count[o]++
		// A machine overdue may never come; what it should have taken is not
		// left waiting for it.
		if !m.up && !m.seenUp && now-m.rentedAt < config.Seconds(1.5*m.mt.BootS) {
			p.bins = append(p.bins, &bin{offer: o, mt: m.mt, room: room{m.mt.GPUs, m.mt.CPUs, m.mt.MemoryGB}})
		}
	}
	for _, q := range t.requests {
		mt := l.c.machineType(q.kind)
		for i := 0; mt != nil && i < q.count; i++ {
			p.count[q.offer]++
			p.bins = append(p.bins, &bin{offer: q.offer, mt: mt, room: room{mt.GPUs, mt.CPUs, mt.MemoryGB}})
		}
	}
	counted := map[*job]int{}
	for _, w := range r.want {
		counted[w.job] += w.tasks
		for i := 0; i < w.tasks; i++ {
			if !p.put(w.job, w.job.spec.Spot) && !p.put(w.job, false) {
				break
			}
		}
	}
	for _, j := range l.order {
		if j.array() && r.ready(j) {
			p.array(j, j.unplaced()-counted[j])
		}
	}
	p.spare()
	p.order()
	p.giveBack()
}

// put packs a task into a bin, opening one if need be.
func (p *planner) put(j *job, spot bool) bool {
	p.r.looks -= len(p.bins) / 4
	for _, b := range p.bins {
		if b.room.holds(j.spec) && p.suits(j, b.offer) {
			p.take(b, j)
			return true
		}
	}
	b := p.open(j, spot)
	if b == nil {
		return false
	}
	p.take(b, j)
	return true
}

func (p *planner) take(b *bin, j *job) {
	b.room.take(j.spec)
	p.zonesOf(j)[b.zone]++
}

func (p *planner) zonesOf(j *job) map[string]int {
	z := p.zones[j]
	if z == nil {
		z = map[string]int{}
		for _, x := range j.placed {
			z[x.machine.zone]++
		}
		p.zones[j] = z
	}
	return z
}

func (p *planner) suits(j *job, o offer) bool {
	s := j.spec
	if o.spot && !s.Spot || s.Zone != "" && s.Zone != o.zone || !allowsType(s, o.kind) {
		return false
	}
	if !s.OneZone && !s.Spread {
		return true
	}
	z := p.zonesOf(j)
	if s.OneZone && len(z) > 0 && z[o.zone] == 0 {
		return false
	}
	return !s.Spread || z[o.zone] < (s.Tasks+1)/2
}

// open plans a new machine for a task: of the cheapest type that holds it, in the
// zone with the fewest machines of that kind.
func (p *planner) open(j *job, spot bool) *bin {
	l := p.r.l
	var best offer
	var bestType *wire.MachineType
	bestCost, bestCount := math.Inf(1), 0
	for i := range l.c.catalog {
		mt := &l.c.catalog[i]
		if !(room{mt.GPUs, mt.CPUs, mt.MemoryGB}).holds(j.spec) {
			continue
		}
		cost := mt.Price
		if spot {
			cost = mt.SpotPrice
		}
		cost /= max(1, mt.GPUs)
		for _, z := range mt.Zones {
			o := offer{mt.Name, z, spot}
			if _, cut := l.cutZones[z]; cut || l.c.now.Steady < p.t.exhausted[o] || !p.suits(j, o) {
				continue
			}
			if cost < bestCost || cost == bestCost && p.count[o] < bestCount {
				best, bestType, bestCost, bestCount = o, mt, cost, p.count[o]
			}
		}
	}
	if bestType == nil {
		return nil
	}
	p.count[best]++
	b := &bin{offer: best, mt: bestType, room: room{bestType.GPUs, bestType.CPUs, bestType.MemoryGB}, new: true}
	p.bins = append(p.bins, b)
	return b
}

// array plans machines for an array's n further waiting tasks. A machine costs its boot time
// before it helps, so one is rented only for about as much work as that.
func (p *planner) array(j *job, n int) {
	if x := p.r.use.of(j.spec.Team); j.team.GPUsMax > 0 && j.spec.GPUs > 0 {
		n = min(n, int((j.team.GPUsMax-x[0])/j.spec.GPUs))
	}
	for i := 0; n > 0 && i < len(p.bins); i++ {
		for b := p.bins[i]; n > 0 && b.room.holds(j.spec) && p.suits(j, b.offer); n-- {
			p.take(b, j)
		}
	}
	for _, spot := range []bool{true, false} {
		if spot && !j.spec.Spot {
			continue
		}
		for n > 0 {
			b := p.open(j, spot)
			if b == nil {
				break
			}
			fits := 0
			for n > 0 && b.room.holds(j.spec) {
				p.take(b, j)
				fits++
				n--
			}
			share := 1 - b.room.gpus/max(1, b.mt.GPUs)
			p.work += share * max(j.spec.EstimateS, 1) / b.mt.BootS
			if !spot && j.spec.Spot {
				// An ordinary machine in place of a cheap one has to be worth more.
				p.work -= share * max(j.spec.EstimateS, 1) / b.mt.BootS * (1 - b.mt.SpotPrice/b.mt.Price)
			}
			if p.work >= 0.5 {
				p.work -= 1
				continue
			}
			// Not worth it yet.
			p.bins = p.bins[:len(p.bins)-1]
			p.count[b.offer]--
			return
		}
	}
}

// spareWanted is the room on ordinary machines to keep free for services to come.
func (p *planner) spareWanted() float64 {
	inUse, largest := 0.0, 0.0
	for _, j := range p.r.l.order {
		if !j.array() && !j.cancelled {
			all := float64(j.spec.Tasks) * j.spec.GPUs
			inUse += all
			largest = max(largest, all)
		}
	}
	if inUse == 0 || p.r.l.c.op.SpareShare == 0 {
		return 0
	}
	return max(largest, inUse*p.r.l.c.op.SpareShare)
}

// spareNow is the room on ordinary machines that services could have: free, to
// come, or held by elastic jobs above their minimum (half of it, since those have
// to stop first).
func (p *planner) spareNow() float64 {
	sum := 0.0
	for _, h := range p.r.hosts {
		if !h.m.spot {
			sum += p.spareOn(h)
		}
	}
	for _, b := range p.bins {
		if !b.spot {
			sum += max(0, b.room.gpus)
		}
	}
	return sum
}

func (p *planner) spareOn(h *host) float64 {
	sum := max(0, h.free.gpus)
	for _, x := range h.m.runs {
		if x.job.shrinkable() {
			sum += x.job.spec.GPUs / 2
		}
	}
	return sum
}

func (p *planner) spare() {
	l := p.r.l
	want := p.spareWanted()
	for i := 0; i < 4 && p.spareNow() < want; i++ {
		var any *job
		for _, j := range l.order {
			if !j.array() && !j.cancelled && j.team != nil && !j.spec.Spread && !j.spec.OneZone {
				any = j
			}
		}
		if any == nil || p.open(any, false) == nil {
			return
		}
	}
}

// order sends the new bins as requests, one for each kind and zone.
func (p *planner) order() {
	c := p.r.l.c
	counts := map[offer]int{}
	var kinds []offer
	for _, b := range p.bins {
		if b.new {
			if counts[b.offer] == 0 {
				kinds = append(kinds, b.offer)
			}
			counts[b.offer]++
		}
	}
	// What is missing most goes first where the cloud's rate makes the rest wait.
	sort.SliceStable(kinds, func(a, b int) bool { return counts[kinds[a]] > counts[kinds[b]] })
	for _, o := range kinds {
		p.t.seq++
		p.t.requests = append(p.t.requests, &rental{offer: o, count: min(counts[o], wire.MaxRent),
			name: fmt.Sprintf("bw-%d-%d", p.r.l.term, p.t.seq), at: c.now.Steady})
	}
}

// giveBack returns idle machines. One is kept about as long as another takes to
// boot, and ordinary ones as long as they are the spare room: those with the least in
// their caches go first, since what the next service needs may be in the others'.
func (p *planner) giveBack() {
	l := p.r.l
	now := l.c.now.Steady
	spare := p.spareNow() - p.spareWanted()
	var idle []*machine
	for _, h := range p.r.hosts {
		m := h.m
		if len(m.list) == 0 && len(m.strays) == 0 && !m.releasing &&
			now >= m.idleSince+config.Seconds(m.mt.BootS*l.c.op.IdleBoots) {
			idle = append(idle, m)
		}
	}
	sort.SliceStable(idle, func(a, b int) bool { return idle[a].cached() < idle[b].cached() })
	for _, m := range idle {
		if !m.spot {
			if spare < m.mt.GPUs {
				continue
			}
			spare -= m.mt.GPUs
		}
		p.t.release(m, "idle")
	}
}

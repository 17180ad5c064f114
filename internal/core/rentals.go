package core

import (
	"slices"
	"time"

	"bitternwing/internal/call"
	"bitternwing/internal/capacity"
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
	listBusy  bool          // a page is being read
	listSent  time.Duration // when the list being read was asked for
	nextPage  string        // of the list being read, the machine after which the next page begins; "": none is due
	page      map[string]bool
	everRead  bool
	exhausted map[capacity.Group]time.Duration // refused lately; not asked before this
}

// rental is a request for machines. Its name holds the term, so that no other
// request ever has it; it is repeated under that name until its outcome is known.
type rental struct {
	capacity.Group
	name  string
	count int
	tried bool // it went out; until then the next plan makes it anew
	busy  bool
	at    time.Duration // next try
}

func (t *rentals) init(l *leader) {
	t.l = l
	t.tokensAt = l.core.now.Steady
	t.tokens = l.core.settings.Params.Cloud.RPS
	t.exhausted = map[capacity.Group]time.Duration{}
}

func (t *rentals) spend() bool {
	now := t.l.core.now.Steady
	rps := 0.8 * t.l.core.settings.Params.Cloud.RPS
	t.tokens = min(max(1, rps), t.tokens+rps*(now-t.tokensAt).Seconds())
	t.tokensAt = now
	if t.tokens < 1 {
		t.l.core.wakeBy(now + config.Seconds((1-t.tokens)/rps))
		return false
	}
	t.tokens--
	return true
}

func (t *rentals) run() {
	l, c := t.l, t.l.core
	if !l.hasAuthority() {
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
			c.wakeBy(q.at)
			continue
		}
		if !t.spend() {
			break
		}
		t.sendRent(q)
	}
	t.runList()
}

// runList begins to read the cloud's list when that is due, and goes on with its pages as the cloud's rate
// allows: a large fleet has more of them than may be asked for in a second.
func (t *rentals) runList() {
	now := t.l.core.now.Steady
	switch {
	case t.listBusy:
	case t.nextPage != "":
		if t.spend() {
			t.list(t.nextPage)
		}
	case now < t.listAt:
		t.l.core.wakeBy(t.listAt)
	case t.spend():
		t.listAt = t.l.core.coalesce(now + t.l.core.times.listLag)
		t.listSent = now
		t.page = map[string]bool{}
		t.list("")
	}
}

// releaseReason is why a machine is given back.
type releaseReason string

// The reasons.
const (
	releaseIdle      releaseReason = "idle"
	releaseSilent    releaseReason = "silent"
	releaseFaulty    releaseReason = "faulty"
	releaseNeverUp   releaseReason = "did not come up"
	releaseCancelled releaseReason = "a cancelled task does not go"
	releaseUnreached releaseReason = "answers don't reach it"
)

// release gives a machine back. What is on it counts until the cloud says 200.
func (t *rentals) release(m *machine, why releaseReason) {
	if m.releasing {
		return
	}
	m.releasing, m.releaseReason = true, why
	t.names = append(t.names, m.name)
	t.l.core.log(Info, "releasing machine", "machine", m.name, "why", why, "tasks", len(m.placements))
	t.l.wantRound()
}

// takeBack keeps a machine that was to be released as silent and is heard again, as long as no
// request for it can have been carried out: while the cloud is out of reach its tasks may have gone
// on all the time.
func (t *rentals) takeBack(m *machine) {
	if !m.releasing || m.releaseReason != releaseSilent || m.releaseSent {
		return
	}
	m.releasing = false
	t.names = slices.DeleteFunc(t.names, func(name string) bool { return name == m.name })
	t.l.core.log(Info, "release taken back", "machine", m.name)
	t.l.wantRound()
}

// releaseMayBeDone notes for machines whether a request to release them may have been carried out.
func (t *rentals) releaseMayBeDone(names []string, may bool) {
	for _, name := range names {
		if m := t.l.machines[name]; m != nil {
			m.releaseSent = may
		}
	}
}

func (t *rentals) sendRelease() {
	l, c := t.l, t.l.core
	n := min(len(t.names), wire.MaxScaleIn)
	names := append([]string(nil), t.names[:n]...)
	t.names = append([]string(nil), t.names[n:]...)
	t.relBusy = true
	t.releaseMayBeDone(names, true)
	id := l.call(func(r Result) {
		t.relBusy = false
		if r.Outcome == call.OK {
			for _, name := range names {
				if m := l.machines[name]; m != nil {
					l.removeMachine(m, "released")
				}
			}
			return
		}
		if r.Outcome.NotDone() {
			t.releaseMayBeDone(names, false)
		}
		// Releasing again does no harm.
		t.names = append(names, t.names...)
		t.retryAt = c.now.Steady + c.times.checkInterval
		c.wakeBy(t.retryAt)
	})
	c.emit(CloudScaleIn{CallID: id, Names: names})
}

func (t *rentals) sendRent(q *rental) {
	l, c := t.l, t.l.core
	q.busy, q.tried = true, true
	id := l.call(func(r Result) {
		q.busy = false
		now := c.now.Steady
		switch r.Outcome {
		case call.OK:
			for _, name := range r.MachineNames {
				m := l.machineNamed(name)
				m.requestedAt, m.requestedHere = r.SentAt, true
				m.setIdentity(q.Type, q.Zone, "", q.Spot)
				m.setType(c.machineType(q.Type))
			}
			if len(r.MachineNames) < q.count {
				t.exhausted[q.Group] = now + 2*c.times.listLag
			}
			t.drop(q)
			l.wantRound()
			c.log(Info, "rented", "asked", q.count, "got", len(r.MachineNames), "type", q.Type, "zone", q.Zone, "spot", q.Spot)
		case call.Refused:
			t.exhausted[q.Group] = now + 2*c.times.listLag
			t.drop(q)
			l.wantRound()
			c.log(Debug, "rental refused", "type", q.Type, "zone", q.Zone, "spot", q.Spot)
		case call.Invalid:
			t.exhausted[q.Group] = now + 20*c.times.listLag
			t.drop(q)
			c.log(Error, "rental was malformed", "type", q.Type, "zone", q.Zone)
		default:
			q.at = now + c.times.checkInterval
			c.wakeBy(q.at)
		}
	})
	c.emit(CloudScaleOut{CallID: id, Request: wire.ScaleOutRequest{RequestID: q.name, Type: q.Type, Zone: q.Zone, Spot: q.Spot, Count: q.count}})
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

// list reads a page of the cloud's list. One above the cloud's rate is asked for again; after any other
// failure the list is read anew when the next one is due.
func (t *rentals) list(after string) {
	l, c := t.l, t.l.core
	t.listBusy = true
	id := l.call(func(r Result) {
		t.listBusy = false
		if r.Outcome == call.Dropped && after != "" {
			t.nextPage = after
			return
		}
		t.nextPage = ""
		if r.Outcome != call.OK {
			return
		}
		for i := range r.Machines.Machines {
			e := &r.Machines.Machines[i]
			t.page[e.Name] = true
			t.listed(e)
		}
		if n := len(r.Machines.Machines); r.Machines.More && n > 0 {
			t.nextPage = r.Machines.Machines[n-1].Name
			return
		}
		t.everRead = true
		t.absent()
		l.wantRound()
	})
	c.emit(CloudList{CallID: id, After: after})
}

// listed takes an entry of the cloud's list.
func (t *rentals) listed(e *wire.Machine) {
	l, c := t.l, t.l.core
	now := c.now.Steady
	if at, was := l.releasedMachines[e.Name]; was {
		if now-at < 10*c.times.listLag {
			return // the list lags
		}
		delete(l.releasedMachines, e.Name)
	}
	if e.State == wire.MachineFailed {
		if m := l.machines[e.Name]; m != nil {
			l.removeMachine(m, "failed")
		} else {
			l.releasedMachines[e.Name] = now
		}
		t.names = append(t.names, e.Name)
		return
	}
	_, known := l.machines[e.Name]
	m := l.machineNamed(e.Name)
	if !known {
		c.log(Info, "machine found in the list", "machine", e.Name, "state", e.State)
	}
	if !m.inCloudList {
		m.inCloudList, m.listedAt = true, now
		m.requestedAt = min(m.requestedAt, now-config.Seconds(e.AgeS))
	}
	m.setIdentity(e.Type, e.Zone, e.Addr, e.Spot)
	m.missedLists = 0
}

// absent looks for machines that a complete list lacks. A list may describe a
// moment up to twice the lag ago, and one list may be older than the one before,
// so a machine counts as gone only if the list was asked for well after it must
// have been listed, and if two lists in a row lack it.
func (t *rentals) absent() {
	l, c := t.l, t.l.core
	for _, m := range append([]*machine(nil), l.machinesByName...) {
		if t.page[m.name] {
			continue
		}
		known := m.firstSeen
		if m.inCloudList {
			known = m.listedAt
		}
		if t.listSent < known+3*c.times.listLag {
			continue
		}
		if m.reported && c.now.Steady-m.lastHeardDirectlyOrRelayed() < 3*c.times.listLag {
			continue
		}
		m.missedLists++
		if m.missedLists >= 2 {
			l.removeMachine(m, "no longer listed")
		}
	}
	if len(l.releasedMachines) > 1000 {
		for name, at := range l.releasedMachines {
			if c.now.Steady-at > 30*c.times.lease {
				delete(l.releasedMachines, name)
			}
		}
	}
}

// stuck returns machines that don't come up.
func (t *rentals) stuck() {
	l, c := t.l, t.l.core
	if !l.hasAuthority() {
		return
	}
	for _, m := range l.machinesByName {
		if m.reported || m.everReported || m.machineType == nil || m.releasing {
			continue
		}
		due := m.requestedAt + config.Seconds(m.machineType.BootS*c.operator.StuckBoots)
		if m.firstSeen == l.startedAt || m.firstSeen < l.startedAt+c.times.lease {
			// Known from before this term: it may be up and yet to report here.
			due = max(due, l.startedAt+2*c.times.lease)
		}
		if c.now.Steady >= due {
			t.release(m, releaseNeverUp)
		}
	}
}

// settled tells whether this leader's picture of the fleet is good enough to rent
// and return by: the list has been read, and the machines of earlier terms have
// had time to be listed and to report.
func (t *rentals) settled() bool {
	l, c := t.l, t.l.core
	if !t.everRead {
		return false
	}
	if l.term == 1 {
		return true
	}
	if c.now.Steady-l.startedAt < 2*c.times.listLag {
		c.wakeBy(l.startedAt + 2*c.times.listLag)
		return false
	}
	if c.now.Steady-l.startedAt > c.times.lease {
		return true
	}
	awaited, up := 0, 0
	for _, m := range l.machinesByName {
		if m.everReported && (m.reported || m.unansweredQueries < 2) {
			awaited++
			if m.reported {
				up++
			}
		}
	}
	// The last few may be dead, and so may be those that were asked twice without an answer:
	// what is missing without them is missing anyway.
	return 10*up >= 9*awaited
}

package core

import (
	"slices"
	"time"

	"bitternwing/internal/capacity"
	"bitternwing/internal/config"
	"bitternwing/internal/outcome"
	"bitternwing/internal/ratelimit"
	"bitternwing/internal/wire"
)

// provisioner keeps the fleet: what is rented, what goes back, and what the cloud's
// list tells, within the cloud's rate.
type provisioner struct {
	leader      *leader
	requestRate ratelimit.Bucket // of requests to the cloud

	lastRequest     int
	requests        []*scaleOutRequest
	scaleInQueue    []string // to be released
	nextScaleIn     time.Duration
	scaleInInFlight bool

	nextList      time.Duration
	listInFlight  bool          // a page is being read
	listStartedAt time.Duration // when the list being read was asked for
	nextPage      string        // of the list being read, the machine after which the next page begins; "": none is due
	listedNames   map[string]bool
	listRead      bool
	exhausted     map[capacity.Group]time.Duration // refused lately; not asked before this
}

// scaleOutRequest is a request for machines. Its name holds the term, so that no other
// request ever has it; it is repeated under that name until its outcome is known.
type scaleOutRequest struct {
	capacity.Group
	id       string
	count    int
	sent     bool // it went out; until then the next plan makes it anew
	inFlight bool
	nextTry  time.Duration // next try
}

func (t *provisioner) init(l *leader) {
	t.leader = l
	t.requestRate = ratelimit.NewBucket(l.core.settings.Params.Cloud.RPS, l.core.now.Steady)
	t.exhausted = map[capacity.Group]time.Duration{}
}

// usableRateShare is the share of the cloud's rate limit that the leader uses. The rest is a margin against refusals.
const usableRateShare = 0.8

// takeRateToken takes a token for a request to the cloud, or has the core woken when there will be one.
func (t *provisioner) takeRateToken() bool {
	now := t.leader.core.now.Steady
	rate := usableRateShare * t.leader.core.settings.Params.Cloud.RPS
	t.requestRate.Refill(now, rate, max(1, rate))
	if !t.requestRate.TryTake(1) {
		t.leader.core.wakeBy(now + t.requestRate.WaitFor(1, rate))
		return false
	}
	return true
}

func (t *provisioner) run() {
	l, c := t.leader, t.leader.core
	if !l.hasAuthority() {
		return
	}
	now := c.now.Steady
	if len(t.scaleInQueue) > 0 && !t.scaleInInFlight && now >= t.nextScaleIn && t.takeRateToken() {
		t.sendScaleIn()
	}
	for i := 0; i < len(t.requests); i++ {
		q := t.requests[i]
		if q.inFlight {
			continue
		}
		if now < q.nextTry {
			c.wakeBy(q.nextTry)
			continue
		}
		if !t.takeRateToken() {
			break
		}
		t.sendScaleOut(q)
	}
	t.runList()
}

// runList begins to read the cloud's list when that is due, and goes on with its pages as the cloud's rate
// allows: a large fleet has more of them than may be asked for in a second.
func (t *provisioner) runList() {
	now := t.leader.core.now.Steady
	switch {
	case t.listInFlight:
	case t.nextPage != "":
		if t.takeRateToken() {
			t.requestListPage(t.nextPage)
		}
	case now < t.nextList:
		t.leader.core.wakeBy(t.nextList)
	case t.takeRateToken():
		t.nextList = t.leader.core.coalesce(now + t.leader.core.times.listLag)
		t.listStartedAt = now
		t.listedNames = map[string]bool{}
		t.requestListPage("")
	}
}

// releaseReason is why a machine is given back.
type releaseReason string

// The reasons.
const (
	releaseIdle          releaseReason = "idle"
	releaseSilent        releaseReason = "silent"
	releaseFaulty        releaseReason = "faulty"
	releaseNeverUp       releaseReason = "did not come up"
	releaseCancelled     releaseReason = "a cancelled task does not go"
	releaseResponsesLost releaseReason = "answers don't reach it"
)

// release gives a machine back. What is on it counts until the cloud says 200.
func (t *provisioner) release(m *machine, why releaseReason) {
	if m.releasing {
		return
	}
	m.releasing, m.releaseReason = true, why
	t.scaleInQueue = append(t.scaleInQueue, m.name)
	t.leader.core.log(Info, "releasing worker", "worker", m.name, "reason", why, "tasks", len(m.placements))
	t.leader.requestCycle()
}

// cancelRelease keeps a machine that was to be released as silent and is heard again, as long as no
// request for it can have been carried out: while the cloud is out of reach its tasks may have gone
// on all the time.
func (t *provisioner) cancelRelease(m *machine) {
	if !m.releasing || m.releaseReason != releaseSilent || m.releaseSent {
		return
	}
	m.releasing = false
	t.scaleInQueue = slices.DeleteFunc(t.scaleInQueue, func(name string) bool { return name == m.name })
	t.leader.core.log(Info, "worker release cancelled", "worker", m.name)
	t.leader.requestCycle()
}

// markReleaseSent notes for machines whether a request to release them may have been carried out.
func (t *provisioner) markReleaseSent(names []string, may bool) {
	for _, name := range names {
		if m := t.leader.machines[name]; m != nil {
			m.releaseSent = may
		}
	}
}

func (t *provisioner) sendScaleIn() {
	l, c := t.leader, t.leader.core
	n := min(len(t.scaleInQueue), wire.MaxScaleIn)
	names := append([]string(nil), t.scaleInQueue[:n]...)
	t.scaleInQueue = append([]string(nil), t.scaleInQueue[n:]...)
	t.scaleInInFlight = true
	t.markReleaseSent(names, true)
	id := l.call(func(r Result) {
		t.scaleInInFlight = false
		if r.Outcome == outcome.OK {
			for _, name := range names {
				if m := l.machines[name]; m != nil {
					l.removeMachine(m, "released")
				}
			}
			return
		}
		if r.Outcome.CertainlyNotApplied() {
			t.markReleaseSent(names, false)
		}
		// Releasing again does no harm.
		t.scaleInQueue = append(names, t.scaleInQueue...)
		t.nextScaleIn = c.now.Steady + c.times.checkInterval
		c.wakeBy(t.nextScaleIn)
	})
	c.emit(CloudScaleIn{CallID: id, Names: names})
}

func (t *provisioner) sendScaleOut(q *scaleOutRequest) {
	l, c := t.leader, t.leader.core
	q.inFlight, q.sent = true, true
	id := l.call(func(r Result) {
		q.inFlight = false
		now := c.now.Steady
		switch r.Outcome {
		case outcome.OK:
			for _, name := range r.MachineNames {
				m := l.machineNamed(name)
				m.requestedAt, m.requestedHere = r.SentAt, true
				m.setIdentity(q.Type, q.Zone, "", q.Spot)
				m.setType(c.machineType(q.Type))
			}
			if len(r.MachineNames) < q.count {
				t.exhausted[q.Group] = now + 2*c.times.listLag
			}
			t.dropRequest(q)
			l.requestCycle()
			c.log(Info, "scaled out", "requested", q.count, "granted", len(r.MachineNames), "type", q.Type, "zone", q.Zone, "spot", q.Spot)
		case outcome.Unavailable:
			t.exhausted[q.Group] = now + 2*c.times.listLag
			t.dropRequest(q)
			l.requestCycle()
			c.log(Debug, "scale-out refused", "type", q.Type, "zone", q.Zone, "spot", q.Spot)
		case outcome.Invalid:
			t.exhausted[q.Group] = now + 20*c.times.listLag
			t.dropRequest(q)
			c.log(Error, "scale-out request invalid", "type", q.Type, "zone", q.Zone)
		case outcome.Unknown, outcome.Conflict, outcome.NotFound, outcome.TooOld, outcome.TooLarge, outcome.Dropped:
			// It may have been applied or not: it is retried under the same ID.
			q.nextTry = now + c.times.checkInterval
			c.wakeBy(q.nextTry)
		}
	})
	c.emit(CloudScaleOut{CallID: id, Request: wire.ScaleOutRequest{RequestID: q.id, Type: q.Type, Zone: q.Zone, Spot: q.Spot, Count: q.count}})
}

// dropUnsentRequests drops requests that still wait for the cloud's rate. What is missing is counted
// anew, so that one request asks for all of it: rounds come faster than requests may go
// out, and a queue of small ones would hold the fleet back for many seconds.
func (t *provisioner) dropUnsentRequests() {
	tried := t.requests[:0]
	for _, q := range t.requests {
		if q.sent {
			tried = append(tried, q)
		}
	}
	clear(t.requests[len(tried):])
	t.requests = tried
}

func (t *provisioner) dropRequest(q *scaleOutRequest) {
	for i, x := range t.requests {
		if x == q {
			t.requests = append(t.requests[:i], t.requests[i+1:]...)
			return
		}
	}
}

// requestListPage reads a page of the cloud's list. One above the cloud's rate is asked for again; after any other
// failure the list is read anew when the next one is due.
func (t *provisioner) requestListPage(after string) {
	l, c := t.leader, t.leader.core
	t.listInFlight = true
	id := l.call(func(r Result) {
		t.listInFlight = false
		if r.Outcome == outcome.Dropped && after != "" {
			t.nextPage = after
			return
		}
		t.nextPage = ""
		if r.Outcome != outcome.OK {
			return
		}
		for i := range r.Machines.Machines {
			e := &r.Machines.Machines[i]
			t.listedNames[e.Name] = true
			t.applyListed(e)
		}
		if n := len(r.Machines.Machines); r.Machines.More && n > 0 {
			t.nextPage = r.Machines.Machines[n-1].Name
			return
		}
		t.listRead = true
		t.findAbsent()
		l.requestCycle()
	})
	c.emit(CloudList{CallID: id, After: after})
}

// applyListed takes an entry of the cloud's list.
func (t *provisioner) applyListed(e *wire.Machine) {
	l, c := t.leader, t.leader.core
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
		t.scaleInQueue = append(t.scaleInQueue, e.Name)
		return
	}
	_, known := l.machines[e.Name]
	m := l.machineNamed(e.Name)
	if !known {
		c.log(Info, "worker found in cloud list", "worker", e.Name, "state", e.State)
	}
	if !m.inCloudList {
		m.inCloudList, m.listedAt = true, now
		m.requestedAt = min(m.requestedAt, now-config.Seconds(e.AgeS))
	}
	m.setIdentity(e.Type, e.Zone, e.Addr, e.Spot)
	m.missedLists = 0
}

// findAbsent looks for machines that a complete list lacks. A list may describe a
// moment up to twice the lag ago, and one list may be older than the one before,
// so a machine counts as gone only if the list was asked for well after it must
// have been listed, and if two lists in a row lack it.
func (t *provisioner) findAbsent() {
	l, c := t.leader, t.leader.core
	for _, m := range append([]*machine(nil), l.machinesByName...) {
		if t.listedNames[m.name] {
			continue
		}
		known := m.firstSeen
		if m.inCloudList {
			known = m.listedAt
		}
		if t.listStartedAt < known+3*c.times.listLag {
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

// releaseNeverUp returns machines that don't come up.
func (t *provisioner) releaseNeverUp() {
	l, c := t.leader, t.leader.core
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

// reconciled tells whether this leader's picture of the fleet is good enough to rent
// and return by: the list has been read, and the machines of earlier terms have
// had time to be listed and to report.
func (t *provisioner) reconciled() bool {
	l, c := t.leader, t.leader.core
	if !t.listRead {
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

package core

import (
	"fmt"
	"slices"
	"time"

	"bitternwing/internal/capacity"
	"bitternwing/internal/config"
	"bitternwing/internal/outcome"
	"bitternwing/internal/ratelimit"
	"bitternwing/internal/wire"
)

// provisioner is the client of the cloud: it requests machines, releases them and reads the cloud's list of them, within
// the cloud's rate limit. What is missing and what is idle is decided by the capacity planner.
type provisioner struct {
	leader      *leader
	requestRate ratelimit.Bucket // of requests to the cloud

	lastRequest     int
	requests        []*scaleOutRequest
	scaleInQueue    []string // names of machines to release
	nextScaleIn     time.Duration
	scaleInInFlight bool

	nextList      time.Duration
	listInFlight  bool          // a page is being read
	listStartedAt time.Duration // when the list being read was requested
	nextPage      string        // of the list being read, the machine after which the next page begins; "": none is due
	listedNames   map[string]bool
	listRead      bool
	exhausted     map[capacity.Group]time.Duration // refused lately; not requested before this
}

// scaleOutRequest is a request for machines. Its ID holds the term, so that no other request ever has it; it is retried
// under that ID until its outcome is known, so that machines are granted once.
type scaleOutRequest struct {
	capacity.Group
	id       string
	count    int
	sent     bool // until then the next plan replaces it
	inFlight bool
	nextTry  time.Duration
}

func (p *provisioner) init(l *leader) {
	p.leader = l
	p.requestRate = ratelimit.NewBucket(l.core.settings.Params.Cloud.RPS, l.core.now.Steady)
	p.exhausted = map[capacity.Group]time.Duration{}
}

// usableRateShare is the share of the cloud's rate limit that the leader uses. The rest is a margin against refusals.
const usableRateShare = 0.8

// takeRateToken takes a token for a request to the cloud, or has the core woken when there will be one.
func (p *provisioner) takeRateToken() bool {
	now := p.leader.core.now.Steady
	rate := usableRateShare * p.leader.core.settings.Params.Cloud.RPS
	p.requestRate.Refill(now, rate, max(1, rate))
	if !p.requestRate.TryTake(1) {
		p.leader.core.wakeBy(now + p.requestRate.WaitFor(1, rate))
		return false
	}
	return true
}

// run sends the requests that are due, as far as the rate limit allows: releases first, then scale-out, then the list.
func (p *provisioner) run() {
	l, c := p.leader, p.leader.core
	if !l.hasAuthority() {
		return
	}
	now := c.now.Steady
	if len(p.scaleInQueue) > 0 && !p.scaleInInFlight && now >= p.nextScaleIn && p.takeRateToken() {
		p.sendScaleIn()
	}
	for i := 0; i < len(p.requests); i++ {
		q := p.requests[i]
		if q.inFlight {
			continue
		}
		if now < q.nextTry {
			c.wakeBy(q.nextTry)
			continue
		}
		if !p.takeRateToken() {
			break
		}
		p.sendScaleOut(q)
	}
	p.runList()
}

// releaseReason is why a machine is released, for the log.
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

// release has a machine scaled in. What runs on it counts until the cloud has confirmed that it is gone.
func (p *provisioner) release(m *machine, why releaseReason) {
	if m.releasing {
		return
	}
	m.releasing, m.releaseReason = true, why
	p.scaleInQueue = append(p.scaleInQueue, m.name)
	p.leader.core.log(Info, "releasing worker", "worker", m.name, "reason", why, "tasks", len(m.placements))
	p.leader.requestCycle()
}

// cancelRelease keeps a machine that was to be released as silent and sends heartbeats again, as long as no request for it
// can have been applied: while the cloud is out of reach its tasks may have gone on all the time.
func (p *provisioner) cancelRelease(m *machine) {
	if !m.releasing || m.releaseReason != releaseSilent || m.releaseSent {
		return
	}
	m.releasing = false
	p.scaleInQueue = slices.DeleteFunc(p.scaleInQueue, func(name string) bool { return name == m.name })
	p.leader.core.log(Info, "worker release cancelled", "worker", m.name)
	p.leader.requestCycle()
}

// markReleaseSent notes whether a request to release machines may have been applied.
func (p *provisioner) markReleaseSent(names []string, maybeApplied bool) {
	for _, name := range names {
		if m := p.leader.machines[name]; m != nil {
			m.releaseSent = maybeApplied
		}
	}
}

// sendScaleIn sends a request to release the machines that have waited longest. It is idempotent, so it is retried after
// any failure.
func (p *provisioner) sendScaleIn() {
	l, c := p.leader, p.leader.core
	n := min(len(p.scaleInQueue), wire.MaxScaleIn)
	names := append([]string(nil), p.scaleInQueue[:n]...)
	p.scaleInQueue = append([]string(nil), p.scaleInQueue[n:]...)
	p.scaleInInFlight = true
	p.markReleaseSent(names, true)
	id := l.registerCall(func(r Result) {
		p.scaleInInFlight = false
		if r.Outcome == outcome.OK {
			for _, name := range names {
				if m := l.machines[name]; m != nil {
					l.removeMachine(m, "released")
				}
			}
			return
		}
		if r.Outcome.CertainlyNotApplied() {
			p.markReleaseSent(names, false)
		}
		p.scaleInQueue = append(names, p.scaleInQueue...)
		p.nextScaleIn = c.now.Steady + c.times.checkInterval
		c.wakeBy(p.nextScaleIn)
	})
	c.emit(CloudScaleIn{CallID: id, Names: names})
}

// sendScaleOut sends a request for machines.
func (p *provisioner) sendScaleOut(q *scaleOutRequest) {
	q.inFlight, q.sent = true, true
	id := p.leader.registerCall(func(r Result) {
		q.inFlight = false
		p.handleScaleOutResult(q, r)
	})
	p.leader.core.emit(CloudScaleOut{CallID: id,
		Request: wire.ScaleOutRequest{RequestID: q.id, Type: q.Type, Zone: q.Zone, Spot: q.Spot, Count: q.count}})
}

const (
	// exhaustedListLags is for how many lags of the cloud's list a group is not requested after the cloud had too few.
	exhaustedListLags = 2
	// invalidListLags is the same after the cloud has called a request invalid.
	invalidListLags = 20
)

// handleScaleOutResult takes in the machines that the cloud granted. A request whose outcome is not known is retried under
// its ID.
func (p *provisioner) handleScaleOutResult(q *scaleOutRequest, r Result) {
	l, c := p.leader, p.leader.core
	now := c.now.Steady
	switch r.Outcome {
	case outcome.OK:
		for _, name := range r.MachineNames {
			m := l.machineNamed(name)
			m.requestedAt, m.requestedHere = r.SentAt, true
			m.setIdentity(q.Type, q.Zone, "", q.Spot)
			m.setType(c.catalog.machineType(q.Type))
		}
		if len(r.MachineNames) < q.count {
			p.exhausted[q.Group] = now + exhaustedListLags*c.times.listLag
		}
		p.dropRequest(q)
		l.requestCycle()
		c.log(Info, "scaled out", "requested", q.count, "granted", len(r.MachineNames), "type", q.Type, "zone", q.Zone, "spot", q.Spot)
	case outcome.Unavailable:
		p.exhausted[q.Group] = now + exhaustedListLags*c.times.listLag
		p.dropRequest(q)
		l.requestCycle()
		c.log(Debug, "scale-out refused", "type", q.Type, "zone", q.Zone, "spot", q.Spot)
	case outcome.Invalid:
		p.exhausted[q.Group] = now + invalidListLags*c.times.listLag
		p.dropRequest(q)
		c.log(Error, "scale-out request invalid", "type", q.Type, "zone", q.Zone)
	case outcome.Unknown, outcome.Conflict, outcome.NotFound, outcome.TooOld, outcome.TooLarge, outcome.Dropped:
		q.nextTry = now + c.times.checkInterval
		c.wakeBy(q.nextTry)
	}
}

// unavailable tells whether machines of a group are not to be requested now: its zone is cut off, or the cloud had too few
// of them lately.
func (p *provisioner) unavailable(group capacity.Group) bool {
	return p.leader.liveness.zoneSilent(group.Zone) || p.leader.core.now.Steady < p.exhausted[group]
}

// apply has a capacity plan carried out: a request for each group that is missing, and the release of what is idle.
func (p *provisioner) apply(plan capacityPlan) {
	for _, demand := range plan.scaleOut {
		p.lastRequest++
		p.requests = append(p.requests, &scaleOutRequest{
			Group:   demand.Group,
			id:      fmt.Sprintf("bw-%d-%d", p.leader.term, p.lastRequest),
			count:   min(demand.count, wire.MaxScaleOut),
			nextTry: p.leader.core.now.Steady,
		})
	}
	for _, m := range plan.scaleIn {
		p.release(m, releaseIdle)
	}
}

// dropUnsentRequests drops requests that still wait for the cloud's rate limit. The next plan counts anew what is missing,
// so that one request asks for all of it: cycles come faster than requests may be sent, and a queue of small ones would
// delay the fleet by many seconds.
func (p *provisioner) dropUnsentRequests() {
	sent := p.requests[:0]
	for _, q := range p.requests {
		if q.sent {
			sent = append(sent, q)
		}
	}
	clear(p.requests[len(sent):])
	p.requests = sent
}

func (p *provisioner) dropRequest(q *scaleOutRequest) {
	for i, x := range p.requests {
		if x == q {
			p.requests = append(p.requests[:i], p.requests[i+1:]...)
			return
		}
	}
}

// releaseNeverUp releases machines that send no heartbeat long after they should have booted.
func (p *provisioner) releaseNeverUp() {
	l, c := p.leader, p.leader.core
	if !l.hasAuthority() {
		return
	}
	for _, m := range l.machinesByName {
		if m.reported || m.everReported || m.machineType == nil || m.releasing {
			continue
		}
		due := m.requestedAt + config.Seconds(m.machineType.BootS*c.operator.BootTimeoutFactor)
		if m.firstSeen == l.startedAt || m.firstSeen < l.startedAt+c.times.lease {
			// Known from before this term: it may be up and not have found this leader yet.
			due = max(due, l.startedAt+2*c.times.lease)
		}
		if c.now.Steady >= due {
			p.release(m, releaseNeverUp)
		}
	}
}

// reconciled tells whether this leader knows the fleet well enough to scale it out and in: the cloud's list has been read,
// and the machines of earlier terms have had time to be listed and to send a heartbeat.
func (p *provisioner) reconciled() bool {
	l, c := p.leader, p.leader.core
	if !p.listRead {
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
	// The last few may be dead, and so may those that left two queries unanswered: what the fleet lacks without them it
	// lacks anyway.
	return 10*up >= 9*awaited
}

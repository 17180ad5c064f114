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

// provisioner is the client of the cloud. It requests machines, releases them and reads the cloud's list of machines,
// within the cloud's rate limit. The capacity planner decides how many machines to request and which to release.
type provisioner struct {
	leader      *leader
	requestRate ratelimit.Bucket // for requests to the cloud

	lastRequestNumber int // number of the last scale-out request of this term
	requests          []*scaleOutRequest
	scaleInQueue      []string      // names of machines to release
	nextScaleIn       time.Duration // earliest time of the next scale-in request
	scaleInInFlight   bool

	nextList       time.Duration
	listInFlight   bool          // a page is being read
	listStartedAt  time.Duration // when the first page of the current list was requested
	nextPage       string        // name of the machine after which the next page begins; "" if no page is due
	listedNames    map[string]bool
	listComplete   bool                             // all pages of a list have been read in this term
	exhaustedUntil map[capacity.Group]time.Duration // earliest time of the next request, by group that the cloud has refused
}

// scaleOutRequest is a request for machines. Its ID includes the term, so it is unique. The request is retried under
// the same ID until its outcome is known, so that the machines are granted only once.
type scaleOutRequest struct {
	capacity.Group
	id            string
	count         int
	sent          bool // until it is sent, the next plan may replace it
	inFlight      bool
	nextAttemptAt time.Duration
}

func (p *provisioner) init(l *leader) {
	p.leader = l
	p.requestRate = ratelimit.NewBucket(l.core.settings.Params.Cloud.RPS, l.core.now.Steady)
	p.exhaustedUntil = map[capacity.Group]time.Duration{}
}

// usableRateShare is the share of the cloud's rate limit that the leader uses. The remainder is a margin against
// refused requests.
const usableRateShare = 0.8

// takeRateToken takes a token for a request to the cloud. If there is none, it schedules a wake-up for when one is
// available and returns false.
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

// run sends the requests that are due, as far as the rate limit allows: releases first, then scale-out requests, then
// the list.
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
		request := p.requests[i]
		if request.inFlight {
			continue
		}
		if now < request.nextAttemptAt {
			c.wakeBy(request.nextAttemptAt)
			continue
		}
		if !p.takeRateToken() {
			break
		}
		p.sendScaleOut(request)
	}
	p.runList()
}

// releaseReason is the reason for releasing a machine, for the log.
type releaseReason string

// The reasons for releasing a machine.
const (
	releaseIdle          releaseReason = "idle"
	releaseSilent        releaseReason = "silent"
	releaseFaulty        releaseReason = "faulty"
	releaseBootTimeout   releaseReason = "no heartbeat after boot"
	releaseCancelled     releaseReason = "cancelled task does not stop"
	releaseResponsesLost releaseReason = "responses do not arrive"
)

// release schedules a machine for release. Its tasks count as running until the cloud has confirmed the release.
func (p *provisioner) release(m *machine, reason releaseReason) {
	if m.releasing {
		return
	}
	m.releasing, m.releaseReason = true, reason
	p.scaleInQueue = append(p.scaleInQueue, m.name)
	p.leader.core.log(Info, "releasing worker", "worker", m.name, "reason", reason, "tasks", len(m.placements))
	p.leader.requestCycle()
}

// cancelRelease cancels the release of a silent machine that sends heartbeats again, unless a request for the release
// may already have been applied. While the cloud is unreachable, the machine's tasks may have kept running.
func (p *provisioner) cancelRelease(m *machine) {
	if !m.releasing || m.releaseReason != releaseSilent || m.releaseMaybeApplied {
		return
	}
	m.releasing = false
	p.scaleInQueue = slices.DeleteFunc(p.scaleInQueue, func(name string) bool { return name == m.name })
	p.leader.core.log(Info, "worker release cancelled", "worker", m.name)
	p.leader.requestCycle()
}

// setReleaseMaybeApplied records whether a request to release the machines may have been applied.
func (p *provisioner) setReleaseMaybeApplied(names []string, maybeApplied bool) {
	for _, name := range names {
		if m := p.leader.machines[name]; m != nil {
			m.releaseMaybeApplied = maybeApplied
		}
	}
}

// sendScaleIn sends a request to release the machines at the head of the queue. The request is idempotent, so it is
// retried after any failure.
func (p *provisioner) sendScaleIn() {
	l, c := p.leader, p.leader.core
	count := min(len(p.scaleInQueue), wire.MaxScaleIn)
	names := append([]string(nil), p.scaleInQueue[:count]...)
	p.scaleInQueue = append([]string(nil), p.scaleInQueue[count:]...)
	p.scaleInInFlight = true
	p.setReleaseMaybeApplied(names, true)
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
			p.setReleaseMaybeApplied(names, false)
		}
		p.scaleInQueue = append(names, p.scaleInQueue...)
		p.nextScaleIn = c.now.Steady + c.times.checkInterval
		c.wakeBy(p.nextScaleIn)
	})
	c.emit(CloudScaleIn{CallID: id, Names: names})
}

// sendScaleOut sends a request for machines.
func (p *provisioner) sendScaleOut(request *scaleOutRequest) {
	request.inFlight, request.sent = true, true
	id := p.leader.registerCall(func(r Result) {
		request.inFlight = false
		p.handleScaleOutResult(request, r)
	})
	p.leader.core.emit(CloudScaleOut{CallID: id,
		Request: wire.ScaleOutRequest{RequestID: request.id, Type: request.Type, Zone: request.Zone, Spot: request.Spot, Count: request.count}})
}

const (
	// exhaustedListLags is the time, in list lags of the cloud, for which a group is not requested after the cloud
	// could not grant all machines.
	exhaustedListLags = 2
	// invalidListLags is the same time after the cloud has rejected a request as invalid.
	invalidListLags = 20
)

// handleScaleOutResult adds the machines that the cloud granted. A request whose outcome is unknown is retried under
// its ID.
func (p *provisioner) handleScaleOutResult(request *scaleOutRequest, result Result) {
	l, c := p.leader, p.leader.core
	now := c.now.Steady
	switch result.Outcome {
	case outcome.OK:
		for _, name := range result.MachineNames {
			m := l.findOrAddMachine(name)
			m.requestedAt, m.requestedInTerm = result.SentAt, true
			m.setIdentity(request.Type, request.Zone, "", request.Spot)
			m.setType(c.catalog.machineType(request.Type))
		}
		if len(result.MachineNames) < request.count {
			p.exhaustedUntil[request.Group] = now + exhaustedListLags*c.times.listLag
		}
		p.dropRequest(request)
		l.requestCycle()
		c.log(Info, "scaled out", "requested", request.count, "granted", len(result.MachineNames), "type", request.Type, "zone", request.Zone, "spot", request.Spot)
	case outcome.Unavailable:
		p.exhaustedUntil[request.Group] = now + exhaustedListLags*c.times.listLag
		p.dropRequest(request)
		l.requestCycle()
		c.log(Debug, "scale-out refused", "type", request.Type, "zone", request.Zone, "spot", request.Spot)
	case outcome.Invalid:
		p.exhaustedUntil[request.Group] = now + invalidListLags*c.times.listLag
		p.dropRequest(request)
		c.log(Error, "scale-out request invalid", "type", request.Type, "zone", request.Zone)
	case outcome.Unknown, outcome.Conflict, outcome.NotFound, outcome.TooOld, outcome.TooLarge, outcome.Dropped:
		request.nextAttemptAt = now + c.times.checkInterval
		c.wakeBy(request.nextAttemptAt)
	}
}

// unavailable reports whether machines of a group must not be requested now, because a large part of its zone is silent
// or the cloud recently had too few machines of the group.
func (p *provisioner) unavailable(group capacity.Group) bool {
	return p.leader.liveness.zoneSilent(group.Zone) || p.leader.core.now.Steady < p.exhaustedUntil[group]
}

// applyPlan carries out a capacity plan: it queues a request for each group that lacks machines, and releases the
// surplus machines.
func (p *provisioner) applyPlan(plan capacityPlan) {
	for _, demand := range plan.scaleOut {
		p.lastRequestNumber++
		p.requests = append(p.requests, &scaleOutRequest{
			Group:         demand.Group,
			id:            fmt.Sprintf("bw-%d-%d", p.leader.term, p.lastRequestNumber),
			count:         min(demand.count, wire.MaxScaleOut),
			nextAttemptAt: p.leader.core.now.Steady,
		})
	}
	for _, m := range plan.scaleIn {
		p.release(m, releaseIdle)
	}
}

// dropUnsentRequests drops the requests that still wait for the cloud's rate limit. The next plan counts the missing
// machines again and combines them into one request per group. Cycles are more frequent than requests may be sent, so a
// queue of small requests would delay the machines by many seconds.
func (p *provisioner) dropUnsentRequests() {
	sent := p.requests[:0]
	for _, request := range p.requests {
		if request.sent {
			sent = append(sent, request)
		}
	}
	clear(p.requests[len(sent):])
	p.requests = sent
}

func (p *provisioner) dropRequest(request *scaleOutRequest) {
	for i, other := range p.requests {
		if other == request {
			p.requests = append(p.requests[:i], p.requests[i+1:]...)
			return
		}
	}
}

// releaseUnbooted releases machines that have not sent a heartbeat long after they should have booted.
func (p *provisioner) releaseUnbooted() {
	l, c := p.leader, p.leader.core
	if !l.hasAuthority() {
		return
	}
	for _, m := range l.machinesByName {
		if m.reportedInTerm || m.everReported || m.machineType == nil || m.releasing {
			continue
		}
		due := m.requestedAt + config.Seconds(m.machineType.BootS*c.operator.BootTimeoutFactor)
		if m.firstSeen == l.startedAt || m.firstSeen < l.startedAt+c.times.lease {
			// The machine is older than this term: it may be running without having found this leader yet.
			due = max(due, l.startedAt+2*c.times.lease)
		}
		if c.now.Steady >= due {
			p.release(m, releaseBootTimeout)
		}
	}
}

// fleetKnown reports whether this leader knows the fleet well enough to scale it: the cloud's list has been read, and
// the machines of earlier terms have had time to be listed and to send a heartbeat.
func (p *provisioner) fleetKnown() bool {
	l, c := p.leader, p.leader.core
	if !p.listComplete {
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
	expected, reported := 0, 0
	for _, m := range l.machinesByName {
		if m.everReported && (m.reportedInTerm || m.unansweredQueries < 2) {
			expected++
			if m.reportedInTerm {
				reported++
			}
		}
	}
	// At least 90 % of the expected machines have to report, since the rest may be dead. Machines that left two status
	// queries unanswered are not expected: if the fleet needs a replacement for them, it needs it in any case.
	return 10*reported >= 9*expected
}

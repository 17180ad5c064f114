package election

import (
	"time"

	"bitternwing/internal/outcome"
)

// MaxClockDrift is the largest relative difference between the rates of two clocks, for instance this node's and the
// store's, doubled as a safety margin.
const MaxClockDrift = 0.001

// A lease is renewed after a fraction of its time to live. A failed renewal is retried after a shorter one.
const (
	renewalsPerTTL       = 4
	renewalRetriesPerTTL = 12
)

// leaderLease is the lease to which a leader's key is attached.
type leaderLease struct {
	id              uint64
	ttl             time.Duration
	deadline        time.Duration // time on this node's clock until which the lease is certainly held
	nextRenewal     time.Duration
	renewalInFlight bool
}

// newLeaderLease returns the lease that was granted. Its time to live began when the store created it, which was not
// before the request was sent.
func newLeaderLease(grant Response, ttl time.Duration) leaderLease {
	l := leaderLease{id: grant.Lease, ttl: ttl}
	l.deadline = grant.SentAt + l.safeDuration()
	return l
}

// safeDuration returns how long the lease is certainly held after a renewal, given the largest clock drift.
func (l *leaderLease) safeDuration() time.Duration {
	return time.Duration(float64(l.ttl) * (1 - MaxClockDrift))
}

// validAt reports whether the lease is certainly held at the given time.
func (l *leaderLease) validAt(now time.Duration) bool { return now < l.deadline }

// maintainLease renews the lease of a leader, or steps down if another node would be a better leader. Once the lease
// may have expired, a leader only waits: it writes nothing and starts nothing until a renewal shows whether it still
// holds the lease, for instance after an outage of the store.
func (e *Election) maintainLease(view View) {
	if view.Term.Number > e.term {
		e.StepDown(NewerTermObserved)
		return
	}
	if reason, handOver := e.handOverReason(); handOver {
		e.StepDown(reason)
		e.nextCampaign = e.host.Now() + e.timing.WorkerLease
		e.store.RevokeLease(e.lease.id, unusedLeaseRevocation{})
		return
	}
	if e.lease.renewalInFlight {
		return
	}
	if e.host.Now() < e.lease.nextRenewal {
		e.host.WakeBy(e.lease.nextRenewal)
		return
	}
	e.lease.renewalInFlight = true
	e.store.RenewLease(e.lease.id, &leaseRenewal{e, e.lease.id})
}

// handOverReason returns the reason for handing the next term over to another node, if there is one. A leader hands
// over only while its lease is valid, because otherwise it can't know whether it still leads.
func (e *Election) handOverReason() (reason StepDownReason, handOver bool) {
	switch {
	case !e.LeaseValid():
		return "", false
	case e.host.WorkersReachOnlyPeers():
		return WorkersReachOnlyPeers, true
	case e.betterCandidateExists():
		return BetterCandidateAvailable, true
	}
	return "", false
}

// leaseRenewal is the pending renewal of a leader's lease.
type leaseRenewal struct {
	election *Election
	lease    uint64
}

// Complete extends the deadline. If the store no longer knows the lease, the term ends.
func (c *leaseRenewal) Complete(response Response) {
	e := c.election
	l := &e.lease
	if !e.leading || l.id != c.lease {
		return // the renewal belongs to an earlier term
	}
	now := e.host.Now()
	l.renewalInFlight = false
	if response.Outcome == outcome.NotFound {
		e.StepDown(LeaseExpired)
		return
	}
	if response.Outcome != outcome.OK {
		l.nextRenewal = now + l.ttl/renewalRetriesPerTTL
		return
	}
	if !l.validAt(now) {
		e.host.LogDebug("leader lease renewed after expiry", "term", e.term, "after_ms", (now - l.deadline).Milliseconds())
	}
	l.deadline = max(l.deadline, response.SentAt+l.safeDuration())
	l.nextRenewal = response.SentAt + l.ttl/renewalsPerTTL
}

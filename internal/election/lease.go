package election

import (
	"time"

	"bitternwing/internal/outcome"
)

// MaxClockDrift is by how much the rates of two clocks may differ, this node's and the store's for instance, doubled for safety.
const MaxClockDrift = 0.001

// A lease is renewed after a fraction of its life, and sooner again if the renewal failed.
const (
	renewalsPerTTL       = 4
	failedRenewalsPerTTL = 12
)

// leaderLease is the lease by which a leader holds the leader key.
type leaderLease struct {
	id              uint64
	ttl             time.Duration
	deadline        time.Duration // until then the lease is certainly held, by this node's clock
	nextRenewal     time.Duration
	renewalInFlight bool
}

// newLeaderLease gives the lease that was granted. Its life began when the store made it, which was no earlier than the
// request was sent.
func newLeaderLease(grant Reply, ttl time.Duration) leaderLease {
	l := leaderLease{id: grant.Lease, ttl: ttl}
	l.deadline = grant.SentAt + l.safeDuration()
	return l
}

// safeDuration is for how long the lease is certainly held after a renewal, whatever the drift of the clocks.
func (l *leaderLease) safeDuration() time.Duration {
	return time.Duration(float64(l.ttl) * (1 - MaxClockDrift))
}

// validAt reports whether the lease is certainly held at a time.
func (l *leaderLease) validAt(now time.Duration) bool { return now < l.deadline }

// maintainLease renews the lease of a leader, or steps down where another node would lead better. Past the deadline of its
// lease a leader only waits: it neither writes nor starts anything until a renewal shows that it still holds the lease, as
// after an outage of the store, or that it lost it.
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

// handOverReason gives the reason for which a leader had better leave the next term to another node. Only a leader whose
// lease is valid hands over: another one can't know whether it still leads.
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

// leaseRenewal is the renewal of a leader's lease.
type leaseRenewal struct {
	election *Election
	lease    uint64
}

// Complete extends the deadline, or ends the term if the store no longer knows the lease.
func (c *leaseRenewal) Complete(reply Reply) {
	e := c.election
	l := &e.lease
	if !e.leading || l.id != c.lease {
		return // of an earlier term
	}
	now := e.host.Now()
	l.renewalInFlight = false
	if reply.Outcome == outcome.NotFound {
		e.StepDown(LeaseExpired)
		return
	}
	if reply.Outcome != outcome.OK {
		l.nextRenewal = now + l.ttl/failedRenewalsPerTTL
		return
	}
	if !l.validAt(now) {
		e.host.LogDebug("leader lease renewed after expiry", "term", e.term, "after_ms", (now - l.deadline).Milliseconds())
	}
	l.deadline = max(l.deadline, reply.SentAt+l.safeDuration())
	l.nextRenewal = reply.SentAt + l.ttl/renewalsPerTTL
}

// Package election decides whether a controller node leads.
//
// A leader holds a lease (Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file cache
// consistency", 1989): the leader key in the key-value store exists for as long as the lease is renewed. The term
// (Ongaro and Ousterhout, Raft, 2014; also called epoch) counts the elections won and is stored in a key without a
// lease. A candidate wins by one compare-and-swap that creates the leader key and increments the term key.
//
// Safety rests on the term alone. Every write of a leader is conditional on the version of the term key, and the
// fencing tokens that workers compare are derived from the term. The lease only prevents two nodes from deposing each
// other in turn.
//
// The package has no side effects of its own. It calls the key-value store through Store and the node through Host. It
// must not depend on what a leader does with its term, nor on how the keys are encoded.
package election

import (
	"time"

	"bitternwing/internal/membership"
)

// Timing holds the durations that an election depends on.
type Timing struct {
	// LeaseTTL is the time to live of a leader's lease. It is extended when recent terms have followed each other
	// quickly.
	LeaseTTL time.Duration
	// WorkerLease is the duration of a worker's lease. A failover must complete within it.
	WorkerLease time.Duration
	// CheckInterval is the time within which a failure should be detected.
	CheckInterval time.Duration
	// RetryPause is the pause after a failed request or a lost campaign.
	RetryPause time.Duration
}

// Election is one node's participation in leader election.
type Election struct {
	host    Host
	store   Store
	members *membership.Members
	ring    failoverRing
	timing  Timing
	history termHistory

	campaignInFlight bool
	nextCampaign     time.Duration // earliest time of the next campaign
	vacantSince      time.Duration // when the leadership was first seen vacant; 0 while there is a leader
	blockLogged      bool          // the reason for a blocked candidacy has been logged
	lastTermLed      uint64        // last term led by this process; 0 if none
	termsLed         uint64        // number of terms led by this process
	leading          bool
	term             uint64 // valid while leading
	termStartedAt    time.Duration
	lease            leaderLease
}

// New returns an Election for a node that does not lead.
func New(host Host, store Store, members *membership.Members, timing Timing) *Election {
	return &Election{host: host, store: store, members: members, ring: newFailoverRing(members), timing: timing}
}

// TermsLed returns the number of terms that this process has led.
func (e *Election) TermsLed() uint64 { return e.termsLed }

// LeaseValidAt reports whether the lease of the last term that this process led is certainly held at the given time.
func (e *Election) LeaseValidAt(now time.Duration) bool { return e.lease.validAt(now) }

// LeaseValid reports whether the lease is certainly held now. If so, it also requests a wake-up for when the lease
// expires.
func (e *Election) LeaseValid() bool {
	if !e.lease.validAt(e.host.Now()) {
		return false
	}
	e.host.WakeBy(e.lease.deadline)
	return true
}

// Run performs whatever is due: a leader renews its lease, any other node campaigns for the next term.
func (e *Election) Run() {
	view := e.host.View()
	e.history.observe(e.host.Now(), view.Term.Number)
	switch {
	case e.leading:
		e.maintainLease(view)
	case e.campaignInFlight || !view.Ready:
	case !view.Vacant:
		e.vacantSince = 0
		e.revokePredecessorLease(view)
	default:
		e.campaignIfDue()
	}
}

// revokePredecessorLease revokes the lease if the leader key names this node. The holder is then an earlier process of
// this node, which has ended, or this process itself, if the response to its claim was lost.
func (e *Election) revokePredecessorLease(view View) {
	now := e.host.Now()
	if view.Leader.Node != e.members.Self().Name || now < e.nextCampaign {
		return
	}
	e.campaignInFlight = true
	e.nextCampaign = now + e.timing.RetryPause
	e.store.RevokeLease(view.Leader.Lease, &predecessorRevocation{e})
}

// campaignIfDue starts a campaign once the leadership has been vacant for the campaign delay.
func (e *Election) campaignIfDue() {
	now := e.host.Now()
	if e.vacantSince == 0 {
		e.vacantSince = now
	}
	if due := max(e.nextCampaign, e.vacantSince+e.campaignDelay()); now < due {
		e.host.WakeBy(due)
		return
	}
	if e.host.StoreDown() {
		return
	}
	if reason := e.host.CandidacyBlocked(); reason != "" {
		if !e.blockLogged {
			e.blockLogged = true
			e.host.LogError("candidacy blocked: " + reason)
		}
		return
	}
	e.campaign()
}

// becomeLeader starts a term that this node has won.
func (e *Election) becomeLeader(term, version uint64, lease leaderLease) {
	now := e.host.Now()
	e.leading, e.term, e.termStartedAt = true, term, now
	e.lastTermLed = term
	e.termsLed++
	e.lease = lease
	e.lease.nextRenewal = now
	e.host.LogInfo("elected leader", "term", term)
	e.host.Elected(Term{Number: term, Version: version, LeaseDeadline: lease.deadline})
}

// StepDown ends the current term. It has no effect on a node that does not lead.
func (e *Election) StepDown(reason StepDownReason) {
	if !e.leading {
		return
	}
	e.host.LogInfo("stepped down as leader", "term", e.term, "reason", string(reason))
	e.host.SteppedDown(reason)
	e.leading = false
	e.nextCampaign = e.host.Now() + e.timing.RetryPause
}

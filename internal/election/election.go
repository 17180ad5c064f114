// Package election decides whether a controller leads.
//
// A leader holds a lease (Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file cache
// consistency", 1989): the leader key in the key-value store exists for as long as the lease is renewed. The term
// (Ongaro and Ousterhout, Raft, 2014; also called epoch) counts the wins and is kept in a key without a lease. A
// candidate wins by one compare-and-swap that creates the leader key and increments the term key.
//
// Safety rests on the term alone: every write of a leader is conditional on the version of its term key, and the fencing
// tokens that workers compare are derived from the term. The lease only keeps two controllers from taking turns.
//
// The package decides; it has no effects of its own. It reaches the key-value store by the calls of Store, and the
// controller by those of Host. It must not know what a leader does with its term, nor how the keys are encoded.
package election

import (
	"time"

	"bitternwing/internal/membership"
)

// Timing are the durations of an election.
type Timing struct {
	// LeaseTTL is the life of a leader's lease, unless terms have lately followed each other quickly.
	LeaseTTL time.Duration
	// WorkerLease is the life of a worker's lease, within which a failover must be over.
	WorkerLease time.Duration
	// CheckInterval is the time in which a failure is to be noticed.
	CheckInterval time.Duration
	// RetryPause is the pause after a failed call.
	RetryPause time.Duration
}

// Election is a controller's part in the election of a leader.
type Election struct {
	host    Host
	store   Store
	members *membership.Members
	ring    failoverRing
	timing  Timing
	history termHistory

	campaignInFlight bool
	nextCampaign     time.Duration // no candidacy before
	vacantSince      time.Duration // since when no leader is known; 0: one is
	blockLogged      bool          // that this node must not lead was logged
	lastTermLed      uint64        // by this process; 0: none
	termsLed         uint64        // by this process, in all
	leading          bool
	term             uint64 // while leading
	termStartedAt    time.Duration
	lease            leaderLease
}

// New makes the part of a controller that does not lead.
func New(host Host, store Store, members *membership.Members, timing Timing) *Election {
	return &Election{host: host, store: store, members: members, ring: newFailoverRing(members), timing: timing}
}

// TermsLed is how many terms this process has led.
func (e *Election) TermsLed() uint64 { return e.termsLed }

// LeaseValidAt reports whether the lease of the last term that this node led is certainly held at a time.
func (e *Election) LeaseValidAt(now time.Duration) bool { return e.lease.validAt(now) }

// LeaseValid reports whether this leader's lease is certainly held now, and asks to be woken when it expires.
func (e *Election) LeaseValid() bool {
	if !e.lease.validAt(e.host.Now()) {
		return false
	}
	e.host.WakeBy(e.lease.deadline)
	return true
}

// Run does what is due: it renews a leader's lease, or campaigns for the next term.
func (e *Election) Run() {
	view := e.host.View()
	e.history.observe(e.host.Now(), view.Term.Number)
	switch {
	case e.leading:
		e.maintainLease(view)
	case e.campaignInFlight || !view.Ready:
	case !view.Vacant:
		e.vacantSince = 0
		e.endPredecessor(view)
	default:
		e.campaignIfDue()
	}
}

// endPredecessor revokes the lease of an earlier process of this very node: that process is dead. The same goes for a win of
// this process that it learns of only by the key, since the reply to its claim was lost.
func (e *Election) endPredecessor(view View) {
	now := e.host.Now()
	if view.Leader.Node != e.members.Self().Name || now < e.nextCampaign {
		return
	}
	e.campaignInFlight = true
	e.nextCampaign = now + e.timing.RetryPause
	e.store.RevokeLease(view.Leader.Lease, &predecessorRevocation{e})
}

// campaignIfDue campaigns for the next term once the leadership has been vacant for long enough.
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

// becomeLeader begins a term that was won.
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

// StepDown ends the term of a leader; without effect on a node that does not lead.
func (e *Election) StepDown(reason StepDownReason) {
	if !e.leading {
		return
	}
	e.host.LogInfo("stepped down as leader", "term", e.term, "reason", string(reason))
	e.host.SteppedDown(reason)
	e.leading = false
	e.nextCampaign = e.host.Now() + e.timing.RetryPause
}

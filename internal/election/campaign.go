package election

import (
	"time"

	"bitternwing/internal/outcome"
)

// campaign starts a candidacy for the next term. It requests a lease, and then claims the leader key and the term key
// in one compare-and-swap.
func (e *Election) campaign() {
	e.campaignInFlight = true
	ttl := e.timing.LeaseTTL
	if e.lastLeaderAlive() {
		ttl = e.history.leaseTTL(e.host.Now(), e.timing)
	}
	e.store.GrantLease(ttl, &candidateLeaseGrant{e, ttl})
}

// campaignFailed ends a lost campaign. The next campaign starts after RetryPause.
func (e *Election) campaignFailed() {
	e.campaignInFlight = false
	e.nextCampaign = e.host.Now() + e.timing.RetryPause
}

// lastLeaderAlive reports whether the process that led the last term is still running although its lease expired.
func (e *Election) lastLeaderAlive() bool {
	last := e.host.View().Term
	if last.Node == e.members.Self().Name {
		return e.lastTermLed != 0 && e.lastTermLed == last.Number
	}
	p := e.members.Peer(last.Node)
	return p != nil && e.members.RecentlyHeard(p, e.host.Now()) && p.Status().Term >= last.Number
}

// candidateLeaseGrant is the pending request for a candidate's lease.
type candidateLeaseGrant struct {
	election *Election
	ttl      time.Duration
}

// Complete claims the next term with the granted lease.
func (c *candidateLeaseGrant) Complete(grant Response) {
	e := c.election
	if grant.Outcome != outcome.OK {
		e.campaignFailed()
		return
	}
	view := e.host.View()
	if !view.Vacant {
		e.store.RevokeLease(grant.Lease, unusedLeaseRevocation{})
		e.campaignFailed()
		return
	}
	claim := Claim{Term: view.Term.Number + 1, Lease: grant.Lease, TermVersion: view.Term.Version}
	if err := e.store.ClaimTerm(claim, &termClaim{e, claim, newLeaderLease(grant, c.ttl)}); err != nil {
		e.campaignFailed()
	}
}

// termClaim is the pending compare-and-swap that wins a term.
type termClaim struct {
	election *Election
	claim    Claim
	lease    leaderLease
}

// Complete starts the term if the claim was applied. An indeterminate claim may have been applied or may still be. In
// that case the watch later shows this node as the leader, and revokePredecessorLease revokes the lease.
func (c *termClaim) Complete(response Response) {
	e := c.election
	if response.Outcome != outcome.OK {
		e.store.RevokeLease(c.claim.Lease, unusedLeaseRevocation{})
		e.campaignFailed()
		return
	}
	e.campaignInFlight = false
	e.becomeLeader(c.claim.Term, response.Revision, c.lease)
}

// predecessorRevocation is the pending revocation of the lease of an earlier process of this node. No campaign starts
// until it completes.
type predecessorRevocation struct{ election *Election }

// Complete allows campaigns again.
func (c *predecessorRevocation) Complete(Response) { c.election.campaignInFlight = false }

// unusedLeaseRevocation is the pending revocation of a lease that this node does not need. Without the revocation the
// lease would expire on its own.
type unusedLeaseRevocation struct{}

// Complete ignores the response.
func (unusedLeaseRevocation) Complete(Response) {}

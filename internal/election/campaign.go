package election

import (
	"time"

	"bitternwing/internal/outcome"
)

// campaign begins a candidacy for the next term: first a lease, then the leader key and the term in one compare-and-swap.
func (e *Election) campaign() {
	e.campaignInFlight = true
	ttl := e.timing.LeaseTTL
	if e.lastLeaderAlive() {
		ttl = e.history.leaseTTL(e.host.Now(), e.timing)
	}
	e.store.GrantLease(ttl, &candidateGrant{e, ttl})
}

// campaignFailed ends a campaign that was not won; the next one begins after a pause.
func (e *Election) campaignFailed() {
	e.campaignInFlight = false
	e.nextCampaign = e.host.Now() + e.timing.RetryPause
}

// lastLeaderAlive reports whether the process that led last still runs: it lost its lease all the same.
func (e *Election) lastLeaderAlive() bool {
	last := e.host.View().Term
	if last.Node == e.members.Self().Name {
		return e.lastTermLed != 0 && e.lastTermLed == last.Number
	}
	p := e.members.Peer(last.Node)
	return p != nil && e.members.RecentlyHeard(p, e.host.Now()) && p.Status().Term >= last.Number
}

// candidateGrant is the request for a candidate's lease.
type candidateGrant struct {
	election *Election
	ttl      time.Duration
}

// Complete claims the next term with the lease.
func (c *candidateGrant) Complete(grant Reply) {
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

// termClaim is the compare-and-swap that wins a term.
type termClaim struct {
	election *Election
	claim    Claim
	lease    leaderLease
}

// Complete begins the term if the claim was applied. If that is indeterminate and it was or will be applied, the watch shows
// this node as the leader, and the lease is revoked from there (endPredecessor).
func (c *termClaim) Complete(reply Reply) {
	e := c.election
	if reply.Outcome != outcome.OK {
		e.store.RevokeLease(c.claim.Lease, unusedLeaseRevocation{})
		e.campaignFailed()
		return
	}
	e.campaignInFlight = false
	e.becomeLeader(c.claim.Term, reply.Revision, c.lease)
}

// predecessorRevocation ends the lease of an earlier process of this node. No campaign begins meanwhile.
type predecessorRevocation struct{ election *Election }

// Complete lets campaigns begin again.
func (c *predecessorRevocation) Complete(Reply) { c.election.campaignInFlight = false }

// unusedLeaseRevocation ends a lease that this node does not need. Without it the lease would expire by itself.
type unusedLeaseRevocation struct{}

// Complete ignores the reply.
func (unusedLeaseRevocation) Complete(Reply) {}

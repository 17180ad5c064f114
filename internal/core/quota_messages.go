package core

import (
	"time"

	"bitternwing/internal/outcome"
)

// deliverTransfers sends the transfers that are on their way, the oldest to each region, until their receivers have them.
func (a *quotaManager) deliverTransfers(t *teamQuota) {
	c := a.leader.core
	for _, transfer := range t.account.Outgoing {
		to := transfer.To
		if t.delivering[to] {
			continue
		}
		t.delivering[to] = true
		t.attempts++
		id := a.leader.registerCall(func(r Result) {
			delete(t.delivering, to)
			if r.Outcome == outcome.OK {
				a.settleTransfer(t, to, transfer.Number)
			}
		})
		c.emit(CallRegion{CallID: id, Region: to, Attempt: t.attempts, Deliver: &DeliverQuota{Team: t.settings.Name, Whole: t.whole, Transfer: transfer}})
	}
}

// settleTransfer takes a transfer out of the account whose receiver has it. A write that can't be made now is made after the next
// delivery, which the receiver knows already.
func (a *quotaManager) settleTransfer(t *teamQuota, to string, number uint64) {
	c := a.leader.core
	if t.writeInFlight || t.account == nil || !a.mayWrite() || !c.election.LeaseValid() || c.storeHealth.down {
		return
	}
	if next := t.account.Acknowledge(to, number); next != t.account {
		a.commit(t, next, func(Result) {})
	}
}

// maxRequestIntervals is how long a region that gets nothing waits between two requests for a team, in heartbeat intervals.
const maxRequestIntervals = 10

// requestFromRegion asks the other regions, one after the other, for what this one's work lacks.
func (a *quotaManager) requestFromRegion(t *teamQuota, need teamDemand) {
	c := a.leader.core
	if t.requestInFlight || c.now.Steady < t.nextRequest {
		return
	}
	missing := t.account.Shortfall(t.account.ToAccountUnits(equalShare(need.used.Plus(need.waiting)), t.whole))
	if missing.Zero() {
		return
	}
	others := c.operator.Regions.Others()
	if len(others) == 0 {
		return
	}
	t.requestInFlight = true
	t.attempts++
	region := others[t.nextRegion%len(others)]
	t.nextRegion++
	id := a.leader.registerCall(func(Result) {
		t.requestInFlight = false
		t.requestCount++
		t.nextRequest = c.now.Steady + c.times.checkInterval*time.Duration(min(1+t.requestCount/len(others), maxRequestIntervals))
	})
	c.emit(CallRegion{CallID: id, Region: region, Attempt: t.attempts,
		Request: &RequestQuota{From: c.operator.Regions.Name, Team: t.settings.Name, Whole: t.whole, Share: missing}})
}

// redirectWaiting tells the regions whose messages wait to come back.
func (t *teamQuota) redirectWaiting(c *Core) {
	for _, in := range t.requests {
		c.respondRetryLater(in.RequestID, 503, reasonUnavailable)
	}
	for _, in := range t.deliveries {
		c.respondRetryLater(in.RequestID, 503, reasonUnavailable)
	}
	t.requests, t.deliveries = nil, nil
}

// refuseWaiting tells all regions whose messages wait to come back, at the end of this term.
func (a *quotaManager) refuseWaiting() {
	for _, t := range a.ordered {
		t.redirectWaiting(a.leader.core)
	}
}

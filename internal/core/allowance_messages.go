package core

import (
	"time"

	"bitternwing/internal/call"
)

// deliver sends the transfers that are on their way, the oldest to each region, until their receivers have them.
func (a *allowances) deliver(t *teamAllowance) {
	c := a.l.core
	for _, transfer := range t.account.Outgoing {
		to := transfer.To
		if t.delivering[to] {
			continue
		}
		t.delivering[to] = true
		t.attempts++
		id := a.l.call(func(r Result) {
			delete(t.delivering, to)
			if r.Outcome == call.OK {
				a.settle(t, to, transfer.Number)
			}
		})
		c.emit(CallRegion{CallID: id, Region: to, Attempt: t.attempts, Deliver: &DeliverQuota{Team: t.settings.Name, Whole: t.whole, Transfer: transfer}})
	}
}

// settle takes a transfer out of the account whose receiver has it. A write that can't be made now is made after the next
// delivery, which the receiver knows already.
func (a *allowances) settle(t *teamAllowance, to string, number uint64) {
	c := a.l.core
	if t.writing || t.account == nil || !a.mayWrite() || !c.election.leaseValid() || c.storeDown {
		return
	}
	if next := t.account.Settle(to, number); next != t.account {
		a.commit(t, next, func(Result) {})
	}
}

// mostAskHeartbeats is how long a region that gets nothing waits between two requests for a team, in heartbeat intervals.
const mostAskHeartbeats = 10

// ask asks the other regions, one after the other, for what this one's work lacks.
func (a *allowances) ask(t *teamAllowance, need teamNeed) {
	c := a.l.core
	if t.asking || c.now.Steady < t.askAt {
		return
	}
	missing := t.account.Missing(t.account.Stored(both(need.used.Plus(need.waiting)), t.whole))
	if missing.Zero() {
		return
	}
	others := c.operator.Regions.Others()
	if len(others) == 0 {
		return
	}
	t.asking = true
	t.attempts++
	region := others[t.nextRegion%len(others)]
	t.nextRegion++
	id := a.l.call(func(Result) {
		t.asking = false
		t.asked++
		t.askAt = c.now.Steady + c.times.checkInterval*time.Duration(min(1+t.asked/len(others), mostAskHeartbeats))
	})
	c.emit(CallRegion{CallID: id, Region: region, Attempt: t.attempts,
		Request: &RequestQuota{From: c.operator.Regions.Name, Team: t.settings.Name, Whole: t.whole, Share: missing}})
}

// refuse tells the regions whose messages wait to come back.
func (t *teamAllowance) refuse(c *Core) {
	for _, in := range t.asks {
		c.respondRetryLater(in.RequestID, 503, notAvailable)
	}
	for _, in := range t.deliveries {
		c.respondRetryLater(in.RequestID, 503, notAvailable)
	}
	t.asks, t.deliveries = nil, nil
}

// refuseWaiting tells all regions whose messages wait to come back, at the end of this term.
func (a *allowances) refuseWaiting() {
	for _, t := range a.inOrder {
		t.refuse(a.l.core)
	}
}

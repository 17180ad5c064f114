package core

import (
	"net/http"
	"time"

	"bitternwing/internal/outcome"
)

// deliverTransfers sends the outgoing transfers, the oldest to each region, until their receivers acknowledge them.
func (m *quotaManager) deliverTransfers(t *teamQuota) {
	c := m.leader.core
	for _, transfer := range t.account.Outgoing {
		to := transfer.To
		if t.delivering[to] {
			continue
		}
		t.delivering[to] = true
		t.attempts++
		id := m.leader.registerCall(func(r Result) {
			delete(t.delivering, to)
			if r.Outcome == outcome.OK {
				m.settleTransfer(t, to, transfer.Number)
			}
		})
		c.emit(CallRegion{CallID: id, Region: to, Attempt: t.attempts,
			Deliver: &DeliverQuota{Team: t.settings.Name, Whole: t.whole, Transfer: transfer}})
	}
}

// settleTransfer removes a transfer from the account that its receiver has acknowledged. If that can't be written now, it is
// after the next delivery, which the receiver acknowledges as a duplicate.
func (m *quotaManager) settleTransfer(t *teamQuota, to string, number uint64) {
	if t.writeInFlight || t.account == nil || !m.mayWrite() || !m.leader.mayCommit() {
		return
	}
	if next := t.account.Acknowledge(to, number); next != t.account {
		m.commit(t, next, func(Result) {})
	}
}

// maxRequestIntervals bounds the backoff between two requests for a team that bring nothing, in check intervals.
const maxRequestIntervals = 10

// requestFromRegion requests from the other regions in turn what this one's work lacks.
func (m *quotaManager) requestFromRegion(t *teamQuota, demand teamDemand) {
	c := m.leader.core
	if t.requestInFlight || c.now.Steady < t.nextRequest {
		return
	}
	missing := t.account.Shortfall(t.account.ToAccountUnits(equalShare(demand.used.Plus(demand.waiting)), t.whole))
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
	id := m.leader.registerCall(func(Result) {
		t.requestInFlight = false
		t.requestCount++
		t.nextRequest = c.now.Steady + c.times.checkInterval*time.Duration(min(1+t.requestCount/len(others), maxRequestIntervals))
	})
	c.emit(CallRegion{CallID: id, Region: region, Attempt: t.attempts,
		Request: &RequestQuota{From: c.operator.Regions.Name, Team: t.settings.Name, Whole: t.whole, Share: missing}})
}

// redirectWaiting tells the regions whose messages wait to retry later.
func (t *teamQuota) redirectWaiting(c *Core) {
	for _, in := range t.requests {
		c.respondRetryLater(in.RequestID, http.StatusServiceUnavailable, reasonUnavailable)
	}
	for _, in := range t.deliveries {
		c.respondRetryLater(in.RequestID, http.StatusServiceUnavailable, reasonUnavailable)
	}
	t.requests, t.deliveries = nil, nil
}

// refuseWaiting tells all regions whose messages wait to retry later, at the end of this term.
func (m *quotaManager) refuseWaiting() {
	for _, t := range m.ordered {
		t.redirectWaiting(m.leader.core)
	}
}

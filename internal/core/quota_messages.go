package core

import (
	"net/http"
	"time"

	"bitternwing/internal/outcome"
)

// deliverTransfers sends the oldest outgoing transfer to each region, unless it is in flight already. Transfers are
// sent again until their receivers acknowledge them.
func (m *quotaManager) deliverTransfers(t *teamQuota) {
	c := m.leader.core
	for _, transfer := range t.account.Outgoing {
		to := transfer.To
		if t.delivering[to] {
			continue
		}
		t.delivering[to] = true
		t.callCount++
		id := m.leader.registerCall(func(r Result) {
			delete(t.delivering, to)
			if r.Outcome == outcome.OK {
				m.removeAcknowledgedTransfer(t, to, transfer.Number)
			}
		})
		c.emit(CallRegion{CallID: id, Region: to, Attempt: t.callCount,
			Deliver: &DeliverQuota{Team: t.settings.Name, Total: t.total, Transfer: transfer}})
	}
}

// removeAcknowledgedTransfer removes a transfer from the account after its receiver has acknowledged it. If that can't
// be written now, the transfer is delivered again, acknowledged as a duplicate, and removed then.
func (m *quotaManager) removeAcknowledgedTransfer(t *teamQuota, to string, number uint64) {
	if t.writeInFlight || t.account == nil || !m.mayWrite() || !m.leader.mayCommit() {
		return
	}
	if next := t.account.Acknowledge(to, number); next != t.account {
		m.commit(t, next, func(Result) {})
	}
}

// maxRequestIntervals is the longest backoff between two requests for a team, in check intervals. The backoff grows
// with the number of requests since the held share last grew.
const maxRequestIntervals = 10

// requestMissingShare requests the share that this region's jobs lack. Each request goes to the next of the other
// regions.
func (m *quotaManager) requestMissingShare(t *teamQuota, demand teamDemand) {
	c := m.leader.core
	if t.requestInFlight || c.now.Steady < t.nextRequest {
		return
	}
	missing := t.account.MissingShare(t.account.ToAccountUnits(equalShare(demand.used.Plus(demand.waiting)), t.total))
	if missing.IsZero() {
		return
	}
	others := c.operator.Regions.Others()
	if len(others) == 0 {
		return
	}
	t.requestInFlight = true
	t.callCount++
	region := others[t.nextRegionIndex%len(others)]
	t.nextRegionIndex++
	id := m.leader.registerCall(func(Result) {
		t.requestInFlight = false
		t.requestCount++
		t.nextRequest = c.now.Steady + c.times.checkInterval*time.Duration(min(1+t.requestCount/len(others), maxRequestIntervals))
	})
	c.emit(CallRegion{CallID: id, Region: region, Attempt: t.callCount,
		Request: &RequestQuota{From: c.operator.Regions.Name, Team: t.settings.Name, Total: t.total, Share: missing}})
}

// rejectPending rejects the pending messages of other regions, which retry later.
func (t *teamQuota) rejectPending(c *Core) {
	for _, in := range t.requests {
		c.respondRetryLater(in.RequestID, http.StatusServiceUnavailable, reasonUnavailable)
	}
	for _, in := range t.deliveries {
		c.respondRetryLater(in.RequestID, http.StatusServiceUnavailable, reasonUnavailable)
	}
	t.requests, t.deliveries = nil, nil
}

// rejectPending rejects the pending messages for all teams. It is called at the end of the term.
func (m *quotaManager) rejectPending() {
	for _, t := range m.teamsInOrder {
		t.rejectPending(m.leader.core)
	}
}

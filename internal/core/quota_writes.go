package core

import (
	"encoding/json"
	"net/http"

	"bitternwing/internal/election"
	"bitternwing/internal/outcome"
	"bitternwing/internal/quota"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// maxAccountWrites is the maximum number of writes of accounts in flight.
const maxAccountWrites = 2

// mayWrite reports whether another account may be written now.
func (m *quotaManager) mayWrite() bool {
	return m.writesInFlight < maxAccountWrites && m.leader.writer.mayWriteOne()
}

// writeNextChange commits the first of the changes that are due: the account's creation, a delivered transfer, a
// transfer that another region requests, or an overwrite that resolves an indeterminate write.
func (m *quotaManager) writeNextChange(t *teamQuota, demand teamDemand) {
	c := m.leader.core
	switch {
	case t.account == nil && c.cache.QuotaAccount(t.key) == nil && c.cache.TermFormat() < stored.QuotasTermFormat:
		m.leader.termUpgrade.request(stored.QuotasTermFormat)
	case t.account == nil && c.cache.QuotaAccount(t.key) == nil:
		m.commit(t, t.initial, func(Result) {})
	case t.account == nil:
		t.rejectPending(c) // the account exists and can't be read
	case len(t.deliveries) > 0:
		m.acceptDelivery(t)
	case len(t.requests) > 0:
		m.grantRequest(t, demand)
	case len(t.indeterminate) > 0:
		m.commit(t, t.account, func(Result) {}) // the new version rules out that an earlier write is still applied
	}
}

// acceptDelivery commits the oldest delivered transfer and then acknowledges it.
func (m *quotaManager) acceptDelivery(t *teamQuota) {
	c, in := m.leader.core, t.deliveries[0]
	t.deliveries = t.deliveries[1:]
	next, receipt := t.account.Receive(in.Transfer)
	switch receipt {
	case quota.OutOfOrder:
		c.respondRetryLater(in.RequestID, http.StatusServiceUnavailable, reasonTransferMissing)
	case quota.Duplicate:
		c.respond(in.RequestID, http.StatusOK, nil)
	case quota.Accepted:
		m.commit(t, next, func(r Result) { c.respondCommitted(in.RequestID, r) })
	}
}

// grantRequest responds to the oldest request of another region. If there is anything to transfer, it commits the
// transfer first.
func (m *quotaManager) grantRequest(t *teamQuota, demand teamDemand) {
	c, in := m.leader.core, t.requests[0]
	t.requests = t.requests[1:]
	next := t.account.Grant(c.operator.Regions.Name, in.From, in.Share, t.retained(demand))
	if next == nil {
		c.respond(in.RequestID, http.StatusOK, nil)
		return
	}
	c.log(Debug, "quota transferred", "team", t.settings.Name, "region", in.From, "gpus", next.Outgoing[len(next.Outgoing)-1].Share.Limit.GPUs)
	m.commit(t, next, func(r Result) { c.respondCommitted(in.RequestID, r) })
}

// respondCommitted responds to another region according to the result of a commit.
func (c *Core) respondCommitted(requestID uint64, r Result) {
	if r.Outcome == outcome.OK {
		c.respond(requestID, http.StatusOK, nil)
		return
	}
	c.respondRetryLater(requestID, http.StatusServiceUnavailable, reasonUnavailable)
}

// commit writes an account by compare-and-swap, fenced by the term. Until the result is known, the minimum of the old
// and the new account is enforced.
func (m *quotaManager) commit(t *teamQuota, next *quota.Account, onResult func(Result)) {
	l := m.leader
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	t.writeInFlight = true
	m.writesInFlight++
	t.indeterminate = append(t.indeterminate, next)
	m.refreshEffective(t)
	l.writer.spend(1)
	id := l.registerStoreCall(func(r Result) {
		t.writeInFlight = false
		m.writesInFlight--
		m.applyWriteResult(t, next, r)
		onResult(r)
	})
	l.core.emit(StoreTxn{CallID: id, Txn: l.conditionalTxn(t.key, t.version, wire.Op{Put: t.key, Value: value})})
}

// applyWriteResult handles the result of a write of an account.
func (m *quotaManager) applyWriteResult(t *teamQuota, next *quota.Account, r Result) {
	c := m.leader.core
	switch {
	case r.Outcome == outcome.OK:
		m.adoptAccount(t, next, r.Txn.Revision)
	case termSuperseded(r):
		c.election.StepDown(election.TermSuperseded)
	case r.Outcome == outcome.Conflict, r.Outcome == outcome.Unknown:
		m.rereadAccount(t)
	default:
		// The write was certainly not applied.
		t.indeterminate = t.indeterminate[:len(t.indeterminate)-1]
		m.refreshEffective(t)
		t.retryAt = c.now.Steady + c.times.retryPause
	}
}

// rereadAccount reads the stored account. If it has not changed, the indeterminate write may still be applied.
func (m *quotaManager) rereadAccount(t *teamQuota) {
	c := m.leader.core
	t.writeInFlight = true
	id := m.leader.registerStoreCall(func(r Result) {
		t.writeInFlight = false
		t.retryAt = c.now.Steady + c.times.retryPause
		if r.Outcome == outcome.OK && r.Item.Version > t.version {
			c.cache.ApplyQuotaAccount(t.key, r.Item.Value, r.Item.Version)
			m.readStoredAccounts()
		}
	})
	c.emit(StoreGet{CallID: id, Key: t.key})
}

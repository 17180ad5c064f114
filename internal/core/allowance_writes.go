package core

import (
	"encoding/json"
	"slices"

	"bitternwing/internal/allowance"
	"bitternwing/internal/call"
	"bitternwing/internal/wire"
)

// mostAccountWrites is how many accounts are written at a time.
const mostAccountWrites = 2

// mayWrite tells whether one more account may be written now.
func (a *allowances) mayWrite() bool {
	return a.inFlight < mostAccountWrites && a.l.writer.rateTokens >= 1
}

// write commits the first change that an account waits for: the beginning, transfers that came in, requests of others.
func (a *allowances) write(t *teamAllowance, need teamNeed) {
	c := a.l.core
	switch {
	case t.account == nil && c.cache.quotaAccounts.byKey[t.key] == nil && c.cache.termForm < quotasTermFormat:
		a.l.termUpgrade.request(quotasTermFormat)
	case t.account == nil && c.cache.quotaAccounts.byKey[t.key] == nil:
		a.commit(t, t.initial, func(Result) {})
	case t.account == nil:
		t.refuse(c) // it can't be read
	case len(t.deliveries) > 0:
		a.takeDelivery(t)
	case len(t.asks) > 0:
		a.grant(t, need)
	case len(t.unsettled) > 0:
		a.commit(t, t.account, func(Result) {}) // so that what was sent before can't be applied any more
	}
}

// takeDelivery commits a transfer that came in, and then says so.
func (a *allowances) takeDelivery(t *teamAllowance) {
	c, in := a.l.core, t.deliveries[0]
	t.deliveries = t.deliveries[1:]
	next, receipt := t.account.Take(in.Transfer)
	switch receipt {
	case allowance.OutOfOrder:
		c.respondRetryLater(in.RequestID, 503, transferFirst)
	case allowance.Known:
		c.respond(in.RequestID, 200, nil)
	case allowance.Taken:
		a.commit(t, next, func(r Result) { c.respondCommitted(in.RequestID, r) })
	}
}

// grant commits a transfer to a region that asks, if there is something to give.
func (a *allowances) grant(t *teamAllowance, need teamNeed) {
	c, in := a.l.core, t.asks[0]
	t.asks = t.asks[1:]
	next := t.account.Give(c.operator.Regions.Name, in.From, in.Share, t.kept(need))
	if next == nil {
		c.respond(in.RequestID, 200, nil)
		return
	}
	c.log(Debug, "allowance given", "team", t.settings.Name, "region", in.From, "gpus", next.Outgoing[len(next.Outgoing)-1].Share.Limit.GPUs)
	a.commit(t, next, func(r Result) { c.respondCommitted(in.RequestID, r) })
}

// respondCommitted answers a region whose message took a commit.
func (c *Core) respondCommitted(req uint64, r Result) {
	if r.Outcome == call.OK {
		c.respond(req, 200, nil)
		return
	}
	c.respondRetryLater(req, 503, notAvailable)
}

// commit writes an account, on the term and on what it was before. Until that is settled the lesser of both counts.
func (a *allowances) commit(t *teamAllowance, next *allowance.Account, then func(Result)) {
	l := a.l
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	t.writing = true
	a.inFlight++
	t.unsettled = append(t.unsettled, next)
	a.refresh(t)
	l.writer.rateTokens--
	id := l.stateCall(func(r Result) {
		t.writing = false
		a.inFlight--
		a.written(t, next, r)
		then(r)
	})
	l.core.emit(StoreTxn{CallID: id, Txn: l.conditionalTxn(t.key, t.version, wire.Op{Put: t.key, Value: value})})
}

// written takes what became of a write of an account.
func (a *allowances) written(t *teamAllowance, next *allowance.Account, r Result) {
	c := a.l.core
	switch {
	case r.Outcome == call.OK:
		a.take(t, next, r.Txn.Revision)
	case r.Outcome == call.Conflict && slices.Contains(r.Txn.Failed, termKey):
		c.election.stepDown("the term moved on")
	case r.Outcome == call.Conflict, r.Outcome == call.Unknown:
		a.reread(t)
	default:
		// It was certainly not carried out.
		t.unsettled = t.unsettled[:len(t.unsettled)-1]
		a.refresh(t)
		t.retryAt = c.now.Steady + c.times.retryPause
	}
}

// reread finds out how an account stands. One that is as it was may yet be changed by the write in doubt.
func (a *allowances) reread(t *teamAllowance) {
	c := a.l.core
	t.writing = true
	id := a.l.stateCall(func(r Result) {
		t.writing = false
		t.retryAt = c.now.Steady + c.times.retryPause
		if r.Outcome == call.OK && r.Item.Version > t.version {
			c.cache.quotaAccounts.apply(t.key, r.Item.Value, r.Item.Version)
			a.readStored()
		}
	})
	c.emit(StoreGet{CallID: id, Key: t.key})
}

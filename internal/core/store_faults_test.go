package core_test

import (
	"bitternwing/internal/core"
	"bitternwing/internal/emulator"
	"bitternwing/internal/outcome"
)

// storeFaults are the faults of a cluster's key-value store.
type storeFaults struct {
	refusedNode         string // node whose calls the store refuses; empty: none
	storeDown           bool   // the store refuses all calls
	lostResponses       int    // number of next transactions that are committed without a response
	transactionsToDelay int    // number of next transactions that are delayed without a response: see commitDelayed
	delayKey            string // only transactions whose first operation writes this key are delayed; empty: all
	delayedTransactions []core.StoreTxn
}

// interceptStoreCall returns the result of a call to the store that a fault affects; false if none does.
func (s *storeFaults) interceptStoreCall(node string, store *emulator.Store, effect core.Effect) (core.Result, bool) {
	callID, ok := storeCallID(effect)
	if !ok {
		return core.Result{}, false
	}
	if s.storeDown || s.refusedNode == node {
		return core.Result{CallID: callID, Outcome: outcome.Unavailable}, true
	}
	call, ok := effect.(core.StoreTxn)
	if !ok || len(call.Txn.Then) == 0 {
		return core.Result{}, false
	}
	switch {
	case s.lostResponses > 0:
		s.lostResponses--
		store.Txn(call.Txn)
	case s.transactionsToDelay > 0 && (s.delayKey == "" || s.delayKey == call.Txn.Then[0].Put):
		s.transactionsToDelay--
		s.delayedTransactions = append(s.delayedTransactions, call)
	default:
		return core.Result{}, false
	}
	return core.Result{CallID: callID, Outcome: outcome.Unknown}, true
}

// commitDelayed commits the delayed transactions.
func (s *storeFaults) commitDelayed(store *emulator.Store) {
	for _, effect := range s.delayedTransactions {
		store.Txn(effect.Txn)
	}
	s.delayedTransactions = nil
}

// endStoreFaults ends all faults, but does not commit the delayed transactions.
func (s *storeFaults) endStoreFaults() {
	s.storeDown, s.refusedNode, s.lostResponses, s.transactionsToDelay, s.delayKey = false, "", 0, 0, ""
}

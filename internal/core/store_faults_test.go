package core_test

import (
	"bitternwing/internal/core"
	"bitternwing/internal/emulator"
	"bitternwing/internal/outcome"
)

// storeFaults are what a state service may do to the nodes of a cluster.
type storeFaults struct {
	refusedNode         string // a node that the state service refuses
	storeDown           bool   // the state service refuses all
	lostResponses       int    // transactions that are carried out without an answer
	transactionsToDelay int    // transactions without an answer that are carried out later
	delayKey            string // only those that write this key are; empty: any
	delayedTransactions []core.StoreTxn
}

// interceptStoreCall gives what becomes of a call to the state service in its troubles; false if nothing is the matter.
func (s *storeFaults) interceptStoreCall(node string, store *emulator.Store, effect core.Effect) (core.Result, bool) {
	id, ok := storeCallID(effect)
	if !ok {
		return core.Result{}, false
	}
	if s.storeDown || s.refusedNode == node {
		return core.Result{CallID: id, Outcome: outcome.Unavailable}, true
	}
	txn, ok := effect.(core.StoreTxn)
	if !ok || len(txn.Txn.Then) == 0 {
		return core.Result{}, false
	}
	switch {
	case s.lostResponses > 0:
		s.lostResponses--
		store.Txn(txn.Txn)
	case s.transactionsToDelay > 0 && (s.delayKey == "" || s.delayKey == txn.Txn.Then[0].Put):
		s.transactionsToDelay--
		s.delayedTransactions = append(s.delayedTransactions, txn)
	default:
		return core.Result{}, false
	}
	return core.Result{CallID: id, Outcome: outcome.Unknown}, true
}

// commitDelayed carries out the transactions that were held up.
func (s *storeFaults) commitDelayed(store *emulator.Store) {
	for _, effect := range s.delayedTransactions {
		store.Txn(effect.Txn)
	}
	s.delayedTransactions = nil
}

// endStoreFaults ends them, but for the transactions that are held up.
func (s *storeFaults) endStoreFaults() {
	s.storeDown, s.refusedNode, s.lostResponses, s.transactionsToDelay, s.delayKey = false, "", 0, 0, ""
}

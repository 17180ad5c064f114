package core_test

import (
	"bitternwing/internal/core"
	"bitternwing/internal/emulator"
	"bitternwing/internal/outcome"
)

// stateTroubles are what a state service may do to the nodes of a cluster.
type stateTroubles struct {
	refused     string // a node that the state service refuses
	stateDown   bool   // the state service refuses all
	loseAnswers int    // transactions that are carried out without an answer
	delay       int    // transactions without an answer that are carried out later
	delayKey    string // only those that write this key are; empty: any
	late        []core.StoreTxn
}

// interceptState gives what becomes of a call to the state service in its troubles; false if nothing is the matter.
func (s *stateTroubles) interceptState(node string, store *emulator.Store, e core.Effect) (core.Result, bool) {
	id, ok := stateCallID(e)
	if !ok {
		return core.Result{}, false
	}
	if s.stateDown || s.refused == node {
		return core.Result{CallID: id, Outcome: outcome.Unavailable}, true
	}
	txn, ok := e.(core.StoreTxn)
	if !ok || len(txn.Txn.Then) == 0 {
		return core.Result{}, false
	}
	switch {
	case s.loseAnswers > 0:
		s.loseAnswers--
		store.Txn(txn.Txn)
	case s.delay > 0 && (s.delayKey == "" || s.delayKey == txn.Txn.Then[0].Put):
		s.delay--
		s.late = append(s.late, txn)
	default:
		return core.Result{}, false
	}
	return core.Result{CallID: id, Outcome: outcome.Unknown}, true
}

// settleLate carries out the transactions that were held up.
func (s *stateTroubles) settleLate(store *emulator.Store) {
	for _, e := range s.late {
		store.Txn(e.Txn)
	}
	s.late = nil
}

// endStateTroubles ends them, but for the transactions that are held up.
func (s *stateTroubles) endStateTroubles() {
	s.stateDown, s.refused, s.loseAnswers, s.delay, s.delayKey = false, "", 0, 0, ""
}

package core_test

import (
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
)

// pendingWatch is a node's watch to which the key-value store has not responded yet.
type pendingWatch struct {
	node        *simulatedNode
	incarnation int
	request     core.StoreWatch
	expiresAt   time.Duration
}

// handleStoreCall performs a node's call to the key-value store, except for transactions and watches.
func (s *simulation) handleStoreCall(node *simulatedNode, effect core.Effect) {
	switch e := effect.(type) {
	case core.StoreGet:
		s.callStore(node, e.CallID, func() core.Result {
			item, result := s.store.Get(e.Key)
			return core.Result{Outcome: result, Item: item}
		})
	case core.StoreList:
		s.callStore(node, e.CallID, func() core.Result {
			return core.Result{Outcome: outcome.OK, Page: s.store.List(e.Prefix, e.After, 50)}
		})
	case core.StoreGrantLease:
		s.callStore(node, e.CallID, func() core.Result { return core.Result{Outcome: outcome.OK, Lease: s.store.GrantLease(e.TTL)} })
	case core.StoreRenewLease:
		s.callStore(node, e.CallID, func() core.Result { return core.Result{Outcome: s.store.RenewLease(e.Lease)} })
	case core.StoreRevokeLease:
		s.callStore(node, e.CallID, func() core.Result { return core.Result{Outcome: s.store.RevokeLease(e.Lease)} })
	}
}

// callStore makes a call to the key-value store. One response in 400 is lost. handle runs when the call reaches the
// store.
func (s *simulation) callStore(node *simulatedNode, id uint64, handle func() core.Result) {
	timeout := callTimeout
	if s.now < node.storeRefusedUntil || s.now < s.storeOutageUntil {
		s.call(node, id, timeout, func() bool { return s.reachesStore(node) }, false,
			func() (core.Result, bool) { return core.Result{Outcome: outcome.Unavailable}, true })
		return
	}
	delay := time.Duration(0)
	if s.now < s.storeDelayUntil {
		delay = s.between(s.storeDelay/4, s.storeDelay)
	}
	if delay == 0 {
		s.call(node, id, timeout, func() bool { return s.reachesStore(node) }, true, func() (core.Result, bool) { return s.handleIfStoreUp(node, handle) })
		return
	}
	s.callStoreDelayed(node, id, delay, delay, handle)
}

// handleIfStoreUp handles a call that reaches the key-value store, unless the store refuses it. The result is false if the
// response is lost.
func (s *simulation) handleIfStoreUp(node *simulatedNode, handle func() core.Result) (core.Result, bool) {
	if s.now < node.storeRefusedUntil || s.now < s.storeOutageUntil {
		return core.Result{Outcome: outcome.Unavailable}, true
	}
	return handle(), s.random.IntN(400) != 0
}

// callStoreDelayed is callStore for a call that takes requestDelay to reach the store, and whose response takes
// responseDelay.
func (s *simulation) callStoreDelayed(node *simulatedNode, id uint64, requestDelay, responseDelay time.Duration, handle func() core.Result) {
	incarnation, sentAt, done := node.incarnation, node.steadyTime(s.now), false
	finish := func(result core.Result) {
		if !done && node.incarnation == incarnation {
			done = true
			result.CallID, result.SentAt = id, sentAt
			s.deliverInput(node, result)
		}
	}
	s.after(callTimeout, func() { finish(core.Result{Outcome: outcome.Unknown}) })
	s.after(requestDelay, func() {
		result, responded := s.handleIfStoreUp(node, handle)
		if responded && s.reachesStore(node) {
			s.after(responseDelay, func() { finish(result) })
		}
	})
}

// slowResponseTime returns how long the response to a transaction takes that is executed at once; 0 if the response is
// not slow. A slow response still arrives before the call times out.
func (s *simulation) slowResponseTime() time.Duration {
	if s.now >= s.slowResponsesUntil || s.random.Float64() >= s.slowResponseShare {
		return 0
	}
	return s.between(callTimeout/4, callTimeout*9/10)
}

// commitTxn commits a transaction. While delayedTransactionShare is set, that fraction is committed only after the call
// has timed out at the node.
func (s *simulation) commitTxn(node *simulatedNode, effect core.StoreTxn) {
	if len(effect.Txn.Then) > s.params.Store.TxnOps || len(effect.Txn.If) > 4*s.params.Store.TxnOps {
		s.tb.Errorf("transaction with %d changes and %d conditions exceeds the limits", len(effect.Txn.Then), len(effect.Txn.If))
	}
	if s.delayedTransactionShare > 0 && s.random.Float64() < s.delayedTransactionShare && s.now >= node.storeRefusedUntil && s.now >= s.storeOutageUntil {
		var apply func()
		apply = func() {
			if s.now < s.storeOutageUntil {
				s.after(time.Second, apply)
				return
			}
			_, result := s.store.Txn(effect.Txn)
			s.logf("delayed transaction of %s: %s: %s", node.name, showChangedKeys(effect.Txn), result)
		}
		s.after(s.between(2*time.Second, 12*time.Second), apply)
		incarnation := node.incarnation
		s.after(callTimeout, func() {
			if node.incarnation == incarnation {
				s.deliverInput(node, core.Result{CallID: effect.CallID, Outcome: outcome.Unknown, SentAt: node.steadyTime(s.now - callTimeout)})
			}
		})
		return
	}
	commit := func() core.Result {
		response, result := s.store.Txn(effect.Txn)
		if keys := showChangedKeys(effect.Txn); keys != "" {
			s.logf("%s: writes %s: %s", node.name, keys, result)
		}
		return core.Result{Outcome: result, Txn: response}
	}
	if responseTime := s.slowResponseTime(); responseTime > 0 && s.reachesStore(node) {
		s.callStoreDelayed(node, effect.CallID, s.latency(), responseTime, commit)
		return
	}
	s.callStore(node, effect.CallID, commit)
}

// openWatch opens a watch. Without a response before the timeout its outcome is unknown.
func (s *simulation) openWatch(node *simulatedNode, effect core.StoreWatch) {
	incarnation := node.incarnation
	s.deliver(func() bool { return s.reachesStore(node) }, true, func() {
		if node.incarnation == incarnation {
			s.watches = append(s.watches, &pendingWatch{node, incarnation, effect, s.now + effect.Wait})
		}
	})
	s.after(effect.Wait+2*callTimeout, func() {
		for i, watch := range s.watches {
			if watch.node == node && watch.incarnation == incarnation && watch.request.CallID == effect.CallID {
				s.watches = append(s.watches[:i:i], s.watches[i+1:]...)
				s.deliverInput(node, core.Result{CallID: effect.CallID, Outcome: outcome.Unknown})
				return
			}
		}
		if node.incarnation == incarnation {
			s.deliverInput(node, core.Result{CallID: effect.CallID, Outcome: outcome.Unknown}) // ignored if the watch had a response
		}
	})
}

// respondToWatches responds to the watches for which there is a change or whose wait time is over.
func (s *simulation) respondToWatches() {
	if s.now < s.storeOutageUntil {
		return
	}
	pending := s.watches[:0]
	var responses []func()
	for _, watch := range s.watches {
		if watch.node.incarnation != watch.incarnation {
			continue
		}
		if s.now < watch.node.storeRefusedUntil || !s.reachesStore(watch.node) {
			pending = append(pending, watch)
			continue
		}
		changes, result := s.store.Changes(watch.request.Prefix, watch.request.After)
		if len(changes.Events) == 0 && s.now < watch.expiresAt {
			pending = append(pending, watch)
			continue
		}
		delay := time.Duration(0)
		if s.now < s.storeDelayUntil {
			delay = s.between(0, s.storeDelay)
		}
		responses = append(responses, func() {
			s.after(delay+s.latency(), func() {
				if watch.node.incarnation == watch.incarnation {
					s.deliverInput(watch.node, core.Result{CallID: watch.request.CallID, Outcome: result, Changes: changes})
				}
			})
		})
	}
	clear(s.watches[len(pending):])
	s.watches = pending
	for _, respond := range responses {
		respond()
	}
}

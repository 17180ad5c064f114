package core_test

import (
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
)

// storeWatch is a watch of a node that the key-value store has not answered yet.
type storeWatch struct {
	node        *simulatedNode
	incarnation int
	request     core.StoreWatch
	until       time.Duration
}

// carryOutStoreCall carries out a node's call to the key-value store, but for transactions and watches.
func (s *simulation) carryOutStoreCall(node *simulatedNode, effect core.Effect) {
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

// callStore makes a call to the key-value store. One response in 400 is lost.
func (s *simulation) callStore(node *simulatedNode, id uint64, handle func() core.Result) {
	timeout := callTimeout
	if s.now < node.storeRefusedUntil || s.now < s.storeOutageUntil {
		s.call(node, id, timeout, func() bool { return s.reachesStore(node) }, false,
			func() (core.Result, bool) { return core.Result{Outcome: outcome.Unavailable}, true })
		return
	}
	slow := time.Duration(0)
	if s.now < s.storeDelayUntil {
		slow = s.between(s.storeDelay/4, s.storeDelay)
	}
	do := func() (core.Result, bool) {
		if s.now < node.storeRefusedUntil || s.now < s.storeOutageUntil {
			return core.Result{Outcome: outcome.Unavailable}, true
		}
		return handle(), s.random.IntN(400) != 0
	}
	if slow == 0 {
		s.call(node, id, timeout, func() bool { return s.reachesStore(node) }, true, do)
		return
	}
	incarnation, sent, over := node.incarnation, node.steadyTime(s.now), false
	give := func(result core.Result) {
		if !over && node.incarnation == incarnation {
			over = true
			result.CallID, result.SentAt = id, sent
			s.deliverInput(node, result)
		}
	}
	s.after(timeout, func() { give(core.Result{Outcome: outcome.Unknown}) })
	s.after(slow, func() {
		result, ok := do()
		if ok && s.reachesStore(node) {
			s.after(slow, func() { give(result) })
		}
	})
}

// transact commits a transaction. A share of transactions is committed late, after the node has given them up.
func (s *simulation) transact(node *simulatedNode, effect core.StoreTxn) {
	if len(effect.Txn.Then) > s.params.Store.TxnOps || len(effect.Txn.If) > 4*s.params.Store.TxnOps {
		s.tb.Errorf("a transaction of %d changes, %d conditions", len(effect.Txn.Then), len(effect.Txn.If))
	}
	if s.lateTransactionShare > 0 && s.random.Float64() < s.lateTransactionShare && s.now >= node.storeRefusedUntil && s.now >= s.storeOutageUntil {
		var apply func()
		apply = func() {
			if s.now < s.storeOutageUntil {
				s.after(time.Second, apply)
				return
			}
			_, got := s.store.Txn(effect.Txn)
			s.record("delayed transaction of %s: %s: %s", node.name, showChangedKeys(effect.Txn), got)
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
	s.callStore(node, effect.CallID, func() core.Result {
		a, got := s.store.Txn(effect.Txn)
		if k := showChangedKeys(effect.Txn); k != "" {
			s.record("%s: writes %s: %s", node.name, k, got)
		}
		return core.Result{Outcome: got, Txn: a}
	})
}

// openWatch opens a watch. Without an answer before the timeout its outcome is unknown.
func (s *simulation) openWatch(node *simulatedNode, effect core.StoreWatch) {
	incarnation := node.incarnation
	s.deliver(func() bool { return s.reachesStore(node) }, true, func() {
		if node.incarnation == incarnation {
			s.watches = append(s.watches, &storeWatch{node, incarnation, effect, s.now + effect.Wait})
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
			s.deliverInput(node, core.Result{CallID: effect.CallID, Outcome: outcome.Unknown}) // ignored if it was answered
		}
	})
}

// answerWatches answers the watches that have a change, or have waited for as long as they asked to.
func (s *simulation) answerWatches() {
	if s.now < s.storeOutageUntil {
		return
	}
	keep := s.watches[:0]
	var ready []func()
	for _, watch := range s.watches {
		if watch.node.incarnation != watch.incarnation {
			continue
		}
		if s.now < watch.node.storeRefusedUntil || !s.reachesStore(watch.node) {
			keep = append(keep, watch)
			continue
		}
		ch, got := s.store.Changes(watch.request.Prefix, watch.request.After)
		if len(ch.Events) == 0 && s.now < watch.until {
			keep = append(keep, watch)
			continue
		}
		slow := time.Duration(0)
		if s.now < s.storeDelayUntil {
			slow = s.between(0, s.storeDelay)
		}
		ready = append(ready, func() {
			s.after(slow+s.latency(), func() {
				if watch.node.incarnation == watch.incarnation {
					s.deliverInput(watch.node, core.Result{CallID: watch.request.CallID, Outcome: got, Changes: ch})
				}
			})
		})
	}
	clear(s.watches[len(keep):])
	s.watches = keep
	for _, f := range ready {
		f()
	}
}

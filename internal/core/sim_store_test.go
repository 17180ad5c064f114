package core_test

import (
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
)

type simWatch struct {
	n     *simNode
	life  int
	e     core.StoreWatch
	until time.Duration
}

// storeCall carries out a node's call to the key-value store, but for transactions and watches.
func (s *sim) storeCall(n *simNode, e core.Effect) {
	switch e := e.(type) {
	case core.StoreGet:
		s.stateCall(n, e.CallID, func() core.Result {
			item, result := s.store.Get(e.Key)
			return core.Result{Outcome: result, Item: item}
		})
	case core.StoreList:
		s.stateCall(n, e.CallID, func() core.Result {
			return core.Result{Outcome: outcome.OK, Page: s.store.List(e.Prefix, e.After, 50)}
		})
	case core.StoreGrantLease:
		s.stateCall(n, e.CallID, func() core.Result { return core.Result{Outcome: outcome.OK, Lease: s.store.GrantLease(e.TTL)} })
	case core.StoreRenewLease:
		s.stateCall(n, e.CallID, func() core.Result { return core.Result{Outcome: s.store.RenewLease(e.Lease)} })
	case core.StoreRevokeLease:
		s.stateCall(n, e.CallID, func() core.Result { return core.Result{Outcome: s.store.RevokeLease(e.Lease)} })
	}
}

func (s *sim) stateCall(n *simNode, id uint64, there func() core.Result) {
	patience := simPatience
	if s.now < n.refused || s.now < s.outage {
		s.call(n, id, patience, func() bool { return s.stateReach(n) }, false,
			func() (core.Result, bool) { return core.Result{Outcome: outcome.Unavailable}, true })
		return
	}
	slow := time.Duration(0)
	if s.now < s.slowUntil {
		slow = s.between(s.slow/4, s.slow)
	}
	do := func() (core.Result, bool) {
		if s.now < n.refused || s.now < s.outage {
			return core.Result{Outcome: outcome.Unavailable}, true
		}
		return there(), s.rnd.IntN(400) != 0
	}
	if slow == 0 {
		s.call(n, id, patience, func() bool { return s.stateReach(n) }, true, do)
		return
	}
	life, sent, over := n.life, n.steady(s.now), false
	give := func(r core.Result) {
		if !over && n.life == life {
			over = true
			r.CallID, r.SentAt = id, sent
			s.step(n, r)
		}
	}
	s.after(patience, func() { give(core.Result{Outcome: outcome.Unknown}) })
	s.after(slow, func() {
		r, ok := do()
		if ok && s.stateReach(n) {
			s.after(slow, func() { give(r) })
		}
	})
}

func (s *sim) txn(n *simNode, e core.StoreTxn) {
	if len(e.Txn.Then) > s.set.Store.TxnOps || len(e.Txn.If) > 4*s.set.Store.TxnOps {
		s.t.Errorf("a transaction of %d changes, %d conditions", len(e.Txn.Then), len(e.Txn.If))
	}
	if s.lateWrites > 0 && s.rnd.Float64() < s.lateWrites && s.now >= n.refused && s.now >= s.outage {
		var apply func()
		apply = func() {
			if s.now < s.outage {
				s.after(time.Second, apply)
				return
			}
			_, o := s.store.Txn(e.Txn)
			s.note("late transaction of %s: %s: %s", n.name, keysOf(e.Txn), o)
		}
		s.after(s.between(2*time.Second, 12*time.Second), apply)
		life := n.life
		s.after(simPatience, func() {
			if n.life == life {
				s.step(n, core.Result{CallID: e.CallID, Outcome: outcome.Unknown, SentAt: n.steady(s.now - simPatience)})
			}
		})
		return
	}
	s.stateCall(n, e.CallID, func() core.Result {
		a, o := s.store.Txn(e.Txn)
		if k := keysOf(e.Txn); k != "" {
			s.note("%s: writes %s: %s", n.name, k, o)
		}
		return core.Result{Outcome: o, Txn: a}
	})
}

// openWatch has a node wait for changes. After a time without an answer, what has become of the watch is unknown.
func (s *sim) openWatch(n *simNode, e core.StoreWatch) {
	life := n.life
	s.deliver(func() bool { return s.stateReach(n) }, true, func() {
		if n.life == life {
			s.watches = append(s.watches, &simWatch{n, life, e, s.now + e.Wait})
		}
	})
	s.after(e.Wait+2*simPatience, func() {
		for i, w := range s.watches {
			if w.n == n && w.life == life && w.e.CallID == e.CallID {
				s.watches = append(s.watches[:i:i], s.watches[i+1:]...)
				s.step(n, core.Result{CallID: e.CallID, Outcome: outcome.Unknown})
				return
			}
		}
		if n.life == life {
			s.step(n, core.Result{CallID: e.CallID, Outcome: outcome.Unknown}) // ignored if it was answered
		}
	})
}

// answerWatches answers the watches that wait for a change that has come, or have waited long enough.
func (s *sim) answerWatches() {
	if s.now < s.outage {
		return
	}
	keep := s.watches[:0]
	var ready []func()
	for _, w := range s.watches {
		if w.n.life != w.life {
			continue
		}
		if s.now < w.n.refused || !s.stateReach(w.n) {
			keep = append(keep, w)
			continue
		}
		ch, o := s.store.Changes(w.e.Prefix, w.e.After)
		if len(ch.Events) == 0 && s.now < w.until {
			keep = append(keep, w)
			continue
		}
		slow := time.Duration(0)
		if s.now < s.slowUntil {
			slow = s.between(0, s.slow)
		}
		ready = append(ready, func() {
			s.after(slow+s.latency(), func() {
				if w.n.life == w.life {
					s.step(w.n, core.Result{CallID: w.e.CallID, Outcome: o, Changes: ch})
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

package core_test

import (
	"fmt"
	"strings"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

type simNode struct {
	name, zone string
	core       *core.Core // nil while it is down
	life       int        // counts processes
	started    time.Duration
	tick       time.Duration // when it is woken next
	frozen     time.Duration // until then
	// Until short it is short of processor time: each step takes it so long.
	short    time.Duration
	stepTime time.Duration
	busy     time.Duration // with its last step, until then
	results  []simInput    // of calls, that wait for it; taken before the others, as a node does
	inputs   []simInput    // all others that wait
	// What it is cut off from, and until when.
	refused, noState, noPeers, noWorkers, noUsers time.Duration
	req                                           uint64
	waiting                                       map[uint64]func(core.Response)
	reports                                       map[uint64]*wire.Heartbeat // that are yet to be answered
	led                                           bool
	old                                           bool // of the version before the second layout
}

type simWatch struct {
	n     *simNode
	life  int
	e     core.StoreWatch
	until time.Duration
}

// Links.

func (s *sim) meet(zone, other string) bool {
	return zone == other || !s.partition && s.zoneCut != zone && s.zoneCut != other
}

func (s *sim) stateReach(n *simNode) bool { return s.now >= n.noState && s.zoneCut != n.zone }

func (s *sim) peerReach(n, m *simNode) bool {
	return s.now >= n.noPeers && s.now >= m.noPeers && s.meet(n.zone, m.zone)
}

func (s *sim) workerReach(n *simNode, w *simWorker) bool {
	return s.now >= n.noWorkers && s.meet(n.zone, w.zone)
}

// deliver brings a message over a link. While the link is down it is lost, or held back and
// delivered once it is up again.
func (s *sim) deliver(reach func() bool, hold bool, do func()) {
	if reach() {
		s.after(s.latency(), do)
		return
	}
	if hold {
		s.after(200*time.Millisecond, func() { s.deliver(reach, hold, do) })
	}
}

// Nodes.

func (s *sim) start(n *simNode) {
	set := &config.Settings{Node: n.name, Zone: n.zone, Operator: config.DefaultOperator(), Params: s.set}
	set.Operator.SpareShare = 0
	if n.old {
		set.Params.Store.Next = nil
	}
	for _, p := range []string{"a", "b", "c"} {
		if p != n.name {
			set.Peers = append(set.Peers, config.Peer{Node: p, Zone: s.zones[p], Addr: "127.0.0.1:1"})
		}
	}
	n.life++
	n.started, n.tick, n.led, n.busy = s.now, 0, false, 0
	n.results, n.inputs = nil, nil
	n.waiting = map[uint64]func(core.Response){}
	n.reports = map[uint64]*wire.Heartbeat{}
	n.core = core.New(set, fmt.Sprint(n.name, n.life))
	s.step(n, core.Tick{})
}

func (s *sim) kill(n *simNode) {
	if n.core != nil {
		n.core = nil
		n.life++
	}
}

func (n *simNode) steady(now time.Duration) time.Duration { return now - n.started + time.Second }

// simInput is an input that waits for a node. Whoever sent it has given it up after until; 0: nobody has.
type simInput struct {
	in    core.Input
	at    time.Duration // when it came
	until time.Duration
}

// step hands a node an input; a frozen one, or one that is busy, gets it when it goes on.
func (s *sim) step(n *simNode, in core.Input) { s.stepUntil(n, in, 0) }

// stepUntil hands a node an input that is given up after a time.
func (s *sim) stepUntil(n *simNode, in core.Input, until time.Duration) {
	if n.core == nil {
		return
	}
	if s.now >= max(n.frozen, n.busy) && len(n.results)+len(n.inputs) == 0 {
		s.take(n, in, 0)
		return
	}
	if len(n.results)+len(n.inputs) == 0 {
		s.goOn(n)
	}
	if _, ok := in.(core.Result); ok {
		n.results = append(n.results, simInput{in, s.now, until})
	} else {
		n.inputs = append(n.inputs, simInput{in, s.now, until})
	}
}

// goOn has a node take the inputs that wait once it is neither frozen nor busy: results first.
func (s *sim) goOn(n *simNode) {
	life := n.life
	s.at(max(n.frozen, n.busy), func() {
		if n.life != life {
			return
		}
		if s.now >= max(n.frozen, n.busy) {
			in, waited := n.nextWaiting(s.now)
			s.take(n, in, waited)
		}
		if len(n.results)+len(n.inputs) > 0 {
			s.goOn(n)
		}
	})
}

// nextWaiting takes an input from those that wait; one that was given up only wakes the node.
func (n *simNode) nextWaiting(now time.Duration) (core.Input, time.Duration) {
	queue := &n.results
	if len(n.results) == 0 {
		queue = &n.inputs
	}
	next := (*queue)[0]
	*queue = (*queue)[1:]
	if next.until != 0 && now >= next.until {
		return core.Tick{}, now - next.at
	}
	return next.in, now - next.at
}

// take has a node take an input now.
func (s *sim) take(n *simNode, in core.Input, waited time.Duration) {
	effects := n.core.Step(core.Time{Steady: n.steady(s.now), WallMS: 1_000_000 + s.now.Milliseconds(), Waited: waited}, in)
	if s.now < n.short {
		n.busy = s.now + n.stepTime
	}
	for _, e := range effects {
		s.carryOut(n, e)
	}
	wake := max(n.core.Wake()-time.Second+n.started, s.now+time.Millisecond)
	if n.tick <= s.now || wake < n.tick {
		n.tick = wake
		life := n.life
		s.at(wake, func() {
			if n.life == life && n.tick == wake {
				s.step(n, core.Tick{})
			}
		})
	}
	if leads := n.core.PeerStatus().Leading; leads != n.led {
		n.led = leads
		if leads {
			s.say("%s leads term %d", n.name, n.core.PeerStatus().Term)
		} else {
			s.say("%s leads no more", n.name)
		}
	}
}

// call makes a call of a node: the request goes over a link, is carried out there, and the
// answer comes back. Whatever has not come after the node's patience is unknown.
func (s *sim) call(n *simNode, id uint64, patience time.Duration, reach func() bool, hold bool, there func() (core.Result, bool)) {
	life, sent := n.life, n.steady(s.now)
	over := false
	give := func(r core.Result) {
		if over || n.life != life {
			return
		}
		over = true
		r.CallID, r.SentAt = id, sent
		s.step(n, r)
	}
	s.after(patience, func() { give(core.Result{Outcome: outcome.Unknown}) })
	s.deliver(reach, hold, func() {
		r, ok := there()
		if ok {
			s.deliver(reach, false, func() { give(r) })
		}
	})
}

const simPatience = time.Second

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

func (s *sim) carryOut(n *simNode, e core.Effect) {
	s.digest.add(s.t, s.now, n.name, e)
	switch e := e.(type) {
	case core.Response:
		s.checkRenewal(n, e)
		if f := n.waiting[e.RequestID]; f != nil {
			delete(n.waiting, e.RequestID)
			f(e)
		}
	case core.Log:
		var b strings.Builder
		for i := 0; i+1 < len(e.Fields); i += 2 {
			fmt.Fprintf(&b, " %v=%v", e.Fields[i], e.Fields[i+1])
		}
		s.note("%s: %s%s", n.name, e.Message, b.String())
		if e.Message == "worker quarantined" {
			s.say("%s: a machine is faulty", n.name)
		}
	case core.StoreTxn:
		s.txn(n, e)
	case core.StoreGet:
		s.stateCall(n, e.CallID, func() core.Result {
			it, o := s.store.Get(e.Key)
			return core.Result{Outcome: o, Item: it}
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
	case core.StoreWatch:
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
	case core.CloudCatalog, core.CloudScaleOut, core.CloudScaleIn, core.CloudList:
		s.cloud(n, e)
	case core.SendCommands:
		s.note("%s: orders %s token %s%s", n.name, e.Addr, showToken(e.FencingToken), showCommands(e.Commands))
		s.direct(n, e.CallID, e.Addr, func(w *simWorker) core.Result {
			if e.FencingToken < w.token || e.Incarnation != w.session {
				return core.Result{Outcome: outcome.Conflict, Heartbeat: *s.report(w)}
			}
			w.token = e.FencingToken
			s.execute(w, e.Commands)
			s.soon(w)
			return core.Result{Outcome: outcome.OK, Heartbeat: *s.report(w)}
		})
	case core.QueryWorker:
		s.direct(n, e.CallID, e.Addr, func(w *simWorker) core.Result {
			return core.Result{Outcome: outcome.OK, Heartbeat: *s.report(w)}
		})
	case core.QueryPeer:
		m := s.node(e.Node)
		s.call(n, e.CallID, simPatience, func() bool { return s.peerReach(n, m) && s.now >= max(m.frozen, m.busy) }, true, func() (core.Result, bool) {
			if m.core == nil {
				return core.Result{Outcome: outcome.Unknown}, true
			}
			if len(e.Cancellations) > 0 {
				m.req++
				s.step(m, core.ReplicateCancellations{RequestID: m.req, Cancellations: e.Cancellations})
			}
			status := m.core.PeerStatus()
			if m.old {
				status.RecordLayouts = 0
			}
			return core.Result{Outcome: outcome.OK, Peer: status}, true
		})
	}
}

func (s *sim) node(name string) *simNode {
	for _, n := range s.nodes {
		if n.name == name {
			return n
		}
	}
	s.t.Fatalf("no node %q", name)
	return nil
}

// leader is the node that leads, by the newest term; the first one if none does.
func (s *sim) leader() *simNode {
	best, term := s.nodes[0], uint64(0)
	for _, n := range s.nodes {
		if n.core != nil {
			if st := n.core.PeerStatus(); st.Leading && st.Term > term {
				best, term = n, st.Term
			}
		}
	}
	return best
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

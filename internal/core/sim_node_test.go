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

// carryOut carries out an effect of a node.
func (s *sim) carryOut(n *simNode, e core.Effect) {
	s.digest.add(s.t, s.now, n.name, e)
	switch e := e.(type) {
	case core.Response:
		s.checkRenewal(n, e)
		if receive := n.waiting[e.RequestID]; receive != nil {
			delete(n.waiting, e.RequestID)
			receive(e)
		}
	case core.Log:
		s.keepLog(n, e)
	case core.StoreTxn:
		s.txn(n, e)
	case core.StoreWatch:
		s.openWatch(n, e)
	case core.StoreGet, core.StoreList, core.StoreGrantLease, core.StoreRenewLease, core.StoreRevokeLease:
		s.storeCall(n, e)
	case core.CloudCatalog, core.CloudScaleOut, core.CloudScaleIn, core.CloudList:
		s.cloud(n, e)
	case core.SendCommands:
		s.sendCommands(n, e)
	case core.QueryWorker:
		s.direct(n, e.CallID, e.Addr, func(w *simWorker) core.Result {
			return core.Result{Outcome: outcome.OK, Heartbeat: *s.report(w)}
		})
	case core.QueryPeer:
		s.queryPeer(n, e)
	}
}

// keepLog keeps a line of a node's log, and shows when a machine is quarantined.
func (s *sim) keepLog(n *simNode, e core.Log) {
	s.note("%s: %s%s", n.name, e.Message, showFields(e.Fields))
	if e.Message == "worker quarantined" {
		s.say("%s: a machine is faulty", n.name)
	}
}

// showFields shows the fields of a log line.
func showFields(fields []any) string {
	var b strings.Builder
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&b, " %v=%v", fields[i], fields[i+1])
	}
	return b.String()
}

// queryPeer has a node ask another one for its status, and hand it cancellations.
func (s *sim) queryPeer(n *simNode, e core.QueryPeer) {
	peer := s.node(e.Node)
	reach := func() bool { return s.peerReach(n, peer) && s.now >= max(peer.frozen, peer.busy) }
	s.call(n, e.CallID, simPatience, reach, true, func() (core.Result, bool) {
		if peer.core == nil {
			return core.Result{Outcome: outcome.Unknown}, true
		}
		if len(e.Cancellations) > 0 {
			peer.req++
			s.step(peer, core.ReplicateCancellations{RequestID: peer.req, Cancellations: e.Cancellations})
		}
		status := peer.core.PeerStatus()
		if peer.old {
			status.RecordLayouts = 0
		}
		return core.Result{Outcome: outcome.OK, Peer: status}, true
	})
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

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

// simulatedNode is a node of a simulation, from one process to the next.
type simulatedNode struct {
	name, zone  string
	core        *core.Core // nil while its process is down
	incarnation int        // of its process
	startedAt   time.Duration
	nextTick    time.Duration
	frozenUntil time.Duration
	slowUntil   time.Duration // until then each step takes stepTime
	stepTime    time.Duration
	busyUntil   time.Duration // with the last step
	results     []queuedInput // of calls; a node takes them before all other inputs
	inputs      []queuedInput

	storeRefusedUntil time.Duration
	storeCutUntil     time.Duration
	peersCutUntil     time.Duration
	workersCutUntil   time.Duration
	usersCutUntil     time.Duration

	lastRequest uint64
	waiting     map[uint64]func(core.Response) // what takes the response, by request
	heartbeats  map[uint64]*wire.Heartbeat     // not answered yet, by request
	wasLeading  bool
	oldVersion  bool // of the version before the second layout of records
}

// startNode starts a node's process.
func (s *simulation) startNode(node *simulatedNode) {
	settings := &config.Settings{Node: node.name, Zone: node.zone, Operator: config.DefaultOperatorSettings(), Params: s.params}
	settings.Operator.SpareShare = 0
	if node.oldVersion {
		settings.Params.Store.Next = nil
	}
	for _, p := range []string{"a", "b", "c"} {
		if p != node.name {
			settings.Peers = append(settings.Peers, config.Peer{Node: p, Zone: s.zones[p], Addr: "127.0.0.1:1"})
		}
	}
	node.incarnation++
	node.startedAt, node.nextTick, node.wasLeading, node.busyUntil = s.now, 0, false, 0
	node.results, node.inputs = nil, nil
	node.waiting = map[uint64]func(core.Response){}
	node.heartbeats = map[uint64]*wire.Heartbeat{}
	node.core = core.New(settings, fmt.Sprint(node.name, node.incarnation))
	s.deliverInput(node, core.Tick{})
}

// killNode ends a node's process.
func (s *simulation) killNode(node *simulatedNode) {
	if node.core != nil {
		node.core = nil
		node.incarnation++
	}
}

// steadyTime gives the monotonic clock of a node's process.
func (node *simulatedNode) steadyTime(now time.Duration) time.Duration {
	return now - node.startedAt + time.Second
}

// queuedInput is an input that waits for a node.
type queuedInput struct {
	input     core.Input
	arrivedAt time.Duration
	expiresAt time.Duration // when its sender gives it up; 0: never
}

// deliverInput hands a node an input. It is queued while the node is frozen or busy.
func (s *simulation) deliverInput(node *simulatedNode, input core.Input) {
	s.deliverInputUntil(node, input, 0)
}

// deliverInputUntil hands a node an input that its sender gives up at a time; 0: never.
func (s *simulation) deliverInputUntil(node *simulatedNode, input core.Input, until time.Duration) {
	if node.core == nil {
		return
	}
	if s.now >= max(node.frozenUntil, node.busyUntil) && len(node.results)+len(node.inputs) == 0 {
		s.stepNode(node, input, 0)
		return
	}
	if len(node.results)+len(node.inputs) == 0 {
		s.resumeNode(node)
	}
	if _, ok := input.(core.Result); ok {
		node.results = append(node.results, queuedInput{input, s.now, until})
	} else {
		node.inputs = append(node.inputs, queuedInput{input, s.now, until})
	}
}

// resumeNode has a node take the queued inputs as soon as it is neither frozen nor busy.
func (s *simulation) resumeNode(node *simulatedNode) {
	incarnation := node.incarnation
	s.at(max(node.frozenUntil, node.busyUntil), func() {
		if node.incarnation != incarnation {
			return
		}
		if s.now >= max(node.frozenUntil, node.busyUntil) {
			input, waited := node.nextWaiting(s.now)
			s.stepNode(node, input, waited)
		}
		if len(node.results)+len(node.inputs) > 0 {
			s.resumeNode(node)
		}
	})
}

// nextWaiting removes the next input from the queues. One that its sender has given up only wakes the node.
func (node *simulatedNode) nextWaiting(now time.Duration) (core.Input, time.Duration) {
	queue := &node.results
	if len(node.results) == 0 {
		queue = &node.inputs
	}
	next := (*queue)[0]
	*queue = (*queue)[1:]
	if next.expiresAt != 0 && now >= next.expiresAt {
		return core.Tick{}, now - next.arrivedAt
	}
	return next.input, now - next.arrivedAt
}

// stepNode has a node take an input now, and carries out the effects.
func (s *simulation) stepNode(node *simulatedNode, input core.Input, waited time.Duration) {
	effects := node.core.Step(core.Time{Steady: node.steadyTime(s.now), WallMS: 1_000_000 + s.now.Milliseconds(), QueueDelay: waited}, input)
	if s.now < node.slowUntil {
		node.busyUntil = s.now + node.stepTime
	}
	for _, effect := range effects {
		s.carryOut(node, effect)
	}
	wake := max(node.core.NextWake()-time.Second+node.startedAt, s.now+time.Millisecond)
	if node.nextTick <= s.now || wake < node.nextTick {
		node.nextTick = wake
		incarnation := node.incarnation
		s.at(wake, func() {
			if node.incarnation == incarnation && node.nextTick == wake {
				s.deliverInput(node, core.Tick{})
			}
		})
	}
	if leads := node.core.PeerStatus().Leading; leads != node.wasLeading {
		node.wasLeading = leads
		if leads {
			s.show("%s becomes leader in term %d", node.name, node.core.PeerStatus().Term)
		} else {
			s.show("%s steps down", node.name)
		}
	}
}

// carryOut carries out an effect of a node.
func (s *simulation) carryOut(node *simulatedNode, effect core.Effect) {
	s.digest.add(s.tb, s.now, node.name, effect)
	switch e := effect.(type) {
	case core.Response:
		s.checkRenewal(node, e)
		if receive := node.waiting[e.RequestID]; receive != nil {
			delete(node.waiting, e.RequestID)
			receive(e)
		}
	case core.Log:
		s.recordLog(node, e)
	case core.StoreTxn:
		s.transact(node, e)
	case core.StoreWatch:
		s.openWatch(node, e)
	case core.StoreGet, core.StoreList, core.StoreGrantLease, core.StoreRenewLease, core.StoreRevokeLease:
		s.carryOutStoreCall(node, e)
	case core.CloudCatalog, core.CloudScaleOut, core.CloudScaleIn, core.CloudList:
		s.carryOutCloudCall(node, e)
	case core.SendCommands:
		s.sendCommands(node, e)
	case core.QueryWorker:
		s.callWorker(node, e.CallID, e.Addr, func(worker *simulatedWorker) core.Result {
			return core.Result{Outcome: outcome.OK, Heartbeat: *s.newHeartbeat(worker)}
		})
	case core.QueryPeer:
		s.queryPeer(node, e)
	}
}

// recordLog records a line of a node's log. The kept traces show when a worker is quarantined.
func (s *simulation) recordLog(node *simulatedNode, effect core.Log) {
	s.record("%s: %s%s", node.name, effect.Message, showFields(effect.Fields))
	if effect.Message == "worker quarantined" {
		s.show("%s quarantines a machine", node.name)
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
func (s *simulation) queryPeer(node *simulatedNode, effect core.QueryPeer) {
	peer := s.nodeNamed(effect.Node)
	reach := func() bool { return s.reachesPeer(node, peer) && s.now >= max(peer.frozenUntil, peer.busyUntil) }
	s.call(node, effect.CallID, callTimeout, reach, true, func() (core.Result, bool) {
		if peer.core == nil {
			return core.Result{Outcome: outcome.Unknown}, true
		}
		if len(effect.Cancellations) > 0 {
			peer.lastRequest++
			s.deliverInput(peer, core.ReplicateCancellations{RequestID: peer.lastRequest, Cancellations: effect.Cancellations})
		}
		status := peer.core.PeerStatus()
		if peer.oldVersion {
			status.RecordLayouts = 0
		}
		return core.Result{Outcome: outcome.OK, Peer: status}, true
	})
}

func (s *simulation) nodeNamed(name string) *simulatedNode {
	for _, node := range s.nodes {
		if node.name == name {
			return node
		}
	}
	s.tb.Fatalf("no node %q", name)
	return nil
}

// leader is the node that leads, by the newest term; the first one if none does.
func (s *simulation) leader() *simulatedNode {
	best, term := s.nodes[0], uint64(0)
	for _, node := range s.nodes {
		if node.core != nil {
			if st := node.core.PeerStatus(); st.Leading && st.Term > term {
				best, term = node, st.Term
			}
		}
	}
	return best
}

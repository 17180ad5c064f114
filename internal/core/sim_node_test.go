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

// simulatedNode is a node of a simulation. It outlives restarts of its process.
type simulatedNode struct {
	name, zone      string
	core            *core.Core // nil while its process is down
	incarnation     int        // changes whenever the process starts or is killed
	startedAt       time.Duration
	nextTick        time.Duration
	frozenUntil     time.Duration
	overloadedUntil time.Duration // until then each step takes stepTime
	stepTime        time.Duration
	busyUntil       time.Duration // when the last step completes
	queuedResults   []queuedInput // results of calls; a node handles them before all other inputs
	queuedInputs    []queuedInput

	storeRefusedUntil time.Duration
	storeCutUntil     time.Duration
	peersCutUntil     time.Duration
	workersCutUntil   time.Duration
	usersCutUntil     time.Duration

	lastRequest       uint64
	responseHandlers  map[uint64]func(core.Response) // by request ID
	pendingHeartbeats map[uint64]*wire.Heartbeat     // heartbeats without a response yet, by request ID
	leading           bool
	oldVersion        bool // runs the version that predates the second record layout
}

// startNode starts a node's process.
func (s *simulation) startNode(node *simulatedNode) {
	settings := &config.Settings{Node: node.name, Zone: node.zone, Operator: config.DefaultOperatorSettings(), Params: s.params}
	settings.Operator.SpareShare = 0
	settings.Operator.PaceHeartbeats = settings.Operator.PaceHeartbeats && !s.immediateResponses
	if node.oldVersion {
		settings.Params.Store.Next = nil
	}
	for _, peerName := range []string{"a", "b", "c"} {
		if peerName != node.name {
			settings.Peers = append(settings.Peers, config.Peer{Node: peerName, Zone: s.zones[peerName], Addr: "127.0.0.1:1"})
		}
	}
	node.incarnation++
	node.startedAt, node.nextTick, node.leading, node.busyUntil = s.now, 0, false, 0
	node.queuedResults, node.queuedInputs = nil, nil
	node.responseHandlers = map[uint64]func(core.Response){}
	node.pendingHeartbeats = map[uint64]*wire.Heartbeat{}
	node.core = core.New(settings, fmt.Sprint(node.name, node.incarnation))
	s.deliverInput(node, core.Tick{})
}

// killNode kills a node's process.
func (s *simulation) killNode(node *simulatedNode) {
	if node.core != nil {
		node.core = nil
		node.incarnation++
	}
}

// steadyTime returns the monotonic clock reading of a node's process.
func (node *simulatedNode) steadyTime(now time.Duration) time.Duration {
	return now - node.startedAt + time.Second
}

// queuedInput is an input that a node has not handled yet.
type queuedInput struct {
	input     core.Input
	arrivedAt time.Duration
	expiresAt time.Duration // when its sender times out; 0: never
}

// deliverInput delivers an input to a node, or queues it while the node is frozen or busy.
func (s *simulation) deliverInput(node *simulatedNode, input core.Input) {
	s.deliverInputUntil(node, input, 0)
}

// deliverInputUntil is deliverInput for an input whose sender times out at expiresAt; 0: never.
func (s *simulation) deliverInputUntil(node *simulatedNode, input core.Input, expiresAt time.Duration) {
	if node.core == nil {
		return
	}
	if s.now >= max(node.frozenUntil, node.busyUntil) && len(node.queuedResults)+len(node.queuedInputs) == 0 {
		s.stepNode(node, input, 0)
		return
	}
	if len(node.queuedResults)+len(node.queuedInputs) == 0 {
		s.resumeNode(node)
	}
	if _, ok := input.(core.Result); ok {
		node.queuedResults = append(node.queuedResults, queuedInput{input, s.now, expiresAt})
	} else {
		node.queuedInputs = append(node.queuedInputs, queuedInput{input, s.now, expiresAt})
	}
}

// resumeNode schedules a node to handle its queued inputs as soon as it is neither frozen nor busy.
func (s *simulation) resumeNode(node *simulatedNode) {
	incarnation := node.incarnation
	s.at(max(node.frozenUntil, node.busyUntil), func() {
		if node.incarnation != incarnation {
			return
		}
		if s.now >= max(node.frozenUntil, node.busyUntil) {
			input, waited := node.dequeueInput(s.now)
			s.stepNode(node, input, waited)
		}
		if len(node.queuedResults)+len(node.queuedInputs) > 0 {
			s.resumeNode(node)
		}
	})
}

// dequeueInput removes and returns the next queued input and how long it waited. An expired input is replaced by a
// Tick.
func (node *simulatedNode) dequeueInput(now time.Duration) (core.Input, time.Duration) {
	queue := &node.queuedResults
	if len(node.queuedResults) == 0 {
		queue = &node.queuedInputs
	}
	next := (*queue)[0]
	*queue = (*queue)[1:]
	if next.expiresAt != 0 && now >= next.expiresAt {
		return core.Tick{}, now - next.arrivedAt
	}
	return next.input, now - next.arrivedAt
}

// stepNode passes an input to a node's core and performs the effects.
func (s *simulation) stepNode(node *simulatedNode, input core.Input, waited time.Duration) {
	effects := node.core.Step(core.Time{Steady: node.steadyTime(s.now), WallMS: 1_000_000 + s.now.Milliseconds(), QueueDelay: waited}, input)
	s.checkStepWork(node)
	if s.now < node.overloadedUntil {
		node.busyUntil = s.now + node.stepTime
	}
	for _, effect := range effects {
		s.handleEffect(node, effect)
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
	if leading := node.core.PeerStatus().Leading; leading != node.leading {
		node.leading = leading
		if leading {
			s.tracef("%s becomes leader in term %d", node.name, node.core.PeerStatus().Term)
		} else {
			s.tracef("%s steps down", node.name)
		}
	}
}

// handleEffect performs an effect of a node's core.
func (s *simulation) handleEffect(node *simulatedNode, effect core.Effect) {
	s.digest.add(s.tb, s.now, node.name, effect)
	switch e := effect.(type) {
	case core.Response:
		s.checkRenewal(node, e)
		if receive := node.responseHandlers[e.RequestID]; receive != nil {
			delete(node.responseHandlers, e.RequestID)
			receive(e)
		}
	case core.Log:
		s.recordLog(node, e)
	case core.StoreTxn:
		s.commitTxn(node, e)
	case core.StoreWatch:
		s.openWatch(node, e)
	case core.StoreGet, core.StoreList, core.StoreGrantLease, core.StoreRenewLease, core.StoreRevokeLease:
		s.handleStoreCall(node, e)
	case core.CloudCatalog, core.CloudScaleOut, core.CloudScaleIn, core.CloudList:
		s.handleCloudCall(node, e)
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

// recordLog records a line of a node's log. The trace contains only the line about a quarantined worker.
func (s *simulation) recordLog(node *simulatedNode, effect core.Log) {
	s.logf("%s: %s%s", node.name, effect.Message, formatFields(effect.Fields))
	if effect.Message == "worker quarantined" {
		s.tracef("%s quarantines a machine", node.name)
	}
}

// formatFields formats the fields of a log line as key=value pairs.
func formatFields(fields []any) string {
	var b strings.Builder
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&b, " %v=%v", fields[i], fields[i+1])
	}
	return b.String()
}

// queryPeer sends a node's status query to a peer, along with cancellations that the peer shall replicate.
func (s *simulation) queryPeer(node *simulatedNode, effect core.QueryPeer) {
	peer := s.nodeNamed(effect.Node)
	reachable := func() bool { return s.reachesPeer(node, peer) && s.now >= max(peer.frozenUntil, peer.busyUntil) }
	s.call(node, effect.CallID, callTimeout, reachable, true, func() (core.Result, bool) {
		if peer.core == nil {
			return core.Result{Outcome: outcome.Unknown}, true
		}
		if len(effect.Cancellations) > 0 {
			peer.lastRequest++
			s.deliverInput(peer, core.ReplicateCancellations{RequestID: peer.lastRequest, Cancellations: effect.Cancellations})
		}
		status := peer.core.PeerStatus()
		if peer.oldVersion {
			status.MaxRecordLayout = 0
		}
		return core.Result{Outcome: outcome.OK, Peer: status}, true
	})
}

// nodeNamed returns the node with a name. It fails the test if there is none.
func (s *simulation) nodeNamed(name string) *simulatedNode {
	for _, node := range s.nodes {
		if node.name == name {
			return node
		}
	}
	s.tb.Fatalf("no node %q", name)
	return nil
}

// leader returns the leading node with the newest term, or the first node if none leads.
func (s *simulation) leader() *simulatedNode {
	best, term := s.nodes[0], uint64(0)
	for _, node := range s.nodes {
		if node.core != nil {
			if status := node.core.PeerStatus(); status.Leading && status.Term > term {
				best, term = node, status.Term
			}
		}
	}
	return best
}

package core

import (
	"encoding/json"
	"slices"
	"time"

	"bitternwing/internal/membership"
	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// leaseRelay keeps workers alive that can't reach the leader although it leads, as
// when two zones can't reach each other. It answers their reports with the leader's
// token and passes the reports on through the state service, where the leader takes
// them as evidence like any other. It starts nothing. The one thing it orders by
// itself is to stop tasks of cancelled jobs, which is right whoever leads.
type leaseRelay struct {
	core            *Core
	term            uint64
	workers         map[string]*relayedWorker
	order           []string                 // of workers, in the order in which they came
	redirected      map[string]time.Duration // workers sent to the leader, and when
	termConfirmedAt time.Duration            // when the lead key was last seen to be current
	confirmInFlight bool
	nextConfirm     time.Duration
	writeInFlight   bool
	nextWrite       time.Duration
	shards          int  // keys written last
	servesOtherZone bool // a worker of another zone came while this zone seemed cut off
}

type relayedWorker struct {
	heartbeat         *wire.Heartbeat
	since, at         time.Duration // when its lease was first and last renewed here
	leaderUnreachable bool          // it can't reach the leader
}

func newLeaseRelay(c *Core) *leaseRelay {
	return &leaseRelay{core: c, workers: map[string]*relayedWorker{}, redirected: map[string]time.Duration{}}
}

// leadingPeer gives the other node that leads, as far as this node knows.
func (k *leaseRelay) leadingPeer() *membership.Peer {
	c := k.core
	if c.leader != nil || c.cache.leaderVersion == 0 || c.cache.leader.Node == c.settings.Node || c.storeDown {
		return nil
	}
	return c.members.Peer(c.cache.leader.Node)
}

// leadershipVacant tells whether nobody leads, between two terms: the state service serves this node and
// shows no leader, or an earlier process of this very node.
func (k *leaseRelay) leadershipVacant() bool {
	d := k.core.cache
	return d.ready && (d.leaderVersion == 0 || d.leader.Node == k.core.settings.Node)
}

// leaderUnreachable tells whether the leader leads but can't be reached from here.
func (k *leaseRelay) leaderUnreachable() bool {
	p := k.leadingPeer()
	return p != nil && p.Unreachable()
}

// leaderCannotReach tells whether the leader says that workers of a zone can't reach it: they need
// not try, which would cost them much of their lease.
func (k *leaseRelay) leaderCannotReach(zone string) bool {
	p := k.leadingPeer()
	return p != nil && k.core.members.Leads(p, k.core.now.Steady) && slices.Contains(p.Status().UnreachableZones, zone)
}

// termIsCurrent tells whether the leader's term was seen to be current just now, in the
// state service or by the leader's own word.
func (k *leaseRelay) termIsCurrent(p *membership.Peer) bool {
	c := k.core
	return k.termConfirmedAt != 0 && c.now.Steady-k.termConfirmedAt < 2*c.times.checkInterval ||
		c.members.Leads(p, c.now.Steady) && p.Status().Term == c.cache.leader.Term
}

// handleHeartbeat answers a worker in the leader's place; false if that is not due.
func (k *leaseRelay) handleHeartbeat(in WorkerHeartbeat) bool {
	c, r := k.core, in.Heartbeat
	now := c.now.Steady
	if len(r.Tasks) == 0 {
		// There is nothing to keep alive: it had better find the leader.
		return false
	}
	if c.storeDown {
		return k.renewDuringStoreOutage(in)
	}
	if k.leadershipVacant() {
		// Sent on to the next node, it might wait for one that is down, and lose its lease
		// before it has found the next leader. The answer repeats its own token, as that of
		// renewWithoutState does, and is safe for the same reasons.
		c.renewLease(in.RequestID, VacancyBasis, r.FencingToken, c.newLeaseResponse(r))
		return true
	}
	term := c.cache.leader.Term
	p := k.leadingPeer()
	if p == nil || termOfFencingToken(r.FencingToken) > term {
		return false
	}
	w := k.workers[r.Machine]
	switch {
	case w == nil && !k.termIsCurrent(p):
		return false
	case w == nil:
		w = k.adoptWorker(r)
	case k.shouldRetryLeader(w, r.Zone):
		k.redirectToLeader(r.Machine)
		return false
	}
	if !k.termIsCurrent(p) {
		return false
	}
	if old := w.heartbeat; r.Incarnation > old.Incarnation || r.Incarnation == old.Incarnation && r.Sequence > old.Sequence {
		w.heartbeat = r
	}
	w.at = now
	if k.term != term {
		k.term = term
		c.log(Info, "lease relay started for unreachable leader", "leader", c.cache.leader.Node, "term", term)
	}
	c.renewLease(in.RequestID, RelayBasis, max(firstFencingToken(term), r.FencingToken), c.newLeaseResponse(r))
	return true
}

// adoptWorker begins to keep a worker. It may reach the leader from where it is: its lease is renewed
// once, for it has lost time already; then it is sent there, and kept if it comes back. One whose
// zone is cut off as this node's is needs no proof.
func (k *leaseRelay) adoptWorker(r *wire.Heartbeat) *relayedWorker {
	c := k.core
	now := c.now.Steady
	at, was := k.redirected[r.Machine]
	w := &relayedWorker{heartbeat: r, since: now}
	w.leaderUnreachable = was && now-at < c.times.lease || k.leaderUnreachable() && r.Zone == c.settings.Zone || k.leaderCannotReach(r.Zone)
	k.workers[r.Machine] = w
	k.order = append(k.order, r.Machine)
	// With its next report it is sent to the leader, which must have heard of it by
	// then: else it counts as silent there while it is on its way.
	k.nextWrite = min(k.nextWrite, now+c.times.checkInterval/2)
	c.log(Debug, "worker adopted by lease relay", "worker", r.Machine, "leader", c.cache.leader.Node)
	return w
}

// shouldRetryLeader tells whether a kept worker had better look for the leader: it has not yet, or the
// leader is there for others, and it tries again now and then.
func (k *leaseRelay) shouldRetryLeader(w *relayedWorker, zone string) bool {
	if k.leaderCannotReach(zone) {
		return false
	}
	return !w.leaderUnreachable || !k.leaderUnreachable() && k.core.now.Steady-w.since > 2*k.core.times.lease
}

// maxRedirected bounds the workers that are remembered as sent to the leader.
const maxRedirected = 10_000

func (k *leaseRelay) redirectToLeader(machine string) {
	k.dropWorker(machine)
	if len(k.redirected) > maxRedirected {
		clear(k.redirected)
	}
	k.redirected[machine] = k.core.now.Steady
}

// renewDuringStoreOutage keeps a worker alive while this node can't reach the state service and so
// can't know who leads: with the whole zone cut off, or with every node refused and
// none left that leads. The answer repeats the worker's own token, so it overrules
// nobody, and it starts nothing. It is safe whoever leads, since a placement never
// ends by the clock: what runs here counts until there is evidence of its end. A node
// that alone lost the network must not hold its workers, which could find the leader;
// it shows by workers of other zones still reaching it.
//
// It may go on for as long as the trouble lasts. In a zone that is cut off nothing is left of jobs
// whose users were told of a cancellation; elsewhere only a node that knew the jobs before does
// this, which lacks no such cancellation (cancellationReplicator).
func (k *leaseRelay) renewDuringStoreOutage(in WorkerHeartbeat) bool {
	c, r := k.core, in.Heartbeat
	cut := c.members.OwnZoneIsolated(c.now.Steady, c.storeDown)
	if cut && r.Zone != c.settings.Zone {
		k.servesOtherZone = true
	}
	alone := c.members.AllPeersLostStore(c.now.Steady) && c.members.Leader(c.now.Steady) == ""
	wholeZone, lastWord := cut && !k.servesOtherZone, alone && c.cache.ready
	if !wholeZone && !lastWord {
		return false
	}
	basis := StoreOutageBasis
	if wholeZone {
		basis = IsolatedZoneBasis
	}
	c.renewLease(in.RequestID, basis, r.FencingToken, c.newLeaseResponse(r))
	return true
}

// run keeps the knowledge of the leader's term fresh while it is needed, and writes
// the reports of kept workers.
func (k *leaseRelay) run() {
	c := k.core
	now := c.now.Steady
	k.servesOtherZone = k.servesOtherZone && c.storeDown
	if (len(k.workers) > 0 || k.leaderUnreachable()) && !k.confirmInFlight {
		if now < k.nextConfirm {
			c.wakeBy(k.nextConfirm)
		} else {
			k.confirmInFlight = true
			k.nextConfirm = now + c.times.checkInterval/2
			id := c.registerStoreCall(func(r Result) {
				k.confirmInFlight = false
				if r.Outcome == outcome.OK {
					k.termConfirmedAt = r.SentAt
				}
			})
			c.emit(StoreTxn{CallID: id, Txn: wire.Txn{If: []wire.Condition{c.cache.leaderCondition()}}})
		}
	}
	if k.leadingPeer() == nil || k.term != 0 && c.cache.leader.Term != k.term {
		clear(k.workers)
		clear(k.redirected)
		k.order = k.order[:0]
	}
	for _, name := range append([]string(nil), k.order...) {
		if now-k.workers[name].at > c.times.lease {
			k.dropWorker(name)
		}
	}
	if k.term != 0 && len(k.workers) == 0 {
		c.log(Info, "lease relay ended")
		k.term = 0
	}
	if k.writeInFlight || len(k.order) == 0 && k.shards == 0 || c.storeDown {
		return
	}
	if now < k.nextWrite {
		c.wakeBy(k.nextWrite)
		return
	}
	k.nextWrite = now + 2*c.times.checkInterval
	k.writeRelayed()
}

func (k *leaseRelay) dropWorker(name string) {
	delete(k.workers, name)
	for i, n := range k.order {
		if n == name {
			k.order = append(k.order[:i], k.order[i+1:]...)
			return
		}
	}
}

// writeRelayed passes the reports on, as many to a key as fit.
func (k *leaseRelay) writeRelayed() {
	c := k.core
	heartbeats := make([]json.RawMessage, 0, len(k.order))
	for _, name := range k.order {
		if b, err := json.Marshal(k.workers[name].heartbeat); err == nil {
			heartbeats = append(heartbeats, b)
		}
	}
	packer := stored.RelayedHeartbeatPacker{MaxBytes: stored.UsableValueBytes(c.limits.largestAcceptedValue())}
	if c.layout().ByTask > 0 {
		// All nodes are known to read the compressed form.
		packer.MaxBytes, packer.Compressed = c.maxValueBytes(), true
	}
	values, tooLarge := packer.Pack(heartbeats)
	if tooLarge > 0 {
		c.log(Debug, "heartbeats too large to relay", "workers", tooLarge)
	}
	var ops []wire.Op
	for i, value := range values {
		ops = append(ops, wire.Op{Put: k.key(i), Value: value})
	}
	n := len(ops)
	for i := n; i < k.shards; i++ {
		ops = append(ops, wire.Op{Delete: k.key(i)})
	}
	// The workers of a whole zone don't fit into one transaction, which the service would
	// refuse as malformed: the leader would take them all for dead.
	k.shards = max(k.shards, n)
	left, good := len(ops), true
	for len(ops) > 0 {
		part := ops[:min(len(ops), c.limits.maxChanges(), wire.MaxBody*9/10/packer.MaxBytes)]
		ops = ops[len(part):]
		k.writeInFlight = true
		id := c.registerStoreCall(func(r Result) {
			good = good && r.Outcome == outcome.OK
			if r.Outcome == outcome.Invalid {
				c.limits.observeInvalid(wire.Txn{Then: part})
			}
			if left -= len(part); left == 0 {
				k.writeInFlight = false
				if good {
					k.shards = n
				}
			}
		})
		c.emit(StoreTxn{CallID: id, Txn: wire.Txn{Then: part}})
	}
}

func (k *leaseRelay) key(i int) string {
	return stored.RelayedHeartbeatsKey(k.core.settings.Node, i)
}

// applyRelayedHeartbeats hands heartbeats that another node relayed to the leader.
func (c *Core) applyRelayedHeartbeats(name string, value json.RawMessage) {
	if c.leader == nil || value == nil {
		return
	}
	c.observeRelay(stored.RelayingNode(name))
	heartbeats, err := stored.DecodeRelayedHeartbeats(value)
	if err != nil {
		return
	}
	for _, r := range heartbeats {
		if r != nil && r.Machine != "" && termOfFencingToken(r.FencingToken) <= c.leader.term {
			c.leader.reconcileIndirect(r, false)
		}
	}
}

// observeRelay notes that a node keeps workers, whether this one reaches it or not.
func (c *Core) observeRelay(node string) {
	c.members.ObserveRelay(node, c.now.Steady)
}

// reconcileIndirect takes in a report that came by another node, or that the worker was asked for.
// It is evidence, and the machine is alive; but starts can't reach it that way.
func (l *leader) reconcileIndirect(r *wire.Heartbeat, asked bool) {
	m := l.machines[r.Machine]
	if !l.recovered || m == nil || m.reported && (r.Incarnation < m.incarnation || r.Incarnation == m.incarnation && r.Sequence <= m.sequence) {
		return
	}
	m.lastRelayed = l.core.now.Steady
	m.setIdentity(r.Type, r.Zone, r.Addr, r.Spot)
	m.enterIncarnation(r.Incarnation)
	m.reported, m.everReported, m.missedLists = true, true, 0
	m.sequence = r.Sequence
	l.provisioner.cancelRelease(m)
	m.reclaiming = m.reclaiming || r.ReclaimNoticeS != nil
	l.reconcileTasks(m, r, asked)
}

package core

import (
	"slices"
	"time"

	"bitternwing/internal/fencing"
	"bitternwing/internal/membership"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// leaseRelay renews the leases of workers that can't reach the leader although it leads, as when two zones can't
// reach each other. It responds to their heartbeats with the leader's fencing token and relays the heartbeats through
// the key-value store, where the leader takes them as evidence like any other. It starts nothing. The only command
// that it gives by itself is to stop tasks of cancelled jobs, which is right whoever leads.
type leaseRelay struct {
	core            *Core
	term            uint64
	workers         map[string]*relayedWorker
	order           []string                 // of workers, in the order in which they came
	redirected      map[string]time.Duration // workers redirected to the leader, and when
	termConfirmedAt time.Duration            // when the leader's key was last seen to be current
	confirmInFlight bool
	nextConfirm     time.Duration
	writeInFlight   bool
	nextWrite       time.Duration
	shards          int  // keys that may hold heartbeats
	servesOtherZone bool // a worker of another zone came while this zone seemed isolated
}

// relayedWorker is a worker whose lease is renewed by the relay.
type relayedWorker struct {
	heartbeat         *wire.Heartbeat // the newest
	since             time.Duration   // when its lease was first renewed here
	renewedAt         time.Duration   // when it was last renewed here
	leaderUnreachable bool            // it can't reach the leader
}

func newLeaseRelay(c *Core) *leaseRelay {
	return &leaseRelay{core: c, workers: map[string]*relayedWorker{}, redirected: map[string]time.Duration{}}
}

// leadingPeer gives the other node that leads, as far as this node knows.
func (r *leaseRelay) leadingPeer() *membership.Peer {
	c := r.core
	if c.leader != nil || !c.cache.HasLeader() || c.cache.Leader().Node == c.settings.Node || c.storeHealth.down {
		return nil
	}
	return c.members.Peer(c.cache.Leader().Node)
}

// leadershipVacant tells whether nobody leads, between two terms: the key-value store serves this node and shows no
// leader, or an earlier process of this very node.
func (r *leaseRelay) leadershipVacant() bool {
	cache := r.core.cache
	return cache.Ready() && (!cache.HasLeader() || cache.Leader().Node == r.core.settings.Node)
}

// leaderUnreachable tells whether there is a leader that can't be reached from here.
func (r *leaseRelay) leaderUnreachable() bool {
	p := r.leadingPeer()
	return p != nil && p.Unreachable()
}

// leaderCannotReach tells whether the leader says that workers of a zone can't reach it: they need not try, which
// would cost them much of their lease.
func (r *leaseRelay) leaderCannotReach(zone string) bool {
	p := r.leadingPeer()
	return p != nil && r.core.members.Leads(p, r.core.now.Steady) && slices.Contains(p.Status().UnreachableZones, zone)
}

// termIsCurrent tells whether the leader's term was seen to be current just now, in the key-value store or by the
// leader's own status.
func (r *leaseRelay) termIsCurrent(leader *membership.Peer) bool {
	c := r.core
	return r.termConfirmedAt != 0 && c.now.Steady-r.termConfirmedAt < 2*c.times.checkInterval ||
		c.members.Leads(leader, c.now.Steady) && leader.Status().Term == c.cache.Leader().Term
}

// handleHeartbeat renews a worker's lease in the leader's place; false if this node may not, or if the worker had
// better find the leader.
func (r *leaseRelay) handleHeartbeat(in WorkerHeartbeat) bool {
	switch {
	case len(in.Heartbeat.Tasks) == 0:
		return false // there is nothing to keep alive
	case r.core.storeHealth.down:
		return r.renewDuringStoreOutage(in)
	case r.leadershipVacant():
		r.renewDuringVacancy(in)
		return true
	}
	return r.renewForLeader(in)
}

// renewDuringVacancy renews a worker's lease between two terms. Redirected to the next node, it might wait for one
// that is down, and lose its lease before it has found the next leader. The response repeats its own fencing token, as
// that of renewDuringStoreOutage does, and is safe for the same reasons.
func (r *leaseRelay) renewDuringVacancy(in WorkerHeartbeat) {
	r.core.renewLease(in.RequestID, VacancyBasis, in.Heartbeat.FencingToken, r.core.newLeaseResponse(in.Heartbeat))
}

// renewForLeader renews the lease of a worker that can't reach the leader, and relays its heartbeat.
func (r *leaseRelay) renewForLeader(in WorkerHeartbeat) bool {
	c, heartbeat := r.core, in.Heartbeat
	leader, term := r.leadingPeer(), c.cache.Leader().Term
	if leader == nil || fencing.TermOf(heartbeat.FencingToken) > term {
		return false
	}
	worker := r.workers[heartbeat.Machine]
	if worker != nil && r.shouldRetryLeader(worker, heartbeat.Zone) {
		r.redirectToLeader(heartbeat.Machine)
		return false
	}
	if !r.termIsCurrent(leader) {
		return false
	}
	if worker == nil {
		worker = r.adoptWorker(heartbeat)
	}
	worker.observe(heartbeat)
	worker.renewedAt = c.now.Steady
	if r.term != term {
		r.term = term
		c.log(Info, "lease relay started for unreachable leader", "leader", c.cache.Leader().Node, "term", term)
	}
	c.renewLease(in.RequestID, RelayBasis, max(fencing.FirstToken(term), heartbeat.FencingToken), c.newLeaseResponse(heartbeat))
	return true
}

// observe keeps a heartbeat that is newer than the last one.
func (w *relayedWorker) observe(heartbeat *wire.Heartbeat) {
	if isNewer(heartbeat, w.heartbeat.Incarnation, w.heartbeat.Sequence) {
		w.heartbeat = heartbeat
	}
}

// adoptWorker begins to renew a worker's lease. It may reach the leader from where it is: its lease is renewed once,
// for it has lost time already; then it is redirected, and kept if it comes back. One whose zone can't reach the
// leader, as this node can't, needs no proof.
func (r *leaseRelay) adoptWorker(heartbeat *wire.Heartbeat) *relayedWorker {
	c := r.core
	now := c.now.Steady
	redirectedAt, wasRedirected := r.redirected[heartbeat.Machine]
	worker := &relayedWorker{heartbeat: heartbeat, since: now}
	worker.leaderUnreachable = wasRedirected && now-redirectedAt < c.times.lease ||
		r.leaderUnreachable() && heartbeat.Zone == c.settings.Zone || r.leaderCannotReach(heartbeat.Zone)
	r.workers[heartbeat.Machine] = worker
	r.order = append(r.order, heartbeat.Machine)
	// With its next heartbeat it is redirected to the leader, which must have heard of it by then: else it counts as
	// silent there while it is on its way.
	r.nextWrite = min(r.nextWrite, now+c.times.checkInterval/2)
	c.log(Debug, "worker adopted by lease relay", "worker", heartbeat.Machine, "leader", c.cache.Leader().Node)
	return worker
}

// shouldRetryLeader tells whether a relayed worker had better look for the leader: it has not yet, or the leader is
// reachable for others, and it tries again now and then.
func (r *leaseRelay) shouldRetryLeader(worker *relayedWorker, zone string) bool {
	if r.leaderCannotReach(zone) {
		return false
	}
	return !worker.leaderUnreachable || !r.leaderUnreachable() && r.core.now.Steady-worker.since > 2*r.core.times.lease
}

// maxRedirected bounds the workers that are remembered as redirected to the leader.
const maxRedirected = 10_000

func (r *leaseRelay) redirectToLeader(machine string) {
	r.dropWorker(machine)
	if len(r.redirected) > maxRedirected {
		clear(r.redirected)
	}
	r.redirected[machine] = r.core.now.Steady
}

// renewDuringStoreOutage renews a worker's lease while this node can't reach the key-value store and so can't know
// who leads: with its whole zone isolated, or with the store unavailable to every node and none left that leads. The
// response repeats the worker's own fencing token, so it overrules nobody, and it starts nothing. It is safe whoever
// leads, since a placement never ends by the clock: what runs here counts until there is evidence of its end. A node
// that alone lost the network must not hold its workers, which could find the leader; it shows by workers of other
// zones still reaching it.
//
// It may go on for as long as the outage lasts. In an isolated zone nothing is left of jobs whose users were told of
// a cancellation; elsewhere only a node that knew the jobs before does this, which lacks no such cancellation (see
// cancellationReplicator).
func (r *leaseRelay) renewDuringStoreOutage(in WorkerHeartbeat) bool {
	c, heartbeat := r.core, in.Heartbeat
	isolated := c.members.OwnZoneIsolated(c.now.Steady, c.storeHealth.down)
	if isolated && heartbeat.Zone != c.settings.Zone {
		r.servesOtherZone = true
	}
	basis := StoreOutageBasis
	switch {
	case isolated && !r.servesOtherZone:
		basis = IsolatedZoneBasis
	case !r.mayOutlastStore():
		return false
	}
	c.renewLease(in.RequestID, basis, heartbeat.FencingToken, c.newLeaseResponse(heartbeat))
	return true
}

// mayOutlastStore tells whether the key-value store serves no node, none of them leads, and this one knew the jobs
// before.
func (r *leaseRelay) mayOutlastStore() bool {
	c := r.core
	return c.members.AllPeersLostStore(c.now.Steady) && c.members.Leader(c.now.Steady) == "" && c.cache.Ready()
}

// run keeps the knowledge of the leader's term fresh while it is needed, and writes the relayed heartbeats.
func (r *leaseRelay) run() {
	r.servesOtherZone = r.servesOtherZone && r.core.storeHealth.down
	r.confirmTerm()
	r.dropExpired()
	r.writeWhenDue()
}

// confirmTerm confirms with the key-value store now and then that the leader's term is current.
func (r *leaseRelay) confirmTerm() {
	c := r.core
	if len(r.workers) == 0 && !r.leaderUnreachable() || r.confirmInFlight {
		return
	}
	if c.now.Steady < r.nextConfirm {
		c.wakeBy(r.nextConfirm)
		return
	}
	r.confirmInFlight = true
	r.nextConfirm = c.now.Steady + c.times.checkInterval/2
	id := c.registerStoreCall(r.applyConfirmation)
	c.emit(StoreTxn{CallID: id, Txn: wire.Txn{If: []wire.Condition{c.cache.LeaderCondition()}}})
}

func (r *leaseRelay) applyConfirmation(result Result) {
	r.confirmInFlight = false
	if result.Outcome == outcome.OK {
		r.termConfirmedAt = result.SentAt
	}
}

// dropExpired drops all workers once the leader has changed, and those whose leases have not been renewed here in time.
func (r *leaseRelay) dropExpired() {
	c := r.core
	if r.leadingPeer() == nil || r.term != 0 && c.cache.Leader().Term != r.term {
		clear(r.workers)
		clear(r.redirected)
		r.order = r.order[:0]
	}
	for _, name := range slices.Clone(r.order) {
		if c.now.Steady-r.workers[name].renewedAt > c.times.lease {
			r.dropWorker(name)
		}
	}
	if r.term != 0 && len(r.workers) == 0 {
		c.log(Info, "lease relay ended")
		r.term = 0
	}
}

func (r *leaseRelay) dropWorker(name string) {
	delete(r.workers, name)
	if i := slices.Index(r.order, name); i >= 0 {
		r.order = slices.Delete(r.order, i, i+1)
	}
}

package core

import (
	"slices"
	"time"

	"bitternwing/internal/fencing"
	"bitternwing/internal/membership"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// leaseRelay renews the leases of workers that can't reach an active leader, for example because two zones can't reach
// each other. It responds to their heartbeats with the leader's fencing token and relays the heartbeats through the
// key-value store, where the leader reconciles them like any other. It starts no tasks. The only command that it sends
// is to stop tasks of cancelled jobs, which is correct whichever node leads.
type leaseRelay struct {
	core            *Core
	term            uint64
	workers         map[string]*relayedWorker
	workerOrder     []string                 // names of the workers in order of arrival
	redirected      map[string]time.Duration // when workers were redirected to the leader, by name
	termConfirmedAt time.Duration            // when the store last confirmed that the leader's key is unchanged
	confirmInFlight bool
	nextConfirm     time.Duration
	writeInFlight   bool
	nextWrite       time.Duration
	shardCount      int  // number of keys that may hold heartbeats
	servesOtherZone bool // a worker of another zone reached this node while this zone seemed isolated
}

// relayedWorker is a worker whose lease is renewed by the relay.
type relayedWorker struct {
	heartbeat         *wire.Heartbeat // newest heartbeat
	firstRenewedAt    time.Duration   // when this node first renewed the worker's lease
	renewedAt         time.Duration   // when this node last renewed the lease
	leaderUnreachable bool            // the worker can't reach the leader
}

func newLeaseRelay(c *Core) *leaseRelay {
	return &leaseRelay{core: c, workers: map[string]*relayedWorker{}, redirected: map[string]time.Duration{}}
}

// leadingPeer returns the other node that leads according to the key-value store, or nil if there is none or the store
// is unavailable.
func (r *leaseRelay) leadingPeer() *membership.Peer {
	c := r.core
	if c.leader != nil || !c.cache.HasLeader() || c.cache.Leader().Node == c.settings.Node || c.storeHealth.down {
		return nil
	}
	return c.members.Peer(c.cache.Leader().Node)
}

// leadershipVacant reports whether no node leads because one term has ended and the next has not begun: the key-value
// store shows no leader, or an earlier process of this node.
func (r *leaseRelay) leadershipVacant() bool {
	cache := r.core.cache
	return cache.Ready() && (!cache.HasLeader() || cache.Leader().Node == r.core.settings.Node)
}

// leaderUnreachable reports whether another node leads and this node can't reach it.
func (r *leaseRelay) leaderUnreachable() bool {
	p := r.leadingPeer()
	return p != nil && p.Unreachable()
}

// leaderCannotReach reports whether the leader's status says that a zone's workers can't reach it. These workers need
// not try to reach the leader then, which would cost them much of their lease.
func (r *leaseRelay) leaderCannotReach(zone string) bool {
	p := r.leadingPeer()
	return p != nil && r.core.members.Leads(p, r.core.now.Steady) && slices.Contains(p.Status().UnreachableZones, zone)
}

// termIsCurrent reports whether the key-value store or the leader's own status has recently confirmed that the leader's
// term is current.
func (r *leaseRelay) termIsCurrent(leader *membership.Peer) bool {
	c := r.core
	return r.termConfirmedAt != 0 && c.now.Steady-r.termConfirmedAt < 2*c.times.checkInterval ||
		c.members.Leads(leader, c.now.Steady) && leader.Status().Term == c.cache.Leader().Term
}

// handleHeartbeat renews a worker's lease on the leader's behalf. It returns false if this node may not do so or if the
// worker should look for the leader.
func (r *leaseRelay) handleHeartbeat(in WorkerHeartbeat) bool {
	switch {
	case len(in.Heartbeat.Tasks) == 0:
		return false // there are no tasks to keep running
	case r.core.storeHealth.down:
		return r.renewDuringStoreOutage(in)
	case r.leadershipVacant():
		r.renewDuringVacancy(in)
		return true
	}
	return r.renewForLeader(in)
}

// renewDuringVacancy renews a worker's lease between two terms. A worker that is redirected to the next node might wait
// for a node that is down, and lose its lease before it finds the next leader. The response repeats the worker's own
// fencing token, as in renewDuringStoreOutage, and is safe for the same reasons.
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
	worker.updateHeartbeat(heartbeat)
	worker.renewedAt = c.now.Steady
	if r.term != term {
		r.term = term
		c.log(Info, "lease relay started for unreachable leader", "leader", c.cache.Leader().Node, "term", term)
	}
	c.renewLease(in.RequestID, RelayBasis, max(fencing.FirstToken(term), heartbeat.FencingToken), c.newLeaseResponse(heartbeat))
	return true
}

// updateHeartbeat replaces the worker's heartbeat if the given one is newer.
func (w *relayedWorker) updateHeartbeat(heartbeat *wire.Heartbeat) {
	if isNewer(heartbeat, w.heartbeat.Incarnation, w.heartbeat.Sequence) {
		w.heartbeat = heartbeat
	}
}

// adoptWorker begins to renew a worker's lease. The worker may be able to reach the leader. Its lease is renewed once,
// because part of it has elapsed already. With its next heartbeat the worker is redirected to the leader, and if it
// returns, its lease is renewed from then on. It is not redirected if its zone is known to be unable to reach the
// leader.
func (r *leaseRelay) adoptWorker(heartbeat *wire.Heartbeat) *relayedWorker {
	c := r.core
	now := c.now.Steady
	redirectedAt, wasRedirected := r.redirected[heartbeat.Machine]
	worker := &relayedWorker{heartbeat: heartbeat, firstRenewedAt: now}
	worker.leaderUnreachable = wasRedirected && now-redirectedAt < c.times.lease ||
		r.leaderUnreachable() && heartbeat.Zone == c.settings.Zone || r.leaderCannotReach(heartbeat.Zone)
	r.workers[heartbeat.Machine] = worker
	r.workerOrder = append(r.workerOrder, heartbeat.Machine)
	// The next heartbeat is redirected to the leader. The leader must have received this one by then, or it would
	// consider the worker silent until the redirected worker reaches it.
	r.nextWrite = min(r.nextWrite, now+c.times.checkInterval/2)
	c.log(Debug, "worker adopted by lease relay", "worker", heartbeat.Machine, "leader", c.cache.Leader().Node)
	return worker
}

// shouldRetryLeader reports whether a relayed worker should look for the leader: because it has not done so yet, or
// because this node can reach the leader and two leases have passed since the worker was adopted.
func (r *leaseRelay) shouldRetryLeader(worker *relayedWorker, zone string) bool {
	if r.leaderCannotReach(zone) {
		return false
	}
	return !worker.leaderUnreachable || !r.leaderUnreachable() && r.core.now.Steady-worker.firstRenewedAt > 2*r.core.times.lease
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

// renewDuringStoreOutage renews a worker's lease while this node can't reach the key-value store and therefore can't
// know which node leads. It does so if its whole zone is isolated, or if the store is unavailable to every node and no
// node leads any more.
//
// The response repeats the worker's own fencing token, so it does not override any leader, and it starts no tasks. It
// is safe whichever node leads, because a placement never ends by a time-out: a task counts as running until there is
// evidence that it has ended. A node that alone has lost its connection to the other nodes must not keep its workers,
// because they could find the leader. Such a node recognizes this by workers of other zones that still reach it.
//
// Renewal may continue for as long as the outage lasts. In an isolated zone no task is left of a job whose cancellation
// was confirmed to a user. Elsewhere only a node that knew the jobs before the outage renews leases, and such a node
// has all confirmed cancellations (see cancellationReplicator).
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
	case !r.mayRenewWithoutStore():
		return false
	}
	c.renewLease(in.RequestID, basis, heartbeat.FencingToken, c.newLeaseResponse(heartbeat))
	return true
}

// mayRenewWithoutStore reports whether the key-value store is unavailable to all nodes, no node leads, and this node
// knew the jobs before the outage.
func (r *leaseRelay) mayRenewWithoutStore() bool {
	c := r.core
	return c.members.AllPeersLostStore(c.now.Steady) && c.members.Leader(c.now.Steady) == "" && c.cache.Ready()
}

// run confirms the leader's term while that is needed, drops expired workers and writes the relayed heartbeats.
func (r *leaseRelay) run() {
	r.servesOtherZone = r.servesOtherZone && r.core.storeHealth.down
	r.confirmTerm()
	r.dropExpired()
	r.writeWhenDue()
}

// confirmTerm asks the key-value store every half check interval whether the leader's term is still current.
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

// dropExpired drops all workers once the leader has changed, and otherwise those whose leases this node has not renewed
// in time.
func (r *leaseRelay) dropExpired() {
	c := r.core
	if r.leadingPeer() == nil || r.term != 0 && c.cache.Leader().Term != r.term {
		clear(r.workers)
		clear(r.redirected)
		r.workerOrder = r.workerOrder[:0]
	}
	for _, name := range slices.Clone(r.workerOrder) {
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
	if i := slices.Index(r.workerOrder, name); i >= 0 {
		r.workerOrder = slices.Delete(r.workerOrder, i, i+1)
	}
}

package core

import (
	"time"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// election decides whether this node leads. The lead key stands on a lease; the
// term key has none and is counted up with each win. Safety rests on the term
// alone: every write of a leader is conditional on the version of its term key,
// and the term is the token that workers compare. The lease only keeps two nodes
// from taking turns.
type election struct {
	core             *Core
	campaignInFlight bool

	lease           uint64
	deadline        time.Duration // the lease is good until here, by this node's clock
	nextCampaign    time.Duration // no candidacy before this
	nextRenewal     time.Duration
	renewalInFlight bool          // an extend is under way
	vacantSince     time.Duration // since when no leader is known; 0: one is
	ttl             time.Duration // of the lease
	lastTermLed     uint64        // the last term that this process led
	barredLogged    bool          // it is logged that this node must not lead
	termsLed        uint64        // by this process, all in all
	history         termHistory
}

func newElection(c *Core) *election { return &election{core: c} }

// maxClockDrift is what the steady clock may be off, doubled for safety.
const maxClockDrift = 0.001

// safeLeaseDuration is for how long the lease is certainly good once it is renewed.
func (e *election) safeLeaseDuration() time.Duration {
	return time.Duration(float64(e.ttl) * (1 - maxClockDrift))
}

func (e *election) run() {
	c := e.core
	e.history.observe(c.now.Steady, c.cache.term.Number)
	if c.leader != nil {
		e.maintainLease()
		return
	}
	if e.campaignInFlight || !c.cache.ready {
		return
	}
	if c.cache.leaderVersion != 0 {
		e.vacantSince = 0
		// An earlier process of this very node still holds the lease: it is dead,
		// so its lease may end now. The same goes for a win of our own that we
		// only learn of here.
		if l := c.cache.leader; l.Node == c.settings.Node && c.now.Steady >= e.nextCampaign {
			e.campaignInFlight = true
			e.nextCampaign = c.now.Steady + c.times.retryPause
			e.revoke(l.Lease, func() { e.campaignInFlight = false })
		}
		return
	}
	if e.vacantSince == 0 {
		e.vacantSince = c.now.Steady
	}
	if due := max(e.nextCampaign, e.vacantSince+e.campaignDelay()); c.now.Steady < due {
		c.wakeBy(due)
		return
	}
	if c.storeDown {
		return
	}
	if c.quotasDividedElsewhere() {
		if !e.barredLogged {
			e.barredLogged = true
			c.log(Error, "candidacy blocked: quotas are divided among regions and the settings name none")
		}
		return
	}
	e.campaign()
}

func (e *election) revoke(lease uint64, then func()) {
	id := e.core.registerStoreCall(func(Result) {
		if then != nil {
			then()
		}
	})
	e.core.emit(StoreRevokeLease{CallID: id, Lease: lease})
}

// campaignDelay makes a node wait a little where another would lead better.
func (e *election) campaignDelay() time.Duration {
	wait := e.core.times.checkInterval / 4 * time.Duration(min(2, max(0, e.failoverHops(e.core.settings.Node)-1)))
	if e.sharesZoneWithNext(e.core.settings.Node) || e.precedesDeadNode(e.core.settings.Node, 0) && e.anyOtherCandidate(func(node string) bool { return !e.precedesDeadNode(node, 0) }) {
		wait += e.core.times.checkInterval / 2
	}
	return wait
}

// anyOtherCandidate tells whether another node that could lead is of a kind.
func (e *election) anyOtherCandidate(of func(node string) bool) bool {
	for _, p := range e.core.members.Peers() {
		if e.core.members.RecentlyHeard(p, e.core.now.Steady) && !p.Status().StoreDown && of(p.Name()) {
			return true
		}
	}
	return false
}

// precedesDeadNode tells whether the node that workers try after this one has not answered for a
// while. Were this one to lead and then to stand still, its workers would wait for both in
// turn, which takes all of their lease. A node that keeps workers, as while two zones are apart, is there
// although it is out of reach.
func (e *election) precedesDeadNode(node string, quiet time.Duration) bool {
	c := e.core
	next := ""
	for _, n := range e.core.members.FailoverOrder() {
		if n.Name > node {
			next = n.Name
			break
		}
	}
	if next == "" {
		next = e.core.members.FailoverOrder()[0].Name
	}
	p := c.members.Peer(next)
	return p != nil && c.members.SuspectedDown(p, c.now.Steady, quiet)
}

// zonesAfter gives the zones of a node and of those that workers try after it, in turn;
// none if all are in one zone.
func (e *election) zonesAfter(node string) (own string, next []string) {
	ring := e.core.members.FailoverOrder()
	at, several := 0, false
	for i, n := range ring {
		several = several || n.Zone != e.core.settings.Zone
		if n.Name == node {
			at = i
		}
	}
	if !several {
		return ring[at].Zone, nil
	}
	for i := 1; i < len(ring); i++ {
		next = append(next, ring[(at+i)%len(ring)].Zone)
	}
	return ring[at].Zone, next
}

// failoverHops tells how many nodes in a row, after a leader's end, workers may try in vain
// when a zone is cut off: each that doesn't answer costs them almost half of their lease.
// It is the run of nodes of one zone that follows the leader.
func (e *election) failoverHops(node string) int {
	_, next := e.zonesAfter(node)
	run := min(1, len(next))
	for run > 0 && run < len(next) && next[run] == next[0] {
		run++
	}
	return run
}

// sharesZoneWithNext tells whether a node would lead badly: the next one is in its own zone, and
// both are lost when that is cut off.
func (e *election) sharesZoneWithNext(node string) bool {
	own, next := e.zonesAfter(node)
	return len(next) > 0 && next[0] == own
}

// betterCandidateExists tells whether this leader is exposed, or the node after it is gone, while another
// node of which neither holds has been there for a while.
func (e *election) betterCandidateExists() bool {
	c := e.core
	if c.timerLoad.Level(c.now.Steady) > shedBelow {
		return false // a takeover takes more processor time than there is
	}
	worse := func(node string) bool { return e.sharesZoneWithNext(node) || e.precedesDeadNode(node, c.times.lease) }
	if c.now.Steady-c.leader.startedAt < 2*c.times.lease || !worse(c.settings.Node) {
		return false
	}
	for _, p := range c.members.Peers() {
		if c.members.RecentlyHeard(p, c.now.Steady) && !c.members.ReachableForChecks(p, c.now.Steady) {
			return false
		}
	}
	return e.anyOtherCandidate(func(node string) bool { return !worse(node) })
}

// campaign runs for the next term: a lease, then the lead and the term in one
// transaction.
func (e *election) campaign() {
	c := e.core
	e.campaignInFlight = true
	ttl := c.times.leaderTTL
	if e.lastLeaderAlive() {
		ttl = e.history.leaseTTL(c.now.Steady, c.times)
	}
	fail := func() {
		e.campaignInFlight = false
		e.nextCampaign = c.now.Steady + c.times.retryPause
	}
	id := c.registerStoreCall(func(g Result) {
		if g.Outcome != outcome.OK {
			fail()
			return
		}
		if c.cache.leaderVersion != 0 {
			e.revoke(g.Lease, nil)
			fail()
			return
		}
		term := c.cache.term.Number + 1
		lead, err1 := stored.Leader{Node: c.settings.Node, Incarnation: c.incarnation, Lease: g.Lease, Term: term}.Encode()
		tv, err2 := c.encodeTerm(stored.Term{Number: term, Node: c.settings.Node}, c.layout())
		if err1 != nil || err2 != nil {
			fail()
			return
		}
		id := c.registerStoreCall(func(r Result) {
			if r.Outcome == outcome.OK {
				e.campaignInFlight = false
				e.becomeLeader(term, r.Txn.Revision, g, ttl)
				return
			}
			// Unknown: if the transaction was or gets applied, the watch shows
			// this node as leader and the lease is revoked from there.
			e.revoke(g.Lease, nil)
			fail()
		})
		c.emit(StoreTxn{CallID: id, Txn: wire.Txn{
			If:   []wire.Condition{{Key: stored.LeaderKey}, {Key: stored.TermKey, Version: c.cache.termVersion}},
			Then: []wire.Op{{Put: stored.LeaderKey, Value: lead, Lease: g.Lease}, {Put: stored.TermKey, Value: tv}},
		}})
	})
	c.emit(StoreGrantLease{CallID: id, TTL: ttl})
}

// lastLeaderAlive tells whether the process that led last has not ended: it lost its lease all the same.
func (e *election) lastLeaderAlive() bool {
	c := e.core
	last := c.cache.term
	if last.Node == c.settings.Node {
		return e.lastTermLed != 0 && e.lastTermLed == last.Number
	}
	p := c.members.Peer(last.Node)
	return p != nil && c.members.RecentlyHeard(p, c.now.Steady) && p.Status().Term >= last.Number
}

func (e *election) becomeLeader(term, version uint64, grant Result, ttl time.Duration) {
	c := e.core
	e.lease, e.ttl, e.lastTermLed = grant.Lease, ttl, term
	e.termsLed++
	// The lease's time began when the service made it, which was no earlier than
	// the request was sent.
	e.deadline = grant.SentAt + e.safeLeaseDuration()
	e.nextRenewal = c.now.Steady
	e.renewalInFlight = false
	c.log(Info, "elected leader", "term", term)
	c.log(Debug, "term started", "term", term, "fencing_token", firstFencingToken(term), "entitled_ms", (e.deadline - c.now.Steady).Milliseconds(),
		"term_revision", version, "revision", c.cache.revision)
	c.leader = newLeader(c, term, version)
	if version > c.cache.termVersion {
		c.cache.term, c.cache.termVersion = stored.Term{Number: term, Node: c.settings.Node}, version
	}
}

// maintainLease renews the lease of a leader. Past its deadline a leader only waits: it
// neither writes nor starts anything until an extend tells that it still holds
// the lease, as after an outage of the state service, or that it lost it.
func (e *election) maintainLease() {
	c := e.core
	if c.cache.term.Number > c.leader.term {
		e.stepDown("newer term observed")
		return
	}
	why := ""
	switch {
	case !e.leaseValid():
	case c.members.WorkersReachOnlyPeers(c.now.Steady, max(c.leader.startedAt, c.lastHeartbeat)) && len(c.leader.machines) > 0:
		why = "workers reach other nodes only"
	case e.betterCandidateExists():
		why = "better candidate available"
	}
	if why != "" {
		lease := e.lease
		e.stepDown(why)
		e.nextCampaign = c.now.Steady + c.times.lease
		e.revoke(lease, nil)
		return
	}
	if e.renewalInFlight {
		return
	}
	if c.now.Steady < e.nextRenewal {
		c.wakeBy(e.nextRenewal)
		return
	}
	e.renewalInFlight = true
	lease := e.lease
	id := c.registerStoreCall(func(r Result) {
		if c.leader == nil || e.lease != lease {
			return
		}
		e.renewalInFlight = false
		switch r.Outcome {
		case outcome.OK:
			if !e.leaseValidAt(c.now.Steady) {
				c.log(Debug, "leader lease renewed after expiry", "term", c.leader.term, "after_ms", (c.now.Steady - e.deadline).Milliseconds())
			}
			e.deadline = max(e.deadline, r.SentAt+e.safeLeaseDuration())
			e.nextRenewal = r.SentAt + e.ttl/4
		case outcome.NotFound:
			e.stepDown("leader lease expired")
		default:
			e.nextRenewal = c.now.Steady + e.ttl/12
		}
	})
	c.emit(StoreRenewLease{CallID: id, Lease: e.lease})
}

// leaseValidAt tells whether this leader's lease is certainly good at a time.
func (e *election) leaseValidAt(now time.Duration) bool { return now < e.deadline }

// leaseValid tells whether this leader's lease is certainly good now, and has the core wake when it is no more.
func (e *election) leaseValid() bool {
	if e.leaseValidAt(e.core.now.Steady) {
		e.core.wakeBy(e.deadline)
		return true
	}
	return false
}

func (e *election) stepDown(why string) {
	c := e.core
	if c.leader == nil {
		return
	}
	c.log(Info, "stepped down as leader", "term", c.leader.term, "reason", why)
	c.leader.redirectHeldResponses()
	c.leader.rollouts.refuseWaiting()
	c.leader.quotas.refuseWaiting()
	c.leader = nil
	e.lease = 0
	e.nextCampaign = c.now.Steady + c.times.retryPause
}

package core

import (
	"encoding/json"
	"sort"
	"time"

	"bitternwing/internal/call"
	"bitternwing/internal/config"
	"bitternwing/internal/wire"
)

// election decides whether this node leads. The lead key stands on a lease; the
// term key has none and is counted up with each win. Safety rests on the term
// alone: every write of a leader is conditional on the version of its term key,
// and the term is the token that workers compare. The lease only keeps two nodes
// from taking turns.
type election struct {
	c    *Core
	busy bool

	lease    uint64
	deadline time.Duration // the lease is good until here, by this node's clock
	notNow   time.Duration // no candidacy before this
	extendAt time.Duration
	extend   bool          // an extend is under way
	vacantAt time.Duration // since when no leader is known; 0: one is
	ttl      time.Duration // of the lease
	ledTerm  uint64        // the last term that this process led
	barred   bool          // it is logged that this node must not lead
	termsLed uint64        // by this process, all in all
	history  termHistory
}

func newElection(c *Core) *election { return &election{c: c} }

// drift is what the steady clock may be off, doubled for safety.
const drift = 0.001

// leaseDuration is for how long the lease is certainly good once it is renewed.
func (e *election) leaseDuration() time.Duration {
	return time.Duration(float64(e.ttl) * (1 - drift))
}

func (e *election) run() {
	c := e.c
	e.history.notice(c.now.Steady, c.dir.term.Term)
	if c.lead != nil {
		e.keep()
		return
	}
	if e.busy || !c.dir.ready {
		return
	}
	if c.dir.leadVersion != 0 {
		e.vacantAt = 0
		// An earlier process of this very node still holds the lease: it is dead,
		// so its lease may end now. The same goes for a win of our own that we
		// only learn of here.
		if l := c.dir.lead; l.Node == c.set.Node && c.now.Steady >= e.notNow {
			e.busy = true
			e.notNow = c.now.Steady + c.t.retry
			e.revoke(l.Lease, func() { e.busy = false })
		}
		return
	}
	if e.vacantAt == 0 {
		e.vacantAt = c.now.Steady
	}
	if due := max(e.notNow, e.vacantAt+e.electionDelay()); c.now.Steady < due {
		c.at(due)
		return
	}
	if c.stateDown {
		return
	}
	if c.dividedElsewhere() {
		if !e.barred {
			e.barred = true
			c.log(Error, "this node must not lead: the teams' limits are divided among regions, and its settings name none")
		}
		return
	}
	e.campaign()
}

func (e *election) revoke(lease uint64, then func()) {
	id := e.c.stateCall(func(Result) {
		if then != nil {
			then()
		}
	})
	e.c.send(StateRevoke{ID: id, Lease: lease})
}

// electionDelay makes a node wait a little where another would lead better.
func (e *election) electionDelay() time.Duration {
	wait := e.c.t.heartbeat / 4 * time.Duration(min(2, max(0, e.detour(e.c.set.Node)-1)))
	if e.exposed(e.c.set.Node) || e.beforeGap(e.c.set.Node, 0) && e.other(func(node string) bool { return !e.beforeGap(node, 0) }) {
		wait += e.c.t.heartbeat / 2
	}
	return wait
}

// other tells whether another node that could lead is of a kind.
func (e *election) other(of func(node string) bool) bool {
	for _, p := range e.c.peers {
		if e.c.fresh(p) && !p.status.StateDown && of(p.node) {
			return true
		}
	}
	return false
}

// beforeGap tells whether the node that workers try after this one has not answered for a
// while. Were this one to lead and then to stand still, its workers would wait for both in
// turn, which takes all of their lease. A node that keeps workers, as while two zones are apart, is there
// although it is out of reach.
func (e *election) beforeGap(node string, quiet time.Duration) bool {
	c := e.c
	next := ""
	for _, n := range e.ring() {
		if n.Node > node {
			next = n.Node
			break
		}
	}
	if next == "" {
		next = e.ring()[0].Node
	}
	for _, p := range c.peers {
		if p.node == next {
			keeps := p.relayedAt != 0 && c.now.Steady-p.relayedAt < c.t.lease
			return p.tried && !p.reached && c.now.Steady-p.heardAt > quiet && !keeps
		}
	}
	return false
}

// ring gives all nodes in the order in which workers try them.
func (e *election) ring() []config.Peer {
	set := e.c.set
	ring := append([]config.Peer{{Node: set.Node, Zone: set.Zone}}, set.Peers...)
	sort.Slice(ring, func(a, b int) bool { return ring[a].Node < ring[b].Node })
	return ring
}

// following gives the zones of a node and of those that workers try after it, in turn;
// none if all are in one zone.
func (e *election) following(node string) (own string, next []string) {
	ring := e.ring()
	at, several := 0, false
	for i, n := range ring {
		several = several || n.Zone != e.c.set.Zone
		if n.Node == node {
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

// detour tells how many nodes in a row, after a leader's end, workers may try in vain
// when a zone is cut off: each that doesn't answer costs them almost half of their lease.
// It is the run of nodes of one zone that follows the leader.
func (e *election) detour(node string) int {
	_, next := e.following(node)
	run := min(1, len(next))
	for run > 0 && run < len(next) && next[run] == next[0] {
		run++
	}
	return run
}

// exposed tells whether a node would lead badly: the next one is in its own zone, and
// both are lost when that is cut off.
func (e *election) exposed(node string) bool {
	own, next := e.following(node)
	return len(next) > 0 && next[0] == own
}

// betterPlaced tells whether this leader is exposed, or the node after it is gone, while another
// node of which neither holds has been there for a while.
func (e *election) betterPlaced() bool {
	c := e.c
	if c.load.Level(c.now.Steady) > shedBelow {
		return false // a takeover takes more processor time than there is
	}
	worse := func(node string) bool { return e.exposed(node) || e.beforeGap(node, c.t.lease) }
	if c.now.Steady-c.lead.since < 2*c.t.lease || !worse(c.set.Node) {
		return false
	}
	for _, p := range c.peers {
		// After a cut the nodes are heard again one after the other.
		if c.fresh(p) && c.now.Steady-p.backAt < 3*c.t.heartbeat {
			return false
		}
	}
	return e.other(func(node string) bool { return !worse(node) })
}

// campaign runs for the next term: a lease, then the lead and the term in one
// transaction.
func (e *election) campaign() {
	c := e.c
	e.busy = true
	ttl := c.t.leaderTTL
	if e.lastLeaderIsThere() {
		ttl = e.history.leaseTTL(c.now.Steady, c.t)
	}
	fail := func() {
		e.busy = false
		e.notNow = c.now.Steady + c.t.retry
	}
	id := c.stateCall(func(g Result) {
		if g.Outcome != call.OK {
			fail()
			return
		}
		if c.dir.leadVersion != 0 {
			e.revoke(g.Lease, nil)
			fail()
			return
		}
		term := c.dir.term.Term + 1
		lead, err1 := json.Marshal(leadValue{c.set.Node, c.incarnation, g.Lease, term})
		tv, err2 := c.encodeTermIn(termValue{term, c.set.Node}, c.layout())
		if err1 != nil || err2 != nil {
			fail()
			return
		}
		id := c.stateCall(func(r Result) {
			if r.Outcome == call.OK {
				e.busy = false
				e.win(term, r.Txn.Revision, g, ttl)
				return
			}
			// Unknown: if the transaction was or gets applied, the watch shows
			// this node as leader and the lease is revoked from there.
			e.revoke(g.Lease, nil)
			fail()
		})
		c.send(StateTxn{ID: id, Txn: wire.Txn{
			If:   []wire.Condition{{Key: keyLead}, {Key: keyTerm, Version: c.dir.termVersion}},
			Then: []wire.Op{{Put: keyLead, Value: lead, Lease: g.Lease}, {Put: keyTerm, Value: tv}},
		}})
	})
	c.send(StateGrant{ID: id, TTL: ttl})
}

// lastLeaderIsThere tells whether the process that led last has not ended: it lost its lease all the same.
func (e *election) lastLeaderIsThere() bool {
	c := e.c
	last := c.dir.term
	if last.Node == c.set.Node {
		return e.ledTerm != 0 && e.ledTerm == last.Term
	}
	for _, p := range c.peers {
		if p.node == last.Node {
			return c.fresh(p) && p.status.Term >= last.Term
		}
	}
	return false
}

func (e *election) win(term, version uint64, grant Result, ttl time.Duration) {
	c := e.c
	e.lease, e.ttl, e.ledTerm = grant.Lease, ttl, term
	e.termsLed++
	// The lease's time began when the service made it, which was no earlier than
	// the request was sent.
	e.deadline = grant.Sent + e.leaseDuration()
	e.extendAt = c.now.Steady
	e.extend = false
	c.log(Info, "leading", "term", term)
	c.log(Debug, "term begins", "term", term, "token", firstToken(term), "entitled_ms", (e.deadline - c.now.Steady).Milliseconds(),
		"won_at_revision", version, "read_up_to", c.dir.revision)
	c.lead = newLeader(c, term, version)
	if version > c.dir.termVersion {
		c.dir.term, c.dir.termVersion = termValue{term, c.set.Node}, version
	}
}

// keep renews the lease of a leader. Past its deadline a leader only waits: it
// neither writes nor starts anything until an extend tells that it still holds
// the lease, as after an outage of the state service, or that it lost it.
func (e *election) keep() {
	c := e.c
	if c.dir.term.Term > c.lead.term {
		e.stepDown("a newer term is known")
		return
	}
	why := ""
	switch {
	case !e.inTime():
	case c.workersElsewhere(c.lead.since) && len(c.lead.machines) > 0:
		why = "workers report to other nodes only"
	case e.betterPlaced():
		why = "another node is better placed"
	}
	if why != "" {
		lease := e.lease
		e.stepDown(why)
		e.notNow = c.now.Steady + c.t.lease
		e.revoke(lease, nil)
		return
	}
	if e.extend {
		return
	}
	if c.now.Steady < e.extendAt {
		c.at(e.extendAt)
		return
	}
	e.extend = true
	lease := e.lease
	id := c.stateCall(func(r Result) {
		if c.lead == nil || e.lease != lease {
			return
		}
		e.extend = false
		switch r.Outcome {
		case call.OK:
			if !e.leaseGood(c.now.Steady) {
				c.log(Debug, "entitled again", "term", c.lead.term, "after_ms", (c.now.Steady - e.deadline).Milliseconds())
			}
			e.deadline = max(e.deadline, r.Sent+e.leaseDuration())
			e.extendAt = r.Sent + e.ttl/4
		case call.Missing:
			e.stepDown("the lease ended")
		default:
			e.extendAt = c.now.Steady + e.ttl/12
		}
	})
	c.send(StateExtend{ID: id, Lease: e.lease})
}

// leaseGood tells whether this leader's lease is certainly good at a time.
func (e *election) leaseGood(now time.Duration) bool { return now < e.deadline }

// inTime tells whether this leader's lease is certainly good now, and has the core wake when it is no more.
func (e *election) inTime() bool {
	if e.leaseGood(e.c.now.Steady) {
		e.c.at(e.deadline)
		return true
	}
	return false
}

func (e *election) stepDown(why string) {
	c := e.c
	if c.lead == nil {
		return
	}
	c.log(Info, "no longer leading", "term", c.lead.term, "why", why)
	c.lead.refuseHeld()
	c.lead.plans.refuseWaiting()
	c.lead.allowances.refuseWaiting()
	c.lead = nil
	e.lease = 0
	e.notNow = c.now.Steady + c.t.retry
}

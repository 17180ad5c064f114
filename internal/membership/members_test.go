package membership

import (
	"slices"
	"testing"
	"time"
)

const (
	checkInterval = time.Second
	workerLease   = 9 * time.Second
	start         = time.Minute
)

// newTestMembers gives the view of controller b in zone z1; a is in its zone, c and d are in z2. All peers answered at
// start.
func newTestMembers() *Members {
	m := New(Node{"b", "z1"}, []Node{{"d", "z2"}, {"a", "z1"}, {"c", "z2"}}, Timing{CheckInterval: checkInterval, WorkerLease: workerLease})
	for _, p := range m.Peers() {
		answer(p, Status{Term: 1, HeartbeatAge: -1})
	}
	return m
}

// answer has a peer answer a query at start.
func answer(p *Peer, status Status) {
	p.QueryStarted(start)
	p.QueryAnswered(start, status)
}

func fail(p *Peer, now time.Duration) {
	p.QueryStarted(now)
	p.QueryFailed()
}

func TestFailoverOrderIsByName(t *testing.T) {
	var names []string
	for _, node := range newTestMembers().FailoverOrder() {
		names = append(names, node.Name)
	}
	if want := []string{"a", "b", "c", "d"}; !slices.Equal(names, want) {
		t.Errorf("failover order is %v, want %v", names, want)
	}
}

func TestAnswerIsRecentForAFewChecks(t *testing.T) {
	m := newTestMembers()
	p := m.Peer("a")
	if !m.RecentlyHeard(p, start+2*checkInterval) {
		t.Error("an answer of two checks ago is not recent")
	}
	if m.RecentlyHeard(p, start+recentChecks*checkInterval) {
		t.Error("an answer of three checks ago is recent")
	}
	fail(p, start+checkInterval)
	if m.RecentlyHeard(p, start+checkInterval) {
		t.Error("a peer that did not answer the last query counts as heard")
	}
}

func TestProgressOfPeerOnlyGrows(t *testing.T) {
	m := newTestMembers()
	p := m.Peer("a")
	answer(p, Status{Revision: 7, RecordLayouts: 2, SupportsRollouts: true})
	answer(p, Status{}) // restarted, it has yet to read the store
	if p.Revision() != 7 || p.recordLayouts != 2 || !p.supportsRollouts {
		t.Errorf("revision %d, layouts %d, rollouts %v", p.Revision(), p.recordLayouts, p.supportsRollouts)
	}
}

func TestUnresolvedCancellations(t *testing.T) {
	p := newTestMembers().Peer("a")
	answer(p, Status{UnresolvedCancellations: []string{"run-1"}})
	if !p.Unresolved("run-1") || p.Unresolved("run-2") {
		t.Error("the listed job alone is unresolved")
	}
	answer(p, Status{MoreUnresolved: true})
	if !p.Unresolved("run-2") {
		t.Error("with more than are listed every job may be unresolved")
	}
}

func TestLeaderIsThePeerWithTheNewestTerm(t *testing.T) {
	m := newTestMembers()
	if got := m.Leader(start); got != "" {
		t.Errorf("leader is %q, none was heard of", got)
	}
	answer(m.Peer("c"), Status{Leading: true, Term: 4})
	answer(m.Peer("a"), Status{Leading: true, Term: 5})
	if got := m.Leader(start); got != "a" {
		t.Errorf("leader is %q, want a, of the newer term", got)
	}
	if got := m.Leader(start + recentChecks*checkInterval); got != "" {
		t.Errorf("leader is %q, not heard of for long", got)
	}
}

func TestSuspectedDown(t *testing.T) {
	m := newTestMembers()
	p := m.Peer("c")
	now := start + 2*checkInterval
	if m.SuspectedDown(p, now, 0) {
		t.Error("a reachable peer is suspected")
	}
	fail(p, now)
	if !m.SuspectedDown(p, now, 0) || m.SuspectedDown(p, now, 2*checkInterval) {
		t.Error("a peer that does not answer is suspected once it is silent for longer than the time")
	}
	m.ObserveRelay("c", now)
	if m.SuspectedDown(p, now+workerLease-1, 0) || !m.SuspectedDown(p, now+workerLease, 0) {
		t.Error("a peer that relays heartbeats is alive for a worker's lease")
	}
}

func TestStoreOutageNeedsAllPeers(t *testing.T) {
	m := newTestMembers()
	for _, p := range m.Peers() {
		answer(p, Status{StoreDown: true, Term: 3})
	}
	if !m.StoreOutageConfirmed(start, 3) || !m.AllPeersLostStore(start) || m.AnyPeerServed(start) {
		t.Error("all peers say that the store is down, of no newer term")
	}
	if m.StoreOutageConfirmed(start, 2) || !m.AllPeersLostStore(start) {
		t.Error("a newer term contradicts the outage, but not that all lost the store")
	}
	fail(m.Peer("a"), start)
	if m.StoreOutageConfirmed(start, 3) || m.AllPeersLostStore(start) {
		t.Error("a peer that does not answer may be served")
	}
	answer(m.Peer("a"), Status{Term: 3})
	if m.AllPeersLostStore(start) || !m.AnyPeerServed(start) {
		t.Error("a peer is served")
	}
}

func TestWorkersReachOnlyPeers(t *testing.T) {
	m := newTestMembers()
	silence := workerLease / 3
	if m.WorkersReachOnlyPeers(start, start-silence) {
		t.Error("no worker reaches a peer")
	}
	answer(m.Peer("d"), Status{HeartbeatAge: time.Second})
	if !m.WorkersReachOnlyPeers(start, start-silence) {
		t.Error("a worker reached a peer a second ago, and none this node for long")
	}
	if m.WorkersReachOnlyPeers(start, start-silence+1) {
		t.Error("a worker reached this node a little while ago")
	}
}

func TestOwnZoneIsolated(t *testing.T) {
	isolate := func(m *Members) {
		fail(m.Peer("c"), start)
		fail(m.Peer("d"), start)
		answer(m.Peer("a"), Status{StoreDown: true})
	}
	for _, x := range []struct {
		name      string
		change    func(*Members)
		storeDown bool
		want      bool
	}{
		{"no node outside and no store", func(*Members) {}, true, true},
		{"the store serves this node", func(*Members) {}, false, false},
		{"a node outside answers", func(m *Members) { answer(m.Peer("d"), Status{StoreDown: true}) }, true, false},
		{"the store serves a node inside", func(m *Members) { answer(m.Peer("a"), Status{}) }, true, false},
		{"no node inside answers", func(m *Members) { fail(m.Peer("a"), start) }, true, false},
	} {
		m := newTestMembers()
		isolate(m)
		x.change(m)
		if got := m.OwnZoneIsolated(start, x.storeDown); got != x.want {
			t.Errorf("%s: %v, want %v", x.name, got, x.want)
		}
	}
	if unqueried := New(Node{"b", "z1"}, []Node{{"c", "z2"}}, Timing{}); unqueried.OwnZoneIsolated(start, true) {
		t.Error("a node that was not queried yet counts as out of reach")
	}
}

func TestZoneIsolated(t *testing.T) {
	m := newTestMembers()
	fail(m.Peer("c"), start)
	if m.ZoneIsolated("z2") {
		t.Error("d in z2 answers")
	}
	fail(m.Peer("d"), start)
	fail(m.Peer("a"), start)
	if !m.ZoneIsolated("z2") || m.ZoneIsolated("z1") || m.ZoneIsolated("z3") {
		t.Error("z2 alone is another zone with controllers of which none answers")
	}
}

func TestZoneRenewsOwnLeases(t *testing.T) {
	m := newTestMembers()
	if !m.ZoneRenewsOwnLeases("z1") || !m.ZoneRenewsOwnLeases("z2") || m.ZoneRenewsOwnLeases("z3") {
		t.Error("the zones with controllers are z1 and z2")
	}
	if New(Node{"a", "z1"}, []Node{{"b", "z1"}}, Timing{}).ZoneRenewsOwnLeases("z1") {
		t.Error("a zone with all controllers can't be cut off from others")
	}
}

func TestVersionSupportNeedsAllPeers(t *testing.T) {
	m := newTestMembers()
	for _, p := range m.Peers() {
		if m.AllSupportRollouts() || m.AllSupportRecordLayout(2) {
			t.Errorf("%s has not said what it supports", p.Name())
		}
		answer(p, Status{RecordLayouts: 2, SupportsRollouts: true})
	}
	if !m.AllSupportRollouts() || !m.AllSupportRecordLayout(2) || m.AllSupportRecordLayout(3) {
		t.Error("all have said that they support rollouts and the second layout")
	}
}

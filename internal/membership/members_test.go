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

// newTestMembers returns the view of node b in zone z1. Node a is in the same zone, c and d are in z2. All peers
// answered a query at start.
func newTestMembers() *Members {
	m := New(Node{"b", "z1"}, []Node{{"d", "z2"}, {"a", "z1"}, {"c", "z2"}}, Timing{CheckInterval: checkInterval, WorkerLease: workerLease})
	for _, p := range m.Peers() {
		answerQuery(p, Status{Term: 1, HeartbeatAge: -1})
	}
	return m
}

// answerQuery lets a peer answer a query at start.
func answerQuery(p *Peer, status Status) {
	p.QueryStarted(start)
	p.QueryAnswered(start, status)
}

func failQuery(p *Peer, now time.Duration) {
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

func TestResponseIsRecentForAFewChecks(t *testing.T) {
	m := newTestMembers()
	p := m.Peer("a")
	if !m.RecentlyHeard(p, start+2*checkInterval) {
		t.Error("a response two checks ago does not count as recent")
	}
	if m.RecentlyHeard(p, start+recentChecks*checkInterval) {
		t.Error("a response three checks ago counts as recent")
	}
	failQuery(p, start+checkInterval)
	if m.RecentlyHeard(p, start+checkInterval) {
		t.Error("a peer that did not answer the last query counts as recently heard")
	}
}

func TestProgressOfPeerOnlyGrows(t *testing.T) {
	m := newTestMembers()
	p := m.Peer("a")
	answerQuery(p, Status{Revision: 7, MaxRecordLayout: 2, SupportsRollouts: true})
	answerQuery(p, Status{}) // the peer restarted and has not read the store yet
	if p.Revision() != 7 || p.maxRecordLayout != 2 || !p.supportsRollouts {
		t.Errorf("revision %d, layouts %d, rollouts %v; want 7, 2, true", p.Revision(), p.maxRecordLayout, p.supportsRollouts)
	}
}

func TestUnresolvedCancellations(t *testing.T) {
	p := newTestMembers().Peer("a")
	answerQuery(p, Status{UnresolvedCancellations: []string{"run-1"}})
	if !p.Unresolved("run-1") || p.Unresolved("run-2") {
		t.Error("Unresolved does not hold for exactly the listed job")
	}
	answerQuery(p, Status{MoreUnresolved: true})
	if !p.Unresolved("run-2") {
		t.Error("a job is resolved although the list is incomplete")
	}
}

func TestLeaderIsThePeerWithTheNewestTerm(t *testing.T) {
	m := newTestMembers()
	if got := m.Leader(start); got != "" {
		t.Errorf("leader is %q, want none: no peer leads", got)
	}
	answerQuery(m.Peer("c"), Status{Leading: true, Term: 4})
	answerQuery(m.Peer("a"), Status{Leading: true, Term: 5})
	if got := m.Leader(start); got != "a" {
		t.Errorf("leader is %q, want a, which has the newer term", got)
	}
	if got := m.Leader(start + recentChecks*checkInterval); got != "" {
		t.Errorf("leader is %q, want none: the responses are not recent", got)
	}
}

func TestSuspectedDown(t *testing.T) {
	m := newTestMembers()
	p := m.Peer("c")
	now := start + 2*checkInterval
	if m.SuspectedDown(p, now, 0) {
		t.Error("a reachable peer is suspected to be down")
	}
	failQuery(p, now)
	if !m.SuspectedDown(p, now, 0) || m.SuspectedDown(p, now, 2*checkInterval) {
		t.Error("a peer that does not answer is not suspected exactly when it has not answered for longer than the timeout")
	}
	m.ObserveRelay("c", now)
	if m.SuspectedDown(p, now+workerLease-1, 0) || !m.SuspectedDown(p, now+workerLease, 0) {
		t.Error("a peer that relays heartbeats is not considered alive for exactly a worker's lease")
	}
}

func TestStoreOutageNeedsAllPeers(t *testing.T) {
	m := newTestMembers()
	for _, p := range m.Peers() {
		answerQuery(p, Status{StoreDown: true, Term: 3})
	}
	if !m.StoreOutageConfirmed(start, 3) || !m.AllPeersLostStore(start) || m.AnyPeerReachesStore(start) {
		t.Error("no outage is confirmed although all peers report that the store is down, without a newer term")
	}
	if m.StoreOutageConfirmed(start, 2) || !m.AllPeersLostStore(start) {
		t.Error("an outage is confirmed in spite of a newer term, or AllPeersLostStore depends on the term")
	}
	failQuery(m.Peer("a"), start)
	if m.StoreOutageConfirmed(start, 3) || m.AllPeersLostStore(start) {
		t.Error("an outage is confirmed although a peer that does not answer may reach the store")
	}
	answerQuery(m.Peer("a"), Status{Term: 3})
	if m.AllPeersLostStore(start) || !m.AnyPeerReachesStore(start) {
		t.Error("a peer that reaches the store was not detected")
	}
}

func TestWorkersReachOnlyPeers(t *testing.T) {
	m := newTestMembers()
	silence := workerLease / 3
	if m.WorkersReachOnlyPeers(start, start-silence) {
		t.Error("workers are said to reach peers although no peer received a heartbeat")
	}
	answerQuery(m.Peer("d"), Status{HeartbeatAge: time.Second})
	if !m.WorkersReachOnlyPeers(start, start-silence) {
		t.Error("not detected: a peer received a heartbeat 1 s ago, this node none for a third of a lease")
	}
	if m.WorkersReachOnlyPeers(start, start-silence+1) {
		t.Error("detected although this node received a heartbeat less than a third of a lease ago")
	}
}

func TestOwnZoneIsolated(t *testing.T) {
	isolate := func(m *Members) {
		failQuery(m.Peer("c"), start)
		failQuery(m.Peer("d"), start)
		answerQuery(m.Peer("a"), Status{StoreDown: true})
	}
	for _, tt := range []struct {
		name      string
		change    func(*Members)
		storeDown bool
		want      bool
	}{
		{"neither an outside node nor the store is reachable", func(*Members) {}, true, true},
		{"this node reaches the store", func(*Members) {}, false, false},
		{"an outside node answers", func(m *Members) { answerQuery(m.Peer("d"), Status{StoreDown: true}) }, true, false},
		{"a node in the zone reaches the store", func(m *Members) { answerQuery(m.Peer("a"), Status{}) }, true, false},
		{"no other node in the zone answers", func(m *Members) { failQuery(m.Peer("a"), start) }, true, false},
	} {
		m := newTestMembers()
		isolate(m)
		tt.change(m)
		if got := m.OwnZoneIsolated(start, tt.storeDown); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
	if unqueried := New(Node{"b", "z1"}, []Node{{"c", "z2"}}, Timing{}); unqueried.OwnZoneIsolated(start, true) {
		t.Error("a peer that was not queried yet counts as unreachable")
	}
}

func TestZoneIsolated(t *testing.T) {
	m := newTestMembers()
	failQuery(m.Peer("c"), start)
	if m.ZoneIsolated("z2") {
		t.Error("z2 is isolated although d answers")
	}
	failQuery(m.Peer("d"), start)
	failQuery(m.Peer("a"), start)
	if !m.ZoneIsolated("z2") || m.ZoneIsolated("z1") || m.ZoneIsolated("z3") {
		t.Error("z2 is not the only isolated zone")
	}
}

func TestZoneRenewsOwnLeases(t *testing.T) {
	m := newTestMembers()
	if !m.ZoneRenewsOwnLeases("z1") || !m.ZoneRenewsOwnLeases("z2") || m.ZoneRenewsOwnLeases("z3") {
		t.Error("the zones that renew their own leases are not exactly z1 and z2")
	}
	if New(Node{"a", "z1"}, []Node{{"b", "z1"}}, Timing{}).ZoneRenewsOwnLeases("z1") {
		t.Error("a zone with all nodes is said to renew its own leases")
	}
}

func TestVersionSupportNeedsAllPeers(t *testing.T) {
	m := newTestMembers()
	for _, p := range m.Peers() {
		if m.AllSupportRollouts() || m.AllSupportRecordLayout(2) {
			t.Errorf("supported by all peers although %s has not reported its version's support", p.Name())
		}
		answerQuery(p, Status{MaxRecordLayout: 2, SupportsRollouts: true})
	}
	if !m.AllSupportRollouts() || !m.AllSupportRecordLayout(2) || m.AllSupportRecordLayout(3) {
		t.Error("not supported although all peers reported rollouts and layout 2, or layout 3 supported")
	}
}

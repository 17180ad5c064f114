package core

import (
	"time"

	"bitternwing/internal/election"
	"bitternwing/internal/fencing"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// electionHost implements election.Host for a node.
type electionHost struct{ core *Core }

// newElection returns this node's participant in the leader election.
func newElection(c *Core) *election.Election {
	return election.New(electionHost{c}, electionStore{c}, c.members, election.Timing{LeaseTTL: c.times.leaderTTL,
		WorkerLease: c.times.lease, CheckInterval: c.times.checkInterval, RetryPause: c.times.retryPause})
}

func (h electionHost) Now() time.Duration { return h.core.now.Steady }

func (h electionHost) WakeBy(at time.Duration) { h.core.wakeBy(at) }

func (h electionHost) View() election.View {
	cache := h.core.cache
	leader, term := cache.Leader(), cache.Term()
	return election.View{Ready: cache.Ready(), Vacant: !cache.HasLeader(),
		Leader: election.LeaderView{Node: leader.Node, Lease: leader.Lease},
		Term:   election.TermView{Number: term.Number, Node: term.Node, Version: cache.TermVersion()}}
}

func (h electionHost) StoreDown() bool { return h.core.storeHealth.down }

func (h electionHost) CandidacyBlocked() string {
	if h.missingRegionSettings() {
		return "team quotas are divided among regions, but the settings name no region"
	}
	return ""
}

// missingRegionSettings reports whether the team quotas are divided among regions while this node's settings configure
// no regions. As a leader the node would grant each team its whole quota, so it must not lead.
func (h electionHost) missingRegionSettings() bool {
	return h.core.cache.QuotaAccountCount() > 0 && !h.core.operator.Regions.Enabled()
}

func (h electionHost) HasSpareCPU() bool {
	return h.core.timerLoad.Level(h.core.now.Steady) <= shedBelow
}

func (h electionHost) WorkersReachOnlyPeers() bool {
	c := h.core
	lastHeartbeat := max(c.leader.startedAt, c.lastHeartbeat)
	return c.members.WorkersReachOnlyPeers(c.now.Steady, lastHeartbeat) && len(c.leader.machines) > 0
}

func (h electionHost) Elected(term election.Term) {
	c := h.core
	c.log(Debug, "term started", "term", term.Number, "fencing_token", fencing.FirstToken(term.Number),
		"lease_remaining_ms", (term.LeaseDeadline - c.now.Steady).Milliseconds(), "term_revision", term.Version, "revision", c.cache.Revision())
	c.leader = newLeader(c, term.Number, term.Version)
	c.cache.ObserveTerm(stored.Term{Number: term.Number, Node: c.settings.Node}, c.cache.TermFormat(), term.Version)
}

func (h electionHost) SteppedDown(election.StepDownReason) {
	h.core.leader.rejectPendingRequests()
	h.core.leader = nil
}

func (h electionHost) LogDebug(message string, fields ...any) { h.core.log(Debug, message, fields...) }
func (h electionHost) LogInfo(message string, fields ...any)  { h.core.log(Info, message, fields...) }
func (h electionHost) LogError(message string, fields ...any) { h.core.log(Error, message, fields...) }

// electionStore implements election.Store by calls to the key-value store.
type electionStore struct{ core *Core }

// register returns the ID of a new call, whose result completes the election's call.
func (s electionStore) register(call election.Call) uint64 {
	return s.core.registerStoreCall(func(r Result) {
		call.Complete(election.Response{Outcome: r.Outcome, SentAt: r.SentAt, Lease: r.Lease, Revision: r.Txn.Revision})
	})
}

func (s electionStore) GrantLease(ttl time.Duration, call election.Call) {
	s.core.emit(StoreGrantLease{CallID: s.register(call), TTL: ttl})
}

func (s electionStore) RenewLease(lease uint64, call election.Call) {
	s.core.emit(StoreRenewLease{CallID: s.register(call), Lease: lease})
}

func (s electionStore) RevokeLease(lease uint64, call election.Call) {
	s.core.emit(StoreRevokeLease{CallID: s.register(call), Lease: lease})
}

func (s electionStore) ClaimTerm(claim election.Claim, call election.Call) error {
	c := s.core
	leader := stored.Leader{Node: c.settings.Node, Incarnation: c.incarnation, Lease: claim.Lease, Term: claim.Term}
	leaderValue, err := leader.Encode()
	if err != nil {
		return err
	}
	termValue, err := c.encodeTerm(stored.Term{Number: claim.Term, Node: c.settings.Node}, c.layout())
	if err != nil {
		return err
	}
	c.emit(StoreTxn{CallID: s.register(call), Txn: wire.Txn{
		If: []wire.Condition{{Key: stored.LeaderKey}, {Key: stored.TermKey, Version: claim.TermVersion}},
		Then: []wire.Op{{Put: stored.LeaderKey, Value: leaderValue, Lease: claim.Lease},
			{Put: stored.TermKey, Value: termValue}},
	}})
	return nil
}

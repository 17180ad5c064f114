package election

import (
	"errors"
	"slices"
	"testing"
	"time"

	"bitternwing/internal/membership"
	"bitternwing/internal/outcome"
)

var testTiming = Timing{LeaseTTL: 4 * time.Second, WorkerLease: 10 * time.Second, CheckInterval: 2 * time.Second, RetryPause: 500 * time.Millisecond}

// request is a pending request to the store.
type request struct {
	kind  string
	ttl   time.Duration
	lease uint64
	claim Claim
	call  Call
}

// fake is the host and the store of the election under test.
type fake struct {
	*testing.T
	now                   time.Duration
	view                  View
	storeDown             bool
	blocked               string
	busy                  bool
	workersReachOnlyPeers bool // workers reach only peers
	claimErr              error
	requests              []request
	terms                 []Term
	stepDowns             []StepDownReason
	errorLog              []string
	members               *membership.Members
	election              *Election
}

// newFake returns a fake for node a in zone 1. Each digit of peerZones is the zone of one peer: b, c and so on.
func newFake(t *testing.T, peerZones string) *fake {
	t.Helper()
	f := &fake{T: t, now: time.Minute, view: View{Ready: true, Vacant: true, Term: TermView{Number: 7, Node: "b", Version: 70}}}
	var peers []membership.Node
	for i, zone := range peerZones {
		peers = append(peers, membership.Node{Name: string(rune('b' + i)), Zone: string(zone)})
	}
	f.members = membership.New(membership.Node{Name: "a", Zone: "1"}, peers,
		membership.Timing{CheckInterval: testTiming.CheckInterval, WorkerLease: testTiming.WorkerLease})
	f.election = New(f, f, f.members, testTiming)
	return f
}

func (f *fake) Now() time.Duration          { return f.now }
func (f *fake) WakeBy(time.Duration)        {}
func (f *fake) View() View                  { return f.view }
func (f *fake) StoreDown() bool             { return f.storeDown }
func (f *fake) CandidacyBlocked() string    { return f.blocked }
func (f *fake) HasSpareCPU() bool           { return !f.busy }
func (f *fake) WorkersReachOnlyPeers() bool { return f.workersReachOnlyPeers }
func (f *fake) Elected(term Term)           { f.terms = append(f.terms, term) }
func (f *fake) SteppedDown(reason StepDownReason) {
	f.stepDowns = append(f.stepDowns, reason)
}
func (f *fake) LogDebug(string, ...any) {}
func (f *fake) LogInfo(string, ...any)  {}
func (f *fake) LogError(message string, _ ...any) {
	f.errorLog = append(f.errorLog, message)
}

func (f *fake) GrantLease(ttl time.Duration, call Call) {
	f.requests = append(f.requests, request{kind: "grant", ttl: ttl, call: call})
}
func (f *fake) RenewLease(lease uint64, call Call) {
	f.requests = append(f.requests, request{kind: "renew", lease: lease, call: call})
}
func (f *fake) RevokeLease(lease uint64, call Call) {
	f.requests = append(f.requests, request{kind: "revoke", lease: lease, call: call})
}
func (f *fake) ClaimTerm(claim Claim, call Call) error {
	if f.claimErr == nil {
		f.requests = append(f.requests, request{kind: "claim", claim: claim, call: call})
	}
	return f.claimErr
}

// pop removes the oldest request, which must be of the given kind, and returns it.
func (f *fake) pop(kind string) request {
	f.Helper()
	if len(f.requests) == 0 || f.requests[0].kind != kind {
		f.Fatalf("requests are %+v, want %s next", f.requests, kind)
	}
	r := f.requests[0]
	f.requests = f.requests[1:]
	return r
}

func (f *fake) wantNoRequest() {
	f.Helper()
	if len(f.requests) > 0 {
		f.Fatalf("requests are %+v, want none", f.requests)
	}
}

// winElection lets node a win the next term with lease 5. No time passes meanwhile.
func (f *fake) winElection() {
	f.Helper()
	f.election.Run()
	f.pop("grant").call.Complete(Response{Outcome: outcome.OK, Lease: 5, SentAt: f.now})
	f.pop("claim").call.Complete(Response{Outcome: outcome.OK, Revision: 71, SentAt: f.now})
	f.view.Term, f.view.Vacant = TermView{Number: f.view.Term.Number + 1, Node: "a", Version: 71}, false
}

func (f *fake) answerPeers(status membership.Status) {
	for _, p := range f.members.Peers() {
		p.QueryStarted(f.now)
		p.QueryAnswered(f.now, status)
	}
}

func TestCampaignWinsTheNextTerm(t *testing.T) {
	f := newFake(t, "")
	f.election.Run()
	f.election.Run() // a second campaign does not start meanwhile
	grant := f.pop("grant")
	f.wantNoRequest()
	sentAt := f.now
	f.now += time.Second
	grant.call.Complete(Response{Outcome: outcome.OK, Lease: 5, SentAt: sentAt})
	claim := f.pop("claim")
	if want := (Claim{Term: 8, Lease: 5, TermVersion: 70}); claim.claim != want {
		t.Errorf("claim is %+v, want %+v", claim.claim, want)
	}
	claim.call.Complete(Response{Outcome: outcome.OK, Revision: 71, SentAt: f.now})
	deadline := sentAt + testTiming.LeaseTTL - 4*time.Millisecond // MaxClockDrift of 4 s
	if want := (Term{Number: 8, Version: 71, LeaseDeadline: deadline}); len(f.terms) != 1 || f.terms[0] != want {
		t.Errorf("terms are %+v, want %+v", f.terms, want)
	}
	if !f.election.LeaseValid() || f.election.LeaseValidAt(deadline) || f.election.TermsLed() != 1 {
		t.Error("the lease is not valid until its deadline, or the number of terms led is not 1")
	}
}

func TestLostCampaignRevokesLease(t *testing.T) {
	for _, result := range []outcome.Outcome{outcome.Conflict, outcome.Unknown, outcome.Unavailable} {
		f := newFake(t, "")
		f.election.Run()
		f.pop("grant").call.Complete(Response{Outcome: outcome.OK, Lease: 5, SentAt: f.now})
		f.pop("claim").call.Complete(Response{Outcome: result})
		if lease := f.pop("revoke").lease; lease != 5 {
			t.Errorf("%v: lease %d is revoked, want 5", result, lease)
		}
		f.election.Run()
		f.wantNoRequest()
		f.now += testTiming.RetryPause
		f.election.Run()
		f.pop("grant")
		if len(f.terms) > 0 {
			t.Errorf("%v: terms are %v, want none", result, f.terms)
		}
	}
}

func TestCandidateYieldsToNewLeader(t *testing.T) {
	f := newFake(t, "")
	f.election.Run()
	f.view.Vacant = false
	f.pop("grant").call.Complete(Response{Outcome: outcome.OK, Lease: 5})
	f.pop("revoke")
	f.wantNoRequest()
}

func TestCampaignPausesAfterFailure(t *testing.T) {
	for _, tt := range []struct {
		name  string
		grant outcome.Outcome
		claim error
	}{
		{"no lease is granted", outcome.Unavailable, nil},
		{"the claim can't be encoded", outcome.OK, errors.New("encoding failed")},
	} {
		f := newFake(t, "")
		f.claimErr = tt.claim
		f.election.Run()
		f.pop("grant").call.Complete(Response{Outcome: tt.grant, Lease: 5})
		f.wantNoRequest()
		f.election.Run()
		f.wantNoRequest()
		f.now += testTiming.RetryPause
		f.election.Run()
		f.pop("grant")
	}
}

func TestNoCampaign(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(*fake)
	}{
		{"the cache is not ready", func(f *fake) { f.view.Ready = false }},
		{"another node leads", func(f *fake) { f.view.Vacant, f.view.Leader = false, LeaderView{Node: "b", Lease: 4} }},
		{"the store is down", func(f *fake) { f.storeDown = true }},
		{"the candidacy is blocked", func(f *fake) { f.blocked = "unsupported format" }},
	} {
		f := newFake(t, "")
		tt.change(f)
		for range 3 {
			f.now += testTiming.WorkerLease
			f.election.Run()
		}
		if len(f.requests) > 0 {
			t.Errorf("%s: requests are %+v, want none", tt.name, f.requests)
		}
		if f.blocked != "" && !slices.Equal(f.errorLog, []string{"candidacy blocked: unsupported format"}) {
			t.Errorf("%s: unexpected error log %q", tt.name, f.errorLog)
		}
	}
}

func TestLeaseOfEarlierProcessIsRevoked(t *testing.T) {
	f := newFake(t, "")
	f.view.Vacant, f.view.Leader = false, LeaderView{Node: "a", Lease: 4}
	f.election.Run()
	f.election.Run()
	revoke := f.pop("revoke")
	if revoke.lease != 4 {
		t.Errorf("lease %d is revoked, want 4", revoke.lease)
	}
	f.wantNoRequest()
	revoke.call.Complete(Response{Outcome: outcome.OK})
	f.view.Vacant = true
	f.now += testTiming.RetryPause
	f.election.Run()
	f.pop("grant")
}

func TestLeaderRenewsItsLease(t *testing.T) {
	f := newFake(t, "")
	f.winElection()
	f.election.Run()
	f.election.Run()
	renew := f.pop("renew")
	f.wantNoRequest()
	renew.call.Complete(Response{Outcome: outcome.Unavailable})
	f.election.Run()
	f.wantNoRequest()
	f.now += testTiming.LeaseTTL / renewalRetriesPerTTL
	f.election.Run()
	sentAt := f.now
	f.pop("renew").call.Complete(Response{Outcome: outcome.OK, SentAt: sentAt})
	if !f.election.LeaseValidAt(sentAt+testTiming.LeaseTTL*99/100) || f.election.LeaseValidAt(sentAt+testTiming.LeaseTTL) {
		t.Error("the deadline is not one TTL after the renewal was sent")
	}
	f.now += testTiming.LeaseTTL/renewalsPerTTL - 1
	f.election.Run()
	f.wantNoRequest()
	f.now++
	f.election.Run()
	f.pop("renew")
}

func TestLeaderPastItsDeadlineWaitsForTheStore(t *testing.T) {
	f := newFake(t, "")
	f.winElection()
	f.workersReachOnlyPeers = true // with a valid lease the leader would step down
	f.now += testTiming.LeaseTTL
	f.election.Run()
	renew := f.pop("renew")
	if f.election.LeaseValid() || len(f.stepDowns) > 0 {
		t.Errorf("lease valid past its deadline, or step-downs %v, want none", f.stepDowns)
	}
	renew.call.Complete(Response{Outcome: outcome.OK, SentAt: f.now})
	if !f.election.LeaseValid() {
		t.Error("the lease is not valid after the renewal")
	}
}

func TestStepDownReasons(t *testing.T) {
	for _, tt := range []struct {
		want    StepDownReason
		revokes bool
		trigger func(*fake)
	}{
		{NewerTermObserved, false, func(f *fake) { f.view.Term.Number++ }},
		{LeaseExpired, false, func(f *fake) { f.election.Run(); f.pop("renew").call.Complete(Response{Outcome: outcome.NotFound}) }},
		{WorkersReachOnlyPeers, true, func(f *fake) { f.workersReachOnlyPeers = true }},
		{TermSuperseded, false, func(f *fake) { f.election.StepDown(TermSuperseded) }},
	} {
		f := newFake(t, "")
		f.winElection()
		tt.trigger(f)
		f.election.Run()
		if !slices.Equal(f.stepDowns, []StepDownReason{tt.want}) {
			t.Errorf("step-downs are %q, want %q", f.stepDowns, tt.want)
		}
		if tt.revokes {
			f.pop("revoke")
		}
		f.wantNoRequest()
		f.election.StepDown(TermSuperseded)
		if len(f.stepDowns) != 1 {
			t.Errorf("%s: a node that does not lead stepped down again", tt.want)
		}
	}
}

func TestReplyToRenewalOfEarlierTermIsIgnored(t *testing.T) {
	f := newFake(t, "")
	f.winElection()
	f.election.Run()
	renew := f.pop("renew")
	f.election.StepDown(TermSuperseded)
	renew.call.Complete(Response{Outcome: outcome.NotFound})
	if len(f.stepDowns) != 1 {
		t.Errorf("step-downs are %v, want exactly one", f.stepDowns)
	}
}

func TestCampaignDelay(t *testing.T) {
	check := testTiming.CheckInterval
	for _, tt := range []struct {
		name          string
		peerZones     string
		successorDown bool
		want          time.Duration
	}{
		{"one zone each", "23", false, 0},
		{"the successor shares the zone", "12", false, check / 2},
		{"two nodes of one zone follow", "22", false, check / 4},
		{"four nodes of one zone follow", "2222", false, check / 2},
		{"the successor is down, but not that of another candidate", "23", true, check / 2},
	} {
		f := newFake(t, tt.peerZones)
		f.answerPeers(membership.Status{})
		if tt.successorDown {
			f.now += time.Millisecond
			f.members.Peer("b").QueryFailed()
		}
		if got := f.election.campaignDelay(); got != tt.want {
			t.Errorf("%s: delay %v, want %v", tt.name, got, tt.want)
		}
	}
}

func TestLeaderHandsOverToBetterCandidate(t *testing.T) {
	for _, tt := range []struct {
		name      string
		peerZones string
		termAge   time.Duration
		busy      bool
		status    membership.Status
		want      bool
	}{
		{"its successor shares its zone", "12", 3 * testTiming.WorkerLease, false, membership.Status{}, true},
		{"its successor is in another zone", "21", 3 * testTiming.WorkerLease, false, membership.Status{}, false},
		{"its term is recent", "12", testTiming.WorkerLease, false, membership.Status{}, false},
		{"it is short of CPU time", "12", 3 * testTiming.WorkerLease, true, membership.Status{}, false},
		{"no peer reaches the store", "12", 3 * testTiming.WorkerLease, false, membership.Status{StoreDown: true}, false},
	} {
		f := newFake(t, tt.peerZones)
		f.now += testTiming.CheckInterval
		f.election.Run()
		f.now += testTiming.CheckInterval
		f.winElection()
		f.answerPeers(tt.status)
		f.now += tt.termAge
		f.answerPeers(tt.status)
		f.busy = tt.busy
		if got := f.election.betterCandidateExists(); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}

func TestFrequentTermsExtendLeaseTTL(t *testing.T) {
	for _, tt := range []struct {
		name  string
		alive bool
		want  time.Duration
	}{
		{"the last leader is still running", true, 5 * time.Second},
		{"the last leader is gone", false, testTiming.LeaseTTL},
	} {
		f := newFake(t, "2")
		f.view.Vacant = false
		f.election.Run()
		f.view.Term = TermView{Number: 8, Node: "b", Version: 80}
		f.election.Run()
		f.view.Vacant = true
		if tt.alive {
			f.answerPeers(membership.Status{Term: 8})
		}
		f.election.Run()
		if got := f.pop("grant").ttl; got != tt.want {
			t.Errorf("%s: lease TTL %v, want %v", tt.name, got, tt.want)
		}
	}
}

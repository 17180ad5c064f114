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

// request is a call to the store that waits for its reply.
type request struct {
	kind  string
	ttl   time.Duration
	lease uint64
	claim Claim
	call  Call
}

// world is the host and the store of an election under test.
type world struct {
	*testing.T
	now       time.Duration
	view      View
	storeDown bool
	blocked   string
	busy      bool
	unheard   bool // workers reach peers only
	claimErr  error
	requests  []request
	terms     []Term
	stepDowns []StepDownReason
	errorLog  []string
	members   *membership.Members
	election  *Election
}

// newWorld makes the election of controller a in zone 1, with peers in the given zones: b, c and so on.
func newWorld(t *testing.T, peerZones string) *world {
	t.Helper()
	w := &world{T: t, now: time.Minute, view: View{Ready: true, Vacant: true, Term: TermView{Number: 7, Node: "b", Version: 70}}}
	var peers []membership.Node
	for i, zone := range peerZones {
		peers = append(peers, membership.Node{Name: string(rune('b' + i)), Zone: string(zone)})
	}
	w.members = membership.New(membership.Node{Name: "a", Zone: "1"}, peers,
		membership.Timing{CheckInterval: testTiming.CheckInterval, WorkerLease: testTiming.WorkerLease})
	w.election = New(w, w, w.members, testTiming)
	return w
}

func (w *world) Now() time.Duration          { return w.now }
func (w *world) WakeBy(time.Duration)        {}
func (w *world) View() View                  { return w.view }
func (w *world) StoreDown() bool             { return w.storeDown }
func (w *world) CandidacyBlocked() string    { return w.blocked }
func (w *world) HasTimeToSpare() bool        { return !w.busy }
func (w *world) WorkersReachOnlyPeers() bool { return w.unheard }
func (w *world) Elected(term Term)           { w.terms = append(w.terms, term) }
func (w *world) SteppedDown(reason StepDownReason) {
	w.stepDowns = append(w.stepDowns, reason)
}
func (w *world) LogDebug(string, ...any) {}
func (w *world) LogInfo(string, ...any)  {}
func (w *world) LogError(message string, _ ...any) {
	w.errorLog = append(w.errorLog, message)
}

func (w *world) GrantLease(ttl time.Duration, call Call) {
	w.requests = append(w.requests, request{kind: "grant", ttl: ttl, call: call})
}
func (w *world) RenewLease(lease uint64, call Call) {
	w.requests = append(w.requests, request{kind: "renew", lease: lease, call: call})
}
func (w *world) RevokeLease(lease uint64, call Call) {
	w.requests = append(w.requests, request{kind: "revoke", lease: lease, call: call})
}
func (w *world) ClaimTerm(claim Claim, call Call) error {
	if w.claimErr == nil {
		w.requests = append(w.requests, request{kind: "claim", claim: claim, call: call})
	}
	return w.claimErr
}

// next takes the oldest request, which has to be of a kind.
func (w *world) next(kind string) request {
	w.Helper()
	if len(w.requests) == 0 || w.requests[0].kind != kind {
		w.Fatalf("requests are %+v, want %s next", w.requests, kind)
	}
	r := w.requests[0]
	w.requests = w.requests[1:]
	return r
}

func (w *world) wantNoRequest() {
	w.Helper()
	if len(w.requests) > 0 {
		w.Fatalf("requests are %+v, want none", w.requests)
	}
}

// win has the node win the next term with lease 5, all without any delay.
func (w *world) win() {
	w.Helper()
	w.election.Run()
	w.next("grant").call.Complete(Reply{Outcome: outcome.OK, Lease: 5, SentAt: w.now})
	w.next("claim").call.Complete(Reply{Outcome: outcome.OK, Revision: 71, SentAt: w.now})
	w.view.Term, w.view.Vacant = TermView{Number: w.view.Term.Number + 1, Node: "a", Version: 71}, false
}

func (w *world) answerPeers(status membership.Status) {
	for _, p := range w.members.Peers() {
		p.QueryStarted(w.now)
		p.QueryAnswered(w.now, status)
	}
}

func TestCampaignWinsTheNextTerm(t *testing.T) {
	w := newWorld(t, "")
	w.election.Run()
	w.election.Run() // one campaign at a time
	grant := w.next("grant")
	w.wantNoRequest()
	sentAt := w.now
	w.now += time.Second
	grant.call.Complete(Reply{Outcome: outcome.OK, Lease: 5, SentAt: sentAt})
	claim := w.next("claim")
	if want := (Claim{Term: 8, Lease: 5, TermVersion: 70}); claim.claim != want {
		t.Errorf("claim is %+v, want %+v", claim.claim, want)
	}
	claim.call.Complete(Reply{Outcome: outcome.OK, Revision: 71, SentAt: w.now})
	deadline := sentAt + testTiming.LeaseTTL - 4*time.Millisecond // a thousandth of it, for the drift of the clocks
	if want := (Term{Number: 8, Version: 71, LeaseDeadline: deadline}); len(w.terms) != 1 || w.terms[0] != want {
		t.Errorf("terms are %+v, want %+v", w.terms, want)
	}
	if !w.election.LeaseValid() || w.election.LeaseValidAt(deadline) || w.election.TermsLed() != 1 {
		t.Error("the lease is valid until its deadline, in the first term that was led")
	}
}

func TestCampaignThatIsNotWonRevokesItsLease(t *testing.T) {
	for _, o := range []outcome.Outcome{outcome.Conflict, outcome.Unknown, outcome.Unavailable} {
		w := newWorld(t, "")
		w.election.Run()
		w.next("grant").call.Complete(Reply{Outcome: outcome.OK, Lease: 5, SentAt: w.now})
		w.next("claim").call.Complete(Reply{Outcome: o})
		if lease := w.next("revoke").lease; lease != 5 {
			t.Errorf("%v: lease %d is revoked, want 5", o, lease)
		}
		w.election.Run()
		w.wantNoRequest()
		w.now += testTiming.RetryPause
		w.election.Run()
		w.next("grant")
		if len(w.terms) > 0 {
			t.Errorf("%v: terms are %v, want none", o, w.terms)
		}
	}
}

func TestCandidateMakesWayForALeaderSeenMeanwhile(t *testing.T) {
	w := newWorld(t, "")
	w.election.Run()
	w.view.Vacant = false
	w.next("grant").call.Complete(Reply{Outcome: outcome.OK, Lease: 5})
	w.next("revoke")
	w.wantNoRequest()
}

func TestCampaignPausesAfterFailure(t *testing.T) {
	for _, x := range []struct {
		name  string
		grant outcome.Outcome
		claim error
	}{
		{"no lease is granted", outcome.Unavailable, nil},
		{"the claim can't be encoded", outcome.OK, errors.New("not encoded")},
	} {
		w := newWorld(t, "")
		w.claimErr = x.claim
		w.election.Run()
		w.next("grant").call.Complete(Reply{Outcome: x.grant, Lease: 5})
		w.wantNoRequest()
		w.election.Run()
		w.wantNoRequest()
		w.now += testTiming.RetryPause
		w.election.Run()
		w.next("grant")
	}
}

func TestNoCampaign(t *testing.T) {
	for _, x := range []struct {
		name   string
		change func(*world)
	}{
		{"the cache is not filled", func(w *world) { w.view.Ready = false }},
		{"another node leads", func(w *world) { w.view.Vacant, w.view.Leader = false, LeaderView{Node: "b", Lease: 4} }},
		{"the store is down", func(w *world) { w.storeDown = true }},
		{"the node must not lead", func(w *world) { w.blocked = "of a reason" }},
	} {
		w := newWorld(t, "")
		x.change(w)
		for range 3 {
			w.now += testTiming.WorkerLease
			w.election.Run()
		}
		if len(w.requests) > 0 {
			t.Errorf("%s: requests are %+v", x.name, w.requests)
		}
		if w.blocked != "" && !slices.Equal(w.errorLog, []string{"candidacy blocked: of a reason"}) {
			t.Errorf("%s: the log is %q", x.name, w.errorLog)
		}
	}
}

func TestLeaseOfEarlierProcessIsRevoked(t *testing.T) {
	w := newWorld(t, "")
	w.view.Vacant, w.view.Leader = false, LeaderView{Node: "a", Lease: 4}
	w.election.Run()
	w.election.Run()
	revoke := w.next("revoke")
	if revoke.lease != 4 {
		t.Errorf("lease %d is revoked, want 4", revoke.lease)
	}
	w.wantNoRequest()
	revoke.call.Complete(Reply{Outcome: outcome.OK})
	w.view.Vacant = true
	w.now += testTiming.RetryPause
	w.election.Run()
	w.next("grant")
}

func TestLeaderRenewsItsLease(t *testing.T) {
	w := newWorld(t, "")
	w.win()
	w.election.Run()
	w.election.Run()
	renew := w.next("renew")
	w.wantNoRequest()
	renew.call.Complete(Reply{Outcome: outcome.Unavailable})
	w.election.Run()
	w.wantNoRequest()
	w.now += testTiming.LeaseTTL / failedRenewalsPerTTL
	w.election.Run()
	sentAt := w.now
	w.next("renew").call.Complete(Reply{Outcome: outcome.OK, SentAt: sentAt})
	if !w.election.LeaseValidAt(sentAt+testTiming.LeaseTTL*99/100) || w.election.LeaseValidAt(sentAt+testTiming.LeaseTTL) {
		t.Error("the deadline counts from when the renewal was sent")
	}
	w.now += testTiming.LeaseTTL/renewalsPerTTL - 1
	w.election.Run()
	w.wantNoRequest()
	w.now++
	w.election.Run()
	w.next("renew")
}

func TestLeaderPastItsDeadlineWaitsForTheStore(t *testing.T) {
	w := newWorld(t, "")
	w.win()
	w.unheard = true // would step down while its lease is valid
	w.now += testTiming.LeaseTTL
	w.election.Run()
	renew := w.next("renew")
	if w.election.LeaseValid() || len(w.stepDowns) > 0 {
		t.Errorf("the lease is past its deadline; step-downs are %v, want none", w.stepDowns)
	}
	renew.call.Complete(Reply{Outcome: outcome.OK, SentAt: w.now})
	if !w.election.LeaseValid() {
		t.Error("the renewal shows that the lease is still held")
	}
}

func TestReasonsOfStepDown(t *testing.T) {
	for _, x := range []struct {
		want    StepDownReason
		revokes bool
		happens func(*world)
	}{
		{NewerTermObserved, false, func(w *world) { w.view.Term.Number++ }},
		{LeaseExpired, false, func(w *world) { w.election.Run(); w.next("renew").call.Complete(Reply{Outcome: outcome.NotFound}) }},
		{WorkersReachOnlyPeers, true, func(w *world) { w.unheard = true }},
		{TermSuperseded, false, func(w *world) { w.election.StepDown(TermSuperseded) }},
	} {
		w := newWorld(t, "")
		w.win()
		x.happens(w)
		w.election.Run()
		if !slices.Equal(w.stepDowns, []StepDownReason{x.want}) {
			t.Errorf("step-downs are %q, want %q", w.stepDowns, x.want)
		}
		if x.revokes {
			w.next("revoke")
		}
		w.wantNoRequest()
		w.election.StepDown(TermSuperseded)
		if len(w.stepDowns) != 1 {
			t.Errorf("%s: a node that does not lead steps down again", x.want)
		}
	}
}

func TestReplyToRenewalOfEarlierTermIsIgnored(t *testing.T) {
	w := newWorld(t, "")
	w.win()
	w.election.Run()
	renew := w.next("renew")
	w.election.StepDown(TermSuperseded)
	renew.call.Complete(Reply{Outcome: outcome.NotFound})
	if len(w.stepDowns) != 1 {
		t.Errorf("step-downs are %v, want one", w.stepDowns)
	}
}

func TestCandidateWaitsForABetterOne(t *testing.T) {
	check := testTiming.CheckInterval
	for _, x := range []struct {
		name          string
		peerZones     string
		successorDown bool
		want          time.Duration
	}{
		{"a zone each", "23", false, 0},
		{"the successor shares the zone", "12", false, check / 2},
		{"two of one zone follow", "22", false, check / 4},
		{"four of one zone follow", "2222", false, check / 2},
		{"the successor is down, another candidate's is not", "23", true, check / 2},
	} {
		w := newWorld(t, x.peerZones)
		w.answerPeers(membership.Status{})
		if x.successorDown {
			w.now += time.Millisecond
			w.members.Peer("b").QueryFailed()
		}
		if got := w.election.campaignDelay(); got != x.want {
			t.Errorf("%s: delay %v, want %v", x.name, got, x.want)
		}
	}
}

func TestLeaderHandsOverToABetterCandidate(t *testing.T) {
	for _, x := range []struct {
		name      string
		peerZones string
		termAge   time.Duration
		busy      bool
		status    membership.Status
		want      bool
	}{
		{"its successor shares its zone", "12", 3 * testTiming.WorkerLease, false, membership.Status{}, true},
		{"its successor is in another zone", "21", 3 * testTiming.WorkerLease, false, membership.Status{}, false},
		{"its term is young", "12", testTiming.WorkerLease, false, membership.Status{}, false},
		{"it is short of processor time", "12", 3 * testTiming.WorkerLease, true, membership.Status{}, false},
		{"the store serves no peer", "12", 3 * testTiming.WorkerLease, false, membership.Status{StoreDown: true}, false},
	} {
		w := newWorld(t, x.peerZones)
		w.now += testTiming.CheckInterval
		w.election.Run()
		w.now += testTiming.CheckInterval
		w.win()
		w.answerPeers(x.status)
		w.now += x.termAge
		w.answerPeers(x.status)
		w.busy = x.busy
		if got := w.election.betterCandidateExists(); got != x.want {
			t.Errorf("%s: %v, want %v", x.name, got, x.want)
		}
	}
}

func TestQuickTermsOfALivingLeaderGetLongerLeases(t *testing.T) {
	for _, x := range []struct {
		name  string
		alive bool
		want  time.Duration
	}{
		{"the last leader still runs", true, 5 * time.Second},
		{"the last leader is gone", false, testTiming.LeaseTTL},
	} {
		w := newWorld(t, "2")
		w.view.Vacant = false
		w.election.Run()
		w.view.Term = TermView{Number: 8, Node: "b", Version: 80}
		w.election.Run()
		w.view.Vacant = true
		if x.alive {
			w.answerPeers(membership.Status{Term: 8})
		}
		w.election.Run()
		if got := w.next("grant").ttl; got != x.want {
			t.Errorf("%s: the lease lives %v, want %v", x.name, got, x.want)
		}
	}
}

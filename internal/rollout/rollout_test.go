package rollout

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

const validPlan = `{"name":"reader-v2","team":"vision","old":{"jobs":["run-000001","run-000002"],"replica_capacity":10},
 "new":{"jobs":["run-000011","run-000012"],"replica_capacity":10},"promised_capacity":30,
 "steps":[{"jobs":["run-000011"],"share":0.25,"bake_s":20},{"jobs":["run-000012"],"share":1,"bake_s":30}],
 "checks":[{"name":"sum","request":{"prompt":"2+2"},"expected":"4","script":"def check(request, answer, expected):\n  return answer == expected"}],
 "limits":{"wait_s":100,"unreachable_s":30,"router_gone_s":60,"keep_s":600}}`

// TestInvalidPlans checks that the error for an invalid plan names the field.
func TestInvalidPlans(t *testing.T) {
	if _, err := ParsePlan([]byte(validPlan), 4096); err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct{ from, to, field string }{
		{`"team":"vision"`, `"team":7`, "/team"},
		{`"team":"vision"`, `"team":"vision","colour":"red"`, "colour"},
		{`"run-000001","run-000002"`, `"run-000001","job-2"`, "/old/jobs/1"},
		{`"run-000001","run-000002"`, `"run-000001","run-000011"`, "/new/jobs/0"},
		{`"share":0.25`, `"share":1.25`, "/steps/0/share"},
		{`"share":1,`, `"share":0.2,`, "/steps/1/share"},
		{`"share":1,`, `"share":0.9,`, "/steps/1/share"},
		{`"bake_s":30`, `"bake_s":-1`, "/steps/1/bake_s"},
		{`,"bake_s":30`, ``, "bake_s"},
		{`"wait_s":100,`, ``, "wait_s"},
		{`"wait_s":100`, `"wait_s":"soon"`, "/limits/wait_s"},
		{`{"jobs":["run-000012"],"share":1`, `{"jobs":["run-000011"],"share":1`, "/steps/1/jobs/0"},
		{`{"jobs":["run-000012"],"share":1`, `{"jobs":["run-000013"],"share":1`, "/steps/1/jobs/0"},
		{`"new":{"jobs":["run-000011","run-000012"]`, `"new":{"jobs":["run-000011","run-000012","run-000013"]`, "/new/jobs/2"},
		{`"promised_capacity":30`, `"promised_capacity":0`, "/promised_capacity"},
		{`"expected":"4",`, ``, "/checks/0/expected"},
		{`"expected":"4",`, `"expected":"4","compare_with_old":true,`, "/checks/0/expected"},
	} {
		text := strings.Replace(validPlan, tt.from, tt.to, 1)
		if text == validPlan {
			t.Fatalf("%s is not in the plan", tt.from)
		}
		_, err := ParsePlan([]byte(text), 4096)
		if err == nil || !strings.Contains(err.Error(), tt.field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error is %v, want one line that names %s", tt.to, err, tt.field)
		}
	}
	var field *FieldError
	if _, err := ParsePlan([]byte(validPlan), 100); !errors.As(err, &field) || field.Field != "/" {
		t.Errorf("error for a plan that is too large: %v", err)
	}
}

func parseValidPlan(tb testing.TB) *Plan {
	tb.Helper()
	p, err := ParsePlan([]byte(validPlan), 4096)
	if err != nil {
		tb.Fatal(err)
	}
	return p
}

// healthyObservation returns an observation in which all replicas run and are validated: those of the old version, and
// those of the new version whose steps have begun.
func healthyObservation(r *Record) *Observation {
	o := &Observation{NowMS: r.SinceMS, Reconciled: true, Jobs: map[string]Job{}, RoutersCurrent: true, Revalidated: true}
	for _, id := range r.Plan.Jobs() {
		j := Job{Accepted: true, Replicas: 2}
		if !r.BlocksStart(id) {
			j.Running, j.Validated = 2, 2
		}
		o.Jobs[id] = j
	}
	return o
}

// advanceTo applies transitions until the plan reaches the given phase of the given step. It fails the test if the plan
// stops before.
func advanceTo(t *testing.T, r *Record, phase Phase, step int) *Record {
	t.Helper()
	for range 50 {
		if r.Phase == phase && r.Step == step {
			return r
		}
		o := healthyObservation(r)
		o.NowMS += 40_000
		if r.Phase == Retiring {
			for _, id := range r.Plan.Old.Jobs {
				o.Jobs[id] = Job{Accepted: true, Replicas: 2, Cancelled: true, Ended: true}
			}
		}
		next := r.Next(o)
		if next == nil {
			t.Fatalf("no transition from %s of step %d", r.Phase, r.Step)
		}
		r = next
	}
	t.Fatalf("%s of step %d is not reached", phase, step)
	return nil
}

// TestPhases checks the sequence of phases of a plan without failures.
func TestPhases(t *testing.T) {
	r := NewRecord(parseValidPlan(t), 0)
	var visited []string
	for r.Phase != Completed {
		visited = append(visited, fmt.Sprintf("%s %d %g", r.Phase, r.Step, r.TargetShare()))
		o := healthyObservation(r)
		o.NowMS += 40_000
		if r.Phase == Retiring {
			for _, id := range r.Plan.Old.Jobs {
				o.Jobs[id] = Job{Accepted: true, Replicas: 2, Cancelled: true, Ended: true}
			}
		}
		if r = r.Next(o); r == nil {
			t.Fatal("no transition after", visited)
		}
	}
	want := "pending 0 0, starting 0 0, checking 0 0, shifting 0 0.25, baking 0 0.25, starting 1 0.25, checking 1 0.25, shifting 1 1, baking 1 1, completing 1 1, retiring 1 1"
	if got := strings.Join(visited, ", "); got != want {
		t.Errorf("phases are\n%s, want\n%s", got, want)
	}
}

// TestFailures checks the transition for a failure in each phase.
func TestFailures(t *testing.T) {
	for _, tt := range []struct {
		name   string
		phase  Phase
		step   int
		fault  func(o *Observation)
		want   Phase // "": no transition
		reason Reason
	}{
		{"wrong answer while checking", Checking, 0, func(o *Observation) { o.FailedCheck = "run-000011/0, check sum" }, RollingBack, CheckFailed},
		{"wrong answer while baking", Baking, 1, func(o *Observation) { o.FailedCheck = "run-000011/1, check sum" }, RollingBack, CheckFailed},
		{"wrong answer while completing", Completing, 1, func(o *Observation) { o.FailedCheck = "run-000011/1, check sum" }, RollingBack, CheckFailed},
		{"wrong answer while retiring", Retiring, 1, func(o *Observation) { o.FailedCheck = "run-000011/1, check sum" }, "", ""},
		{"wrong answer, leader not reconciled", Baking, 1, func(o *Observation) { o.Reconciled, o.FailedCheck = false, "run-000011/1, check sum" }, RollingBack, CheckFailed},
		{"not validated while baking", Baking, 0, func(o *Observation) {
			o.Jobs["run-000011"] = Job{Accepted: true, Replicas: 2, Running: 2, Validated: 1}
		}, Checking, ""},
		{"not validated, leader not reconciled", Baking, 0, func(o *Observation) { o.Reconciled = false; o.Jobs["run-000011"] = Job{Accepted: true, Replicas: 2} }, "", ""},
		{"unreachable for too long", Checking, 0, func(o *Observation) {
			o.NowMS += 31_000
			o.Jobs["run-000011"] = Job{Accepted: true, Replicas: 2, Running: 2}
		}, RollingBack, Unreachable},
		{"unreachable for too long by less than the clock error", Checking, 0, func(o *Observation) {
			o.NowMS, o.ClockErrorMS = o.NowMS+31_000, 1000
			o.Jobs["run-000011"] = Job{Accepted: true, Replicas: 2, Running: 2}
		}, "", ""},
		{"no capacity", Starting, 1, func(o *Observation) { o.Jobs["run-000012"] = Job{Accepted: true, Replicas: 2, Running: 1} }, "", ""},
		{"no capacity for too long", Starting, 1, func(o *Observation) { o.NowMS += 101_000; o.Jobs["run-000012"] = Job{Accepted: true, Replicas: 2} }, RollingBack, TimedOut},
		{"new job not submitted", Pending, 0, func(o *Observation) { o.Jobs["run-000011"] = Job{} }, "", ""},
		{"new job never submitted", Pending, 0, func(o *Observation) { o.NowMS += 101_000; o.Jobs["run-000011"] = Job{} }, RollingBack, TimedOut},
		{"new job cancelled", Baking, 1, func(o *Observation) { o.Jobs["run-000012"] = Job{Accepted: true, Replicas: 2, Cancelled: true} }, RollingBack, NewCancelled},
		{"old replicas lost before the next step", Baking, 0, func(o *Observation) {
			o.NowMS += 25_000
			o.Jobs["run-000001"] = Job{Accepted: true, Replicas: 2, Running: 1}
		}, "", ""},
		{"a router has an older routing", Shifting, 0, func(o *Observation) { o.RoutersCurrent = false }, "", ""},
		{"not revalidated while completing", Completing, 1, func(o *Observation) { o.Revalidated = false }, "", ""},
		{"a router has an older routing while completing", Completing, 1, func(o *Observation) { o.RoutersOutdated = true }, "", ""},
		{"bake time not over", Baking, 1, func(o *Observation) { o.NowMS += 29_000 }, "", ""},
	} {
		r := advanceTo(t, NewRecord(parseValidPlan(t), 0), tt.phase, tt.step)
		o := healthyObservation(r)
		tt.fault(o)
		next := r.Next(o)
		switch {
		case next == nil && tt.want != "", next != nil && (next.Phase != tt.want || next.Reason != tt.reason):
			t.Errorf("%s: next record is %+v, want phase %q and reason %q", tt.name, next, tt.want, tt.reason)
		}
	}
}

// TestJobsToCancel checks that jobs are cancelled only after a decision, and only when no router needs them.
func TestJobsToCancel(t *testing.T) {
	r := NewRecord(parseValidPlan(t), 0)
	for _, phase := range []Phase{Pending, Starting, Checking, Shifting, Baking, Completing} {
		r = advanceTo(t, r, phase, r.Step)
		if jobs := r.JobsToCancel(healthyObservation(r)); len(jobs) > 0 {
			t.Errorf("jobs to cancel while %s: %v, want none", phase, jobs)
		}
		if phase == Baking && r.Step == 0 {
			r = advanceTo(t, r, Baking, 1)
		}
	}
	rollingBack, err := r.Change(Abort, 0)
	if err != nil || rollingBack.Phase != RollingBack {
		t.Fatal(rollingBack, err)
	}
	for _, tt := range []struct {
		name   string
		change func(*Observation)
		want   int
	}{
		{"routers are current", func(*Observation) {}, 2},
		{"a router has an older routing", func(o *Observation) { o.RoutersCurrent = false }, 0},
		{"the new version still receives traffic", func(o *Observation) { o.NewReceivesTraffic = true }, 0},
	} {
		o := healthyObservation(rollingBack)
		tt.change(o)
		if jobs := rollingBack.JobsToCancel(o); len(jobs) != tt.want {
			t.Errorf("jobs to cancel while rolling back, %s: %v", tt.name, jobs)
		}
	}
	retiring := advanceTo(t, r, Retiring, 1)
	o := healthyObservation(retiring)
	if jobs := retiring.JobsToCancel(o); len(jobs) != 2 || jobs[0] != "run-000001" {
		t.Errorf("jobs to cancel while retiring: %v, want the two old jobs", jobs)
	}
	o.RoutersOutdated = true
	if jobs := retiring.JobsToCancel(o); len(jobs) > 0 {
		t.Errorf("jobs to cancel while a router may fall back to them: %v, want none", jobs)
	}
	if _, err := retiring.Change(Abort, 0); err == nil {
		t.Error("abort of a plan in the phase retiring was accepted")
	}
}

// TestPause checks that a pause stops the timeout of a phase but does not prevent the rollback after a wrong answer.
func TestPause(t *testing.T) {
	r := advanceTo(t, NewRecord(parseValidPlan(t), 0), Checking, 0)
	paused, err := r.Change(Pause, r.SinceMS+10_000)
	if err != nil {
		t.Fatal(err)
	}
	o := healthyObservation(paused)
	o.NowMS += 500_000
	if next := paused.Next(o); next != nil {
		t.Errorf("next record of a paused plan: %+v, want none", next)
	}
	o.FailedCheck = "run-000011/0, check sum"
	if next := paused.Next(o); next == nil || next.Phase != RollingBack || next.PausedMS != 0 {
		t.Errorf("next record of a paused plan after a wrong answer: %+v", next)
	}
	resumed, err := paused.Change(Resume, r.SinceMS+510_000)
	if err != nil || resumed.SinceMS != r.SinceMS+500_000 {
		t.Errorf("record after resume: %+v, error %v", resumed, err)
	}
	if again, err := resumed.Change(Resume, 0); err != nil || again != resumed {
		t.Errorf("record after a second resume: %+v, error %v", again, err)
	}
}

// TestNewShare checks that no version is sent more than it can serve while the other one has spare capacity.
func TestNewShare(t *testing.T) {
	for _, tt := range []struct {
		old, new, promised, target, want float64
	}{
		{40, 20, 30, 0.25, 0.25},
		{40, 0, 30, 0.25, 0},
		{40, 6, 30, 0.25, 0.2},
		{15, 20, 30, 0, 0.5},
		{10, 10, 30, 0.1, 0.5},
		{0, 40, 30, 1, 1},
		{0, 0, 30, 1, 0},
		{0, 10, 0, 1, 1},
	} {
		if share := (Capacity{Old: tt.old, New: tt.new, Promised: tt.promised}).NewShare(tt.target); share < tt.want-1e-9 || share > tt.want+1e-9 {
			t.Errorf("%+v: share is %g", tt, share)
		}
	}
}

// TestValidations checks that an attempt is validated only by answers of its own.
func TestValidations(t *testing.T) {
	validations := NewValidations(time.Second)
	old := Replica{Job: "run-000001", Task: "run-000001/0", Attempt: 1, Version: OldVersion}
	first := Replica{Job: "run-000011", Task: "run-000011/0", Attempt: 1, Version: NewVersion}
	second := first
	second.Attempt = 2
	validations.SetReplicas([]Replica{old, first})
	probes := validations.DueProbes(0, 10)
	if len(probes) != 2 || probes[1].Reference != nil || validations.Validated(first, 0) || validations.AllProbed() {
		t.Fatalf("%+v", probes)
	}
	validations.RecordResult(old, ProbeResult{Verdict: Passed}, 0)
	validations.RecordResult(first, ProbeResult{Verdict: Passed}, 0)
	if !validations.Validated(first, 0) || !validations.AllProbed() || len(validations.DueProbes(500*time.Millisecond, 10)) > 0 {
		t.Error("a passed probe does not validate the replica, or is due again at once")
	}
	if probes = validations.DueProbes(time.Second, 10); len(probes) != 2 || probes[1].Reference == nil {
		t.Errorf("no reference for the new replica: %+v", probes)
	}
	validations.SetReplicas([]Replica{old, second})
	if validations.Validated(second, 0) || validations.Validated(first, 0) {
		t.Error("a new attempt starts validated, or the earlier one is still validated")
	}
	validations.RecordResult(first, ProbeResult{Verdict: Failed, Check: "sum"}, time.Second)
	if validations.FailedCheck() == "" {
		t.Error("a failed check of an earlier attempt is ignored")
	}
	validations.RecordResult(second, ProbeResult{Verdict: Passed}, time.Second)
	if !validations.Validated(second, 3*time.Second) || validations.Validated(second, 4*time.Second) {
		t.Error("a passed probe is not valid for three intervals, or does not expire")
	}
	for _, v := range []Verdict{NotValidated, NotReached, NotCompared} {
		validations.RecordResult(second, ProbeResult{Verdict: v}, 5*time.Second)
		if validations.Validated(second, 5*time.Second) {
			t.Errorf("a replica with verdict %q is validated", v)
		}
	}
}

// TestRouterLeases checks that a generation counts as current only when each router has it or has an expired lease.
func TestRouterLeases(t *testing.T) {
	const lease = 10 * time.Second
	older, newer := Generation{Term: 3, Revision: 9}, Generation{Term: 4, Revision: 1}
	if !older.Before(newer) || newer.Before(older) || newer.Before(newer) {
		t.Fatal("the order of generations is wrong")
	}
	leases := NewRouterLeases(lease, 0, 2)
	if leases.AllCurrent(newer, lease-1) || !leases.AllCurrent(newer, lease) {
		t.Error("leases of an earlier leader expire too early or not at all")
	}
	leases.Grant("a", older, newer, lease)
	if leases.AllCurrent(newer, lease+1) {
		t.Error("a router with an older generation counts as current")
	}
	leases.Grant("a", newer, newer, lease+2)
	leases.Grant("b", older, newer, lease+3)
	if leases.AllCurrent(newer, 2*lease+2) || !leases.AllCurrent(newer, 2*lease+3) {
		t.Error("the lease of a router expires too early or not at all")
	}
	if leases.Grant("c", newer, newer, 2*lease) {
		t.Error("a router beyond the maximum number was granted a lease")
	}
	if !leases.Grant("c", newer, newer, 20*lease) {
		t.Error("routers are not evicted after ten leases without a request")
	}
	leases = NewRouterLeases(lease, 0, 2)
	leases.Grant("a", newer, newer, lease)
	if leases.AnyOutdated([]string{"a"}, newer, lease, lease) || !leases.AnyOutdated([]string{"a", "b"}, newer, 5*lease, lease) || leases.AnyOutdated([]string{"b"}, newer, 5*lease, 5*lease) {
		t.Error("AnyOutdated reports a router that is current or gone, or misses one that is outdated")
	}
}

// TestDecode checks that a record with an unknown phase is distinguished from one that is malformed.
func TestDecode(t *testing.T) {
	if r, err := Decode([]byte(`{"plan":` + validPlan + `,"phase":"unsupported","step":0}`)); !errors.Is(err, ErrUnreadable) || r == nil || r.BlocksStart("run-000099") {
		t.Errorf("record with an unknown phase: %v, error %v", r, err)
	}
	for _, text := range []string{`{`, `{}`, `{"plan":` + validPlan + `,"phase":"baking","step":7}`} {
		if r, err := Decode([]byte(text)); !errors.Is(err, ErrUnreadable) || r != nil {
			t.Errorf("%s: record %v, error %v", text, r, err)
		}
	}
}

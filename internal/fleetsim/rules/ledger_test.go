package rules

import (
	"testing"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/wire"
)

// TestRules checks that a violation of each rule is recorded once, and that allowed events close to it are not.
func TestRules(t *testing.T) {
	type setup struct {
		ledger *Ledger
		now    *time.Duration
	}
	const job = "run-000001"
	for _, test := range []struct {
		rule             Rule
		allowed, violate func(setup)
	}{
		{RanTwice, func(s setup) {
			s.ledger.TaskRuns("m1", job+"/0")
			s.ledger.TaskEnds("m1", job+"/0", false)
			s.ledger.TaskRuns("m2", job+"/0")
		}, func(s setup) { s.ledger.TaskRuns("m1", job+"/0") }},
		{QuotaExceeded, func(s setup) {
			s.ledger.TaskRuns("m1", job+"/0")
			s.ledger.TaskRuns("m1", job+"/1")
		}, func(s setup) { s.ledger.TaskRuns("m1", job+"/2") }},
		{RanCancelled, func(s setup) {
			s.ledger.TaskRuns("m1", job+"/0")
			s.ledger.RecordStatus(job, wire.JobCancelled)
			*s.now += 30 * time.Second
			s.ledger.CheckCancelled()
		}, func(s setup) {
			*s.now += time.Second
			s.ledger.CheckCancelled()
			s.ledger.CheckCancelled()
		}},
		{RanCancelled, func(s setup) {
			s.ledger.RecordStatus(job, wire.JobCancelled)
			*s.now += 31 * time.Second
			s.ledger.CheckCancelled()
		}, func(s setup) { s.ledger.TaskRuns("m1", job+"/0") }},
		{AcceptedJobLost, func(s setup) { s.ledger.RecordNotFound(job) }, func(s setup) {
			s.ledger.RecordAccepted(job)
			s.ledger.RecordNotFound(job)
		}},
		{DoneTooEarly, func(s setup) {
			s.ledger.TaskRuns("m1", job+"/0")
			s.ledger.TaskEnds("m1", job+"/0", true)
		}, func(s setup) { s.ledger.RecordStatus(job, wire.JobDone) }},
	} {
		now := time.Duration(0)
		ledger := NewLedger([]config.Team{{Name: "red", MaxGPUs: 2}}, 30*time.Second, func() time.Duration { return now })
		ledger.RecordSubmission(&wire.Job{ID: job, Team: "red", Tasks: 3, GPUs: 1})
		s := setup{ledger, &now}
		test.allowed(s)
		if v := ledger.Violations(); len(v) > 0 {
			t.Errorf("%s: violations after allowed events = %v, want none", test.rule, v)
		}
		test.violate(s)
		if v := ledger.Violations(); len(v) != 1 || v[0].Rule != test.rule {
			t.Errorf("%s: violations = %v, want one of this rule", test.rule, v)
		}
	}
}

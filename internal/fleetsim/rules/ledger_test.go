package rules

import (
	"testing"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/wire"
)

// ledgerSetup is the ledger of a test, with its clock.
type ledgerSetup struct {
	ledger *Ledger
	now    *time.Duration
}

// checkedJob is the job of TestRules.
const checkedJob = "run-000001"

// ruleTests are events that violate one rule each, after allowed events that are close to it.
var ruleTests = []struct {
	rule             Rule
	allowed, violate func(ledgerSetup)
}{
	{RanTwice, func(s ledgerSetup) {
		s.ledger.TaskRuns("m1", checkedJob+"/0")
		s.ledger.TaskEnds("m1", checkedJob+"/0", false)
		s.ledger.TaskRuns("m2", checkedJob+"/0")
	}, func(s ledgerSetup) { s.ledger.TaskRuns("m1", checkedJob+"/0") }},
	{QuotaExceeded, func(s ledgerSetup) {
		s.ledger.TaskRuns("m1", checkedJob+"/0")
		s.ledger.TaskRuns("m1", checkedJob+"/1")
	}, func(s ledgerSetup) { s.ledger.TaskRuns("m1", checkedJob+"/2") }},
	{RanCancelled, func(s ledgerSetup) {
		s.ledger.TaskRuns("m1", checkedJob+"/0")
		s.ledger.RecordStatus(checkedJob, wire.JobCancelled)
		*s.now += 30 * time.Second
		s.ledger.CheckCancelled()
	}, func(s ledgerSetup) {
		*s.now += time.Second
		s.ledger.CheckCancelled()
		s.ledger.CheckCancelled()
	}},
	{RanCancelled, func(s ledgerSetup) {
		s.ledger.RecordStatus(checkedJob, wire.JobCancelled)
		*s.now += 31 * time.Second
		s.ledger.CheckCancelled()
	}, func(s ledgerSetup) { s.ledger.TaskRuns("m1", checkedJob+"/0") }},
	{StartedCancelled, func(s ledgerSetup) {
		s.ledger.TaskRuns("m1", checkedJob+"/0")
		s.ledger.RecordStatus(checkedJob, wire.JobCancelled)
	}, func(s ledgerSetup) { s.ledger.TaskRuns("m1", checkedJob+"/1") }},
	{StartedAgain, func(s ledgerSetup) {
		s.ledger.RecordStart("m1", checkedJob+"/0", 1)
		s.ledger.RecordStart("m1", checkedJob+"/0", 2)
		s.ledger.RecordStart("m2", checkedJob+"/0", 1)
	}, func(s ledgerSetup) { s.ledger.RecordStart("m1", checkedJob+"/0", 1) }},
	{AcceptedJobLost, func(s ledgerSetup) { s.ledger.RecordNotFound(checkedJob) }, func(s ledgerSetup) {
		s.ledger.RecordAccepted(checkedJob)
		s.ledger.RecordNotFound(checkedJob)
	}},
	{DoneTooEarly, func(s ledgerSetup) {
		s.ledger.TaskRuns("m1", checkedJob+"/0")
		s.ledger.TaskEnds("m1", checkedJob+"/0", true)
	}, func(s ledgerSetup) { s.ledger.RecordStatus(checkedJob, wire.JobDone) }},
}

// TestRules checks that a violation of each rule is recorded once, and that allowed events close to it are not.
func TestRules(t *testing.T) {
	for _, test := range ruleTests {
		now := time.Duration(0)
		ledger := NewLedger([]config.Team{{Name: "red", MaxGPUs: 2}}, 30*time.Second, func() time.Duration { return now })
		ledger.RecordSubmission(&wire.Job{ID: checkedJob, Team: "red", Tasks: 3, GPUs: 1})
		s := ledgerSetup{ledger, &now}
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

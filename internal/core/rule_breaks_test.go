package core_test

import (
	"strings"
	"testing"
	"time"

	"bitternwing/internal/wire"
)

// Job IDs of TestRuleChecker.
const checkedID, otherID = "run-000001", "run-000002"

// checkedSpec returns the job that TestRuleChecker submits. Its arguments are valid constants, so the simulation that
// parses them needs no testing.TB.
func checkedSpec() *wire.Job {
	return (&simulation{}).parseJob([]string{checkedID, "tasks=4", "gpus=3", "team=red"}).spec
}

// seconds converts a number of seconds to a duration.
func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// ruleViolations are sequences of events that violate one rule each: the first word of the key.
var ruleViolations = map[string]func(checker *ruleChecker){
	"ran_twice": func(checker *ruleChecker) {
		checker.recordStart(seconds(1), taskStart{checkedID + "/0", "m1", "g8", "z1", false})
		checker.recordStart(seconds(2), taskStart{checkedID + "/0", "m2", "g8", "z1", false})
	},
	"quota": func(checker *ruleChecker) {
		for i := range 3 {
			checker.recordStart(seconds(1), taskStart{wire.TaskName(checkedID, i), "m1", "g8", "z1", false})
		}
	},
	"wrong_place spot": func(checker *ruleChecker) {
		checker.recordStart(seconds(1), taskStart{checkedID + "/0", "m1", "g8", "z1", true})
	},
	"wrong_place type": func(checker *ruleChecker) {
		checker.jobs[checkedID].spec.MachineTypes = []string{"h4"}
		checker.recordStart(seconds(1), taskStart{checkedID + "/0", "m1", "g8", "z1", false})
	},
	"wrong_place zone": func(checker *ruleChecker) {
		checker.recordSubmission(checkedSpec()).spec.Zone = "z2"
		checker.recordStart(seconds(1), taskStart{checkedID + "/0", "m1", "g8", "z1", false})
	},
	"wrong_place one_zone": func(checker *ruleChecker) {
		checker.jobs[checkedID].spec.SingleZone = true
		checker.recordStart(seconds(1), taskStart{checkedID + "/0", "m1", "g8", "z1", false})
		checker.recordStart(seconds(1), taskStart{checkedID + "/1", "m2", "g8", "z2", false})
	},
	"wrong_place spread": func(checker *ruleChecker) {
		checker.jobs[checkedID].spec.SpreadZones, checker.jobs[checkedID].spec.GPUs = true, 1
		for i := range 3 {
			checker.recordStart(seconds(1), taskStart{wire.TaskName(checkedID, i), "m1", "g8", "z1", false})
		}
	},
	"ran_cancelled stays": func(checker *ruleChecker) {
		checker.jobs[checkedID].cancelRequested = true
		checker.recordStart(seconds(1), taskStart{checkedID + "/0", "m1", "g8", "z1", false})
		checker.recordResponse(seconds(2), userResponse{seconds(2), requestCancel, checkedID, 200, wire.JobCancelled})
		checker.checkCancelledJobs(seconds(2) + cancellationLimit + 1)
	},
	"ran_cancelled starts": func(checker *ruleChecker) {
		checker.jobs[checkedID].cancelRequested = true
		checker.recordResponse(seconds(2), userResponse{seconds(2), requestCancel, checkedID, 200, wire.JobCancelled})
		checker.recordStart(seconds(2)+cancellationLimit+1, taskStart{checkedID + "/0", "m1", "g8", "z1", false})
	},
	"started_cancelled": func(checker *ruleChecker) {
		checker.jobs[checkedID].cancelRequested = true
		checker.recordResponse(seconds(2), userResponse{seconds(2), requestCancel, checkedID, 200, wire.JobCancelled})
		checker.recordStart(seconds(3), taskStart{checkedID + "/0", "m1", "g8", "z1", false})
	},
	"too_early": func(checker *ruleChecker) {
		dependent := checkedSpec()
		dependent.ID, dependent.Dependencies = otherID, []string{checkedID}
		checker.recordSubmission(dependent)
		checker.recordStart(seconds(1), taskStart{otherID + "/0", "m1", "g8", "z1", false})
	},
	"orphaned": func(checker *ruleChecker) {
		dependent := checkedSpec()
		dependent.ID, dependent.Dependencies = otherID, []string{checkedID}
		checker.recordSubmission(dependent)
		checker.jobs[checkedID].cancelRequested = true
		checker.recordResponse(seconds(2), userResponse{seconds(1), requestCancel, checkedID, 200, wire.JobCancelled})
		checker.recordResponse(seconds(5), userResponse{seconds(4), requestPoll, otherID, 200, wire.JobPending})
		late := seconds(2) + cancellationLimit + 1
		checker.recordResponse(late, userResponse{late, requestPoll, otherID, 200, wire.JobPending})
	},
	"forgotten poll": func(checker *ruleChecker) {
		checker.recordResponse(seconds(1), userResponse{seconds(1), requestSubmit, checkedID, 201, wire.JobPending})
		checker.recordResponse(seconds(3), userResponse{seconds(2), requestPoll, checkedID, 404, ""})
	},
	"forgotten submit": func(checker *ruleChecker) {
		checker.recordResponse(seconds(1), userResponse{seconds(1), requestSubmit, checkedID, 201, wire.JobPending})
		checker.recordResponse(seconds(3), userResponse{seconds(2), requestSubmit, checkedID, 422, ""})
	},
	"invented response": func(checker *ruleChecker) {
		checker.recordResponse(seconds(1), userResponse{seconds(1), requestPoll, otherID, 200, wire.JobPending})
	},
	"invented start": func(checker *ruleChecker) {
		checker.recordStart(seconds(1), taskStart{otherID + "/0", "m1", "g8", "z1", false})
	},
	"not_done": func(checker *ruleChecker) {
		checker.recordResponse(seconds(1), userResponse{seconds(1), requestPoll, checkedID, 200, wire.JobDone})
	},
	"went_back": func(checker *ruleChecker) {
		checker.jobs[checkedID].cancelRequested = true
		checker.recordResponse(seconds(2), userResponse{seconds(1), requestCancel, checkedID, 200, wire.JobCancelled})
		checker.recordResponse(seconds(4), userResponse{seconds(3), requestPoll, checkedID, 200, wire.JobRunning})
	},
	"went_back without request": func(checker *ruleChecker) {
		checker.recordResponse(seconds(2), userResponse{seconds(1), requestPoll, checkedID, 200, wire.JobCancelled})
	},
}

// TestRuleChecker checks that the checker reports each violation exactly once, under its rule.
func TestRuleChecker(t *testing.T) {
	for rule, violate := range ruleViolations {
		checker := newRuleChecker(map[string]float64{"red": 8}, cancellationLimit)
		checker.recordSubmission(checkedSpec())
		if violate(checker); len(checker.violations) != 1 || !strings.Contains(checker.violations[0], strings.Fields(rule)[0]) {
			t.Errorf("%s: got violations %v, want exactly one of this rule", rule, checker.violations)
		}
	}
}

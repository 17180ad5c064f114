package core_test

import (
	"strings"
	"testing"
	"time"

	"bitternwing/internal/wire"
)

// Jobs of TestRuleChecker.
const checkedID, otherID = "run-000001", "run-000002"

// checkedSpec is the job that TestRuleChecker submits. Its words are constant, so nothing fails in reading them.
func checkedSpec() *wire.Job {
	return (&sim{}).newJob([]string{checkedID, "tasks=4", "gpus=3", "team=red"}).spec
}

// seconds gives a time in seconds.
func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// ruleBreakingDays break one rule each, which the first word of their name tells.
var ruleBreakingDays = map[string]func(j *ruleChecker){
	"ran_twice": func(j *ruleChecker) {
		j.starts(seconds(1), taskStart{checkedID + "/0", "m1", "g8", "z1", false})
		j.starts(seconds(2), taskStart{checkedID + "/0", "m2", "g8", "z1", false})
	},
	"quota": func(j *ruleChecker) {
		for i := range 3 {
			j.starts(seconds(1), taskStart{wire.TaskName(checkedID, i), "m1", "g8", "z1", false})
		}
	},
	"wrong_place spot": func(j *ruleChecker) { j.starts(seconds(1), taskStart{checkedID + "/0", "m1", "g8", "z1", true}) },
	"wrong_place type": func(j *ruleChecker) {
		j.jobs[checkedID].spec.MachineTypes = []string{"h4"}
		j.starts(seconds(1), taskStart{checkedID + "/0", "m1", "g8", "z1", false})
	},
	"wrong_place zone": func(j *ruleChecker) {
		j.submits(checkedSpec()).spec.Zone = "z2"
		j.starts(seconds(1), taskStart{checkedID + "/0", "m1", "g8", "z1", false})
	},
	"wrong_place one_zone": func(j *ruleChecker) {
		j.jobs[checkedID].spec.SingleZone = true
		j.starts(seconds(1), taskStart{checkedID + "/0", "m1", "g8", "z1", false})
		j.starts(seconds(1), taskStart{checkedID + "/1", "m2", "g8", "z2", false})
	},
	"wrong_place spread": func(j *ruleChecker) {
		j.jobs[checkedID].spec.SpreadZones, j.jobs[checkedID].spec.GPUs = true, 1
		for i := range 3 {
			j.starts(seconds(1), taskStart{wire.TaskName(checkedID, i), "m1", "g8", "z1", false})
		}
	},
	"ran_cancelled stays": func(j *ruleChecker) {
		j.jobs[checkedID].asked = true
		j.starts(seconds(1), taskStart{checkedID + "/0", "m1", "g8", "z1", false})
		j.told(seconds(2), userAnswer{seconds(2), requestCancel, checkedID, 200, wire.JobCancelled})
		j.passes(seconds(2) + simCancel + 1)
	},
	"ran_cancelled starts": func(j *ruleChecker) {
		j.jobs[checkedID].asked = true
		j.told(seconds(2), userAnswer{seconds(2), requestCancel, checkedID, 200, wire.JobCancelled})
		j.starts(seconds(2)+simCancel+1, taskStart{checkedID + "/0", "m1", "g8", "z1", false})
	},
	"started_cancelled": func(j *ruleChecker) {
		j.jobs[checkedID].asked = true
		j.told(seconds(2), userAnswer{seconds(2), requestCancel, checkedID, 200, wire.JobCancelled})
		j.starts(seconds(3), taskStart{checkedID + "/0", "m1", "g8", "z1", false})
	},
	"too_early": func(j *ruleChecker) {
		needing := checkedSpec()
		needing.ID, needing.Dependencies = otherID, []string{checkedID}
		j.submits(needing)
		j.starts(seconds(1), taskStart{otherID + "/0", "m1", "g8", "z1", false})
	},
	"orphaned": func(j *ruleChecker) {
		needing := checkedSpec()
		needing.ID, needing.Dependencies = otherID, []string{checkedID}
		j.submits(needing)
		j.jobs[checkedID].asked = true
		j.told(seconds(2), userAnswer{seconds(1), requestCancel, checkedID, 200, wire.JobCancelled})
		j.told(seconds(5), userAnswer{seconds(4), requestPoll, otherID, 200, wire.JobPending})
		late := seconds(2) + simCancel + 1
		j.told(late, userAnswer{late, requestPoll, otherID, 200, wire.JobPending})
	},
	"forgotten poll": func(j *ruleChecker) {
		j.told(seconds(1), userAnswer{seconds(1), requestSubmit, checkedID, 201, wire.JobPending})
		j.told(seconds(3), userAnswer{seconds(2), requestPoll, checkedID, 404, ""})
	},
	"forgotten submit": func(j *ruleChecker) {
		j.told(seconds(1), userAnswer{seconds(1), requestSubmit, checkedID, 201, wire.JobPending})
		j.told(seconds(3), userAnswer{seconds(2), requestSubmit, checkedID, 422, ""})
	},
	"invented answer": func(j *ruleChecker) {
		j.told(seconds(1), userAnswer{seconds(1), requestPoll, otherID, 200, wire.JobPending})
	},
	"invented start": func(j *ruleChecker) { j.starts(seconds(1), taskStart{otherID + "/0", "m1", "g8", "z1", false}) },
	"not_done": func(j *ruleChecker) {
		j.told(seconds(1), userAnswer{seconds(1), requestPoll, checkedID, 200, wire.JobDone})
	},
	"went_back": func(j *ruleChecker) {
		j.jobs[checkedID].asked = true
		j.told(seconds(2), userAnswer{seconds(1), requestCancel, checkedID, 200, wire.JobCancelled})
		j.told(seconds(4), userAnswer{seconds(3), requestPoll, checkedID, 200, wire.JobRunning})
	},
	"went_back unasked": func(j *ruleChecker) {
		j.told(seconds(2), userAnswer{seconds(1), requestPoll, checkedID, 200, wire.JobCancelled})
	},
}

// TestRuleChecker shows that each check can fail.
func TestRuleChecker(t *testing.T) {
	for rule, day := range ruleBreakingDays {
		j := newRuleChecker(map[string]float64{"red": 8}, simCancel)
		j.submits(checkedSpec())
		if day(j); len(j.broken) != 1 || !strings.Contains(j.broken[0], strings.Fields(rule)[0]) {
			t.Errorf("%s: the checker says %v", rule, j.broken)
		}
	}
}

package core_test

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"bitternwing/internal/wire"
)

// ruleChecker watches a simulated day for broken rules. It knows what is on the machines and what
// users were told, and nothing of what the nodes think. A task is on its machine from the
// moment its image is there until it exits, is killed or the machine is gone.
type ruleChecker struct {
	limits map[string]float64 // GPUs that a team may use
	cancel time.Duration      // time for a cancelled job's tasks to be gone
	types  map[string]bool    // machine types that the cloud has

	jobs   map[string]*checkedJob
	on     map[string]map[string]onMachine // by task, by machine
	broken []string
}

type checkedJob struct {
	spec      *wire.Job
	submitted bool
	accepted  time.Duration // when its user was first told; 0: not yet
	asked     bool          // its user asked for it to be cancelled
	final     wire.JobStatus
	finalAt   time.Duration // when a user was first told
	toldAt    time.Duration // of its cancellation
	done      map[int]bool
}

type onMachine struct{ zone string }

func newRuleChecker(limits map[string]float64, cancel time.Duration) *ruleChecker {
	return &ruleChecker{limits: limits, cancel: cancel, types: map[string]bool{"g8": true},
		jobs: map[string]*checkedJob{}, on: map[string]map[string]onMachine{}}
}

func (j *ruleChecker) breaks(now time.Duration, rule, format string, args ...any) {
	j.broken = append(j.broken, fmt.Sprintf("%.3f %s: %s", now.Seconds(), rule, fmt.Sprintf(format, args...)))
}

func (j *ruleChecker) submits(spec *wire.Job) *checkedJob {
	x := j.jobs[spec.ID]
	if x == nil {
		x = &checkedJob{spec: spec, done: map[int]bool{}}
		j.jobs[spec.ID] = x
	}
	x.submitted = true
	return x
}

// taskPlace is the machine on which a task starts.
type taskPlace struct {
	machine, kind, zone string
	spot                bool
}

// starts takes note of a task that is on a machine from now on.
func (j *ruleChecker) starts(now time.Duration, task string, place taskPlace) {
	id, _, _ := wire.ParseTaskName(task)
	x := j.jobs[id]
	if x == nil {
		j.breaks(now, "invented", "%s starts on %s, which nobody submitted", task, place.machine)
		return
	}
	for other := range j.on[task] {
		j.breaks(now, "ran_twice", "%s starts on %s while it is on %s", task, place.machine, other)
	}
	if j.on[task] == nil {
		j.on[task] = map[string]onMachine{}
	}
	j.on[task][place.machine] = onMachine{place.zone}
	used := j.gpusOf(x.spec.Team)
	if most := j.limits[x.spec.Team]; most > 0 && used > most+1e-9 {
		j.breaks(now, "quota", "%s uses %g of %g with %s", x.spec.Team, used, most, task)
	}
	for _, need := range x.spec.Dependencies {
		if y := j.jobs[need]; y == nil || len(y.done) < y.spec.Tasks {
			j.breaks(now, "too_early", "%s starts on %s before %s is done", task, place.machine, need)
		}
	}
	if !j.allowedPlace(x.spec, id, place) {
		j.breaks(now, "wrong_place", "%s starts on %s (%s, %s, spot %v)", task, place.machine, place.kind, place.zone, place.spot)
	}
	if x.toldAt != 0 {
		rule := "ran_cancelled"
		if now <= x.toldAt+j.cancel {
			rule = "started_cancelled"
		}
		j.breaks(now, rule, "%s starts on %s, its user was told at %.3f", task, place.machine, x.toldAt.Seconds())
	}
}

// gpusOf gives the GPUs that the tasks of a team use.
func (j *ruleChecker) gpusOf(team string) float64 {
	used := 0.0
	for task, machines := range j.on {
		id, _, _ := wire.ParseTaskName(task)
		if other := j.jobs[id]; other != nil && other.spec.Team == team {
			used += float64(len(machines)) * other.spec.GPUs
		}
	}
	return used
}

// allowedPlace tells whether a job's task that starts may be on such a machine, given where the job's tasks are.
func (j *ruleChecker) allowedPlace(s *wire.Job, id string, place taskPlace) bool {
	here, elsewhere := j.tasksByZone(id, place.zone)
	switch {
	case s.MachineTypes != nil && !slices.Contains(s.MachineTypes, place.kind), place.spot && !s.Spot, s.Zone != "" && s.Zone != place.zone:
		return false
	case s.SingleZone && elsewhere > 0, s.SpreadZones && here > (s.Tasks+1)/2:
		return false
	}
	return true
}

// tasksByZone counts the tasks of a job in a zone and in all others.
func (j *ruleChecker) tasksByZone(id, zone string) (here, elsewhere int) {
	for task, machines := range j.on {
		if other, _, _ := wire.ParseTaskName(task); other != id {
			continue
		}
		for _, m := range machines {
			if m.zone == zone {
				here++
			} else {
				elsewhere++
			}
		}
	}
	return here, elsewhere
}

// ends takes note of a task that is on a machine no more; done if it completed there.
func (j *ruleChecker) ends(task, machine string, done bool) {
	delete(j.on[task], machine)
	if id, n, ok := wire.ParseTaskName(task); ok && done && j.jobs[id] != nil {
		j.jobs[id].done[n] = true
	}
}

// passes looks for cancelled jobs whose time is over.
func (j *ruleChecker) passes(now time.Duration) {
	for _, t := range sortedKeys(j.on) {
		id, _, _ := wire.ParseTaskName(t)
		x := j.jobs[id]
		if x == nil || x.toldAt == 0 || now <= x.toldAt+j.cancel {
			continue
		}
		for _, m := range sortedKeys(j.on[t]) {
			j.breaks(now, "ran_cancelled", "%s is on %s, its user was told at %.3f", t, m, x.toldAt.Seconds())
			delete(j.on[t], m) // once is enough
		}
	}
}

// told takes note of an answer about a job: to a submission, a poll or a cancel that was sent
// at asked. Questions that cross on their way may be answered in any order.
func (j *ruleChecker) told(now, asked time.Duration, verb, id string, status int, state wire.JobStatus) {
	x := j.jobs[id]
	known := status == 200 || status == 201
	if x == nil || !x.submitted {
		if known {
			j.breaks(now, "invented", "%s of %s, which nobody submitted, gets %d", verb, id, status)
		}
		return
	}
	if !known {
		if x.accepted != 0 && asked > x.accepted && (status == 404 || verb == "submit" && (status == 400 || status == 422)) {
			j.breaks(now, "forgotten", "%s of %s gets %d", verb, id, status)
		}
		return
	}
	if x.accepted == 0 {
		x.accepted = now
	}
	switch {
	case x.final != "" && state != x.final && asked > x.finalAt:
		j.breaks(now, "went_back", "%s of %s says %s after %s", verb, id, state, x.final)
	case state == wire.JobCancelled && !j.calledOff(x):
		j.breaks(now, "went_back", "%s of %s says %s, which nobody asked for", verb, id, state)
	}
	if state != wire.JobCancelled {
		if told := j.neededToldAt(x); told != 0 && asked > told+j.cancel {
			j.breaks(now, "orphaned", "%s of %s says %s, a job that it needs was called cancelled at %.3f", verb, id, state, told.Seconds())
		}
	}
	if x.final == "" {
		x.finalAt = now
	}
	switch state {
	case wire.JobDone:
		x.final = state
		if len(x.done) < x.spec.Tasks {
			j.breaks(now, "not_done", "%s of %s says done with %d of %d tasks", verb, id, len(x.done), x.spec.Tasks)
		}
	case wire.JobCancelled:
		if x.toldAt == 0 {
			x.toldAt = now
		}
		x.final = state
	case wire.JobPending, wire.JobRunning:
	}
}

// calledOff tells whether a job's user asked for it, or for a job that it needs, to be cancelled; a
// request that was answered with done counts for nothing.
func (j *ruleChecker) calledOff(x *checkedJob) bool {
	if x.asked && x.final != wire.JobDone {
		return true
	}
	for _, need := range x.spec.Dependencies {
		if y := j.jobs[need]; y != nil && y.final != wire.JobDone && j.calledOff(y) {
			return true
		}
	}
	return false
}

// neededToldAt gives when a user was first told that a job which this one needs, directly or through
// others, is cancelled; 0 if none was.
func (j *ruleChecker) neededToldAt(x *checkedJob) time.Duration {
	first := time.Duration(0)
	for _, need := range x.spec.Dependencies {
		y := j.jobs[need]
		if y == nil {
			continue
		}
		for _, at := range []time.Duration{y.toldAt, j.neededToldAt(y)} {
			if at != 0 && (first == 0 || at < first) {
				first = at
			}
		}
	}
	return first
}

func sortedKeys[V any](m map[string]V) []string {
	ks := make([]string, 0, len(m))
	for k := range m {
		ks = append(ks, k)
	}
	sort.Strings(ks)
	return ks
}

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
		j.starts(seconds(1), checkedID+"/0", taskPlace{"m1", "g8", "z1", false})
		j.starts(seconds(2), checkedID+"/0", taskPlace{"m2", "g8", "z1", false})
	},
	"quota": func(j *ruleChecker) {
		for i := range 3 {
			j.starts(seconds(1), wire.TaskName(checkedID, i), taskPlace{"m1", "g8", "z1", false})
		}
	},
	"wrong_place spot": func(j *ruleChecker) { j.starts(seconds(1), checkedID+"/0", taskPlace{"m1", "g8", "z1", true}) },
	"wrong_place type": func(j *ruleChecker) {
		j.jobs[checkedID].spec.MachineTypes = []string{"h4"}
		j.starts(seconds(1), checkedID+"/0", taskPlace{"m1", "g8", "z1", false})
	},
	"wrong_place zone": func(j *ruleChecker) {
		j.submits(checkedSpec()).spec.Zone = "z2"
		j.starts(seconds(1), checkedID+"/0", taskPlace{"m1", "g8", "z1", false})
	},
	"wrong_place one_zone": func(j *ruleChecker) {
		j.jobs[checkedID].spec.SingleZone = true
		j.starts(seconds(1), checkedID+"/0", taskPlace{"m1", "g8", "z1", false})
		j.starts(seconds(1), checkedID+"/1", taskPlace{"m2", "g8", "z2", false})
	},
	"wrong_place spread": func(j *ruleChecker) {
		j.jobs[checkedID].spec.SpreadZones, j.jobs[checkedID].spec.GPUs = true, 1
		for i := range 3 {
			j.starts(seconds(1), wire.TaskName(checkedID, i), taskPlace{"m1", "g8", "z1", false})
		}
	},
	"ran_cancelled stays": func(j *ruleChecker) {
		j.jobs[checkedID].asked = true
		j.starts(seconds(1), checkedID+"/0", taskPlace{"m1", "g8", "z1", false})
		j.told(seconds(2), seconds(2), "cancel", checkedID, 200, wire.JobCancelled)
		j.passes(seconds(2) + simCancel + 1)
	},
	"ran_cancelled starts": func(j *ruleChecker) {
		j.jobs[checkedID].asked = true
		j.told(seconds(2), seconds(2), "cancel", checkedID, 200, wire.JobCancelled)
		j.starts(seconds(2)+simCancel+1, checkedID+"/0", taskPlace{"m1", "g8", "z1", false})
	},
	"started_cancelled": func(j *ruleChecker) {
		j.jobs[checkedID].asked = true
		j.told(seconds(2), seconds(2), "cancel", checkedID, 200, wire.JobCancelled)
		j.starts(seconds(3), checkedID+"/0", taskPlace{"m1", "g8", "z1", false})
	},
	"too_early": func(j *ruleChecker) {
		needing := checkedSpec()
		needing.ID, needing.Dependencies = otherID, []string{checkedID}
		j.submits(needing)
		j.starts(seconds(1), otherID+"/0", taskPlace{"m1", "g8", "z1", false})
	},
	"orphaned": func(j *ruleChecker) {
		needing := checkedSpec()
		needing.ID, needing.Dependencies = otherID, []string{checkedID}
		j.submits(needing)
		j.jobs[checkedID].asked = true
		j.told(seconds(2), seconds(1), "cancel", checkedID, 200, wire.JobCancelled)
		j.told(seconds(5), seconds(4), "poll", otherID, 200, wire.JobPending)
		late := seconds(2) + simCancel + 1
		j.told(late, late, "poll", otherID, 200, wire.JobPending)
	},
	"forgotten poll": func(j *ruleChecker) {
		j.told(seconds(1), seconds(1), "submit", checkedID, 201, wire.JobPending)
		j.told(seconds(3), seconds(2), "poll", checkedID, 404, "")
	},
	"forgotten submit": func(j *ruleChecker) {
		j.told(seconds(1), seconds(1), "submit", checkedID, 201, wire.JobPending)
		j.told(seconds(3), seconds(2), "submit", checkedID, 422, "")
	},
	"invented answer": func(j *ruleChecker) { j.told(seconds(1), seconds(1), "poll", otherID, 200, wire.JobPending) },
	"invented start":  func(j *ruleChecker) { j.starts(seconds(1), otherID+"/0", taskPlace{"m1", "g8", "z1", false}) },
	"not_done":        func(j *ruleChecker) { j.told(seconds(1), seconds(1), "poll", checkedID, 200, wire.JobDone) },
	"went_back": func(j *ruleChecker) {
		j.jobs[checkedID].asked = true
		j.told(seconds(2), seconds(1), "cancel", checkedID, 200, wire.JobCancelled)
		j.told(seconds(4), seconds(3), "poll", checkedID, 200, wire.JobRunning)
	},
	"went_back unasked": func(j *ruleChecker) { j.told(seconds(2), seconds(1), "poll", checkedID, 200, wire.JobCancelled) },
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

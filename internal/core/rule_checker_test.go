package core_test

import (
	"fmt"
	"slices"
	"sort"
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

// taskStart is the start of a task on a machine.
type taskStart struct {
	task, machine, machineType, zone string
	spot                             bool
}

// starts takes note of a task that is on a machine from now on.
func (j *ruleChecker) starts(now time.Duration, start taskStart) {
	id, _, _ := wire.ParseTaskName(start.task)
	job := j.jobs[id]
	if job == nil {
		j.breaks(now, "invented", "%s starts on %s, which nobody submitted", start.task, start.machine)
		return
	}
	for other := range j.on[start.task] {
		j.breaks(now, "ran_twice", "%s starts on %s while it is on %s", start.task, start.machine, other)
	}
	if j.on[start.task] == nil {
		j.on[start.task] = map[string]onMachine{}
	}
	j.on[start.task][start.machine] = onMachine{start.zone}
	j.checkQuota(now, job, start)
	j.checkDependencies(now, job, start)
	j.checkPlace(now, job, start)
	j.checkNotCancelled(now, job, start)
}

// checkQuota checks that a team uses no more than its limit with a task that has started.
func (j *ruleChecker) checkQuota(now time.Duration, job *checkedJob, start taskStart) {
	team, used := job.spec.Team, 0.0
	for task, machines := range j.on {
		id, _, _ := wire.ParseTaskName(task)
		if other := j.jobs[id]; other != nil && other.spec.Team == team {
			used += float64(len(machines)) * other.spec.GPUs
		}
	}
	if limit := j.limits[team]; limit > 0 && used > limit+1e-9 {
		j.breaks(now, "quota", "%s uses %g of %g with %s", team, used, limit, start.task)
	}
}

// checkDependencies checks that all jobs that a started task's job needs are done.
func (j *ruleChecker) checkDependencies(now time.Duration, job *checkedJob, start taskStart) {
	for _, id := range job.spec.Dependencies {
		if dependency := j.jobs[id]; dependency == nil || len(dependency.done) < dependency.spec.Tasks {
			j.breaks(now, "too_early", "%s starts on %s before %s is done", start.task, start.machine, id)
		}
	}
}

// checkPlace checks that a task may be on the machine that it has started on.
func (j *ruleChecker) checkPlace(now time.Duration, job *checkedJob, start taskStart) {
	spec := job.spec
	inZone, elsewhere := j.tasksByZone(spec.ID, start.zone)
	wrongType := spec.MachineTypes != nil && !slices.Contains(spec.MachineTypes, start.machineType)
	wrongZone := spec.Zone != "" && spec.Zone != start.zone
	crowded := spec.SpreadZones && inZone > (spec.Tasks+1)/2
	if wrongType || wrongZone || crowded || start.spot && !spec.Spot || spec.SingleZone && elsewhere > 0 {
		j.breaks(now, "wrong_place", "%s starts on %s (%s, %s, spot %v)", start.task, start.machine, start.machineType, start.zone, start.spot)
	}
}

// tasksByZone counts the tasks of a job that are on machines, in a zone and in all others.
func (j *ruleChecker) tasksByZone(id, zone string) (inZone, elsewhere int) {
	for task, machines := range j.on {
		if owner, _, _ := wire.ParseTaskName(task); owner != id {
			continue
		}
		for _, machine := range machines {
			if machine.zone == zone {
				inZone++
			} else {
				elsewhere++
			}
		}
	}
	return inZone, elsewhere
}

// checkNotCancelled checks that no user was told of the cancellation of a started task's job.
func (j *ruleChecker) checkNotCancelled(now time.Duration, job *checkedJob, start taskStart) {
	if job.toldAt == 0 {
		return
	}
	rule := "ran_cancelled"
	if now <= job.toldAt+j.cancel {
		rule = "started_cancelled"
	}
	j.breaks(now, rule, "%s starts on %s, its user was told at %.3f", start.task, start.machine, job.toldAt.Seconds())
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

// userRequest is what a user may ask about a job.
type userRequest string

const (
	requestSubmit userRequest = "submit"
	requestPoll   userRequest = "poll"
	requestCancel userRequest = "cancel"
)

// userAnswer is the answer to a user's request about a job.
type userAnswer struct {
	sentAt  time.Duration // when the request was sent
	request userRequest
	job     string
	status  int
	state   wire.JobStatus
}

// accepts tells whether an answer says that the job is known.
func (a userAnswer) accepts() bool { return a.status == 200 || a.status == 201 }

// denies tells whether an answer says that the job is not known, or will not be.
func (a userAnswer) denies() bool {
	return a.status == 404 || a.request == requestSubmit && (a.status == 400 || a.status == 422)
}

// told takes note of an answer to a user. Requests that cross on their way may be answered in any order.
func (j *ruleChecker) told(now time.Duration, answer userAnswer) {
	job := j.jobs[answer.job]
	if job == nil || !job.submitted {
		if answer.accepts() {
			j.breaks(now, "invented", "%s of %s, which nobody submitted, gets %d", answer.request, answer.job, answer.status)
		}
		return
	}
	if !answer.accepts() {
		if job.accepted != 0 && answer.sentAt > job.accepted && answer.denies() {
			j.breaks(now, "forgotten", "%s of %s gets %d", answer.request, answer.job, answer.status)
		}
		return
	}
	if job.accepted == 0 {
		job.accepted = now
	}
	j.checkState(now, job, answer)
	j.checkOrphaned(now, job, answer)
	j.noteState(now, job, answer)
}

// checkState checks that a job does not leave a final state, and is cancelled only if a user asked for that.
func (j *ruleChecker) checkState(now time.Duration, job *checkedJob, answer userAnswer) {
	switch {
	case job.final != "" && answer.state != job.final && answer.sentAt > job.finalAt:
		j.breaks(now, "went_back", "%s of %s says %s after %s", answer.request, answer.job, answer.state, job.final)
	case answer.state == wire.JobCancelled && !j.calledOff(job):
		j.breaks(now, "went_back", "%s of %s says %s, which nobody asked for", answer.request, answer.job, answer.state)
	}
}

// checkOrphaned checks that a job is cancelled soon after one that it needs.
func (j *ruleChecker) checkOrphaned(now time.Duration, job *checkedJob, answer userAnswer) {
	if answer.state == wire.JobCancelled {
		return
	}
	if told := j.neededToldAt(job); told != 0 && answer.sentAt > told+j.cancel {
		j.breaks(now, "orphaned", "%s of %s says %s, a job that it needs was called cancelled at %.3f", answer.request, answer.job, answer.state, told.Seconds())
	}
}

// noteState takes note of the state that a user was told. A job is called done only after all of its tasks.
func (j *ruleChecker) noteState(now time.Duration, job *checkedJob, answer userAnswer) {
	if job.final == "" {
		job.finalAt = now
	}
	switch answer.state {
	case wire.JobPending, wire.JobRunning:
	case wire.JobDone:
		job.final = answer.state
		if len(job.done) < job.spec.Tasks {
			j.breaks(now, "not_done", "%s of %s says done with %d of %d tasks", answer.request, answer.job, len(job.done), job.spec.Tasks)
		}
	case wire.JobCancelled:
		if job.toldAt == 0 {
			job.toldAt = now
		}
		job.final = answer.state
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

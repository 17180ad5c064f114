package core_test

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"bitternwing/internal/wire"
)

// ruleChecker checks the rules of the protocol during a simulated day. It knows what is on the machines and what users
// were told, and nothing of the nodes' state. A task is on its machine from the moment its image is there until it
// exits, is killed or the machine is gone.
type ruleChecker struct {
	gpuLimits         map[string]float64 // by team
	cancellationLimit time.Duration      // within which the tasks of a cancelled job must be gone

	jobs           map[string]*checkedJob
	machinesByTask map[string]map[string]onMachine // by task, by machine
	broken         []string
}

type checkedJob struct {
	spec            *wire.Job
	submitted       bool
	acceptedAt      time.Duration // when its user was first told so; 0: not yet
	cancelRequested bool          // its user asked for it to be cancelled
	finalState      wire.JobStatus
	finalAt         time.Duration // when a user was first told of a final state
	cancelledAt     time.Duration // when a user was first told of its cancellation
	doneTasks       map[int]bool
}

type onMachine struct{ zone string }

func newRuleChecker(limits map[string]float64, cancel time.Duration) *ruleChecker {
	return &ruleChecker{gpuLimits: limits, cancellationLimit: cancel,
		jobs: map[string]*checkedJob{}, machinesByTask: map[string]map[string]onMachine{}}
}

func (checker *ruleChecker) report(now time.Duration, rule, format string, args ...any) {
	checker.broken = append(checker.broken, fmt.Sprintf("%.3f %s: %s", now.Seconds(), rule, fmt.Sprintf(format, args...)))
}

func (checker *ruleChecker) recordSubmission(spec *wire.Job) *checkedJob {
	job := checker.jobs[spec.ID]
	if job == nil {
		job = &checkedJob{spec: spec, doneTasks: map[int]bool{}}
		checker.jobs[spec.ID] = job
	}
	job.submitted = true
	return job
}

// taskStart is the start of a task on a machine.
type taskStart struct {
	task, machine, machineType, zone string
	spot                             bool
}

// recordStart takes note of a task that is on a machine from now on.
func (checker *ruleChecker) recordStart(now time.Duration, start taskStart) {
	id, _, _ := wire.ParseTaskName(start.task)
	job := checker.jobs[id]
	if job == nil {
		checker.report(now, "invented", "%s starts on %s, which nobody submitted", start.task, start.machine)
		return
	}
	for other := range checker.machinesByTask[start.task] {
		checker.report(now, "ran_twice", "%s starts on %s while it is on %s", start.task, start.machine, other)
	}
	if checker.machinesByTask[start.task] == nil {
		checker.machinesByTask[start.task] = map[string]onMachine{}
	}
	checker.machinesByTask[start.task][start.machine] = onMachine{start.zone}
	checker.checkQuota(now, job, start)
	checker.checkDependencies(now, job, start)
	checker.checkPlace(now, job, start)
	checker.checkNotCancelled(now, job, start)
}

// checkQuota checks that a team uses no more than its limit with a task that has started.
func (checker *ruleChecker) checkQuota(now time.Duration, job *checkedJob, start taskStart) {
	team, used := job.spec.Team, 0.0
	for task, machines := range checker.machinesByTask {
		id, _, _ := wire.ParseTaskName(task)
		if other := checker.jobs[id]; other != nil && other.spec.Team == team {
			used += float64(len(machines)) * other.spec.GPUs
		}
	}
	if limit := checker.gpuLimits[team]; limit > 0 && used > limit+1e-9 {
		checker.report(now, "quota", "%s uses %g of %g with %s", team, used, limit, start.task)
	}
}

// checkDependencies checks that all jobs that a started task's job needs are done.
func (checker *ruleChecker) checkDependencies(now time.Duration, job *checkedJob, start taskStart) {
	for _, id := range job.spec.Dependencies {
		if dependency := checker.jobs[id]; dependency == nil || len(dependency.doneTasks) < dependency.spec.Tasks {
			checker.report(now, "too_early", "%s starts on %s before %s is done", start.task, start.machine, id)
		}
	}
}

// checkPlace checks that a task may be on the machine that it has started on.
func (checker *ruleChecker) checkPlace(now time.Duration, job *checkedJob, start taskStart) {
	spec := job.spec
	inZone, elsewhere := checker.tasksByZone(spec.ID, start.zone)
	wrongType := spec.MachineTypes != nil && !slices.Contains(spec.MachineTypes, start.machineType)
	wrongZone := spec.Zone != "" && spec.Zone != start.zone
	crowded := spec.SpreadZones && inZone > (spec.Tasks+1)/2
	if wrongType || wrongZone || crowded || start.spot && !spec.Spot || spec.SingleZone && elsewhere > 0 {
		checker.report(now, "wrong_place", "%s starts on %s (%s, %s, spot %v)", start.task, start.machine, start.machineType, start.zone, start.spot)
	}
}

// tasksByZone counts the tasks of a job that are on machines, in a zone and in all others.
func (checker *ruleChecker) tasksByZone(id, zone string) (inZone, elsewhere int) {
	for task, machines := range checker.machinesByTask {
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
func (checker *ruleChecker) checkNotCancelled(now time.Duration, job *checkedJob, start taskStart) {
	if job.cancelledAt == 0 {
		return
	}
	rule := "ran_cancelled"
	if now <= job.cancelledAt+checker.cancellationLimit {
		rule = "started_cancelled"
	}
	checker.report(now, rule, "%s starts on %s, its user was told at %.3f", start.task, start.machine, job.cancelledAt.Seconds())
}

// recordEnd takes note of a task that is on a machine no more; done if it completed there.
func (checker *ruleChecker) recordEnd(task, machine string, done bool) {
	delete(checker.machinesByTask[task], machine)
	if id, n, ok := wire.ParseTaskName(task); ok && done && checker.jobs[id] != nil {
		checker.jobs[id].doneTasks[n] = true
	}
}

// checkCancelledJobs looks for cancelled jobs whose time is over.
func (checker *ruleChecker) checkCancelledJobs(now time.Duration) {
	for _, t := range sortedKeys(checker.machinesByTask) {
		id, _, _ := wire.ParseTaskName(t)
		job := checker.jobs[id]
		if job == nil || job.cancelledAt == 0 || now <= job.cancelledAt+checker.cancellationLimit {
			continue
		}
		for _, m := range sortedKeys(checker.machinesByTask[t]) {
			checker.report(now, "ran_cancelled", "%s is on %s, its user was told at %.3f", t, m, job.cancelledAt.Seconds())
			delete(checker.machinesByTask[t], m) // once is enough
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

// recordAnswer takes note of an answer to a user. Requests that cross on their way may be answered in any order.
func (checker *ruleChecker) recordAnswer(now time.Duration, answer userAnswer) {
	job := checker.jobs[answer.job]
	if job == nil || !job.submitted {
		if answer.accepts() {
			checker.report(now, "invented", "%s of %s, which nobody submitted, gets %d", answer.request, answer.job, answer.status)
		}
		return
	}
	if !answer.accepts() {
		if job.acceptedAt != 0 && answer.sentAt > job.acceptedAt && answer.denies() {
			checker.report(now, "forgotten", "%s of %s gets %d", answer.request, answer.job, answer.status)
		}
		return
	}
	if job.acceptedAt == 0 {
		job.acceptedAt = now
	}
	checker.checkState(now, job, answer)
	checker.checkOrphaned(now, job, answer)
	checker.recordState(now, job, answer)
}

// checkState checks that a job does not leave a final state, and is cancelled only if a user asked for that.
func (checker *ruleChecker) checkState(now time.Duration, job *checkedJob, answer userAnswer) {
	switch {
	case job.finalState != "" && answer.state != job.finalState && answer.sentAt > job.finalAt:
		checker.report(now, "went_back", "%s of %s says %s after %s", answer.request, answer.job, answer.state, job.finalState)
	case answer.state == wire.JobCancelled && !checker.cancellationRequested(job):
		checker.report(now, "went_back", "%s of %s says %s, which nobody asked for", answer.request, answer.job, answer.state)
	}
}

// checkOrphaned checks that a job is cancelled soon after one that it needs.
func (checker *ruleChecker) checkOrphaned(now time.Duration, job *checkedJob, answer userAnswer) {
	if answer.state == wire.JobCancelled {
		return
	}
	if told := checker.dependencyCancelledAt(job); told != 0 && answer.sentAt > told+checker.cancellationLimit {
		checker.report(now, "orphaned", "%s of %s says %s, a job that it needs was called cancelled at %.3f", answer.request, answer.job, answer.state, told.Seconds())
	}
}

// recordState takes note of the state that a user was told. A job is called done only after all of its tasks.
func (checker *ruleChecker) recordState(now time.Duration, job *checkedJob, answer userAnswer) {
	if job.finalState == "" {
		job.finalAt = now
	}
	switch answer.state {
	case wire.JobPending, wire.JobRunning:
	case wire.JobDone:
		job.finalState = answer.state
		if len(job.doneTasks) < job.spec.Tasks {
			checker.report(now, "not_done", "%s of %s says done with %d of %d tasks", answer.request, answer.job, len(job.doneTasks), job.spec.Tasks)
		}
	case wire.JobCancelled:
		if job.cancelledAt == 0 {
			job.cancelledAt = now
		}
		job.finalState = answer.state
	}
}

// cancellationRequested tells whether a job's user asked for it, or for a job that it needs, to be cancelled; a
// request that was answered with done counts for nothing.
func (checker *ruleChecker) cancellationRequested(job *checkedJob) bool {
	if job.cancelRequested && job.finalState != wire.JobDone {
		return true
	}
	for _, need := range job.spec.Dependencies {
		if dependency := checker.jobs[need]; dependency != nil && dependency.finalState != wire.JobDone && checker.cancellationRequested(dependency) {
			return true
		}
	}
	return false
}

// dependencyCancelledAt gives when a user was first told that a job which this one needs, directly or through
// others, is cancelled; 0 if none was.
func (checker *ruleChecker) dependencyCancelledAt(job *checkedJob) time.Duration {
	first := time.Duration(0)
	for _, need := range job.spec.Dependencies {
		dependency := checker.jobs[need]
		if dependency == nil {
			continue
		}
		for _, at := range []time.Duration{dependency.cancelledAt, checker.dependencyCancelledAt(dependency)} {
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

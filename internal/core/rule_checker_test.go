package core_test

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"bitternwing/internal/wire"
)

// ruleChecker checks the rules of the protocol during a simulation. It observes the tasks on the machines and the
// responses to users, and nothing of the nodes' state. A task is on its machine from the moment its image has been
// fetched until it exits, it is killed or the machine is gone.
type ruleChecker struct {
	gpuLimits         map[string]float64 // by team
	cancellationLimit time.Duration      // within which the tasks of a cancelled job must have ended

	jobs           map[string]*checkedJob
	machinesByTask map[string]map[string]taskLocation // by task name and machine name
	violations     []string
}

// checkedJob is a job as the checker has observed it.
type checkedJob struct {
	spec            *wire.Job
	submitted       bool
	acceptedAt      time.Duration // when a response first confirmed the job; 0: not yet
	cancelRequested bool          // its user requested its cancellation
	finalState      wire.JobStatus
	finalAt         time.Duration // when a response first reported a final state
	cancelledAt     time.Duration // when a response first reported the job as cancelled; 0: not yet
	doneTasks       map[int]bool
}

// taskLocation is where a task is on a machine.
type taskLocation struct{ zone string }

func newRuleChecker(gpuLimits map[string]float64, cancellationLimit time.Duration) *ruleChecker {
	return &ruleChecker{gpuLimits: gpuLimits, cancellationLimit: cancellationLimit,
		jobs: map[string]*checkedJob{}, machinesByTask: map[string]map[string]taskLocation{}}
}

// addViolation adds a violation of a rule, which is reported at the end of the simulation.
func (checker *ruleChecker) addViolation(now time.Duration, rule, format string, args ...any) {
	checker.violations = append(checker.violations, fmt.Sprintf("%.3f %s: %s", now.Seconds(), rule, fmt.Sprintf(format, args...)))
}

// recordSubmission records that a user submits or cancels a job. It returns the checked job.
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

// recordStart records that a task is on a machine from now on, and checks the rules for the start.
func (checker *ruleChecker) recordStart(now time.Duration, start taskStart) {
	id, _, _ := wire.ParseTaskName(start.task)
	job := checker.jobs[id]
	if job == nil {
		checker.addViolation(now, "invented", "%s of a job that was never submitted starts on %s", start.task, start.machine)
		return
	}
	for other := range checker.machinesByTask[start.task] {
		checker.addViolation(now, "ran_twice", "%s starts on %s while it is on %s", start.task, start.machine, other)
	}
	if checker.machinesByTask[start.task] == nil {
		checker.machinesByTask[start.task] = map[string]taskLocation{}
	}
	checker.machinesByTask[start.task][start.machine] = taskLocation{start.zone}
	checker.checkQuota(now, job, start)
	checker.checkDependencies(now, job, start)
	checker.checkPlacement(now, job, start)
	checker.checkNotCancelled(now, job, start)
}

// checkQuota checks that a started task does not take its team over its GPU limit.
func (checker *ruleChecker) checkQuota(now time.Duration, job *checkedJob, start taskStart) {
	team, used := job.spec.Team, 0.0
	for task, machines := range checker.machinesByTask {
		id, _, _ := wire.ParseTaskName(task)
		if other := checker.jobs[id]; other != nil && other.spec.Team == team {
			used += float64(len(machines)) * other.spec.GPUs
		}
	}
	if limit := checker.gpuLimits[team]; limit > 0 && used > limit+1e-9 {
		checker.addViolation(now, "quota", "%s uses %g GPUs, limit %g, after the start of %s", team, used, limit, start.task)
	}
}

// checkDependencies checks that all dependencies of a started task's job are done.
func (checker *ruleChecker) checkDependencies(now time.Duration, job *checkedJob, start taskStart) {
	for _, id := range job.spec.Dependencies {
		if dependency := checker.jobs[id]; dependency == nil || len(dependency.doneTasks) < dependency.spec.Tasks {
			checker.addViolation(now, "too_early", "%s starts on %s before %s is done", start.task, start.machine, id)
		}
	}
}

// checkPlacement checks that a started task's machine satisfies the constraints of its job.
func (checker *ruleChecker) checkPlacement(now time.Duration, job *checkedJob, start taskStart) {
	spec := job.spec
	inZone, elsewhere := checker.tasksByZone(spec.ID, start.zone)
	wrongType := spec.MachineTypes != nil && !slices.Contains(spec.MachineTypes, start.machineType)
	wrongZone := spec.Zone != "" && spec.Zone != start.zone
	unbalanced := spec.SpreadZones && inZone > (spec.Tasks+1)/2
	if wrongType || wrongZone || unbalanced || start.spot && !spec.Spot || spec.SingleZone && elsewhere > 0 {
		checker.addViolation(now, "wrong_place", "%s starts on %s (%s, %s, spot %v)", start.task, start.machine, start.machineType, start.zone, start.spot)
	}
}

// tasksByZone returns how many tasks of a job are on machines in a zone, and in all other zones.
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

// checkNotCancelled checks that no response has reported a started task's job as cancelled.
func (checker *ruleChecker) checkNotCancelled(now time.Duration, job *checkedJob, start taskStart) {
	if job.cancelledAt == 0 {
		return
	}
	rule := "ran_cancelled"
	if now <= job.cancelledAt+checker.cancellationLimit {
		rule = "started_cancelled"
	}
	checker.addViolation(now, rule, "%s starts on %s after its job was reported as cancelled at %.3f", start.task, start.machine, job.cancelledAt.Seconds())
}

// recordEnd records that a task is no longer on a machine; done if it completed there.
func (checker *ruleChecker) recordEnd(task, machine string, done bool) {
	delete(checker.machinesByTask[task], machine)
	if id, n, ok := wire.ParseTaskName(task); ok && done && checker.jobs[id] != nil {
		checker.jobs[id].doneTasks[n] = true
	}
}

// checkCancelledJobs checks that no task of a cancelled job is on a machine after the cancellation limit.
func (checker *ruleChecker) checkCancelledJobs(now time.Duration) {
	for _, task := range sortedKeys(checker.machinesByTask) {
		id, _, _ := wire.ParseTaskName(task)
		job := checker.jobs[id]
		if job == nil || job.cancelledAt == 0 || now <= job.cancelledAt+checker.cancellationLimit {
			continue
		}
		for _, machine := range sortedKeys(checker.machinesByTask[task]) {
			checker.addViolation(now, "ran_cancelled", "%s is still on %s after its job was reported as cancelled at %.3f", task, machine, job.cancelledAt.Seconds())
			delete(checker.machinesByTask[task], machine) // avoids reporting it again
		}
	}
}

// userRequestKind is the kind of a user's request about a job.
type userRequestKind string

const (
	requestSubmit userRequestKind = "submit"
	requestPoll   userRequestKind = "poll"
	requestCancel userRequestKind = "cancel"
)

// userResponse is the response to a user's request about a job.
type userResponse struct {
	sentAt  time.Duration // when the request was sent
	request userRequestKind
	job     string
	status  int
	state   wire.JobStatus
}

// confirmsJob reports whether the response confirms that the job is known.
func (response userResponse) confirmsJob() bool {
	return response.status == 200 || response.status == 201
}

// deniesJob reports whether the job is unknown or rejected according to the response.
func (response userResponse) deniesJob() bool {
	return response.status == 404 || response.request == requestSubmit && (response.status == 400 || response.status == 422)
}

// recordResponse records a response to a user and checks the rules for it. Concurrent requests may be handled in any
// order, so a response is compared only with responses that arrived before its request was sent.
func (checker *ruleChecker) recordResponse(now time.Duration, response userResponse) {
	job := checker.jobs[response.job]
	if job == nil || !job.submitted {
		if response.confirmsJob() {
			checker.addViolation(now, "invented", "%s of %s, which was never submitted: got status %d", response.request, response.job, response.status)
		}
		return
	}
	if !response.confirmsJob() {
		if job.acceptedAt != 0 && response.sentAt > job.acceptedAt && response.deniesJob() {
			checker.addViolation(now, "forgotten", "%s of %s, which was accepted: got status %d", response.request, response.job, response.status)
		}
		return
	}
	if job.acceptedAt == 0 {
		job.acceptedAt = now
	}
	checker.checkState(now, job, response)
	checker.checkOrphaned(now, job, response)
	checker.recordState(now, job, response)
}

// checkState checks that a job does not leave a final state, and is cancelled only if a user requested that.
func (checker *ruleChecker) checkState(now time.Duration, job *checkedJob, response userResponse) {
	switch {
	case job.finalState != "" && response.state != job.finalState && response.sentAt > job.finalAt:
		checker.addViolation(now, "went_back", "%s of %s: got state %s after %s", response.request, response.job, response.state, job.finalState)
	case response.state == wire.JobCancelled && !checker.cancellationRequested(job):
		checker.addViolation(now, "went_back", "%s of %s: got state %s without a cancel request", response.request, response.job, response.state)
	}
}

// checkOrphaned checks that a job is cancelled within the cancellation limit of one of its dependencies.
func (checker *ruleChecker) checkOrphaned(now time.Duration, job *checkedJob, response userResponse) {
	if response.state == wire.JobCancelled {
		return
	}
	if cancelledAt := checker.dependencyCancelledAt(job); cancelledAt != 0 && response.sentAt > cancelledAt+checker.cancellationLimit {
		checker.addViolation(now, "orphaned", "%s of %s: got state %s, although a dependency was reported as cancelled at %.3f", response.request, response.job, response.state, cancelledAt.Seconds())
	}
}

// recordState records the state in a response, and checks that a job is reported as done only after all its tasks.
func (checker *ruleChecker) recordState(now time.Duration, job *checkedJob, response userResponse) {
	if job.finalState == "" {
		job.finalAt = now
	}
	switch response.state {
	case wire.JobPending, wire.JobRunning:
	case wire.JobDone:
		job.finalState = response.state
		if len(job.doneTasks) < job.spec.Tasks {
			checker.addViolation(now, "not_done", "%s of %s: got state done with %d of %d tasks done", response.request, response.job, len(job.doneTasks), job.spec.Tasks)
		}
	case wire.JobCancelled:
		if job.cancelledAt == 0 {
			job.cancelledAt = now
		}
		job.finalState = response.state
	}
}

// cancellationRequested reports whether the cancellation of a job or of one of its dependencies was requested. A
// request for a job that is done does not count.
func (checker *ruleChecker) cancellationRequested(job *checkedJob) bool {
	if job.cancelRequested && job.finalState != wire.JobDone {
		return true
	}
	for _, id := range job.spec.Dependencies {
		if dependency := checker.jobs[id]; dependency != nil && dependency.finalState != wire.JobDone && checker.cancellationRequested(dependency) {
			return true
		}
	}
	return false
}

// dependencyCancelledAt returns when a direct or indirect dependency of a job was first reported as cancelled; 0 if
// none was.
func (checker *ruleChecker) dependencyCancelledAt(job *checkedJob) time.Duration {
	earliest := time.Duration(0)
	for _, id := range job.spec.Dependencies {
		dependency := checker.jobs[id]
		if dependency == nil {
			continue
		}
		for _, at := range []time.Duration{dependency.cancelledAt, checker.dependencyCancelledAt(dependency)} {
			if at != 0 && (earliest == 0 || at < earliest) {
				earliest = at
			}
		}
	}
	return earliest
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

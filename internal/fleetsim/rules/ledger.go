// Package rules checks what workers and users see against the rules of the protocol: No task is on two machines. No
// attempt starts a second time on a machine. No task starts after its user was told that the job is cancelled. No
// task of a cancelled job is on a machine after the cancellation timeout. No team exceeds its limit. No accepted job is
// unknown later. No job is reported as done before all its tasks have completed. The checks use only observations of
// the simulated workers and users, never the controllers' state.
package rules

import (
	"fmt"
	"sync"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/wire"
)

// Rule is the name of a rule of the protocol.
type Rule string

// The checked rules.
const (
	RanTwice Rule = "ran_twice"
	// StartedAgain: a worker that had forgotten an attempt was made to start it again.
	StartedAgain Rule = "started_again"
	// StartedCancelled: a task started after its user was told that its job is cancelled.
	StartedCancelled Rule = "started_cancelled"
	QuotaExceeded    Rule = "quota"
	RanCancelled     Rule = "ran_cancelled"
	AcceptedJobLost  Rule = "forgotten"
	DoneTooEarly     Rule = "not_done"
)

// Violation describes a violation of a rule.
type Violation struct {
	Rule    Rule    `json:"rule"`
	AtS     float64 `json:"at_s"`
	Message string  `json:"message"`
}

// maxViolations is the maximum number of recorded violations. Further ones are dropped.
const maxViolations = 100

// tolerance allows for the rounding errors of adding and subtracting usage.
const tolerance = 1e-6

// Ledger records on which machine each task is and what users were told, and checks the rules.
type Ledger struct {
	cancelTimeout time.Duration
	now           func() time.Duration
	teams         map[string]config.Team

	mu         sync.Mutex
	jobs       map[string]*jobRecord
	usage      map[string]*teamUsage // by team
	started    map[startedAttempt]bool
	violations []Violation
}

// startedAttempt is an attempt of a task that a machine was told to start.
type startedAttempt struct {
	machine, task string
	attempt       uint64
}

// teamUsage is what the tasks of a team use.
type teamUsage struct{ gpus, cpus float64 }

// jobRecord is what the ledger keeps of a job.
type jobRecord struct {
	spec               *wire.Job
	accepted           bool
	cancelAcknowledged bool
	cancelledAt        time.Duration // when the user was first told that the job is cancelled
	overrunReported    bool          // CheckCancelled has recorded a violation
	machines           map[int]string
	completed          map[int]bool
}

// NewLedger returns an empty ledger. All tasks of a job have to leave their machines within cancelTimeout after the
// user was told that the job is cancelled. now is the clock.
func NewLedger(teams []config.Team, cancelTimeout time.Duration, now func() time.Duration) *Ledger {
	l := &Ledger{cancelTimeout: cancelTimeout, now: now, teams: map[string]config.Team{}, jobs: map[string]*jobRecord{}, usage: map[string]*teamUsage{},
		started: map[startedAttempt]bool{}}
	for _, team := range teams {
		l.teams[team.Name] = team
		l.usage[team.Name] = &teamUsage{}
	}
	return l
}

// RecordSubmission records a job just before it is submitted.
func (l *Ledger) RecordSubmission(spec *wire.Job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[spec.ID] = &jobRecord{spec: spec, machines: map[int]string{}, completed: map[int]bool{}}
}

// RecordAccepted records that the submission of a job was accepted.
func (l *Ledger) RecordAccepted(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[id].accepted = true
}

// RecordStatus records and checks the status of a job that its user was told.
func (l *Ledger) RecordStatus(id string, status wire.JobStatus) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	switch {
	case status == wire.JobCancelled && !j.cancelAcknowledged:
		j.cancelAcknowledged, j.cancelledAt = true, l.now()
	case status == wire.JobDone && len(j.completed) < j.spec.Tasks:
		l.recordViolation(DoneTooEarly, "%s is reported done with %d of %d tasks completed", id, len(j.completed), j.spec.Tasks)
	}
}

// RecordNotFound checks a response to a user that says that a job does not exist.
func (l *Ledger) RecordNotFound(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j := l.jobs[id]; j != nil && j.accepted {
		l.recordViolation(AcceptedJobLost, "%s was accepted and is now unknown", id)
	}
}

// RecordStart records a start command for an attempt that the machine does not hold, and checks that it is the first one.
func (l *Ledger) RecordStart(machine, task string, attempt uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	start := startedAttempt{machine, task, attempt}
	if l.started[start] {
		l.recordViolation(StartedAgain, "%s#%d starts on %s once more", task, attempt, machine)
	}
	l.started[start] = true
}

// TaskRuns records that a task is on a machine from now on, and checks that it may be there.
func (l *Ledger) TaskRuns(machine, task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j, index := l.findTask(task)
	if j == nil {
		return
	}
	if other, on := j.machines[index]; on {
		l.recordViolation(RanTwice, "%s starts on %s while it is on %s", task, machine, other)
	} else {
		l.addUsage(j, 1)
	}
	j.machines[index] = machine
	switch {
	case l.cancelOverdue(j):
		l.recordViolation(RanCancelled, "%s starts on %s after its job was cancelled", task, machine)
	case j.cancelAcknowledged:
		l.recordViolation(StartedCancelled, "%s starts on %s after its user was told that its job is cancelled", task, machine)
	}
	l.checkQuota(j)
}

// TaskEnds records that a task has left a machine. done is true if it completed.
func (l *Ledger) TaskEnds(machine, task string, done bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j, index := l.findTask(task)
	if j == nil {
		return
	}
	if done {
		j.completed[index] = true
	}
	if j.machines[index] == machine {
		delete(j.machines, index)
		l.addUsage(j, -1)
	}
}

// Completed reports whether a task has completed on any machine.
func (l *Ledger) Completed(id string, index int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	return j != nil && j.completed[index]
}

// Job returns a submitted job, or nil.
func (l *Ledger) Job(id string) *wire.Job {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j := l.jobs[id]; j != nil {
		return j.spec
	}
	return nil
}

// CheckCancelled checks that tasks of cancelled jobs have left their machines in time. It is called once a second, and
// records at most one violation for each job.
func (l *Ledger) CheckCancelled() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, j := range l.jobs {
		if !l.cancelOverdue(j) || j.overrunReported {
			continue
		}
		for index, machine := range j.machines {
			j.overrunReported = true
			l.recordViolation(RanCancelled, "%s is on %s %.1f s after its user was told that it is cancelled",
				wire.TaskName(id, index), machine, (l.now() - j.cancelledAt).Seconds())
			break
		}
	}
}

// Violations returns a copy of the violations so far.
func (l *Ledger) Violations() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Violation(nil), l.violations...)
}

// cancelOverdue reports whether the cancellation timeout of a job has passed, so that none of its tasks may be on a
// machine.
func (l *Ledger) cancelOverdue(j *jobRecord) bool {
	return j.cancelAcknowledged && l.now() > j.cancelledAt+l.cancelTimeout
}

// findTask returns the record of a task's job, or nil, and the task's index.
func (l *Ledger) findTask(task string) (*jobRecord, int) {
	id, index, ok := wire.ParseTaskName(task)
	if !ok {
		return nil, 0
	}
	return l.jobs[id], index
}

// addUsage adds a number of tasks, which may be negative, to the usage of a job's team.
func (l *Ledger) addUsage(j *jobRecord, tasks float64) {
	used := l.usage[j.spec.Team]
	used.gpus += tasks * j.spec.GPUs
	used.cpus += tasks * j.spec.CPUs
}

// checkQuota checks the usage of a job's team against its limit.
func (l *Ledger) checkQuota(j *jobRecord) {
	team, used := l.teams[j.spec.Team], l.usage[j.spec.Team]
	if team.MaxGPUs > 0 && used.gpus > team.MaxGPUs+tolerance || team.MaxCPUs > 0 && used.cpus > team.MaxCPUs+tolerance {
		l.recordViolation(QuotaExceeded, "team %s uses %.2f of %.2f GPUs and %.2f of %.2f CPUs", team.Name, used.gpus, team.MaxGPUs, used.cpus, team.MaxCPUs)
	}
}

// recordViolation records a violation. The caller holds the lock.
func (l *Ledger) recordViolation(rule Rule, format string, args ...any) {
	if len(l.violations) < maxViolations {
		l.violations = append(l.violations, Violation{rule, l.now().Seconds(), fmt.Sprintf(format, args...)})
	}
}

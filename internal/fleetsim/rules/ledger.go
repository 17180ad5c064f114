// Package rules checks what workers and users see against the rules of the protocol: no task on two machines, no task of a
// cancelled job after its deadline, no team beyond its limit, no accepted job that is unknown, no job that is reported as done
// too early. It only observes the simulated workers and users, and knows nothing of the controllers' state.
package rules

import (
	"fmt"
	"sync"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/wire"
)

// Rule is the protocol's name of a rule.
type Rule string

// The rules that are checked.
const (
	RanTwice     Rule = "ran_twice"
	Quota        Rule = "quota"
	RanCancelled Rule = "ran_cancelled"
	Forgotten    Rule = "forgotten"
	NotDone      Rule = "not_done"
)

// Violation is the violation of a rule, with the evidence.
type Violation struct {
	Rule    Rule    `json:"rule"`
	AtS     float64 `json:"at_s"`
	Message string  `json:"message"`
}

// maxViolations bounds the violations that are kept.
const maxViolations = 100

// tolerance is the rounding error of amounts after adding and subtracting.
const tolerance = 1e-6

// Ledger records where each task is, and the responses to users.
type Ledger struct {
	cancelTime time.Duration
	now        func() time.Duration
	teams      map[string]config.Team

	mu         sync.Mutex
	jobs       map[string]*job
	used       map[string]*amount // by team
	violations []Violation
}

// amount is the usage of a team.
type amount struct{ gpus, cpus float64 }

// job is the record of a job.
type job struct {
	spec               *wire.Job
	accepted           bool
	cancelAcknowledged bool
	cancelledAt        time.Duration // when the cancellation was acknowledged
	reported           bool          // that it ran on after that
	machines           map[int]string
	done               map[int]bool
}

// NewLedger makes a ledger with a clock. After an acknowledged cancellation, all tasks have to end within cancelTime.
func NewLedger(teams []config.Team, cancelTime time.Duration, now func() time.Duration) *Ledger {
	l := &Ledger{cancelTime: cancelTime, now: now, teams: map[string]config.Team{}, jobs: map[string]*job{}, used: map[string]*amount{}}
	for _, team := range teams {
		l.teams[team.Name] = team
		l.used[team.Name] = &amount{}
	}
	return l
}

// RecordSubmission records a job before it is submitted.
func (l *Ledger) RecordSubmission(spec *wire.Job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[spec.ID] = &job{spec: spec, machines: map[int]string{}, done: map[int]bool{}}
}

// RecordAccepted records that a submission was acknowledged.
func (l *Ledger) RecordAccepted(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[id].accepted = true
}

// RecordStatus records and checks the status of a job in a response to its user.
func (l *Ledger) RecordStatus(id string, state wire.JobStatus) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	switch {
	case state == wire.JobCancelled && !j.cancelAcknowledged:
		j.cancelAcknowledged, j.cancelledAt = true, l.now()
	case state == wire.JobDone && len(j.done) < j.spec.Tasks:
		l.recordViolation(NotDone, "%s is called done with %d of %d tasks completed", id, len(j.done), j.spec.Tasks)
	}
}

// RecordNotFound checks a response to a user that there is no such job.
func (l *Ledger) RecordNotFound(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j := l.jobs[id]; j != nil && j.accepted {
		l.recordViolation(Forgotten, "%s was accepted and is unknown now", id)
	}
}

// TaskRuns checks that a task may be on a machine from now on.
func (l *Ledger) TaskRuns(machine, task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j, index := l.find(task)
	if j == nil {
		return
	}
	if other, on := j.machines[index]; on {
		l.recordViolation(RanTwice, "%s starts on %s while it is on %s", task, machine, other)
	} else {
		l.addUsage(j, 1)
	}
	j.machines[index] = machine
	if l.cancelOverdue(j) {
		l.recordViolation(RanCancelled, "%s starts on %s after its job was cancelled", task, machine)
	}
	l.checkLimit(j)
}

// TaskEnds records that a task is on a machine no longer; done if it completed.
func (l *Ledger) TaskEnds(machine, task string, done bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j, index := l.find(task)
	if j == nil {
		return
	}
	if done {
		j.done[index] = true
	}
	if j.machines[index] == machine {
		delete(j.machines, index)
		l.addUsage(j, -1)
	}
}

// Completed tells whether a task has completed on some machine.
func (l *Ledger) Completed(id string, index int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	return j != nil && j.done[index]
}

// Job gives a submitted job; nil if there is none.
func (l *Ledger) Job(id string) *wire.Job {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j := l.jobs[id]; j != nil {
		return j.spec
	}
	return nil
}

// CheckCancelled checks that cancelled jobs have ended in time. It is called regularly.
func (l *Ledger) CheckCancelled() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, j := range l.jobs {
		if !l.cancelOverdue(j) || j.reported {
			continue
		}
		for index, machine := range j.machines {
			j.reported = true
			l.recordViolation(RanCancelled, "%s is on %s, %.1f s after its user was told that it is cancelled",
				wire.TaskName(id, index), machine, (l.now() - j.cancelledAt).Seconds())
			break
		}
	}
}

// Violations gives the broken rules so far.
func (l *Ledger) Violations() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Violation(nil), l.violations...)
}

// cancelOverdue tells whether no task of a job may be on a machine any more.
func (l *Ledger) cancelOverdue(record *job) bool {
	return record.cancelAcknowledged && l.now() > record.cancelledAt+l.cancelTime
}

// find gives the job of a task, and the task's index; nil: there is none.
func (l *Ledger) find(task string) (*job, int) {
	id, index, ok := wire.ParseTaskName(task)
	if !ok {
		return nil, 0
	}
	return l.jobs[id], index
}

// addUsage adds a number of tasks to the usage of their team.
func (l *Ledger) addUsage(record *job, tasks float64) {
	used := l.used[record.spec.Team]
	used.gpus += tasks * record.spec.GPUs
	used.cpus += tasks * record.spec.CPUs
}

// checkLimit checks the usage of a job's team.
func (l *Ledger) checkLimit(record *job) {
	team, used := l.teams[record.spec.Team], l.used[record.spec.Team]
	if team.MaxGPUs > 0 && used.gpus > team.MaxGPUs+tolerance || team.MaxCPUs > 0 && used.cpus > team.MaxCPUs+tolerance {
		l.recordViolation(Quota, "team %s uses %.2f GPUs of %.2f and %.2f CPUs of %.2f", team.Name, used.gpus, team.MaxGPUs, used.cpus, team.MaxCPUs)
	}
}

// recordViolation records a violation. The caller holds the lock.
func (l *Ledger) recordViolation(rule Rule, format string, args ...any) {
	if len(l.violations) < maxViolations {
		l.violations = append(l.violations, Violation{rule, l.now().Seconds(), fmt.Sprintf(format, args...)})
	}
}

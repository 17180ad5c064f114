package core

import (
	"maps"
	"slices"
)

// A task usually fails because its machine is faulty, but the tasks of a job with a mistake fail on every machine. A
// single failure is therefore blamed on neither. A machine is quarantined once several jobs that are not suspect have
// failed on it, or once a job that ran successfully elsewhere has failed on it repeatedly. A job that fails on several
// machines is suspect and backs off longer with each of them. If a fifth of the fleet is faulty, most new jobs meet
// several faulty machines, so the failures of a suspect job count against the machines once the job has run
// successfully somewhere.

const (
	// minSuccessIntervals is the number of check intervals for which a task has to run to count as successful.
	minSuccessIntervals = 3
	// maxBackoffLeases bounds the backoff of a suspect job, in worker leases.
	maxBackoffLeases = 3
	// maxBackoffDoublings bounds how often the backoff of a suspect job is doubled.
	maxBackoffDoublings = 6
	// suspicionThreshold is the number of failures from which a machine counts as faulty, or a job as suspect.
	suspicionThreshold = 2
)

// failureAccounting distinguishes faulty machines from jobs that fail on every machine. The counts are stored in the
// jobs and machines.
type failureAccounting struct {
	core     *Core
	jobs     map[string]*job
	machines map[string]*machine
}

// recordSuccess records that a task is done or has been running for a while, and clears its machine and job of
// suspicion.
func (f *failureAccounting) recordSuccess(p *placement, done bool) {
	if !done && f.core.now.Steady-p.runningSince < minSuccessIntervals*f.core.times.checkInterval {
		return
	}
	j := p.job
	if p.placedAt > p.machine.lastFailure {
		// A task that was placed before the failure is no evidence: a faulty machine may fail only new tasks.
		clear(p.machine.failures)
	}
	failedOn := j.failedOn
	j.failedOn = nil
	if j.ranSuccessfully {
		return
	}
	j.ranSuccessfully = true
	for _, name := range slices.Sorted(maps.Keys(failedOn)) {
		if m := f.machines[name]; m != nil && m != p.machine {
			m.failures[j.id] = max(1, m.failures[j.id])
			f.assessMachine(m)
		}
	}
}

// recordFailure records the failure of a task and assesses its job and machine.
func (f *failureAccounting) recordFailure(p *placement) {
	j, m := p.job, p.machine
	if j.failedOn == nil {
		j.failedOn = map[string]bool{}
	}
	j.failedOn[m.name] = true
	m.failures[j.id]++
	m.lastFailure = f.core.now.Steady
	if !j.ranSuccessfully && len(j.failedOn) >= suspicionThreshold {
		f.suspectJob(j)
		return
	}
	f.assessMachine(m)
}

// suspectJob makes a job that failed on several machines back off, and no longer counts its failures against them.
func (f *failureAccounting) suspectJob(j *job) {
	backoff := f.core.times.checkInterval << min(len(j.failedOn)-1, maxBackoffDoublings)
	j.retryAt = max(j.retryAt, f.core.now.Steady+min(backoff, maxBackoffLeases*f.core.times.lease))
	for name := range j.failedOn {
		if m := f.machines[name]; m != nil && !m.quarantined {
			delete(m.failures, j.id)
		}
	}
}

// assessMachine quarantines a machine if the failures on it show that it is faulty.
func (f *failureAccounting) assessMachine(m *machine) {
	repeated := false
	for id, n := range m.failures {
		j := f.jobs[id]
		repeated = repeated || n >= suspicionThreshold && j != nil && j.ranSuccessfully
	}
	if !m.quarantined && (len(m.failures) >= suspicionThreshold || repeated) {
		m.quarantined = true
		f.core.log(Info, "worker quarantined", "worker", m.name, "jobs", len(m.failures))
	}
}

// avoids reports whether a job should not be retried on a machine on which it failed. If the job failed on more than
// half of the fleet, the machines are unlikely to be the cause.
func (f *failureAccounting) avoids(j *job, m *machine) bool {
	return j.failedOn[m.name] && 2*len(j.failedOn) <= len(f.machines)
}

package core

import (
	"maps"
	"slices"
)

// A failed task mostly means a faulty machine, but a job submitted with a mistake fails on each machine. So neither is
// blamed by itself: a machine is quarantined once several jobs that are not themselves suspect failed on it, or one that
// ran successfully elsewhere did repeatedly; a job that fails on several machines is suspect and backs off longer with
// each of them. Where a fifth of the fleet is faulty most new jobs meet several such machines: what a suspect's failures
// say of machines counts once it runs somewhere.

const (
	// minSuccessChecks is for how many failure-check intervals a task has to run to count as a success.
	minSuccessChecks = 3
	// maxBackoffLeases bounds the backoff of a suspect job, in workers' leases.
	maxBackoffLeases = 3
	// maxBackoffDoublings bounds how often it is doubled.
	maxBackoffDoublings = 6
	// minFailuresOfFaulty is how many failures show that a machine is faulty, or a job suspect.
	minFailuresOfFaulty = 2
)

// failureAccounting tells faulty machines from jobs that fail everywhere. The counts are kept on the jobs and machines.
type failureAccounting struct {
	core     *Core
	jobs     map[string]*job
	machines map[string]*machine
}

// recordSuccess clears a machine and a job of suspicion: a task was done, or has been running for a while.
func (f *failureAccounting) recordSuccess(p *placement, done bool) {
	if !done && f.core.now.Steady-p.runningSince < minSuccessChecks*f.core.times.checkInterval {
		return
	}
	j := p.job
	if p.placedAt > p.machine.lastFailure {
		// A task that was placed before is no evidence: a faulty machine may fail only what it starts.
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

// recordFailure counts the failure of a task.
func (f *failureAccounting) recordFailure(p *placement) {
	j, m := p.job, p.machine
	if j.failedOn == nil {
		j.failedOn = map[string]bool{}
	}
	j.failedOn[m.name] = true
	m.failures[j.id]++
	m.lastFailure = f.core.now.Steady
	if !j.ranSuccessfully && len(j.failedOn) >= minFailuresOfFaulty {
		f.suspectJob(j)
		return
	}
	f.assessMachine(m)
}

// suspectJob has a job that failed on several machines back off, and reverts what its failures say of them.
func (f *failureAccounting) suspectJob(j *job) {
	backoff := f.core.times.checkInterval << min(len(j.failedOn)-1, maxBackoffDoublings)
	j.retryAt = max(j.retryAt, f.core.now.Steady+min(backoff, maxBackoffLeases*f.core.times.lease))
	for name := range j.failedOn {
		if m := f.machines[name]; m != nil && !m.quarantined {
			delete(m.failures, j.id)
		}
	}
}

// assessMachine quarantines a machine if the jobs that failed on it show that it is faulty.
func (f *failureAccounting) assessMachine(m *machine) {
	repeated := false
	for id, n := range m.failures {
		j := f.jobs[id]
		repeated = repeated || n >= minFailuresOfFaulty && j != nil && j.ranSuccessfully
	}
	if !m.quarantined && (len(m.failures) >= minFailuresOfFaulty || repeated) {
		m.quarantined = true
		f.core.log(Info, "worker quarantined", "worker", m.name, "jobs", len(m.failures))
	}
}

// avoids tells whether a job should rather not be tried on a machine again. Where it failed on much of the fleet the
// machines are not to blame.
func (f *failureAccounting) avoids(j *job, m *machine) bool {
	return j.failedOn[m.name] && 2*len(j.failedOn) <= len(f.machines)
}

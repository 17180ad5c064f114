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

// recordSuccess clears a machine and a job of suspicion: a task was done, or has been running for a while.
func (l *leader) recordSuccess(p *placement, done bool) {
	if !done && l.core.now.Steady-p.runningSince < minSuccessChecks*l.core.times.checkInterval {
		return
	}
	j := p.job
	if p.placedAt > p.machine.lastFailure {
		// A task that was there before tells nothing: a faulty machine may fail only what it starts.
		clear(p.machine.failures)
	}
	failedOn := j.failedOn
	j.failedOn = nil
	if j.ranSuccessfully {
		return
	}
	j.ranSuccessfully = true
	for _, name := range slices.Sorted(maps.Keys(failedOn)) {
		if m := l.machines[name]; m != nil && m != p.machine {
			m.failures[j.id] = max(1, m.failures[j.id])
			l.assessMachine(m)
		}
	}
}

// recordFailure counts the failure of a task.
func (l *leader) recordFailure(p *placement) {
	j, m := p.job, p.machine
	if j.failedOn == nil {
		j.failedOn = map[string]bool{}
	}
	j.failedOn[m.name] = true
	m.failures[j.id]++
	m.lastFailure = l.core.now.Steady
	if !j.ranSuccessfully && len(j.failedOn) >= minFailuresOfFaulty {
		l.suspectJob(j)
		return
	}
	l.assessMachine(m)
}

// suspectJob has a job that failed on several machines back off, and reverts what its failures say of them.
func (l *leader) suspectJob(j *job) {
	backoff := l.core.times.checkInterval << min(len(j.failedOn)-1, maxBackoffDoublings)
	j.retryAt = max(j.retryAt, l.core.now.Steady+min(backoff, maxBackoffLeases*l.core.times.lease))
	for name := range j.failedOn {
		if m := l.machines[name]; m != nil && !m.quarantined {
			delete(m.failures, j.id)
		}
	}
}

// assessMachine quarantines a machine if the jobs that failed on it show that it is faulty.
func (l *leader) assessMachine(m *machine) {
	repeated := false
	for id, n := range m.failures {
		j := l.jobs[id]
		repeated = repeated || n >= minFailuresOfFaulty && j != nil && j.ranSuccessfully
	}
	if !m.quarantined && (len(m.failures) >= minFailuresOfFaulty || repeated) {
		m.quarantined = true
		l.core.log(Info, "worker quarantined", "worker", m.name, "jobs", len(m.failures))
	}
}

// avoidsMachine tells whether a job should rather not be tried on a machine again. Where it failed on much of the fleet
// the machines are not to blame.
func (l *leader) avoidsMachine(j *job, m *machine) bool {
	return j.failedOn[m.name] && 2*len(j.failedOn) <= len(l.machinesByName)
}

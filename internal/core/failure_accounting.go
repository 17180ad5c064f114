package core

import (
	"maps"
	"slices"
)

// A failed task mostly means a faulty machine, but a job submitted with a mistake
// fails on each machine. So neither is condemned by itself: a machine counts as
// faulty once several jobs that are not themselves suspect failed on it, or one that
// is proven did repeatedly; a job that fails on several machines is suspect and
// waits longer with each of them. Where a fifth of the fleet is faulty most new jobs
// meet several such machines: what a suspect's failures say of machines counts once it
// runs somewhere.

// recordSuccess clears a machine and a job of suspicion: a task was done, or has been
// running for a while.
func (l *leader) recordSuccess(p *placement, done bool) {
	if !done && l.core.now.Steady-p.runningSince < 3*l.core.times.checkInterval {
		return
	}
	j := p.job
	if p.placedAt > p.machine.lastFailure {
		// One that was there before tells nothing: a faulty machine may fail only what it
		// starts.
		clear(p.machine.failures)
	}
	failed := j.failedOn
	j.failedOn = nil
	if j.ranSuccessfully {
		return
	}
	j.ranSuccessfully = true
	for _, name := range slices.Sorted(maps.Keys(failed)) {
		if x := l.machines[name]; x != nil && x != p.machine {
			x.failures[j.id] = max(1, x.failures[j.id])
			l.assessMachine(x)
		}
	}
}

// assessMachine finds a machine faulty by the jobs that failed on it.
func (l *leader) assessMachine(m *machine) {
	repeated := false
	for id, n := range m.failures {
		repeated = repeated || n >= 2 && l.jobs[id] != nil && l.jobs[id].ranSuccessfully
	}
	if !m.quarantined && (len(m.failures) >= 2 || repeated) {
		m.quarantined = true
		l.core.log(Info, "worker quarantined", "worker", m.name, "jobs", len(m.failures))
	}
}

// recordFailure counts a failure.
func (l *leader) recordFailure(p *placement) {
	j, m := p.job, p.machine
	if j.failedOn == nil {
		j.failedOn = map[string]bool{}
	}
	j.failedOn[m.name] = true
	m.failures[j.id]++
	m.lastFailure = l.core.now.Steady
	now := l.core.now.Steady
	if !j.ranSuccessfully && len(j.failedOn) >= 2 {
		// Suspect: it may be the job. Double the pause up to three of the workers'
		// leases, and take back what it says of machines.
		pause := l.core.times.checkInterval << min(len(j.failedOn)-1, 6)
		j.retryAt = max(j.retryAt, now+min(pause, 3*l.core.times.lease))
		for name := range j.failedOn {
			if x := l.machines[name]; x != nil && !x.quarantined {
				delete(x.failures, j.id)
			}
		}
		return
	}
	l.assessMachine(m)
}

// avoidsMachine tells whether a job should rather not be tried on a machine again. Where
// it failed on much of the fleet the machines are not to blame.
func (l *leader) avoidsMachine(j *job, m *machine) bool {
	return j.failedOn[m.name] && 2*len(j.failedOn) <= len(l.machinesByName)
}

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

// ranWell clears a machine and a job of suspicion: a task was done, or has been
// running for a while.
func (l *leader) ranWell(p *placement, done bool) {
	if !done && l.c.now.Steady-p.ranAt < 3*l.c.times.checkInterval {
		return
	}
	j := p.job
	if p.since > p.machine.erredAt {
		// One that was there before tells nothing: a faulty machine may fail only what it
		// starts.
		clear(p.machine.errors)
	}
	failed := j.failed
	j.failed = nil
	if j.proven {
		return
	}
	j.proven = true
	for _, name := range slices.Sorted(maps.Keys(failed)) {
		if x := l.machines[name]; x != nil && x != p.machine {
			x.errors[j.id] = max(1, x.errors[j.id])
			l.assessMachine(x)
		}
	}
}

// assessMachine finds a machine faulty by the jobs that failed on it.
func (l *leader) assessMachine(m *machine) {
	repeated := false
	for id, n := range m.errors {
		repeated = repeated || n >= 2 && l.jobs[id] != nil && l.jobs[id].proven
	}
	if !m.faulty && (len(m.errors) >= 2 || repeated) {
		m.faulty = true
		l.c.log(Info, "machine is faulty", "machine", m.name, "jobs", len(m.errors))
	}
}

// erred counts a failure.
func (l *leader) erred(p *placement) {
	j, m := p.job, p.machine
	if j.failed == nil {
		j.failed = map[string]bool{}
	}
	j.failed[m.name] = true
	m.errors[j.id]++
	m.erredAt = l.c.now.Steady
	now := l.c.now.Steady
	if !j.proven && len(j.failed) >= 2 {
		// Suspect: it may be the job. Double the pause up to three of the workers'
		// leases, and take back what it says of machines.
		pause := l.c.times.checkInterval << min(len(j.failed)-1, 6)
		j.waitFor = max(j.waitFor, now+min(pause, 3*l.c.times.lease))
		for name := range j.failed {
			if x := l.machines[name]; x != nil && !x.faulty {
				delete(x.errors, j.id)
			}
		}
		return
	}
	l.assessMachine(m)
}

// avoids tells whether a job should rather not be tried on a machine again. Where
// it failed on much of the fleet the machines are not to blame.
func (l *leader) avoids(j *job, m *machine) bool {
	return j.failed[m.name] && 2*len(j.failed) <= len(l.fleet)
}

package core

// A failed task mostly means a faulty machine, but a job submitted with a mistake
// fails on each machine. So neither is condemned by itself: a machine counts as
// sick once several jobs that are not themselves suspect failed on it, or one that
// is proven did repeatedly; a job that fails on several machines is suspect and
// waits longer with each failure.

// ranWell clears a machine and a job of suspicion: a task was done, or has been
// running for a while.
func (l *leader) ranWell(p *placement, done bool) {
	if !done && l.c.now.Steady-p.ranAt < 8*l.c.t.beat {
		return
	}
	p.job.proven = true
	p.job.fails = 0
	p.job.failed = nil
	clear(p.machine.errors)
}

// erred counts a failure.
func (l *leader) erred(p *placement) {
	j, m := p.job, p.machine
	if j.failed == nil {
		j.failed = map[string]bool{}
	}
	j.failed[m.name] = true
	j.fails++
	m.errors[j.id]++
	now := l.c.now.Steady
	if !j.proven && len(j.failed) >= 2 {
		// Suspect: it may be the job. Double the pause up to the workers' lease
		// time twice over, and take back what it says of machines.
		pause := l.c.t.beat << min(j.fails, 6)
		j.waitFor = max(j.waitFor, now+min(pause, 3*l.c.t.lease))
		for name := range j.failed {
			if x := l.machines[name]; x != nil && !x.sick {
				delete(x.errors, j.id)
			}
		}
		return
	}
	if len(m.errors) >= 2 || j.proven && m.errors[j.id] >= 2 {
		if !m.sick {
			m.sick = true
			l.c.log(Info, "machine is faulty", "machine", m.name, "jobs", len(m.errors))
		}
	}
}

// avoids tells whether a job should rather not be tried on a machine again. Where
// it failed on much of the fleet the machines are not to blame.
func (l *leader) avoids(j *job, m *machine) bool {
	return j.failed[m.name] && 2*len(j.failed) <= len(l.fleet)
}

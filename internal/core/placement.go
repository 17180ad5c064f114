package core

import (
	"bitternwing/internal/resource"
	"math"
)

// allowed tells whether a job's next task may run on a machine: type, zone and
// kind of machine, given where the job's other tasks are. Tasks that are stopping
// or out of sight count as being where they are.
func (r *round) allowed(j *job, m *machine) bool {
	s := j.spec
	if m.spot && !s.Spot || s.Zone != "" && s.Zone != m.zone || !allowsType(s, m.kind) {
		return false
	}
	if r.l.avoids(j, m) {
		return false
	}
	if !s.OneZone && !s.Spread {
		return true
	}
	here := 0
	for _, p := range j.placed {
		switch {
		case p.machine.zone == m.zone, s.Spread && p.machine.zone == "":
			// Where an earlier leader's machine is, a new one learns from the cloud's list or
			// from a report. Until then what is on it counts as being here.
			here++
		case s.OneZone:
			return false
		}
	}
	return !s.Spread || here < (s.Tasks+1)/2
}

// fit finds the machine for a job's next task: warm images first, except that what
// may run on cheap machines prefers those; then the tightest, so that others empty
// and can be returned.
func (r *round) fit(j *job, task int) *machine {
	a, plain := requestOf(j)
	if plain && r.full[a] {
		return nil
	}
	r.evaluations -= len(r.hosts)
	var best *host
	bestScore := math.Inf(1)
	need := resource.OfTask(j.spec)
	for _, h := range r.hosts {
		if !h.free.Holds(need) || !r.allowed(j, h.m) {
			continue
		}
		left := 1.0
		if h.m.mt.GPUs > 0 {
			left = (h.free.GPUs - j.spec.GPUs) / h.m.mt.GPUs
		} else if h.m.mt.CPUs > 0 {
			left = (h.free.CPUs - j.spec.CPUs) / h.m.mt.CPUs
		}
		score := left + 2*float64(h.m.warmth(j.spec.Image))
		if j.spec.Spot && !h.m.spot {
			score += 4
		}
		if score < bestScore {
			best, bestScore = h, score
		}
	}
	if best == nil {
		if plain {
			r.full[a] = true
		}
		return nil
	}
	return best.m
}

// place decides a placement; the caller marks its record once it stands. It is
// written before anything is sent.
func (r *round) place(j *job, task int, m *machine) *placement {
	l := r.l
	ch := l.chunkOf(j, task)
	ch.next++
	p := &placement{job: j, task: task, attempt: ch.next, machine: m, session: m.session, since: l.c.now.Steady, warmth: m.warmth(j.spec.Image)}
	j.placed[task] = p
	m.add(p)
	m.touch(j.spec.Image, j.spec.ImageGB)
	h := m.host
	h.free.Take(resource.OfTask(j.spec))
	h.soon.Take(resource.OfTask(j.spec))
	r.use.add(j, 1)
	r.placed++
	return p
}

// unplace takes back the last placement of this very round. Its attempt was never
// written, so its number is free again.
func (r *round) unplace(p *placement) {
	if ch := r.l.chunkOf(p.job, p.task); ch.next == p.attempt && !ch.inFlight && !ch.dirty {
		ch.next--
	}
	delete(p.job.placed, p.task)
	p.machine.remove(p)
	p.job.cursor = min(p.job.cursor, p.task)
	h := p.machine.host
	h.free.Give(resource.OfTask(p.job.spec))
	clear(r.full)
	h.soon.Give(resource.OfTask(p.job.spec))
	r.use.add(p.job, -1)
	r.placed--
}

package core

import (
	"container/heap"
	"sort"

	"bitternwing/internal/config"
	"bitternwing/internal/dependency"
	"bitternwing/internal/wire"
)

// This file is the order of the design document: which elastic job is given more and
// which is shrunk.
//
// An array is elastic: its bounds are one task and its unfinished tasks. A service
// has a fixed size and is none of this file's matter, nor is an array with a
// single unfinished task (its bounds are equal, and the score would divide by
// zero).

func (j *job) minInstances() int { return min(1, j.unfinished()) }
func (j *job) maxInstances() int { return j.unfinished() }

func (j *job) elastic() bool {
	return j.isArray() && !j.cancelled && j.maxInstances() > j.minInstances()
}

// hasDeadline tells whether a pipeline's deadline depends on a job.
func (j *job) hasDeadline() bool { return j.latestEndMS != dependency.Never }

// latestStart is the time of day at which a job has to start at the latest for the deadlines that depend
// on it, as far as its owner's estimate tells.
func (j *job) latestStart() int64 {
	if !j.hasDeadline() {
		return j.latestEndMS
	}
	return j.latestEndMS - milliseconds(j.spec.EstimatedRunS)
}

// requiredInstances is how many instances an array needs at work now to be done within its class's
// aim, as far as its owner's estimate tells: all that is unfinished, over the number of
// times that a task fits into what is left of the time. The closest aim that can still
// be met counts; without one the pace is the minimum. A job on which a pipeline's deadline depends has no
// time to give away to those after it: its pace is all of it.
func (l *leader) requiredInstances(j *job) int {
	if j.elastic() && j.hasDeadline() {
		return j.maxInstances()
	}
	if !j.elastic() || j.spec.EstimatedRunS <= 0 {
		return j.minInstances()
	}
	age := float64(l.core.now.WallMS-j.queuedMS) / 1000
	left := 0.0
	for _, o := range l.core.settings.Params.Objectives {
		if o.Kind != "finished" || o.Class != j.spec.Class {
			continue
		}
		if t := o.WithinS - age; t >= j.spec.EstimatedRunS && (left == 0 || t < left) {
			left = t
		}
	}
	if left == 0 {
		return j.minInstances()
	}
	times := int(left / j.spec.EstimatedRunS)
	return (j.unfinished() + times - 1) / times
}

// activeInstances counts what a job holds and is to keep: what was told to stop is
// taken away already, although its room is not free yet.
func (j *job) activeInstances() int { return len(j.placements) - j.stopping }

// fulfillmentScore is the fulfillment score: current less minimum, over maximum less minimum.
func fulfillmentScore(current, least, most int) float64 {
	return float64(current-least) / float64(most-least)
}

// candidate is a job that more instances may be allocated to.
type candidate struct {
	job       *job
	instances int
	nextTask  int // where to look for its next task
}

func (h *candidate) score() float64 {
	return fulfillmentScore(h.instances, h.job.minInstances(), h.job.maxInstances())
}

// lessFulfilled orders elastic jobs: by score, then by what an instance asks of
// GPUs, CPU and memory (the smaller first: more of them find room), then by age.
func lessFulfilled(a, b *candidate) bool {
	if x, y := a.score(), b.score(); x != y {
		return x < y
	}
	s, t := a.job.spec, b.job.spec
	switch {
	case s.GPUs != t.GPUs:
		return s.GPUs < t.GPUs
	case s.CPUs != t.CPUs:
		return s.CPUs < t.CPUs
	case s.MemoryGB != t.MemoryGB:
		return s.MemoryGB < t.MemoryGB
	}
	return a.job.queuedBefore(b.job)
}

// candidateQueue has the least fulfilled job on top.
type candidateQueue []*candidate

func (q candidateQueue) Len() int           { return len(q) }
func (q candidateQueue) Less(a, b int) bool { return lessFulfilled(q[a], q[b]) }
func (q candidateQueue) Swap(a, b int)      { q[a], q[b] = q[b], q[a] }
func (q *candidateQueue) Push(x any)        { *q = append(*q, x.(*candidate)) }
func (q *candidateQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// allocateForDeadlines gives free room to arrays that would miss their class's aim without it, the
// least slack first and then the oldest: an exception to the order of fulfillment. Equal shares let all arrays
// that compete end at about the same, late time; one after the other, most are in time.
// It takes from nobody.
func (r *schedulingCycle) allocateForDeadlines(jobs []*job) {
	l := r.leader
	var late []*job
	for _, j := range jobs {
		if j.activeInstances() < l.requiredInstances(j) {
			late = append(late, j)
		}
	}
	sort.SliceStable(late, func(a, b int) bool {
		x, y := late[a], late[b]
		if g, h := x.withinGuarantee, y.withinGuarantee; g != h {
			return g
		}
		return x.latestStart() < y.latestStart()
	})
	for _, j := range late {
		from := 0
		for n := l.requiredInstances(j) - j.activeInstances(); n > 0 && r.hasBudget() && r.usage.withinLimit(j, 1); n-- {
			task := l.nextTask(j, from)
			if task < 0 {
				break
			}
			m := r.findMachine(j)
			if m == nil {
				break
			}
			r.place(j, task, m)
			l.markDirty(l.chunkOf(j, task))
			from = task + 1
		}
	}
}

// allocateElastic gives free room to arrays. Idle-time work comes last: it takes what all else leaves,
// and gives way to what found no room.
func (r *schedulingCycle) allocateElastic() {
	var wanted, idle []*job
	for _, j := range r.leader.queue {
		switch {
		case !j.isArray() || !r.schedulable(j) || j.unplaced() == 0:
		case j.isIdlePriority():
			idle = append(idle, j)
		default:
			wanted = append(wanted, j)
		}
	}
	r.allocateForDeadlines(wanted)
	for _, h := range r.allocateByFulfillment(wanted) {
		r.preemptIdleFor(h)
	}
	r.allocateForDeadlines(idle)
	r.allocateByFulfillment(idle)
}

// allocateByFulfillment gives free room, one instance at a time, to the least fulfilled job below
// 1.0. A job that finds no room for its next instance, or has reached its team's
// limit, is out of this round. It returns those that found no room.
func (r *schedulingCycle) allocateByFulfillment(jobs []*job) []*candidate {
	l := r.leader
	q := candidateQueue{}
	for _, j := range jobs {
		if j.unplaced() > 0 {
			q = append(q, &candidate{job: j, instances: j.activeInstances()})
		}
	}
	var lacking []*candidate
	heap.Init(&q)
	for len(q) > 0 && r.hasBudget() {
		h := q[0]
		task := l.nextTask(h.job, h.nextTask)
		if task < 0 || h.instances >= h.job.maxInstances() || !r.usage.withinLimit(h.job, 1) {
			heap.Pop(&q)
			continue
		}
		m := r.findMachine(h.job)
		if m == nil {
			lacking = append(lacking, h)
			heap.Pop(&q)
			continue
		}
		r.place(h.job, task, m)
		l.markDirty(l.chunkOf(h.job, task))
		h.instances++
		h.nextTask = task + 1
		heap.Fix(&q, 0)
	}
	return lacking
}

// preemptIdleFor makes room for an array's further instances, where only idle-time work above its
// minimum is in their way: an exception to the design, which takes for minimums alone. Work that
// is to run when nobody else wants the machines must not keep them from anybody, and its
// tasks can hold all the CPUs of a fleet whose GPUs are free.
func (r *schedulingCycle) preemptIdleFor(h *candidate) {
	lacks := h.job.maxInstances() - h.instances
	for lacks > 0 && r.hasBudget() && r.usage.withinLimit(h.job, 1) && r.preemptFor(h.job, 1, true) {
		r.usage.add(h.job, 1) // it is as good as placed: its team's limit holds for the next one
		lacks--
	}
}

// isIdlePriority tells whether a job is to run only on what nobody else wants.
func (j *job) isIdlePriority() bool { return priority(j) == wire.PriorityIdle.Rank() }

// protocolAllowsPreemption tells whether the protocol lets a task of victim be stopped for job j: j
// is of higher priority, or j lies within its team's guarantee and the victim's
// team, another one, runs beyond its own.
func (r *schedulingCycle) protocolAllowsPreemption(j, victim *job) bool {
	if victim.team == nil {
		return true
	}
	if priority(j) > priority(victim) {
		return true
	}
	return j.withinGuarantee && j.spec.Team != victim.spec.Team && r.usage.exceedsGuarantee(victim.team)
}

// shrinkable tells whether a job is elastic and above its minimum.
func (j *job) shrinkable() bool { return j.elastic() && j.activeInstances() > j.minInstances() }

// teamUsage is what the teams' tasks use, whatever state they are in: until there is
// evidence that a task is gone it counts.
type teamUsage map[string]*[2]float64 // GPUs, CPUs

func (u teamUsage) of(team string) *[2]float64 {
	x := u[team]
	if x == nil {
		x = new([2]float64)
		u[team] = x
	}
	return x
}

func (u teamUsage) add(j *job, n int) {
	x := u.of(j.spec.Team)
	x[0] += float64(n) * j.spec.GPUs
	x[1] += float64(n) * j.spec.CPUs
}

// withinLimit tells whether n more tasks keep the team within its limit.
func (u teamUsage) withinLimit(j *job, n int) bool {
	if j.team == nil {
		return false
	}
	x := u.of(j.spec.Team)
	return !exceedsLimit(x[0]+float64(n)*j.spec.GPUs, j.team.MaxGPUs) && !exceedsLimit(x[1]+float64(n)*j.spec.CPUs, j.team.MaxCPUs)
}

// exceedsGuarantee tells whether a team uses more than its guarantee.
func (u teamUsage) exceedsGuarantee(t *config.Team) bool {
	x := u.of(t.Name)
	return usageExceedsGuarantee(x[0], x[1], t)
}

func usageExceedsGuarantee(gpus, cpus float64, t *config.Team) bool {
	const eps = 1e-9
	if t.GuaranteedGPUs > 0 && gpus > t.GuaranteedGPUs+eps || t.GuaranteedCPUs > 0 && cpus > t.GuaranteedCPUs+eps {
		return true
	}
	// A team without any guarantee is beyond it with all that it runs.
	return t.GuaranteedGPUs == 0 && t.GuaranteedCPUs == 0 && (gpus > eps || cpus > eps)
}

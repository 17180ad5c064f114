package core

import (
	"sort"
	"time"

	"bitternwing/internal/config"
)

// cycleTimer says when decision rounds are held: regularly, and soon after something
// changed. They share a budget of evaluations (of a machine for a task), which refills with
// time; where a round has used it up, the next one goes on from there.
type cycleTimer struct {
	nextAt           time.Duration
	lastAt           time.Duration
	evaluationsLeft  float64       // left; below 0 it is made good before the next round does much
	minPause         time.Duration // until the next one at least, after one that ran out
	evaluationsSpent int           // in this term
	resumeFrom       *job          // where the last round stopped in the order of minimums; nil: it came through
}

// requestCycle asks for a round soon: a recorded exception to the round length of the
// design, for starts that are due within seconds.
func (l *leader) requestCycle() {
	l.observedChanges++
	if !l.core.operator.EventRounds {
		return
	}
	gap := time.Duration(float64(l.core.times.minCycleGap) * l.core.slowdown())
	l.cycles.nextAt = min(l.cycles.nextAt, l.cycles.lastAt+max(gap, l.cycles.minPause))
}

// schedulingCycle is one decision round.
type schedulingCycle struct {
	leader              *leader
	usage               teamUsage
	evaluations         int
	placed              int
	unmetDemand         []unmetDemand              // what found no room, for the rentals
	exhaustedRequests   map[resourceRequest]bool   // what no machine has free room for in this round
	replicaCost         replicaCostModel           // of the job that was placed last
	replicaCostVersion  uint64                     // the changes of the ledger of replicas by then
	preemptible         *preemptibleJobs           // the jobs that can be shrunk; nil: not looked for yet
	hopelessPreemptions map[preemptionRequest]bool // what no machine can make room for in this round
}

// unmetDemand is a number of tasks of a job without a place.
type unmetDemand struct {
	job   *job
	tasks int
}

// priority gives a job's rank; jobs that need it lend it theirs.
func priority(j *job) int { return j.rank }

// hasBudget tells whether the round may go on.
func (r *schedulingCycle) hasBudget() bool { return r.evaluations > 0 }

// acceptsTasks tells whether a machine may be given tasks: heard of lately, and not on
// its way out.
func (l *leader) acceptsTasks(m *machine) bool {
	return m.reported && m.machineType != nil && !m.releasing && !m.reclaiming && !m.quarantined && m.requiredFencingToken == 0 &&
		l.core.now.Steady-m.lastHeartbeat < l.core.pacer.HeartbeatTimeout(l.core.times.heartbeatTimeout, m.lastHoldTime) && l.core.now.Steady >= m.noCapacityUntil
}

// schedulable tells whether a job may be given tasks now.
func (r *schedulingCycle) schedulable(j *job) bool {
	return !j.cancelled && !j.ending && !j.heldByRollout && j.team != nil && r.leader.core.now.Steady >= j.retryAt
}

// runSchedulingCycle decides what starts and what stops.
func (l *leader) runSchedulingCycle() {
	now := l.core.now.Steady
	if now < l.cycles.nextAt {
		l.core.wakeBy(l.cycles.nextAt)
		return
	}
	l.cycles.nextAt = now + l.core.times.cycleInterval
	l.cycles.minPause = 0
	l.core.wakeBy(l.cycles.nextAt)
	if l.core.catalog == nil || !l.core.election.leaseValid() || l.core.storeDown {
		l.cycles.lastAt = now
		l.cycles.nextAt = now + l.core.times.checkInterval
		l.core.wakeBy(l.cycles.nextAt)
		return
	}
	budget := l.cycleBudget()
	r := &schedulingCycle{leader: l, usage: teamUsage{}, evaluations: budget, exhaustedRequests: map[resourceRequest]bool{}, hopelessPreemptions: map[preemptionRequest]bool{}}
	l.cycles.lastAt = now
	l.refreshCapacityIndex()
	for _, j := range l.queue {
		if len(j.placements) > 0 {
			r.usage.add(j, len(j.placements))
		}
	}
	l.markWithinGuarantee()
	l.cycles.resumeFrom = r.placeMinimums()
	if l.cycles.resumeFrom == nil {
		r.allocateElastic()
	}
	if l.cycles.resumeFrom == nil {
		r.rebalanceReplicas()
	}
	l.planCapacity(r)
	r.logSummary()
	spent := budget - r.evaluations
	l.cycles.evaluationsLeft -= float64(spent)
	l.cycles.evaluationsSpent += spent
	l.core.evaluationCost.Spend(spent)
	if r.evaluations <= 0 {
		// Out of budget: go on from where this round stopped, once what it took beyond
		// its budget is made good.
		l.cycles.minPause = l.cycles.pauseAfter(l.core)
		l.cycles.nextAt = now + l.cycles.minPause
		l.core.wakeBy(l.cycles.nextAt)
	}
}

// pauseAfter is the time to the next round after one that ran out. One that had all that a single round may
// have, while there is more, goes on soon.
func (rs *cycleTimer) pauseAfter(c *Core) time.Duration {
	if rs.evaluationsLeft > 0 {
		return c.times.minCycleGap
	}
	debt := config.Seconds(-rs.evaluationsLeft / c.evaluationsPerSecond())
	return min(max(c.times.checkInterval/2, debt), c.times.cycleInterval)
}

// logSummary writes what a round came to, for whoever looks for the cause of a wait: tasks
// of arrays without a place, how many of them their teams' limits hold back, and the
// room that is free.
func (r *schedulingCycle) logSummary() {
	if r.placed == 0 && len(r.unmetDemand) == 0 {
		return
	}
	unplaced, limited := 0, 0
	for _, j := range r.leader.queue {
		if j.isArray() && r.schedulable(j) && j.unplaced() > 0 {
			unplaced += j.unplaced()
			if !r.usage.withinLimit(j, 1) {
				limited += j.unplaced()
			}
		}
	}
	free, spot, idle := 0.0, 0.0, 0
	for _, m := range r.leader.machinesByName {
		switch {
		case m.schedulable == nil:
			continue
		case m.spot:
			spot += m.schedulable.free.GPUs
		default:
			free += m.schedulable.free.GPUs
		}
		if len(m.placementsInOrder) == 0 {
			idle++
		}
	}
	r.leader.core.log(Debug, "scheduling cycle", "placed", r.placed, "waiting", len(r.unmetDemand), "array_tasks", unplaced,
		"at_limit", limited, "free", free, "free_spot", spot, "idle", idle, "evaluations_left", r.evaluations)
}

// markWithinGuarantee finds the jobs that fit into their team's guarantee together with
// the team's earlier unfinished jobs.
func (l *leader) markWithinGuarantee() {
	sums := teamUsage{}
	for _, j := range l.queue {
		j.withinGuarantee = false
		if j.cancelled || j.team == nil {
			continue
		}
		sums.add(j, j.unfinished())
		j.withinGuarantee = !sums.exceedsGuarantee(j.team)
	}
}

// placeMinimums serves what lacks its minimum: services that are not whole, and arrays
// without a task. What finds no room takes it from the most fulfilled. It returns
// the job at which the budget ran out, where the next round goes on: so each job has
// its turn, and free room is given to arrays only after all services had theirs.
func (r *schedulingCycle) placeMinimums() *job {
	l := r.leader
	var lacking []*job
	for _, j := range l.queue {
		if !r.schedulable(j) || j.unplaced() == 0 {
			continue
		}
		if !j.isArray() || j.activeInstances() < j.minInstances() {
			lacking = append(lacking, j)
		}
	}
	before := func(x, y *job) bool {
		if g, h := x.withinGuarantee, y.withinGuarantee; g != h {
			return g
		}
		if p, q := priority(x), priority(y); p != q {
			return p > q
		}
		if s, t := x.latestStart(), y.latestStart(); s != t {
			return s < t
		}
		return x.queuedBefore(y)
	}
	sort.SliceStable(lacking, func(a, b int) bool { return before(lacking[a], lacking[b]) })
	var stopped *job
	for _, j := range lacking {
		need := 1
		if !j.isArray() {
			need = j.unplaced()
		}
		switch {
		case !r.usage.withinLimit(j, need):
			continue
		case l.cycles.resumeFrom != nil && before(j, l.cycles.resumeFrom):
			// It had its turn; what it lacks is still to be rented.
		case !r.hasBudget():
			if stopped == nil {
				stopped = j
			}
			continue
		case r.placeAllOrNone(j, need):
			continue
		default:
			r.preemptFor(j, need, false)
		}
		r.unmetDemand = append(r.unmetDemand, unmetDemand{j, need})
	}
	return stopped
}

// placeAllOrNone places the next tasks of a job, all of them or none.
func (r *schedulingCycle) placeAllOrNone(j *job, need int) bool {
	l := r.leader
	var done []*placement
	from := 0
	for len(done) < need {
		task := l.nextTask(j, from)
		if task < 0 {
			break
		}
		m := r.findMachine(j)
		if m == nil {
			for i := len(done) - 1; i >= 0; i-- {
				r.revertPlacement(done[i])
			}
			return false
		}
		done = append(done, r.place(j, task, m))
		from = task + 1
	}
	for _, p := range done {
		l.markDirty(l.chunkOf(j, p.task))
	}
	return true
}

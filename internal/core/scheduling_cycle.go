package core

import "bitternwing/internal/scheduling"

// schedulingCycle is one cycle of decisions about what starts and what is preempted.
type schedulingCycle struct {
	state               cycleState
	params              cycleParams
	usage               scheduling.TeamUsage
	evaluations         int // that are left of the budget
	placed              int
	unmetDemand         []unmetDemand              // what found no machine, for the scale-out
	exhaustedRequests   map[resourceRequest]bool   // what no machine has free resources for in this cycle
	replicaCost         replicaCostModel           // of the job that was placed last
	replicaCostVersion  uint64                     // the changes of the replica ledger by then
	preemptible         *preemptibleJobs           // the jobs that can be shrunk; nil: not looked for yet
	hopelessPreemptions map[preemptionRequest]bool // for what no preemption would free enough in this cycle
}

// newSchedulingCycle makes a cycle with a budget of evaluations, from the placements that there are.
func newSchedulingCycle(state cycleState, params cycleParams) *schedulingCycle {
	cycle := &schedulingCycle{
		state:               state,
		params:              params,
		usage:               scheduling.TeamUsage{},
		evaluations:         params.evaluationBudget,
		exhaustedRequests:   map[resourceRequest]bool{},
		hopelessPreemptions: map[preemptionRequest]bool{},
	}
	for _, j := range state.jobsToRun() {
		if len(j.placements) > 0 {
			cycle.countUsage(j, len(j.placements))
		}
	}
	cycle.markWithinGuarantee()
	return cycle
}

// unmetDemand is a number of tasks of a job for which there is no machine.
type unmetDemand struct {
	job   *job
	tasks int
}

// hasBudget tells whether the cycle may go on.
func (cycle *schedulingCycle) hasBudget() bool { return cycle.evaluations > 0 }

// acceptsTasks tells whether a machine may be given tasks: its heartbeats arrive, and it is not about to go.
func (l *leader) acceptsTasks(m *machine) bool {
	if !m.reported || m.machineType == nil || m.fence.Required() {
		return false
	}
	if m.releasing || m.reclaiming || m.quarantined {
		return false
	}
	now := l.core.now.Steady
	timeout := l.core.pacer.HeartbeatTimeout(l.core.times.heartbeatTimeout, m.lastHoldTime)
	return now-m.lastHeartbeat < timeout && now >= m.noCapacityUntil
}

// schedulable tells whether a job may be given tasks now.
func (cycle *schedulingCycle) schedulable(j *job) bool {
	return !j.cancelled && !j.ending && !j.heldByRollout && j.team != nil && cycle.params.now >= j.retryAt
}

// runSchedulingCycle runs a scheduling cycle if one is due.
func (l *leader) runSchedulingCycle() {
	now := l.core.now.Steady
	if now < l.cycles.nextAt {
		l.core.wakeBy(l.cycles.nextAt)
		return
	}
	l.cycles.nextAt = now + l.core.times.cycleInterval
	l.cycles.minPause = 0
	l.core.wakeBy(l.cycles.nextAt)
	if !l.core.catalog.known() || !l.mayCommit() {
		l.cycles.lastAt = now
		l.cycles.nextAt = now + l.core.times.checkInterval
		l.core.wakeBy(l.cycles.nextAt)
		return
	}
	budget := l.cycleBudget()
	l.cycles.lastAt = now
	l.refreshCapacityIndex()
	cycle := newSchedulingCycle(l, l.cycleParams(budget))
	l.cycles.resumeFrom = cycle.placeMinimums()
	if l.cycles.resumeFrom == nil {
		cycle.allocateElastic()
		l.rebalanceReplicas(cycle)
	}
	l.planCapacity(cycle)
	l.logCycle(cycle)
	l.settleCycleBudget(budget-cycle.evaluations, cycle.hasBudget())
}

// settleCycleBudget accounts for the evaluations that a cycle made. One that ran out of its budget is continued from
// where it stopped, once what it took beyond the budget is made up for.
func (l *leader) settleCycleBudget(spent int, completed bool) {
	l.cycles.evaluationsLeft -= float64(spent)
	l.cycles.evaluationsSpent += spent
	l.core.evaluationCost.CountEvaluations(spent)
	if completed {
		return
	}
	l.cycles.minPause = l.cycles.pauseAfter(l.core)
	l.cycles.nextAt = l.core.now.Steady + l.cycles.minPause
	l.core.wakeBy(l.cycles.nextAt)
}

// logCycle logs the result of a cycle, for whoever looks for the cause of a wait: the tasks of arrays without a machine,
// how many of them their teams' limits hold back, and the free resources.
func (l *leader) logCycle(cycle *schedulingCycle) {
	if cycle.placed == 0 && len(cycle.unmetDemand) == 0 {
		return
	}
	unplaced, limited := 0, 0
	for _, j := range l.queue {
		if j.isArray() && cycle.schedulable(j) && j.unplaced() > 0 {
			unplaced += j.unplaced()
			if !cycle.withinLimit(j, 1) {
				limited += j.unplaced()
			}
		}
	}
	free, spot, idle := 0.0, 0.0, 0
	for _, m := range l.machinesByName {
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
	l.core.log(Debug, "scheduling cycle", "placed", cycle.placed, "waiting", len(cycle.unmetDemand), "array_tasks", unplaced,
		"at_limit", limited, "free", free, "free_spot", spot, "idle", idle, "evaluations_left", cycle.evaluations)
}

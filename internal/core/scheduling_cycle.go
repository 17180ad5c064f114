package core

import "bitternwing/internal/scheduling"

// schedulingCycle is one pass of the scheduler. It decides which tasks start and which are preempted.
type schedulingCycle struct {
	state                  cycleState
	params                 cycleParams
	usage                  scheduling.TeamUsage
	evaluationsLeft        int
	placed                 int                      // tasks placed in this cycle
	unmetDemand            []unmetDemand            // tasks without a machine, the input of scale-out
	exhaustedRequests      map[resourceRequest]bool // requests for which no machine has free resources in this cycle
	replicaCost            replicaCostModel         // cached for the job whose replica was placed last
	replicaCostChangeCount uint64                   // change count of the replica counts that replicaCost was calculated from
	gangZones              gangZones
	fleetSize              map[machineClass]int       // nil until first needed
	preemptible            *preemptibleJobs           // jobs that can be shrunk; nil until first needed
	infeasiblePreemptions  map[preemptionRequest]bool // requests for which preemption cannot free enough in this cycle
	work                   CycleWork
}

// newSchedulingCycle returns a cycle that starts from the current placements, with the evaluation budget in params.
func newSchedulingCycle(state cycleState, params cycleParams) *schedulingCycle {
	cycle := &schedulingCycle{
		state:                 state,
		params:                params,
		usage:                 scheduling.TeamUsage{},
		evaluationsLeft:       params.evaluationBudget,
		exhaustedRequests:     map[resourceRequest]bool{},
		infeasiblePreemptions: map[preemptionRequest]bool{},
	}
	for _, j := range state.queuedJobs() {
		if len(j.placements) > 0 {
			cycle.addUsage(j, len(j.placements))
		}
	}
	cycle.markWithinGuarantee()
	return cycle
}

// unmetDemand is the number of tasks of a job that found no machine.
type unmetDemand struct {
	job   *job
	tasks int
}

// hasBudget reports whether the cycle may make more evaluations.
func (cycle *schedulingCycle) hasBudget() bool { return cycle.evaluationsLeft > 0 }

// mayContinue reports whether the cycle may make more evaluations for a job that it has begun with. That may exceed the
// budget, which delays the next cycle, but not the bound on a step.
func (cycle *schedulingCycle) mayContinue() bool {
	return cycle.evaluationsLeft > cycle.params.evaluationBudget-cycle.params.maxEvaluations
}

// acceptsTasks reports whether tasks may be placed on a machine. Its type has to be known, its heartbeats have to
// arrive, and its worker must have shown the required fencing token. The machine must not be about to be released,
// reclaimed or quarantined, and must not have rejected a task for lack of capacity recently.
func (l *leader) acceptsTasks(m *machine) bool {
	if !m.reportedInTerm || m.machineType == nil || m.fence.Required() {
		return false
	}
	if m.releasing || m.reclaiming || m.quarantined {
		return false
	}
	now := l.core.now.Steady
	timeout := l.core.pacer.HeartbeatTimeout(l.core.times.heartbeatTimeout, m.lastHoldTime)
	return now-m.lastHeartbeat < timeout && now >= m.noCapacityUntil
}

// schedulable reports whether tasks of a job may be started now.
func (cycle *schedulingCycle) schedulable(j *job) bool {
	return !j.cancelled && !j.endPending && !j.heldByRollout && j.team != nil && cycle.params.now >= j.retryAt
}

// runSchedulingCycle runs a scheduling cycle if one is due.
func (l *leader) runSchedulingCycle() {
	now := l.core.now.Steady
	if now < l.cycles.nextAt {
		l.core.wakeBy(l.cycles.nextAt)
		return
	}
	l.cycles.nextAt = now + l.core.times.cycleInterval
	l.cycles.minDelay = 0
	l.core.wakeBy(l.cycles.nextAt)
	if !l.core.catalog.known() || !l.mayCommit() {
		l.cycles.lastAt = now
		l.cycles.nextAt = now + l.core.times.checkInterval
		l.core.wakeBy(l.cycles.nextAt)
		return
	}
	budget := l.cycleBudget()
	l.cycles.lastAt = now
	l.core.beginPhase(PhaseCyclePrepare)
	l.refreshCapacityIndex()
	cycle := newSchedulingCycle(l, l.cycleParams(budget))
	l.core.beginPhase(PhaseMinimums)
	l.cycles.resumeFrom = cycle.placeMinimums()
	if l.cycles.resumeFrom == nil {
		l.core.beginPhase(PhaseElastic)
		cycle.allocateElastic()
		l.core.beginPhase(PhaseRebalancing)
		l.rebalanceReplicas(cycle)
	}
	l.core.beginPhase(PhaseCapacity)
	l.planCapacity(cycle)
	l.logCycle(cycle)
	l.core.lastCycleWork = cycle.work
	l.chargeCycleBudget(budget-cycle.evaluationsLeft, cycle.hasBudget())
}

// chargeCycleBudget charges the evaluations of a cycle to the budget. A cycle that ran out of budget is continued from
// where it stopped, as soon as the budget is no longer overdrawn.
func (l *leader) chargeCycleBudget(spent int, completed bool) {
	l.cycles.evaluationsLeft -= float64(spent)
	l.cycles.evaluationsSpent += spent
	l.core.lastCycleWork.Evaluations = spent
	l.core.evaluationCost.CountEvaluations(spent)
	if completed {
		return
	}
	l.cycles.minDelay = l.cycles.delayAfterExhaustion(l.core)
	l.cycles.nextAt = l.core.now.Steady + l.cycles.minDelay
	l.core.wakeBy(l.cycles.nextAt)
}

// logCycle logs the result of a cycle, to show why tasks wait: array tasks without a machine, how many of them are held
// back by team limits, and the free resources.
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
	l.core.log(Debug, "scheduling cycle", "placed", cycle.placed, "jobs_waiting", len(cycle.unmetDemand),
		"array_tasks_waiting", unplaced, "array_tasks_at_team_limit", limited, "free_gpus", free, "free_spot_gpus", spot,
		"idle", idle, "evaluations_left", cycle.evaluationsLeft)
}

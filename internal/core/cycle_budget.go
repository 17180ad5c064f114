package core

import (
	"time"

	"bitternwing/internal/config"
)

// cycleSchedule determines when scheduling cycles run: at a regular interval, and shortly after a change. The cycles
// share a budget of evaluations of a machine for a task, which refills with time. A cycle that exhausts the budget is
// continued by the next one.
type cycleSchedule struct {
	nextAt           time.Duration
	lastAt           time.Duration
	evaluationsLeft  float64       // negative while the budget is overdrawn, which delays the next cycle
	minDelay         time.Duration // minimum time before the next cycle, after one that ran out of budget
	evaluationsSpent int           // evaluations in this term
	resumeFrom       *job          // job at which the last cycle stopped, in the order of minimums; nil if it completed
	planFrom         int           // number of the demand with which the next capacity plan begins
}

// requestCycle requests a cycle soon, ahead of the regular cycle interval. Some starts are due within seconds, which
// the interval alone would not allow.
func (l *leader) requestCycle() {
	l.changes.increment()
	if !l.core.operator.EventDrivenCycles {
		return
	}
	gap := time.Duration(float64(l.core.times.minCycleGap) * l.core.slowdown())
	l.cycles.nextAt = min(l.cycles.nextAt, l.cycles.lastAt+max(gap, l.cycles.minDelay))
}

// delayAfterExhaustion returns the time to the next cycle after one that ran out of budget. If only the bound on a
// single cycle was reached, the next one follows after the minimum gap.
func (t *cycleSchedule) delayAfterExhaustion(c *Core) time.Duration {
	if t.evaluationsLeft > 0 {
		return c.times.minCycleGap
	}
	debt := config.Seconds(-t.evaluationsLeft / c.evaluationsPerSecond())
	return min(max(c.times.checkInterval/2, debt), c.times.cycleInterval)
}

// evaluationsPerSecond returns the rate of evaluations that fits into the share of CPU time configured for scheduling
// cycles.
func (c *Core) evaluationsPerSecond() float64 {
	return c.operator.CycleBudget * c.settings.Params.Limits.CPUShare / c.evaluationCost.Seconds()
}

const (
	// cyclesPerCheckInterval is the number of cycles of maximum length that fit into a check interval. The bound keeps
	// a single cycle from delaying heartbeats and user requests.
	cyclesPerCheckInterval = 30
	// checksPerEvaluation is the number of simple checks of list entries that count as one evaluation.
	checksPerEvaluation = 4
	// evaluationsPerVictim is the number of evaluations charged for each preemptible instance when victims are
	// selected.
	evaluationsPerVictim = 4
	// minCycleEvaluations is the number of evaluations that each cycle may make even if the budget is used up.
	minCycleEvaluations = 32
)

// cycleBudget returns the number of evaluations that a cycle may make: what has accrued since the last cycle, capped at
// one check interval of evaluations and at the bound on a single cycle.
func (l *leader) cycleBudget() int {
	rate := l.core.evaluationsPerSecond()
	schedule := &l.cycles
	refilled := schedule.evaluationsLeft + rate*(l.core.now.Steady-schedule.lastAt).Seconds()
	schedule.evaluationsLeft = min(rate*l.core.times.checkInterval.Seconds(), refilled)
	// An overdraft is limited to what accrues until the next regular cycle.
	schedule.evaluationsLeft = max(schedule.evaluationsLeft, -rate*l.core.times.cycleInterval.Seconds())
	return max(minCycleEvaluations, min(int(schedule.evaluationsLeft), l.maxCycleEvaluations()))
}

// maxCycleEvaluations returns the bound on the evaluations of a single cycle, which applies to its capacity plan too.
func (l *leader) maxCycleEvaluations() int {
	longest := l.core.times.checkInterval.Seconds() / cyclesPerCheckInterval
	return max(minCycleEvaluations, int(longest/l.core.evaluationCost.Seconds()))
}

package core

import (
	"time"

	"bitternwing/internal/config"
)

// cycleTimer says when scheduling cycles run: regularly, and soon after something changed. They share a budget of
// evaluations (of a machine for a task), which refills with time. A cycle that runs out of it is continued by the next
// one.
type cycleTimer struct {
	nextAt           time.Duration
	lastAt           time.Duration
	evaluationsLeft  float64       // below 0 it is a debt, which the next cycle has to wait for
	minPause         time.Duration // before the next cycle at least, after one that ran out
	evaluationsSpent int           // in this term
	resumeFrom       *job          // where the last cycle stopped in the order of minimums; nil: it came through
}

// requestCycle asks for a cycle soon. That is a recorded exception to the cycle interval of the design, for starts that
// are due within seconds.
func (l *leader) requestCycle() {
	l.changes.increment()
	if !l.core.operator.EventDrivenCycles {
		return
	}
	gap := time.Duration(float64(l.core.times.minCycleGap) * l.core.slowdown())
	l.cycles.nextAt = min(l.cycles.nextAt, l.cycles.lastAt+max(gap, l.cycles.minPause))
}

// pauseAfter is the time to the next cycle after one that ran out of budget. Where only the bound of a single cycle was
// reached, the next one follows soon.
func (t *cycleTimer) pauseAfter(c *Core) time.Duration {
	if t.evaluationsLeft > 0 {
		return c.times.minCycleGap
	}
	debt := config.Seconds(-t.evaluationsLeft / c.evaluationsPerSecond())
	return min(max(c.times.checkInterval/2, debt), c.times.cycleInterval)
}

// evaluationsPerSecond is what the operators' share of the processor allows.
func (c *Core) evaluationsPerSecond() float64 {
	return c.operator.CycleBudget * c.settings.Params.Limits.CPUShare / c.evaluationCost.Seconds()
}

const (
	// cyclesPerCheckInterval is how many cycles fit into a check interval if each is as long as a single one may be: a
	// cycle must not keep heartbeats and users waiting.
	cyclesPerCheckInterval = 30
	// checksPerEvaluation is how many simple checks of a list's entries count as one evaluation.
	checksPerEvaluation = 4
	// evaluationsPerVictim is what each instance that could be preempted counts as in the selection of victims.
	evaluationsPerVictim = 4
	// minCycleEvaluations is what each cycle may make, whatever is left of the budget.
	minCycleEvaluations = 32
)

// cycleBudget gives the number of evaluations that a cycle may make: the operators' share of the processor over the time
// since the last cycle, at most that of a check interval, and no more than a single cycle may take.
func (l *leader) cycleBudget() int {
	rate := l.core.evaluationsPerSecond()
	timer := &l.cycles
	refilled := timer.evaluationsLeft + rate*(l.core.now.Steady-timer.lastAt).Seconds()
	timer.evaluationsLeft = min(rate*l.core.times.checkInterval.Seconds(), refilled)
	timer.evaluationsLeft = max(timer.evaluationsLeft, -rate*l.core.times.cycleInterval.Seconds()) // no debt outlasts the next regular cycle
	mostOfOne := l.core.times.checkInterval.Seconds() / cyclesPerCheckInterval / l.core.evaluationCost.Seconds()
	return max(minCycleEvaluations, int(min(timer.evaluationsLeft, mostOfOne)))
}

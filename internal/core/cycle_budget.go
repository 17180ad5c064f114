package core

// evaluationsPerSecond is what the operators' share of the processor allows.
func (c *Core) evaluationsPerSecond() float64 {
	return c.operator.RoundBudget * c.settings.Params.Limits.CPUShare / c.evaluationCost.Seconds()
}

// cyclesPerCheckInterval is how many rounds fit into a heartbeat interval if each takes the most that a single one
// may: a round must not keep reports and users waiting for long.
const cyclesPerCheckInterval = 30

// cycleBudget gives the evaluations that a round may make: the share of the processor that
// operators allow for rounds, over the time since the last one, at most that of a
// report interval, and no more than a single round may take; and always a few.
func (l *leader) cycleBudget() int {
	rate := l.core.evaluationsPerSecond()
	rs := &l.cycles
	rs.evaluationsLeft = min(rate*l.core.times.checkInterval.Seconds(), rs.evaluationsLeft+rate*(l.core.now.Steady-rs.lastAt).Seconds())
	rs.evaluationsLeft = max(rs.evaluationsLeft, -rate*l.core.times.cycleInterval.Seconds()) // no debt outlasts the next regular round
	most := l.core.times.checkInterval.Seconds() / cyclesPerCheckInterval / l.core.evaluationCost.Seconds()
	return max(32, int(min(rs.evaluationsLeft, most)))
}

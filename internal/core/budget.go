package core

import (
	"time"
)

// evaluationRate is what an evaluation costs on this machine, as measured on the steps that made many:
// so a round takes the time that it is allowed to, on a slow processor as on a fast one.
type evaluationRate struct {
	cost        float64       // in seconds; 0: not measured yet
	taken       int           // evaluations of the last step
	evaluations int           // of the steps since it was measured last
	took        time.Duration // the same
}

// firstEvaluationCost is what an evaluation is taken to cost, in seconds, until it is measured, on this
// many evaluations; steps with less than a tenth of them do too much else to tell.
const (
	firstEvaluationCost = 60e-9
	measuredEvaluations = 5000
)

// learn takes how long the last step took. All of its time counts as that of its evaluations.
// Each measure tells a quarter, and none makes an evaluation cost more than four times what it did,
// so that a standstill in a step is made good by the next ones.
func (r *evaluationRate) learn(took time.Duration) {
	evaluations := r.taken
	r.taken = 0
	if took <= 0 || evaluations < measuredEvaluations/10 {
		return
	}
	r.evaluations, r.took = r.evaluations+evaluations, r.took+took
	if r.evaluations < measuredEvaluations {
		return
	}
	old := r.now()
	cost := min(r.took.Seconds()/float64(r.evaluations), 4*old)
	r.cost = old + (cost-old)/4
	r.evaluations, r.took = 0, 0
}

func (r *evaluationRate) now() float64 {
	if r.cost == 0 {
		return firstEvaluationCost
	}
	return r.cost
}

// evaluationsPerSecond is what the operators' share of the processor allows.
func (c *Core) evaluationsPerSecond() float64 {
	return c.op.RoundBudget * c.set.Params.Limits.CPUShare / c.evaluations.now()
}

// budget gives the evaluations that a round may make: the share of the processor that
// operators allow for rounds, over the time since the last one, at most that of a
// report interval; and always a few.
func (l *leader) budget() int {
	rate := l.c.evaluationsPerSecond()
	rs := &l.rounds
	rs.evaluations = min(rate*l.c.t.heartbeat.Seconds(), rs.evaluations+rate*(l.c.now.Steady-rs.lastAt).Seconds())
	rs.evaluations = max(rs.evaluations, -rate*l.c.t.round.Seconds()) // no debt outlasts the next regular round
	return max(32, int(rs.evaluations))
}

// Package budget measures what evaluations cost, so that decision rounds keep within a share of the
// processor, on a slow one as on a fast one.
package budget

import "time"

// InitialSeconds is what an evaluation is taken to cost, in seconds, until it is measured.
const InitialSeconds = 60e-9

const (
	// measuredEvaluations is how many evaluations a measure needs.
	measuredEvaluations = 5000
	// minStepShare is the part of them that a step has to make at least: one with less does too much else
	// to tell.
	minStepShare = 10
	// weight is the part that each measure tells.
	weight = 4
	// maxRise is how much dearer than before a measure may make an evaluation, so that a pause of the
	// process in a step is made good by the next ones.
	maxRise = 4
)

// Cost is what an evaluation costs on this machine, as measured on the steps that made many.
type Cost struct {
	seconds     float64       // 0: not measured yet
	taken       int           // evaluations of the present step
	evaluations int           // of the steps since it was measured last
	took        time.Duration // the same
}

// Spend takes note of evaluations of the present step.
func (c *Cost) Spend(evaluations int) { c.taken += evaluations }

// Taken gives the evaluations of the present step.
func (c *Cost) Taken() int { return c.taken }

// Observe ends a step, with the time that it took; 0 if that is not known. All of its time counts as that
// of its evaluations.
func (c *Cost) Observe(took time.Duration) {
	evaluations := c.taken
	c.taken = 0
	if took <= 0 || evaluations < measuredEvaluations/minStepShare {
		return
	}
	c.evaluations, c.took = c.evaluations+evaluations, c.took+took
	if c.evaluations < measuredEvaluations {
		return
	}
	old := c.Seconds()
	cost := min(c.took.Seconds()/float64(c.evaluations), maxRise*old)
	c.seconds = old + (cost-old)/weight
	c.evaluations, c.took = 0, 0
}

// Seconds gives what an evaluation costs.
func (c *Cost) Seconds() float64 {
	if c.seconds == 0 {
		return InitialSeconds
	}
	return c.seconds
}

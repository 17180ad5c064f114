// Package budget measures the processor time that an evaluation takes, so that scheduling cycles keep within a share of the
// processor, whether it is slow or fast.
package budget

import "time"

// InitialSeconds is the assumed cost of an evaluation in seconds until it is measured.
const InitialSeconds = 60e-9

const (
	// measuredEvaluations is the number of evaluations in a measurement.
	measuredEvaluations = 5000
	// minStepShare is the fraction (one part in so many) of them that a step has to make to be measured: one with fewer spends
	// too much of its time on something else.
	minStepShare = 10
	// weight is the weight of each measurement in the moving average (one part in so many).
	weight = 4
	// maxRise bounds a measurement in multiples of the average, so that a pause of the process in a step is soon forgotten.
	maxRise = 4
)

// Cost is the cost of an evaluation on this machine, measured in steps that made many.
type Cost struct {
	seconds     float64       // 0: not measured yet
	taken       int           // evaluations of the current step
	evaluations int           // of the steps since the last measurement
	took        time.Duration // the same
}

// Spend counts evaluations of the current step.
func (c *Cost) Spend(evaluations int) { c.taken += evaluations }

// Taken is the number of evaluations of the current step.
func (c *Cost) Taken() int { return c.taken }

// Observe ends a step, with the time that it took; 0 if that is not known. All of it counts as time of its evaluations.
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

// Seconds is the cost of an evaluation.
func (c *Cost) Seconds() float64 {
	if c.seconds == 0 {
		return InitialSeconds
	}
	return c.seconds
}

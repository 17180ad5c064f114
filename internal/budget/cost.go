// Package budget measures the CPU time that the evaluation of a machine for a task takes, so that scheduling cycles
// stay within a share of the CPU regardless of its speed.
package budget

import "time"

// InitialSeconds is the cost of an evaluation that is assumed before the first measurement.
const InitialSeconds = 60e-9

const (
	// evaluationsPerMeasurement is the number of evaluations that make up a measurement.
	evaluationsPerMeasurement = 5000
	// minStepDivisor sets the minimum number of evaluations of a step that is measured, as a fraction 1/minStepDivisor
	// of evaluationsPerMeasurement. Steps with fewer evaluations spend too much of their time on other work.
	minStepDivisor = 10
	// averageDivisor sets the weight of each measurement in the moving average to 1/averageDivisor.
	averageDivisor = 4
	// maxIncreaseFactor limits a measurement to this multiple of the average, so that the average recovers quickly from
	// a pause of the process during a step.
	maxIncreaseFactor = 4
)

// EvaluationCost measures the cost of an evaluation on the local machine, from steps with many evaluations.
type EvaluationCost struct {
	averageSeconds      float64       // moving average; 0: not measured yet
	stepEvaluations     int           // in the current step
	measuredEvaluations int           // in measured steps since the last measurement
	measuredTime        time.Duration // duration of the same steps
}

// CountEvaluations adds evaluations to the current step.
func (c *EvaluationCost) CountEvaluations(evaluations int) { c.stepEvaluations += evaluations }

// StepEvaluations returns the number of evaluations in the current step.
func (c *EvaluationCost) StepEvaluations() int { return c.stepEvaluations }

// EndStep ends the current step, which took the given time, or 0 if the time is not known. All of the time is
// attributed to the evaluations of the step.
func (c *EvaluationCost) EndStep(took time.Duration) {
	evaluations := c.stepEvaluations
	c.stepEvaluations = 0
	if took <= 0 || evaluations < evaluationsPerMeasurement/minStepDivisor {
		return
	}
	c.measuredEvaluations, c.measuredTime = c.measuredEvaluations+evaluations, c.measuredTime+took
	if c.measuredEvaluations < evaluationsPerMeasurement {
		return
	}
	average := c.Seconds()
	cost := min(c.measuredTime.Seconds()/float64(c.measuredEvaluations), maxIncreaseFactor*average)
	c.averageSeconds = average + (cost-average)/averageDivisor
	c.measuredEvaluations, c.measuredTime = 0, 0
}

// Seconds returns the average cost of an evaluation.
func (c *EvaluationCost) Seconds() float64 {
	if c.averageSeconds == 0 {
		return InitialSeconds
	}
	return c.averageSeconds
}

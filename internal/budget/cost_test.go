package budget

import (
	"testing"
	"time"
)

func TestEvaluationCost(t *testing.T) {
	var c EvaluationCost
	step := func(evaluations int, took time.Duration) {
		c.CountEvaluations(evaluations)
		c.EndStep(took)
	}
	step(100, time.Second) // too few evaluations to be measured
	step(10_000, 0)        // duration not known
	if c.Seconds() != InitialSeconds {
		t.Errorf("cost of an evaluation is %v s, want InitialSeconds", c.Seconds())
	}
	// A pause of the process increases the average by a bounded amount only.
	step(10_000, time.Minute)
	if got, maximum := c.Seconds(), InitialSeconds+(maxIncreaseFactor-1)*InitialSeconds/averageDivisor; got <= InitialSeconds || got > 1.001*maximum {
		t.Errorf("cost of an evaluation is %v s after a pause, want a bounded increase", got)
	}
	for range 100 {
		step(10_000, 10*time.Millisecond)
	}
	if got := c.Seconds(); got < 0.9e-6 || got > 1.1e-6 {
		t.Errorf("cost of an evaluation is %v s, want 1e-6 s within 10 %%", got)
	}
	if c.CountEvaluations(7); c.StepEvaluations() != 7 {
		t.Errorf("%d evaluations in the step, want 7", c.StepEvaluations())
	}
}

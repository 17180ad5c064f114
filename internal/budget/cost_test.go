package budget

import (
	"testing"
	"time"
)

func TestCost(t *testing.T) {
	var c Cost
	step := func(evaluations int, took time.Duration) {
		c.Spend(evaluations)
		c.Observe(took)
	}
	step(100, time.Second) // too few to tell
	step(10_000, 0)        // not measured
	if c.Seconds() != InitialSeconds {
		t.Errorf("an evaluation costs %v", c.Seconds())
	}
	// A pause of the process does not make evaluations dearer by more than a bound.
	step(10_000, time.Minute)
	if got, most := c.Seconds(), InitialSeconds+(maxRise-1)*InitialSeconds/weight; got <= InitialSeconds || got > 1.001*most {
		t.Errorf("after a pause an evaluation costs %v", got)
	}
	for range 100 {
		step(10_000, 10*time.Millisecond)
	}
	if got := c.Seconds(); got < 0.9e-6 || got > 1.1e-6 {
		t.Errorf("an evaluation of a microsecond costs %v", got)
	}
	if c.Spend(7); c.Taken() != 7 {
		t.Errorf("%d evaluations in this step", c.Taken())
	}
}

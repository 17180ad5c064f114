package resource

import (
	"testing"

	"bitternwing/internal/wire"
)

// TestAmounts checks amounts with decimal fractions, which floating-point numbers do not represent exactly.
func TestAmounts(t *testing.T) {
	free := OfMachine(&wire.MachineType{GPUs: 8, CPUs: 1, MemoryGB: 64})
	task := OfTask(&wire.Job{GPUs: 1, CPUs: 0.1, MemoryGB: 4})
	for range 10 {
		if !free.Covers(task) {
			break
		}
		free.Subtract(task)
	}
	if free.GPUs != 0 || free.Covers(task) || !free.Covers(Amount{CPUs: 0.2}) {
		t.Errorf("after 8 tasks %+v is left", free)
	}
	free.Add(task)
	if !free.Covers(task) {
		t.Errorf("%+v does not cover the task that was added back", free)
	}
	// Ten times 0.1 is not exactly 1 in floating point.
	tenths := Amount{CPUs: 1}
	for range 9 {
		tenths.Subtract(Amount{CPUs: 0.1})
	}
	if !tenths.Covers(Amount{CPUs: 0.1}) {
		t.Errorf("%+v does not cover the last 0.1 CPUs", tenths)
	}
	if got := (Amount{4, 4, 4}).CappedBy(Amount{-1, 2, 9}); got != (Amount{0, 2, 4}) {
		t.Errorf("capped amount is %+v", got)
	}
}

package rolling

import (
	"strings"
	"testing"

	"bitternwing/internal/adminapi"
	"bitternwing/internal/rollout"
)

func testModel(mode Mode) Model {
	return Model{Name: "reader", Mode: mode, Jobs: 4, Replicas: 2, GPUs: 1, ReplicaCapacity: 10, Promised: 70, BakeS: 5, Expect: rollout.Completed}
}

// TestPlan checks that the plans are valid, and have a step for each job in mode Steps and a single one in mode AtOnce.
func TestPlan(t *testing.T) {
	for mode, steps := range map[Mode]int{Steps: 4, AtOnce: 1} {
		m := testModel(mode)
		text, err := m.plan(3, "team")
		if err != nil {
			t.Fatal(err)
		}
		plan, err := rollout.ParsePlan(text, adminapi.MaxPlanBytes)
		if err != nil || len(plan.Steps) != steps || adminapi.CompileChecks(plan) != nil {
			t.Errorf("mode %s: plan = %+v, %v, want a valid one with a step for each job or a single one", mode, plan, err)
		}
	}
}

// TestBrokenPromise checks that each way to fail a promise is reported, and that baselines promise nothing.
func TestBrokenPromise(t *testing.T) {
	for want, r := range map[string]Result{
		"":                   {Model: testModel(Steps), Phase: "completed"},
		"0.57":               {Model: testModel(Steps), Phase: "completed", SamplesBelowPromise: 5, MinServed: 0.57},
		"1 responses lost":   {Model: testModel(Steps), Phase: "completed", Lost: 1},
		"2 mismatched":       {Model: testModel(Steps), Phase: "completed", Doubled: 2},
		"rolled_back":        {Model: testModel(Steps), Phase: "rolled_back"},
		"expected completed": {Model: testModel(Steps)},
	} {
		if got := r.BrokenPromise(); (want == "") != (got == "") || !strings.Contains(got, want) {
			t.Errorf("BrokenPromise() = %[2]q, want a text that contains %[1]q", want, got)
		}
	}
	baseline := Result{Model: testModel(Replace), SamplesBelowPromise: 5}
	if got := baseline.BrokenPromise(); got != "" {
		t.Errorf("BrokenPromise() = %q for a baseline, want none", got)
	}
}

package rolling

import (
	"strings"
	"testing"

	"bitternwing/internal/adminapi"
	"bitternwing/internal/rollout"
)

func model(mode Mode) Model {
	return Model{Name: "reader", Mode: mode, Jobs: 4, Replicas: 2, GPUs: 1, ReplicaCapacity: 10, Promised: 70, BakeS: 5, Expect: rollout.Completed}
}

// TestPlans makes plans that are taken, with a step for each job or one for all.
func TestPlans(t *testing.T) {
	for mode, steps := range map[Mode]int{Steps: 4, AtOnce: 1} {
		m := model(mode)
		text, err := m.plan(3, "team")
		if err != nil {
			t.Fatal(err)
		}
		plan, err := rollout.ParsePlan(text, adminapi.MaxPlanBytes)
		if err != nil || len(plan.Steps) != steps || adminapi.CompileChecks(plan) != nil {
			t.Errorf("%s: %+v, %v", mode, plan, err)
		}
	}
}

// TestBrokenPromise tells what a rollout did not keep.
func TestBrokenPromise(t *testing.T) {
	for want, r := range map[string]Result{
		"":              {Model: model(Steps), Phase: "completed"},
		"0.57":          {Model: model(Steps), Phase: "completed", SamplesBelowPromise: 5, MinServed: 0.57},
		"1 answers":     {Model: model(Steps), Phase: "completed", Lost: 1},
		"2 doubled":     {Model: model(Steps), Phase: "completed", Doubled: 2},
		"rolled_back":   {Model: model(Steps), Phase: "rolled_back"},
		"not completed": {Model: model(Steps)},
	} {
		if got := r.BrokenPromise(); (want == "") != (got == "") || !strings.Contains(got, want) {
			t.Errorf("%q: %q", want, got)
		}
	}
	baseline := Result{Model: model(Replace), SamplesBelowPromise: 5}
	if got := baseline.BrokenPromise(); got != "" {
		t.Errorf("a baseline promises nothing: %q", got)
	}
}

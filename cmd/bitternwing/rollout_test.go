package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"bitternwing/internal/adminapi"
	"bitternwing/internal/adminapi/operatorpb"
)

// Each kind of error has its own exit status.
func TestExitStatus(t *testing.T) {
	for _, c := range []struct {
		err  error
		want int
	}{
		{&adminapi.InvalidError{Problem: "/team: is missing"}, exitInvalidPlan},
		{&adminapi.RefusedError{Reason: "no"}, exitRefused},
		{adminapi.ErrNotFound, exitNotFound},
		{fmt.Errorf("show: %w", &adminapi.UnavailableError{Reason: "no controller leads"}), exitUnavailable},
		{errRolledBack, exitRolledBack},
		{errors.New("no such file"), exitFailure},
	} {
		if got := exitStatus(c.err); got != c.want {
			t.Errorf("%v: %d, not %d", c.err, got, c.want)
		}
	}
}

// The error for an invalid plan names the field, and comes without a call: nothing listens at the controller's address.
func TestApplyInvalidFile(t *testing.T) {
	plan := `{"name":"reader","team":"red","old":{"jobs":["run-000001"],"replica_capacity":1},"new":{"jobs":["run-000011"],"replica_capacity":1},
	"promised_capacity":1,"steps":[{"jobs":["run-000011"],"share":1,"bake_s":0}],
	"checks":[{"name":"a","request":{},"expected":1,"script":"def check(request)"}],"limits":{"wait_s":1,"unreachable_s":1,"router_gone_s":1,"keep_s":1}}`
	for field, text := range map[string]string{"/checks/0/script": plan, "not JSON": "{", "/steps/0/share": strings.Replace(plan, `"share":1`, `"share":0.5`, 1)} {
		file := filepath.Join(t.TempDir(), "plan.json")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		err := (&rolloutApplyCmd{controllerFlags: controllerFlags{Controller: "127.0.0.1:1"}, File: file}).Run()
		if err == nil || !strings.Contains(err.Error(), field) || strings.Contains(err.Error(), "\n") || exitStatus(err) != exitInvalidPlan {
			t.Errorf("%s: %v", field, err)
		}
	}
}

// The status of a plan is printed as a summary line with a line for each replica, or as JSON.
func TestPrintPlan(t *testing.T) {
	status := &operatorpb.PlanStatus{Name: "reader", Phase: "baking", Step: 1, Steps: 2, Settled: true, OldCapacity: 40, NewCapacity: 20, PromisedCapacity: 30,
		NewShare: 0.5, Replicas: []*operatorpb.Replica{{Task: "run-000011/0", Attempt: 2, Version: "new", Verdict: "right", Share: 0.25}}}
	var text, data strings.Builder
	if err := errors.Join((&controllerFlags{}).printPlan(&text, status), (&controllerFlags{responseFlags: responseFlags{JSON: true}}).printPlan(&data, status)); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"reader: baking, step 1 of 2", "50.0% of traffic", "new run-000011/0 attempt 2: right, 25.0% of traffic"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%q is not in %q", want, text.String())
		}
	}
	if !strings.Contains(data.String(), `"newShare":0.5`) {
		t.Errorf("%s", data.String())
	}
}

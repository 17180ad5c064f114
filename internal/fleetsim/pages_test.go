package fleetsim

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"bitternwing/internal/fleetsim/measure"
	"bitternwing/internal/fleetsim/rolling"
	"bitternwing/internal/fleetsim/rules"
	"bitternwing/internal/simworker"
)

// TestPages renders the page of a result and that of a sweep. It checks that the templates name existing fields and
// show their values.
func TestPages(t *testing.T) {
	dir := t.TempDir()
	traffic := map[simworker.MessageKind]measure.Count{simworker.KindHeartbeat: {Messages: 31}}
	page := filepath.Join(dir, "result.html")
	rollout := rolling.Result{
		Model:               rolling.Model{Name: "reader"},
		MinServed:           0.91,
		SamplesBelowPromise: 13,
		ExtraReplicaS:       229,
		MaxWithoutStatusS:   7.5,
		Events:              []rolling.Event{{What: "plan applied"}},
	}
	result := &Result{
		Scenario:      smokeScenario(t),
		Requested:     417,
		Failovers:     []Failover{{AtS: 3, NextStartS: 1, Controller: "controller-07"}},
		Violations:    []rules.Violation{{Rule: rules.QuotaExceeded, Message: "over its limit"}},
		BrokenRollout: "a rollout of the reader",
		Rollouts:      []rolling.Result{rollout},
		Processes:     []ProcessResult{{Name: "controller-03", Traffic: traffic}},
		Direct:        traffic,
	}
	if err := result.WritePage(page); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"417", "controller-07", "over its limit", "a rollout of the reader", "0.91", "13", "229", "7.5", "plan applied", "controller-03", "31"} {
		requireFileContains(t, page, want)
	}
	runs := []SweepRun{{Variant: "even", Seed: 3, Spread: SpreadResult{LostShare: 0.321, MinServingShare: 0.72}}, {Variant: "packed", Seed: 5}}
	if err := WriteSweep(dir, runs); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"even", "packed", "0.321", "0.72"} {
		requireFileContains(t, filepath.Join(dir, "sweep.html"), want)
	}
}

// requireFileContains fails the test if a file does not contain a text.
func requireFileContains(t *testing.T, path, want string) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), want) {
		t.Errorf("%s does not contain %q", filepath.Base(path), want)
	}
}

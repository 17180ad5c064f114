package fleetsim

import (
	"context"
	"testing"
)

// minCopies is the minimum number of copies of each outcome, so that the simulation tests what it is meant to.
const minCopies = 200

// TestRunWithCommandCopies simulates a small fleet with real controllers, in which copies of direct commands arrive over
// the network at each moment that matters, while tasks are done, fail, are refused, cancelled, preempted and moved,
// commands are held up, leaders end, and workers restart, lose their leases or leave the cloud's list and report again.
// No copy may start a task.
func TestRunWithCommandCopies(t *testing.T) {
	scenario, err := LoadScenario("../../deploy/scale/copies.json")
	if err != nil {
		t.Fatal(err)
	}
	result, err := Run(context.Background(), scenario, Options{ControllerBinary: buildController(t), Dir: t.TempDir(), MaxProcesses: 4})
	if err != nil || result.Ended != endedInTime {
		t.Fatalf("Run: error %v, result %+v, want one that ended in time", err, result)
	}
	t.Logf("copies: %+v", result.Copies)
	if copies := result.Copies; copies.Started != 0 || copies.Refused < minCopies || copies.NoEffect < minCopies {
		t.Errorf("copies: %+v, want none that started a task, and at least %d each that were refused and without effect", copies, minCopies)
	}
}

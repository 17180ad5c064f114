package core_test

import (
	"strings"
	"testing"
	"time"

	"bitternwing/internal/emulator"
	"bitternwing/internal/wire"
)

// repeatsInBurst is the number of requests about one job that arrive while an operation is in flight.
const repeatsInBurst = 100

// TestRepeatedRequestsShareStoreCalls checks that a burst of repeated requests about a job costs one call to the
// key-value store for each time that a call is in flight, whatever the number of requests.
func TestRepeatedRequestsShareStoreCalls(t *testing.T) {
	harness := &traceHarness{tb: t, now: time.Second, store: emulator.NewStore(), nodes: map[string]*traceNode{},
		workerHeartbeats: map[string]*wire.Heartbeat{}, machines: map[string]*wire.Machine{}}
	execute := func(lines ...string) {
		for _, line := range lines {
			harness.executeLine(strings.Fields(line))
		}
	}
	burst := func(request string) {
		for range repeatsInBurst {
			execute(request)
		}
	}
	execute("node b", "node a", "node c", "+5s")
	node := harness.nodes["a"]
	checkCalls := func(step string, want int, lines ...string) {
		before := node.userStoreCalls
		execute(lines...)
		if got := node.userStoreCalls - before; got != want {
			t.Errorf("%s: got %d calls to the key-value store, want %d", step, got, want)
		}
	}

	checkCalls("submission", 1, "store_fault a hold_responses", "submit a run-000001")
	burst("submit a run-000001")
	checkCalls("repeats of the submission", 1, "store_fault a release_responses")

	execute("+1s")
	checkCalls("question", 1, "store_fault a hold_responses", "poll a run-000001", "+100ms")
	burst("poll a run-000001")
	burst("submit a run-000001")
	checkCalls("repeats of the question", 1, "store_fault a release_responses", "+300ms")

	checkCalls("question about an unknown job", 1, "store_fault a hold_responses", "poll a run-000002", "+100ms")
	burst("poll a run-000002")
	execute("submit b run-000002")
	// A comparison shows that the job is known by now, and a read shows its state.
	checkCalls("repeats of the question about an unknown job", 2, "store_fault a release_responses", "+300ms")
	if responses := strings.Count(harness.output.String(), "| a: 20"); responses != 2+4*repeatsInBurst {
		t.Errorf("got %d responses that confirm a job, want %d", responses, 2+4*repeatsInBurst)
	}
}

package node

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/core"
	"bitternwing/internal/metrics"
	"bitternwing/internal/outcome"
)

// TestProcessPause: a process that was paused while its clocks ran on serves nobody who has gone,
// and sends nothing that was decided on what was known before.
func TestProcessPause(t *testing.T) {
	settings := &config.Settings{Node: "a", Zone: "z1", Operator: config.DefaultOperatorSettings(), Params: config.Params{Nodes: 1,
		Workers: config.Workers{HeartbeatIntervalS: 1, LeaseS: 10, CancelDeadlineS: 30}, Store: config.Store{RPS: 100, WriteRPS: 100, ValueKB: 16, TxnOps: 12},
		Cloud: config.Cloud{RPS: 1, ListLagS: 1}, Limits: config.ProcessLimits{CPUShare: 1, MemoryMB: 98, MaxConnections: 100}}}
	settings.Services.Store, settings.Services.Cloud = "127.0.0.1:1", "127.0.0.1:1"
	n, err := New(settings, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	// A call whose time was over before it went out.
	n.startCall(ctx, call{operation{metrics.Store, "get"}, 7, -time.Second}, func(context.Context, *core.Result) { t.Error("it was sent after its time") })
	if r := <-n.results; r.CallID != 7 || r.Outcome != outcome.Dropped {
		t.Errorf("the result is %v", r)
	}

	// Two requests that are answered at once; the first one's user has gone.
	late, now := make(chan core.Response, 1), make(chan core.Response, 1)
	n.pendingResponses[1], n.pendingResponses[2] = late, now
	n.inputs <- queuedInput{core.GetJob{RequestID: 1, ID: "x"}, time.Now(), time.Now().Add(-time.Second)}
	n.inputs <- queuedInput{core.GetJob{RequestID: 2, ID: "x"}, time.Now(), time.Now().Add(time.Hour)}
	go n.runCore(ctx)
	if a := <-now; a.Status != 404 {
		t.Errorf("the second one gets %d", a.Status)
	}
	select {
	case <-late:
		t.Error("a request was served after its time")
	default:
	}

	// A response that comes together with its deadline.
	gone, end := context.WithDeadline(ctx, time.Now().Add(-time.Second))
	defer end()
	if _, ok := n.Handle(gone, func(req uint64) core.Input { return core.GetJob{RequestID: req, ID: "x"} }); ok {
		t.Error("a response was returned after its deadline")
	}
}

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

// TestProcessPause guards against work that a pause of the process has made obsolete. While the process is paused,
// deadlines pass: calls that were decided before the pause must not be sent, and requests whose clients are gone must
// not be handled.
func TestProcessPause(t *testing.T) {
	settings := &config.Settings{Node: "a", Zone: "z1", Operator: config.DefaultOperatorSettings(), Params: config.Params{Nodes: 1,
		Workers: config.Workers{HeartbeatIntervalS: 1, LeaseS: 10, CancelDeadlineS: 30}, Store: config.Store{RPS: 100, WriteRPS: 100, ValueKB: 16, TxnOps: 12},
		Cloud: config.Cloud{RPS: 1, ListLagS: 1}, Limits: config.ProcessLimits{CPUShare: 1, MemoryMB: 98, MaxConnections: 100}}}
	settings.Services.Store, settings.Services.Cloud = "127.0.0.1:1", "127.0.0.1:1"
	node, err := New(settings, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	// A call whose deadline passes before it is sent.
	node.startCall(ctx, call{operation{metrics.Store, "get"}, 7, -time.Second}, func(context.Context, *core.Result) { t.Error("the call was sent after its deadline") })
	if result := <-node.results; result.CallID != 7 || result.Outcome != outcome.Dropped {
		t.Errorf("result of an expired call: %v, want call 7 dropped", result)
	}

	// Two queued requests, the first of which has expired.
	expired, pending := make(chan core.Response, 1), make(chan core.Response, 1)
	node.pendingResponses[1], node.pendingResponses[2] = expired, pending
	node.inputs <- queuedInput{core.GetJob{RequestID: 1, ID: "x"}, time.Now(), time.Now().Add(-time.Second)}
	node.inputs <- queuedInput{core.GetJob{RequestID: 2, ID: "x"}, time.Now(), time.Now().Add(time.Hour)}
	go node.runCore(ctx)
	if response := <-pending; response.Status != 404 {
		t.Errorf("status of the second request: %d, want 404", response.Status)
	}
	select {
	case <-expired:
		t.Error("an expired request was handled")
	default:
	}

	// A request whose response may be ready when its deadline has already passed.
	expiredCtx, cancelExpired := context.WithDeadline(ctx, time.Now().Add(-time.Second))
	defer cancelExpired()
	if _, ok := node.Handle(expiredCtx, func(requestID uint64) core.Input { return core.GetJob{RequestID: requestID, ID: "x"} }); ok {
		t.Error("a response was returned after its deadline")
	}
}

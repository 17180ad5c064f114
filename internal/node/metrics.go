package node

import (
	"context"
	"net"
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/metrics"
	"bitternwing/internal/server"
)

// scrapeTimeout is how long a scrape may take. Scrapers wait ten seconds by default.
const scrapeTimeout = 5 * time.Second

// Scrapers may have one connection for so many sockets that the process may hold, and a few at least.
const (
	socketsPerScraper     = 100
	minScraperConnections = 2
)

// newRecorder makes the recorder of a node's metrics; nil if the operators' settings name no address for them.
func (n *Node) newRecorder() *metrics.Recorder {
	if n.settings.Operator.Metrics.Listen == "" {
		return nil
	}
	return metrics.New(func() core.Status {
		n.coreMu.Lock()
		defer n.coreMu.Unlock()
		return n.core.Status(n.steadyTime())
	})
}

// serveMetrics serves the metrics until the context ends. If the address is not available, that is logged, and the
// node runs without: a fleet must not stop for its metrics.
func (n *Node) serveMetrics(ctx context.Context) {
	if n.metrics == nil {
		return
	}
	setting := n.settings.Operator.Metrics
	failed := func(err error) {
		n.log.Error("metrics not served", "setting", "metrics.listen", "address", setting.Listen, "error", err.Error())
	}
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp4", setting.Listen)
	if err != nil {
		failed(err)
		return
	}
	metricsServer := metrics.NewServer(n.metrics, metrics.Options{
		MaxConnections: max(minScraperConnections, n.settings.Params.Limits.MaxConnections/socketsPerScraper),
		RequestTimeout: scrapeTimeout,
		Profiles:       setting.Pprof,
	}, n.log)
	context.AfterFunc(ctx, func() { _ = metricsServer.Close() })
	n.log.Info("serving metrics", "address", setting.Listen, "profiles", setting.Pprof)
	go func() {
		if err := metricsServer.Serve(listener); err != nil && ctx.Err() == nil {
			failed(err)
		}
	}()
}

// observer gives what counts responses; nil if nothing does.
func (n *Node) observer() server.Observer {
	if n.metrics == nil {
		return nil
	}
	return n.metrics.Request
}

// inputKind names an input of the core in the metrics.
func inputKind(input core.Input) string {
	switch input.(type) {
	case core.Tick:
		return "tick"
	case core.SubmitJob:
		return "submit"
	case core.GetJob:
		return "poll"
	case core.CancelJob:
		return "cancel"
	case core.WorkerHeartbeat:
		return "report"
	case core.ReplicateCancellations:
		return "cancellations"
	case core.Result:
		return "result"
	}
	return "operator"
}

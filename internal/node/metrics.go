package node

import (
	"context"
	"net"
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/metrics"
	"bitternwing/internal/server"
)

// scrapeTimeout is how long a scrape may take. Prometheus waits ten seconds by default.
const scrapeTimeout = 5 * time.Second

const (
	// scraperConnectionDivisor divides the node's connection limit into the limit of scrapers.
	scraperConnectionDivisor = 100
	// minScraperConnections is the lower bound of that limit.
	minScraperConnections = 2
)

// newRecorder returns the recorder of the node's metrics. It returns nil if the operator's settings name no address to
// serve them on.
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

// serveMetrics serves the metrics in the background until the context ends. If it can't listen on the address, it logs
// the error and returns: the node must run even without its metrics.
func (n *Node) serveMetrics(ctx context.Context) {
	if n.metrics == nil {
		return
	}
	metricsSettings := n.settings.Operator.Metrics
	logFailure := func(err error) {
		n.log.Error("metrics not served", "setting", "metrics.listen", "address", metricsSettings.Listen, "error", err.Error())
	}
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp4", metricsSettings.Listen)
	if err != nil {
		logFailure(err)
		return
	}
	metricsServer := metrics.NewServer(n.metrics, metrics.Options{
		MaxConnections: max(minScraperConnections, n.settings.Params.Limits.MaxConnections/scraperConnectionDivisor),
		RequestTimeout: scrapeTimeout,
		Profiles:       metricsSettings.Pprof,
	}, n.log)
	context.AfterFunc(ctx, func() { _ = metricsServer.Close() })
	n.log.Info("serving metrics", "address", metricsSettings.Listen, "profiles", metricsSettings.Pprof)
	go func() {
		if err := metricsServer.Serve(listener); err != nil && ctx.Err() == nil {
			logFailure(err)
		}
	}()
}

// observer returns the function that counts responses in the metrics, or nil if metrics are off.
func (n *Node) observer() server.Observer {
	if n.metrics == nil {
		return nil
	}
	return n.metrics.Request
}

// inputKind returns the label of an input's kind in the metrics.
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

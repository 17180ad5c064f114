// Package node runs the core as a controller process, which is called a node. It passes inputs and the current time to
// the core, executes the effects that the core returns, and passes the results of calls back. The core makes all
// decisions.
package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"bitternwing/internal/adminapi"
	"bitternwing/internal/config"
	"bitternwing/internal/core"
	"bitternwing/internal/membership"
	"bitternwing/internal/metrics"
	"bitternwing/internal/peer"
	"bitternwing/internal/server"
)

// Node is a running controller node.
type Node struct {
	settings  *config.Settings
	log       *slog.Logger
	startedAt time.Time

	coreMu sync.Mutex // guards core
	core   *core.Core

	inputs  chan queuedInput // requests that wait for the core
	results chan core.Result // results of calls, which take precedence over requests
	healthy atomic.Bool      // as of the last step of the core

	requestsMu       sync.Mutex // guards lastRequestID and pendingResponses
	lastRequestID    uint64
	pendingResponses map[uint64]chan core.Response // by request ID

	clients *clients
	metrics *metrics.Recorder // nil if metrics are off
	steps   *stepMonitor
}

// New creates a node. Run starts it.
func New(settings *config.Settings, log *slog.Logger) (*Node, error) {
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, fmt.Errorf("incarnation: %w", err)
	}
	clients, err := newClients(settings)
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings:         settings,
		log:              log,
		startedAt:        time.Now(),
		core:             core.New(settings, incarnation),
		inputs:           make(chan queuedInput, max(4*settings.Operator.MaxPendingRequests, maxPublicConnections(settings))),
		results:          make(chan core.Result, maxQueuedResults),
		pendingResponses: map[uint64]chan core.Response{},
		clients:          clients,
	}
	if !log.Enabled(context.Background(), slog.LevelDebug) {
		n.core.OmitDebugLines()
	}
	n.metrics = n.newRecorder()
	n.steps = newStepMonitor(log, config.FailureCheckInterval(settings.Params.Workers)/slowStepDivisor)
	n.core.ObservePhases(n.steps.beginPhase)
	return n, nil
}

// incarnationBytes is the size of the random ID that distinguishes the successive processes of a node.
const incarnationBytes = 8

// newIncarnation returns a random incarnation ID in hexadecimal.
func newIncarnation() (string, error) {
	var random [incarnationBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", err
	}
	return hex.EncodeToString(random[:]), nil
}

// maxPublicConnections returns how many connections users and workers may have open. Each connection has at most one
// request in progress, and the queue of inputs has room for all of them: after a failover, all workers send heartbeats
// at once.
func maxPublicConnections(settings *config.Settings) int {
	return settings.Params.Limits.MaxConnections * 3 / 4
}

// Run serves until the context ends or a listener fails.
func (n *Node) Run(ctx context.Context) error {
	var listenConfig net.ListenConfig
	public, err := listenConfig.Listen(ctx, "tcp4", n.settings.Listen)
	if err != nil {
		return fmt.Errorf("public address: %w", err)
	}
	internal, err := listenConfig.Listen(ctx, "tcp4", n.settings.PeerListen)
	if err != nil {
		_ = public.Close()
		return fmt.Errorf("internal address: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peerServer := peer.NewServer(n.settings.Node, n.receiveCancellations, n.peerStatus)
	adminapi.Register(peerServer.Registrar(), n, n.connectionTo)
	httpServer := server.New(n, maxPublicConnections(n.settings), n.observer())
	n.serveMetrics(ctx)
	serveErrors := make(chan error, 2)
	go func() { serveErrors <- peerServer.Serve(internal) }()
	go func() { serveErrors <- httpServer.Serve(public) }()
	n.log.Info("node serving", "node", n.settings.Node, "zone", n.settings.Zone, "address", n.settings.Listen, "peers", len(n.settings.Peers))
	go n.runCore(ctx)
	select {
	case <-ctx.Done():
		err = nil
	case err = <-serveErrors:
	}
	// The process is about to exit, which closes any connection that Close fails to close.
	_ = httpServer.Close()
	peerServer.Stop()
	n.clients.close()
	return err
}

// Healthy reports whether this node can take requests.
func (n *Node) Healthy() bool { return n.healthy.Load() }

// connectionTo returns the connection to another node's internal address. It returns nil if there is no such node.
func (n *Node) connectionTo(node string) grpc.ClientConnInterface {
	if client := n.clients.peers[node]; client != nil {
		return client.Conn()
	}
	return nil
}

// receiveCancellations passes the core the cancellations that another node replicates. It reports whether the core
// processed them in time.
func (n *Node) receiveCancellations(ctx context.Context, cancellations []core.Cancellation) bool {
	_, ok := n.Handle(ctx, func(requestID uint64) core.Input {
		return core.ReplicateCancellations{RequestID: requestID, Cancellations: cancellations}
	})
	return ok
}

// peerStatus returns the status that this node reports to other nodes.
func (n *Node) peerStatus() membership.Status {
	n.coreMu.Lock()
	defer n.coreMu.Unlock()
	return n.core.PeerStatus()
}

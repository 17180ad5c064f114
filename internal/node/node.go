// Package node runs a core: it hands it inputs with the time, carries out what it
// returns, and feeds the results back. All decisions are the core's.
package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"bitternwing/internal/adminapi"
	"bitternwing/internal/cloud"
	"bitternwing/internal/config"
	"bitternwing/internal/core"
	"bitternwing/internal/httpclient"
	"bitternwing/internal/kvstore"
	"bitternwing/internal/membership"
	"bitternwing/internal/metrics"
	"bitternwing/internal/outcome"
	"bitternwing/internal/peer"
	"bitternwing/internal/probe"
	"bitternwing/internal/server"
)

// Node is a running controller node.
type Node struct {
	settings  *config.Settings
	log       *slog.Logger
	startedAt time.Time

	coreMu sync.Mutex // guards core
	core   *core.Core

	inputs  chan queuedInput // requests
	results chan core.Result // of calls; they are handed in before requests
	healthy atomic.Bool

	requestsMu       sync.Mutex
	lastRequestID    uint64
	pendingResponses map[uint64]chan core.Response

	store       *kvstore.Client
	cloud       *cloud.Client
	workers     *httpclient.Client
	peers       map[string]*peer.Client
	regions     map[string][]*peer.Client // the controllers of other regions
	prober      *probe.Prober
	callTimeout time.Duration // how long a call may take
	metrics     *metrics.Recorder
}

// queuedInput is an input that waits for the core. A request is of no use to anybody after its
// time: it is not handed in then, so that after a standstill what is asked now comes first.
type queuedInput struct {
	input      core.Input
	receivedAt time.Time // when it came
	deadline   time.Time // zero: it always counts
}

// maxQueuedResults is how many results of calls may wait before those who bring them do.
const maxQueuedResults = 64

// New makes a node.
func New(set *config.Settings, log *slog.Logger) (*Node, error) {
	var inc [8]byte
	if _, err := rand.Read(inc[:]); err != nil {
		return nil, err
	}
	p := set.Params
	nodes := float64(len(set.Peers) + 1)
	n := &Node{
		settings: set, log: log, startedAt: time.Now(),
		core:             core.New(set, hex.EncodeToString(inc[:])),
		inputs:           make(chan queuedInput, max(4*set.Operator.MaxPendingRequests, publicSockets(set))),
		results:          make(chan core.Result, maxQueuedResults),
		pendingResponses: map[uint64]chan core.Response{},
		// The leader needs more than the others; all of them never need all.
		store: kvstore.New(set.Services.Store, p.Store.Next.Within(p.Store).RPS*math.Min(1, 2/nodes), max(4, p.Limits.MaxConnections/40),
			int64(p.Limits.MemoryMB*(1<<20)/32)),
		cloud: cloud.New(set.Services.Cloud, p.Cloud.RPS, 4),
		// One connection a worker; the core bounds how many are in use at once.
		// As many calls a second as it may hold sockets, which follows the number of workers.
		workers: httpclient.Any(float64(p.Limits.MaxConnections), 1, max(4, p.Limits.MaxConnections/12), 1<<20),
		peers:   map[string]*peer.Client{},
		regions: map[string][]*peer.Client{},
		prober:  probe.New(max(4, p.Limits.MaxConnections/40)),
		// Workers wait four seconds at the most, users two for a poll, and a leader's lease
		// is twice as long.
		callTimeout: config.FailureCheckInterval(p.Workers),
	}
	if !log.Enabled(context.Background(), slog.LevelDebug) {
		n.core.OmitDebugLines()
	}
	n.metrics = n.newRecorder()
	for _, s := range set.Peers {
		c, err := peer.NewClient(set.Node, s.Addr, n.callTimeout)
		if err != nil {
			return nil, err
		}
		n.peers[s.Node] = c
	}
	if err := n.connectRegions(); err != nil {
		return nil, err
	}
	return n, nil
}

// connectRegions makes clients of the controllers of other regions. They connect when they are needed.
func (n *Node) connectRegions() error {
	for _, region := range n.settings.Operator.Regions.All {
		for _, addr := range region.Controllers {
			if region.Name == n.settings.Operator.Regions.Name {
				continue
			}
			c, err := peer.NewClient(n.settings.Node, addr, n.callTimeout)
			if err != nil {
				return err
			}
			n.regions[region.Name] = append(n.regions[region.Name], c)
		}
	}
	return nil
}

// publicSockets is how many sockets users and workers may have open. Each holds one request at most, and
// finds room for it among the inputs: after a leader's end all workers report at once.
func publicSockets(set *config.Settings) int { return set.Params.Limits.MaxConnections * 3 / 4 }

// Run serves until the context ends.
func (n *Node) Run(ctx context.Context) error {
	var lc net.ListenConfig
	public, err := lc.Listen(ctx, "tcp4", n.settings.Listen)
	if err != nil {
		return err
	}
	inner, err := lc.Listen(ctx, "tcp4", n.settings.PeerListen)
	if err != nil {
		_ = public.Close()
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ps := peer.NewServer(n.settings.Node, n.receiveCancellations, n.peerStatus)
	adminapi.Register(ps.Registrar(), n, n.connectionTo)
	hs := server.New(n, publicSockets(n.settings), n.observer())
	n.serveMetrics(ctx)
	errs := make(chan error, 2)
	go func() { errs <- ps.Serve(inner) }()
	go func() { errs <- hs.Serve(public) }()
	n.log.Info("serving", "node", n.settings.Node, "zone", n.settings.Zone, "listen", n.settings.Listen, "peers", len(n.settings.Peers))
	go n.loop(ctx)
	select {
	case <-ctx.Done():
		err = nil
	case err = <-errs:
	}
	// The process ends: connections that can't be closed end with it.
	_ = hs.Close()
	ps.Stop()
	for _, c := range n.peers {
		_ = c.Close()
	}
	for _, clients := range n.regions {
		for _, c := range clients {
			_ = c.Close()
		}
	}
	return err
}

// connectionTo gives the connection to another node's internal address; nil if there is no such node.
func (n *Node) connectionTo(node string) grpc.ClientConnInterface {
	if p := n.peers[node]; p != nil {
		return p.Conn()
	}
	return nil
}

func (n *Node) now() core.Time {
	t := time.Now()
	return core.Time{Steady: t.Sub(n.startedAt) + time.Second, WallMS: t.UnixMilli()}
}

func (n *Node) steadyTime() time.Duration { return time.Since(n.startedAt) + time.Second }

// loop is the one place where the core is stepped.
func (n *Node) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var in core.Input = core.Tick{}
	var took, waited time.Duration
	for {
		n.coreMu.Lock()
		now := n.now()
		now.Took, now.Waited = took, waited
		effects := n.core.Step(now, in)
		took = n.steadyTime() - now.Steady
		n.metrics.Input(inputKind(in), took)
		for _, e := range effects {
			n.execute(ctx, e)
		}
		wake := n.core.Wake()
		n.healthy.Store(n.core.Healthy())
		n.coreMu.Unlock()

		waited = 0
		timer.Reset(max(time.Millisecond, wake-n.steadyTime()))
		select {
		case in = <-n.results:
			continue
		default:
		}
		select {
		case <-ctx.Done():
			return
		case in = <-n.results:
		case a := <-n.inputs:
			waited = time.Since(a.receivedAt)
			if in = a.input; !a.deadline.IsZero() && !time.Now().Before(a.deadline) {
				in = core.Tick{}
			}
		case <-timer.C:
			in = core.Tick{}
		}
	}
}

// Healthy tells whether this node can take requests.
func (n *Node) Healthy() bool { return n.healthy.Load() }

// receiveCancellations hands the core the cancellations that another node sends; false if it did not take it in.
func (n *Node) receiveCancellations(ctx context.Context, items []core.Cancellation) bool {
	_, ok := n.Handle(ctx, func(req uint64) core.Input { return core.ReplicateCancellations{RequestID: req, Cancellations: items} })
	return ok
}

func (n *Node) peerStatus() membership.Status {
	n.coreMu.Lock()
	defer n.coreMu.Unlock()
	return n.core.PeerStatus()
}

// Handle hands the core a request and waits for its answer. ok is false if there is
// none in time or too much waits already.
func (n *Node) Handle(ctx context.Context, input func(req uint64) core.Input) (core.Response, bool) {
	ch := make(chan core.Response, 1)
	n.requestsMu.Lock()
	n.lastRequestID++
	req := n.lastRequestID
	n.pendingResponses[req] = ch
	n.requestsMu.Unlock()
	defer func() {
		n.requestsMu.Lock()
		delete(n.pendingResponses, req)
		n.requestsMu.Unlock()
	}()
	until, _ := ctx.Deadline()
	select {
	case n.inputs <- queuedInput{input(req), time.Now(), until}:
	default:
		return core.Response{}, false
	}
	select {
	case a := <-ch:
		// After a standstill both may be there, and the timer may come last. What was true then
		// may be told no more.
		if ctx.Err() != nil || !until.IsZero() && !time.Now().Before(until) {
			return core.Response{}, false
		}
		return a, true
	case <-ctx.Done():
		return core.Response{}, false
	}
}

// startCall makes a call in the background and feeds its result back.
//
// Its time counts from the decision: what a standstill has held up until after that is not sent
// any more, since it was decided on what was known before.
func (n *Node) startCall(ctx context.Context, name operation, id uint64, patience time.Duration, f func(context.Context, *core.Result)) {
	sent := n.steadyTime()
	until := time.Now().Add(patience)
	go func() {
		callCtx, cancel := context.WithDeadline(ctx, until)
		defer cancel()
		r := core.Result{CallID: id, SentAt: sent, Outcome: outcome.Dropped}
		if time.Now().Before(until) {
			r.Outcome = outcome.Unknown
			f(callCtx, &r)
		}
		n.metrics.Call(name.service, name.name, r.Outcome.String())
		select {
		case n.results <- r: // the loop may be behind; it still has to learn of this
		case <-ctx.Done():
		}
	}()
}

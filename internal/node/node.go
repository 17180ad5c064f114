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
	set   *config.Settings
	log   *slog.Logger
	start time.Time

	mu   sync.Mutex // guards core
	core *core.Core

	inputs  chan arrival     // requests
	results chan core.Result // of calls; they are handed in before requests
	healthy atomic.Bool

	reqMu   sync.Mutex
	nextReq uint64
	waiting map[uint64]chan core.Response

	state   *kvstore.Client
	cloud   *cloud.Client
	workers *httpclient.Client
	peers   map[string]*peer.Client
	regions map[string][]*peer.Client // the controllers of other regions
	probes  *probe.Prober
	patient time.Duration // how long a call may take
	metrics *metrics.Recorder
}

// arrival is an input that waits for the core. A request is of no use to anybody after its
// time: it is not handed in then, so that after a standstill what is asked now comes first.
type arrival struct {
	in    core.Input
	at    time.Time // when it came
	until time.Time // zero: it always counts
}

// pendingResults is how many results of calls may wait before those who bring them do.
const pendingResults = 64

// New makes a node.
func New(set *config.Settings, log *slog.Logger) (*Node, error) {
	var inc [8]byte
	if _, err := rand.Read(inc[:]); err != nil {
		return nil, err
	}
	p := set.Params
	nodes := float64(len(set.Peers) + 1)
	n := &Node{
		set: set, log: log, start: time.Now(),
		core:    core.New(set, hex.EncodeToString(inc[:])),
		inputs:  make(chan arrival, max(4*set.Operator.MaxPendingRequests, publicSockets(set))),
		results: make(chan core.Result, pendingResults),
		waiting: map[uint64]chan core.Response{},
		// The leader needs more than the others; all of them never need all.
		state: kvstore.New(set.Services.Store, p.Store.Next.Within(p.Store).RPS*math.Min(1, 2/nodes), max(4, p.Limits.MaxConnections/40),
			int64(p.Limits.MemoryMB*(1<<20)/32)),
		cloud: cloud.New(set.Services.Cloud, p.Cloud.RPS, 4),
		// One connection a worker; the core bounds how many are in use at once.
		// As many calls a second as it may hold sockets, which follows the number of workers.
		workers: httpclient.Any(float64(p.Limits.MaxConnections), 1, max(4, p.Limits.MaxConnections/12), 1<<20),
		peers:   map[string]*peer.Client{},
		regions: map[string][]*peer.Client{},
		probes:  probe.New(max(4, p.Limits.MaxConnections/40)),
		// Workers wait four seconds at the most, users two for a poll, and a leader's lease
		// is twice as long.
		patient: config.FailureCheckInterval(p.Workers),
	}
	if !log.Enabled(context.Background(), slog.LevelDebug) {
		n.core.OmitDebugLines()
	}
	n.metrics = n.newRecorder()
	for _, s := range set.Peers {
		c, err := peer.NewClient(set.Node, s.Addr, n.patient)
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
	for _, region := range n.set.Operator.Regions.All {
		for _, addr := range region.Controllers {
			if region.Name == n.set.Operator.Regions.Name {
				continue
			}
			c, err := peer.NewClient(n.set.Node, addr, n.patient)
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
	public, err := lc.Listen(ctx, "tcp4", n.set.Listen)
	if err != nil {
		return err
	}
	inner, err := lc.Listen(ctx, "tcp4", n.set.PeerListen)
	if err != nil {
		_ = public.Close()
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ps := peer.NewServer(n.set.Node, n.heard, n.peerStatus)
	adminapi.Register(ps.Registrar(), n, n.connectionTo)
	hs := server.New(n, publicSockets(n.set), n.observer())
	n.serveMetrics(ctx)
	errs := make(chan error, 2)
	go func() { errs <- ps.Serve(inner) }()
	go func() { errs <- hs.Serve(public) }()
	n.log.Info("serving", "node", n.set.Node, "zone", n.set.Zone, "listen", n.set.Listen, "peers", len(n.set.Peers))
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
	return core.Time{Steady: t.Sub(n.start) + time.Second, WallMS: t.UnixMilli()}
}

func (n *Node) steady() time.Duration { return time.Since(n.start) + time.Second }

// loop is the one place where the core is stepped.
func (n *Node) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var in core.Input = core.Tick{}
	var took, waited time.Duration
	for {
		n.mu.Lock()
		now := n.now()
		now.Took, now.Waited = took, waited
		effects := n.core.Step(now, in)
		took = n.steady() - now.Steady
		n.metrics.Input(inputKind(in), took)
		for _, e := range effects {
			n.carryOut(ctx, e)
		}
		wake := n.core.Wake()
		n.healthy.Store(n.core.Healthy())
		n.mu.Unlock()

		waited = 0
		timer.Reset(max(time.Millisecond, wake-n.steady()))
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
			waited = time.Since(a.at)
			if in = a.in; !a.until.IsZero() && !time.Now().Before(a.until) {
				in = core.Tick{}
			}
		case <-timer.C:
			in = core.Tick{}
		}
	}
}

// Healthy tells whether this node can take requests.
func (n *Node) Healthy() bool { return n.healthy.Load() }

// heard hands the core the cancellations that another node sends; false if it did not take it in.
func (n *Node) heard(ctx context.Context, items []core.Cancellation) bool {
	_, ok := n.Ask(ctx, func(req uint64) core.Input { return core.ReplicateCancellations{RequestID: req, Cancellations: items} })
	return ok
}

func (n *Node) peerStatus() membership.Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.PeerStatus()
}

// Ask hands the core a request and waits for its answer. ok is false if there is
// none in time or too much waits already.
func (n *Node) Ask(ctx context.Context, input func(req uint64) core.Input) (core.Response, bool) {
	ch := make(chan core.Response, 1)
	n.reqMu.Lock()
	n.nextReq++
	req := n.nextReq
	n.waiting[req] = ch
	n.reqMu.Unlock()
	defer func() {
		n.reqMu.Lock()
		delete(n.waiting, req)
		n.reqMu.Unlock()
	}()
	until, _ := ctx.Deadline()
	select {
	case n.inputs <- arrival{input(req), time.Now(), until}:
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

// do makes a call in the background and feeds its result back.
//
// Its time counts from the decision: what a standstill has held up until after that is not sent
// any more, since it was decided on what was known before.
func (n *Node) do(ctx context.Context, name callName, id uint64, patience time.Duration, f func(context.Context, *core.Result)) {
	sent := n.steady()
	until := time.Now().Add(patience)
	go func() {
		callCtx, cancel := context.WithDeadline(ctx, until)
		defer cancel()
		r := core.Result{CallID: id, SentAt: sent, Outcome: outcome.Dropped}
		if time.Now().Before(until) {
			r.Outcome = outcome.Unknown
			f(callCtx, &r)
		}
		n.metrics.Call(name.service, name.operation, r.Outcome.String())
		select {
		case n.results <- r: // the loop may be behind; it still has to learn of this
		case <-ctx.Done():
		}
	}()
}

package node

import (
	"context"
	"log/slog"
	"net/http"

	"bitternwing/internal/call"
	"bitternwing/internal/core"
	"bitternwing/internal/metrics"
	"bitternwing/internal/operators"
	"bitternwing/internal/wire"
)

// How long calls may take, in the node's patience: reading many keys or asking the cloud takes longer than one
// request to the state service.
const (
	listPatience  = 3
	cloudPatience = 4
	watchPatience = 2 // beyond the time that the watch waits
)

// pageItems is how many keys are read at a time.
const pageItems = 500

// carryOut does one effect.
func (n *Node) carryOut(ctx context.Context, e core.Effect) {
	switch e := e.(type) {
	case core.Answer:
		n.deliver(e)
	case core.Log:
		n.log.Log(ctx, levels[e.Level], e.Message, e.Pairs...)
	case core.CloudCatalog, core.CloudRent, core.CloudRelease, core.CloudList:
		n.askCloud(ctx, e)
	case core.WorkerOrders, core.WorkerInspect, core.PrefetchImage:
		n.askWorker(ctx, e)
	case core.ProbeReplica:
		n.do(ctx, callName{metrics.Replica, "probe"}, e.ID, e.Timeout, func(ctx context.Context, r *core.Result) {
			r.Probe, r.Outcome = n.probes.Ask(ctx, e.Probe, e.Checks), call.OK
		})
	case core.PeerAsk:
		n.askPeer(ctx, e)
	case core.RegionCall:
		n.callRegion(ctx, e)
	default:
		n.askState(ctx, e)
	}
}

// levels gives the log's name of a level.
var levels = map[core.Level]slog.Level{core.Debug: slog.LevelDebug, core.Info: slog.LevelInfo, core.Error: slog.LevelError}

// deliver gives an answer to the request that waits for it, if it still does.
func (n *Node) deliver(a core.Answer) {
	n.reqMu.Lock()
	ch := n.waiting[a.Req]
	n.reqMu.Unlock()
	if ch != nil {
		ch <- a
	}
}

// askState makes a call to the state service.
func (n *Node) askState(ctx context.Context, e core.Effect) {
	switch e := e.(type) {
	case core.StateGet:
		n.do(ctx, callName{metrics.StateService, "get"}, e.ID, n.patient, func(ctx context.Context, r *core.Result) { r.Item, r.Outcome = n.state.Get(ctx, e.Key) })
	case core.StateList:
		n.do(ctx, callName{metrics.StateService, "list"}, e.ID, listPatience*n.patient, func(ctx context.Context, r *core.Result) {
			r.Page, r.Outcome = n.state.List(ctx, e.Prefix, e.After, pageItems)
		})
	case core.StateTxn:
		n.do(ctx, callName{metrics.StateService, "txn"}, e.ID, n.patient, func(ctx context.Context, r *core.Result) { r.Txn, r.Outcome = n.state.Txn(ctx, e.Txn) })
	case core.StateGrant:
		n.do(ctx, callName{metrics.StateService, "grant"}, e.ID, n.patient, func(ctx context.Context, r *core.Result) { r.Lease, r.Outcome = n.state.Grant(ctx, e.TTL) })
	case core.StateExtend:
		n.do(ctx, callName{metrics.StateService, "extend"}, e.ID, n.patient, func(ctx context.Context, r *core.Result) { r.Outcome = n.state.Extend(ctx, e.Lease) })
	case core.StateRevoke:
		n.do(ctx, callName{metrics.StateService, "revoke"}, e.ID, n.patient, func(ctx context.Context, r *core.Result) { r.Outcome = n.state.Revoke(ctx, e.Lease) })
	case core.StateWatch:
		n.do(ctx, callName{metrics.StateService, "watch"}, e.ID, e.Wait+watchPatience*n.patient, func(ctx context.Context, r *core.Result) {
			r.Changes, r.Outcome = n.state.Watch(ctx, e.Prefix, e.After, e.Wait)
		})
	}
}

// askCloud makes a call to the cloud.
func (n *Node) askCloud(ctx context.Context, e core.Effect) {
	patience := cloudPatience * n.patient
	switch e := e.(type) {
	case core.CloudCatalog:
		n.do(ctx, callName{metrics.Cloud, "catalog"}, e.ID, patience, func(ctx context.Context, r *core.Result) { r.Catalog, r.Outcome = n.cloud.Catalog(ctx) })
	case core.CloudRent:
		n.do(ctx, callName{metrics.Cloud, "rent"}, e.ID, patience, func(ctx context.Context, r *core.Result) {
			names, o := n.cloud.Rent(ctx, e.Request)
			r.Names, r.Outcome = names.Machines, o
		})
	case core.CloudRelease:
		n.do(ctx, callName{metrics.Cloud, "release"}, e.ID, patience, func(ctx context.Context, r *core.Result) { r.Outcome = n.cloud.Release(ctx, e.Names) })
	case core.CloudList:
		n.do(ctx, callName{metrics.Cloud, "list"}, e.ID, patience, func(ctx context.Context, r *core.Result) { r.Machines, r.Outcome = n.cloud.List(ctx, e.After) })
	}
}

// askWorker sends a worker commands or a question directly.
func (n *Node) askWorker(ctx context.Context, e core.Effect) {
	switch e := e.(type) {
	case core.WorkerOrders:
		n.do(ctx, callName{metrics.Worker, "orders"}, e.ID, n.patient, func(ctx context.Context, r *core.Result) {
			r.Outcome = n.workers.Do(ctx, http.MethodPost, "http://"+e.Addr+wire.CommandsPath,
				wire.DirectCommands{FencingToken: e.Token, Incarnation: e.Session, Commands: e.Commands}, &r.Report)
		})
	case core.PrefetchImage:
		n.do(ctx, callName{metrics.Worker, "prefetch"}, e.ID, n.patient, func(ctx context.Context, r *core.Result) {
			var ready wire.PrefetchResponse
			r.Outcome = n.workers.Do(ctx, http.MethodPost, "http://"+e.Addr+wire.PrefetchPath, wire.PrefetchRequest{Image: e.Image, GB: e.GB}, &ready)
			r.ReadyS = ready.ReadyS
		})
	case core.WorkerInspect:
		n.do(ctx, callName{metrics.Worker, "inspect"}, e.ID, n.patient, func(ctx context.Context, r *core.Result) {
			r.Outcome = n.workers.Do(ctx, http.MethodGet, "http://"+e.Addr+wire.StatusPath, nil, &r.Report)
		})
	}
}

// askPeer asks another node for its status.
func (n *Node) askPeer(ctx context.Context, e core.PeerAsk) {
	n.do(ctx, callName{metrics.Peer, "status"}, e.ID, n.patient, func(ctx context.Context, r *core.Result) {
		if p := n.peers[e.Node]; p != nil {
			r.Peer, r.Outcome = p.Status(ctx, e.Cancellations)
		}
	})
}

// regionPatience is how long a message to another region may take, in the node's patience: it is handed on to the leader
// there, which commits it.
const regionPatience = 3

// callRegion sends a message to a controller of another region, another one with each attempt.
func (n *Node) callRegion(ctx context.Context, e core.RegionCall) {
	n.do(ctx, callName{metrics.Region, "allowance"}, e.ID, regionPatience*n.patient, func(ctx context.Context, r *core.Result) {
		if clients := n.regions[e.Region]; len(clients) > 0 {
			r.Outcome = operators.CallRegion(ctx, clients[e.Attempt%len(clients)].Conn(), e)
		}
	})
}

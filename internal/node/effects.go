package node

import (
	"context"
	"log/slog"
	"net/http"

	"bitternwing/internal/adminapi"
	"bitternwing/internal/core"
	"bitternwing/internal/metrics"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// How long calls may take, in the node's patience: reading many keys or asking the cloud takes longer than one
// request to the state service.
const (
	listTimeouts  = 3
	cloudTimeouts = 4
	watchTimeouts = 2 // beyond the time that the watch waits
)

// pageItems is how many keys are read at a time.
const pageItems = 500

// execute does one effect.
func (n *Node) execute(ctx context.Context, e core.Effect) {
	switch e := e.(type) {
	case core.Response:
		n.deliver(e)
	case core.Log:
		n.log.Log(ctx, levels[e.Level], e.Message, e.Fields...)
	case core.CloudCatalog, core.CloudScaleOut, core.CloudScaleIn, core.CloudList:
		n.callCloud(ctx, e)
	case core.SendCommands, core.QueryWorker, core.PrefetchImage:
		n.callWorker(ctx, e)
	case core.ProbeReplica:
		n.startCall(ctx, operation{metrics.Replica, "probe"}, e.CallID, e.Timeout, func(ctx context.Context, r *core.Result) {
			r.Probe, r.Outcome = n.prober.Probe(ctx, e.Probe, e.Checks), outcome.OK
		})
	case core.QueryPeer:
		n.callPeer(ctx, e)
	case core.CallRegion:
		n.callRegion(ctx, e)
	default:
		n.callStore(ctx, e)
	}
}

// levels gives the log's name of a level.
var levels = map[core.Level]slog.Level{core.Debug: slog.LevelDebug, core.Info: slog.LevelInfo, core.Error: slog.LevelError}

// deliver gives an answer to the request that waits for it, if it still does.
func (n *Node) deliver(a core.Response) {
	n.requestsMu.Lock()
	ch := n.pendingResponses[a.RequestID]
	n.requestsMu.Unlock()
	if ch != nil {
		ch <- a
	}
}

// callStore makes a call to the state service.
func (n *Node) callStore(ctx context.Context, e core.Effect) {
	switch e := e.(type) {
	case core.StoreGet:
		n.startCall(ctx, operation{metrics.Store, "get"}, e.CallID, n.callTimeout, func(ctx context.Context, r *core.Result) { r.Item, r.Outcome = n.store.Get(ctx, e.Key) })
	case core.StoreList:
		n.startCall(ctx, operation{metrics.Store, "list"}, e.CallID, listTimeouts*n.callTimeout, func(ctx context.Context, r *core.Result) {
			r.Page, r.Outcome = n.store.List(ctx, e.Prefix, e.After, pageItems)
		})
	case core.StoreTxn:
		n.startCall(ctx, operation{metrics.Store, "txn"}, e.CallID, n.callTimeout, func(ctx context.Context, r *core.Result) { r.Txn, r.Outcome = n.store.Txn(ctx, e.Txn) })
	case core.StoreGrantLease:
		n.startCall(ctx, operation{metrics.Store, "grant"}, e.CallID, n.callTimeout, func(ctx context.Context, r *core.Result) { r.Lease, r.Outcome = n.store.GrantLease(ctx, e.TTL) })
	case core.StoreRenewLease:
		n.startCall(ctx, operation{metrics.Store, "extend"}, e.CallID, n.callTimeout, func(ctx context.Context, r *core.Result) { r.Outcome = n.store.RenewLease(ctx, e.Lease) })
	case core.StoreRevokeLease:
		n.startCall(ctx, operation{metrics.Store, "revoke"}, e.CallID, n.callTimeout, func(ctx context.Context, r *core.Result) { r.Outcome = n.store.RevokeLease(ctx, e.Lease) })
	case core.StoreWatch:
		n.startCall(ctx, operation{metrics.Store, "watch"}, e.CallID, e.Wait+watchTimeouts*n.callTimeout, func(ctx context.Context, r *core.Result) {
			r.Changes, r.Outcome = n.store.Watch(ctx, e.Prefix, e.After, e.Wait)
		})
	}
}

// callCloud makes a call to the cloud.
func (n *Node) callCloud(ctx context.Context, e core.Effect) {
	patience := cloudTimeouts * n.callTimeout
	switch e := e.(type) {
	case core.CloudCatalog:
		n.startCall(ctx, operation{metrics.Cloud, "catalog"}, e.CallID, patience, func(ctx context.Context, r *core.Result) { r.Catalog, r.Outcome = n.cloud.Catalog(ctx) })
	case core.CloudScaleOut:
		n.startCall(ctx, operation{metrics.Cloud, "rent"}, e.CallID, patience, func(ctx context.Context, r *core.Result) {
			names, o := n.cloud.ScaleOut(ctx, e.Request)
			r.MachineNames, r.Outcome = names.Machines, o
		})
	case core.CloudScaleIn:
		n.startCall(ctx, operation{metrics.Cloud, "release"}, e.CallID, patience, func(ctx context.Context, r *core.Result) { r.Outcome = n.cloud.ScaleIn(ctx, e.Names) })
	case core.CloudList:
		n.startCall(ctx, operation{metrics.Cloud, "list"}, e.CallID, patience, func(ctx context.Context, r *core.Result) { r.Machines, r.Outcome = n.cloud.List(ctx, e.After) })
	}
}

// callWorker sends a worker commands or a question directly.
func (n *Node) callWorker(ctx context.Context, e core.Effect) {
	switch e := e.(type) {
	case core.SendCommands:
		n.startCall(ctx, operation{metrics.Worker, "orders"}, e.CallID, n.callTimeout, func(ctx context.Context, r *core.Result) {
			r.Outcome = n.workers.Do(ctx, http.MethodPost, "http://"+e.Addr+wire.CommandsPath,
				wire.DirectCommands{FencingToken: e.FencingToken, Incarnation: e.Incarnation, Commands: e.Commands}, &r.Heartbeat)
		})
	case core.PrefetchImage:
		n.startCall(ctx, operation{metrics.Worker, "prefetch"}, e.CallID, n.callTimeout, func(ctx context.Context, r *core.Result) {
			var ready wire.PrefetchResponse
			r.Outcome = n.workers.Do(ctx, http.MethodPost, "http://"+e.Addr+wire.PrefetchPath, wire.PrefetchRequest{Image: e.Image, GB: e.GB}, &ready)
			r.ReadyS = ready.ReadyS
		})
	case core.QueryWorker:
		n.startCall(ctx, operation{metrics.Worker, "inspect"}, e.CallID, n.callTimeout, func(ctx context.Context, r *core.Result) {
			r.Outcome = n.workers.Do(ctx, http.MethodGet, "http://"+e.Addr+wire.StatusPath, nil, &r.Heartbeat)
		})
	}
}

// callPeer asks another node for its status.
func (n *Node) callPeer(ctx context.Context, e core.QueryPeer) {
	n.startCall(ctx, operation{metrics.Peer, "status"}, e.CallID, n.callTimeout, func(ctx context.Context, r *core.Result) {
		if p := n.peers[e.Node]; p != nil {
			r.Peer, r.Outcome = p.Status(ctx, e.Cancellations)
		}
	})
}

// regionTimeouts is how long a message to another region may take, in the node's patience: it is handed on to the leader
// there, which commits it.
const regionTimeouts = 3

// callRegion sends a message to a controller of another region, another one with each attempt.
func (n *Node) callRegion(ctx context.Context, e core.CallRegion) {
	n.startCall(ctx, operation{metrics.Region, "allowance"}, e.CallID, regionTimeouts*n.callTimeout, func(ctx context.Context, r *core.Result) {
		if clients := n.regions[e.Region]; len(clients) > 0 {
			r.Outcome = adminapi.CallRegion(ctx, clients[e.Attempt%len(clients)].Conn(), e)
		}
	})
}

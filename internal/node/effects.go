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
	listPatience  = 3
	cloudPatience = 4
	watchPatience = 2 // beyond the time that the watch waits
)

// pageItems is how many keys are read at a time.
const pageItems = 500

// carryOut does one effect.
func (n *Node) carryOut(ctx context.Context, e core.Effect) {
	switch e := e.(type) {
	case core.Response:
		n.deliver(e)
	case core.Log:
		n.log.Log(ctx, levels[e.Level], e.Message, e.Fields...)
	case core.CloudCatalog, core.CloudScaleOut, core.CloudScaleIn, core.CloudList:
		n.askCloud(ctx, e)
	case core.SendCommands, core.QueryWorker, core.PrefetchImage:
		n.askWorker(ctx, e)
	case core.ProbeReplica:
		n.do(ctx, callName{metrics.Replica, "probe"}, e.CallID, e.Timeout, func(ctx context.Context, r *core.Result) {
			r.Probe, r.Outcome = n.probes.Ask(ctx, e.Probe, e.Checks), outcome.OK
		})
	case core.QueryPeer:
		n.askPeer(ctx, e)
	case core.CallRegion:
		n.callRegion(ctx, e)
	default:
		n.askState(ctx, e)
	}
}

// levels gives the log's name of a level.
var levels = map[core.Level]slog.Level{core.Debug: slog.LevelDebug, core.Info: slog.LevelInfo, core.Error: slog.LevelError}

// deliver gives an answer to the request that waits for it, if it still does.
func (n *Node) deliver(a core.Response) {
	n.reqMu.Lock()
	ch := n.waiting[a.RequestID]
	n.reqMu.Unlock()
	if ch != nil {
		ch <- a
	}
}

// askState makes a call to the state service.
func (n *Node) askState(ctx context.Context, e core.Effect) {
	switch e := e.(type) {
	case core.StoreGet:
		n.do(ctx, callName{metrics.StateService, "get"}, e.CallID, n.patient, func(ctx context.Context, r *core.Result) { r.Item, r.Outcome = n.state.Get(ctx, e.Key) })
	case core.StoreList:
		n.do(ctx, callName{metrics.StateService, "list"}, e.CallID, listPatience*n.patient, func(ctx context.Context, r *core.Result) {
			r.Page, r.Outcome = n.state.List(ctx, e.Prefix, e.After, pageItems)
		})
	case core.StoreTxn:
		n.do(ctx, callName{metrics.StateService, "txn"}, e.CallID, n.patient, func(ctx context.Context, r *core.Result) { r.Txn, r.Outcome = n.state.Txn(ctx, e.Txn) })
	case core.StoreGrantLease:
		n.do(ctx, callName{metrics.StateService, "grant"}, e.CallID, n.patient, func(ctx context.Context, r *core.Result) { r.Lease, r.Outcome = n.state.GrantLease(ctx, e.TTL) })
	case core.StoreRenewLease:
		n.do(ctx, callName{metrics.StateService, "extend"}, e.CallID, n.patient, func(ctx context.Context, r *core.Result) { r.Outcome = n.state.RenewLease(ctx, e.Lease) })
	case core.StoreRevokeLease:
		n.do(ctx, callName{metrics.StateService, "revoke"}, e.CallID, n.patient, func(ctx context.Context, r *core.Result) { r.Outcome = n.state.RevokeLease(ctx, e.Lease) })
	case core.StoreWatch:
		n.do(ctx, callName{metrics.StateService, "watch"}, e.CallID, e.Wait+watchPatience*n.patient, func(ctx context.Context, r *core.Result) {
			r.Changes, r.Outcome = n.state.Watch(ctx, e.Prefix, e.After, e.Wait)
		})
	}
}

// askCloud makes a call to the cloud.
func (n *Node) askCloud(ctx context.Context, e core.Effect) {
	patience := cloudPatience * n.patient
	switch e := e.(type) {
	case core.CloudCatalog:
		n.do(ctx, callName{metrics.Cloud, "catalog"}, e.CallID, patience, func(ctx context.Context, r *core.Result) { r.Catalog, r.Outcome = n.cloud.Catalog(ctx) })
	case core.CloudScaleOut:
		n.do(ctx, callName{metrics.Cloud, "rent"}, e.CallID, patience, func(ctx context.Context, r *core.Result) {
			names, o := n.cloud.Rent(ctx, e.Request)
			r.MachineNames, r.Outcome = names.Machines, o
		})
	case core.CloudScaleIn:
		n.do(ctx, callName{metrics.Cloud, "release"}, e.CallID, patience, func(ctx context.Context, r *core.Result) { r.Outcome = n.cloud.Release(ctx, e.Names) })
	case core.CloudList:
		n.do(ctx, callName{metrics.Cloud, "list"}, e.CallID, patience, func(ctx context.Context, r *core.Result) { r.Machines, r.Outcome = n.cloud.List(ctx, e.After) })
	}
}

// askWorker sends a worker commands or a question directly.
func (n *Node) askWorker(ctx context.Context, e core.Effect) {
	switch e := e.(type) {
	case core.SendCommands:
		n.do(ctx, callName{metrics.Worker, "orders"}, e.CallID, n.patient, func(ctx context.Context, r *core.Result) {
			r.Outcome = n.workers.Do(ctx, http.MethodPost, "http://"+e.Addr+wire.CommandsPath,
				wire.DirectCommands{FencingToken: e.FencingToken, Incarnation: e.Incarnation, Commands: e.Commands}, &r.Heartbeat)
		})
	case core.PrefetchImage:
		n.do(ctx, callName{metrics.Worker, "prefetch"}, e.CallID, n.patient, func(ctx context.Context, r *core.Result) {
			var ready wire.PrefetchResponse
			r.Outcome = n.workers.Do(ctx, http.MethodPost, "http://"+e.Addr+wire.PrefetchPath, wire.PrefetchRequest{Image: e.Image, GB: e.GB}, &ready)
			r.ReadyS = ready.ReadyS
		})
	case core.QueryWorker:
		n.do(ctx, callName{metrics.Worker, "inspect"}, e.CallID, n.patient, func(ctx context.Context, r *core.Result) {
			r.Outcome = n.workers.Do(ctx, http.MethodGet, "http://"+e.Addr+wire.StatusPath, nil, &r.Heartbeat)
		})
	}
}

// askPeer asks another node for its status.
func (n *Node) askPeer(ctx context.Context, e core.QueryPeer) {
	n.do(ctx, callName{metrics.Peer, "status"}, e.CallID, n.patient, func(ctx context.Context, r *core.Result) {
		if p := n.peers[e.Node]; p != nil {
			r.Peer, r.Outcome = p.Status(ctx, e.Cancellations)
		}
	})
}

// regionPatience is how long a message to another region may take, in the node's patience: it is handed on to the leader
// there, which commits it.
const regionPatience = 3

// callRegion sends a message to a controller of another region, another one with each attempt.
func (n *Node) callRegion(ctx context.Context, e core.CallRegion) {
	n.do(ctx, callName{metrics.Region, "allowance"}, e.CallID, regionPatience*n.patient, func(ctx context.Context, r *core.Result) {
		if clients := n.regions[e.Region]; len(clients) > 0 {
			r.Outcome = adminapi.CallRegion(ctx, clients[e.Attempt%len(clients)].Conn(), e)
		}
	})
}

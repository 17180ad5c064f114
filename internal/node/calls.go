package node

import (
	"context"
	"net/http"
	"time"

	"bitternwing/internal/adminapi"
	"bitternwing/internal/core"
	"bitternwing/internal/metrics"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// The timeouts of slow calls, as multiples of the node's call timeout. Listing keys or calling the cloud takes longer
// than a single request to the key-value store. A message to another region is forwarded to the leader there, which
// commits it.
const (
	listTimeoutFactor   = 3
	cloudTimeoutFactor  = 4
	watchTimeoutFactor  = 2 // in addition to the time that the watch blocks
	regionTimeoutFactor = 3
)

// listPageSize is the maximum number of keys in a page of a list call.
const listPageSize = 500

// operation is a kind of call, as labelled in the metrics.
type operation struct {
	service metrics.Service
	name    string
}

// call is a call to another process that the core requested.
type call struct {
	operation operation
	id        uint64 // the core's ID of the call
	timeout   time.Duration
}

// storeCall returns a call to the key-value store with the usual timeout.
func (n *Node) storeCall(name string, id uint64) call {
	return call{operation{metrics.Store, name}, id, n.clients.callTimeout}
}

// cloudCall returns a call to the cloud with the usual timeout.
func (n *Node) cloudCall(name string, id uint64) call {
	return call{operation{metrics.Cloud, name}, id, cloudTimeoutFactor * n.clients.callTimeout}
}

// workerCall returns a call to a worker with the usual timeout.
func (n *Node) workerCall(name string, id uint64) call {
	return call{operation{metrics.Worker, name}, id, n.clients.callTimeout}
}

// startCall makes a call in the background and queues its result for the core.
//
// The timeout starts when the core decides on the call. If a pause of the process delays the call beyond its deadline,
// the call is not sent, because the decision was based on state that is now outdated.
func (n *Node) startCall(ctx context.Context, c call, send func(context.Context, *core.Result)) {
	sentAt := n.steadyTime()
	deadline := time.Now().Add(c.timeout)
	go func() {
		callCtx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		result := core.Result{CallID: c.id, SentAt: sentAt, Outcome: outcome.Dropped}
		if time.Now().Before(deadline) {
			result.Outcome = outcome.Unknown
			send(callCtx, &result)
		}
		n.metrics.Call(c.operation.service, c.operation.name, result.Outcome.String())
		select {
		case n.results <- result: // waits if the queue is full: the core needs the result of every call
		case <-ctx.Done():
		}
	}()
}

// callStore executes an effect that calls the key-value store.
func (n *Node) callStore(ctx context.Context, effect core.Effect) {
	store := n.clients.store
	switch effect := effect.(type) {
	case core.StoreGet:
		n.startCall(ctx, n.storeCall("get", effect.CallID), func(ctx context.Context, r *core.Result) {
			r.Item, r.Outcome = store.Get(ctx, effect.Key)
		})
	case core.StoreList:
		list := n.storeCall("list", effect.CallID)
		list.timeout = listTimeoutFactor * n.clients.callTimeout
		n.startCall(ctx, list, func(ctx context.Context, r *core.Result) {
			r.Page, r.Outcome = store.List(ctx, effect.Prefix, effect.After, listPageSize)
		})
	case core.StoreTxn:
		n.startCall(ctx, n.storeCall("txn", effect.CallID), func(ctx context.Context, r *core.Result) {
			r.Txn, r.Outcome = store.Txn(ctx, effect.Txn)
		})
	case core.StoreGrantLease:
		n.startCall(ctx, n.storeCall("grant", effect.CallID), func(ctx context.Context, r *core.Result) {
			r.Lease, r.Outcome = store.GrantLease(ctx, effect.TTL)
		})
	case core.StoreRenewLease:
		n.startCall(ctx, n.storeCall("extend", effect.CallID), func(ctx context.Context, r *core.Result) {
			r.Outcome = store.RenewLease(ctx, effect.Lease)
		})
	case core.StoreRevokeLease:
		n.startCall(ctx, n.storeCall("revoke", effect.CallID), func(ctx context.Context, r *core.Result) {
			r.Outcome = store.RevokeLease(ctx, effect.Lease)
		})
	case core.StoreWatch:
		watch := n.storeCall("watch", effect.CallID)
		watch.timeout = effect.Wait + watchTimeoutFactor*n.clients.callTimeout
		n.startCall(ctx, watch, func(ctx context.Context, r *core.Result) {
			r.Changes, r.Outcome = store.Watch(ctx, effect.Prefix, effect.After, effect.Wait)
		})
	}
}

// callCloud executes an effect that calls the cloud.
func (n *Node) callCloud(ctx context.Context, effect core.Effect) {
	cloud := n.clients.cloud
	switch effect := effect.(type) {
	case core.CloudCatalog:
		n.startCall(ctx, n.cloudCall("catalog", effect.CallID), func(ctx context.Context, r *core.Result) {
			r.Catalog, r.Outcome = cloud.Catalog(ctx)
		})
	case core.CloudScaleOut:
		n.startCall(ctx, n.cloudCall("rent", effect.CallID), func(ctx context.Context, r *core.Result) {
			names, result := cloud.ScaleOut(ctx, effect.Request)
			r.MachineNames, r.Outcome = names.Machines, result
		})
	case core.CloudScaleIn:
		n.startCall(ctx, n.cloudCall("release", effect.CallID), func(ctx context.Context, r *core.Result) {
			r.Outcome = cloud.ScaleIn(ctx, effect.Names)
		})
	case core.CloudList:
		n.startCall(ctx, n.cloudCall("list", effect.CallID), func(ctx context.Context, r *core.Result) {
			r.Machines, r.Outcome = cloud.List(ctx, effect.After)
		})
	}
}

// callWorker executes an effect that calls a worker directly: commands, a prefetch or a status query.
func (n *Node) callWorker(ctx context.Context, effect core.Effect) {
	workers := n.clients.workers
	switch effect := effect.(type) {
	case core.SendCommands:
		commands := wire.DirectCommands{FencingToken: effect.FencingToken, Incarnation: effect.Incarnation, Commands: effect.Commands}
		n.startCall(ctx, n.workerCall("orders", effect.CallID), func(ctx context.Context, r *core.Result) {
			r.Outcome = workers.Do(ctx, http.MethodPost, "http://"+effect.Addr+wire.CommandsPath, commands, &r.Heartbeat)
		})
	case core.PrefetchImage:
		request := wire.PrefetchRequest{Image: effect.Image, GB: effect.GB}
		n.startCall(ctx, n.workerCall("prefetch", effect.CallID), func(ctx context.Context, r *core.Result) {
			var response wire.PrefetchResponse
			r.Outcome = workers.Do(ctx, http.MethodPost, "http://"+effect.Addr+wire.PrefetchPath, request, &response)
			r.ReadyS = response.ReadyS
		})
	case core.QueryWorker:
		n.startCall(ctx, n.workerCall("inspect", effect.CallID), func(ctx context.Context, r *core.Result) {
			r.Outcome = workers.Do(ctx, http.MethodGet, "http://"+effect.Addr+wire.StatusPath, nil, &r.Heartbeat)
		})
	}
}

// probeReplica checks the health and the responses of a replica.
func (n *Node) probeReplica(ctx context.Context, effect core.ProbeReplica) {
	c := call{operation{metrics.Replica, "probe"}, effect.CallID, effect.Timeout}
	n.startCall(ctx, c, func(ctx context.Context, r *core.Result) {
		r.Probe, r.Outcome = n.clients.prober.Probe(ctx, effect.Probe, effect.Checks), outcome.OK
	})
}

// callPeer requests the status of another node.
func (n *Node) callPeer(ctx context.Context, effect core.QueryPeer) {
	c := call{operation{metrics.Peer, "status"}, effect.CallID, n.clients.callTimeout}
	n.startCall(ctx, c, func(ctx context.Context, r *core.Result) {
		if client := n.clients.peers[effect.Node]; client != nil {
			r.Peer, r.Outcome = client.Status(ctx, effect.Cancellations)
		}
	})
}

// callRegion sends a message to a controller of another region. Successive attempts go to different controllers.
func (n *Node) callRegion(ctx context.Context, effect core.CallRegion) {
	c := call{operation{metrics.Region, "allowance"}, effect.CallID, regionTimeoutFactor * n.clients.callTimeout}
	n.startCall(ctx, c, func(ctx context.Context, r *core.Result) {
		if controllers := n.clients.regions[effect.Region]; len(controllers) > 0 {
			r.Outcome = adminapi.CallRegion(ctx, controllers[effect.Attempt%len(controllers)].Conn(), effect)
		}
	})
}

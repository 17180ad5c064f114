package core_test

import (
	"encoding/json"
	"reflect"

	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// handleEffect performs an effect of a node's core. It returns the result of a call, and whether there is one.
func (cluster *scaleCluster) handleEffect(node *scaleNode, effect core.Effect) (core.Result, bool) {
	if cluster.interceptEffect != nil {
		if result, ok := cluster.interceptEffect(node, effect); ok {
			return result, true
		}
	}
	switch e := effect.(type) {
	case core.Response:
		if cluster.onResponse == nil || !cluster.onResponse(e) {
			cluster.deliverResponse(e)
		}
	case core.StoreWatch:
		node.watches = append(node.watches, scaleWatch{e, cluster.now})
	case core.StoreGet, core.StoreList, core.StoreTxn, core.StoreGrantLease, core.StoreRenewLease, core.StoreRevokeLease:
		return cluster.callStore(e), true
	case core.CloudCatalog, core.CloudScaleOut, core.CloudScaleIn, core.CloudList:
		return cluster.callCloud(e), true
	case core.SendCommands, core.QueryWorker, core.PrefetchImage:
		node.concurrentWorkerCalls++
		cluster.counts.mostConcurrentCalls = max(cluster.counts.mostConcurrentCalls, node.concurrentWorkerCalls)
		return cluster.callWorker(node, e), true
	case core.Log:
		if len(e.Fields) > 1 && e.Fields[0] == "field" {
			cluster.loggedFields[e.Fields[1].(string)]++
		}
	case core.QueryPeer:
		return cluster.queryPeer(e)
	}
	return core.Result{}, false
}

// queryPeer performs a node's status query to a peer. A frozen peer does not respond.
func (cluster *scaleCluster) queryPeer(query core.QueryPeer) (core.Result, bool) {
	for _, peer := range cluster.nodes {
		if peer.name == query.Node && peer.name != cluster.frozenNode {
			if len(query.Cancellations) > 0 {
				// The peer replicates the cancellations before it responds with its status.
				cluster.lastRequest++
				cluster.step(peer, core.ReplicateCancellations{RequestID: cluster.lastRequest << 16, Cancellations: query.Cancellations})
			}
			return core.Result{CallID: query.CallID, Outcome: outcome.OK, Peer: peer.core.PeerStatus()}, true
		}
	}
	return core.Result{CallID: query.CallID, Outcome: outcome.Unknown}, true
}

// deliverResponse delivers a response to the worker that waits for it, or records it as a response to a user.
func (cluster *scaleCluster) deliverResponse(response core.Response) {
	switch body := response.Body.(type) {
	case wire.HeartbeatResponse:
		if worker := cluster.workers[response.RequestID&0xffff]; !worker.stopped && worker.matchResponse(response.RequestID) {
			worker.machine.ApplyHeartbeatResponse(cluster.now, 1, body)
		}
	case wire.Redirect:
		worker := cluster.workers[response.RequestID&0xffff]
		worker.matchResponse(response.RequestID)
		worker.nodeIndex = (worker.nodeIndex + 1) % len(cluster.nodes)
		for i, node := range cluster.nodes {
			if node.name == body.Leader {
				worker.nodeIndex = i
			}
		}
	case nil: // the response to core.ReplicateCancellations
	default:
		cluster.lastResponse = response.Body
		if cluster.responseStatuses != nil {
			cluster.responseStatuses[response.RequestID] = response.Status
		}
	}
}

// callStore performs a call to the key-value store.
func (cluster *scaleCluster) callStore(effect core.Effect) core.Result {
	switch e := effect.(type) {
	case core.StoreTxn:
		cluster.countTxn(e)
		result := core.Result{CallID: e.CallID}
		result.Txn, result.Outcome = cluster.store.Txn(e.Txn)
		return result
	case core.StoreGet:
		cluster.counts.gets++
		item, result := cluster.store.Get(e.Key)
		return core.Result{CallID: e.CallID, Outcome: result, Item: item}
	case core.StoreList:
		cluster.counts.lists++
		return core.Result{CallID: e.CallID, Outcome: outcome.OK, Page: cluster.store.List(e.Prefix, e.After, 500)}
	case core.StoreGrantLease:
		return core.Result{CallID: e.CallID, Outcome: outcome.OK, Lease: cluster.store.GrantLease(e.TTL)}
	case core.StoreRenewLease:
		return core.Result{CallID: e.CallID, Outcome: cluster.store.RenewLease(e.Lease)}
	case core.StoreRevokeLease:
		return core.Result{CallID: e.CallID, Outcome: cluster.store.RevokeLease(e.Lease)}
	}
	return core.Result{}
}

// countTxn counts a transaction, and checks its size and number of conditions.
func (cluster *scaleCluster) countTxn(effect core.StoreTxn) {
	counts := &cluster.counts
	counts.transactions++
	counts.writes += len(effect.Txn.Then)
	counts.largestTransaction = max(counts.largestTransaction, len(effect.Txn.Then))
	for _, op := range effect.Txn.Then {
		counts.bytes += len(op.Value)
	}
	body, err := json.Marshal(effect.Txn)
	if err != nil || len(body) > wire.MaxBodyBytes || len(effect.Txn.If) > 4*cluster.lastSettings.Params.Store.TxnOps {
		cluster.t.Errorf("transaction with %d bytes and %d conditions exceeds the limits, or encoding failed: %v", len(body), len(effect.Txn.If), err)
	}
	counts.largestBody = max(counts.largestBody, len(body))
}

// callCloud performs a call to the cloud.
func (cluster *scaleCluster) callCloud(effect core.Effect) core.Result {
	if !cluster.withinCloudRate() {
		cluster.droppedCloudCalls++
		return core.Result{CallID: callID(effect), Outcome: outcome.Dropped}
	}
	switch e := effect.(type) {
	case core.CloudCatalog:
		return core.Result{CallID: e.CallID, Outcome: outcome.OK, Catalog: testCatalog}
	case core.CloudScaleOut:
		return cluster.scaleOut(e)
	case core.CloudScaleIn:
		for _, name := range e.Names {
			cluster.releaseMachine(cluster.workerByName[name])
		}
		return core.Result{CallID: e.CallID, Outcome: outcome.OK}
	case core.CloudList:
		cluster.counts.pages++
		return cluster.listMachines(e)
	}
	return core.Result{}
}

// withinCloudRate reports whether a call is within cloudRate. It is a token bucket that allows bursts of one second's
// calls.
func (cluster *scaleCluster) withinCloudRate() bool {
	if cluster.cloudRate == 0 {
		return true
	}
	cluster.cloudTokens = min(cluster.cloudRate, cluster.cloudTokens+cluster.cloudRate*(cluster.now-cluster.cloudTokensAt).Seconds())
	cluster.cloudTokensAt = cluster.now
	if cluster.cloudTokens < 1 {
		return false
	}
	cluster.cloudTokens--
	return true
}

// callID returns the CallID of an effect that is a call.
func callID(effect core.Effect) uint64 { return reflect.ValueOf(effect).FieldByName("CallID").Uint() }

// releaseMachine stops a worker's machine, and counts it if it has tasks.
func (cluster *scaleCluster) releaseMachine(worker *scaleWorker) {
	if worker == nil || worker.stopped {
		return
	}
	worker.stopped = true
	cluster.rentedMachines--
	if worker.machine.TaskCount() > 0 {
		cluster.counts.releasedWithTasks++
	}
}

// listMachines returns a page of the cloud's list of machines.
func (cluster *scaleCluster) listMachines(effect core.CloudList) core.Result {
	result := core.Result{CallID: effect.CallID, Outcome: outcome.OK}
	for _, worker := range cluster.workers {
		if worker.stopped || worker.name <= effect.After {
			continue
		}
		if len(result.Machines.Machines) == wire.MaxPageMachines {
			result.Machines.More = true
			break
		}
		info := worker.machine.Info()
		result.Machines.Machines = append(result.Machines.Machines, wire.Machine{Name: worker.name, Addr: worker.addr, Type: info.Type.Name,
			Zone: worker.zone, Spot: info.Spot, State: wire.MachineRunning})
	}
	return result
}

// callWorker performs a node's call to a worker: direct commands, an image prefetch or a status query.
func (cluster *scaleCluster) callWorker(node *scaleNode, effect core.Effect) core.Result {
	switch e := effect.(type) {
	case core.SendCommands:
		cluster.counts.commands++
		if worker := cluster.reachableWorker(node, e.Addr); worker != nil {
			result := core.Result{CallID: e.CallID, Outcome: outcome.Conflict}
			if worker.machine.ApplyDirectCommands(cluster.now, wire.DirectCommands{FencingToken: e.FencingToken, Incarnation: e.Incarnation, Commands: e.Commands}) {
				result.Outcome = outcome.OK
			}
			result.Heartbeat = *worker.machine.Heartbeat(cluster.now)
			return result
		}
		return core.Result{CallID: e.CallID, Outcome: outcome.Unknown}
	case core.PrefetchImage:
		cluster.prefetched++
		if worker := cluster.reachableWorker(node, e.Addr); worker != nil {
			ready := worker.machine.Prefetch(cluster.now, e.Image, e.GB) - cluster.now
			return core.Result{CallID: e.CallID, Outcome: cluster.prefetchOutcome, ReadyS: ready.Seconds()}
		}
		return core.Result{CallID: e.CallID, Outcome: outcome.Unknown}
	case core.QueryWorker:
		if worker := cluster.reachableWorker(node, e.Addr); worker != nil {
			return core.Result{CallID: e.CallID, Outcome: outcome.OK, Heartbeat: *worker.machine.Heartbeat(cluster.now)}
		}
		return core.Result{CallID: e.CallID, Outcome: outcome.Unknown}
	}
	return core.Result{}
}

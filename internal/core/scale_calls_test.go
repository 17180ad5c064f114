package core_test

import (
	"encoding/json"
	"reflect"

	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// carryOut does an effect of a node; true if it has a result.
func (cluster *scaleCluster) carryOut(node *scaleNode, effect core.Effect) (core.Result, bool) {
	if cluster.intercept != nil {
		if result, ok := cluster.intercept(node, effect); ok {
			return result, true
		}
	}
	switch e := effect.(type) {
	case core.Response:
		if cluster.onAnswer == nil || !cluster.onAnswer(e) {
			cluster.deliverResponse(e)
		}
	case core.StoreWatch:
		node.watches = append(node.watches, scaleWatch{e, cluster.now})
	case core.StoreGet, core.StoreList, core.StoreTxn, core.StoreGrantLease, core.StoreRenewLease, core.StoreRevokeLease:
		return cluster.callStore(e), true
	case core.CloudCatalog, core.CloudScaleOut, core.CloudScaleIn, core.CloudList:
		return cluster.callCloud(e), true
	case core.SendCommands, core.QueryWorker, core.PrefetchImage:
		node.workerCalls++
		cluster.counts.mostConcurrentCalls = max(cluster.counts.mostConcurrentCalls, node.workerCalls)
		return cluster.callWorker(node, e), true
	case core.Log:
		if len(e.Fields) > 1 && e.Fields[0] == "field" {
			cluster.logged[e.Fields[1].(string)]++
		}
	case core.QueryPeer:
		return cluster.queryPeer(e)
	}
	return core.Result{}, false
}

// queryPeer asks another node for its status. One that stands still does not answer.
func (cluster *scaleCluster) queryPeer(effect core.QueryPeer) (core.Result, bool) {
	for _, peer := range cluster.nodes {
		if peer.name == effect.Node && peer.name != cluster.frozenNode {
			if len(effect.Cancellations) > 0 {
				// The answer says that they are known from now on.
				cluster.lastRequest++
				cluster.step(peer, core.ReplicateCancellations{RequestID: cluster.lastRequest << 16, Cancellations: effect.Cancellations})
			}
			return core.Result{CallID: effect.CallID, Outcome: outcome.OK, Peer: peer.core.PeerStatus()}, true
		}
	}
	return core.Result{CallID: effect.CallID, Outcome: outcome.Unknown}, true
}

// deliverResponse hands an answer to the worker or the user that waits for it.
func (cluster *scaleCluster) deliverResponse(e core.Response) {
	switch b := e.Body.(type) {
	case wire.HeartbeatResponse:
		if worker := cluster.workers[e.RequestID&0xffff]; !worker.dead && worker.takeResponse(e.RequestID) {
			worker.machine.ApplyHeartbeatResponse(cluster.now, 1, b)
		}
	case wire.Redirect:
		worker := cluster.workers[e.RequestID&0xffff]
		worker.takeResponse(e.RequestID)
		worker.nodeIndex = (worker.nodeIndex + 1) % len(cluster.nodes)
		for i, x := range cluster.nodes {
			if x.name == b.Leader {
				worker.nodeIndex = i
			}
		}
	case nil: // of cancellations that a node has taken in
	default:
		cluster.lastAnswer = e.Body
		if cluster.answerStatuses != nil {
			cluster.answerStatuses[e.RequestID] = e.Status
		}
	}
}

// callStore makes a call to the state service.
func (cluster *scaleCluster) callStore(effect core.Effect) core.Result {
	switch e := effect.(type) {
	case core.StoreTxn:
		cluster.countTxn(e)
		result := core.Result{CallID: e.CallID}
		result.Txn, result.Outcome = cluster.store.Txn(e.Txn)
		return result
	case core.StoreGet:
		cluster.counts.gets++
		item, got := cluster.store.Get(e.Key)
		return core.Result{CallID: e.CallID, Outcome: got, Item: item}
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

func (cluster *scaleCluster) countTxn(effect core.StoreTxn) {
	c := &cluster.counts
	c.transactions++
	c.writes += len(effect.Txn.Then)
	c.largestTransaction = max(c.largestTransaction, len(effect.Txn.Then))
	for _, op := range effect.Txn.Then {
		c.bytes += len(op.Value)
	}
	body, err := json.Marshal(effect.Txn)
	if err != nil || len(body) > wire.MaxBodyBytes || len(effect.Txn.If) > 4*cluster.lastSettings.Params.Store.TxnOps {
		cluster.test.Errorf("a transaction of %d bytes, %d conditions: %v", len(body), len(effect.Txn.If), err)
	}
	c.largestBody = max(c.largestBody, len(body))
}

// callCloud makes a call to the cloud.
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
			cluster.release(cluster.workerByName[name])
		}
		return core.Result{CallID: e.CallID, Outcome: outcome.OK}
	case core.CloudList:
		cluster.counts.pages++
		return cluster.listMachines(e)
	}
	return core.Result{}
}

// withinCloudRate tells whether a request is within the cloud's rate, with bursts of a second's worth.
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

// callID gives the id of a call.
func callID(effect core.Effect) uint64 { return reflect.ValueOf(effect).FieldByName("CallID").Uint() }

func (cluster *scaleCluster) release(worker *scaleWorker) {
	if worker == nil || worker.dead {
		return
	}
	worker.dead = true
	cluster.rented--
	if worker.machine.TaskCount() > 0 {
		cluster.counts.releasedWithWork++
	}
}

func (cluster *scaleCluster) listMachines(effect core.CloudList) core.Result {
	result := core.Result{CallID: effect.CallID, Outcome: outcome.OK}
	for _, worker := range cluster.workers {
		if worker.dead || worker.name <= effect.After {
			continue
		}
		if len(result.Machines.Machines) == wire.MaxPageMachines {
			result.Machines.More = true
			break
		}
		about := worker.machine.Info()
		result.Machines.Machines = append(result.Machines.Machines, wire.Machine{Name: worker.name, Addr: worker.addr, Type: about.Type.Name,
			Zone: worker.zone, Spot: about.Spot, State: wire.MachineRunning})
	}
	return result
}

// callWorker sends a worker commands or a question.
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

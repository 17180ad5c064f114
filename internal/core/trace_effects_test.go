package core_test

import (
	"encoding/json"
	"fmt"
	"sort"

	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// executeEffect executes an effect of a node. The bool reports whether the effect has a result.
func (harness *traceHarness) executeEffect(node *traceNode, effect core.Effect) (core.Result, bool) {
	switch e := effect.(type) {
	case core.Response:
		harness.showResponse(node, e)
	case core.Log:
		if e.Level > core.Debug {
			harness.show(node, "log %s%s", e.Message, formatFields(e.Fields))
		}
	case core.StoreWatch:
		node.watches = append(node.watches, e)
		node.watchesOpenedAt = harness.now
	case core.StoreTxn:
		node.userStoreCalls++
		result := harness.transact(node, e)
		if node.storeFault == "hold_responses" {
			node.heldResults = append(node.heldResults, result)
			return core.Result{}, false
		}
		return result, true
	case core.StoreGet, core.StoreList:
		node.userStoreCalls++
		return harness.readStore(node, e), true
	case core.StoreGrantLease, core.StoreRenewLease, core.StoreRevokeLease:
		return harness.callLease(node, e), true
	case core.CloudCatalog, core.CloudScaleOut, core.CloudScaleIn, core.CloudList:
		return harness.callCloud(node, e), true
	case core.SendCommands:
		return harness.sendCommands(node, e), true
	case core.QueryWorker:
		return harness.queryWorker(node, e), true
	case core.QueryPeer:
		return harness.queryPeer(node, e), true
	}
	return core.Result{}, false
}

// storeUnavailable reports whether the key-value store refuses a node's requests.
func (harness *traceHarness) storeUnavailable(node *traceNode) bool {
	return harness.storeOutage || node.storeFault == "unavailable"
}

// applyStoreFault returns the result that a node receives for a request other than a transaction: the node's store fault
// may refuse or drop it, or lose the response.
func (harness *traceHarness) applyStoreFault(node *traceNode, result core.Result) core.Result {
	switch {
	case harness.storeUnavailable(node):
		return core.Result{CallID: result.CallID, Outcome: outcome.Unavailable}
	case node.storeFault == "no_responses" || node.storeFault == "lose_responses":
		return core.Result{CallID: result.CallID, Outcome: outcome.Unknown}
	case node.storeFault == "rate_limited":
		return core.Result{CallID: result.CallID, Outcome: outcome.Dropped}
	}
	return result
}

// transact commits a transaction, unless the node's store fault prevents it.
func (harness *traceHarness) transact(node *traceNode, effect core.StoreTxn) core.Result {
	harness.checkTransactionLimits(effect.Txn)
	result := core.Result{CallID: effect.CallID}
	switch {
	case harness.storeUnavailable(node):
		result.Outcome = outcome.Unavailable
	case node.storeFault == "rate_limited":
		result.Outcome = outcome.Dropped
	case node.storeFault == "no_responses" || node.storeFault == "delay_transactions":
		node.delayedTransactions = append(node.delayedTransactions, effect)
		result.Outcome = outcome.Unknown
	default:
		result.Txn, result.Outcome = harness.store.Txn(effect.Txn)
		if node.storeFault == "lose_responses" {
			result = core.Result{CallID: effect.CallID, Outcome: outcome.Unknown}
		}
	}
	if keys := showChangedKeys(effect.Txn); keys != "" {
		harness.show(node, "writes %s: %s", keys, result.Outcome)
	}
	return result
}

// readStore executes a read of one key or of a page of keys.
func (harness *traceHarness) readStore(node *traceNode, effect core.Effect) core.Result {
	switch e := effect.(type) {
	case core.StoreGet:
		item, result := harness.store.Get(e.Key)
		return harness.applyStoreFault(node, core.Result{CallID: e.CallID, Outcome: result, Item: item})
	case core.StoreList:
		if node.storeFault == "lose_lists" {
			return core.Result{CallID: e.CallID, Outcome: outcome.Unknown}
		}
		return harness.applyStoreFault(node, core.Result{CallID: e.CallID, Outcome: outcome.OK, Page: harness.store.List(e.Prefix, e.After, 500)})
	}
	return core.Result{}
}

// callLease grants, renews or revokes a lease, unless the request does not reach the key-value store.
func (harness *traceHarness) callLease(node *traceNode, effect core.Effect) core.Result {
	notReceived := harness.storeUnavailable(node) || node.storeFault == "rate_limited"
	if _, grant := effect.(core.StoreGrantLease); !grant {
		notReceived = notReceived || node.storeFault == "no_responses"
	}
	if notReceived {
		return harness.applyStoreFault(node, core.Result{CallID: callID(effect)})
	}
	switch e := effect.(type) {
	case core.StoreGrantLease:
		return harness.applyStoreFault(node, core.Result{CallID: e.CallID, Outcome: outcome.OK, Lease: harness.store.GrantLease(e.TTL)})
	case core.StoreRenewLease:
		return harness.applyStoreFault(node, core.Result{CallID: e.CallID, Outcome: harness.store.RenewLease(e.Lease)})
	case core.StoreRevokeLease:
		return harness.applyStoreFault(node, core.Result{CallID: e.CallID, Outcome: harness.store.RevokeLease(e.Lease)})
	}
	return core.Result{}
}

// callCloud executes a call to the cloud.
func (harness *traceHarness) callCloud(node *traceNode, effect core.Effect) core.Result {
	if harness.cloudDown {
		return core.Result{CallID: callID(effect), Outcome: outcome.Unavailable}
	}
	switch e := effect.(type) {
	case core.CloudCatalog:
		return core.Result{CallID: e.CallID, Outcome: outcome.OK, Catalog: testCatalog}
	case core.CloudScaleOut:
		return harness.scaleOut(node, e)
	case core.CloudScaleIn:
		for _, name := range e.Names {
			delete(harness.machines, name)
		}
		harness.show(node, "releases %v", e.Names)
		return core.Result{CallID: e.CallID, Outcome: outcome.OK}
	case core.CloudList:
		return harness.listMachines(e)
	}
	return core.Result{}
}

// scaleOut creates the requested machines, which run at once.
func (harness *traceHarness) scaleOut(node *traceNode, effect core.CloudScaleOut) core.Result {
	if harness.cloudExhausted {
		return core.Result{CallID: effect.CallID, Outcome: outcome.Unavailable}
	}
	request := effect.Request
	result := core.Result{CallID: effect.CallID, Outcome: outcome.OK}
	for range request.Count {
		harness.machinesCreated++
		name := fmt.Sprintf("m%d", harness.machinesCreated)
		harness.machines[name] = &wire.Machine{Name: name, Type: request.Type, Zone: request.Zone, Spot: request.Spot, State: wire.MachineRunning}
		result.MachineNames = append(result.MachineNames, name)
	}
	harness.show(node, "scales out %s %s spot=%v as %s: %v", request.Type, request.Zone, request.Spot, request.RequestID, result.MachineNames)
	return result
}

// listMachines returns all machines in one page, without the hidden one.
func (harness *traceHarness) listMachines(effect core.CloudList) core.Result {
	var machines []wire.Machine
	for _, machine := range harness.machines {
		if machine.Name != harness.hiddenMachine {
			machines = append(machines, *machine)
		}
	}
	sort.Slice(machines, func(a, b int) bool { return machines[a].Name < machines[b].Name })
	result := core.Result{CallID: effect.CallID, Outcome: outcome.OK}
	result.Machines.Machines = machines
	return result
}

// commandOutcomes maps the argument of a direct_commands line to the outcome of direct commands; "": no fault.
var commandOutcomes = map[string]outcome.Outcome{
	"":         outcome.OK,
	"lost":     outcome.Unknown,
	"refused":  outcome.Unavailable,
	"conflict": outcome.Conflict,
}

// sendCommands shows direct commands and returns their outcome. No worker executes them.
func (harness *traceHarness) sendCommands(node *traceNode, effect core.SendCommands) core.Result {
	result := core.Result{CallID: effect.CallID, Outcome: commandOutcomes[harness.commandFault]}
	harness.show(node, "sends commands to %s token %s%s: %s", effect.Addr, showToken(effect.FencingToken), showCommands(effect.Commands), result.Outcome)
	return result
}

// queryWorker returns the heartbeat that the trace has set for the worker at an address.
func (harness *traceHarness) queryWorker(node *traceNode, effect core.QueryWorker) core.Result {
	result := core.Result{CallID: effect.CallID, Outcome: outcome.Unknown}
	if node.storeFault == "rate_limited" {
		result.Outcome = outcome.Dropped
	} else if heartbeat := harness.workerHeartbeats[effect.Addr]; heartbeat != nil {
		result.Outcome, result.Heartbeat = outcome.OK, *heartbeat
	}
	harness.show(node, "queries %s: %s", effect.Addr, result.Outcome)
	return result
}

// queryPeer returns the status of another node, and delivers cancellations to it.
func (harness *traceHarness) queryPeer(node *traceNode, effect core.QueryPeer) core.Result {
	peer := harness.nodes[effect.Node]
	if peer == nil || harness.partitioned(node.name, effect.Node) {
		return core.Result{CallID: effect.CallID, Outcome: outcome.Unknown}
	}
	if len(effect.Cancellations) > 0 {
		harness.lastRequestID++
		for _, cancellation := range effect.Cancellations {
			harness.show(peer, "receives the cancellation of %s", cancellation.Job)
		}
		harness.step(peer, core.ReplicateCancellations{RequestID: harness.lastRequestID, Cancellations: effect.Cancellations})
	}
	status := peer.core.PeerStatus()
	if peer.oldVersion {
		status.MaxRecordLayout = 0
	}
	return core.Result{CallID: effect.CallID, Outcome: outcome.OK, Peer: status}
}

// partitioned reports whether two nodes can't reach each other.
func (harness *traceHarness) partitioned(a, b string) bool {
	return harness.peerPartition == "all" || harness.peerPartition == a || harness.peerPartition == b || harness.peerPartition == "zones" && harness.zoneByNode[a] != harness.zoneByNode[b]
}

// checkTransactionLimits checks that a transaction keeps to the protocol's limits.
func (harness *traceHarness) checkTransactionLimits(txn wire.Txn) {
	store := harness.settings("a").Params.Store
	body, err := json.Marshal(txn)
	if err != nil || len(body) > wire.MaxBodyBytes || len(txn.Then) > store.TxnOps || len(txn.If) > 4*store.TxnOps {
		harness.tb.Errorf("transaction exceeds the limits or can't be encoded: %d changes, %d conditions, %d bytes, err %v", len(txn.Then), len(txn.If), len(body), err)
	}
	for _, op := range txn.Then {
		if float64(len(op.Value)) > 1024*store.ValueKB {
			harness.tb.Errorf("got a value of %d bytes for %s, want at most the limit", len(op.Value), op.Put)
		}
	}
}

// showResponse shows a response to a user or a worker.
func (harness *traceHarness) showResponse(node *traceNode, response core.Response) {
	if heartbeat, ok := response.Body.(wire.HeartbeatResponse); ok {
		harness.show(node, "%d token %s%s", response.Status, showToken(heartbeat.FencingToken), showCommands(heartbeat.Commands))
		return
	}
	if response.Body == nil {
		return // acknowledges the cancellations of a peer
	}
	body, err := json.Marshal(response.Body)
	if err != nil {
		harness.tb.Fatal(err)
	}
	retry := ""
	if response.RetryAfterS > 0 {
		retry = fmt.Sprintf(" retry after %d s", response.RetryAfterS)
	}
	harness.show(node, "%d %s%s", response.Status, body, retry)
}

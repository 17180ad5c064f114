package core_test

import (
	"encoding/json"
	"fmt"
	"sort"

	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// carryOut carries out an effect of a node; true if it has a result.
func (w *traceHarness) carryOut(n *node, e core.Effect) (core.Result, bool) {
	switch e := e.(type) {
	case core.Response:
		w.answer(n, e)
	case core.Log:
		if e.Level > core.Debug {
			w.say(n, "log %s%s", e.Message, showFields(e.Fields))
		}
	case core.StoreWatch:
		n.watches = append(n.watches, e)
		n.opened = w.now
	case core.StoreTxn:
		return w.txn(n, e), true
	case core.StoreGet, core.StoreList:
		return w.readStore(n, e), true
	case core.StoreGrantLease, core.StoreRenewLease, core.StoreRevokeLease:
		return w.callLease(n, e), true
	case core.CloudCatalog, core.CloudScaleOut, core.CloudScaleIn, core.CloudList:
		return w.callCloud(n, e), true
	case core.SendCommands:
		return w.sendCommands(n, e), true
	case core.QueryWorker:
		return w.queryWorker(n, e), true
	case core.QueryPeer:
		return w.queryPeer(n, e), true
	}
	return core.Result{}, false
}

func (w *traceHarness) refused(n *node) bool { return w.outage || n.mode == "refuse" }

// received gives what a node gets of the result of a request other than a transaction: it may be refused, dropped, or lost.
func (w *traceHarness) received(n *node, result core.Result) core.Result {
	switch {
	case w.refused(n):
		return core.Result{CallID: result.CallID, Outcome: outcome.Unavailable}
	case n.mode == "hold" || n.mode == "lose":
		return core.Result{CallID: result.CallID, Outcome: outcome.Unknown}
	case n.mode == "limit":
		return core.Result{CallID: result.CallID, Outcome: outcome.Dropped}
	}
	return result
}

// txn carries out a transaction, unless the node's mode prevents that.
func (w *traceHarness) txn(n *node, e core.StoreTxn) core.Result {
	w.withinLimits(e.Txn)
	result := core.Result{CallID: e.CallID}
	switch {
	case w.refused(n):
		result.Outcome = outcome.Unavailable
	case n.mode == "limit":
		result.Outcome = outcome.Dropped
	case n.mode == "hold" || n.mode == "slow":
		n.held = append(n.held, e)
		result.Outcome = outcome.Unknown
	default:
		result.Txn, result.Outcome = w.store.Txn(e.Txn)
		if n.mode == "lose" {
			result = core.Result{CallID: e.CallID, Outcome: outcome.Unknown}
		}
	}
	if keys := keysOf(e.Txn); keys != "" {
		w.say(n, "writes %s: %s", keys, result.Outcome)
	}
	return result
}

// readStore reads one key, or a page of keys.
func (w *traceHarness) readStore(n *node, e core.Effect) core.Result {
	switch e := e.(type) {
	case core.StoreGet:
		item, result := w.store.Get(e.Key)
		return w.received(n, core.Result{CallID: e.CallID, Outcome: result, Item: item})
	case core.StoreList:
		if n.mode == "nolist" {
			return core.Result{CallID: e.CallID, Outcome: outcome.Unknown}
		}
		return w.received(n, core.Result{CallID: e.CallID, Outcome: outcome.OK, Page: w.store.List(e.Prefix, e.After, 500)})
	}
	return core.Result{}
}

// callLease grants, renews or revokes a lease. A request that does not reach the key-value store changes nothing there.
func (w *traceHarness) callLease(n *node, e core.Effect) core.Result {
	unreached := w.refused(n) || n.mode == "limit"
	if _, grant := e.(core.StoreGrantLease); !grant {
		unreached = unreached || n.mode == "hold"
	}
	if unreached {
		return w.received(n, core.Result{CallID: idOf(e)})
	}
	switch e := e.(type) {
	case core.StoreGrantLease:
		return w.received(n, core.Result{CallID: e.CallID, Outcome: outcome.OK, Lease: w.store.GrantLease(e.TTL)})
	case core.StoreRenewLease:
		return w.received(n, core.Result{CallID: e.CallID, Outcome: w.store.RenewLease(e.Lease)})
	case core.StoreRevokeLease:
		return w.received(n, core.Result{CallID: e.CallID, Outcome: w.store.RevokeLease(e.Lease)})
	}
	return core.Result{}
}

// callCloud carries out a call to the cloud.
func (w *traceHarness) callCloud(n *node, e core.Effect) core.Result {
	if w.cloudDown {
		return core.Result{CallID: idOf(e), Outcome: outcome.Unavailable}
	}
	switch e := e.(type) {
	case core.CloudCatalog:
		return core.Result{CallID: e.CallID, Outcome: outcome.OK, Catalog: catalog}
	case core.CloudScaleOut:
		return w.scaleOut(n, e)
	case core.CloudScaleIn:
		for _, name := range e.Names {
			delete(w.machines, name)
		}
		w.say(n, "releases %v", e.Names)
		return core.Result{CallID: e.CallID, Outcome: outcome.OK}
	case core.CloudList:
		return w.listMachines(e)
	}
	return core.Result{}
}

func (w *traceHarness) scaleOut(n *node, e core.CloudScaleOut) core.Result {
	if w.cloudNone {
		return core.Result{CallID: e.CallID, Outcome: outcome.Unavailable}
	}
	request := e.Request
	result := core.Result{CallID: e.CallID, Outcome: outcome.OK}
	for range request.Count {
		w.rented++
		name := fmt.Sprintf("m%d", w.rented)
		w.machines[name] = &wire.Machine{Name: name, Type: request.Type, Zone: request.Zone, Spot: request.Spot, State: wire.MachineRunning}
		result.MachineNames = append(result.MachineNames, name)
	}
	w.say(n, "rents %s %s spot=%v as %s: %v", request.Type, request.Zone, request.Spot, request.RequestID, result.MachineNames)
	return result
}

func (w *traceHarness) listMachines(e core.CloudList) core.Result {
	var machines []wire.Machine
	for _, machine := range w.machines {
		if machine.Name != w.hidden {
			machines = append(machines, *machine)
		}
	}
	sort.Slice(machines, func(a, b int) bool { return machines[a].Name < machines[b].Name })
	result := core.Result{CallID: e.CallID, Outcome: outcome.OK}
	result.Machines.Machines = machines
	return result
}

// commandOutcomes gives what becomes of direct commands by the word of a trace; "" is carried out.
var commandOutcomes = map[string]outcome.Outcome{
	"":         outcome.OK,
	"lost":     outcome.Unknown,
	"refused":  outcome.Unavailable,
	"conflict": outcome.Conflict,
}

func (w *traceHarness) sendCommands(n *node, e core.SendCommands) core.Result {
	result := core.Result{CallID: e.CallID, Outcome: commandOutcomes[w.orders]}
	w.say(n, "orders %s token %s%s: %s", e.Addr, showToken(e.FencingToken), showCommands(e.Commands), result.Outcome)
	return result
}

func (w *traceHarness) queryWorker(n *node, e core.QueryWorker) core.Result {
	result := core.Result{CallID: e.CallID, Outcome: outcome.Unknown}
	if n.mode == "limit" {
		result.Outcome = outcome.Dropped
	} else if heartbeat := w.answers[e.Addr]; heartbeat != nil {
		result.Outcome, result.Heartbeat = outcome.OK, *heartbeat
	}
	w.say(n, "inspects %s: %s", e.Addr, result.Outcome)
	return result
}

// queryPeer asks another node for its status, and hands it cancellations.
func (w *traceHarness) queryPeer(n *node, e core.QueryPeer) core.Result {
	peer := w.nodes[e.Node]
	if peer == nil || w.separated(n.name, e.Node) {
		return core.Result{CallID: e.CallID, Outcome: outcome.Unknown}
	}
	if len(e.Cancellations) > 0 {
		w.req++
		for _, cancellation := range e.Cancellations {
			w.say(peer, "hears that %s is cancelled", cancellation.Job)
		}
		w.step(peer, core.ReplicateCancellations{RequestID: w.req, Cancellations: e.Cancellations})
	}
	status := peer.core.PeerStatus()
	if peer.old {
		status.RecordLayouts = 0
	}
	return core.Result{CallID: e.CallID, Outcome: outcome.OK, Peer: status}
}

// separated tells whether two nodes can't reach each other.
func (w *traceHarness) separated(a, b string) bool {
	return w.cut == "cut" || w.cut == a || w.cut == b || w.cut == "zones" && w.zones[a] != w.zones[b]
}

// withinLimits checks a transaction against the protocol's limits.
func (w *traceHarness) withinLimits(t wire.Txn) {
	p := w.settings("a").Params.Store
	body, err := json.Marshal(t)
	if err != nil || len(body) > wire.MaxBody || len(t.Then) > p.TxnOps || len(t.If) > 4*p.TxnOps {
		w.t.Errorf("a transaction of %d changes, %d conditions, %d bytes: %v", len(t.Then), len(t.If), len(body), err)
	}
	for _, op := range t.Then {
		if float64(len(op.Value)) > 1024*p.ValueKB {
			w.t.Errorf("a value of %d bytes for %s", len(op.Value), op.Put)
		}
	}
}

// answer shows a response.
func (w *traceHarness) answer(n *node, a core.Response) {
	if ra, ok := a.Body.(wire.HeartbeatResponse); ok {
		w.say(n, "%d token %s%s", a.Status, showToken(ra.FencingToken), showCommands(ra.Commands))
		return
	}
	if a.Body == nil {
		return // a node that it heard
	}
	body, err := json.Marshal(a.Body)
	if err != nil {
		w.t.Fatal(err)
	}
	retry := ""
	if a.RetryAfterS > 0 {
		retry = fmt.Sprintf(" retry after %d s", a.RetryAfterS)
	}
	w.say(n, "%d %s%s", a.Status, body, retry)
}

package core_test

import (
	"encoding/json"
	"reflect"

	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// carryOut does an effect of a node; true if it has a result.
func (y *scaleCluster) carryOut(n *scaleNode, e core.Effect) (core.Result, bool) {
	if y.intercept != nil {
		if r, ok := y.intercept(n, e); ok {
			return r, true
		}
	}
	switch e := e.(type) {
	case core.Response:
		if y.onAnswer == nil || !y.onAnswer(e) {
			y.answer(e)
		}
	case core.StoreWatch:
		n.watches = append(n.watches, scaleWatch{e, y.now})
	case core.StoreGet, core.StoreList, core.StoreTxn, core.StoreGrantLease, core.StoreRenewLease, core.StoreRevokeLease:
		return y.askState(e), true
	case core.CloudCatalog, core.CloudScaleOut, core.CloudScaleIn, core.CloudList:
		return y.askCloud(e), true
	case core.SendCommands, core.QueryWorker, core.PrefetchImage:
		n.asked++
		y.counted.atOnce = max(y.counted.atOnce, n.asked)
		return y.askWorker(n, e), true
	case core.Log:
		if len(e.Fields) > 1 && e.Fields[0] == "field" {
			y.logged[e.Fields[1].(string)]++
		}
	case core.QueryPeer:
		return y.askPeer(e)
	}
	return core.Result{}, false
}

// askPeer asks another node for its status. One that stands still does not answer.
func (y *scaleCluster) askPeer(e core.QueryPeer) (core.Result, bool) {
	for _, p := range y.nodes {
		if p.name == e.Node && p.name != y.frozen {
			if len(e.Cancellations) > 0 {
				// The answer says that they are known from now on.
				y.req++
				y.step(p, core.ReplicateCancellations{RequestID: y.req << 16, Cancellations: e.Cancellations})
			}
			return core.Result{CallID: e.CallID, Outcome: outcome.OK, Peer: p.core.PeerStatus()}, true
		}
	}
	return core.Result{CallID: e.CallID, Outcome: outcome.Unknown}, true
}

// answer hands an answer to the worker or the user that waits for it.
func (y *scaleCluster) answer(e core.Response) {
	switch b := e.Body.(type) {
	case wire.HeartbeatResponse:
		if w := y.workers[e.RequestID&0xffff]; !w.dead && w.answered(e.RequestID) {
			w.machine.ApplyHeartbeatResponse(y.now, 1, b)
		}
	case wire.Redirect:
		w := y.workers[e.RequestID&0xffff]
		w.answered(e.RequestID)
		w.node = (w.node + 1) % len(y.nodes)
		for i, x := range y.nodes {
			if x.name == b.Leader {
				w.node = i
			}
		}
	case nil: // of cancellations that a node has taken in
	default:
		y.polled = e.Body
		if y.told != nil {
			y.told[e.RequestID] = e.Status
		}
	}
}

// askState makes a call to the state service.
func (y *scaleCluster) askState(e core.Effect) core.Result {
	switch e := e.(type) {
	case core.StoreTxn:
		y.countTxn(e)
		r := core.Result{CallID: e.CallID}
		r.Txn, r.Outcome = y.store.Txn(e.Txn)
		return r
	case core.StoreGet:
		y.counted.gets++
		it, o := y.store.Get(e.Key)
		return core.Result{CallID: e.CallID, Outcome: o, Item: it}
	case core.StoreList:
		y.counted.lists++
		return core.Result{CallID: e.CallID, Outcome: outcome.OK, Page: y.store.List(e.Prefix, e.After, 500)}
	case core.StoreGrantLease:
		return core.Result{CallID: e.CallID, Outcome: outcome.OK, Lease: y.store.GrantLease(e.TTL)}
	case core.StoreRenewLease:
		return core.Result{CallID: e.CallID, Outcome: y.store.RenewLease(e.Lease)}
	case core.StoreRevokeLease:
		return core.Result{CallID: e.CallID, Outcome: y.store.RevokeLease(e.Lease)}
	}
	return core.Result{}
}

func (y *scaleCluster) countTxn(e core.StoreTxn) {
	c := &y.counted
	c.txns++
	c.writes += len(e.Txn.Then)
	c.largest = max(c.largest, len(e.Txn.Then))
	for _, op := range e.Txn.Then {
		c.bytes += len(op.Value)
	}
	body, err := json.Marshal(e.Txn)
	if err != nil || len(body) > wire.MaxBody || len(e.Txn.If) > 4*y.set.Params.Store.TxnOps {
		y.t.Errorf("a transaction of %d bytes, %d conditions: %v", len(body), len(e.Txn.If), err)
	}
	c.body = max(c.body, len(body))
}

// askCloud makes a call to the cloud.
func (y *scaleCluster) askCloud(e core.Effect) core.Result {
	if !y.cloudTakes() {
		y.tooMany++
		return core.Result{CallID: idOf(e), Outcome: outcome.Dropped}
	}
	switch e := e.(type) {
	case core.CloudCatalog:
		return core.Result{CallID: e.CallID, Outcome: outcome.OK, Catalog: catalog}
	case core.CloudScaleOut:
		return y.rent(e)
	case core.CloudScaleIn:
		for _, name := range e.Names {
			y.release(y.byName[name])
		}
		return core.Result{CallID: e.CallID, Outcome: outcome.OK}
	case core.CloudList:
		y.counted.pages++
		return y.list(e)
	}
	return core.Result{}
}

// cloudTakes tells whether a request is within the cloud's rate, with bursts of a second's worth.
func (y *scaleCluster) cloudTakes() bool {
	if y.cloudRate == 0 {
		return true
	}
	y.cloudTokens = min(y.cloudRate, y.cloudTokens+y.cloudRate*(y.now-y.cloudAt).Seconds())
	y.cloudAt = y.now
	if y.cloudTokens < 1 {
		return false
	}
	y.cloudTokens--
	return true
}

// idOf gives the id of a call.
func idOf(e core.Effect) uint64 { return reflect.ValueOf(e).FieldByName("CallID").Uint() }

func (y *scaleCluster) release(w *scaleWorker) {
	if w == nil || w.dead {
		return
	}
	w.dead = true
	y.rented--
	if w.machine.TaskCount() > 0 {
		y.counted.released++
	}
}

func (y *scaleCluster) list(e core.CloudList) core.Result {
	r := core.Result{CallID: e.CallID, Outcome: outcome.OK}
	for _, w := range y.workers {
		if w.dead || w.name <= e.After {
			continue
		}
		if len(r.Machines.Machines) == wire.MaxList {
			r.Machines.More = true
			break
		}
		about := w.machine.Info()
		r.Machines.Machines = append(r.Machines.Machines, wire.Machine{Name: w.name, Addr: w.addr, Type: about.Type.Name,
			Zone: w.zone, Spot: about.Spot, State: wire.MachineRunning})
	}
	return r
}

// askWorker sends a worker commands or a question.
func (y *scaleCluster) askWorker(n *scaleNode, e core.Effect) core.Result {
	switch e := e.(type) {
	case core.SendCommands:
		y.counted.orders++
		if w := y.direct(n, e.Addr); w != nil {
			r := core.Result{CallID: e.CallID, Outcome: outcome.Conflict}
			if w.machine.ApplyDirectCommands(y.now, wire.DirectCommands{FencingToken: e.FencingToken, Incarnation: e.Incarnation, Commands: e.Commands}) {
				r.Outcome = outcome.OK
			}
			r.Heartbeat = *w.machine.Heartbeat(y.now)
			return r
		}
		return core.Result{CallID: e.CallID, Outcome: outcome.Unknown}
	case core.PrefetchImage:
		y.prefetched++
		if w := y.direct(n, e.Addr); w != nil {
			ready := w.machine.Prefetch(y.now, e.Image, e.GB) - y.now
			return core.Result{CallID: e.CallID, Outcome: y.prefetchOutcome, ReadyS: ready.Seconds()}
		}
		return core.Result{CallID: e.CallID, Outcome: outcome.Unknown}
	case core.QueryWorker:
		if w := y.direct(n, e.Addr); w != nil {
			return core.Result{CallID: e.CallID, Outcome: outcome.OK, Heartbeat: *w.machine.Heartbeat(y.now)}
		}
		return core.Result{CallID: e.CallID, Outcome: outcome.Unknown}
	}
	return core.Result{}
}

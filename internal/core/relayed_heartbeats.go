package core

import (
	"encoding/json"
	"slices"

	"bitternwing/internal/fencing"
	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// writeWhenDue relays the collected heartbeats to the leader every two check intervals.
func (r *leaseRelay) writeWhenDue() {
	c := r.core
	nothingToWrite := len(r.workerOrder) == 0 && r.shardCount == 0
	if r.writeInFlight || nothingToWrite || c.storeHealth.down {
		return
	}
	if c.now.Steady < r.nextWrite {
		c.wakeBy(r.nextWrite)
		return
	}
	r.nextWrite = c.now.Steady + 2*c.times.checkInterval
	r.writeHeartbeats()
}

// relayWrite is a write of all relayed heartbeats in one or more transactions.
type relayWrite struct {
	relay      *leaseRelay
	shardCount int // number of keys that hold heartbeats once the write is applied
	pendingOps int // operations without a result yet
	failed     bool
}

// writeHeartbeats writes the relayed heartbeats, as many to a key as fit. The heartbeats of a whole zone don't fit into
// one transaction: the store would reject it as malformed, and the leader would consider all of these workers dead.
func (r *leaseRelay) writeHeartbeats() {
	packer := r.packer()
	values, tooLarge := packer.Pack(r.encodeHeartbeats())
	if tooLarge > 0 {
		r.core.log(Debug, "heartbeats too large to relay", "workers", tooLarge)
	}
	ops := r.shardOps(values)
	write := &relayWrite{relay: r, shardCount: len(values), pendingOps: len(ops)}
	r.shardCount = max(r.shardCount, len(values))
	opsPerTxn := min(r.core.limits.maxChanges(), wire.MaxBodyBytes*9/10/packer.MaxBytes)
	for txnOps := range slices.Chunk(ops, opsPerTxn) {
		write.send(txnOps)
	}
}

// packer returns the packer for the heartbeats. It compresses them once all nodes are known to read the compressed
// format.
func (r *leaseRelay) packer() stored.RelayedHeartbeatPacker {
	c := r.core
	if c.layout().TaskLayoutTasks > 0 {
		return stored.RelayedHeartbeatPacker{MaxBytes: c.usableValueBytes(), Compressed: true}
	}
	return stored.RelayedHeartbeatPacker{MaxBytes: stored.UsableValueBytes(c.limits.maxAcceptedValueBytes())}
}

func (r *leaseRelay) encodeHeartbeats() []json.RawMessage {
	heartbeats := make([]json.RawMessage, 0, len(r.workerOrder))
	for _, name := range r.workerOrder {
		if encoded, err := json.Marshal(r.workers[name].heartbeat); err == nil {
			heartbeats = append(heartbeats, encoded)
		}
	}
	return heartbeats
}

// shardOps returns the operations that write each value to its own key and delete the remaining keys of an earlier
// write.
func (r *leaseRelay) shardOps(values []json.RawMessage) []wire.Op {
	node := r.core.settings.Node
	var ops []wire.Op
	for i, value := range values {
		ops = append(ops, wire.Op{Put: stored.RelayedHeartbeatsKey(node, i), Value: value})
	}
	for i := len(values); i < r.shardCount; i++ {
		ops = append(ops, wire.Op{Delete: stored.RelayedHeartbeatsKey(node, i)})
	}
	return ops
}

// send sends one transaction of the write.
func (w *relayWrite) send(ops []wire.Op) {
	c := w.relay.core
	w.relay.writeInFlight = true
	txn := relayTxn{write: w, ops: ops}
	id := c.registerStoreCall(txn.applyResult)
	c.emit(StoreTxn{CallID: id, Txn: wire.Txn{Then: ops}})
}

// relayTxn is one transaction of a relayWrite.
type relayTxn struct {
	write *relayWrite
	ops   []wire.Op
}

func (t relayTxn) applyResult(result Result) {
	write, relay := t.write, t.write.relay
	if result.Outcome != outcome.OK {
		write.failed = true
	}
	if result.Outcome == outcome.Invalid {
		relay.core.limits.observeInvalid(wire.Txn{Then: t.ops})
	}
	write.pendingOps -= len(t.ops)
	if write.pendingOps > 0 {
		return
	}
	relay.writeInFlight = false
	if !write.failed {
		relay.shardCount = write.shardCount
	}
}

// applyRelayedHeartbeats reconciles the leader's state with heartbeats that another node has relayed. It does nothing
// on other nodes.
func (c *Core) applyRelayedHeartbeats(name string, value json.RawMessage) {
	if c.leader == nil || value == nil {
		return
	}
	c.observeRelay(stored.RelayingNode(name))
	heartbeats, err := stored.DecodeRelayedHeartbeats(value)
	if err != nil {
		return
	}
	for _, heartbeat := range heartbeats {
		if heartbeat != nil && heartbeat.Machine != "" && fencing.TermOf(heartbeat.FencingToken) <= c.leader.term {
			c.leader.reconciler.reconcileIndirect(heartbeat, originPeriodic)
		}
	}
}

// observeRelay records that another node renews workers' leases on the leader's behalf, whether or not this node can
// reach it.
func (c *Core) observeRelay(node string) {
	c.members.ObserveRelay(node, c.now.Steady)
}

package core

import (
	"encoding/json"
	"slices"
	"time"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// unreachableHints stores when the machines of mostly silent zones were last heard from, as hints for the next leader.
// See stored.UnreachableHints.
type unreachableHints struct {
	leader    *leader
	nextWrite time.Duration
	inFlight  bool
	written   []string // the stored values by shard
}

// lastHeardPrecisionMS is the precision of the stored times. Rounding keeps a machine's time the same from one write to
// the next.
const lastHeardPrecisionMS = 100

// run writes changed hints at most once per check interval.
func (h *unreachableHints) run() {
	l, c := h.leader, h.leader.core
	if h.inFlight || c.storeHealth.down || !l.hasAuthority() || len(l.liveness.silentZones) == 0 && len(h.written) == 0 {
		return
	}
	if c.now.Steady < h.nextWrite {
		c.wakeBy(h.nextWrite)
		return
	}
	h.nextWrite = c.now.Steady + c.times.checkInterval
	next, err := h.encode()
	if err != nil {
		return
	}
	ops, afterWrite := h.changes(next)
	if len(ops) == 0 {
		return
	}
	l.writer.spend(len(ops))
	h.inFlight = true
	id := l.registerStoreCall(func(r Result) {
		h.inFlight = false
		if r.Outcome == outcome.OK {
			h.written = afterWrite
		}
	})
	c.emit(StoreTxn{CallID: id, Txn: wire.Txn{If: []wire.Condition{l.termCondition()}, Then: ops}})
}

// encode returns the values to store by shard.
func (h *unreachableHints) encode() ([]string, error) {
	l, c := h.leader, h.leader.core
	packer := stored.NewUnreachableHintPacker(c.usableValueBytes())
	for _, m := range l.machinesByName {
		silence := c.now.Steady - m.lastHeardDirectlyOrRelayed()
		if !l.liveness.zoneSilent(m.zone) || m.releasing || silence < c.times.lease/3 {
			continue
		}
		lastHeardMS := c.now.WallMS - silence.Milliseconds()
		packer.Add(m.name, lastHeardMS/lastHeardPrecisionMS*lastHeardPrecisionMS)
	}
	values, err := packer.Encode()
	if err != nil {
		return nil, err
	}
	hints := make([]string, len(values))
	for i, value := range values {
		hints[i] = string(value)
	}
	return hints, nil
}

// changes returns the operations that change the stored values to the next ones, as many as fit into a transaction, and
// the values stored after that. The next transaction continues from there. Shards are only appended at the end or
// deleted from the end, so the shards in use have no gaps.
func (h *unreachableHints) changes(next []string) (ops []wire.Op, afterWrite []string) {
	afterWrite = slices.Clone(h.written)
	maxOps := h.leader.core.maxValuesPerTxn()
	for len(afterWrite) > len(next) && len(ops) < maxOps {
		afterWrite = afterWrite[:len(afterWrite)-1]
		ops = append(ops, wire.Op{Delete: stored.UnreachableHintKey(len(afterWrite))})
	}
	for shard, value := range next {
		if len(ops) >= maxOps || shard < len(afterWrite) && afterWrite[shard] == value {
			continue
		}
		if shard == len(afterWrite) {
			afterWrite = append(afterWrite, "")
		}
		afterWrite[shard] = value
		ops = append(ops, wire.Op{Put: stored.UnreachableHintKey(shard), Value: json.RawMessage(value)})
	}
	return ops, afterWrite
}

// lastHeard returns when a machine that is new to this leader was last heard from according to the previous leader, or
// the current time if there is no hint.
func (h *unreachableHints) lastHeard(name string) time.Duration {
	c := h.leader.core
	lastHeardMS, known := c.cache.LastHeardMS(name)
	if !known {
		return c.now.Steady
	}
	silence := time.Duration(c.now.WallMS-lastHeardMS)*time.Millisecond - 2*c.maxClockError()
	return c.now.Steady - max(0, silence)
}

// maxClockError returns the maximum error of a node's wall clock.
func (c *Core) maxClockError() time.Duration {
	return time.Duration(c.settings.Params.ClockErrorMS * float64(time.Millisecond))
}

package core

import (
	"encoding/json"
	"slices"
	"time"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// unreachableHints writes, while much of a zone is silent, when its machines were last heard: see
// stored.UnreachableHints.
type unreachableHints struct {
	leader    *leader
	nextWrite time.Duration
	inFlight  bool
	written   []string // the values as they were written, by shard
}

// lastHeardPrecisionMS is the precision of the times, so that a machine's stays the same from one write to the next.
const lastHeardPrecisionMS = 100

// run writes the hints that have changed.
func (s *unreachableHints) run() {
	l, c := s.leader, s.leader.core
	if s.inFlight || c.storeHealth.down || !l.hasAuthority() || len(l.liveness.silentZones) == 0 && len(s.written) == 0 {
		return
	}
	if c.now.Steady < s.nextWrite {
		c.wakeBy(s.nextWrite)
		return
	}
	s.nextWrite = c.now.Steady + c.times.checkInterval
	next, err := s.encode()
	if err != nil {
		return
	}
	ops, after := s.changes(next)
	if len(ops) == 0 {
		return
	}
	l.writer.spend(len(ops))
	s.inFlight = true
	id := l.registerStoreCall(func(r Result) {
		s.inFlight = false
		if r.Outcome == outcome.OK {
			s.written = after
		}
	})
	c.emit(StoreTxn{CallID: id, Txn: wire.Txn{If: []wire.Condition{l.termCondition()}, Then: ops}})
}

// encode returns the hints as they are to be written, by shard.
func (s *unreachableHints) encode() ([]string, error) {
	l, c := s.leader, s.leader.core
	packer := stored.NewUnreachableHintPacker(c.maxValueBytes())
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

// changes returns what has to be written, as much as a transaction holds, and what the store holds after it: the rest goes
// with the next one. Shards are added after the last one and deleted from the last one on, so that those in use have no
// gap.
func (s *unreachableHints) changes(next []string) (ops []wire.Op, after []string) {
	after = slices.Clone(s.written)
	maxOps := s.leader.core.maxValuesPerTxn()
	for len(after) > len(next) && len(ops) < maxOps {
		after = after[:len(after)-1]
		ops = append(ops, wire.Op{Delete: stored.UnreachableHintKey(len(after))})
	}
	for shard, value := range next {
		if len(ops) >= maxOps || shard < len(after) && after[shard] == value {
			continue
		}
		if shard == len(after) {
			after = append(after, "")
		}
		after[shard] = value
		ops = append(ops, wire.Op{Put: stored.UnreachableHintKey(shard), Value: json.RawMessage(value)})
	}
	return ops, after
}

// lastHeard returns when a machine that is new to this leader was last heard, as far as the leader before it wrote that.
func (s *unreachableHints) lastHeard(name string) time.Duration {
	c := s.leader.core
	lastHeardMS, known := c.cache.LastHeardMS(name)
	if !known {
		return c.now.Steady
	}
	silence := time.Duration(c.now.WallMS-lastHeardMS)*time.Millisecond - 2*c.clockError()
	return c.now.Steady - max(0, silence)
}

// clockError is how much the time of day of a node may be off.
func (c *Core) clockError() time.Duration {
	return time.Duration(c.settings.Params.ClockErrorMS * float64(time.Millisecond))
}

package core

import (
	"encoding/json"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// shardWriter writes a map that is spread over the values of several keys. Only the shards that have changed are written.
type shardWriter struct {
	leader   *leader
	keyOf    func(shard int) string
	written  map[string]string // by key
	inUse    int               // shards that were needed at some time
	inFlight bool
}

func newShardWriter(l *leader, keyOf func(shard int) string) shardWriter {
	return shardWriter{leader: l, keyOf: keyOf, written: map[string]string{}}
}

// write writes the shards that have changed, as many as a transaction holds, and empties those that are not needed any
// more. It reports whether the transaction is full, so that there may be more to write.
func (s *shardWriter) write(values []json.RawMessage) (full bool) {
	for len(values) < s.inUse {
		values = append(values, json.RawMessage(stored.EmptyShard))
	}
	s.inUse = len(values)
	ops := s.changes(values)
	if maxOps := s.leader.core.maxValuesPerTxn(); len(ops) >= maxOps {
		ops, full = ops[:maxOps], true
	}
	if len(ops) > 0 {
		s.send(ops)
	}
	return full
}

// changes returns the writes of the shards that have changed.
func (s *shardWriter) changes(values []json.RawMessage) []wire.Op {
	var ops []wire.Op
	for i, value := range values {
		key := s.keyOf(i)
		before, wasWritten := s.written[key]
		if !wasWritten {
			before = stored.EmptyShard
		}
		if string(value) != before {
			ops = append(ops, wire.Op{Put: key, Value: value})
		}
	}
	return ops
}

func (s *shardWriter) send(ops []wire.Op) {
	l := s.leader
	l.writer.spend(len(ops))
	s.inFlight = true
	id := l.registerStoreCall(func(r Result) {
		s.inFlight = false
		if r.Outcome != outcome.OK {
			return
		}
		for _, op := range ops {
			s.written[op.Put] = string(op.Value)
		}
	})
	l.core.emit(StoreTxn{CallID: id, Txn: wire.Txn{If: []wire.Condition{l.termCondition()}, Then: ops}})
}

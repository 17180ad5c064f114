package core

import (
	"encoding/json"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// shardWriter writes a map that is sharded over several keys. It writes only the shards that have changed.
type shardWriter struct {
	leader     *leader
	keyOf      func(shard int) string
	written    map[string]string // the last values known to be stored, by key
	shardCount int               // the highest number of shards so far
	inFlight   bool
}

func newShardWriter(l *leader, keyOf func(shard int) string) shardWriter {
	return shardWriter{leader: l, keyOf: keyOf, written: map[string]string{}}
}

// write sends the shards that have changed, as many as fit into a transaction, and empties shards that are no longer
// needed. It reports whether the transaction is full, in which case there may be more to write.
func (s *shardWriter) write(values []json.RawMessage) (full bool) {
	for len(values) < s.shardCount {
		values = append(values, json.RawMessage(stored.EmptyShard))
	}
	s.shardCount = len(values)
	ops := s.changes(values)
	if maxOps := s.leader.core.maxValuesPerTxn(); len(ops) >= maxOps {
		ops, full = ops[:maxOps], true
	}
	if len(ops) > 0 {
		s.send(ops)
	}
	return full
}

// changes returns the writes of the shards that differ from their stored values.
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

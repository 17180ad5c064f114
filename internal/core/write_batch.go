package core

import (
	"encoding/json"

	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// writeBatch is a transaction being put together, and what is to be done with its outcome.
type writeBatch struct {
	txn        wire.Txn
	maxChanges int
	size       int // of the body, about
	conditions map[string]bool
	chunks     []*recordChunk
	placements []*placement // that may start once this is applied
	endings    []*job
	cancels    []batchedCancel
	orphans    []wire.Condition
}

// putOverhead is what a change takes in the body beside its value, about.
const putOverhead = 128

// newBatch begins a transaction that is conditional on the term.
func (w *writer) newBatch() *writeBatch {
	b := &writeBatch{maxChanges: min(w.leader.core.limits.maxChanges(), int(w.budget.Tokens())), conditions: map[string]bool{}}
	b.addCondition(stored.TermKey, w.leader.termVersion)
	return b
}

// hasRoom reports whether so many more changes go in.
func (b *writeBatch) hasRoom(changes int) bool { return len(b.txn.Then)+changes <= b.maxChanges }

// addCondition makes the transaction conditional on a key's version.
func (b *writeBatch) addCondition(key string, version uint64) {
	if !b.conditions[key] {
		b.conditions[key] = true
		b.txn.If = append(b.txn.If, wire.Condition{Key: key, Version: version})
	}
}

// put adds the write of a key.
func (b *writeBatch) put(key string, value json.RawMessage) {
	b.txn.Then = append(b.txn.Then, wire.Op{Put: key, Value: value})
	b.size += len(value) + putOverhead
}

// delete adds the deletion of a key, if it is at a version then.
func (b *writeBatch) delete(key string, version uint64) {
	b.addCondition(key, version)
	b.txn.Then = append(b.txn.Then, wire.Op{Delete: key})
}

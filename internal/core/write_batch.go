package core

import (
	"encoding/json"

	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// writeBatch is a transaction under construction, with the objects that its outcome affects.
type writeBatch struct {
	txn        wire.Txn
	maxChanges int
	bodyBytes  int // approximate size of the request body
	conditions map[string]bool
	chunks     []*recordChunk
	placements []*placement // may be started once the transaction is applied
	endings    []*job
	cancels    []batchedCancel
	orphans    []wire.Condition
}

// putOverheadBytes is roughly the number of bytes that a change adds to the request body besides its value.
const putOverheadBytes = 128

// newBatch returns an empty transaction that is conditional on the term.
func (w *writer) newBatch() *writeBatch {
	b := &writeBatch{maxChanges: min(w.leader.core.limits.maxChanges(), int(w.budget.Tokens())), conditions: map[string]bool{}}
	b.addCondition(stored.TermKey, w.leader.termVersion)
	return b
}

// hasRoom reports whether the batch has room for the given number of further changes.
func (b *writeBatch) hasRoom(changes int) bool { return len(b.txn.Then)+changes <= b.maxChanges }

// maxBatchBytes bounds the values of a transaction with several changes. The rest of a request body is for conditions.
const maxBatchBytes = wire.MaxBodyBytes * 3 / 4

// hasBytes reports whether the batch has room for a value of the given size. The first value always has room.
func (b *writeBatch) hasBytes(size int) bool {
	return len(b.txn.Then) == 0 || b.bodyBytes+size+putOverheadBytes <= maxBatchBytes
}

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
	b.bodyBytes += len(value) + putOverheadBytes
}

// delete adds the deletion of a key, conditional on its version.
func (b *writeBatch) delete(key string, version uint64) {
	b.addCondition(key, version)
	b.txn.Then = append(b.txn.Then, wire.Op{Delete: key})
}

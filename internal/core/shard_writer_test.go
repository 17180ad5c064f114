package core

import (
	"encoding/json"
	"slices"
	"testing"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// TestShardChanges checks that only shards that differ from their stored values are written. An empty shard that was
// never written is not written, but one that becomes empty is.
func TestShardChanges(t *testing.T) {
	s := newShardWriter(nil, stored.TaskCountKey)
	s.written[stored.TaskCountKey(1)] = `{"a":[1,0]}`
	s.written[stored.TaskCountKey(2)] = `{"b":[1,0]}`
	s.written[stored.TaskCountKey(3)] = stored.EmptyShard
	values := []string{stored.EmptyShard, `{"a":[1,0]}`, stored.EmptyShard, stored.EmptyShard, `{"c":[2,1]}`}
	var encoded []json.RawMessage
	for _, value := range values {
		encoded = append(encoded, json.RawMessage(value))
	}
	var got []string
	for _, op := range s.changes(encoded) {
		got = append(got, op.Put+"="+string(op.Value))
	}
	if want := []string{"w/n/2={}", `w/n/4={"c":[2,1]}`}; !slices.Equal(got, want) {
		t.Errorf("got changes %v, want those of shards 2 and 4", got)
	}
}

// TestConflictingKeys checks that failed conditions are returned only if the outcome is a conflict.
func TestConflictingKeys(t *testing.T) {
	failed := wire.TxnResponse{Failed: []string{stored.TermKey}}
	if keys := (Result{Outcome: outcome.Conflict, Txn: failed}).conflictingKeys(); len(keys) != 1 || !keys[stored.TermKey] {
		t.Errorf("after a conflict: got keys %v, want only the term", keys)
	}
	if keys := (Result{Outcome: outcome.Unknown, Txn: failed}).conflictingKeys(); len(keys) != 0 {
		t.Errorf("after an unknown outcome: got keys %v, want none", keys)
	}
}

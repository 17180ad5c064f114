package core

import (
	"time"

	"bitternwing/internal/membership"
	"bitternwing/internal/outcome"
	"bitternwing/internal/rollout"
	"bitternwing/internal/wire"
)

// Result is the result of a call. Of the fields after SentAt only the one that belongs to the call's type is set.
type Result struct {
	CallID  uint64
	Outcome outcome.Outcome
	SentAt  time.Duration // monotonic time just before the request was sent

	// Results of the key-value store.
	Item    wire.Item          // StoreGet
	Page    wire.Page          // StoreList
	Txn     wire.TxnResponse   // StoreTxn
	Lease   uint64             // StoreGrantLease
	Changes wire.WatchResponse // StoreWatch

	// Results of the cloud.
	Catalog      wire.Catalog     // CloudCatalog
	MachineNames []string         // CloudScaleOut
	Machines     wire.MachineList // CloudList

	// Results of workers, replicas and peers.
	Heartbeat wire.Heartbeat      // SendCommands, QueryWorker
	ReadyS    float64             // PrefetchImage: seconds until the image is available
	Probe     rollout.ProbeResult // ProbeReplica
	Peer      membership.Status   // QueryPeer
}

func (Result) input() {}

// failedKeys returns the keys of the transaction conditions that failed.
func (r Result) failedKeys() map[string]bool {
	failed := make(map[string]bool, len(r.Txn.Failed))
	for _, key := range r.Txn.Failed {
		failed[key] = true
	}
	return failed
}

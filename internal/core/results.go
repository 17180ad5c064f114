package core

import (
	"time"

	"bitternwing/internal/membership"
	"bitternwing/internal/outcome"
	"bitternwing/internal/rollout"
	"bitternwing/internal/wire"
)

// Result is the result of a call. Of the fields below SentAt the one is set that belongs to the kind of the call.
type Result struct {
	CallID  uint64
	Outcome outcome.Outcome
	SentAt  time.Duration // steady time just before the request was sent

	// Of the key-value store.
	Item    wire.Item          // StoreGet
	Page    wire.Page          // StoreList
	Txn     wire.TxnResponse   // StoreTxn
	Lease   uint64             // StoreGrantLease
	Changes wire.WatchResponse // StoreWatch

	// Of the cloud.
	Catalog      wire.Catalog     // CloudCatalog
	MachineNames []string         // CloudScaleOut
	Machines     wire.MachineList // CloudList

	// Of workers, replicas and peers.
	Heartbeat wire.Heartbeat      // SendCommands, QueryWorker
	ReadyS    float64             // PrefetchImage: until the image is there
	Probe     rollout.ProbeResult // ProbeReplica
	Peer      membership.Status   // QueryPeer
}

func (Result) input() {}

// failedKeys gives the keys of a transaction's conditions that failed.
func (r Result) failedKeys() map[string]bool {
	failed := make(map[string]bool, len(r.Txn.Failed))
	for _, key := range r.Txn.Failed {
		failed[key] = true
	}
	return failed
}

package core

import (
	"time"

	"bitternwing/internal/wire"
)

// Calls to the key-value store.

// StoreGet reads a key.
type StoreGet struct {
	CallID uint64
	Key    string
}

// StoreList reads one page of the keys with a prefix, those after a given key.
type StoreList struct {
	CallID        uint64
	Prefix, After string
}

// StoreTxn executes a transaction: a compare-and-swap on several keys.
type StoreTxn struct {
	CallID uint64
	Txn    wire.Txn
}

// StoreGrantLease requests a lease.
type StoreGrantLease struct {
	CallID uint64
	TTL    time.Duration
}

// StoreRenewLease renews a lease.
type StoreRenewLease struct{ CallID, Lease uint64 }

// StoreRevokeLease revokes a lease.
type StoreRevokeLease struct{ CallID, Lease uint64 }

// StoreWatch waits for changes after a revision to the keys with a prefix.
type StoreWatch struct {
	CallID uint64
	Prefix string
	After  uint64
	Wait   time.Duration
}

func (StoreGet) effect()         {}
func (StoreList) effect()        {}
func (StoreTxn) effect()         {}
func (StoreGrantLease) effect()  {}
func (StoreRenewLease) effect()  {}
func (StoreRevokeLease) effect() {}
func (StoreWatch) effect()       {}

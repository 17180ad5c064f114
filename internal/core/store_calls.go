package core

import (
	"time"

	"bitternwing/internal/wire"
)

// Effects that call the key-value store.

// StoreGet reads a key.
type StoreGet struct {
	CallID uint64
	Key    string
}

// StoreList reads a page of the keys that begin with Prefix and sort after After.
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

// StoreWatch waits at most Wait for changes, after the revision After, of keys that begin with Prefix.
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

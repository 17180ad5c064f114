package core

import (
	"time"

	"bitternwing/internal/wire"
)

// Calls of the key-value store.

// StoreGet reads a key.
type StoreGet struct {
	CallID uint64
	Key    string
}

// StoreList reads the keys below a prefix, a page at a time.
type StoreList struct {
	CallID        uint64
	Prefix, After string
}

// StoreTxn carries out a transaction: a compare-and-swap of several keys.
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

// StoreWatch waits for changes of the keys below a prefix.
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

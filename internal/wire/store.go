package wire

import "encoding/json"

// Item is a key of the state service with its value.
type Item struct {
	Key     string          `json:"path"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"`
	Lease   uint64          `json:"permit,omitempty"`
}

// Page is a page of keys.
type Page struct {
	Items    []Item `json:"items"`
	More     bool   `json:"truncated"`
	Revision uint64 `json:"epoch"`
}

// MaxItems is the most items in a page.
const MaxItems = 1000

// Condition is a condition of a transaction; version 0: the key does not exist.
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"stamp"`
}

// Op is a change of a transaction: a put or a delete.
type Op struct {
	Put    string          `json:"put,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  uint64          `json:"permit,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

// Txn is a transaction.
type Txn struct {
	If   []Condition `json:"when"`
	Then []Op        `json:"apply,omitempty"`
}

// TxnResponse is the answer to a transaction.
type TxnResponse struct {
	Failed   []string `json:"failed"`
	Revision uint64   `json:"epoch"`
}

// LeaseRequest and LeaseAnswer make a lease.
type LeaseRequest struct {
	TTLMillis int64 `json:"life_ms"`
}

// LeaseResponse names the lease made.
type LeaseResponse struct {
	Lease uint64 `json:"permit"`
}

// Event is a change seen by a watch.
type Event struct {
	Put     string          `json:"put,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	Version uint64          `json:"stamp"`
	Delete  string          `json:"delete,omitempty"`
}

// WatchResponse is the answer of a watch.
type WatchResponse struct {
	Revision uint64  `json:"epoch"`
	Events   []Event `json:"log"`
}

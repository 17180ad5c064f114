package wire

import "encoding/json"

// Item is a key of the key-value store with its value.
type Item struct {
	Key     string          `json:"path"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"`
	Lease   uint64          `json:"permit,omitempty"`
}

// Page is a page of items, in order of their keys.
type Page struct {
	Items    []Item `json:"items"`
	More     bool   `json:"truncated"`
	Revision uint64 `json:"epoch"`
}

// MaxItems is the most items in a page.
const MaxItems = 1000

// Condition is a condition of a compare-and-swap: the version of a key; 0: the key does not exist.
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"stamp"`
}

// Op is an operation of a transaction: a put or a delete.
type Op struct {
	Put    string          `json:"put,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  uint64          `json:"permit,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

// Txn is a compare-and-swap transaction: all operations are applied if all conditions hold, or none.
type Txn struct {
	If   []Condition `json:"when"`
	Then []Op        `json:"apply,omitempty"`
}

// TxnResponse is the response to a transaction, with the keys whose conditions failed.
type TxnResponse struct {
	Failed   []string `json:"failed"`
	Revision uint64   `json:"epoch"`
}

// LeaseRequest requests a lease.
type LeaseRequest struct {
	TTLMillis int64 `json:"life_ms"`
}

// LeaseResponse names the granted lease.
type LeaseResponse struct {
	Lease uint64 `json:"permit"`
}

// Event is a change that a watch returns.
type Event struct {
	Put     string          `json:"put,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	Version uint64          `json:"stamp"`
	Delete  string          `json:"delete,omitempty"`
}

// WatchResponse is the response to a watch.
type WatchResponse struct {
	Revision uint64  `json:"epoch"`
	Events   []Event `json:"log"`
}

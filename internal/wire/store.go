package wire

import "encoding/json"

// Item is a key of the key-value store with its value.
type Item struct {
	Key     string          `json:"path"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"`
	Lease   uint64          `json:"permit,omitempty"`
}

// Page is a page of a list of items, ordered by key.
type Page struct {
	Items    []Item `json:"items"`
	More     bool   `json:"truncated"`
	Revision uint64 `json:"epoch"`
}

// MaxPageItems is the maximum number of items in a page.
const MaxPageItems = 1000

// Condition is a condition of a transaction: the key has this version, or does not exist if Version is 0.
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"stamp"`
}

// Op is an operation of a transaction. Put is the key of a put, Delete the key of a delete; one of them is set.
type Op struct {
	Put    string          `json:"put,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  uint64          `json:"permit,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

// Txn is a compare-and-swap transaction. If all conditions hold, all operations are applied; otherwise none is.
type Txn struct {
	If   []Condition `json:"when"`
	Then []Op        `json:"apply,omitempty"`
}

// TxnResponse is the response to a transaction. Failed are the keys whose conditions did not hold.
type TxnResponse struct {
	Failed   []string `json:"failed"`
	Revision uint64   `json:"epoch"`
}

// LeaseRequest requests a lease with a time to live.
type LeaseRequest struct {
	TTLMillis int64 `json:"life_ms"`
}

// LeaseResponse is the ID of a granted lease.
type LeaseResponse struct {
	Lease uint64 `json:"permit"`
}

// Event is a change that a watch returns. Put is the key of a put, Delete the key of a delete; one of them is set.
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

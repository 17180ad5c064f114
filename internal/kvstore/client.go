// Package kvstore is the client of the consensus-backed key-value store that keeps the controllers' state: reads, compare-and-swap
// transactions, leases and watches.
package kvstore

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"bitternwing/internal/httpclient"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// Client sends requests to the key-value store.
type Client struct{ http *httpclient.Client }

// maxPageBytes is the most bytes that the store puts into a page of keys.
const maxPageBytes = 512 << 10

// New makes a client that sends at most perSecond requests a second. memory bounds what
// is read of a response: the response to a watch has no limit of its own.
func New(addr string, perSecond float64, conns int, memory int64) *Client {
	return &Client{httpclient.New(addr, perSecond, conns, max(2*maxPageBytes, memory))}
}

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (wire.Item, outcome.Outcome) {
	var item wire.Item
	o := c.http.Do(ctx, "GET", "/kv/"+key, nil, &item)
	if o == outcome.OK && item.Version == 0 {
		o = outcome.Unknown
	}
	return item, o
}

// List reads a page of the keys below a prefix, after a key.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (wire.Page, outcome.Outcome) {
	q := url.Values{"under": {prefix}, "limit": {strconv.Itoa(limit)}}
	if after != "" {
		q.Set("after", after)
	}
	var page wire.Page
	o := c.http.Do(ctx, "GET", "/kv?"+q.Encode(), nil, &page)
	return page, o
}

// Txn runs a transaction: all its changes are applied if all its conditions hold, or none.
func (c *Client) Txn(ctx context.Context, txn wire.Txn) (wire.TxnResponse, outcome.Outcome) {
	if txn.If == nil {
		txn.If = []wire.Condition{}
	}
	var response wire.TxnResponse
	o := c.http.Do(ctx, "POST", "/txn", txn, &response)
	if o == outcome.OK && response.Revision == 0 && len(txn.Then) > 0 {
		o = outcome.Unknown
	}
	return response, o
}

// GrantLease creates a lease.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, outcome.Outcome) {
	var response wire.LeaseResponse
	o := c.http.Do(ctx, "POST", "/grants", wire.LeaseRequest{TTLMillis: ttl.Milliseconds()}, &response)
	if o == outcome.OK && response.Lease == 0 {
		o = outcome.Unknown
	}
	return response.Lease, o
}

// RenewLease renews a lease for its whole time to live.
func (c *Client) RenewLease(ctx context.Context, lease uint64) outcome.Outcome {
	return c.http.Do(ctx, "POST", fmt.Sprintf("/grants/%d/extend", lease), struct{}{}, nil)
}

// RevokeLease ends a lease, and deletes the keys that are attached to it.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) outcome.Outcome {
	return c.http.Do(ctx, "DELETE", fmt.Sprintf("/grants/%d", lease), nil, nil)
}

// Watch returns the changes of keys below a prefix after a revision; it blocks until there are some, for wait at most.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (wire.WatchResponse, outcome.Outcome) {
	q := url.Values{"under": {prefix}, "after": {strconv.FormatUint(after, 10)},
		"block_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	var changes wire.WatchResponse
	o := c.http.Do(ctx, "GET", "/changes?"+q.Encode(), nil, &changes)
	return changes, o
}

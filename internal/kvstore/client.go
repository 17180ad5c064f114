// Package kvstore is a client of the consensus-backed key-value store that holds the controllers' state. It supports
// reads, compare-and-swap transactions, leases and watches.
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

// Client is a client of the key-value store.
type Client struct{ http *httpclient.Client }

// maxPageBytes is the maximum size of a page of keys as returned by the store.
const maxPageBytes = 512 << 10

// New returns a client that sends at most requestsPerSecond requests per second over at most maxConnections
// connections. A response may have up to maxResponseBytes bytes, but at least two full pages. This limit is needed
// because the store does not limit the size of a watch response.
func New(addr string, requestsPerSecond float64, maxConnections int, maxResponseBytes int64) *Client {
	return &Client{httpclient.New(addr, requestsPerSecond, maxConnections, max(2*maxPageBytes, maxResponseBytes))}
}

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (wire.Item, outcome.Outcome) {
	var item wire.Item
	result := c.http.Do(ctx, "GET", "/kv/"+key, nil, &item)
	if result == outcome.OK && item.Version == 0 {
		result = outcome.Unknown
	}
	return item, result
}

// List reads a page of up to limit keys with a prefix, starting after the given key.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (wire.Page, outcome.Outcome) {
	query := url.Values{"under": {prefix}, "limit": {strconv.Itoa(limit)}}
	if after != "" {
		query.Set("after", after)
	}
	var page wire.Page
	result := c.http.Do(ctx, "GET", "/kv?"+query.Encode(), nil, &page)
	return page, result
}

// Txn runs a transaction: if all conditions hold, all changes are applied, otherwise none.
func (c *Client) Txn(ctx context.Context, txn wire.Txn) (wire.TxnResponse, outcome.Outcome) {
	if txn.If == nil {
		txn.If = []wire.Condition{}
	}
	var response wire.TxnResponse
	result := c.http.Do(ctx, "POST", "/txn", txn, &response)
	if result == outcome.OK && response.Revision == 0 && len(txn.Then) > 0 {
		result = outcome.Unknown
	}
	return response, result
}

// GrantLease requests a lease with the given time to live.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, outcome.Outcome) {
	var response wire.LeaseResponse
	result := c.http.Do(ctx, "POST", "/grants", wire.LeaseRequest{TTLMillis: ttl.Milliseconds()}, &response)
	if result == outcome.OK && response.Lease == 0 {
		result = outcome.Unknown
	}
	return response.Lease, result
}

// RenewLease extends a lease by its full time to live.
func (c *Client) RenewLease(ctx context.Context, lease uint64) outcome.Outcome {
	return c.http.Do(ctx, "POST", fmt.Sprintf("/grants/%d/extend", lease), struct{}{}, nil)
}

// RevokeLease ends a lease and deletes the keys that are attached to it.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) outcome.Outcome {
	return c.http.Do(ctx, "DELETE", fmt.Sprintf("/grants/%d", lease), nil, nil)
}

// Watch returns the changes of keys with a prefix after a revision. If there are none, it blocks until there are, for
// at most the given wait.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (wire.WatchResponse, outcome.Outcome) {
	query := url.Values{"under": {prefix}, "after": {strconv.FormatUint(after, 10)},
		"block_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	var changes wire.WatchResponse
	result := c.http.Do(ctx, "GET", "/changes?"+query.Encode(), nil, &changes)
	return changes, result
}

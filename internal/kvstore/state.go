// Package kvstore is the client of the state service.
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

// Client talks to the state service.
type Client struct{ c *httpclient.Client }

// maxPage is the most that the service puts into a page of keys.
const maxPage = 512 << 10

// New makes a client that sends at most perSecond requests a second. memory bounds what
// is read of an answer: the answer to a watch has no limit of its own.
func New(addr string, perSecond float64, conns int, memory int64) *Client {
	return &Client{httpclient.New(addr, perSecond, conns, max(2*maxPage, memory))}
}

// Get reads a key.
func (s *Client) Get(ctx context.Context, key string) (wire.Item, outcome.Outcome) {
	var item wire.Item
	o := s.c.Do(ctx, "GET", "/kv/"+key, nil, &item)
	if o == outcome.OK && item.Version == 0 {
		o = outcome.Unknown
	}
	return item, o
}

// List reads a page of the keys below a prefix, after a key.
func (s *Client) List(ctx context.Context, prefix, after string, limit int) (wire.Page, outcome.Outcome) {
	q := url.Values{"under": {prefix}, "limit": {strconv.Itoa(limit)}}
	if after != "" {
		q.Set("after", after)
	}
	var page wire.Page
	o := s.c.Do(ctx, "GET", "/kv?"+q.Encode(), nil, &page)
	return page, o
}

// Txn runs a transaction.
func (s *Client) Txn(ctx context.Context, txn wire.Txn) (wire.TxnResponse, outcome.Outcome) {
	if txn.If == nil {
		txn.If = []wire.Condition{}
	}
	var a wire.TxnResponse
	o := s.c.Do(ctx, "POST", "/txn", txn, &a)
	if o == outcome.OK && a.Revision == 0 && len(txn.Then) > 0 {
		o = outcome.Unknown
	}
	return a, o
}

// Grant makes a lease.
func (s *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, outcome.Outcome) {
	var a wire.LeaseResponse
	o := s.c.Do(ctx, "POST", "/grants", wire.LeaseRequest{TTLMillis: ttl.Milliseconds()}, &a)
	if o == outcome.OK && a.Lease == 0 {
		o = outcome.Unknown
	}
	return a.Lease, o
}

// Extend renews a lease.
func (s *Client) Extend(ctx context.Context, lease uint64) outcome.Outcome {
	return s.c.Do(ctx, "POST", fmt.Sprintf("/grants/%d/extend", lease), struct{}{}, nil)
}

// Revoke ends a lease.
func (s *Client) Revoke(ctx context.Context, lease uint64) outcome.Outcome {
	return s.c.Do(ctx, "DELETE", fmt.Sprintf("/grants/%d", lease), nil, nil)
}

// Watch waits for changes below a prefix after a revision.
func (s *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (wire.WatchResponse, outcome.Outcome) {
	q := url.Values{"under": {prefix}, "after": {strconv.FormatUint(after, 10)},
		"block_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	var c wire.WatchResponse
	o := s.c.Do(ctx, "GET", "/changes?"+q.Encode(), nil, &c)
	return c, o
}

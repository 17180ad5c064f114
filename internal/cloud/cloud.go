// Package cloud is the client of the cloud's interface.
package cloud

import (
	"context"
	"net/url"
	"strconv"

	"bitternwing/internal/httpclient"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

const maxResponseBytes = 4 << 20

// Client talks to the cloud.
type Client struct{ http *httpclient.Client }

// New makes a client that sends at most perSecond requests a second.
func New(addr string, perSecond float64, conns int) *Client {
	return &Client{httpclient.New(addr, perSecond, conns, maxResponseBytes)}
}

// Catalog reads the machine types.
func (c *Client) Catalog(ctx context.Context) (wire.Catalog, outcome.Outcome) {
	var cat wire.Catalog
	o := c.http.Do(ctx, "GET", "/catalog", nil, &cat)
	if o == outcome.OK && len(cat.Types) == 0 {
		o = outcome.Unknown
	}
	return cat, o
}

// ScaleOut rents machines. A refusal means that nothing was rented.
func (c *Client) ScaleOut(ctx context.Context, r wire.ScaleOutRequest) (wire.MachineNames, outcome.Outcome) {
	var n wire.MachineNames
	o := c.http.Do(ctx, "POST", "/rentals", r, &n)
	return n, o
}

// ScaleIn gives machines back.
func (c *Client) ScaleIn(ctx context.Context, names []string) outcome.Outcome {
	return c.http.Do(ctx, "POST", "/rentals/release", wire.MachineNames{Machines: names}, nil)
}

// List reads a page of the machine list.
func (c *Client) List(ctx context.Context, after string) (wire.MachineList, outcome.Outcome) {
	q := url.Values{"limit": {strconv.Itoa(wire.MaxList)}}
	if after != "" {
		q.Set("after", after)
	}
	var l wire.MachineList
	o := c.http.Do(ctx, "GET", "/rentals?"+q.Encode(), nil, &l)
	return l, o
}

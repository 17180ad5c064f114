// Package cloud is the client of the cloud's interface: its catalog of machine types, scale-out, scale-in, and the list
// of machines. It retries nothing: the caller learns the outcome of each request.
package cloud

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"bitternwing/internal/httpclient"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// The paths of the cloud's interface.
const (
	catalogPath  = "/catalog"
	machinesPath = "/rentals"
	scaleInPath  = "/rentals/release"
)

// maxResponseBytes bounds a response: a page of the list of machines is the largest.
const maxResponseBytes = 4 << 20

// Client calls the cloud.
type Client struct{ http *httpclient.Client }

// New makes a client that sends at most perSecond requests a second.
func New(addr string, perSecond float64, connections int) *Client {
	return &Client{httpclient.New(addr, perSecond, connections, maxResponseBytes)}
}

// Catalog reads the machine types.
func (c *Client) Catalog(ctx context.Context) (wire.Catalog, outcome.Outcome) {
	var catalog wire.Catalog
	o := c.http.Do(ctx, http.MethodGet, catalogPath, nil, &catalog)
	if o == outcome.OK && len(catalog.Types) == 0 {
		o = outcome.Unknown
	}
	return catalog, o
}

// ScaleOut requests machines. Unless the outcome is OK or unknown, none were created.
func (c *Client) ScaleOut(ctx context.Context, request wire.ScaleOutRequest) (wire.MachineNames, outcome.Outcome) {
	var names wire.MachineNames
	o := c.http.Do(ctx, http.MethodPost, machinesPath, request, &names)
	return names, o
}

// ScaleIn returns machines to the cloud.
func (c *Client) ScaleIn(ctx context.Context, names []string) outcome.Outcome {
	return c.http.Do(ctx, http.MethodPost, scaleInPath, wire.MachineNames{Machines: names}, nil)
}

// List reads the page of the machine list that begins after a name.
func (c *Client) List(ctx context.Context, after string) (wire.MachineList, outcome.Outcome) {
	query := url.Values{"limit": {strconv.Itoa(wire.MaxList)}}
	if after != "" {
		query.Set("after", after)
	}
	var page wire.MachineList
	o := c.http.Do(ctx, http.MethodGet, machinesPath+"?"+query.Encode(), nil, &page)
	return page, o
}

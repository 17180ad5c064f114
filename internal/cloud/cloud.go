// Package cloud is a client of the cloud provider's API: the catalog of machine types, scale-out, scale-in and the list
// of machines. It does not retry requests; it returns the outcome of each one to the caller.
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

// The paths of the cloud's API.
const (
	catalogPath  = "/catalog"
	machinesPath = "/rentals"
	scaleInPath  = "/rentals/release"
)

// maxResponseBytes is the maximum size of a response. The largest responses are pages of the machine list.
const maxResponseBytes = 4 << 20

// Client sends requests to the cloud.
type Client struct{ http *httpclient.Client }

// New creates a client that sends at most requestsPerSecond requests per second over at most maxConnections
// connections.
func New(addr string, requestsPerSecond float64, maxConnections int) *Client {
	return &Client{httpclient.New(addr, requestsPerSecond, maxConnections, maxResponseBytes)}
}

// Catalog returns the catalog of machine types. A catalog without types has an unknown outcome.
func (c *Client) Catalog(ctx context.Context) (wire.Catalog, outcome.Outcome) {
	var catalog wire.Catalog
	result := c.http.Do(ctx, http.MethodGet, catalogPath, nil, &catalog)
	if result == outcome.OK && len(catalog.Types) == 0 {
		result = outcome.Unknown
	}
	return catalog, result
}

// ScaleOut requests machines. If the outcome is neither OK nor Unknown, no machines were created.
func (c *Client) ScaleOut(ctx context.Context, request wire.ScaleOutRequest) (wire.MachineNames, outcome.Outcome) {
	var names wire.MachineNames
	result := c.http.Do(ctx, http.MethodPost, machinesPath, request, &names)
	return names, result
}

// ScaleIn releases machines.
func (c *Client) ScaleIn(ctx context.Context, names []string) outcome.Outcome {
	return c.http.Do(ctx, http.MethodPost, scaleInPath, wire.MachineNames{Machines: names}, nil)
}

// List returns the page of the machine list that begins after a machine name, or the first page if the name is empty.
func (c *Client) List(ctx context.Context, after string) (wire.MachineList, outcome.Outcome) {
	query := url.Values{"limit": {strconv.Itoa(wire.MaxPageMachines)}}
	if after != "" {
		query.Set("after", after)
	}
	var page wire.MachineList
	result := c.http.Do(ctx, http.MethodGet, machinesPath+"?"+query.Encode(), nil, &page)
	return page, result
}

package node

import (
	"fmt"
	"math"
	"time"

	"bitternwing/internal/cloud"
	"bitternwing/internal/config"
	"bitternwing/internal/httpclient"
	"bitternwing/internal/kvstore"
	"bitternwing/internal/peer"
	"bitternwing/internal/probe"
)

// clients are the clients for all services that a node calls.
type clients struct {
	store       *kvstore.Client
	cloud       *cloud.Client
	workers     *httpclient.Client
	peers       map[string]*peer.Client   // the other nodes, by name
	regions     map[string][]*peer.Client // the controllers of other regions, by region
	prober      *probe.Prober
	callTimeout time.Duration
}

const (
	// storeConnectionDivisor, workerConnectionDivisor and probeConnectionDivisor divide the node's connection limit into
	// the limit of each client.
	storeConnectionDivisor  = 40
	workerConnectionDivisor = 12
	probeConnectionDivisor  = 40
	// minClientConnections is the lower bound of these limits.
	minClientConnections = 4
	// cloudConnections is the connection limit of the cloud client. A node makes few calls to the cloud.
	cloudConnections = 4
	// storeMemoryShare is the maximum size of a response of the key-value store as a share of the node's memory.
	storeMemoryShare = 1.0 / 32
	// maxWorkerResponseBytes is the maximum size of a worker's response.
	maxWorkerResponseBytes = 1 << 20
	// storeRateShares is the rate limit of a node's calls to the key-value store, in even shares of the store's limit
	// among the controllers. The leader needs more than an even share, and the controllers never all reach their limit
	// at once.
	storeRateShares = 2
)

const bytesPerMB = 1 << 20

// newClients creates the clients. They connect on their first calls.
func newClients(settings *config.Settings) (*clients, error) {
	params := settings.Params
	connections := params.Limits.MaxConnections
	nodes := float64(len(settings.Peers) + 1)
	storeRate := params.Store.Next.Effective(params.Store).RPS * math.Min(1, storeRateShares/nodes)
	c := &clients{
		store: kvstore.New(settings.Services.Store, storeRate, max(minClientConnections, connections/storeConnectionDivisor),
			int64(params.Limits.MemoryMB*bytesPerMB*storeMemoryShare)),
		cloud: cloud.New(settings.Services.Cloud, params.Cloud.RPS, cloudConnections),
		// One connection per worker; the core bounds how many are in use at once. The node's connection limit grows
		// with the number of workers, so it also serves as the limit of calls per second.
		workers: httpclient.NewMultiHost(float64(connections), 1, max(minClientConnections, connections/workerConnectionDivisor), maxWorkerResponseBytes),
		peers:   map[string]*peer.Client{},
		regions: map[string][]*peer.Client{},
		prober:  probe.New(max(minClientConnections, connections/probeConnectionDivisor)),
		// A tenth of the workers' lease. Calls must end well before their results are needed: workers wait at most four
		// seconds for a response, users two seconds for the response to a poll, and a leader's lease lasts twice this
		// timeout by default.
		callTimeout: config.FailureCheckInterval(params.Workers),
	}
	for _, p := range settings.Peers {
		client, err := peer.NewClient(settings.Node, p.Addr, c.callTimeout)
		if err != nil {
			return nil, fmt.Errorf("peer %s: %w", p.Node, err)
		}
		c.peers[p.Node] = client
	}
	if err := c.addRegions(settings); err != nil {
		return nil, err
	}
	return c, nil
}

// addRegions creates the clients for the controllers of other regions.
func (c *clients) addRegions(settings *config.Settings) error {
	for _, region := range settings.Operator.Regions.All {
		for _, address := range region.Controllers {
			if region.Name == settings.Operator.Regions.Name {
				continue
			}
			client, err := peer.NewClient(settings.Node, address, c.callTimeout)
			if err != nil {
				return fmt.Errorf("controller %s of region %s: %w", address, region.Name, err)
			}
			c.regions[region.Name] = append(c.regions[region.Name], client)
		}
	}
	return nil
}

// close closes the connections to other controllers.
func (c *clients) close() {
	for _, client := range c.peers {
		_ = client.Close()
	}
	for _, region := range c.regions {
		for _, client := range region {
			_ = client.Close()
		}
	}
}

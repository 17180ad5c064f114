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

// clients are the clients of all that a node calls.
type clients struct {
	store       *kvstore.Client
	cloud       *cloud.Client
	workers     *httpclient.Client
	peers       map[string]*peer.Client
	regions     map[string][]*peer.Client // the controllers of other regions
	prober      *probe.Prober
	callTimeout time.Duration
}

const (
	// connectionsPerStoreConnection, connectionsPerWorkerConnection and connectionsPerProbe divide the connections that
	// a node may hold among its clients.
	connectionsPerStoreConnection  = 40
	connectionsPerWorkerConnection = 12
	connectionsPerProbe            = 40
	// minConnections is what a client has at least.
	minConnections = 4
	// cloudConnections suffice for the few calls to the cloud.
	cloudConnections = 4
	// storeMemoryShare is the part of the node's memory that a response of the key-value store may take.
	storeMemoryShare = 1.0 / 32
	// maxWorkerResponseBytes bounds the response of a worker.
	maxWorkerResponseBytes = 1 << 20
	// leaderRateShare is the rate of a node's calls to the key-value store, in even shares of its limit: the leader needs
	// more than the others; all of them never need all.
	leaderRateShare = 2
)

const bytesPerMB = 1 << 20

// newClients makes the clients. They connect when they are needed.
func newClients(settings *config.Settings) (*clients, error) {
	params := settings.Params
	connections := params.Limits.MaxConnections
	nodes := float64(len(settings.Peers) + 1)
	storeRate := params.Store.Next.Effective(params.Store).RPS * math.Min(1, leaderRateShare/nodes)
	c := &clients{
		store: kvstore.New(settings.Services.Store, storeRate, max(minConnections, connections/connectionsPerStoreConnection),
			int64(params.Limits.MemoryMB*bytesPerMB*storeMemoryShare)),
		cloud: cloud.New(settings.Services.Cloud, params.Cloud.RPS, cloudConnections),
		// One connection a worker; the core bounds how many are in use at once.
		// As many calls a second as it may hold sockets, which follows the number of workers.
		workers: httpclient.NewMultiHost(float64(connections), 1, max(minConnections, connections/connectionsPerWorkerConnection), maxWorkerResponseBytes),
		peers:   map[string]*peer.Client{},
		regions: map[string][]*peer.Client{},
		prober:  probe.New(max(minConnections, connections/connectionsPerProbe)),
		// Workers wait four seconds at the most, users two for a poll, and a leader's lease
		// is twice as long.
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

// addRegions makes clients of the controllers of other regions.
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

// close ends the connections to other controllers.
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

package core_test

import (
	"strings"
	"testing"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/core"
	"bitternwing/internal/emulator"
	"bitternwing/internal/wire"
)

// traceHarness runs the nodes of a trace with a simulated key-value store, cloud and network. Calls return at once, and
// time advances only on the lines that say so.
type traceHarness struct {
	tb               testing.TB
	output           strings.Builder
	now              time.Duration
	store            *emulator.Store
	storeOutage      bool
	nodes            map[string]*traceNode
	nodeNames        []string // sorted
	lastRequestID    uint64
	peerPartition    string                     // "all", "zones" or the name of a node; "": none
	cycleBudget      float64                    // round_budget of nodes that start from now on; 0: the default
	spareShare       float64                    // spare_share of nodes that start from now on
	paceHeartbeats   bool                       // pace_reports of nodes that start from now on
	zoneByNode       map[string]string          // zone of each node; "": z1
	hiddenMachine    string                     // machine that is missing from the cloud's list; "": none
	workerHeartbeats map[string]*wire.Heartbeat // responses to status queries, by worker address
	commandFault     string                     // key of commandOutcomes
	upcomingLimits   *config.UpcomingLimits     // announced limits, for nodes that start from now on

	cloudDown, cloudExhausted bool
	machines                  map[string]*wire.Machine
	machinesCreated           int
}

// traceNode is a running node of a trace.
type traceNode struct {
	name                string
	oldVersion          bool // runs the version before the second record layout
	core                *core.Core
	storeFault          string // fault of its requests to the key-value store, or "none"
	delayedTransactions []core.StoreTxn
	heldResults         []core.Result // of transactions, until release_responses
	userStoreCalls      int           // transactions and reads for users, while the node does not lead
	watches             []core.StoreWatch
	watchesOpenedAt     time.Duration
}

// settings returns the settings of a node that starts now.
func (harness *traceHarness) settings(name string) *config.Settings {
	zone := func(node string) string {
		if z := harness.zoneByNode[node]; z != "" {
			return z
		}
		return "z1"
	}
	settings := &config.Settings{Node: name, Zone: zone(name), Operator: config.DefaultOperatorSettings()}
	for _, peer := range []string{"a", "b", "c"} {
		if peer != name {
			settings.Peers = append(settings.Peers, config.Peer{Node: peer, Zone: zone(peer), Addr: "127.0.0.1:1"})
		}
	}
	settings.Params = config.Params{Nodes: 3, Zones: []string{"z1", "z2"}, ClockErrorMS: 5,
		Teams:      []config.Team{{Name: "red", GuaranteedGPUs: 4, MaxGPUs: 8}, {Name: "blue", GuaranteedGPUs: 8, MaxGPUs: 16}, {Name: "green", GuaranteedGPUs: 40, MaxGPUs: 80}},
		Objectives: []config.Objective{{Kind: "finished", Class: "rush", WithinS: 150, Share: 0.9}},
		Workers:    config.Workers{HeartbeatIntervalS: 1, LeaseS: 10, CancelDeadlineS: 30},
		Store:      config.Store{RPS: 150, WriteRPS: 60, ValueKB: 16, TxnOps: 12},
		Cloud:      config.Cloud{RPS: 2, ListLagS: 5},
		Limits:     config.ProcessLimits{CPUShare: 0.06, MemoryMB: 98, MaxConnections: 600}}
	settings.Params.Store.Next = harness.upcomingLimits
	settings.Operator.SpareShare = harness.spareShare
	settings.Operator.PaceHeartbeats = harness.paceHeartbeats
	if harness.cycleBudget > 0 {
		settings.Operator.CycleBudget = harness.cycleBudget
	}
	return settings
}

var testCatalog = wire.Catalog{Types: []wire.MachineType{{Name: "g8", CPUs: 64, GPUs: 8, MemoryGB: 512, CacheGB: 300,
	FetchGBPerS: 4, Price: 16, SpotPrice: 5, BootS: 40, Zones: []string{"z1", "z2"}}}}

// advance advances the time, and wakes each node at the times it requests.
func (harness *traceHarness) advance(d time.Duration) {
	end := harness.now + d
	for harness.now < end {
		next := end
		for _, name := range harness.nodeNames {
			next = min(next, max(harness.now+time.Millisecond, harness.nodes[name].core.NextWake()))
		}
		harness.now = next
		if !harness.storeOutage {
			harness.store.AdvanceTo(harness.now)
		}
		for _, name := range append([]string(nil), harness.nodeNames...) {
			if node := harness.nodes[name]; node.core.NextWake() <= harness.now {
				harness.step(node, core.Tick{})
			}
		}
		harness.respondToWatches()
	}
}

// respondToWatches responds to watches that have changes or have timed out, until no more do.
func (harness *traceHarness) respondToWatches() {
	for progressed := true; progressed; {
		progressed = false
		for _, name := range append([]string(nil), harness.nodeNames...) {
			node := harness.nodes[name]
			watches := node.watches
			node.watches = nil
			for _, effect := range watches {
				if harness.storeOutage || node.storeFault != "none" && node.storeFault != "delay_transactions" && node.storeFault != "lose_lists" {
					node.watches = append(node.watches, effect)
					continue
				}
				changes, result := harness.store.Changes(effect.Prefix, effect.After)
				if len(changes.Events) == 0 && harness.now-node.watchesOpenedAt < effect.Wait {
					node.watches = append(node.watches, effect)
					continue
				}
				progressed = true
				harness.step(node, core.Result{CallID: effect.CallID, Outcome: result, Changes: changes, SentAt: node.watchesOpenedAt})
			}
		}
	}
}

// step passes an input to a node and executes the effects it returns.
func (harness *traceHarness) step(node *traceNode, input core.Input) {
	effects := append([]core.Effect(nil), node.core.Step(core.Time{Steady: harness.now, WallMS: int64(harness.now / time.Millisecond)}, input)...)
	var results []core.Result
	for _, effect := range effects {
		if result, ok := harness.executeEffect(node, effect); ok {
			result.SentAt = harness.now
			results = append(results, result)
		}
	}
	for _, result := range results {
		harness.step(node, result)
	}
}

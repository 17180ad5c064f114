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

// traceHarness is what surrounds the nodes in a trace: a state service, a cloud, links.
type traceHarness struct {
	tb               testing.TB
	out              strings.Builder
	now              time.Duration
	store            *emulator.Store
	outage           bool
	nodes            map[string]*traceNode
	nodeNames        []string
	lastRequest      uint64
	peerCut          string                     // "cut": no node reaches another, "zones": none in another zone
	cycleBudget      float64                    // the operators' round_budget, for nodes that start after
	spareShare       float64                    // the same for spare_share
	paceHeartbeats   bool                       // the same for pace_reports
	zones            map[string]string          // of nodes; "": z1
	hiddenMachine    string                     // a machine that lists lack
	workerHeartbeats map[string]*wire.Heartbeat // of workers that are asked directly, by address
	commandFault     string                     // what becomes of direct orders; "": carried out
	nextLimits       *config.UpcomingLimits     // in the settings of nodes that start after

	cloudDown, cloudExhausted bool
	machines                  map[string]*wire.Machine
	rented                    int
}

type traceNode struct {
	name                string
	oldVersion          bool // of the version before the second layout
	core                *core.Core
	storeMode           string // of its requests to the state service
	delayedTransactions []core.StoreTxn
	watches             []core.StoreWatch
	watchesOpenedAt     time.Duration
}

func (harness *traceHarness) settings(name string) *config.Settings {
	zone := func(node string) string {
		if z := harness.zones[node]; z != "" {
			return z
		}
		return "z1"
	}
	s := &config.Settings{Node: name, Zone: zone(name), Operator: config.DefaultOperatorSettings()}
	for _, p := range []string{"a", "b", "c"} {
		if p != name {
			s.Peers = append(s.Peers, config.Peer{Node: p, Zone: zone(p), Addr: "127.0.0.1:1"})
		}
	}
	s.Params = config.Params{Nodes: 3, Zones: []string{"z1", "z2"}, ClockErrorMS: 5,
		Teams:      []config.Team{{Name: "red", GuaranteedGPUs: 4, MaxGPUs: 8}, {Name: "blue", GuaranteedGPUs: 8, MaxGPUs: 16}, {Name: "green", GuaranteedGPUs: 40, MaxGPUs: 80}},
		Objectives: []config.Objective{{Kind: "finished", Class: "rush", WithinS: 150, Share: 0.9}},
		Workers:    config.Workers{HeartbeatIntervalS: 1, LeaseS: 10, CancelDeadlineS: 30},
		Store:      config.Store{RPS: 150, WriteRPS: 60, ValueKB: 16, TxnOps: 12},
		Cloud:      config.Cloud{RPS: 2, ListLagS: 5},
		Limits:     config.ProcessLimits{CPUShare: 0.06, MemoryMB: 98, MaxConnections: 600}}
	s.Params.Store.Next = harness.nextLimits
	s.Operator.SpareShare = harness.spareShare
	s.Operator.PaceHeartbeats = harness.paceHeartbeats
	if harness.cycleBudget > 0 {
		s.Operator.CycleBudget = harness.cycleBudget
	}
	return s
}

var testCatalog = wire.Catalog{Types: []wire.MachineType{{Name: "g8", CPUs: 64, GPUs: 8, MemoryGB: 512, CacheGB: 300,
	FetchGBPerS: 4, Price: 16, SpotPrice: 5, BootS: 40, Zones: []string{"z1", "z2"}}}}

// advance lets time pass: nodes are woken when they want to be.
func (harness *traceHarness) advance(d time.Duration) {
	end := harness.now + d
	for harness.now < end {
		next := end
		for _, name := range harness.nodeNames {
			next = min(next, max(harness.now+time.Millisecond, harness.nodes[name].core.NextWake()))
		}
		harness.now = next
		if !harness.outage {
			harness.store.AdvanceTo(harness.now)
		}
		for _, name := range append([]string(nil), harness.nodeNames...) {
			if node := harness.nodes[name]; node.core.NextWake() <= harness.now {
				harness.step(node, core.Tick{})
			}
		}
		harness.answerWatches()
	}
}

// answerWatches answers watches until nothing new comes.
func (harness *traceHarness) answerWatches() {
	for again := true; again; {
		again = false
		for _, name := range append([]string(nil), harness.nodeNames...) {
			node := harness.nodes[name]
			ws := node.watches
			node.watches = nil
			for _, effect := range ws {
				if harness.outage || node.storeMode != "serve" && node.storeMode != "slow" && node.storeMode != "nolist" {
					node.watches = append(node.watches, effect)
					continue
				}
				ch, got := harness.store.Changes(effect.Prefix, effect.After)
				if len(ch.Events) == 0 && harness.now-node.watchesOpenedAt < effect.Wait {
					node.watches = append(node.watches, effect)
					continue
				}
				again = true
				harness.step(node, core.Result{CallID: effect.CallID, Outcome: got, Changes: ch, SentAt: node.watchesOpenedAt})
			}
		}
	}
}

// step hands a node an input and carries out what it returns.
func (harness *traceHarness) step(node *traceNode, input core.Input) {
	effects := append([]core.Effect(nil), node.core.Step(core.Time{Steady: harness.now, WallMS: int64(harness.now / time.Millisecond)}, input)...)
	var results []core.Result
	for _, effect := range effects {
		if result, ok := harness.carryOut(node, effect); ok {
			result.SentAt = harness.now
			results = append(results, result)
		}
	}
	for _, result := range results {
		harness.step(node, result)
	}
}

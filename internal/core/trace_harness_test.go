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
	t       testing.TB
	out     strings.Builder
	now     time.Duration
	store   *emulator.Store
	outage  bool
	nodes   map[string]*node
	names   []string
	req     uint64
	cut     string                     // "cut": no node reaches another, "zones": none in another zone
	budget  float64                    // the operators' round_budget, for nodes that start after
	spare   float64                    // the same for spare_share
	paced   bool                       // the same for pace_reports
	zones   map[string]string          // of nodes; "": z1
	hidden  string                     // a machine that lists lack
	answers map[string]*wire.Heartbeat // of workers that are asked directly, by address
	orders  string                     // what becomes of direct orders; "": carried out
	next    *config.NextLimits         // in the settings of nodes that start after

	cloudDown, cloudNone bool
	machines             map[string]*wire.Machine
	rented               int
}

type node struct {
	name    string
	old     bool // of the version before the second layout
	core    *core.Core
	mode    string // of its requests to the state service
	held    []core.StoreTxn
	watches []core.StoreWatch
	opened  time.Duration
}

func (w *traceHarness) settings(name string) *config.Settings {
	zone := func(node string) string {
		if z := w.zones[node]; z != "" {
			return z
		}
		return "z1"
	}
	s := &config.Settings{Node: name, Zone: zone(name), Operator: config.DefaultOperator()}
	for _, p := range []string{"a", "b", "c"} {
		if p != name {
			s.Peers = append(s.Peers, config.Peer{Node: p, Zone: zone(p), Addr: "127.0.0.1:1"})
		}
	}
	s.Params = config.Params{Nodes: 3, Zones: []string{"z1", "z2"}, ClockErrorMS: 5,
		Teams:      []config.Team{{Name: "red", GuaranteedGPUs: 4, MaxGPUs: 8}, {Name: "blue", GuaranteedGPUs: 8, MaxGPUs: 16}, {Name: "green", GuaranteedGPUs: 40, MaxGPUs: 80}},
		Objectives: []config.Objective{{Kind: "finished", Class: "rush", WithinS: 150, Share: 0.9}},
		Workers:    config.Workers{HeartbeatIntervalS: 1, LeaseS: 10, CancelS: 30},
		Store:      config.Store{RPS: 150, WriteRPS: 60, ValueKB: 16, TxnOps: 12},
		Cloud:      config.Cloud{RPS: 2, ListLagS: 5},
		Limits:     config.Limits{CPUShare: 0.06, MemoryMB: 98, MaxConnections: 600}}
	s.Params.Store.Next = w.next
	s.Operator.SpareShare = w.spare
	s.Operator.PaceHeartbeats = w.paced
	if w.budget > 0 {
		s.Operator.CycleBudget = w.budget
	}
	return s
}

var catalog = wire.Catalog{Types: []wire.MachineType{{Name: "g8", CPUs: 64, GPUs: 8, MemoryGB: 512, CacheGB: 300,
	FetchGBPerS: 4, Price: 16, SpotPrice: 5, BootS: 40, Zones: []string{"z1", "z2"}}}}

// pass lets time pass: nodes are woken when they want to be.
func (w *traceHarness) pass(d time.Duration) {
	end := w.now + d
	for w.now < end {
		next := end
		for _, name := range w.names {
			next = min(next, max(w.now+time.Millisecond, w.nodes[name].core.Wake()))
		}
		w.now = next
		if !w.outage {
			w.store.AdvanceTo(w.now)
		}
		for _, name := range append([]string(nil), w.names...) {
			if n := w.nodes[name]; n.core.Wake() <= w.now {
				w.step(n, core.Tick{})
			}
		}
		w.settle()
	}
}

// settle answers watches until nothing new comes.
func (w *traceHarness) settle() {
	for again := true; again; {
		again = false
		for _, name := range append([]string(nil), w.names...) {
			n := w.nodes[name]
			ws := n.watches
			n.watches = nil
			for _, e := range ws {
				if w.outage || n.mode != "serve" && n.mode != "slow" && n.mode != "nolist" {
					n.watches = append(n.watches, e)
					continue
				}
				ch, o := w.store.Changes(e.Prefix, e.After)
				if len(ch.Events) == 0 && w.now-n.opened < e.Wait {
					n.watches = append(n.watches, e)
					continue
				}
				again = true
				w.step(n, core.Result{CallID: e.CallID, Outcome: o, Changes: ch, SentAt: n.opened})
			}
		}
	}
}

// step hands a node an input and carries out what it returns.
func (w *traceHarness) step(n *node, in core.Input) {
	effects := append([]core.Effect(nil), n.core.Step(core.Time{Steady: w.now, WallMS: int64(w.now / time.Millisecond)}, in)...)
	var results []core.Result
	for _, e := range effects {
		if r, ok := w.carryOut(n, e); ok {
			r.SentAt = w.now
			results = append(results, r)
		}
	}
	for _, r := range results {
		w.step(n, r)
	}
}

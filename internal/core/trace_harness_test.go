package core_test

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/core"
	"bitternwing/internal/emulator"
	"bitternwing/internal/outcome"
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

// jobWords set a field of a job to the value of a word in a trace; number is the value as a number.
var jobWords = map[string]func(j *wire.Job, value string, number float64){
	"tasks":    func(j *wire.Job, _ string, number float64) { j.Tasks = int(number) },
	"gpus":     func(j *wire.Job, _ string, number float64) { j.GPUs = number },
	"cpus":     func(j *wire.Job, _ string, number float64) { j.CPUs = number },
	"team":     func(j *wire.Job, value string, _ float64) { j.Team = value },
	"class":    func(j *wire.Job, value string, _ float64) { j.Class = value },
	"image":    func(j *wire.Job, value string, _ float64) { j.Image = value },
	"priority": func(j *wire.Job, value string, _ float64) { j.Priority = wire.Priority(value) },
	"zone":     func(j *wire.Job, value string, _ float64) { j.Zone = value },
	"type":     func(j *wire.Job, value string, _ float64) { j.MachineTypes = []string{value} },
	"needs":    func(j *wire.Job, value string, _ float64) { j.Dependencies = strings.Split(value, ",") },
	"deadline": func(j *wire.Job, _ string, number float64) { j.DeadlineS = &number },
	"estimate": func(j *wire.Job, _ string, number float64) { j.EstimatedRunS = number },
	"spread":   func(j *wire.Job, _ string, _ float64) { j.SpreadZones = true },
	"one_zone": func(j *wire.Job, _ string, _ float64) { j.SingleZone = true },
	"spot":     func(j *wire.Job, _ string, _ float64) { j.Spot = true },
	"save":     func(j *wire.Job, _ string, number float64) { j.CheckpointIntervalS, j.CheckpointTimeS = 10, number },
	"kind": func(j *wire.Job, value string, _ float64) {
		if value == "service" {
			j.Kind, j.EstimatedRunS = wire.KindService, 0
		}
	},
}

func (w *traceHarness) job(f []string) *wire.Job {
	j := &wire.Job{ID: f[0], Class: "c", Team: "red", Kind: wire.KindArray, Priority: "standard", Tasks: 1,
		CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 10, EstimatedRunS: 60}
	for _, word := range f[1:] {
		name, value, _ := strings.Cut(word, "=")
		set := jobWords[name]
		if set == nil {
			w.t.Fatalf("unknown: %s", word)
		}
		number, _ := strconv.ParseFloat(value, 64)
		set(j, value, number)
	}
	return j
}

func (w *traceHarness) report(f []string) *wire.Heartbeat {
	r := &wire.Heartbeat{Machine: f[0], Type: "g8", Zone: "z1"}
	if m := w.machines[r.Machine]; m != nil {
		r.Zone, r.Spot = m.Zone, m.Spot
	}
	for _, kv := range f[1:] {
		k, v, _ := strings.Cut(kv, "=")
		num, _ := strconv.ParseFloat(v, 64)
		switch k {
		case "session":
			r.Incarnation = uint64(num)
		case "seq":
			r.Sequence = uint64(num)
		case "token":
			// term, or term.count within the term
			term, count, _ := strings.Cut(v, ".")
			a, _ := strconv.ParseUint(term, 10, 64)
			b, _ := strconv.ParseUint(count, 10, 64)
			r.FencingToken = a*1_000_000 + b
		case "notice":
			r.ReclaimNoticeS = &num
		case "spot":
			r.Spot = true
		case "zone":
			r.Zone = v
		case "addr":
			r.Addr = v
		default:
			task, att, ok := strings.Cut(k, "#")
			a, err := strconv.ParseUint(att, 10, 64)
			if !ok || err != nil {
				w.t.Fatalf("unknown: %s", kv)
			}
			state, why, _ := strings.Cut(v, ":")
			r.Tasks = append(r.Tasks, wire.TaskStatus{Task: task, Attempt: a, State: wire.TaskState(state), Cause: wire.ExitCause(why)})
		}
	}
	return r
}

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

func (w *traceHarness) refused(n *node) bool { return w.outage || n.mode == "refuse" }

// lost tells whether the answers of requests other than transactions get lost, and
// gives them their result.
func (w *traceHarness) lost(n *node, r core.Result) (core.Result, bool) {
	switch {
	case w.refused(n):
		r = core.Result{CallID: r.CallID, Outcome: outcome.Unavailable}
	case n.mode == "hold" || n.mode == "lose":
		r = core.Result{CallID: r.CallID, Outcome: outcome.Unknown}
	case n.mode == "limit":
		r = core.Result{CallID: r.CallID, Outcome: outcome.Dropped}
	}
	return r, true
}

func (w *traceHarness) carryOut(n *node, e core.Effect) (core.Result, bool) {
	switch e := e.(type) {
	case core.Response:
		w.answer(n, e)
	case core.Log:
		if e.Level > core.Debug {
			var b strings.Builder
			for i := 0; i+1 < len(e.Fields); i += 2 {
				fmt.Fprintf(&b, " %v=%v", e.Fields[i], e.Fields[i+1])
			}
			w.say(n, "log %s%s", e.Message, b.String())
		}
	case core.StoreTxn:
		w.withinLimits(e.Txn)
		r := core.Result{CallID: e.CallID}
		switch {
		case w.refused(n):
			r.Outcome = outcome.Unavailable
		case n.mode == "limit":
			r.Outcome = outcome.Dropped
		case n.mode == "hold" || n.mode == "slow":
			n.held = append(n.held, e)
			r.Outcome = outcome.Unknown
		default:
			r.Txn, r.Outcome = w.store.Txn(e.Txn)
			if n.mode == "lose" {
				r = core.Result{CallID: e.CallID, Outcome: outcome.Unknown}
			}
		}
		if k := keysOf(e.Txn); k != "" {
			w.say(n, "writes %s: %s", k, r.Outcome)
		}
		return r, true
	case core.StoreGet:
		it, o := w.store.Get(e.Key)
		return w.lost(n, core.Result{CallID: e.CallID, Outcome: o, Item: it})
	case core.StoreList:
		if n.mode == "nolist" {
			return core.Result{CallID: e.CallID, Outcome: outcome.Unknown}, true
		}
		return w.lost(n, core.Result{CallID: e.CallID, Outcome: outcome.OK, Page: w.store.List(e.Prefix, e.After, 500)})
	case core.StoreGrantLease:
		if w.refused(n) || n.mode == "limit" {
			return w.lost(n, core.Result{CallID: e.CallID})
		}
		return w.lost(n, core.Result{CallID: e.CallID, Outcome: outcome.OK, Lease: w.store.GrantLease(e.TTL)})
	case core.StoreRenewLease:
		if w.refused(n) || n.mode == "hold" || n.mode == "limit" {
			return w.lost(n, core.Result{CallID: e.CallID})
		}
		return w.lost(n, core.Result{CallID: e.CallID, Outcome: w.store.RenewLease(e.Lease)})
	case core.StoreRevokeLease:
		if w.refused(n) || n.mode == "hold" || n.mode == "limit" {
			return w.lost(n, core.Result{CallID: e.CallID})
		}
		return w.lost(n, core.Result{CallID: e.CallID, Outcome: w.store.RevokeLease(e.Lease)})
	case core.StoreWatch:
		n.watches = append(n.watches, e)
		n.opened = w.now
	case core.CloudCatalog:
		if w.cloudDown {
			return core.Result{CallID: e.CallID, Outcome: outcome.Unavailable}, true
		}
		return core.Result{CallID: e.CallID, Outcome: outcome.OK, Catalog: catalog}, true
	case core.CloudScaleOut:
		q := e.Request
		if w.cloudDown || w.cloudNone {
			return core.Result{CallID: e.CallID, Outcome: outcome.Unavailable}, true
		}
		r := core.Result{CallID: e.CallID, Outcome: outcome.OK}
		for i := 0; i < q.Count; i++ {
			w.rented++
			name := fmt.Sprintf("m%d", w.rented)
			w.machines[name] = &wire.Machine{Name: name, Type: q.Type, Zone: q.Zone, Spot: q.Spot, State: wire.MachineRunning}
			r.MachineNames = append(r.MachineNames, name)
		}
		w.say(n, "rents %s %s spot=%v as %s: %v", q.Type, q.Zone, q.Spot, q.RequestID, r.MachineNames)
		return r, true
	case core.CloudScaleIn:
		if w.cloudDown {
			return core.Result{CallID: e.CallID, Outcome: outcome.Unavailable}, true
		}
		for _, m := range e.Names {
			delete(w.machines, m)
		}
		w.say(n, "releases %v", e.Names)
		return core.Result{CallID: e.CallID, Outcome: outcome.OK}, true
	case core.CloudList:
		if w.cloudDown {
			return core.Result{CallID: e.CallID, Outcome: outcome.Unavailable}, true
		}
		r := core.Result{CallID: e.CallID, Outcome: outcome.OK}
		for _, m := range w.machines {
			if m.Name == w.hidden {
				continue
			}
			r.Machines.Machines = append(r.Machines.Machines, *m)
		}
		sort.Slice(r.Machines.Machines, func(a, b int) bool { return r.Machines.Machines[a].Name < r.Machines.Machines[b].Name })
		return r, true
	case core.SendCommands:
		r := core.Result{CallID: e.CallID, Outcome: outcome.OK, Heartbeat: wire.Heartbeat{Sequence: 0}}
		if w.orders != "" {
			r.Outcome = map[string]outcome.Outcome{"lost": outcome.Unknown, "refused": outcome.Unavailable, "conflict": outcome.Conflict}[w.orders]
		}
		w.say(n, "orders %s token %s%s: %s", e.Addr, showToken(e.FencingToken), showCommands(e.Commands), r.Outcome)
		return r, true
	case core.QueryWorker:
		r := core.Result{CallID: e.CallID, Outcome: outcome.Unknown}
		if n.mode == "limit" {
			r.Outcome = outcome.Dropped
		} else if w.answers[e.Addr] != nil {
			r.Outcome, r.Heartbeat = outcome.OK, *w.answers[e.Addr]
		}
		w.say(n, "inspects %s: %s", e.Addr, r.Outcome)
		return r, true
	case core.QueryPeer:
		p := w.nodes[e.Node]
		if p == nil || w.cut == "cut" || w.cut == e.Node || w.cut == n.name || w.cut == "zones" && w.zones[n.name] != w.zones[e.Node] {
			return core.Result{CallID: e.CallID, Outcome: outcome.Unknown}, true
		}
		if len(e.Cancellations) > 0 {
			w.req++
			for _, it := range e.Cancellations {
				w.say(p, "hears that %s is cancelled", it.Job)
			}
			w.step(p, core.ReplicateCancellations{RequestID: w.req, Cancellations: e.Cancellations})
		}
		status := p.core.PeerStatus()
		if p.old {
			status.RecordLayouts = 0
		}
		return core.Result{CallID: e.CallID, Outcome: outcome.OK, Peer: status}, true
	}
	return core.Result{}, false
}

// withinLimits checks a transaction against the protocol's limits.
func (w *traceHarness) withinLimits(t wire.Txn) {
	p := w.settings("a").Params.Store
	body, err := json.Marshal(t)
	if err != nil || len(body) > wire.MaxBody || len(t.Then) > p.TxnOps || len(t.If) > 4*p.TxnOps {
		w.t.Errorf("a transaction of %d changes, %d conditions, %d bytes: %v", len(t.Then), len(t.If), len(body), err)
	}
	for _, op := range t.Then {
		if float64(len(op.Value)) > 1024*p.ValueKB {
			w.t.Errorf("a value of %d bytes for %s", len(op.Value), op.Put)
		}
	}
}

// keysOf shows the changes of a transaction, without the counts for display.
func keysOf(t wire.Txn) string {
	var ks []string
	for _, op := range t.Then {
		switch {
		case len(op.Value) > 400:
			ks = append(ks, op.Put+" (long)")
		case strings.HasPrefix(op.Put, "w/n/"), strings.HasPrefix(op.Put, "w/i/"), op.Put == "w/catalog":
		case op.Delete != "":
			ks = append(ks, "-"+op.Delete)
		case strings.HasPrefix(op.Put, "r/") || strings.HasPrefix(op.Put, "f/"):
			ks = append(ks, op.Put+"="+string(op.Value))
		default:
			ks = append(ks, op.Put)
		}
	}
	return strings.Join(ks, " ")
}

func showToken(token uint64) string {
	if token%1_000_000 == 0 {
		return fmt.Sprint(token / 1_000_000)
	}
	return fmt.Sprintf("%d.%d", token/1_000_000, token%1_000_000)
}

func showCommands(cmds []wire.Command) string {
	var b strings.Builder
	for _, c := range cmds {
		fmt.Fprintf(&b, ", %s %s#%d", c.Op, c.Task, c.Attempt)
		if c.GracePeriodS != nil {
			fmt.Fprintf(&b, " grace %v", *c.GracePeriodS)
		}
	}
	return b.String()
}

func (w *traceHarness) answer(n *node, a core.Response) {
	if ra, ok := a.Body.(wire.HeartbeatResponse); ok {
		w.say(n, "%d token %s%s", a.Status, showToken(ra.FencingToken), showCommands(ra.Commands))
		return
	}
	if a.Body == nil {
		return // a node that it heard
	}
	body, err := json.Marshal(a.Body)
	if err != nil {
		w.t.Fatal(err)
	}
	retry := ""
	if a.RetryAfterS > 0 {
		retry = fmt.Sprintf(" retry after %d s", a.RetryAfterS)
	}
	w.say(n, "%d %s%s", a.Status, body, retry)
}

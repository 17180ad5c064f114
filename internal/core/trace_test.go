package core_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"bitternwing/internal/call"
	"bitternwing/internal/config"
	"bitternwing/internal/core"
	"bitternwing/internal/standin"
	"bitternwing/internal/wire"
)

// The tests of the core are kept traces in testdata, written to be read: a line is
// something that happens, the lines below it that begin with "|" are what the
// nodes do about it. The test plays what happens and compares the whole; after a
// wanted change `go test ./internal/core -update` writes the traces anew, and the
// difference is reviewed like code.
//
//	node a                 node a starts (again)
//	kill a                 node a ends
//	+2s                    time passes
//	submit a run-000001 kind=service tasks=2 gpus=4 team=red ...
//	poll a run-000001      cancel a run-000001
//	report a m1 session=1 seq=4 token=1 [addr=m1:1] [spot] [zone=z2] [notice=20] [TASK#ATTEMPT=STATE[:why]] ...
//	state a refuse         its requests to the state service get 503
//	state a lose           they are carried out, but the answers get lost
//	state a hold           they get lost on the way, and come late: state a late
//	state a slow           like hold, but for its transactions alone
//	state a nolist         the answers to its readings of many keys get lost
//	state a serve          all is well again
//	outage / outage over   the state service refuses all; leases start anew after
//	peers cut / peers join
//	peers zones            nodes reach those of their own zone only
//	zones b=z2             where nodes are; z1 unless named
//	budget 1e-9            nodes that start from here on have this round_budget
//	spare 0.1              the same for spare_share
//	orders lost / orders refused / orders conflict / orders ok
//	cloud down / cloud up  cloud none (no capacity)
//	cloud fails m1         the list shows m1 as failed
//	cloud hides m1         the list lacks m1, until cloud shows m1
//	cloud drops m1         m1 is gone without notice
//	cloud has m9 [z2]      a machine nobody here asked for
//	keys PREFIX            shows keys of the state service with their values
//	healthy a
//	answers a m1 addr=m1:1 session=...  what worker m1 answers when it is asked directly

var update = flag.Bool("update", false, "write the traces anew")

func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatal("no traces", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".trace"), func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			got := play(t, string(data))
			if *update {
				if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
				return
			}
			if got != string(data) {
				t.Errorf("%s: the nodes did something else:\n%s", file, firstDifference(string(data), got))
			}
		})
	}
}

func firstDifference(want, got string) string {
	w, g := strings.Split(want, "\n"), strings.Split(got, "\n")
	for i := 0; i < len(w) && i < len(g); i++ {
		if w[i] != g[i] {
			return fmt.Sprintf("line %d\n kept: %s\n  now: %s\nwhole:\n%s", i+1, w[i], g[i], got)
		}
	}
	return got
}

// world is what surrounds the nodes in a trace: a state service, a cloud, links.
type world struct {
	t       testing.TB
	out     strings.Builder
	now     time.Duration
	store   *standin.Store
	outage  bool
	nodes   map[string]*node
	names   []string
	req     uint64
	cut     string                  // "cut": no node reaches another, "zones": none in another zone
	budget  float64                 // the operators' round_budget, for nodes that start after
	spare   float64                 // the same for spare_share
	zones   map[string]string       // of nodes; "": z1
	hidden  string                  // a machine that lists lack
	answers map[string]*wire.Report // of workers that are asked directly, by address
	orders  string                  // what becomes of direct orders; "": carried out

	cloudDown, cloudNone bool
	machines             map[string]*wire.Machine
	rented               int
}

type node struct {
	name    string
	core    *core.Core
	mode    string // of its requests to the state service
	held    []core.StateTxn
	watches []core.StateWatch
	opened  time.Duration
}

func play(t *testing.T, text string) string {
	w := &world{t: t, now: time.Second, store: standin.NewStore(), nodes: map[string]*node{}, answers: map[string]*wire.Report{}, machines: map[string]*wire.Machine{}}
	for _, line := range strings.Split(strings.TrimRight(text, "\n"), "\n") {
		if strings.HasPrefix(line, "|") {
			continue
		}
		w.out.WriteString(line + "\n")
		if f := strings.Fields(line); len(f) > 0 && !strings.HasPrefix(line, "#") {
			w.do(f)
		}
	}
	return w.out.String()
}

func (w *world) say(n *node, format string, args ...any) {
	fmt.Fprintf(&w.out, "| %s: %s\n", n.name, fmt.Sprintf(format, args...))
}

func (w *world) settings(name string) *config.Settings {
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
	s.Params = config.Params{Nodes: 3, Zones: []string{"z1", "z2"}, ClockOffMS: 5,
		Teams:      []config.Team{{Name: "red", GPUs: 4, GPUsMax: 8}, {Name: "blue", GPUs: 8, GPUsMax: 16}, {Name: "green", GPUs: 40, GPUsMax: 80}},
		Objectives: []config.Objective{{Kind: "finished", Class: "rush", WithinS: 150, Share: 0.9}},
		Workers:    config.Workers{ReportS: 1, LeaseS: 10, CancelS: 30},
		State:      config.State{RPS: 150, WriteRPS: 60, ValueKB: 16, TxnOps: 12},
		Cloud:      config.Cloud{RPS: 2, ListLagS: 5},
		Limits:     config.Limits{CPUShare: 0.06, MemoryMB: 98, MaxConnections: 600}}
	s.Operator.SpareShare = w.spare
	if w.budget > 0 {
		s.Operator.RoundBudget = w.budget
	}
	return s
}

var catalog = wire.Catalog{Types: []wire.MachineType{{Name: "g8", CPUs: 64, GPUs: 8, MemoryGB: 512, CacheGB: 300,
	FetchGBPerS: 4, Price: 16, SpotPrice: 5, BootS: 40, Zones: []string{"z1", "z2"}}}}

func (w *world) do(f []string) {
	arg := func(i int) string {
		if i < len(f) {
			return f[i]
		}
		w.t.Fatalf("too few words: %v", f)
		return ""
	}
	switch {
	case f[0][0] == '+':
		d, err := time.ParseDuration(f[0][1:])
		if err != nil {
			w.t.Fatal(err)
		}
		w.pass(d)
		return
	case f[0] == "node":
		n := &node{name: arg(1), mode: "serve"}
		n.core = core.New(w.settings(n.name), fmt.Sprint(n.name, w.now))
		w.nodes[n.name] = n
		w.names = w.names[:0]
		for k := range w.nodes {
			w.names = append(w.names, k)
		}
		sort.Strings(w.names)
		w.step(n, core.Tick{})
		w.settle()
		return
	case f[0] == "kill":
		delete(w.nodes, arg(1))
		for i, k := range w.names {
			if k == f[1] {
				w.names = append(w.names[:i:i], w.names[i+1:]...)
				break
			}
		}
		return
	case f[0] == "outage":
		w.outage = len(f) == 1
		if !w.outage {
			w.store.Refresh(w.now)
		}
		return
	case f[0] == "zones":
		w.zones = map[string]string{}
		for _, kv := range f[1:] {
			k, v, _ := strings.Cut(kv, "=")
			w.zones[k] = v
		}
		return
	case f[0] == "budget":
		w.budget, _ = strconv.ParseFloat(arg(1), 64)
		return
	case f[0] == "spare":
		w.spare, _ = strconv.ParseFloat(arg(1), 64)
		return
	case f[0] == "orders":
		w.orders = strings.TrimPrefix(arg(1), "ok")
		return
	case f[0] == "peers":
		w.cut = strings.TrimPrefix(arg(1), "join")
		return
	case f[0] == "cloud":
		switch arg(1) {
		case "down":
			w.cloudDown = true
		case "up":
			w.cloudDown, w.cloudNone = false, false
		case "none":
			w.cloudNone = true
		case "fails":
			w.machines[arg(2)].State = wire.MachineFailed
		case "hides":
			w.hidden = arg(2)
		case "shows":
			w.hidden = ""
		case "drops":
			delete(w.machines, arg(2))
		case "has":
			w.machines[arg(2)] = &wire.Machine{Name: f[2], Type: "g8", Zone: "z1", State: wire.MachineRunning}
			if len(f) > 3 {
				w.machines[f[2]].Zone = f[3]
			}
		}
		return
	case f[0] == "keys":
		for _, k := range w.store.Keys(arg(1)) {
			it, _ := w.store.Get(k)
			fmt.Fprintf(&w.out, "| %s = %.200s\n", k, it.Value)
		}
		return
	}
	n := w.nodes[arg(1)]
	if n == nil {
		w.t.Fatalf("no such node: %v", f)
	}
	w.req++
	switch f[0] {
	case "submit":
		w.step(n, core.Submit{Req: w.req, Job: w.job(f[2:])})
	case "poll":
		w.step(n, core.Poll{Req: w.req, ID: arg(2)})
	case "cancel":
		w.step(n, core.Cancel{Req: w.req, ID: arg(2)})
	case "report":
		w.step(n, core.Checkin{Req: w.req, Report: w.report(f[2:])})
	case "answers":
		r := w.report(f[2:])
		w.answers[r.Addr] = r
	case "healthy":
		w.say(n, "healthy %v", n.core.Healthy())
	case "state":
		if arg(2) == "late" {
			for _, e := range n.held {
				a, o := w.store.Txn(e.Txn)
				w.say(n, "late transaction %s: %s %v", keysOf(e.Txn), o, a.Failed)
			}
			n.held = nil
			return
		}
		n.mode = f[2]
	default:
		w.t.Fatalf("unknown: %v", f)
	}
	w.settle()
}

func (w *world) job(f []string) *wire.Job {
	j := &wire.Job{ID: f[0], Class: "c", Team: "red", Kind: wire.KindArray, Priority: "standard", Tasks: 1,
		CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 10, EstimateS: 60}
	for _, kv := range f[1:] {
		k, v, _ := strings.Cut(kv, "=")
		num, _ := strconv.ParseFloat(v, 64)
		switch k {
		case "kind":
			if v == "service" {
				j.Kind, j.EstimateS = wire.KindService, 0
			}
		case "tasks":
			j.Tasks = int(num)
		case "gpus":
			j.GPUs = num
		case "team":
			j.Team = v
		case "class":
			j.Class = v
		case "image":
			j.Image = v
		case "priority":
			j.Priority = v
		case "zone":
			j.Zone = v
		case "type":
			j.Types = []string{v}
		case "spread":
			j.Spread = true
		case "one_zone":
			j.OneZone = true
		case "spot":
			j.Spot = true
		case "save":
			j.Checkpoint, j.SaveS = 10, num
		default:
			w.t.Fatalf("unknown: %s", kv)
		}
	}
	return j
}

func (w *world) report(f []string) *wire.Report {
	r := &wire.Report{Machine: f[0], Type: "g8", Zone: "z1"}
	if m := w.machines[r.Machine]; m != nil {
		r.Zone, r.Spot = m.Zone, m.Spot
	}
	for _, kv := range f[1:] {
		k, v, _ := strings.Cut(kv, "=")
		num, _ := strconv.ParseFloat(v, 64)
		switch k {
		case "session":
			r.Session = uint64(num)
		case "seq":
			r.Seq = uint64(num)
		case "token":
			// term, or term.count within the term
			term, count, _ := strings.Cut(v, ".")
			a, _ := strconv.ParseUint(term, 10, 64)
			b, _ := strconv.ParseUint(count, 10, 64)
			r.Token = a*1_000_000 + b
		case "notice":
			r.NoticeS = &num
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
			r.Tasks = append(r.Tasks, wire.TaskReport{Task: task, Attempt: a, State: state, Why: why})
		}
	}
	return r
}

// pass lets time pass: nodes are woken when they want to be.
func (w *world) pass(d time.Duration) {
	end := w.now + d
	for w.now < end {
		next := end
		for _, name := range w.names {
			next = min(next, max(w.now+time.Millisecond, w.nodes[name].core.Wake()))
		}
		w.now = next
		if !w.outage {
			w.store.At(w.now)
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
func (w *world) settle() {
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
				w.step(n, core.Result{ID: e.ID, Outcome: o, Changes: ch, Sent: n.opened})
			}
		}
	}
}

// step hands a node an input and carries out what it returns.
func (w *world) step(n *node, in core.Input) {
	effects := append([]core.Effect(nil), n.core.Step(core.Time{Steady: w.now, WallMS: int64(w.now / time.Millisecond)}, in)...)
	var results []core.Result
	for _, e := range effects {
		if r, ok := w.carryOut(n, e); ok {
			r.Sent = w.now
			results = append(results, r)
		}
	}
	for _, r := range results {
		w.step(n, r)
	}
}

func (w *world) refused(n *node) bool { return w.outage || n.mode == "refuse" }

// lost tells whether the answers of requests other than transactions get lost, and
// gives them their result.
func (w *world) lost(n *node, r core.Result) (core.Result, bool) {
	switch {
	case w.refused(n):
		r = core.Result{ID: r.ID, Outcome: call.Refused}
	case n.mode == "hold" || n.mode == "lose":
		r = core.Result{ID: r.ID, Outcome: call.Unknown}
	}
	return r, true
}

func (w *world) carryOut(n *node, e core.Effect) (core.Result, bool) {
	switch e := e.(type) {
	case core.Answer:
		w.answer(n, e)
	case core.Log:
		if e.Level > core.Debug {
			var b strings.Builder
			for i := 0; i+1 < len(e.Pairs); i += 2 {
				fmt.Fprintf(&b, " %v=%v", e.Pairs[i], e.Pairs[i+1])
			}
			w.say(n, "log %s%s", e.Message, b.String())
		}
	case core.StateTxn:
		w.withinLimits(e.Txn)
		r := core.Result{ID: e.ID}
		switch {
		case w.refused(n):
			r.Outcome = call.Refused
		case n.mode == "hold" || n.mode == "slow":
			n.held = append(n.held, e)
			r.Outcome = call.Unknown
		default:
			r.Txn, r.Outcome = w.store.Txn(e.Txn)
			if n.mode == "lose" {
				r = core.Result{ID: e.ID, Outcome: call.Unknown}
			}
		}
		if k := keysOf(e.Txn); k != "" {
			w.say(n, "writes %s: %s", k, r.Outcome)
		}
		return r, true
	case core.StateGet:
		it, o := w.store.Get(e.Key)
		return w.lost(n, core.Result{ID: e.ID, Outcome: o, Item: it})
	case core.StateList:
		if n.mode == "nolist" {
			return core.Result{ID: e.ID, Outcome: call.Unknown}, true
		}
		return w.lost(n, core.Result{ID: e.ID, Outcome: call.OK, Page: w.store.List(e.Prefix, e.After, 500)})
	case core.StateGrant:
		if w.refused(n) {
			return w.lost(n, core.Result{ID: e.ID})
		}
		return w.lost(n, core.Result{ID: e.ID, Outcome: call.OK, Lease: w.store.Grant(e.TTL)})
	case core.StateExtend:
		if w.refused(n) || n.mode == "hold" {
			return w.lost(n, core.Result{ID: e.ID})
		}
		return w.lost(n, core.Result{ID: e.ID, Outcome: w.store.Extend(e.Lease)})
	case core.StateRevoke:
		if w.refused(n) || n.mode == "hold" {
			return w.lost(n, core.Result{ID: e.ID})
		}
		return w.lost(n, core.Result{ID: e.ID, Outcome: w.store.Revoke(e.Lease)})
	case core.StateWatch:
		n.watches = append(n.watches, e)
		n.opened = w.now
	case core.CloudCatalog:
		if w.cloudDown {
			return core.Result{ID: e.ID, Outcome: call.Refused}, true
		}
		return core.Result{ID: e.ID, Outcome: call.OK, Catalog: catalog}, true
	case core.CloudRent:
		q := e.Request
		if w.cloudDown || w.cloudNone {
			return core.Result{ID: e.ID, Outcome: call.Refused}, true
		}
		r := core.Result{ID: e.ID, Outcome: call.OK}
		for i := 0; i < q.Count; i++ {
			w.rented++
			name := fmt.Sprintf("m%d", w.rented)
			w.machines[name] = &wire.Machine{Name: name, Type: q.Type, Zone: q.Zone, Spot: q.Spot, State: wire.MachineRunning}
			r.Names = append(r.Names, name)
		}
		w.say(n, "rents %s %s spot=%v as %s: %v", q.Type, q.Zone, q.Spot, q.Request, r.Names)
		return r, true
	case core.CloudRelease:
		if w.cloudDown {
			return core.Result{ID: e.ID, Outcome: call.Refused}, true
		}
		for _, m := range e.Names {
			delete(w.machines, m)
		}
		w.say(n, "releases %v", e.Names)
		return core.Result{ID: e.ID, Outcome: call.OK}, true
	case core.CloudList:
		if w.cloudDown {
			return core.Result{ID: e.ID, Outcome: call.Refused}, true
		}
		r := core.Result{ID: e.ID, Outcome: call.OK}
		for _, m := range w.machines {
			if m.Name == w.hidden {
				continue
			}
			r.Machines.Machines = append(r.Machines.Machines, *m)
		}
		sort.Slice(r.Machines.Machines, func(a, b int) bool { return r.Machines.Machines[a].Name < r.Machines.Machines[b].Name })
		return r, true
	case core.WorkerOrders:
		r := core.Result{ID: e.ID, Outcome: call.OK, Report: wire.Report{Seq: 0}}
		if w.orders != "" {
			r.Outcome = map[string]call.Outcome{"lost": call.Unknown, "refused": call.Refused, "conflict": call.Conflict}[w.orders]
		}
		w.say(n, "orders %s token %s%s: %s", e.Addr, showToken(e.Token), showCommands(e.Commands), r.Outcome)
		return r, true
	case core.WorkerInspect:
		r := core.Result{ID: e.ID, Outcome: call.Unknown}
		if w.answers[e.Addr] != nil {
			r.Outcome, r.Report = call.OK, *w.answers[e.Addr]
		}
		w.say(n, "inspects %s: %s", e.Addr, r.Outcome)
		return r, true
	case core.PeerAsk:
		p := w.nodes[e.Node]
		if p == nil || w.cut == "cut" || w.cut == "zones" && w.zones[n.name] != w.zones[e.Node] {
			return core.Result{ID: e.ID, Outcome: call.Unknown}, true
		}
		if len(e.Cancellations) > 0 {
			w.req++
			for _, it := range e.Cancellations {
				w.say(p, "hears that %s is cancelled", it.Job)
			}
			w.step(p, core.Heard{Req: w.req, Cancellations: e.Cancellations})
		}
		return core.Result{ID: e.ID, Outcome: call.OK, Peer: p.core.PeerStatus()}, true
	}
	return core.Result{}, false
}

// withinLimits checks a transaction against the protocol's limits.
func (w *world) withinLimits(t wire.Txn) {
	p := w.settings("a").Params.State
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
		if c.GraceS != nil {
			fmt.Fprintf(&b, " grace %v", *c.GraceS)
		}
	}
	return b.String()
}

func (w *world) answer(n *node, a core.Answer) {
	if ra, ok := a.Body.(wire.ReportAnswer); ok {
		w.say(n, "%d token %s%s", a.Status, showToken(ra.Token), showCommands(ra.Commands))
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
	if a.RetryAfter > 0 {
		retry = fmt.Sprintf(" retry after %d s", a.RetryAfter)
	}
	w.say(n, "%d %s%s", a.Status, body, retry)
}

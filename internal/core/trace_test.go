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

	"bitternwing/internal/config"
	"bitternwing/internal/core"
	"bitternwing/internal/emulator"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// The tests of the core are kept traces in testdata, written to be read: a line is
// something that happens, the lines below it that begin with "|" are what the
// nodes do about it. The test plays what happens and compares the whole; after a
// wanted change `go test ./internal/core -update` writes the traces anew, and the
// difference is reviewed like code.
//
//	node a                 node a starts (again)
//	node a old             the same, of the version before the second layout of records, for what
//	                       it says of itself and knows of the settings
//	next value_kb=2 ...    limits to come, in the settings of nodes that start from here on
//	limits fall            they come
//	kill a                 node a ends
//	+2s                    time passes
//	submit a run-000001 kind=service tasks=2 gpus=4 team=red ...
//	poll a run-000001      cancel a run-000001
//	report a m1 session=1 seq=4 token=1 [addr=m1:1] [spot] [zone=z2] [notice=20] [TASK#ATTEMPT=STATE[:why]] ...
//	state a refuse         its requests to the state service get 503
//	state a lose           they are carried out, but the answers get lost
//	state a hold           they get lost on the way, and come late: state a late
//	state a slow           like hold, but for its transactions alone
//	state a limit          they are above the service's rate
//	state a nolist         the answers to its readings of many keys get lost
//	state a serve          all is well again
//	outage / outage over   the state service refuses all; leases start anew after
//	peers cut / peers join / peers NODE   none reaches another; all do; none reaches NODE, nor it them
//	peers zones            nodes reach those of their own zone only
//	zones b=z2             where nodes are; z1 unless named
//	budget 1e-9            nodes that start from here on have this round_budget
//	spare 0.1              the same for spare_share
//	paced                  the same for pace_reports
//	orders lost / orders refused / orders conflict / orders ok
//	cloud down / cloud up  cloud none (no capacity)
//	cloud fails m1         the list shows m1 as failed
//	cloud hides m1         the list lacks m1, until cloud shows m1
//	cloud drops m1         m1 is gone without notice
//	cloud has m9 [z2]      a machine nobody here asked for
//	store KEY VALUE        a value as it was written before
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

func play(t *testing.T, text string) string {
	t.Helper()
	w := &traceHarness{t: t, now: time.Second, store: emulator.NewStore(), nodes: map[string]*node{}, answers: map[string]*wire.Heartbeat{}, machines: map[string]*wire.Machine{}}
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

func (w *traceHarness) say(n *node, format string, args ...any) {
	fmt.Fprintf(&w.out, "| %s: %s\n", n.name, fmt.Sprintf(format, args...))
}

func (w *traceHarness) do(f []string) {
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
		n := &node{name: arg(1), mode: "serve", old: len(f) > 2}
		set := w.settings(n.name)
		if n.old {
			set.Params.Store.Next = nil
		}
		n.core = core.New(set, fmt.Sprint(n.name, w.now))
		w.nodes[n.name] = n
		w.names = w.names[:0]
		for k := range w.nodes {
			w.names = append(w.names, k)
		}
		sort.Strings(w.names)
		w.step(n, core.Tick{})
		w.settle()
		return
	case f[0] == "next":
		w.next = nextLimits(w.t, f[1:])
		return
	case f[0] == "limits":
		w.store.SetLimits(int(1024**w.next.ValueKB), *w.next.TxnOps)
		return
	case f[0] == "store":
		value := json.RawMessage(strings.Join(f[2:], " "))
		if _, o := w.store.Txn(wire.Txn{Then: []wire.Op{{Put: arg(1), Value: value}}}); o != outcome.OK {
			w.t.Fatalf("not stored: %v", f)
		}
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
			w.store.RefreshLeases(w.now)
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
	case f[0] == "paced":
		w.paced = true
		return
	case f[0] == "orders":
		w.orders = strings.TrimPrefix(arg(1), "ok")
		return
	case f[0] == "peers":
		w.cut = strings.TrimPrefix(arg(1), "join")
		return
	case f[0] == "cloud":
		w.setCloud(arg, f)
		return
	case f[0] == "keys":
		for _, k := range storedKeys(w.store, arg(1)) {
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
		w.step(n, core.SubmitJob{RequestID: w.req, Job: w.job(f[2:])})
	case "poll":
		w.step(n, core.GetJob{RequestID: w.req, ID: arg(2)})
	case "cancel":
		w.step(n, core.CancelJob{RequestID: w.req, ID: arg(2)})
	case "report":
		w.step(n, core.WorkerHeartbeat{RequestID: w.req, Heartbeat: w.report(f[2:])})
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

// setCloud changes what the cloud has or answers.
func (w *traceHarness) setCloud(arg func(int) string, f []string) {
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
}

// nextLimits reads the limits to come.
func nextLimits(tb testing.TB, f []string) *config.NextLimits {
	tb.Helper()
	next := &config.NextLimits{}
	for _, kv := range f {
		k, v, _ := strings.Cut(kv, "=")
		num, err := strconv.ParseFloat(v, 64)
		if err != nil {
			tb.Fatalf("not a number: %s", kv)
		}
		switch k {
		case "value_kb":
			next.ValueKB = &num
		case "write_rps":
			next.WriteRPS = &num
		case "txn_ops":
			ops := int(num)
			next.TxnOps = &ops
		default:
			tb.Fatalf("unknown: %s", kv)
		}
	}
	return next
}

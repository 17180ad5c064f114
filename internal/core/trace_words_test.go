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
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// traceWords carry out the lines of a trace that are about what surrounds the nodes, or a node's start and end, by
// their first word.
var traceWords = map[string]func(w *traceHarness, words []string){
	"node":   (*traceHarness).startNode,
	"kill":   (*traceHarness).killNode,
	"next":   func(w *traceHarness, words []string) { w.next = nextLimits(w.t, words[1:]) },
	"limits": func(w *traceHarness, _ []string) { w.store.SetLimits(int(1024**w.next.ValueKB), *w.next.TxnOps) },
	"store":  (*traceHarness).storeValue,
	"keys":   (*traceHarness).showKeys,
	"outage": (*traceHarness).setOutage,
	"zones":  (*traceHarness).setZones,
	"budget": func(w *traceHarness, words []string) { w.budget, _ = strconv.ParseFloat(w.argument(words, 1), 64) },
	"spare":  func(w *traceHarness, words []string) { w.spare, _ = strconv.ParseFloat(w.argument(words, 1), 64) },
	"paced":  func(w *traceHarness, _ []string) { w.paced = true },
	"orders": func(w *traceHarness, words []string) { w.orders = strings.TrimPrefix(w.argument(words, 1), "ok") },
	"peers":  func(w *traceHarness, words []string) { w.cut = strings.TrimPrefix(w.argument(words, 1), "join") },
	"cloud":  (*traceHarness).changeCloud,
}

// nodeWords carry out the lines of a trace that are about a node that runs, by their first word.
var nodeWords = map[string]func(w *traceHarness, n *node, words []string){
	"submit": func(w *traceHarness, n *node, words []string) {
		w.step(n, core.SubmitJob{RequestID: w.req, Job: w.job(words[2:])})
	},
	"poll": func(w *traceHarness, n *node, words []string) {
		w.step(n, core.GetJob{RequestID: w.req, ID: w.argument(words, 2)})
	},
	"cancel": func(w *traceHarness, n *node, words []string) {
		w.step(n, core.CancelJob{RequestID: w.req, ID: w.argument(words, 2)})
	},
	"report": func(w *traceHarness, n *node, words []string) {
		w.step(n, core.WorkerHeartbeat{RequestID: w.req, Heartbeat: w.report(words[2:])})
	},
	"answers": func(w *traceHarness, _ *node, words []string) {
		heartbeat := w.report(words[2:])
		w.answers[heartbeat.Addr] = heartbeat
	},
	"healthy": func(w *traceHarness, n *node, _ []string) { w.say(n, "healthy %v", n.core.Healthy()) },
	"state":   func(w *traceHarness, n *node, words []string) { n.mode = w.argument(words, 2) },
}

// do carries out a line of a trace.
func (w *traceHarness) do(words []string) {
	if duration, ok := strings.CutPrefix(words[0], "+"); ok {
		d, err := time.ParseDuration(duration)
		if err != nil {
			w.t.Fatal(err)
		}
		w.pass(d)
		return
	}
	if handle := traceWords[words[0]]; handle != nil {
		handle(w, words)
		return
	}
	n := w.nodes[w.argument(words, 1)]
	if n == nil {
		w.t.Fatalf("no such node: %v", words)
	}
	w.req++
	handle := nodeWords[words[0]]
	if handle == nil {
		w.t.Fatalf("unknown: %v", words)
	}
	if words[0] == "state" && w.argument(words, 2) == "late" {
		w.commitHeld(n)
		return
	}
	handle(w, n, words)
	w.settle()
}

// argument gives a word of a line that must have it.
func (w *traceHarness) argument(words []string, i int) string {
	if i >= len(words) {
		w.t.Fatalf("too few words: %v", words)
	}
	return words[i]
}

// startNode starts a node's process anew.
func (w *traceHarness) startNode(words []string) {
	n := &node{name: w.argument(words, 1), mode: "serve", old: len(words) > 2}
	settings := w.settings(n.name)
	if n.old {
		settings.Params.Store.Next = nil
	}
	n.core = core.New(settings, fmt.Sprint(n.name, w.now))
	w.nodes[n.name] = n
	w.names = w.names[:0]
	for name := range w.nodes {
		w.names = append(w.names, name)
	}
	sort.Strings(w.names)
	w.step(n, core.Tick{})
	w.settle()
}

func (w *traceHarness) killNode(words []string) {
	killed := w.argument(words, 1)
	delete(w.nodes, killed)
	for i, name := range w.names {
		if name == killed {
			w.names = append(w.names[:i:i], w.names[i+1:]...)
			break
		}
	}
}

// storeValue writes a value past the nodes, as an earlier version may have left it.
func (w *traceHarness) storeValue(words []string) {
	value := json.RawMessage(strings.Join(words[2:], " "))
	if _, result := w.store.Txn(wire.Txn{Then: []wire.Op{{Put: w.argument(words, 1), Value: value}}}); result != outcome.OK {
		w.t.Fatalf("not stored: %v", words)
	}
}

func (w *traceHarness) showKeys(words []string) {
	for _, key := range storedKeys(w.store, w.argument(words, 1)) {
		item, _ := w.store.Get(key)
		fmt.Fprintf(&w.out, "| %s = %.200s\n", key, item.Value)
	}
}

// setOutage begins or ends an outage of the key-value store. Leases start anew after it.
func (w *traceHarness) setOutage(words []string) {
	w.outage = len(words) == 1
	if !w.outage {
		w.store.RefreshLeases(w.now)
	}
}

func (w *traceHarness) setZones(words []string) {
	w.zones = map[string]string{}
	for _, word := range words[1:] {
		node, zone, _ := strings.Cut(word, "=")
		w.zones[node] = zone
	}
}

func (w *traceHarness) changeCloud(words []string) {
	switch w.argument(words, 1) {
	case "down":
		w.cloudDown = true
	case "up":
		w.cloudDown, w.cloudNone = false, false
	case "none":
		w.cloudNone = true
	case "fails":
		w.machines[w.argument(words, 2)].State = wire.MachineFailed
	case "hides":
		w.hidden = w.argument(words, 2)
	case "shows":
		w.hidden = ""
	case "drops":
		delete(w.machines, w.argument(words, 2))
	case "has":
		machine := &wire.Machine{Name: w.argument(words, 2), Type: "g8", Zone: "z1", State: wire.MachineRunning}
		if len(words) > 3 {
			machine.Zone = words[3]
		}
		w.machines[machine.Name] = machine
	}
}

// commitHeld carries out the transactions that were held up on their way.
func (w *traceHarness) commitHeld(n *node) {
	for _, e := range n.held {
		result, o := w.store.Txn(e.Txn)
		w.say(n, "late transaction %s: %s %v", keysOf(e.Txn), o, result.Failed)
	}
	n.held = nil
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

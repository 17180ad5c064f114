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
var traceWords = map[string]func(harness *traceHarness, words []string){
	"node": (*traceHarness).startNode,
	"kill": (*traceHarness).killNode,
	"next": func(harness *traceHarness, words []string) { harness.nextLimits = nextLimits(harness.tb, words[1:]) },
	"limits": func(harness *traceHarness, _ []string) {
		harness.store.SetLimits(int(1024**harness.nextLimits.ValueKB), *harness.nextLimits.TxnOps)
	},
	"store":  (*traceHarness).storeValue,
	"keys":   (*traceHarness).showKeys,
	"outage": (*traceHarness).setOutage,
	"zones":  (*traceHarness).setZones,
	"budget": func(harness *traceHarness, words []string) {
		harness.cycleBudget, _ = strconv.ParseFloat(harness.argument(words, 1), 64)
	},
	"spare": func(harness *traceHarness, words []string) {
		harness.spareShare, _ = strconv.ParseFloat(harness.argument(words, 1), 64)
	},
	"paced": func(harness *traceHarness, _ []string) { harness.paceHeartbeats = true },
	"orders": func(harness *traceHarness, words []string) {
		harness.commandFault = strings.TrimPrefix(harness.argument(words, 1), "ok")
	},
	"peers": func(harness *traceHarness, words []string) {
		harness.peerCut = strings.TrimPrefix(harness.argument(words, 1), "join")
	},
	"cloud": (*traceHarness).changeCloud,
}

// nodeWords carry out the lines of a trace that are about a node that runs, by their first word.
var nodeWords = map[string]func(harness *traceHarness, node *traceNode, words []string){
	"submit": func(harness *traceHarness, node *traceNode, words []string) {
		harness.step(node, core.SubmitJob{RequestID: harness.lastRequest, Job: harness.job(words[2:])})
	},
	"poll": func(harness *traceHarness, node *traceNode, words []string) {
		harness.step(node, core.GetJob{RequestID: harness.lastRequest, ID: harness.argument(words, 2)})
	},
	"cancel": func(harness *traceHarness, node *traceNode, words []string) {
		harness.step(node, core.CancelJob{RequestID: harness.lastRequest, ID: harness.argument(words, 2)})
	},
	"report": func(harness *traceHarness, node *traceNode, words []string) {
		harness.step(node, core.WorkerHeartbeat{RequestID: harness.lastRequest, Heartbeat: harness.heartbeat(words[2:])})
	},
	"answers": func(harness *traceHarness, _ *traceNode, words []string) {
		heartbeat := harness.heartbeat(words[2:])
		harness.workerHeartbeats[heartbeat.Addr] = heartbeat
	},
	"healthy": func(harness *traceHarness, node *traceNode, _ []string) {
		harness.show(node, "healthy %v", node.core.Healthy())
	},
	"state": func(harness *traceHarness, node *traceNode, words []string) {
		node.storeMode = harness.argument(words, 2)
	},
}

// carryOutLine carries out a line of a trace.
func (harness *traceHarness) carryOutLine(words []string) {
	if duration, ok := strings.CutPrefix(words[0], "+"); ok {
		d, err := time.ParseDuration(duration)
		if err != nil {
			harness.tb.Fatal(err)
		}
		harness.advance(d)
		return
	}
	if handle := traceWords[words[0]]; handle != nil {
		handle(harness, words)
		return
	}
	node := harness.nodes[harness.argument(words, 1)]
	if node == nil {
		harness.tb.Fatalf("no such node: %v", words)
	}
	harness.lastRequest++
	handle := nodeWords[words[0]]
	if handle == nil {
		harness.tb.Fatalf("unknown: %v", words)
	}
	if words[0] == "state" && harness.argument(words, 2) == "late" {
		harness.commitDelayed(node)
		return
	}
	handle(harness, node, words)
	harness.answerWatches()
}

// argument gives a word of a line that must have it.
func (harness *traceHarness) argument(words []string, i int) string {
	if i >= len(words) {
		harness.tb.Fatalf("too few words: %v", words)
	}
	return words[i]
}

// startNode starts a node's process anew.
func (harness *traceHarness) startNode(words []string) {
	node := &traceNode{name: harness.argument(words, 1), storeMode: "serve", oldVersion: len(words) > 2}
	settings := harness.settings(node.name)
	if node.oldVersion {
		settings.Params.Store.Next = nil
	}
	node.core = core.New(settings, fmt.Sprint(node.name, harness.now))
	harness.nodes[node.name] = node
	harness.nodeNames = harness.nodeNames[:0]
	for name := range harness.nodes {
		harness.nodeNames = append(harness.nodeNames, name)
	}
	sort.Strings(harness.nodeNames)
	harness.step(node, core.Tick{})
	harness.answerWatches()
}

func (harness *traceHarness) killNode(words []string) {
	killed := harness.argument(words, 1)
	delete(harness.nodes, killed)
	for i, name := range harness.nodeNames {
		if name == killed {
			harness.nodeNames = append(harness.nodeNames[:i:i], harness.nodeNames[i+1:]...)
			break
		}
	}
}

// storeValue writes a value past the nodes, as an earlier version may have left it.
func (harness *traceHarness) storeValue(words []string) {
	value := json.RawMessage(strings.Join(words[2:], " "))
	if _, result := harness.store.Txn(wire.Txn{Then: []wire.Op{{Put: harness.argument(words, 1), Value: value}}}); result != outcome.OK {
		harness.tb.Fatalf("not stored: %v", words)
	}
}

func (harness *traceHarness) showKeys(words []string) {
	for _, key := range storedKeys(harness.store, harness.argument(words, 1)) {
		item, _ := harness.store.Get(key)
		fmt.Fprintf(&harness.out, "| %s = %.200s\n", key, item.Value)
	}
}

// setOutage begins or ends an outage of the key-value store. Leases start anew after it.
func (harness *traceHarness) setOutage(words []string) {
	harness.outage = len(words) == 1
	if !harness.outage {
		harness.store.RefreshLeases(harness.now)
	}
}

func (harness *traceHarness) setZones(words []string) {
	harness.zones = map[string]string{}
	for _, word := range words[1:] {
		node, zone, _ := strings.Cut(word, "=")
		harness.zones[node] = zone
	}
}

func (harness *traceHarness) changeCloud(words []string) {
	switch harness.argument(words, 1) {
	case "down":
		harness.cloudDown = true
	case "up":
		harness.cloudDown, harness.cloudExhausted = false, false
	case "none":
		harness.cloudExhausted = true
	case "fails":
		harness.machines[harness.argument(words, 2)].State = wire.MachineFailed
	case "hides":
		harness.hiddenMachine = harness.argument(words, 2)
	case "shows":
		harness.hiddenMachine = ""
	case "drops":
		delete(harness.machines, harness.argument(words, 2))
	case "has":
		machine := &wire.Machine{Name: harness.argument(words, 2), Type: "g8", Zone: "z1", State: wire.MachineRunning}
		if len(words) > 3 {
			machine.Zone = words[3]
		}
		harness.machines[machine.Name] = machine
	}
}

// commitDelayed carries out the transactions that were held up on their way.
func (harness *traceHarness) commitDelayed(node *traceNode) {
	for _, effect := range node.delayedTransactions {
		result, got := harness.store.Txn(effect.Txn)
		harness.show(node, "late transaction %s: %s %v", showChangedKeys(effect.Txn), got, result.Failed)
	}
	node.delayedTransactions = nil
}

// nextLimits reads the limits to come.
func nextLimits(tb testing.TB, words []string) *config.UpcomingLimits {
	tb.Helper()
	next := &config.UpcomingLimits{}
	for _, kv := range words {
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

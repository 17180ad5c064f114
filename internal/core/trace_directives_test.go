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

// harnessDirectives maps the first word of a line to its handler, for lines that change the environment of the nodes,
// or start or kill a node.
var harnessDirectives = map[string]func(harness *traceHarness, words []string){
	"node": (*traceHarness).startNode,
	"kill": (*traceHarness).killNode,
	"upcoming_limits": func(harness *traceHarness, words []string) {
		harness.upcomingLimits = parseUpcomingLimits(harness.tb, words[1:])
	},
	"enforce_limits": func(harness *traceHarness, _ []string) {
		harness.store.SetLimits(int(1024**harness.upcomingLimits.ValueKB), *harness.upcomingLimits.TxnOps)
	},
	"put":          (*traceHarness).storeValue,
	"keys":         (*traceHarness).showKeys,
	"store_outage": (*traceHarness).setOutage,
	"zones":        (*traceHarness).setZones,
	"cycle_budget": func(harness *traceHarness, words []string) {
		harness.cycleBudget, _ = strconv.ParseFloat(harness.argument(words, 1), 64)
	},
	"spare_share": func(harness *traceHarness, words []string) {
		harness.spareShare, _ = strconv.ParseFloat(harness.argument(words, 1), 64)
	},
	"pace_heartbeats": func(harness *traceHarness, _ []string) { harness.paceHeartbeats = true },
	"direct_commands": func(harness *traceHarness, words []string) {
		harness.commandFault = strings.TrimPrefix(harness.argument(words, 1), "ok")
	},
	"partition": func(harness *traceHarness, words []string) {
		harness.peerPartition = strings.TrimPrefix(harness.argument(words, 1), "none")
	},
	"cloud": (*traceHarness).changeCloud,
}

// nodeDirectives maps the first word of a line to its handler, for lines that apply to a running node.
var nodeDirectives = map[string]func(harness *traceHarness, node *traceNode, words []string){
	"submit": func(harness *traceHarness, node *traceNode, words []string) {
		harness.step(node, core.SubmitJob{RequestID: harness.lastRequestID, Job: harness.parseJob(words[2:])})
	},
	"poll": func(harness *traceHarness, node *traceNode, words []string) {
		harness.step(node, core.GetJob{RequestID: harness.lastRequestID, ID: harness.argument(words, 2)})
	},
	"cancel": func(harness *traceHarness, node *traceNode, words []string) {
		harness.step(node, core.CancelJob{RequestID: harness.lastRequestID, ID: harness.argument(words, 2)})
	},
	"heartbeat": func(harness *traceHarness, node *traceNode, words []string) {
		harness.step(node, core.WorkerHeartbeat{RequestID: harness.lastRequestID, Heartbeat: harness.parseHeartbeat(words[2:])})
	},
	"query_response": func(harness *traceHarness, _ *traceNode, words []string) {
		heartbeat := harness.parseHeartbeat(words[2:])
		harness.workerHeartbeats[heartbeat.Addr] = heartbeat
	},
	"healthy": func(harness *traceHarness, node *traceNode, _ []string) {
		harness.show(node, "healthy %v", node.core.Healthy())
	},
	"store_fault": (*traceHarness).setStoreFault,
}

// executeLine executes a line of a trace.
func (harness *traceHarness) executeLine(words []string) {
	if duration, ok := strings.CutPrefix(words[0], "+"); ok {
		d, err := time.ParseDuration(duration)
		if err != nil {
			harness.tb.Fatal(err)
		}
		harness.advance(d)
		return
	}
	if handle := harnessDirectives[words[0]]; handle != nil {
		handle(harness, words)
		return
	}
	node := harness.nodes[harness.argument(words, 1)]
	if node == nil {
		harness.tb.Fatalf("node is not running: %v", words)
	}
	harness.lastRequestID++
	handle := nodeDirectives[words[0]]
	if handle == nil {
		harness.tb.Fatalf("unknown directive: %v", words)
	}
	if words[0] == "store_fault" && harness.argument(words, 2) == "commit_delayed" {
		harness.commitDelayed(node)
		return
	}
	handle(harness, node, words)
	harness.respondToWatches()
}

// argument returns a required word of a line.
func (harness *traceHarness) argument(words []string, i int) string {
	if i >= len(words) {
		harness.tb.Fatalf("missing argument: %v", words)
	}
	return words[i]
}

// startNode starts or restarts a node's process.
func (harness *traceHarness) startNode(words []string) {
	node := &traceNode{name: harness.argument(words, 1), storeFault: "none", oldVersion: len(words) > 2}
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
	harness.respondToWatches()
}

// killNode ends a node's process.
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

// storeValue writes a value directly to the key-value store, as an earlier version may have left it.
func (harness *traceHarness) storeValue(words []string) {
	value := json.RawMessage(strings.Join(words[2:], " "))
	if _, got := harness.store.Txn(wire.Txn{Then: []wire.Op{{Put: harness.argument(words, 1), Value: value}}}); got != outcome.OK {
		harness.tb.Fatalf("transaction was not committed: %v", words)
	}
}

// showKeys shows the keys with a prefix, and the beginning of their values.
func (harness *traceHarness) showKeys(words []string) {
	for _, key := range storedKeys(harness.store, harness.argument(words, 1)) {
		item, _ := harness.store.Get(key)
		fmt.Fprintf(&harness.output, "| %s = %.200s\n", key, item.Value)
	}
}

// setStoreFault sets the fault of a node's requests to the key-value store, or delivers the responses that were held.
func (harness *traceHarness) setStoreFault(node *traceNode, words []string) {
	node.storeFault = harness.argument(words, 2)
	if node.storeFault != "release_responses" {
		return
	}
	node.storeFault = "none"
	held := node.heldResults
	node.heldResults = nil
	for _, result := range held {
		harness.step(node, result)
	}
}

// setOutage begins or ends an outage of the key-value store. All leases are renewed when it ends.
func (harness *traceHarness) setOutage(words []string) {
	harness.storeOutage = len(words) == 1
	if !harness.storeOutage {
		harness.store.RefreshLeases(harness.now)
	}
}

// setZones sets the zones of nodes.
func (harness *traceHarness) setZones(words []string) {
	harness.zoneByNode = map[string]string{}
	for _, word := range words[1:] {
		node, zone, _ := strings.Cut(word, "=")
		harness.zoneByNode[node] = zone
	}
}

// changeCloud changes the state of the cloud or of one machine.
func (harness *traceHarness) changeCloud(words []string) {
	switch harness.argument(words, 1) {
	case "down":
		harness.cloudDown = true
	case "up":
		harness.cloudDown, harness.cloudExhausted = false, false
	case "no_capacity":
		harness.cloudExhausted = true
	case "fail":
		harness.machines[harness.argument(words, 2)].State = wire.MachineFailed
	case "unlist":
		harness.hiddenMachine = harness.argument(words, 2)
	case "relist":
		harness.hiddenMachine = ""
	case "remove":
		delete(harness.machines, harness.argument(words, 2))
	case "add":
		machine := &wire.Machine{Name: harness.argument(words, 2), Type: "g8", Zone: "z1", State: wire.MachineRunning}
		if len(words) > 3 {
			machine.Zone = words[3]
		}
		harness.machines[machine.Name] = machine
	}
}

// commitDelayed commits a node's delayed transactions. Their outcome is unknown to the node.
func (harness *traceHarness) commitDelayed(node *traceNode) {
	for _, effect := range node.delayedTransactions {
		result, got := harness.store.Txn(effect.Txn)
		harness.show(node, "delayed transaction %s: %s %v", showChangedKeys(effect.Txn), got, result.Failed)
	}
	node.delayedTransactions = nil
}

// parseUpcomingLimits parses announced limits from words NAME=NUMBER.
func parseUpcomingLimits(tb testing.TB, words []string) *config.UpcomingLimits {
	tb.Helper()
	limits := &config.UpcomingLimits{}
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			tb.Fatalf("invalid number: %s", word)
		}
		switch name {
		case "value_kb":
			limits.ValueKB = &number
		case "write_rps":
			limits.WriteRPS = &number
		case "txn_ops":
			ops := int(number)
			limits.TxnOps = &ops
		default:
			tb.Fatalf("unknown limit: %s", word)
		}
	}
	return limits
}

package core_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bitternwing/internal/emulator"
	"bitternwing/internal/wire"
)

// The golden traces in testdata test the core. A line without "|" is an input; the lines below it that begin with "|"
// are what the nodes do in response. TestTraces replays the inputs and compares the whole file. After an intended
// change `go test ./internal/core -update` rewrites the traces, and the difference is reviewed like code.
//
// The lines of a trace:
//
//	node a                 starts or restarts the process of node a
//	node a old_version     the same, as the version before the second record layout: it does not report
//	                       the layout to its peers, and its settings have no announced limits
//	upcoming_limits value_kb=2 ...   announced limits, in the settings of nodes that start from here on
//	enforce_limits         the key-value store enforces the announced limits
//	kill a                 ends the process of node a
//	+2s                    advances the time
//	submit a run-000001 kind=service tasks=2 gpus=4 team=red ...   submits a job; the other fields are in jobFieldSetters
//	poll a run-000001      requests the status of a job
//	cancel a run-000001    cancels a job
//	heartbeat a m1 incarnation=1 seq=4 token=1 [addr=m1:1] [spot] [zone=z2] [reclaim_notice=20] [TASK#ATTEMPT=STATE[:CAUSE]] ...
//	store_fault a unavailable          the key-value store responds to node a with 503
//	store_fault a lose_responses       requests of node a are executed, but the responses are lost
//	store_fault a no_responses         requests of node a get no response, and its transactions are delayed
//	store_fault a delay_transactions   like no_responses, but only for transactions
//	store_fault a commit_delayed       commits the delayed transactions; the fault continues
//	store_fault a hold_responses       transactions of node a are executed, but it gets the responses only later
//	store_fault a release_responses    node a gets the responses that were held; the fault ends
//	store_fault a rate_limited         requests of node a exceed the rate limit and are dropped
//	store_fault a lose_lists           responses to list requests are lost
//	store_fault a none                 ends the fault
//	store_outage / store_outage end    the key-value store refuses all requests; leases are renewed when the outage ends
//	partition all / partition none / partition NODE   partitions all nodes; ends the partition; partitions NODE from the others
//	partition zones        nodes reach only the peers in their own zone
//	zones b=z2             zones of nodes; default z1
//	cycle_budget 1e-9      round_budget of nodes that start from here on
//	spare_share 0.1        spare_share of nodes that start from here on
//	pace_heartbeats        enables pace_reports for nodes that start from here on
//	direct_commands lost / refused / conflict / ok   outcome of direct commands
//	cloud down / cloud up  begins or ends an outage of the cloud
//	cloud no_capacity      the cloud creates no machines, until cloud up
//	cloud fail m1          the cloud lists m1 as failed
//	cloud unlist m1        the cloud's list lacks m1, until cloud relist m1
//	cloud remove m1        removes m1 without notice
//	cloud add m9 [z2]      adds a machine that no node requested
//	put KEY VALUE          writes a value directly to the key-value store
//	keys PREFIX            shows keys of the key-value store, and the beginning of their values
//	healthy a              shows whether node a is healthy
//	query_response a m1 addr=m1:1 incarnation=...  sets the response of worker m1 to status queries

var updateTraces = flag.Bool("update", false, "rewrite the golden traces")

// TestTraces replays the golden traces and compares what the nodes do.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatal("no files testdata/*.trace", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".trace"), func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			got := runTrace(t, string(data))
			if *updateTraces {
				if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
				return
			}
			if got != string(data) {
				t.Errorf("%s: trace differs:\n%s", file, firstDifference(string(data), got))
			}
		})
	}
}

// firstDifference describes the first line in which two traces differ, followed by the whole trace that was produced.
func firstDifference(want, got string) string {
	w, g := strings.Split(want, "\n"), strings.Split(got, "\n")
	for i := 0; i < len(w) && i < len(g); i++ {
		if w[i] != g[i] {
			return fmt.Sprintf("line %d\nwant: %s\n got: %s\nfull trace:\n%s", i+1, w[i], g[i], got)
		}
	}
	return got
}

// runTrace executes the inputs of a trace and returns the trace with the effects that they have now.
func runTrace(t *testing.T, text string) string {
	t.Helper()
	harness := &traceHarness{tb: t, now: time.Second, store: emulator.NewStore(), nodes: map[string]*traceNode{}, workerHeartbeats: map[string]*wire.Heartbeat{}, machines: map[string]*wire.Machine{}}
	for _, line := range strings.Split(strings.TrimRight(text, "\n"), "\n") {
		if strings.HasPrefix(line, "|") {
			continue
		}
		harness.output.WriteString(line + "\n")
		if words := strings.Fields(line); len(words) > 0 && !strings.HasPrefix(line, "#") {
			harness.executeLine(words)
		}
	}
	return harness.output.String()
}

// show adds an effect on a node to the output.
func (harness *traceHarness) show(node *traceNode, format string, args ...any) {
	fmt.Fprintf(&harness.output, "| %s: %s\n", node.name, fmt.Sprintf(format, args...))
}

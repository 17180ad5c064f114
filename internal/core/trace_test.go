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

var updateTraces = flag.Bool("update", false, "write the traces anew")

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
			got := playTrace(t, string(data))
			if *updateTraces {
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

func playTrace(t *testing.T, text string) string {
	t.Helper()
	harness := &traceHarness{tb: t, now: time.Second, store: emulator.NewStore(), nodes: map[string]*traceNode{}, workerHeartbeats: map[string]*wire.Heartbeat{}, machines: map[string]*wire.Machine{}}
	for _, line := range strings.Split(strings.TrimRight(text, "\n"), "\n") {
		if strings.HasPrefix(line, "|") {
			continue
		}
		harness.out.WriteString(line + "\n")
		if words := strings.Fields(line); len(words) > 0 && !strings.HasPrefix(line, "#") {
			harness.carryOutLine(words)
		}
	}
	return harness.out.String()
}

func (harness *traceHarness) show(node *traceNode, format string, args ...any) {
	fmt.Fprintf(&harness.out, "| %s: %s\n", node.name, fmt.Sprintf(format, args...))
}

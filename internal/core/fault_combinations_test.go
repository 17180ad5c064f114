package core_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Tests of combinations of faults. A file in testdata/fault_combinations contains a script, followed by the trace of
// its run: which node led, which tasks started and stopped where, and what users were told. A test fails if a rule of
// the protocol is violated, also if the trace is as expected. TestSearch generates such scripts from seeds, for example
// with `go test ./internal/core -run TestSearch -first 1 -seeds 1000`; a script that exposes a bug is added to the
// directory. With `-show DIR`, the script and the log of each failed seed are written to DIR.
//
// A script consists of these lines. AT is a time, FOR a duration, both in seconds. NODE is a name, or "leader", "other"
// (a running node that does not lead) or "all". MACHINE is a name, or an index among the workers that are up.
//
//	zones a=z1 b=z1 c=z2     zones of the nodes; must come before all lines but seed
//	seed 7                   seed of the random numbers; must come before all lines but zones
//	next value_kb=1 ...      announces store limits in the settings
//	old                      all nodes run the version that predates the second record layout
//	machines z1 z1 z2-spot   machines that are up at the start
//	room 8                   number of machines that the cloud offers in each zone; default 4
//	AT submit run-000001 kind=service tasks=2 gpus=4 team=green run=20 faulty
//	AT cancel run-000001
//	AT cancel_at_end run-000001   cancels a job, and submits it again, when its last task has completed
//	AT cancel_now            the user of a random running job cancels it
//	AT refuse NODE FOR       the key-value store refuses the node's calls
//	AT cut NODE state,peers,workers,users FOR       cuts the node off from the store, peers, workers or users
//	AT upgrade NODE FOR      like kill, but the node restarts with the new version
//	AT limits                the announced store limits take effect
//	AT kill NODE FOR         the node's process ends, and restarts after FOR
//	AT freeze NODE FOR       the node's process is frozen
//	AT short NODE MS FOR     the node is short of CPU time: each step takes MS milliseconds
//	AT outage FOR            the store refuses all calls
//	AT slow UPTO FOR         calls to the store are delayed by up to UPTO seconds, in each direction
//	AT cloud FOR             the cloud refuses all calls
//	AT late_writes SHARE FOR    a fraction of transactions is committed late, without a response
//	AT late_reports SHARE FOR   a copy of a fraction of heartbeats arrives late
//	AT late_orders SHARE FOR    a fraction of direct calls to workers is delayed or repeated late
//	AT partition FOR         no zone reaches another
//	AT zone_cut ZONE FOR     the zone is cut off from the other zones, the store and the cloud
//	AT hang MACHINE FOR      the worker hangs
//	AT deaf MACHINE FOR      the worker receives nothing
//	AT mute MACHINE FOR      the worker's heartbeats reach no node
//	AT sick MACHINE FOR      all tasks on the machine fail
//	AT die MACHINE           the machine fails without notice
//	AT take MACHINE          the cloud removes the machine without notice
//	AT recall MACHINE        the cloud reclaims the machine 5 s after a notice
//	AT boots SHARE_NEVER FACTOR FOR   fraction of new machines that never boot, multiplier of the other boot times
//	AT polls PER_SECOND FOR  random jobs are polled; the trace contains the response statuses
//	AT odd                   requests that must be rejected, and repeats of requests
//	calm AT                  time when the last fault ends
//	end AT                   end of the simulation

var (
	firstSeed     = flag.Uint64("first", 1, "first seed of TestSearch")
	seeds         = flag.Uint64("seeds", 150, "number of seeds that TestSearch runs")
	showDirectory = flag.String("show", "", "directory for the scripts and logs of failed seeds of TestSearch, and for the logs of fault combinations")
)

// TestFaultCombinations runs the scripts in testdata/fault_combinations and compares the traces.
func TestFaultCombinations(t *testing.T) {
	files, err := filepath.Glob("testdata/fault_combinations/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatal("no files in testdata/fault_combinations", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".trace"), func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			var script []string
			for _, line := range strings.Split(strings.TrimRight(string(data), "\n"), "\n") {
				if !strings.HasPrefix(line, "|") {
					script = append(script, line)
				}
			}
			s, violations := runScript(t, strings.Join(script, "\n"))
			for _, violation := range violations {
				t.Errorf("rule violated: %s", violation)
			}
			got := strings.Join(script, "\n") + "\n" + s.trace.String()
			if *showDirectory != "" {
				writeOutput(t, filepath.Base(file)+".all", s.log.String())
			}
			switch {
			case *updateTraces:
				if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
			case got != string(data):
				t.Errorf("%s: trace differs:\n%s", file, firstDifference(string(data), got))
			}
		})
	}
}

// writeOutput writes a file to the directory of -show.
func writeOutput(t *testing.T, name, text string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(*showDirectory, name), []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

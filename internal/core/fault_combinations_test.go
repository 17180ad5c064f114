package core_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Simulated days on which several faults coincide. A file in testdata/fault_combinations is a script, followed by the
// events of the simulation: leader changes, tasks that start and stop, and responses to users. The test fails if a rule
// of the protocol is violated, whatever events the file holds. TestSearch generates such scripts from seeds; one that
// finds a violation is added to the directory: `go test ./internal/core -run TestSearch -first 1 -seeds 1000`, and
// `-show DIR` writes the script and the events of a seed that fails.
//
//	zones a=z1 b=z1 c=z2     zones of the nodes; first line
//	seed 7                   seed of the random numbers
//	upcoming_limits value_kb=1 ...   announced limits, in the settings
//	old_version              all nodes run the version before the second record layout
//	machines z1 z1 z2-spot   machines that run at the start
//	machines_per_zone 8      number of machines that the cloud has in each zone; default 4
//	AT submit run-000001 kind=service tasks=2 gpus=4 team=green run=20 faulty
//	AT cancel run-000001
//	AT cancel_on_completion run-000001   cancels a job, and submits it again, once all its tasks have completed
//	AT cancel_running        the user of a running job cancels it
//	AT store_unavailable NODE FOR        the key-value store refuses the node's requests
//	AT isolate NODE store,peers,workers,users FOR
//	AT upgrade NODE FOR      like kill, but the node starts again with the new version
//	AT enforce_limits        the key-value store enforces the announced limits
//	AT kill NODE FOR         AT freeze NODE FOR
//	AT overload_cpu NODE MS FOR          each step of the node takes MS milliseconds
//	AT store_outage FOR      AT store_delay UP_TO FOR            AT cloud_outage FOR
//	AT delayed_transactions SHARE FOR    AT delayed_heartbeats SHARE FOR    AT delayed_commands SHARE FOR
//	AT partition_zones FOR   AT isolate_zone ZONE FOR
//	AT hang MACHINE FOR                  the worker's process stands still
//	AT drop_inbound MACHINE FOR          no message reaches the worker
//	AT drop_heartbeats MACHINE FOR       the worker's heartbeats are lost
//	AT fail_tasks MACHINE FOR            all tasks on the machine fail
//	AT stop_machine MACHINE              AT remove_machine MACHINE    AT reclaim MACHINE
//	AT boot_faults SHARE_NEVER FACTOR FOR   share of new machines that never boot, and factor for the boot time of the others
//	AT poll_load PER_SECOND FOR          users poll jobs; shows the number of responses by status
//	AT invalid_requests      requests that must be refused, and repeated ones
//	faults_end AT, end AT    end of the last fault, end of the simulation
//
// NODE is the name of a node, "leader", "follower" (one that is running) or "all".

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

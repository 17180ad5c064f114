package core_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The scripts in testdata/fault_combinations run simulations in which several faults coincide. Each file holds a script,
// followed by the trace of its simulation: leader changes, tasks that start and stop, and responses to users. The test
// compares the trace, and fails if a rule of the protocol is violated, whatever trace the file holds. TestSearch runs
// scripts that are generated from seeds: `go test ./internal/core -run TestSearch -first 1 -seeds 1000`. With
// `-show DIR` it writes the script and the events of a seed that fails. A script that finds a violation is added to the
// directory.
//
// These lines configure the simulation. Zones and seed precede all others:
//
//	zones a=z1 b=z1 c=z2             zones of the nodes
//	seed 7                           seed of the random numbers; default 1
//	upcoming_limits value_kb=1 txn_ops=4 write_rps=42   announced limits, in the settings
//	old_version                      all nodes run the version before the second record layout
//	machines z1 z1 z2-spot           zones of the machines that run at the start; -spot marks spot machines
//	machines_per_zone 8              number of machines that the cloud has in each zone; default 4
//	immediate_responses              nodes do not hold back responses to heartbeats, so that most starts are sent directly
//	faults_end AT                    end of the last fault
//	end AT                           end of the simulation
//
// All other lines are events. AT is the time of the event in seconds; FOR is the duration of a fault in seconds.
//
// Requests of users:
//
//	AT submit run-000001 kind=service tasks=2 gpus=4 team=green run=20 faulty
//	                                 a job as in traces, of team green by default; run is the run time of its tasks in
//	                                 seconds, and the tasks of a faulty job fail
//	AT cancel JOB                    cancels a job of an earlier line
//	AT cancel_on_completion JOB      cancels a job once all its tasks have completed, and submits it again
//	AT submit_everywhere JOB ...     submits a job; for 4 s its user also repeats the submission and asks about the job at
//	                                 all nodes, within milliseconds and without waiting for responses
//	AT submit_everywhere_and_cancel JOB ...   the same; the user cancels the job as soon as any node has accepted it
//	AT cancel_running                cancels a random running job
//	AT poll_load PER_SECOND FOR      users poll jobs; the trace shows the number of responses by status
//	AT invalid_requests              requests that must be refused, and repeated ones
//
// Faults of nodes. NODE is the name of a node, "leader", "follower" (one that is running) or "all":
//
//	AT kill NODE FOR                 ends the node's process, which starts again after FOR
//	AT upgrade NODE FOR              like kill, but the node starts again with the new version
//	AT freeze NODE FOR               suspends the node's process
//	AT overload_cpu NODE MS FOR      each step of the node takes MS milliseconds
//	AT store_unavailable NODE FOR    the key-value store refuses the node's requests
//	AT isolate NODE store,peers,workers,users FOR   cuts the node off from the listed ones
//
// Faults of the key-value store, the cloud and the network. SHARE is a fraction:
//
//	AT enforce_limits                the key-value store enforces the announced limits
//	AT store_outage FOR              the key-value store refuses all requests
//	AT store_delay UP_TO FOR         delays requests to the key-value store and responses by up to UP_TO seconds
//	AT slow_responses SHARE FOR      transactions are committed at once, but their responses are slow
//	AT cloud_outage FOR              the cloud refuses all calls
//	AT delayed_transactions SHARE FOR   transactions are committed late, without a response
//	AT delayed_heartbeats SHARE FOR  a second copy of heartbeats arrives late
//	AT delayed_commands SHARE FOR    calls to workers are delayed, or repeated late
//	AT copied_commands FOR           copies of direct commands with starts reach their worker at each moment that matters
//	AT refuse_releases FOR           the cloud refuses to release machines
//	AT partition_zones FOR           no zone reaches another
//	AT isolate_zone ZONE FOR         cuts the zone off from other zones, the key-value store, the cloud and users
//
// Faults of machines. MACHINE is the name of a machine, or a number that selects one of those that are up:
//
//	AT hang MACHINE FOR              the worker's process is suspended
//	AT hold_commands MACHINE FOR     direct commands to the worker arrive only after FOR, and their responses are lost
//	AT refuse_starts MACHINE FOR     the worker refuses all starts
//	AT restart_worker MACHINE FOR    the worker's process ends with its tasks, and is back after FOR in the next incarnation
//	AT restart_worker_anew MACHINE FOR   the same, but it begins with incarnation 1 and fencing token 0 again
//	AT unlist MACHINE FOR            the cloud's list lacks the machine
//	AT drop_inbound MACHINE FOR      no message reaches the worker
//	AT drop_heartbeats MACHINE FOR   the worker's heartbeats are lost
//	AT fail_tasks MACHINE FOR        all tasks on the machine fail
//	AT stop_machine MACHINE          the machine stops without notice
//	AT remove_machine MACHINE        the machine ends and is removed from the cloud's list
//	AT reclaim MACHINE               the cloud reclaims the machine 5 s after a reclaim notice
//	AT boot_faults SHARE FACTOR FOR  SHARE of the new machines never boot; FACTOR multiplies the boot time of the others

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

package core_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Days on which troubles meet. A kept one in testdata/fault_combinations is a script, and below it what
// came of it: who led, what started and ended where, what users were told. It fails when a rule
// of the protocol breaks, whatever is kept. TestSearch makes up such scripts by seed; what it
// finds becomes a kept one: `go test ./internal/core -run TestSearch -first 1 -seeds 1000`, and
// `-show DIR` writes script and events of a seed that fails.
//
//	zones a=z1 b=z1 c=z2     where nodes are; first line
//	seed 7                   of all that is left to chance
//	next value_kb=1 ...      limits to come, in the settings
//	old                      all nodes are of the version before the second layout of records
//	machines z1 z1 z2-spot   up at the start
//	room 8                   machines that the cloud has in each zone, if not 4
//	AT submit run-000001 kind=service tasks=2 gpus=4 team=green run=20 faulty
//	AT cancel run-000001     AT cancel_at_end run-000001
//	AT cancel_now            the user of some job that runs cancels it
//	AT refuse NODE FOR       the state service refuses it; NODE may be "leader"
//	AT cut NODE state,peers,workers,users FOR
//	AT upgrade NODE FOR      the same as kill, and back with the new version
//	AT limits                the limits to come are there
//	AT kill NODE|all FOR     AT freeze NODE FOR
//	AT short NODE|all MS FOR it is short of processor time: each step takes it so many ms
//	AT outage FOR            AT slow UPTO FOR      AT cloud FOR
//	AT late_writes SHARE FOR AT late_reports SHARE FOR   AT late_orders SHARE FOR
//	AT partition FOR         AT zone_cut ZONE FOR
//	AT hang|deaf|mute|sick MACHINE FOR              AT die|take|recall MACHINE
//	AT boots SHARE_NEVER FACTOR FOR                 how new machines come up
//	AT polls PER_SECOND FOR  users ask about jobs; shown is what they got
//	AT odd                   requests that must be refused, and repeats
//	calm AT, end AT          troubles are over; the day is

var (
	firstSeed     = flag.Uint64("first", 1, "first seed of TestSearch")
	seeds         = flag.Uint64("seeds", 150, "number of seeds of TestSearch")
	showDirectory = flag.String("show", "", "where TestSearch writes what failed")
)

func TestFaultCombinations(t *testing.T) {
	files, err := filepath.Glob("testdata/fault_combinations/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatal("no fault combinations", err)
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
			s, broken := runScript(t, strings.Join(script, "\n"))
			for _, b := range broken {
				t.Errorf("a rule is broken: %s", b)
			}
			got := strings.Join(script, "\n") + "\n" + s.shown.String()
			if *showDirectory != "" {
				writeShown(t, filepath.Base(file)+".all", s.journal.String())
			}
			switch {
			case *updateTraces:
				if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
			case got != string(data):
				t.Errorf("%s: something else came of it:\n%s", file, firstDifference(string(data), got))
			}
		})
	}
}

// writeShown writes a file into the directory that -show names.
func writeShown(t *testing.T, name, text string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(*showDirectory, name), []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

package main

import (
	"fmt"
	"os"

	"bitternwing/internal/fleetsim"
)

// progressIntervalS is how often progress is written where nobody watches.
const progressIntervalS = 10

// progress shows how far a run is: on a terminal one line that changes, elsewhere a line now and then.
type progress struct {
	out      *os.File
	scenario *fleetsim.Scenario
	terminal bool
	seconds  int
}

func newProgress(out *os.File, s *fleetsim.Scenario) *progress {
	info, err := out.Stat()
	return &progress{out: out, scenario: s, terminal: err == nil && info.Mode()&os.ModeCharDevice != 0}
}

// show shows a second of the run. What can't be written is not shown.
func (p *progress) show(s fleetsim.Second) {
	p.seconds++
	line := fmt.Sprintf("%4.0f of %.0f s  leader %-14s %5d workers  asked %5d/s  started %5d/s  on machines %6d  broken rules %d",
		s.AtS, p.scenario.DurationS, s.Leader, s.Reporting, s.Requested, s.Started, s.OnMachine, s.Violations)
	switch {
	case p.terminal:
		_, _ = fmt.Fprint(p.out, "\r\x1b[K", line)
	case p.seconds%progressIntervalS == 0:
		_, _ = fmt.Fprintln(p.out, line)
	}
}

// end leaves the last line standing.
func (p *progress) end() {
	if p.terminal && p.seconds > 0 {
		_, _ = fmt.Fprintln(p.out)
	}
}

package main

import (
	"fmt"
	"os"

	"bitternwing/internal/fleetsim"
)

// progressIntervalS is the interval in seconds between lines if the output is not a terminal.
const progressIntervalS = 10

// progress shows the progress of a simulation. On a terminal it updates a single line, elsewhere it writes a line at
// intervals.
type progress struct {
	out      *os.File
	scenario *fleetsim.Scenario
	terminal bool
	seconds  int
}

func newProgress(out *os.File, scenario *fleetsim.Scenario) *progress {
	info, err := out.Stat()
	return &progress{out: out, scenario: scenario, terminal: err == nil && info.Mode()&os.ModeCharDevice != 0}
}

// show shows the counts of a second. Write errors are ignored, as they do not affect the result.
func (p *progress) show(second fleetsim.Second) {
	p.seconds++
	line := fmt.Sprintf("%4.0f of %.0f s  leader %-14s %5d workers  requested %5d/s  started %5d/s  on machines %6d  violations %d",
		second.AtS, p.scenario.DurationS, second.Leader, second.Reporting, second.Requested, second.Started, second.OnMachine, second.Violations)
	switch {
	case p.terminal:
		_, _ = fmt.Fprint(p.out, "\r\x1b[K", line)
	case p.seconds%progressIntervalS == 0:
		_, _ = fmt.Fprintln(p.out, line)
	}
}

// end completes the line on a terminal.
func (p *progress) end() {
	if p.terminal && p.seconds > 0 {
		_, _ = fmt.Fprintln(p.out)
	}
}

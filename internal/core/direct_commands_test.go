package core

import (
	"fmt"
	"testing"

	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// acceptsAll is a taskAcceptance that accepts tasks for every machine.
type acceptsAll struct{}

func (acceptsAll) acceptsTasks(*machine) bool { return true }

// takeCommands returns the direct commands among a core's effects, and clears the effects.
func takeCommands(c *Core) (commands []SendCommands) {
	for _, effect := range c.effects {
		if command, ok := effect.(SendCommands); ok {
			commands = append(commands, command)
		}
	}
	c.effects = nil
	return commands
}

// TestDirectCommandsAreBounded stops a task on more machines than there may be direct commands in flight. The limit
// must never be exceeded, each result must free a slot for the next command, and each machine must be sent its stop
// exactly once.
func TestDirectCommandsAreBounded(t *testing.T) {
	const excess = 7
	l := newLeaderWithPeers()
	c, d := l.core, l.dispatcher
	d.acceptance = acceptsAll{}
	machines := d.maxInFlight() + excess
	cancelledJob := &job{id: "run-000001", spec: &wire.Job{ID: "run-000001", Tasks: machines}}
	for i := range machines {
		m := l.findOrAddMachine(fmt.Sprintf("m%03d", i))
		m.addr = m.name
		p := &placement{job: cancelledJob, task: i, attempt: 1, machine: m, phase: phaseReported}
		m.addPlacement(p)
		p.requestStop(stopImmediate, stopCancelled)
		d.enqueue(m)
	}
	c.effects = nil
	sent := map[string]int{}
	d.run()
	inFlight := takeCommands(c)
	if len(inFlight) != d.maxInFlight() {
		t.Fatalf("%d commands in flight after the first run, want %d", len(inFlight), d.maxInFlight())
	}
	for len(inFlight) > 0 {
		next := inFlight[0]
		inFlight = inFlight[1:]
		sent[next.Addr]++
		c.handleResult(Result{CallID: next.CallID, Outcome: outcome.Unavailable})
		d.run()
		inFlight = append(inFlight, takeCommands(c)...)
		if len(inFlight) > d.maxInFlight() {
			t.Fatalf("got %d commands in flight, want at most the limit", len(inFlight))
		}
	}
	if len(sent) != machines || d.inFlight != 0 {
		t.Errorf("got stops for %d of %d machines and %d commands in flight, want all and 0", len(sent), machines, d.inFlight)
	}
	for name, times := range sent {
		if times != 1 {
			t.Errorf("%s was sent its stop %d times, want once", name, times)
		}
	}
}

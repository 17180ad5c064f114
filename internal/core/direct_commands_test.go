package core

import (
	"fmt"
	"testing"

	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// acceptsAll is a taskAcceptance of all machines.
type acceptsAll struct{}

func (acceptsAll) acceptsTasks(*machine) bool { return true }

// takeCommands gives the direct commands among a core's effects, and clears them.
func takeCommands(c *Core) (commands []SendCommands) {
	for _, effect := range c.effects {
		if command, ok := effect.(SendCommands); ok {
			commands = append(commands, command)
		}
	}
	c.effects = nil
	return commands
}

// TestDirectCommandsAreBounded has a task stopped on more machines than may be sent commands at once. Each result lets
// the next command out, and each machine is sent its stop once.
func TestDirectCommandsAreBounded(t *testing.T) {
	const waiting = 7
	l := newLeaderWithPeers()
	c, d := l.core, l.dispatcher
	d.acceptance = acceptsAll{}
	machines := d.maxInFlight() + waiting
	stopped := &job{id: "run-000001", spec: &wire.Job{ID: "run-000001", Tasks: machines}}
	for i := range machines {
		m := l.machineNamed(fmt.Sprintf("m%03d", i))
		m.addr = m.name
		p := &placement{job: stopped, task: i, attempt: 1, machine: m, phase: phaseReported}
		m.addPlacement(p)
		p.requestStop(stopImmediate, stopCancelled)
		d.add(m)
	}
	c.effects = nil
	sent := map[string]int{}
	d.run()
	inFlight := takeCommands(c)
	if len(inFlight) != d.maxInFlight() {
		t.Fatalf("%d commands are sent at once, not %d", len(inFlight), d.maxInFlight())
	}
	for len(inFlight) > 0 {
		next := inFlight[0]
		inFlight = inFlight[1:]
		sent[next.Addr]++
		c.handleResult(Result{CallID: next.CallID, Outcome: outcome.Unavailable})
		d.run()
		inFlight = append(inFlight, takeCommands(c)...)
		if len(inFlight) > d.maxInFlight() {
			t.Fatalf("%d commands are in flight", len(inFlight))
		}
	}
	if len(sent) != machines || d.inFlight != 0 {
		t.Errorf("%d of %d machines are sent their stops, %d commands are in flight", len(sent), machines, d.inFlight)
	}
	for name, times := range sent {
		if times != 1 {
			t.Errorf("%s is sent its stop %d times", name, times)
		}
	}
}

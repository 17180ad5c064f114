package core

import (
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// sendDirectCommands sends committed starts, and stops, to their machines directly, instead of waiting for
// the next report. Package fencing tells what bounds how late they can take effect.
func (l *leader) sendDirectCommands() {
	for _, m := range l.pendingDispatch {
		l.sendHeldResponse(m)
	}
	if !l.core.operator.DirectStarts || !l.hasAuthority() {
		l.pendingDispatch = l.pendingDispatch[:0]
		return
	}
	for i, m := range l.pendingDispatch {
		if l.commandsInFlight >= l.core.maxDirectCommands() {
			// Hundreds of machines at once, many of them silent, would use up the sockets.
			// The rest follows with the answers, or goes with those to reports.
			l.pendingDispatch = append(l.pendingDispatch[:0], l.pendingDispatch[i:]...)
			return
		}
		if m.commandInFlight || !l.acceptsTasks(m) || m.addr == "" || l.machines[m.name] != m || !m.fence.MayStartDirectly() {
			continue
		}
		if o := l.newDirectCommand(m); len(o.commands) > 0 {
			l.sendDirectCommand(o)
		}
	}
	l.pendingDispatch = l.pendingDispatch[:0]
}

// directCommand is what a machine is told directly.
type directCommand struct {
	machine      *machine
	fencingToken uint64
	incarnation  uint64
	commands     []wire.Command
	starts       []*placement // those of them that are started
}

// newDirectCommand puts together what a machine is to start and to stop.
func (l *leader) newDirectCommand(m *machine) *directCommand {
	o := &directCommand{machine: m, fencingToken: m.fence.Token(), incarnation: m.incarnation}
	// Through an outage stops still go out, of jobs that other nodes know to be cancelled.
	mayStart := l.core.election.LeaseValid() && !l.core.storeDown
	for _, p := range m.placementsSnapshot() {
		if len(o.commands) >= maxCommands {
			break
		}
		switch {
		case p.incarnation != o.incarnation:
		case p.stop != stopNone && p.phase >= phaseSent && !p.stopSent:
			// A stop names its attempt; late or repeated it does no harm.
			p.stopSent = true
			l.logCommand(wire.OpStop, p, viaDirectCommand)
			o.commands = append(o.commands, p.stopCommand())
		case mayStart && p.startable():
			l.logCommand(wire.OpStart, p, viaDirectCommand)
			o.starts = append(o.starts, p)
			o.commands = append(o.commands, p.startCommand())
			p.phase, p.directStartToken, p.directStartInFlight = phaseSent, o.fencingToken, true
			if m.directStarts == nil {
				m.directStarts = map[attemptName]uint64{}
			}
			m.directStarts[attemptName{p.name(), p.attempt}] = o.fencingToken
		}
	}
	return o
}

func (l *leader) sendDirectCommand(o *directCommand) {
	o.machine.commandInFlight = true
	l.commandsInFlight++
	id := l.registerCall(func(r Result) {
		o.machine.commandInFlight = false
		l.commandsInFlight--
		l.applyDirectCommandResult(o, r)
	})
	l.core.emit(SendCommands{CallID: id, Addr: o.machine.addr, FencingToken: o.fencingToken, Incarnation: o.incarnation, Commands: o.commands})
}

// applyDirectCommandResult takes in what became of a direct order.
func (l *leader) applyDirectCommandResult(o *directCommand, r Result) {
	m := o.machine
	stops := len(o.commands) > len(o.starts)
	if stops && r.Outcome == outcome.OK && r.Heartbeat.Machine == m.name {
		// What was stopped shows at once: users may wait to be told that nothing starts.
		l.reconcileIndirect(&r.Heartbeat, originQuery)
	}
	if r.Outcome == outcome.OK {
		l.pendingDispatch = append(l.pendingDispatch, m) // for what was decided meanwhile
	}
	for _, p := range o.starts {
		p.directStartInFlight = false
		switch r.Outcome {
		case outcome.OK:
			p.directStartSequence = r.Heartbeat.Sequence
		case outcome.Unknown:
			// It may be carried out at any later time, or commands don't reach it.
			l.requireFencingToken(m, o.fencingToken+1)
		case outcome.Conflict, outcome.Unavailable, outcome.Dropped, outcome.Invalid:
			l.revertStart(p)
		}
	}
}

// revertStart takes back a direct start that was certainly not carried out: it goes with the answer
// to the next report.
func (l *leader) revertStart(p *placement) {
	if p.phase != phaseSent {
		return
	}
	p.phase, p.directStartToken = phaseCommitted, 0
	if p.stop != stopNone {
		l.endPlacement(p) // told to stop meanwhile: it never starts
	}
}

package core

import (
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// maxDirectCommands bounds the sockets that direct commands take.
func (c *Core) maxDirectCommands() int { return max(4, c.settings.Params.Limits.MaxConnections/12) }

// sendDirectCommands sends committed starts, and stops, to their machines directly, instead of waiting for the next
// heartbeat. Package fencing tells what bounds how late they can take effect.
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
			// Hundreds of machines at once, many of them silent, would use up the sockets. The rest follows with the
			// results, or goes with responses to heartbeats.
			l.pendingDispatch = append(l.pendingDispatch[:0], l.pendingDispatch[i:]...)
			return
		}
		if !l.acceptsDirectCommands(m) {
			continue
		}
		if command := l.newDirectCommand(m); len(command.commands) > 0 {
			l.sendDirectCommand(command)
		}
	}
	l.pendingDispatch = l.pendingDispatch[:0]
}

// acceptsDirectCommands tells whether a machine may be sent direct commands now.
func (l *leader) acceptsDirectCommands(m *machine) bool {
	return !m.commandInFlight && l.acceptsTasks(m) && m.addr != "" && l.machines[m.name] == m && m.fence.MayStartDirectly()
}

// directCommand is the commands that a machine is sent directly.
type directCommand struct {
	leader       *leader
	machine      *machine
	fencingToken uint64
	incarnation  uint64
	commands     []wire.Command
	starts       []*placement // those that the commands start
}

// newDirectCommand gathers what a machine is to start and to stop.
func (l *leader) newDirectCommand(m *machine) *directCommand {
	command := &directCommand{leader: l, machine: m, fencingToken: m.fence.Token(), incarnation: m.incarnation}
	// Through an outage stops still go out, of jobs that other nodes know to be cancelled.
	mayStart := l.mayCommit()
	for _, p := range m.placementsSnapshot() {
		if len(command.commands) >= maxCommands {
			break
		}
		if p.incarnation != command.incarnation {
			continue
		}
		switch {
		case p.stop != stopNone && p.phase >= phaseSent && !p.stopSent:
			command.addStop(p)
		case mayStart && p.startable():
			command.addStart(p)
		}
	}
	return command
}

// addStop adds the stop of a placement. It names its attempt; late or repeated it does no harm.
func (d *directCommand) addStop(p *placement) {
	p.stopSent = true
	d.leader.logCommand(wire.OpStop, p, viaDirectCommand)
	d.commands = append(d.commands, p.stopCommand())
}

// addStart adds the start of a placement.
func (d *directCommand) addStart(p *placement) {
	d.leader.logCommand(wire.OpStart, p, viaDirectCommand)
	d.starts = append(d.starts, p)
	d.commands = append(d.commands, p.startCommand())
	p.phase, p.directStartToken, p.directStartInFlight = phaseSent, d.fencingToken, true
	if d.machine.directStarts == nil {
		d.machine.directStarts = map[attemptName]uint64{}
	}
	d.machine.directStarts[attemptName{p.name(), p.attempt}] = d.fencingToken
}

func (l *leader) sendDirectCommand(command *directCommand) {
	m := command.machine
	m.commandInFlight = true
	l.commandsInFlight++
	id := l.registerCall(command.applyResult)
	l.core.emit(SendCommands{CallID: id, Addr: m.addr, FencingToken: command.fencingToken, Incarnation: command.incarnation, Commands: command.commands})
}

// applyResult takes in what became of a direct command.
func (d *directCommand) applyResult(result Result) {
	l, m := d.leader, d.machine
	m.commandInFlight = false
	l.commandsInFlight--
	stops := len(d.commands) > len(d.starts)
	if stops && result.Outcome == outcome.OK && result.Heartbeat.Machine == m.name {
		// What was stopped shows at once: users may wait to be told that nothing starts.
		l.reconcileIndirect(&result.Heartbeat, originQuery)
	}
	if result.Outcome == outcome.OK {
		l.pendingDispatch = append(l.pendingDispatch, m) // for what was decided meanwhile
	}
	for _, p := range d.starts {
		p.directStartInFlight = false
		d.applyStartResult(p, result)
	}
}

// applyStartResult takes in what became of the direct start of a placement.
func (d *directCommand) applyStartResult(p *placement, result Result) {
	switch result.Outcome {
	case outcome.OK:
		p.directStartSequence = result.Heartbeat.Sequence
	case outcome.Unknown:
		// It may be carried out at any later time, or commands don't reach the machine.
		d.leader.requireFencingToken(d.machine, d.fencingToken+1)
	case outcome.Conflict, outcome.Unavailable, outcome.Dropped, outcome.Invalid:
		d.leader.revertStart(p)
	case outcome.NotFound, outcome.TooOld, outcome.TooLarge: // no outcomes of a command
	}
}

// revertStart reverts a direct start that was certainly not carried out: it goes with the response to the next
// heartbeat.
func (l *leader) revertStart(p *placement) {
	if p.phase != phaseSent {
		return
	}
	p.phase, p.directStartToken = phaseCommitted, 0
	if p.stop != stopNone {
		l.endPlacement(p) // to be stopped meanwhile: it never starts
	}
}

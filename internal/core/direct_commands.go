package core

import (
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// commandDispatcher sends committed starts, and stops, to their machines directly, instead of waiting for the next
// heartbeat. Package fencing tells what bounds how late they can take effect.
type commandDispatcher struct {
	core       *Core
	authority  leaderAuthority
	calls      termCalls
	logger     commandLogger
	machines   map[string]*machine
	held       *heldResponses
	acceptance taskAcceptance
	placements placementEnder
	reconciler contactReconciler

	pending  []*machine // with starts that were just committed, or stops
	inFlight int        // direct commands without a result yet
}

// taskAcceptance tells whether a machine may be given tasks.
type taskAcceptance interface{ acceptsTasks(m *machine) bool }

// contactReconciler reconciles with the heartbeats that come as results of direct commands, and requires a machine to
// show that responses reach it.
type contactReconciler interface {
	indirectReconciler
	requireFencingToken(m *machine, token uint64)
}

// newCommandDispatcher makes the dispatcher of a leader.
func newCommandDispatcher(l *leader) *commandDispatcher {
	return &commandDispatcher{
		core:       l.core,
		authority:  l.leaderAuthority,
		calls:      l.termCalls,
		logger:     commandLogger{core: l.core, term: l.term},
		machines:   l.machines,
		held:       l.heldResponses,
		acceptance: l,
		placements: l,
		reconciler: l.reconciler,
	}
}

// add has the commands for a machine sent with the next run.
func (d *commandDispatcher) add(m *machine) { d.pending = append(d.pending, m) }

// run sends the pending commands: with the machines' held responses, and else directly.
func (d *commandDispatcher) run() {
	for _, m := range d.pending {
		d.held.send(m)
	}
	if !d.core.operator.DirectStarts || !d.authority.hasAuthority() {
		d.pending = d.pending[:0]
		return
	}
	for i, m := range d.pending {
		if d.inFlight >= d.maxInFlight() {
			// Hundreds of machines at once, many of them silent, would use up the sockets. The rest follows with the
			// results, or goes with responses to heartbeats.
			d.pending = append(d.pending[:0], d.pending[i:]...)
			return
		}
		if !d.accepts(m) {
			continue
		}
		if command := d.newCommand(m); len(command.commands) > 0 {
			d.send(command)
		}
	}
	d.pending = d.pending[:0]
}

// maxInFlight bounds the sockets that direct commands take.
func (d *commandDispatcher) maxInFlight() int {
	return max(4, d.core.settings.Params.Limits.MaxConnections/12)
}

// accepts tells whether a machine may be sent direct commands now.
func (d *commandDispatcher) accepts(m *machine) bool {
	return !m.commandInFlight && d.acceptance.acceptsTasks(m) && m.addr != "" && d.machines[m.name] == m &&
		m.fence.MayStartDirectly()
}

// directCommand is the commands that a machine is sent directly.
type directCommand struct {
	dispatcher   *commandDispatcher
	machine      *machine
	fencingToken uint64
	incarnation  uint64
	commands     []wire.Command
	starts       []*placement // those that the commands start
}

// newCommand gathers what a machine is to start and to stop.
func (d *commandDispatcher) newCommand(m *machine) *directCommand {
	command := &directCommand{dispatcher: d, machine: m, fencingToken: m.fence.Token(), incarnation: m.incarnation}
	// During an outage stops are still sent, of jobs that other nodes know to be cancelled.
	mayStart := d.authority.mayCommit()
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
func (c *directCommand) addStop(p *placement) {
	p.stopSent = true
	c.dispatcher.logger.log(wire.OpStop, p, viaDirectCommand)
	c.commands = append(c.commands, p.stopCommand())
}

// addStart adds the start of a placement.
func (c *directCommand) addStart(p *placement) {
	c.dispatcher.logger.log(wire.OpStart, p, viaDirectCommand)
	c.starts = append(c.starts, p)
	c.commands = append(c.commands, p.startCommand())
	p.phase, p.directStartToken, p.directStartInFlight = phaseSent, c.fencingToken, true
	if c.machine.directStarts == nil {
		c.machine.directStarts = map[attemptName]uint64{}
	}
	c.machine.directStarts[attemptName{p.name(), p.attempt}] = c.fencingToken
}

// send sends a direct command.
func (d *commandDispatcher) send(command *directCommand) {
	m := command.machine
	m.commandInFlight = true
	d.inFlight++
	id := d.calls.registerCall(command.applyResult)
	d.core.emit(SendCommands{
		CallID:       id,
		Addr:         m.addr,
		FencingToken: command.fencingToken,
		Incarnation:  command.incarnation,
		Commands:     command.commands,
	})
}

// applyResult handles the result of a direct command.
func (c *directCommand) applyResult(result Result) {
	d, m := c.dispatcher, c.machine
	m.commandInFlight = false
	d.inFlight--
	stops := len(c.commands) > len(c.starts)
	if stops && result.Outcome == outcome.OK && result.Heartbeat.Machine == m.name {
		// What was stopped shows at once: users may wait for the confirmation that nothing starts.
		d.reconciler.reconcileIndirect(&result.Heartbeat, originQuery)
	}
	if result.Outcome == outcome.OK {
		d.add(m) // for what was decided meanwhile
	}
	for _, p := range c.starts {
		p.directStartInFlight = false
		c.applyStartResult(p, result)
	}
}

// applyStartResult handles the result of the direct start of a placement.
func (c *directCommand) applyStartResult(p *placement, result Result) {
	switch result.Outcome {
	case outcome.OK:
		p.directStartSequence = result.Heartbeat.Sequence
	case outcome.Unknown:
		// It may be carried out at any later time, or commands don't reach the machine.
		c.dispatcher.reconciler.requireFencingToken(c.machine, c.fencingToken+1)
	case outcome.Conflict, outcome.Unavailable, outcome.Dropped, outcome.Invalid:
		c.dispatcher.revertStart(p)
	case outcome.NotFound, outcome.TooOld, outcome.TooLarge: // no outcomes of a command
	}
}

// revertStart reverts a direct start that was certainly not carried out: it goes with the response to the next
// heartbeat.
func (d *commandDispatcher) revertStart(p *placement) {
	if p.phase != phaseSent {
		return
	}
	p.phase, p.directStartToken = phaseCommitted, 0
	if p.stop != stopNone {
		d.placements.endPlacement(p) // to be stopped meanwhile: it never starts
	}
}

package core

import (
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// commandDispatcher sends stops and committed starts directly to machines instead of waiting for their next heartbeats.
// Package fencing explains how late a direct command can still take effect.
type commandDispatcher struct {
	core          *Core
	authority     leaderAuthority
	calls         termCalls
	logger        commandLogger
	machines      map[string]*machine
	heldResponses *heldResponses
	acceptance    taskAcceptance
	placements    placementEnder
	reconciler    commandResultReconciler

	pending  []*machine // machines with new starts or stops
	inFlight int        // direct commands without a result yet
}

// taskAcceptance reports whether a machine may be given tasks.
type taskAcceptance interface{ acceptsTasks(m *machine) bool }

// commandResultReconciler reconciles the state with the heartbeats that are returned by direct commands, and requires
// machines to show that responses reach them.
type commandResultReconciler interface {
	indirectReconciler
	requireFencingToken(m *machine, token uint64)
}

// newCommandDispatcher returns the command dispatcher of a leader.
func newCommandDispatcher(l *leader) *commandDispatcher {
	return &commandDispatcher{
		core:          l.core,
		authority:     l.leaderAuthority,
		calls:         l.termCalls,
		logger:        commandLogger{core: l.core, term: l.term},
		machines:      l.machines,
		heldResponses: l.heldResponses,
		acceptance:    l,
		placements:    l,
		reconciler:    l.reconciler,
	}
}

// enqueue schedules the commands for a machine to be sent by the next run.
func (d *commandDispatcher) enqueue(m *machine) { d.pending = append(d.pending, m) }

// run sends the pending commands: with the held response of a machine if there is one, and otherwise directly.
func (d *commandDispatcher) run() {
	for _, m := range d.pending {
		d.heldResponses.send(m)
	}
	if !d.core.operator.DirectStarts || !d.authority.hasAuthority() {
		d.pending = d.pending[:0]
		return
	}
	for i, m := range d.pending {
		if d.inFlight >= d.maxInFlight() {
			// Commands to hundreds of machines at once, many of them silent, would use up the sockets. The rest is sent
			// when results arrive, or with responses to heartbeats.
			d.pending = append(d.pending[:0], d.pending[i:]...)
			return
		}
		if !d.accepts(m) {
			continue
		}
		if request := d.newRequest(m); len(request.commands) > 0 {
			d.send(request)
		}
	}
	d.pending = d.pending[:0]
}

// maxInFlight returns the limit on direct commands in flight, which bounds the sockets that they use.
func (d *commandDispatcher) maxInFlight() int {
	return max(4, d.core.settings.Params.Limits.MaxConnections/12)
}

// accepts reports whether a machine may be sent direct commands now.
func (d *commandDispatcher) accepts(m *machine) bool {
	return !m.commandInFlight && d.acceptance.acceptsTasks(m) && m.addr != "" && d.machines[m.name] == m &&
		m.fence.MayStartDirectly()
}

// commandRequest is a request that sends commands directly to a machine.
type commandRequest struct {
	dispatcher   *commandDispatcher
	machine      *machine
	fencingToken uint64
	incarnation  uint64
	commands     []wire.Command
	starts       []*placement // placements that the commands start
}

// newRequest returns a request with the starts and stops that are to be sent to a machine.
func (d *commandDispatcher) newRequest(m *machine) *commandRequest {
	request := &commandRequest{dispatcher: d, machine: m, fencingToken: m.fence.Token(), incarnation: m.incarnation}
	// During a store outage stops are still sent, for jobs whose cancellation other nodes know.
	mayStart := d.authority.mayCommit()
	for _, p := range m.placementsSnapshot() {
		if len(request.commands) >= maxCommands {
			break
		}
		if p.incarnation != request.incarnation {
			continue
		}
		switch {
		case p.stop != stopNone && p.phase >= phaseSent && !p.stopSent:
			request.addStop(p)
		case mayStart && p.startable():
			request.addStart(p)
		}
	}
	return request
}

// addStop adds the stop of a placement. The command names the attempt, so it does no harm if it arrives late or twice.
func (r *commandRequest) addStop(p *placement) {
	p.stopSent = true
	r.dispatcher.logger.log(wire.OpStop, p, viaDirectCommand)
	r.commands = append(r.commands, p.stopCommand())
}

// addStart adds the start of a placement.
func (r *commandRequest) addStart(p *placement) {
	r.dispatcher.logger.log(wire.OpStart, p, viaDirectCommand)
	r.starts = append(r.starts, p)
	r.commands = append(r.commands, p.startCommand())
	p.phase, p.directStartToken, p.directStartInFlight = phaseSent, r.fencingToken, true
	if r.machine.directStarts == nil {
		r.machine.directStarts = map[attemptName]uint64{}
	}
	r.machine.directStarts[attemptName{p.name(), p.attempt}] = r.fencingToken
}

func (d *commandDispatcher) send(request *commandRequest) {
	m := request.machine
	m.commandInFlight = true
	d.inFlight++
	id := d.calls.registerCall(request.applyResult)
	d.core.emit(SendCommands{
		CallID:       id,
		Addr:         m.addr,
		FencingToken: request.fencingToken,
		Incarnation:  request.incarnation,
		Commands:     request.commands,
	})
}

func (r *commandRequest) applyResult(result Result) {
	d, m := r.dispatcher, r.machine
	m.commandInFlight = false
	d.inFlight--
	hasStops := len(r.commands) > len(r.starts)
	if hasStops && result.Outcome == outcome.OK && result.Heartbeat.Machine == m.name {
		// Reconcile the stops at once: users may be waiting for the confirmation that nothing starts any more.
		d.reconciler.reconcileIndirect(&result.Heartbeat, originRequested)
	}
	if result.Outcome == outcome.OK {
		d.enqueue(m) // other commands may have become pending meanwhile
	}
	for _, p := range r.starts {
		p.directStartInFlight = false
		r.applyStartResult(p, result)
	}
}

// applyStartResult handles the result of a placement's direct start.
func (r *commandRequest) applyStartResult(p *placement, result Result) {
	switch result.Outcome {
	case outcome.OK:
		p.directStartSequence = result.Heartbeat.Sequence
	case outcome.Unknown:
		// The start may be carried out at any later time, or commands do not reach the machine.
		r.dispatcher.reconciler.requireFencingToken(r.machine, r.fencingToken+1)
	case outcome.Conflict, outcome.Unavailable, outcome.Dropped, outcome.Invalid:
		r.dispatcher.revertStart(p)
	case outcome.NotFound, outcome.TooOld, outcome.TooLarge: // commands have none of these outcomes
	}
}

// revertStart reverts a direct start that was certainly not carried out. The start is then sent with the response to
// the next heartbeat.
func (d *commandDispatcher) revertStart(p *placement) {
	if p.phase != phaseSent {
		return
	}
	p.phase, p.directStartToken = phaseCommitted, 0
	if p.stop != stopNone {
		d.placements.endPlacement(p) // a stop was requested meanwhile, so the task never starts
	}
}

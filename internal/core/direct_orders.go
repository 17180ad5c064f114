package core

import (
	"bitternwing/internal/call"
	"bitternwing/internal/wire"
)

// orders sends committed starts, and stops, to their machines directly, instead of waiting for
// the next report. See token for what bounds how late they can take effect.
func (l *leader) orders() {
	for _, m := range l.due {
		l.answerHeld(m)
	}
	if !l.c.operator.DirectStarts || !l.entitled() {
		l.due = l.due[:0]
		return
	}
	for i, m := range l.due {
		if l.ordering >= l.c.maxDirectCommands() {
			// Hundreds of machines at once, many of them silent, would use up the sockets.
			// The rest follows with the answers, or goes with those to reports.
			l.due = append(l.due[:0], l.due[i:]...)
			return
		}
		if m.ordering || !l.usable(m) || m.addr == "" || l.machines[m.name] != m || !l.mayOrder(m) {
			continue
		}
		if o := l.directOrder(m); len(o.commands) > 0 {
			l.sendOrder(o)
		}
	}
	l.due = l.due[:0]
}

// directOrder is what a machine is told directly.
type directOrder struct {
	machine  *machine
	token    uint64
	session  uint64
	commands []wire.Command
	starts   []*placement // those of them that are started
}

// directOrder puts together what a machine is to start and to stop.
func (l *leader) directOrder(m *machine) *directOrder {
	o := &directOrder{machine: m, token: l.token(m), session: m.session}
	// Through an outage stops still go out, of jobs that other nodes know to be cancelled.
	mayStart := l.c.election.leaseValid() && !l.c.storeDown
	for _, p := range m.sorted() {
		if len(o.commands) >= mostCommands {
			break
		}
		switch {
		case p.session != o.session:
		case p.stop != keep && p.phase >= sent && !p.stopOut:
			// A stop names its attempt; late or repeated it does no harm.
			p.stopOut = true
			l.logCommand(wire.OpStop, p, directly)
			o.commands = append(o.commands, p.stopCommand())
		case mayStart && p.startable():
			l.logCommand(wire.OpStart, p, directly)
			o.starts = append(o.starts, p)
			o.commands = append(o.commands, p.startCommand())
			p.phase, p.direct, p.waits = sent, o.token, true
			if m.direct == nil {
				m.direct = map[attemptName]uint64{}
			}
			m.direct[attemptName{p.name(), p.attempt}] = o.token
		}
	}
	return o
}

func (l *leader) sendOrder(o *directOrder) {
	o.machine.ordering = true
	l.ordering++
	id := l.call(func(r Result) {
		o.machine.ordering = false
		l.ordering--
		l.ordered(o, r)
	})
	l.c.emit(SendCommands{CallID: id, Addr: o.machine.addr, FencingToken: o.token, Incarnation: o.session, Commands: o.commands})
}

// ordered takes in what became of a direct order.
func (l *leader) ordered(o *directOrder, r Result) {
	m := o.machine
	stops := len(o.commands) > len(o.starts)
	if stops && r.Outcome == call.OK && r.Heartbeat.Machine == m.name {
		// What was stopped shows at once: users may wait to be told that nothing starts.
		l.relayed(&r.Heartbeat, true)
	}
	if r.Outcome == call.OK {
		l.due = append(l.due, m) // for what was decided meanwhile
	}
	for _, p := range o.starts {
		p.waits = false
		switch r.Outcome {
		case call.OK:
			p.answer = r.Heartbeat.Sequence
		case call.Unknown:
			// It may be carried out at any later time, or commands don't reach it.
			l.requireToken(m, o.token+1)
		case call.Conflict, call.Refused, call.Dropped, call.Invalid:
			l.notStarted(p)
		}
	}
}

// notStarted takes back a direct start that was certainly not carried out: it goes with the answer
// to the next report.
func (l *leader) notStarted(p *placement) {
	if p.phase != sent {
		return
	}
	p.phase, p.direct = committed, 0
	if p.stop != keep {
		l.end(p) // told to stop meanwhile: it never starts
	}
}

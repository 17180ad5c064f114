package core

import "bitternwing/internal/wire"

// commands adds a machine's orders to an answer.
func (l *leader) commands(m *machine, r *wire.Heartbeat, answer *leaseAnswer) {
	for i := range m.exits {
		t := &m.exits[i]
		if answer.full() || !l.forgettable(t) {
			continue
		}
		name := attemptName{t.Task, t.Attempt}
		if used, ok := m.direct[name]; ok {
			l.raise(m, used)
			delete(m.direct, name)
		}
		answer.add(wire.Command{Op: wire.OpForget, Task: t.Task, Attempt: t.Attempt})
	}
	for i := range m.orphanedTasks {
		// No record explains it, and it has no right to run.
		answer.add(stopAtOnce(&m.orphanedTasks[i]))
	}
	mayStart := l.c.election.leaseValid()
	for _, p := range m.list {
		if answer.full() {
			break
		}
		switch {
		case p.session != m.session:
		case p.stop != keep && p.phase >= sent:
			if p.stop == stopSaving && p.state == wire.TaskCheckpointing {
				continue
			}
			l.logCommand(wire.OpStop, p, withAnswer)
			answer.add(p.stopCommand())
		case mayStart && p.startable():
			p.phase, p.sentSeq = sent, r.Sequence
			l.logCommand(wire.OpStart, p, withAnswer)
			answer.add(p.startCommand())
		}
	}
}

// commandWay is how a command goes to a machine.
type commandWay string

// The ways.
const (
	withAnswer commandWay = "answer" // to a report
	directly   commandWay = "direct" // to the worker's address
)

// logCommand logs a command for a machine, and by which right it is given.
func (l *leader) logCommand(op wire.CommandOp, p *placement, way commandWay) {
	if l.c.omitDebug {
		return
	}
	right := "lease"
	if !l.c.election.leaseValidAt(l.c.now.Steady) {
		right = "all nodes refused"
	}
	l.c.log(Debug, "command", "op", op, "task", p.name(), "attempt", p.attempt, "machine", p.machine.name, "token", max(p.machine.current, firstToken(l.term)),
		"term", l.term, "way", way, "right", right, "why", p.stopWhy, "state_served", !l.c.storeDown)
}

// startable tells whether a task is committed and is to start.
func (p *placement) startable() bool {
	return p.phase == committed && p.stop == keep && !p.job.cancelled
}

// startCommand starts a task.
func (p *placement) startCommand() wire.Command {
	return wire.Command{Op: wire.OpStart, Task: p.name(), Attempt: p.attempt}
}

// stopCommand stops a task, with time to save where it is to save.
func (p *placement) stopCommand() wire.Command {
	grace := 0.0
	if p.stop == stopSaving {
		grace = 1.5 * p.job.spec.CheckpointTimeS
	}
	return wire.Command{Op: wire.OpStop, Task: p.name(), Attempt: p.attempt, GracePeriodS: &grace}
}

// forgettable tells whether an exit may be forgotten: only once all that it tells
// is in the state service, for after that a repeated start would run again.
func (l *leader) forgettable(t *wire.TaskStatus) bool {
	id, task, ok := wire.ParseTaskName(t.Task)
	if !ok {
		return true
	}
	j := l.jobs[id]
	if j == nil || task >= j.spec.Tasks {
		return l.c.cache.jobs[id] == nil || task >= l.c.cache.jobs[id].Spec.Tasks
	}
	if j.final {
		// Its end holds what this exit tells, and is yet to be written: no record is written of it
		// any more, so a clean one proves nothing.
		return false
	}
	ch := j.chunks[task/l.chunkSize()]
	if ch != nil && !ch.clean() {
		return false
	}
	p := j.placed[task]
	return p == nil || p.attempt != t.Attempt
}

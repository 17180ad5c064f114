package core

import "bitternwing/internal/wire"

// addCommands adds a machine's orders to an answer.
func (l *leader) addCommands(m *machine, r *wire.Heartbeat, answer *leaseResponse) {
	for i := range m.exitedTasks {
		t := &m.exitedTasks[i]
		if answer.full() || !l.mayForgetExit(t) {
			continue
		}
		name := attemptName{t.Task, t.Attempt}
		if used, ok := m.directStarts[name]; ok {
			m.fence.RaiseAbove(used)
			delete(m.directStarts, name)
		}
		answer.add(wire.Command{Op: wire.OpForget, Task: t.Task, Attempt: t.Attempt})
	}
	for i := range m.orphanedTasks {
		// No record explains it, and it has no right to run.
		answer.add(stopImmediately(&m.orphanedTasks[i]))
	}
	mayStart := l.core.election.LeaseValid()
	for _, p := range m.placementsInOrder {
		if answer.full() {
			break
		}
		switch {
		case p.incarnation != m.incarnation:
		case p.stop != stopNone && p.phase >= phaseSent:
			if p.stop == stopAfterCheckpoint && p.state == wire.TaskCheckpointing {
				continue
			}
			l.logCommand(wire.OpStop, p, viaHeartbeatResponse)
			answer.add(p.stopCommand())
		case mayStart && p.startable():
			p.phase, p.startSequence = phaseSent, r.Sequence
			l.logCommand(wire.OpStart, p, viaHeartbeatResponse)
			answer.add(p.startCommand())
		}
	}
}

// commandPath is how a command goes to a machine.
type commandPath string

// The ways.
const (
	viaHeartbeatResponse commandPath = "answer" // to a report
	viaDirectCommand     commandPath = "direct" // to the worker's address
)

// logCommand logs a command for a machine, and by which right it is given.
func (l *leader) logCommand(op wire.CommandOp, p *placement, way commandPath) {
	if l.core.omitDebug {
		return
	}
	right := "lease"
	if !l.core.election.LeaseValidAt(l.core.now.Steady) {
		right = "all nodes refused"
	}
	l.core.log(Debug, "worker command", "op", op, "task", p.name(), "attempt", p.attempt, "worker", p.machine.name, "fencing_token", p.machine.fence.Token(),
		"term", l.term, "path", way, "authority", right, "reason", p.stopReason, "store_available", !l.core.storeDown)
}

// startable tells whether a task is committed and is to start.
func (p *placement) startable() bool {
	return p.phase == phaseCommitted && p.stop == stopNone && !p.job.cancelled
}

// startCommand starts a task.
func (p *placement) startCommand() wire.Command {
	return wire.Command{Op: wire.OpStart, Task: p.name(), Attempt: p.attempt}
}

// stopCommand stops a task, with time to save where it is to save.
func (p *placement) stopCommand() wire.Command {
	grace := 0.0
	if p.stop == stopAfterCheckpoint {
		grace = 1.5 * p.job.spec.CheckpointTimeS
	}
	return wire.Command{Op: wire.OpStop, Task: p.name(), Attempt: p.attempt, GracePeriodS: &grace}
}

// mayForgetExit tells whether an exit may be forgotten: only once all that it tells
// is in the state service, for after that a repeated start would run again.
func (l *leader) mayForgetExit(t *wire.TaskStatus) bool {
	id, task, ok := wire.ParseTaskName(t.Task)
	if !ok {
		return true
	}
	j := l.jobs[id]
	if j == nil || task >= j.spec.Tasks {
		return l.core.cache.Job(id) == nil || task >= l.core.cache.Job(id).Spec.Tasks
	}
	if j.ending {
		// Its end holds what this exit tells, and is yet to be written: no record is written of it
		// any more, so a clean one proves nothing.
		return false
	}
	ch := j.chunks[task/l.tasksPerRecord()]
	if ch != nil && !ch.persisted() {
		return false
	}
	p := j.placements[task]
	return p == nil || p.attempt != t.Attempt
}

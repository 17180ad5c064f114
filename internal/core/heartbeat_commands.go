package core

import "bitternwing/internal/wire"

// commandBuilder adds the commands for a machine to the responses to its heartbeats.
type commandBuilder struct {
	core    *Core
	logger  commandLogger
	jobs    map[string]*job
	records recordState
}

// recordState tells whether all that is known of a task is in the key-value store.
type recordState interface{ isPersisted(j *job, task int) bool }

// newCommandBuilder makes the command builder of a leader.
func newCommandBuilder(l *leader) *commandBuilder {
	return &commandBuilder{core: l.core, logger: commandLogger{core: l.core, term: l.term}, jobs: l.jobs, records: &l.records}
}

// addCommands adds the commands for a machine to the response to its heartbeat.
func (b *commandBuilder) addCommands(m *machine, heartbeat *wire.Heartbeat, response *leaseResponse) {
	b.addForgets(m, response)
	for i := range m.orphanedTasks {
		// No record explains it, and it has no right to run.
		response.add(stopImmediately(&m.orphanedTasks[i]))
	}
	mayStart := b.core.election.LeaseValid()
	for _, p := range m.placementsInOrder {
		if response.full() {
			break
		}
		if p.incarnation != m.incarnation {
			continue
		}
		switch {
		case p.stop != stopNone && p.phase >= phaseSent:
			b.addStop(p, response)
		case mayStart && p.startable():
			p.phase, p.startSequence = phaseSent, heartbeat.Sequence
			b.logger.log(wire.OpStart, p, viaHeartbeatResponse)
			response.add(p.startCommand())
		}
	}
}

// addForgets has the worker forget exited tasks, as far as it may.
func (b *commandBuilder) addForgets(m *machine, response *leaseResponse) {
	for i := range m.exitedTasks {
		task := &m.exitedTasks[i]
		if response.full() || !b.mayForgetExit(task) {
			continue
		}
		attempt := attemptName{task.Task, task.Attempt}
		if used, ok := m.directStarts[attempt]; ok {
			m.fence.RaiseAbove(used)
			delete(m.directStarts, attempt)
		}
		response.add(wire.Command{Op: wire.OpForget, Task: task.Task, Attempt: task.Attempt})
	}
}

// addStop has the worker stop a task, unless it is writing the checkpoint after which it stops.
func (b *commandBuilder) addStop(p *placement, response *leaseResponse) {
	if p.stop == stopAfterCheckpoint && p.state == wire.TaskCheckpointing {
		return
	}
	b.logger.log(wire.OpStop, p, viaHeartbeatResponse)
	response.add(p.stopCommand())
}

// commandPath is how a command is sent to a machine.
type commandPath string

const (
	viaHeartbeatResponse commandPath = "answer"
	viaDirectCommand     commandPath = "direct" // to the worker's address
)

// commandLogger logs the commands of a leader.
type commandLogger struct {
	core *Core
	term uint64
}

// log logs a command for a machine, and the authority by which it is given.
func (g commandLogger) log(op wire.CommandOp, p *placement, path commandPath) {
	if g.core.omitDebug {
		return
	}
	authority := "lease"
	if !g.core.election.LeaseValidAt(g.core.now.Steady) {
		authority = "all nodes refused"
	}
	g.core.log(Debug, "worker command", "op", op, "task", p.name(), "attempt", p.attempt, "worker", p.machine.name,
		"fencing_token", p.machine.fence.Token(), "term", g.term, "path", path, "authority", authority, "reason", p.stopReason, "store_available", !g.core.storeHealth.down)
}

// startable tells whether a task is committed and is to start.
func (p *placement) startable() bool {
	return p.phase == phaseCommitted && p.stop == stopNone && !p.job.cancelled
}

// startCommand starts a task.
func (p *placement) startCommand() wire.Command {
	return wire.Command{Op: wire.OpStart, Task: p.name(), Attempt: p.attempt}
}

// stopCommand stops a task, with time for a checkpoint if it is to write one.
func (p *placement) stopCommand() wire.Command {
	gracePeriodS := 0.0
	if p.stop == stopAfterCheckpoint {
		gracePeriodS = 1.5 * p.job.spec.CheckpointTimeS
	}
	return wire.Command{Op: wire.OpStop, Task: p.name(), Attempt: p.attempt, GracePeriodS: &gracePeriodS}
}

// mayForgetExit tells whether an exit may be forgotten: only once all that follows from it is in the key-value store, for
// after that a repeated start would run again.
func (b *commandBuilder) mayForgetExit(exited *wire.TaskStatus) bool {
	id, task, ok := wire.ParseTaskName(exited.Task)
	if !ok {
		return true
	}
	j := b.jobs[id]
	if j == nil || task >= j.spec.Tasks {
		cached := b.core.cache.Job(id)
		return cached == nil || task >= cached.Spec.Tasks
	}
	if j.ending {
		// Its end covers this exit, and is yet to be written: no record is written of it any more, so a clean one proves
		// nothing.
		return false
	}
	if !b.records.isPersisted(j, task) {
		return false
	}
	p := j.placements[task]
	return p == nil || p.attempt != exited.Attempt
}

package core

import "bitternwing/internal/wire"

// commandBuilder adds commands to the responses to workers' heartbeats.
type commandBuilder struct {
	core    *Core
	logger  commandLogger
	jobs    map[string]*job
	records recordState
}

// recordState reports whether everything known about a task is in the key-value store.
type recordState interface{ isPersisted(j *job, task int) bool }

// newCommandBuilder returns the command builder of a leader.
func newCommandBuilder(l *leader) *commandBuilder {
	return &commandBuilder{core: l.core, logger: commandLogger{core: l.core, term: l.term}, jobs: l.jobs, records: &l.records}
}

// addCommands adds the commands for a machine to the response to its heartbeat.
func (b *commandBuilder) addCommands(m *machine, heartbeat *wire.Heartbeat, response *leaseResponse) {
	b.addForgetCommands(m, response)
	for i := range m.orphanedTasks {
		// No record allows this task to run.
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

// addForgetCommands adds the commands to forget exited tasks that no longer have to be reported.
func (b *commandBuilder) addForgetCommands(m *machine, response *leaseResponse) {
	for i := range m.exitedTasks {
		task := &m.exitedTasks[i]
		if response.full() || !b.mayForgetExit(task) {
			continue
		}
		attempt := attemptName{task.Task, task.Attempt}
		if startToken, ok := m.directStarts[attempt]; ok {
			m.fence.RaiseAbove(startToken)
			delete(m.directStarts, attempt)
		}
		response.add(wire.Command{Op: wire.OpForget, Task: task.Task, Attempt: task.Attempt})
	}
}

// addStop adds the command to stop a task, unless the task is already writing its last checkpoint.
func (b *commandBuilder) addStop(p *placement, response *leaseResponse) {
	if p.stop == stopAfterCheckpoint && p.state == wire.TaskCheckpointing {
		return
	}
	b.logger.log(wire.OpStop, p, viaHeartbeatResponse)
	response.add(p.stopCommand())
}

// commandPath is how a command is sent to a machine, as it appears in the log.
type commandPath string

const (
	viaHeartbeatResponse commandPath = "answer"
	viaDirectCommand     commandPath = "direct" // sent to the worker's address
)

// commandLogger logs the commands that a leader sends.
type commandLogger struct {
	core *Core
	term uint64
}

// log logs a command and the leader's authority to send it.
func (l commandLogger) log(op wire.CommandOp, p *placement, path commandPath) {
	if l.core.omitDebug {
		return
	}
	authority := "lease"
	if !l.core.election.LeaseValidAt(l.core.now.Steady) {
		authority = "store outage confirmed"
	}
	l.core.log(Debug, "worker command", "op", op, "task", p.name(), "attempt", p.attempt, "worker", p.machine.name,
		"fencing_token", p.machine.fence.Token(), "term", l.term, "path", path, "authority", authority,
		"reason", p.stopReason, "store_available", !l.core.storeHealth.down)
}

// startable reports whether a placement is committed and its task is to be started.
func (p *placement) startable() bool {
	return p.phase == phaseCommitted && p.stop == stopNone && !p.job.cancelled
}

// startCommand returns the command to start the placement's task.
func (p *placement) startCommand() wire.Command {
	return wire.Command{Op: wire.OpStart, Task: p.name(), Attempt: p.attempt}
}

// stopCommand returns the command to stop the placement's task, with a grace period if the task is to write a
// checkpoint.
func (p *placement) stopCommand() wire.Command {
	gracePeriodS := 0.0
	if p.stop == stopAfterCheckpoint {
		gracePeriodS = 1.5 * p.job.spec.CheckpointTimeS
	}
	return wire.Command{Op: wire.OpStop, Task: p.name(), Attempt: p.attempt, GracePeriodS: &gracePeriodS}
}

// mayForgetExit reports whether the worker may forget an exited task. It may do so only once everything that follows
// from the exit is in the key-value store, because a worker that has forgotten a task would run it again on a repeated
// start command.
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
	if j.endPending {
		// The job's end covers this exit and is yet to be written. The records of an ending job are no longer written,
		// so a record that is not dirty proves nothing.
		return false
	}
	if !b.records.isPersisted(j, task) {
		return false
	}
	p := j.placements[task]
	return p == nil || p.attempt != exited.Attempt
}

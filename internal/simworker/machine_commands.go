package simworker

import (
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/resource"
	"bitternwing/internal/wire"
)

// ApplyHeartbeatResponse executes the commands in the response to a heartbeat of an incarnation. It reports false if
// the response has an older fencing token or is for an earlier incarnation: it is dropped and does not renew the lease.
func (m *Machine) ApplyHeartbeatResponse(now time.Duration, incarnation uint64, response wire.HeartbeatResponse) bool {
	if response.FencingToken < m.fencingToken || incarnation != m.incarnation {
		return false
	}
	m.fencingToken = response.FencingToken
	m.execute(now, response.Commands)
	return true
}

// ApplyDirectCommands executes direct commands. It reports false if they have an older fencing token or are for an
// earlier incarnation: none is executed.
func (m *Machine) ApplyDirectCommands(now time.Duration, direct wire.DirectCommands) bool {
	if direct.FencingToken < m.fencingToken || direct.Incarnation != m.incarnation {
		return false
	}
	m.fencingToken = direct.FencingToken
	m.execute(now, direct.Commands)
	return true
}

// execute executes commands in order.
func (m *Machine) execute(now time.Duration, commands []wire.Command) {
	m.Advance(now)
	for _, c := range commands {
		id := attempt{c.Task, c.Attempt}
		t := m.tasks[id]
		switch {
		case c.Op == wire.OpStart && t == nil:
			m.start(now, id)
		case c.Op == wire.OpStop && t != nil:
			m.stop(now, t, c.GracePeriodS)
		case c.Op == wire.OpForget && t != nil && t.State == wire.TaskExited:
			delete(m.tasks, id)
		}
	}
}

// start starts an attempt, or has it exit with the reason why it can't start.
func (m *Machine) start(now time.Duration, id attempt) {
	m.observer.StartReceived(Start{m.info.Name, id.task, id.number, m.fencingToken})
	t := &task{TaskStatus: wire.TaskStatus{Task: id.task, Attempt: id.number, State: wire.TaskFetching}, transitionAt: Never}
	jobID, index, ok := wire.ParseTaskName(id.task)
	job := m.jobs.Job(jobID)
	known := ok && job != nil && index < job.Tasks
	var refusal wire.ExitCause
	switch {
	case !known:
		refusal = wire.CauseUnknownTask
	case m.Holds(id.task):
		refusal = wire.CauseBusy
	case m.refusing, !m.free().Covers(resource.OfTask(job)):
		refusal = wire.CauseNoCapacity
	}
	m.tasks[id] = t
	m.changed = true
	if refusal != "" {
		m.exit(t, refusal)
		return
	}
	t.job = job
	t.transitionAt = m.fetch(now, job)
	m.nextEventAt = min(m.nextEventAt, t.transitionAt)
}

// fetch starts to fetch a job's image unless it is cached, and returns when it is cached.
func (m *Machine) fetch(now time.Duration, job *wire.Job) time.Duration {
	return m.Prefetch(now, job.Image, job.ImageGB)
}

// Prefetch starts to fetch an image unless it is cached or being fetched, and returns when it is cached.
func (m *Machine) Prefetch(now time.Duration, image string, sizeGB float64) time.Duration {
	readyAt, known := m.imageReadyAt[image]
	if !known {
		duration := config.Seconds(sizeGB / m.info.Type.FetchGBPerS)
		m.fetches++
		m.fetchTime += duration
		readyAt = now + duration
		m.imageReadyAt[image] = readyAt
	}
	return max(now, readyAt)
}

// stop ends a task, after a checkpoint if the job has checkpoints and the grace period is long enough for one.
func (m *Machine) stop(now time.Duration, t *task, graceS *float64) {
	grace := 0.0
	if graceS != nil {
		grace = *graceS
	}
	switch {
	case t.State == wire.TaskExited:
	case t.State == wire.TaskCheckpointing && grace > 0:
	case t.State == wire.TaskRunning && t.job.CheckpointIntervalS > 0 && grace >= t.job.CheckpointTimeS:
		t.State = wire.TaskCheckpointing
		t.transitionAt = now + config.Seconds(t.job.CheckpointTimeS)
		m.nextEventAt = min(m.nextEventAt, t.transitionAt)
		m.changed = true
	default:
		m.exit(t, wire.CauseStopped)
	}
}

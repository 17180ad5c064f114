package node

import (
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"bitternwing/internal/core"
)

// slowStepDivisor is the part of a check interval above which a step of the core is logged as slow. While a step runs,
// the node answers neither users nor workers.
const slowStepDivisor = 4

// stepMonitor measures how long the phases of the core's steps take. It logs a step that is still running after the
// limit, so that a step that never ends is visible too.
type stepMonitor struct {
	log   *slog.Logger
	limit time.Duration
	timer *time.Timer // fires once the current step has exceeded the limit

	mu        sync.Mutex // guards the following fields, which the timer's goroutine reads
	running   bool
	step      stepTimes
	phase     core.Phase
	phaseFrom time.Time
}

// stepTimes are the durations of a step and of its phases.
type stepTimes struct {
	input     string // kind of the step's input
	startedAt time.Time
	total     time.Duration
	phases    [core.PhaseCount]time.Duration
}

// newStepMonitor returns a monitor that logs steps that take longer than the limit.
func newStepMonitor(log *slog.Logger, limit time.Duration) *stepMonitor {
	m := &stepMonitor{log: log, limit: limit}
	m.timer = time.AfterFunc(limit, m.logRunning)
	m.timer.Stop()
	return m
}

// begin starts the measurement of a step.
func (m *stepMonitor) begin(input string) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.step = stepTimes{input: input, startedAt: now}
	m.phase, m.phaseFrom, m.running = core.PhaseInput, now, true
	m.timer.Reset(m.limit)
}

// beginPhase ends the current phase of the step and begins the given one.
func (m *stepMonitor) beginPhase(phase core.Phase) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.step.phases[m.phase] += now.Sub(m.phaseFrom)
	m.phase, m.phaseFrom = phase, now
}

// end ends the step and returns its durations.
func (m *stepMonitor) end() stepTimes {
	m.timer.Stop()
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.step.phases[m.phase] += now.Sub(m.phaseFrom)
	m.step.total = now.Sub(m.step.startedAt)
	m.running = false
	return m.step
}

// logRunning logs that the current step exceeds the limit, and checks again once it has taken twice as long.
func (m *stepMonitor) logRunning() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	elapsed := now.Sub(m.step.startedAt)
	if !m.running || elapsed < m.limit {
		return // the timer fired as the step ended
	}
	m.log.Info("step still running", "input", m.step.input, "phase", m.phase.String(), "after_ms", elapsed.Milliseconds(),
		"in_phase_ms", now.Sub(m.phaseFrom).Milliseconds())
	m.timer.Reset(elapsed)
}

// String returns the phases that took a millisecond or more, in their order.
func (s *stepTimes) String() string {
	var text []string
	for phase, spent := range s.phases {
		if spent >= time.Millisecond {
			text = append(text, fmt.Sprintf("%v=%dms", core.Phase(phase), spent.Milliseconds()))
		}
	}
	return strings.Join(text, " ")
}

// finishStep adds a step to the metrics, and logs it if it was slow, with the size of the state and what the last
// scheduling cycle did. The caller holds coreMu.
func (n *Node) finishStep(step stepTimes) {
	for phase, spent := range step.phases {
		if spent > 0 {
			n.metrics.Phase(core.Phase(phase).String(), spent)
		}
	}
	if step.total < n.steps.limit {
		return
	}
	n.metrics.SlowStep()
	size, work := n.core.StepSize(), n.core.LastCycleWork()
	n.log.Info("slow step", "input", step.input, "ms", step.total.Milliseconds(), "phases", step.String(),
		"jobs", size.Jobs, "queued", size.Queued, "tasks_unplaced", size.Unplaced, "machines", size.Machines,
		"jobs_below_minimum", work.JobsBelowMinimum, "placed", work.TasksPlaced, "reverted", work.TasksReverted,
		"reservations", work.Reservations, "unmet_tasks", work.UnmetTasks, "machine_checks", work.MachineChecks,
		"tasks_packed", work.TasksPacked, "machines_planned", work.MachinesPlanned, "evaluations", work.Evaluations)
}

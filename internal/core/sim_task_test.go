package core_test

import (
	"fmt"
	"time"

	"bitternwing/internal/wire"
)

// simulatedTask is one attempt of a task on a worker.
type simulatedTask struct {
	wire.TaskStatus
	onMachine  bool // the rule checker counts the task as being on the machine
	generation int  // incremented when the state changes; timers of older generations do nothing
}

// killTasks ends all tasks of a worker and removes their statuses.
func (s *simulation) killTasks(worker *simulatedWorker) {
	for _, key := range sortedKeys(worker.tasks) {
		s.removeFromMachine(worker, worker.tasks[key], false)
	}
	clear(worker.tasks)
}

// removeFromMachine invalidates a task's timers and records at the rule checker that the task is no longer on its
// machine.
func (s *simulation) removeFromMachine(worker *simulatedWorker, task *simulatedTask, done bool) {
	task.generation++
	if task.onMachine {
		task.onMachine = false
		s.ruleChecker.recordEnd(task.Task, worker.name, done)
	}
}

// attemptKey returns the key of an attempt in simulatedWorker.tasks.
func attemptKey(task string, attempt uint64) string { return fmt.Sprint(task, "#", attempt) }

// executeCommands executes commands as the worker protocol specifies.
func (s *simulation) executeCommands(worker *simulatedWorker, commands []wire.Command) {
	for _, command := range commands {
		key := attemptKey(command.Task, command.Attempt)
		task := worker.tasks[key]
		switch command.Op {
		case wire.OpStart:
			if task == nil {
				s.startTask(worker, key, command)
			}
		case wire.OpStop:
			if task == nil || task.State == wire.TaskExited {
				break
			}
			if job := s.jobOf(task.Task); task.State == wire.TaskRunning && job != nil && job.spec.CheckpointIntervalS > 0 && command.GracePeriodS != nil && *command.GracePeriodS >= job.spec.CheckpointTimeS {
				task.State = wire.TaskCheckpointing
				task.generation++
				generation := task.generation
				s.after(time.Duration(job.spec.CheckpointTimeS*float64(time.Second)), func() {
					if task.generation == generation {
						s.exitTask(worker, task, wire.CauseStopped)
					}
				})
				break
			}
			s.exitTask(worker, task, wire.CauseStopped)
		case wire.OpForget:
			if task != nil && task.State == wire.TaskExited {
				delete(worker.tasks, key)
			}
		}
	}
	s.sendHeartbeatSoon(worker)
}

// jobOf returns the job of a task; nil if there is none.
func (s *simulation) jobOf(task string) *simulatedJob {
	id, _, _ := wire.ParseTaskName(task)
	for _, job := range s.jobs {
		if job.spec.ID == id {
			return job
		}
	}
	return nil
}

// startTask fetches the image and runs a task. A task that the worker can't run exits at once with the cause.
func (s *simulation) startTask(worker *simulatedWorker, key string, command wire.Command) {
	s.checkFirstStart(worker, command)
	task := &simulatedTask{TaskStatus: wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: wire.TaskFetching}}
	worker.tasks[key] = task
	job := s.jobOf(command.Task)
	usedGPUs := 0.0
	for _, otherKey := range sortedKeys(worker.tasks) {
		other := worker.tasks[otherKey]
		if other == task || other.State == wire.TaskExited {
			continue
		}
		if other.Task == command.Task {
			s.exitTask(worker, task, wire.CauseBusy)
			return
		}
		if otherJob := s.jobOf(other.Task); otherJob != nil {
			usedGPUs += otherJob.spec.GPUs
		}
	}
	switch {
	case job == nil:
		s.exitTask(worker, task, wire.CauseUnknownTask)
		return
	case s.now < worker.refusingUntil, usedGPUs+job.spec.GPUs > 8:
		s.exitTask(worker, task, wire.CauseNoCapacity)
		return
	}
	fetchTime := 100 * time.Millisecond
	if !worker.images[job.spec.Image] {
		fetchTime = s.between(2*time.Second, 4*time.Second)
	}
	generation := task.generation
	s.runOnMachineAfter(worker, task, generation, fetchTime, func() {
		worker.images[job.spec.Image] = true
		task.State, task.onMachine = wire.TaskRunning, true
		s.tracef("%s starts %s#%d", worker.name, task.Task, task.Attempt)
		s.ruleChecker.recordStart(s.now, taskStart{task.Task, worker.name, "g8", worker.zone, worker.spot})
		s.sendHeartbeatSoon(worker)
		runTime := time.Duration(job.runSeconds * (0.8 + 0.4*s.random.Float64()) * float64(time.Second))
		switch {
		case s.completedTasks[task.Task]:
			s.exitTask(worker, task, wire.CauseDone)
		case job.faulty || worker.faulty:
			s.runOnMachineAfter(worker, task, task.generation, 300*time.Millisecond, func() { s.exitTask(worker, task, wire.CauseError) })
		case job.spec.Kind == wire.KindArray:
			s.runOnMachineAfter(worker, task, task.generation, runTime, func() { s.exitTask(worker, task, wire.CauseDone) })
		}
	})
}

// runOnMachineAfter runs action for a task after a delay, postponed while the machine hangs. It does nothing if the
// task's generation has changed by then.
func (s *simulation) runOnMachineAfter(worker *simulatedWorker, task *simulatedTask, generation int, delay time.Duration, action func()) {
	s.after(delay, func() {
		if task.generation != generation || worker.gone {
			return
		}
		if s.now < worker.hungUntil {
			s.runOnMachineAfter(worker, task, generation, worker.hungUntil-s.now+time.Millisecond, action)
			return
		}
		s.expireLease(worker)
		if task.generation == generation {
			action()
		}
	})
}

// exitTask ends a task. The worker keeps its status until it receives a forget command.
func (s *simulation) exitTask(worker *simulatedWorker, task *simulatedTask, cause wire.ExitCause) {
	if task.State == wire.TaskExited {
		return
	}
	task.State, task.Cause = wire.TaskExited, cause
	if cause == wire.CauseDone {
		s.completedTasks[task.Task] = true
	}
	if cause == wire.CauseStopped && task.onMachine {
		s.tracef("%s stops %s#%d", worker.name, task.Task, task.Attempt)
	}
	s.removeFromMachine(worker, task, cause == wire.CauseDone)
	s.sendHeartbeatSoon(worker)
}

package core_test

import (
	"fmt"
	"time"

	"bitternwing/internal/wire"
)

// simulatedTask is an attempt of a task on a worker.
type simulatedTask struct {
	wire.TaskStatus
	onMachine  bool // the rule checker knows it to be there
	generation int  // of its state: timers of older ones do nothing
}

// killTasks ends all tasks of a worker, and forgets them.
func (s *simulation) killTasks(worker *simulatedWorker) {
	for _, k := range sortedKeys(worker.tasks) {
		s.leaveMachine(worker, worker.tasks[k], false)
	}
	clear(worker.tasks)
}

// leaveMachine tells the rule checker that a task is on its machine no more.
func (s *simulation) leaveMachine(worker *simulatedWorker, task *simulatedTask, done bool) {
	task.generation++
	if task.onMachine {
		task.onMachine = false
		s.ruleChecker.recordEnd(task.Task, worker.name, done)
	}
}

// attemptKey names an attempt of a task.
func attemptKey(task string, attempt uint64) string { return fmt.Sprint(task, "#", attempt) }

// execute carries out commands as the worker protocol says.
func (s *simulation) execute(worker *simulatedWorker, commands []wire.Command) {
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

func (s *simulation) jobOf(task string) *simulatedJob {
	id, _, _ := wire.ParseTaskName(task)
	for _, job := range s.jobs {
		if job.spec.ID == id {
			return job
		}
	}
	return nil
}

// startTask fetches the image and runs a task, or refuses it.
func (s *simulation) startTask(worker *simulatedWorker, key string, command wire.Command) {
	task := &simulatedTask{TaskStatus: wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: wire.TaskFetching}}
	worker.tasks[key] = task
	job := s.jobOf(command.Task)
	used := 0.0
	for _, k := range sortedKeys(worker.tasks) {
		o := worker.tasks[k]
		if o == task || o.State == wire.TaskExited {
			continue
		}
		if o.Task == command.Task {
			s.exitTask(worker, task, wire.CauseBusy)
			return
		}
		if x := s.jobOf(o.Task); x != nil {
			used += x.spec.GPUs
		}
	}
	switch {
	case job == nil:
		s.exitTask(worker, task, wire.CauseUnknownTask)
		return
	case used+job.spec.GPUs > 8:
		s.exitTask(worker, task, wire.CauseNoCapacity)
		return
	}
	fetch := 100 * time.Millisecond
	if !worker.images[job.spec.Image] {
		fetch = s.between(2*time.Second, 4*time.Second)
	}
	generation := task.generation
	s.runLater(worker, task, generation, fetch, func() {
		worker.images[job.spec.Image] = true
		task.State, task.onMachine = wire.TaskRunning, true
		s.show("%s starts %s#%d", worker.name, task.Task, task.Attempt)
		s.ruleChecker.recordStart(s.now, taskStart{task.Task, worker.name, "g8", worker.zone, worker.spot})
		s.sendHeartbeatSoon(worker)
		run := time.Duration(job.runSeconds * (0.8 + 0.4*s.random.Float64()) * float64(time.Second))
		switch {
		case s.completedTasks[task.Task]:
			s.exitTask(worker, task, wire.CauseDone)
		case job.faulty || worker.faulty:
			s.runLater(worker, task, task.generation, 300*time.Millisecond, func() { s.exitTask(worker, task, wire.CauseError) })
		case job.spec.Kind == wire.KindArray:
			s.runLater(worker, task, task.generation, run, func() { s.exitTask(worker, task, wire.CauseDone) })
		}
	})
}

// runLater does something on a machine after a delay, and not while the machine hangs.
func (s *simulation) runLater(worker *simulatedWorker, task *simulatedTask, generation int, d time.Duration, action func()) {
	s.after(d, func() {
		if task.generation != generation || worker.gone {
			return
		}
		if s.now < worker.hungUntil {
			s.runLater(worker, task, generation, worker.hungUntil-s.now+time.Millisecond, action)
			return
		}
		s.expireLease(worker)
		if task.generation == generation {
			action()
		}
	})
}

// exitTask ends a task; the worker keeps its status until it is told to forget it.
func (s *simulation) exitTask(worker *simulatedWorker, task *simulatedTask, cause wire.ExitCause) {
	if task.State == wire.TaskExited {
		return
	}
	task.State, task.Cause = wire.TaskExited, cause
	if cause == wire.CauseDone {
		s.completedTasks[task.Task] = true
	}
	if cause == wire.CauseStopped && task.onMachine {
		s.show("%s stops %s#%d", worker.name, task.Task, task.Attempt)
	}
	s.leaveMachine(worker, task, cause == wire.CauseDone)
	s.sendHeartbeatSoon(worker)
}

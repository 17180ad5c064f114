package core_test

import (
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/wire"
)

// simulatedJob is a job and what its user knows of it.
type simulatedJob struct {
	spec          *wire.Job
	submitAt      time.Duration
	cancelAt      time.Duration // 0: never
	runSeconds    float64
	faulty        bool // it fails wherever it runs
	accepted      bool
	refusedStatus int // 0: not refused
	toldState     wire.JobStatus
	answeredAt    time.Duration // when a request about it was last answered
}

// userTimeout is after how long a node drops a user's request that waits for it.
const userTimeout = 1800 * time.Millisecond

// askAnyNode sends a user's request to some healthy node; status 0 if there was no response.
func (s *simulation) askAnyNode(in func(request uint64) core.Input, then func(status int, state wire.JobStatus)) {
	s.askNode(nil, in, then)
}

// askNode sends a user's request to a node; nil: to some healthy one.
func (s *simulation) askNode(node *simulatedNode, in func(request uint64) core.Input, then func(status int, state wire.JobStatus)) {
	over := false
	give := func(status int, state wire.JobStatus) {
		if !over {
			over = true
			then(status, state)
		}
	}
	if node == nil {
		var up []*simulatedNode
		for _, x := range s.nodes {
			if x.core != nil && s.isolatedZone != x.zone && s.now >= x.usersCutUntil && x.core.Healthy() {
				up = append(up, x)
			}
		}
		if len(up) == 0 {
			s.after(100*time.Millisecond, func() { give(0, "") })
			return
		}
		node = up[s.random.IntN(len(up))]
	}
	sent := s.now
	s.after(userTimeout, func() { give(503, "") })
	s.after(s.latency(), func() {
		if node.core == nil {
			give(0, "")
			return
		}
		node.lastRequest++
		node.waiting[node.lastRequest] = func(response core.Response) {
			// What a standstill has made late is not told any more: see node.Ask.
			s.after(s.latency(), func() {
				st := wire.JobStatus("")
				if js, ok := response.Body.(wire.JobResponse); ok {
					st = js.Status
				}
				give(response.Status, st)
			})
		}
		s.deliverInputUntil(node, in(node.lastRequest), sent+userTimeout)
	})
}

// submitJob has a user submit a job until there is a final response.
func (s *simulation) submitJob(job *simulatedJob) {
	if !s.dependenciesAccepted(job) {
		s.after(100*time.Millisecond, func() { s.submitJob(job) })
		return
	}
	s.ruleChecker.recordSubmission(job.spec)
	spec, sent := *job.spec, s.now
	s.askAnyNode(func(request uint64) core.Input { return core.SubmitJob{RequestID: request, Job: &spec} }, func(status int, state wire.JobStatus) {
		s.ruleChecker.recordAnswer(s.now, userAnswer{sent, requestSubmit, job.spec.ID, status, state})
		switch status {
		case 200, 201:
			if !job.accepted {
				job.accepted, job.answeredAt = true, s.now
				s.after(s.between(time.Second, 5*time.Second), func() { s.pollJob(job) })
			}
			job.toldState = state
		case 400, 422:
			job.refusedStatus = status
		default:
			s.after(time.Second, func() { s.submitJob(job) })
		}
	})
}

// dependenciesAccepted tells whether all jobs that a job needs are accepted: its user waits for that.
func (s *simulation) dependenciesAccepted(job *simulatedJob) bool {
	for _, need := range job.spec.Dependencies {
		for _, dependency := range s.jobs {
			if dependency.spec.ID == need && !dependency.accepted {
				return false
			}
		}
	}
	return true
}

// pollJob has a user poll a job at intervals.
func (s *simulation) pollJob(job *simulatedJob) {
	sent := s.now
	s.askAnyNode(func(request uint64) core.Input { return core.GetJob{RequestID: request, ID: job.spec.ID} }, func(status int, state wire.JobStatus) {
		s.ruleChecker.recordAnswer(s.now, userAnswer{sent, requestPoll, job.spec.ID, status, state})
		if status == 200 {
			if state != job.toldState && (state == wire.JobDone || state == wire.JobCancelled) {
				s.show("poll of %s: %s", job.spec.ID, state)
			}
			job.toldState, job.answeredAt = state, s.now
		}
		if s.now > s.faultsEnd+75*time.Second && s.now-job.answeredAt > 75*time.Second && job.accepted {
			s.ruleChecker.report(s.now, "forgotten", "no answer about %s since %.1f", job.spec.ID, job.answeredAt.Seconds())
		}
		s.after(s.between(3*time.Second, 6*time.Second), func() { s.pollJob(job) })
	})
}

// cancelJob has a user cancel a job, once it is accepted, until there is a final response.
func (s *simulation) cancelJob(job *simulatedJob) {
	if !job.accepted {
		s.after(500*time.Millisecond, func() { s.cancelJob(job) })
		return
	}
	s.ruleChecker.recordSubmission(job.spec).cancelRequested = true
	sent := s.now
	s.askAnyNode(func(request uint64) core.Input { return core.CancelJob{RequestID: request, ID: job.spec.ID} }, func(status int, state wire.JobStatus) {
		s.ruleChecker.recordAnswer(s.now, userAnswer{sent, requestCancel, job.spec.ID, status, state})
		if status == 200 {
			s.show("cancel of %s: %s", job.spec.ID, state)
			job.toldState = state
			return
		}
		if status != 404 && status != 400 {
			s.after(s.between(time.Second, 1500*time.Millisecond), func() { s.cancelJob(job) })
		}
	})
}

// cancelRunningJob has the user of a job that runs, and of which no cancellation was asked yet, cancel it.
func (s *simulation) cancelRunningJob() {
	var running []*simulatedJob
	for _, job := range s.jobs {
		if known := s.ruleChecker.jobs[job.spec.ID]; job.accepted && !known.cancelRequested && job.cancelAt == 0 && s.isRunning(job) {
			running = append(running, job)
		}
	}
	if len(running) > 0 {
		s.cancelJob(running[s.random.IntN(len(running))])
	}
}

// isRunning tells whether a task of a job is on a machine.
func (s *simulation) isRunning(job *simulatedJob) bool {
	for task := range job.spec.Tasks {
		if len(s.ruleChecker.machinesByTask[wire.TaskName(job.spec.ID, task)]) > 0 {
			return true
		}
	}
	return false
}

// pollOnce polls some job, and counts the responses by status.
func (s *simulation) pollOnce() {
	job, sent := s.jobs[s.random.IntN(len(s.jobs))], s.now
	if !job.accepted {
		return
	}
	if s.pollStatuses == nil {
		s.pollStatuses = map[int]int{}
	}
	s.askAnyNode(func(request uint64) core.Input { return core.GetJob{RequestID: request, ID: job.spec.ID} }, func(status int, state wire.JobStatus) {
		s.ruleChecker.recordAnswer(s.now, userAnswer{sent, requestPoll, job.spec.ID, status, state})
		s.pollStatuses[status]++
	})
}

// sendOddRequests sends requests that must be refused, and idempotent repeats.
func (s *simulation) sendOddRequests() {
	sent := s.now
	big := &simulatedJob{spec: s.parseJob([]string{"run-999001", "gpus=9"}).spec}
	s.ruleChecker.recordSubmission(big.spec)
	s.askAnyNode(func(request uint64) core.Input { return core.SubmitJob{RequestID: request, Job: big.spec} }, func(status int, _ wire.JobStatus) {
		if status == 200 || status == 201 || status == 400 || status == 404 {
			s.ruleChecker.report(s.now, "unexpected_status", "a job that fits no machine gets %d", status)
		}
	})
	s.askAnyNode(func(request uint64) core.Input { return core.GetJob{RequestID: request, ID: "run-999002"} }, func(status int, state wire.JobStatus) {
		s.ruleChecker.recordAnswer(s.now, userAnswer{sent, requestPoll, "run-999002", status, state})
	})
	for _, job := range s.jobs {
		if !job.accepted {
			continue
		}
		spec := *job.spec
		s.askAnyNode(func(request uint64) core.Input { return core.SubmitJob{RequestID: request, Job: &spec} }, func(status int, state wire.JobStatus) {
			s.ruleChecker.recordAnswer(s.now, userAnswer{sent, requestSubmit, job.spec.ID, status, state})
		})
		if job.toldState == wire.JobDone {
			s.ruleChecker.jobs[job.spec.ID].cancelRequested = true
			s.askAnyNode(func(request uint64) core.Input { return core.CancelJob{RequestID: request, ID: job.spec.ID} }, func(status int, state wire.JobStatus) {
				s.ruleChecker.recordAnswer(s.now, userAnswer{sent, requestCancel, job.spec.ID, status, state})
			})
		}
	}
}

// brokenRules gives the rules that were broken, with those of the end: no job is stuck, and none is forgotten.
func (s *simulation) brokenRules() []string {
	checker := s.ruleChecker
	for _, job := range s.jobs {
		dependency := checker.jobs[job.spec.ID]
		switch {
		case dependency == nil || job.refusedStatus != 0:
		case !job.accepted:
			checker.report(s.now, "stuck", "%s is not accepted", job.spec.ID)
		case checker.cancellationRequested(dependency) && dependency.finalState == "":
			checker.report(s.now, "stuck", "%s is not cancelled", job.spec.ID)
		case checker.cancellationRequested(dependency) || dependency.cancelRequested || job.faulty:
		case job.spec.Kind == wire.KindArray && dependency.finalState != wire.JobDone:
			checker.report(s.now, "stuck", "%s is not done: %d of %d tasks", job.spec.ID, len(dependency.doneTasks), job.spec.Tasks)
		case job.spec.Kind != wire.KindArray:
			n := 0
			for t := 0; t < job.spec.Tasks; t++ {
				n += len(checker.machinesByTask[wire.TaskName(job.spec.ID, t)])
			}
			if n != job.spec.Tasks {
				checker.report(s.now, "stuck", "%s has %d of %d replicas", job.spec.ID, n, job.spec.Tasks)
			}
		}
	}
	return checker.broken
}

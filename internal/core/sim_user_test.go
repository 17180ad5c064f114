package core_test

import (
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/wire"
)

// simulatedJob is a job, with the results of its user's requests.
type simulatedJob struct {
	spec           *wire.Job
	submitAt       time.Duration
	cancelAt       time.Duration // not 0: a cancel_on_completion line cancels the job once all its tasks have completed
	runSeconds     float64
	faulty         bool // its tasks fail on every machine
	accepted       bool
	rejectedStatus int // HTTP status of the rejection; 0: not rejected
	reportedState  wire.JobStatus
	lastResponseAt time.Duration // when the last response to a request about the job arrived
}

// forgottenAfter is the time after which a job counts as forgotten about which no question is answered.
const forgottenAfter = 75 * time.Second

// userRequestTimeout is the time after which a user's request that has no response yet gets status 503.
const userRequestTimeout = 1800 * time.Millisecond

// sendToAnyNode sends a user's request to a random healthy node. The status is 0 if no node could be reached.
func (s *simulation) sendToAnyNode(newInput func(request uint64) core.Input, onResponse func(status int, state wire.JobStatus)) {
	s.sendToNode(nil, newInput, onResponse)
}

// sendToNode sends a user's request to a node, or to a random healthy one if node is nil.
func (s *simulation) sendToNode(node *simulatedNode, newInput func(request uint64) core.Input, onResponse func(status int, state wire.JobStatus)) {
	done := false
	finish := func(status int, state wire.JobStatus) {
		if !done {
			done = true
			onResponse(status, state)
		}
	}
	if node == nil {
		var healthy []*simulatedNode
		for _, candidate := range s.nodes {
			if candidate.core != nil && s.isolatedZone != candidate.zone && s.now >= candidate.usersCutUntil && candidate.core.Healthy() {
				healthy = append(healthy, candidate)
			}
		}
		if len(healthy) == 0 {
			s.after(100*time.Millisecond, func() { finish(0, "") })
			return
		}
		node = healthy[s.random.IntN(len(healthy))]
	}
	sentAt := s.now
	s.after(userRequestTimeout, func() { finish(503, "") })
	s.after(s.latency(), func() {
		if node.core == nil {
			finish(0, "")
			return
		}
		node.lastRequest++
		node.responseHandlers[node.lastRequest] = func(response core.Response) {
			// finish ignores a response that arrives after the timeout, for example because the node was frozen.
			// node.Node.Handle drops such a response as well.
			s.after(s.latency(), func() {
				state := wire.JobStatus("")
				if body, ok := response.Body.(wire.JobResponse); ok {
					state = body.Status
				}
				finish(response.Status, state)
			})
		}
		s.deliverInputUntil(node, newInput(node.lastRequest), sentAt+userRequestTimeout)
	})
}

// submitJob submits a job as its user, retrying until there is a final response.
func (s *simulation) submitJob(job *simulatedJob) {
	if !s.dependenciesAccepted(job) {
		s.after(100*time.Millisecond, func() { s.submitJob(job) })
		return
	}
	s.ruleChecker.recordSubmission(job.spec)
	spec, sentAt := *job.spec, s.now
	s.sendToAnyNode(func(request uint64) core.Input { return core.SubmitJob{RequestID: request, Job: &spec} }, func(status int, state wire.JobStatus) {
		s.ruleChecker.recordResponse(s.now, userResponse{sentAt, requestSubmit, job.spec.ID, status, state})
		switch status {
		case 200, 201:
			s.recordAcceptance(job, state)
		case 400, 422:
			job.rejectedStatus = status
		default:
			s.after(time.Second, func() { s.submitJob(job) })
		}
	})
}

// recordAcceptance records that a response has confirmed a job. From the first one on, its user polls it.
func (s *simulation) recordAcceptance(job *simulatedJob, state wire.JobStatus) {
	if !job.accepted {
		job.accepted, job.lastResponseAt = true, s.now
		s.after(s.between(time.Second, 5*time.Second), func() { s.pollJob(job) })
	}
	job.reportedState = state
}

// dependenciesAccepted reports whether all dependencies of a job are accepted. A user submits a job only then.
func (s *simulation) dependenciesAccepted(job *simulatedJob) bool {
	for _, id := range job.spec.Dependencies {
		for _, dependency := range s.jobs {
			if dependency.spec.ID == id && !dependency.accepted {
				return false
			}
		}
	}
	return true
}

// pollJob polls a job as its user every 3 to 6 s.
func (s *simulation) pollJob(job *simulatedJob) {
	sentAt := s.now
	s.sendToAnyNode(func(request uint64) core.Input { return core.GetJob{RequestID: request, ID: job.spec.ID} }, func(status int, state wire.JobStatus) {
		s.ruleChecker.recordResponse(s.now, userResponse{sentAt, requestPoll, job.spec.ID, status, state})
		if status == 200 {
			if state != job.reportedState && (state == wire.JobDone || state == wire.JobCancelled) {
				s.tracef("poll of %s: %s", job.spec.ID, state)
			}
			job.reportedState, job.lastResponseAt = state, s.now
		}
		if s.now > s.faultsEnd+forgottenAfter && s.now-job.lastResponseAt > forgottenAfter && job.accepted {
			s.ruleChecker.addViolation(s.now, "forgotten", "no response about %s since %.1f s", job.spec.ID, job.lastResponseAt.Seconds())
		}
		s.after(s.between(3*time.Second, 6*time.Second), func() { s.pollJob(job) })
	})
}

// cancelJob cancels a job as its user once it is accepted, retrying until there is a final response.
func (s *simulation) cancelJob(job *simulatedJob) {
	if !job.accepted {
		s.after(500*time.Millisecond, func() { s.cancelJob(job) })
		return
	}
	s.ruleChecker.recordSubmission(job.spec).cancelRequested = true
	sentAt := s.now
	s.sendToAnyNode(func(request uint64) core.Input { return core.CancelJob{RequestID: request, ID: job.spec.ID} }, func(status int, state wire.JobStatus) {
		s.ruleChecker.recordResponse(s.now, userResponse{sentAt, requestCancel, job.spec.ID, status, state})
		if status == 200 {
			s.tracef("cancel of %s: %s", job.spec.ID, state)
			job.reportedState = state
			return
		}
		if status != 404 && status != 400 {
			s.after(s.between(time.Second, 1500*time.Millisecond), func() { s.cancelJob(job) })
		}
	})
}

// cancelRunningJob cancels a random running job for which no cancellation has been requested.
func (s *simulation) cancelRunningJob() {
	var running []*simulatedJob
	for _, job := range s.jobs {
		if checked := s.ruleChecker.jobs[job.spec.ID]; job.accepted && !checked.cancelRequested && job.cancelAt == 0 && s.isRunning(job) {
			running = append(running, job)
		}
	}
	if len(running) > 0 {
		s.cancelJob(running[s.random.IntN(len(running))])
	}
}

// isRunning reports whether any task of a job is on a machine.
func (s *simulation) isRunning(job *simulatedJob) bool {
	for task := range job.spec.Tasks {
		if len(s.ruleChecker.machinesByTask[wire.TaskName(job.spec.ID, task)]) > 0 {
			return true
		}
	}
	return false
}

// pollOnce polls a random job and counts the response by status.
func (s *simulation) pollOnce() {
	job, sentAt := s.jobs[s.random.IntN(len(s.jobs))], s.now
	if !job.accepted {
		return
	}
	if s.pollStatuses == nil {
		s.pollStatuses = map[int]int{}
	}
	s.sendToAnyNode(func(request uint64) core.Input { return core.GetJob{RequestID: request, ID: job.spec.ID} }, func(status int, state wire.JobStatus) {
		s.ruleChecker.recordResponse(s.now, userResponse{sentAt, requestPoll, job.spec.ID, status, state})
		s.pollStatuses[status]++
	})
}

// sendEdgeCaseRequests sends requests that must be rejected, and repeats of requests, which are idempotent.
func (s *simulation) sendEdgeCaseRequests() {
	sentAt := s.now
	tooLarge := &simulatedJob{spec: s.parseJob([]string{"run-999001", "gpus=9"}).spec}
	s.ruleChecker.recordSubmission(tooLarge.spec)
	s.sendToAnyNode(func(request uint64) core.Input { return core.SubmitJob{RequestID: request, Job: tooLarge.spec} }, func(status int, _ wire.JobStatus) {
		if status == 200 || status == 201 || status == 400 || status == 404 {
			s.ruleChecker.addViolation(s.now, "unexpected_status", "submission of a job that fits no machine: got status %d, want none of 200, 201, 400 and 404", status)
		}
	})
	s.sendToAnyNode(func(request uint64) core.Input { return core.GetJob{RequestID: request, ID: "run-999002"} }, func(status int, state wire.JobStatus) {
		s.ruleChecker.recordResponse(s.now, userResponse{sentAt, requestPoll, "run-999002", status, state})
	})
	for _, job := range s.jobs {
		if !job.accepted {
			continue
		}
		spec := *job.spec
		s.sendToAnyNode(func(request uint64) core.Input { return core.SubmitJob{RequestID: request, Job: &spec} }, func(status int, state wire.JobStatus) {
			s.ruleChecker.recordResponse(s.now, userResponse{sentAt, requestSubmit, job.spec.ID, status, state})
		})
		if job.reportedState == wire.JobDone {
			s.ruleChecker.jobs[job.spec.ID].cancelRequested = true
			s.sendToAnyNode(func(request uint64) core.Input { return core.CancelJob{RequestID: request, ID: job.spec.ID} }, func(status int, state wire.JobStatus) {
				s.ruleChecker.recordResponse(s.now, userResponse{sentAt, requestCancel, job.spec.ID, status, state})
			})
		}
	}
}

// violations returns all rule violations, including those that are checked at the end: no job may be stuck.
func (s *simulation) violations() []string {
	checker := s.ruleChecker
	for _, job := range s.jobs {
		checked := checker.jobs[job.spec.ID]
		switch {
		case checked == nil || job.rejectedStatus != 0:
		case !job.accepted:
			checker.addViolation(s.now, "stuck", "%s is not accepted, want it accepted or rejected", job.spec.ID)
		case checker.cancellationRequested(checked) && checked.finalState == "":
			checker.addViolation(s.now, "stuck", "%s is not cancelled, although its cancellation was requested", job.spec.ID)
		case checker.cancellationRequested(checked) || checked.cancelRequested || job.faulty:
		case job.spec.Kind == wire.KindArray && checked.finalState != wire.JobDone:
			checker.addViolation(s.now, "stuck", "%s is not done: got %d done tasks, want %d", job.spec.ID, len(checked.doneTasks), job.spec.Tasks)
		case s.exceedsFleet(job.spec):
			if s.now-job.lastResponseAt > forgottenAfter || job.reportedState != wire.JobPending {
				checker.addViolation(s.now, "stuck", "%s is larger than the fleet: got state %s %.1f s ago, want pending", job.spec.ID,
					job.reportedState, (s.now - job.lastResponseAt).Seconds())
			}
		case job.spec.Kind != wire.KindArray:
			running := 0
			for task := 0; task < job.spec.Tasks; task++ {
				running += len(checker.machinesByTask[wire.TaskName(job.spec.ID, task)])
			}
			if running != job.spec.Tasks {
				checker.addViolation(s.now, "stuck", "%s: got %d running replicas, want %d", job.spec.ID, running, job.spec.Tasks)
			}
		}
	}
	return checker.violations
}

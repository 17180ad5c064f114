package core_test

import (
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/wire"
)

const (
	// repeatPeriod is how long an impatient user repeats requests about a job.
	repeatPeriod = 4 * time.Second
	// maxRepeatInterval is the longest time between two of these requests.
	maxRepeatInterval = 40 * time.Millisecond
)

// submitEverywhere submits a job as a user who does not wait for responses: the submission and questions about the job
// go to all nodes, again and again within milliseconds. If cancel is set, the user cancels the job as soon as any node
// has accepted it, and then still repeats the submission.
func (s *simulation) submitEverywhere(job *simulatedJob, cancel bool) {
	s.submitJob(job)
	s.repeatEverywhere(job, cancel, s.now+repeatPeriod)
}

// repeatEverywhere sends a request about a job to a random node, and the next one shortly after, until the end.
func (s *simulation) repeatEverywhere(job *simulatedJob, cancel bool, end time.Duration) {
	if s.now >= end {
		return
	}
	s.after(s.between(time.Millisecond, maxRepeatInterval), func() { s.repeatEverywhere(job, cancel, end) })
	if cancel && job.accepted {
		cancel = false
		if !s.ruleChecker.jobs[job.spec.ID].cancelRequested {
			s.cancelJob(job)
		}
	}
	spec, sentAt, kind := *job.spec, s.now, requestPoll
	newInput := func(request uint64) core.Input { return core.GetJob{RequestID: request, ID: spec.ID} }
	if s.random.IntN(2) == 0 {
		kind = requestSubmit
		newInput = func(request uint64) core.Input { return core.SubmitJob{RequestID: request, Job: &spec} }
	}
	node := s.nodes[s.random.IntN(len(s.nodes))]
	if s.isolatedZone == node.zone || s.now < node.usersCutUntil {
		return
	}
	s.sendToNode(node, newInput, func(status int, state wire.JobStatus) {
		response := userResponse{sentAt, kind, spec.ID, status, state}
		s.ruleChecker.recordResponse(s.now, response)
		if response.confirmsJob() {
			s.recordAcceptance(job, state)
		}
	})
}

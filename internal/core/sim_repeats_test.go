package core_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
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

// writeImpatientUsers adds, in half of the scripts, a spell of slow responses to transactions, in which users repeat
// their requests at all nodes within milliseconds and cancel most of their jobs at once. It uses its own random source,
// so that the rest of a seed's script does not change.
func writeImpatientUsers(text *strings.Builder, seed uint64, faultTimes []float64) {
	random := rand.New(rand.NewPCG(seed, 8))
	if random.IntN(2) > 0 {
		return
	}
	begin := max(2, faultTimes[random.IntN(len(faultTimes))]-5*random.Float64())
	const spellSeconds = 10
	fmt.Fprintf(text, "%.1f slow_responses %.2f %d\n", begin, 0.1+0.4*random.Float64(), spellSeconds)
	for i := range 4 + random.IntN(5) {
		submit := []string{"submit_everywhere_and_cancel", "submit_everywhere_and_cancel", "submit_everywhere"}[random.IntN(3)]
		fmt.Fprintf(text, "%.2f %s run-6%05d tasks=1 gpus=0 team=green run=%.1f\n", begin+spellSeconds*random.Float64(), submit, i, 0.5+2*random.Float64())
	}
}

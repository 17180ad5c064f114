package core

import (
	"encoding/json"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// submission is a job that waits to be committed. Repeated submissions of it wait with it.
type submission struct {
	job        *wire.Job
	value      json.RawMessage
	requestIDs []uint64
	attempts   int
}

const (
	// maxSubmissionAttempts bounds the transactions in which a submission is tried.
	maxSubmissionAttempts = 4
	// submissionOverheadBytes is what a submission takes in a transaction beside its value.
	submissionOverheadBytes = 256
	// maxSubmissionBatchBytes bounds a transaction of several submissions.
	maxSubmissionBatchBytes = wire.MaxBody * 3 / 4
)

// submit accepts a job, or responds with the state of one that was accepted before.
func (u *userRequests) submit(in SubmitJob) {
	c := u.core
	if final, ok := c.cache.FinalState(in.Job.ID); ok {
		c.respond(in.RequestID, 200, finalJobState(in.Job.ID, final))
		return
	}
	if u.rejectIfOverloaded(in.RequestID) {
		return
	}
	if !c.cache.Ready() {
		u.respondIndeterminate(in.RequestID)
		return
	}
	if u.joinSubmission(in) {
		return
	}
	if c.cache.Job(in.Job.ID) != nil {
		u.respondIdempotent(in, rejection{})
		return
	}
	switch admission := c.admissionOf(in.Job); {
	case admission == inadmissible:
		u.respondIdempotent(in, rejection{status: 422, reason: "the job can never run here"})
	case admission == admissionUnknown:
		u.respondIdempotent(in, rejection{})
	case len(in.Job.Dependencies) > c.limits.maxDependencies():
		u.respondIdempotent(in, rejection{status: 400, reason: wire.FieldDependencies + ": names too many jobs"})
	case len(in.Job.Dependencies) > 0:
		u.submitWithDependencies(in)
	default:
		u.enqueueSubmission(in)
	}
}

// joinSubmission has a repeated submission wait with the one that waits already; false if there is none.
func (u *userRequests) joinSubmission(in SubmitJob) bool {
	s := u.submissionByID[in.Job.ID]
	if s == nil {
		return false
	}
	s.requestIDs = append(s.requestIDs, in.RequestID)
	return true
}

// enqueueSubmission has a submission committed.
func (u *userRequests) enqueueSubmission(in SubmitJob) {
	c := u.core
	if u.joinSubmission(in) {
		return
	}
	value, err := stored.Job{Spec: in.Job, AcceptedMS: c.now.WallMS}.Encode()
	if err != nil || len(value) > c.limits.maxValueBytes() {
		u.respond(in.RequestID, 400, wire.ErrorBody{Error: "body: is too large"})
		return
	}
	s := &submission{job: in.Job, value: value, requestIDs: []uint64{in.RequestID}}
	u.submissionByID[in.Job.ID] = s
	u.submissions = append(u.submissions, s)
}

// rejection is the response to a submission that can't be accepted. Without a status nothing can be said.
type rejection struct {
	status int
	reason string
}

// repeatedSubmission is a submission of a job that may have been accepted before, and is not accepted now.
type repeatedSubmission struct {
	requests  *userRequests
	request   SubmitJob
	rejection rejection
}

// respondIdempotent responds to a submission of a job that is known, or that can't be accepted. A job that was
// accepted before gets its state, whatever today's admission check says.
func (u *userRequests) respondIdempotent(in SubmitJob, rejected rejection) {
	repeated := repeatedSubmission{requests: u, request: in, rejection: rejected}
	u.lookUp(in.Job.ID, repeated.respond)
}

func (s repeatedSubmission) respond(result lookupResult) {
	u, requestID, id := s.requests, s.request.RequestID, s.request.Job.ID
	switch {
	case result.found():
		u.respond(requestID, 200, u.core.jobStateOf(id, result))
	case result.state == lookupNotFound && s.rejection.status != 0:
		u.respond(requestID, s.rejection.status, wire.ErrorBody{Error: s.rejection.reason})
	default:
		// Undecided, or gone from the cache during the lookup.
		u.respondIndeterminate(requestID)
	}
}

// submissionBatch is the submissions that one transaction commits.
type submissionBatch struct {
	requests    *userRequests
	submissions []*submission
}

// commitSubmissions commits waiting jobs, several in one transaction, one transaction at a time.
func (u *userRequests) commitSubmissions() {
	c := u.core
	if u.submitInFlight || len(u.submissions) == 0 {
		return
	}
	batch, txn := u.nextSubmissionBatch()
	u.submitInFlight = true
	id := c.registerStoreCall(batch.applyResult)
	c.emit(StoreTxn{CallID: id, Txn: txn})
}

// nextSubmissionBatch takes as many submissions out of the queue as fit into a transaction.
func (u *userRequests) nextSubmissionBatch() (*submissionBatch, wire.Txn) {
	var txn wire.Txn
	n, size := 0, 0
	for ; n < len(u.submissions) && n < u.core.limits.maxChanges(); n++ {
		s := u.submissions[n]
		size += len(s.value) + submissionOverheadBytes
		if n > 0 && size > maxSubmissionBatchBytes {
			break
		}
		activeKey, finalKey := stored.JobKey(s.job.ID), stored.FinalStateKey(s.job.ID)
		txn.If = append(txn.If, wire.Condition{Key: activeKey}, wire.Condition{Key: finalKey})
		txn.Then = append(txn.Then, wire.Op{Put: activeKey, Value: s.value})
	}
	batch := &submissionBatch{requests: u, submissions: append([]*submission(nil), u.submissions[:n]...)}
	u.submissions = append(u.submissions[:0], u.submissions[n:]...)
	return batch, txn
}

// applyResult responds to the submissions of the batch. Where one of them was accepted before, the others go into
// the next transaction.
func (b *submissionBatch) applyResult(r Result) {
	u := b.requests
	u.submitInFlight = false
	failed := r.failedKeys()
	for _, s := range b.submissions {
		id := s.job.ID
		s.attempts++
		switch {
		case r.Outcome == outcome.OK:
			u.acceptSubmission(s)
		case r.Outcome == outcome.Conflict && (failed[stored.JobKey(id)] || failed[stored.FinalStateKey(id)]):
			u.readSubmitted(s)
		case r.Outcome == outcome.Conflict && s.attempts < maxSubmissionAttempts:
			u.submissions = append(u.submissions, s)
		default:
			// Certainly not applied, or unknown: it may be there, or come yet. A repeated submission finds out.
			u.giveUpSubmission(s)
		}
	}
}

// acceptSubmission responds to the requests of a submission that was committed.
func (u *userRequests) acceptSubmission(s *submission) {
	delete(u.submissionByID, s.job.ID)
	for _, requestID := range s.requestIDs {
		u.respond(requestID, 201, wire.JobState{ID: s.job.ID, State: wire.JobPending})
	}
}

// giveUpSubmission responds to the requests of a submission of which nothing can be confirmed.
func (u *userRequests) giveUpSubmission(s *submission) {
	delete(u.submissionByID, s.job.ID)
	for _, requestID := range s.requestIDs {
		u.respondIndeterminate(requestID)
	}
}

// submittedRead is a submission whose job was accepted before, while its state is read.
type submittedRead struct {
	requests   *userRequests
	submission *submission
}

// readSubmitted reads the state of a job that was accepted before.
func (u *userRequests) readSubmitted(s *submission) {
	delete(u.submissionByID, s.job.ID)
	read := submittedRead{requests: u, submission: s}
	u.reads = append(u.reads, &lookup{id: s.job.ID, then: read.respond})
}

func (s submittedRead) respond(result lookupResult) {
	u, id := s.requests, s.submission.job.ID
	for _, requestID := range s.submission.requestIDs {
		if result.found() {
			u.respond(requestID, 200, u.core.jobStateOf(id, result))
		} else {
			u.respondIndeterminate(requestID)
		}
	}
}

package core

import (
	"net/http"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

const (
	// maxSubmissionAttempts bounds the transactions in which a submission is tried.
	maxSubmissionAttempts = 4
	// submissionOverheadBytes is what a submission takes in a transaction beside its value.
	submissionOverheadBytes = 256
	// maxSubmissionBatchBytes bounds a transaction of several submissions.
	maxSubmissionBatchBytes = wire.MaxBodyBytes * 3 / 4
)

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
		u.respond(requestID, http.StatusCreated, wire.JobResponse{ID: s.job.ID, Status: wire.JobPending})
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
			u.respond(requestID, http.StatusOK, u.core.jobStateOf(id, result))
		} else {
			u.respondIndeterminate(requestID)
		}
	}
}

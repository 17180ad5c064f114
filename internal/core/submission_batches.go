package core

import (
	"net/http"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

const (
	// maxSubmissionAttempts bounds the transactions in which a submission is attempted.
	maxSubmissionAttempts = 4
	// submissionOverheadBytes is the size of a submission in a transaction without its value.
	submissionOverheadBytes = 256
	// maxSubmissionBatchBytes bounds the size of a transaction with several submissions.
	maxSubmissionBatchBytes = wire.MaxBodyBytes * 3 / 4
)

// submissionBatch is a set of submissions that are committed in one transaction.
type submissionBatch struct {
	requests    *userRequests
	submissions []*submission
}

// commitSubmissions commits waiting submissions, several in a transaction and one transaction at a time.
func (u *userRequests) commitSubmissions() {
	c := u.core
	if u.submissionInFlight || len(u.submissionQueue) == 0 {
		return
	}
	batch, txn := u.nextSubmissionBatch()
	u.submissionInFlight = true
	id := c.registerStoreCall(batch.applyResult)
	c.emit(StoreTxn{CallID: id, Txn: txn})
}

// nextSubmissionBatch removes as many submissions from the queue as fit into a transaction, and returns them with the
// transaction.
func (u *userRequests) nextSubmissionBatch() (*submissionBatch, wire.Txn) {
	var txn wire.Txn
	n, size := 0, 0
	for ; n < len(u.submissionQueue) && n < u.core.limits.maxChanges(); n++ {
		s := u.submissionQueue[n]
		size += len(s.value) + submissionOverheadBytes
		if n > 0 && size > maxSubmissionBatchBytes {
			break
		}
		s.inFlight = true
		activeKey, finalKey := stored.JobKey(s.job.ID), stored.FinalStateKey(s.job.ID)
		txn.If = append(txn.If, wire.Condition{Key: activeKey}, wire.Condition{Key: finalKey})
		txn.Then = append(txn.Then, wire.Op{Put: activeKey, Value: s.value})
	}
	batch := &submissionBatch{requests: u, submissions: append([]*submission(nil), u.submissionQueue[:n]...)}
	u.submissionQueue = append(u.submissionQueue[:0], u.submissionQueue[n:]...)
	return batch, txn
}

// applyResult handles the result of the transaction. If it failed because some of the jobs were accepted before, the
// other submissions are queued again.
func (b *submissionBatch) applyResult(r Result) {
	u := b.requests
	u.submissionInFlight = false
	failed := r.failedKeys()
	for _, s := range b.submissions {
		id := s.job.ID
		s.attempts++
		s.inFlight = false
		if r.Outcome == outcome.OK {
			u.acceptSubmission(s)
			continue
		}
		s.includeLateRequests()
		switch {
		case r.Outcome == outcome.Conflict && (failed[stored.JobKey(id)] || failed[stored.FinalStateKey(id)]):
			u.readSubmitted(s)
		case r.Outcome == outcome.Conflict && s.attempts < maxSubmissionAttempts:
			u.submissionQueue = append(u.submissionQueue, s)
		default:
			// The transaction was not applied, or its outcome is unknown and it may still be applied later. A repeated
			// submission determines the job's state.
			u.abandonSubmission(s)
		}
	}
}

// acceptSubmission responds to the requests of a submission that was committed. The job may have been cancelled or have
// ended since, so its state is read for the requests that arrived while the transaction was in flight.
func (u *userRequests) acceptSubmission(s *submission) {
	delete(u.submissionByID, s.job.ID)
	for _, requestID := range s.requestIDs {
		u.respond(requestID, http.StatusCreated, wire.JobResponse{ID: s.job.ID, Status: wire.JobPending})
	}
	if len(s.lateRequestIDs) > 0 {
		s.requestIDs = nil
		s.includeLateRequests()
		u.readSubmitted(s)
	}
}

// abandonSubmission responds to all requests of a submission whose result can't be confirmed.
func (u *userRequests) abandonSubmission(s *submission) {
	delete(u.submissionByID, s.job.ID)
	for _, requestID := range s.requestIDs {
		u.respondIndeterminate(requestID)
	}
}

// submittedRead reads the state of a submitted job that was accepted before.
type submittedRead struct {
	requests   *userRequests
	submission *submission
}

// readSubmitted reads the state of a submitted job that was accepted before, and responds with it.
func (u *userRequests) readSubmitted(s *submission) {
	delete(u.submissionByID, s.job.ID)
	read := submittedRead{requests: u, submission: s}
	u.readQueue = append(u.readQueue, &lookup{id: s.job.ID, onResult: read.respond})
}

func (s submittedRead) respond(result lookupResult) {
	u, id := s.requests, s.submission.job.ID
	for _, requestID := range s.submission.requestIDs {
		if result.found() {
			u.respond(requestID, http.StatusOK, u.core.jobResponseOf(id, result))
		} else {
			u.respondIndeterminate(requestID)
		}
	}
}

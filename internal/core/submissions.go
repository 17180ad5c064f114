package core

import (
	"encoding/json"
	"net/http"

	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// submission is a job that waits to be committed, with the requests that await the result. Repeated submissions of the
// job share it.
//
// Its transaction confirms the job's state only to requests that arrived before the transaction was sent. A later request
// may come from a user who has already been told a newer state, so it is answered by a read that is sent afterwards.
type submission struct {
	job            *wire.Job
	value          json.RawMessage
	requestIDs     []uint64 // requests that arrived before the transaction was sent
	lateRequestIDs []uint64 // requests that arrived while the transaction was in flight
	inFlight       bool
	attempts       int
}

// addRequest adds a request that awaits the result.
func (s *submission) addRequest(requestID uint64) {
	if s.inFlight {
		s.lateRequestIDs = append(s.lateRequestIDs, requestID)
		return
	}
	s.requestIDs = append(s.requestIDs, requestID)
}

// includeLateRequests adds the late requests to the others, once none of them depends on the earlier transaction.
func (s *submission) includeLateRequests() {
	s.requestIDs = append(s.requestIDs, s.lateRequestIDs...)
	s.lateRequestIDs = nil
}

// submit handles a submission: it queues the job to be committed, rejects it, or responds with the state of a job that
// was accepted before.
func (u *userRequests) submit(in SubmitJob) {
	c := u.core
	if final, ok := c.cache.FinalState(in.Job.ID); ok {
		c.respond(in.RequestID, http.StatusOK, finalJobResponse(in.Job.ID, final))
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
	switch admission := c.checkAdmission(in.Job); {
	case admission == inadmissible:
		u.respondIdempotent(in, rejection{status: http.StatusUnprocessableEntity, reason: "the job can never run here"})
	case admission == admissionUnknown:
		u.respondIdempotent(in, rejection{})
	case len(in.Job.Dependencies) > c.limits.maxDependencies():
		u.respondIdempotent(in, rejection{status: http.StatusBadRequest, reason: wire.FieldDependencies + ": names too many jobs"})
	case len(in.Job.Dependencies) > 0:
		u.submitWithDependencies(in)
	default:
		u.enqueueSubmission(in)
	}
}

// joinSubmission adds a request to a waiting submission of the same job. It returns false if there is none.
func (u *userRequests) joinSubmission(in SubmitJob) bool {
	s := u.submissionByID[in.Job.ID]
	if s == nil {
		return false
	}
	s.addRequest(in.RequestID)
	return true
}

// enqueueSubmission queues a submission to be committed.
func (u *userRequests) enqueueSubmission(in SubmitJob) {
	c := u.core
	if u.joinSubmission(in) {
		return
	}
	value, err := stored.Job{Spec: in.Job, AcceptedMS: c.now.WallMS}.Encode()
	if err != nil || len(value) > c.limits.maxValueBytes() {
		u.respond(in.RequestID, http.StatusBadRequest, wire.ErrorBody{Error: "body: is too large"})
		return
	}
	s := &submission{job: in.Job, value: value, requestIDs: []uint64{in.RequestID}}
	u.submissionByID[in.Job.ID] = s
	u.submissionQueue = append(u.submissionQueue, s)
}

// rejection is the response to a submission that can't be accepted. With status 0 it is not known whether the job can
// be accepted.
type rejection struct {
	status int
	reason string
}

// repeatedSubmission is a submission of a job that may have been accepted before and is not accepted now.
type repeatedSubmission struct {
	requests  *userRequests
	request   SubmitJob
	rejection rejection
}

// respondIdempotent responds to a submission of a job that is known or that can't be accepted. If the job was accepted
// before, the response is its state, whatever the admission check says now.
func (u *userRequests) respondIdempotent(in SubmitJob, rejected rejection) {
	repeated := repeatedSubmission{requests: u, request: in, rejection: rejected}
	u.lookUp(in.Job.ID, repeated.respond)
}

func (s repeatedSubmission) respond(result lookupResult) {
	u, requestID, id := s.requests, s.request.RequestID, s.request.Job.ID
	switch {
	case result.found():
		u.respond(requestID, http.StatusOK, u.core.jobResponseOf(id, result))
	case result.state == lookupNotFound && s.rejection.status != 0:
		u.respond(requestID, s.rejection.status, wire.ErrorBody{Error: s.rejection.reason})
	default:
		// The result of the lookup or of the admission check is unknown, or the job was removed from the cache during
		// the lookup.
		u.respondIndeterminate(requestID)
	}
}

package core

import (
	"encoding/json"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// submission is a job waiting to be committed; repeats of it wait with it.
type submission struct {
	job        *wire.Job
	value      json.RawMessage
	requestIDs []uint64
	attempts   int
}

func (u *userRequests) submit(in SubmitJob) {
	c := u.core
	if f, ok := c.cache.finals[in.Job.ID]; ok {
		c.respond(in.RequestID, 200, finalJobState(in.Job.ID, f))
		return
	}
	if u.rejectIfOverloaded(in.RequestID) {
		return
	}
	if !c.cache.ready {
		u.respondIndeterminate(in.RequestID)
		return
	}
	if s := u.submissionByID[in.Job.ID]; s != nil {
		s.requestIDs = append(s.requestIDs, in.RequestID)
		return
	}
	if c.cache.jobs[in.Job.ID] != nil {
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
		u.enqueue(in)
	}
}

// enqueue has a submission committed.
func (u *userRequests) enqueue(in SubmitJob) {
	c := u.core
	if s := u.submissionByID[in.Job.ID]; s != nil {
		s.requestIDs = append(s.requestIDs, in.RequestID)
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

// rejection is the answer to a submission that can't be taken; without a status nothing can be said.
type rejection struct {
	status int
	reason string
}

// respondIdempotent answers a submission that is known, or that can't be taken. A job that is known already
// gets its state, whatever today's check says.
func (u *userRequests) respondIdempotent(in SubmitJob, refused rejection) {
	c := u.core
	u.lookUp(in.Job.ID, func(f lookupResult) {
		switch {
		case f.indeterminate:
			u.respondIndeterminate(in.RequestID)
		case f.entry != nil || f.final != nil:
			u.respond(in.RequestID, 200, c.jobStateOf(in.Job.ID, f))
		case refused.status != 0:
			u.respond(in.RequestID, refused.status, wire.ErrorBody{Error: refused.reason})
		default:
			// Undecided, or gone from the cache while it was asked for.
			u.respondIndeterminate(in.RequestID)
		}
	})
}

// commitSubmissions commits waiting jobs. They share a transaction; where one of them is
// known already, the others go into the next.
func (u *userRequests) commitSubmissions() {
	c := u.core
	if u.submitInFlight || len(u.submissions) == 0 {
		return
	}
	var txn wire.Txn
	n, size := 0, 0
	for ; n < len(u.submissions) && n < c.limits.maxChanges(); n++ {
		s := u.submissions[n]
		size += len(s.value) + 256
		if n > 0 && size > wire.MaxBody*3/4 {
			break
		}
		id := s.job.ID
		txn.If = append(txn.If, wire.Condition{Key: stored.JobKey(id)}, wire.Condition{Key: stored.FinalStateKey(id)})
		txn.Then = append(txn.Then, wire.Op{Put: stored.JobKey(id), Value: s.value})
	}
	batch := append([]*submission(nil), u.submissions[:n]...)
	u.submissions = append(u.submissions[:0], u.submissions[n:]...)
	u.submitInFlight = true
	id := c.registerStoreCall(func(r Result) {
		u.submitInFlight = false
		failed := map[string]bool{}
		for _, k := range r.Txn.Failed {
			failed[k] = true
		}
		for _, s := range batch {
			id := s.job.ID
			s.attempts++
			switch {
			case r.Outcome == outcome.OK:
				u.resolveSubmission(s, func(req uint64) {
					u.respond(req, 201, wire.JobState{ID: id, State: wire.JobPending})
				})
			case r.Outcome == outcome.Conflict && (failed[stored.JobKey(id)] || failed[stored.FinalStateKey(id)]):
				delete(u.submissionByID, id)
				u.reads = append(u.reads, &lookup{id: id, then: func(f lookupResult) {
					for _, req := range s.requestIDs {
						if !f.indeterminate && (f.entry != nil || f.final != nil) {
							u.respond(req, 200, c.jobStateOf(id, f))
						} else {
							u.respondIndeterminate(req)
						}
					}
				}})
			case r.Outcome == outcome.Conflict && s.attempts < 4:
				u.submissions = append(u.submissions, s)
			default:
				// Refused, or unknown: it may be there, or come yet. The repeat
				// finds out.
				u.resolveSubmission(s, u.respondIndeterminate)
			}
		}
	})
	c.emit(StoreTxn{CallID: id, Txn: txn})
}

func (u *userRequests) resolveSubmission(s *submission, f func(req uint64)) {
	delete(u.submissionByID, s.job.ID)
	for _, req := range s.requestIDs {
		f(req)
	}
}

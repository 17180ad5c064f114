package core

import (
	"time"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// userRequests answers users' requests. Nothing is told that the state service has not
// confirmed at that moment, except final states and cancellations, which never
// change. What can't be confirmed gets 503 at once.
type userRequests struct {
	core    *Core
	waiting int // requests without an answer yet

	comparisons     []*lookup // to confirm by a comparison
	compareInFlight bool
	nextCompare     time.Duration // no comparison before this
	lastCompare     time.Duration // when the last one went out

	reads         []*lookup // to read
	readsInFlight int

	submissions    []*submission
	submissionByID map[string]*submission
	submitInFlight bool

	cancelling map[string][]func(lookupResult) // dependents whose cancellation is being written
}

func newUserRequests(c *Core) *userRequests {
	return &userRequests{core: c, submissionByID: map[string]*submission{}, cancelling: map[string][]func(lookupResult){}}
}

// rejectIfOverloaded answers 429 when too many requests wait already.
func (u *userRequests) rejectIfOverloaded(req uint64) bool {
	if u.waiting >= u.core.operator.MaxPendingRequests {
		u.core.respondRetryLater(req, 429, "too many requests")
		return true
	}
	u.waiting++
	return false
}

func (u *userRequests) respond(req uint64, status int, body any) {
	u.waiting--
	u.core.respond(req, status, body)
}

func (u *userRequests) respondIndeterminate(req uint64) {
	u.waiting--
	u.core.respondRetryLater(req, 503, "can't be confirmed now")
}

func (u *userRequests) getJob(in GetJob) {
	c := u.core
	if !wire.ValidJobID(in.ID) {
		c.respond(in.RequestID, 404, wire.ErrorBody{Error: "no such job"})
		return
	}
	if f, ok := c.cache.finals[in.ID]; ok {
		c.respond(in.RequestID, 200, finalJobState(in.ID, f))
		return
	}
	if u.rejectIfOverloaded(in.RequestID) {
		return
	}
	u.startLookup(&lookup{id: in.ID, batchable: true, then: func(f lookupResult) {
		switch {
		case f.indeterminate:
			u.respondIndeterminate(in.RequestID)
		case f.entry == nil && f.final == nil:
			u.respond(in.RequestID, 404, wire.ErrorBody{Error: "no such job"})
		default:
			u.respond(in.RequestID, 200, c.jobStateOf(in.ID, f))
		}
	}})
}

func (u *userRequests) cancel(in CancelJob) {
	c := u.core
	if !wire.ValidJobID(in.ID) {
		c.respond(in.RequestID, 404, wire.ErrorBody{Error: "no such job"})
		return
	}
	if f, ok := c.cache.finals[in.ID]; ok {
		c.respond(in.RequestID, 200, wire.JobState{ID: in.ID, State: f.State})
		return
	}
	if u.rejectIfOverloaded(in.RequestID) {
		return
	}
	u.tryCancel(in, 0)
}

// tryCancel commits a cancellation by comparing and setting the job's key, which
// is also what a done has to pass: one of the two wins.
func (u *userRequests) tryCancel(in CancelJob, tries int) {
	u.lookUp(in.ID, func(f lookupResult) {
		switch {
		case f.indeterminate || tries > 3:
			u.respondIndeterminate(in.RequestID)
		case f.final != nil:
			u.respond(in.RequestID, 200, wire.JobState{ID: in.ID, State: f.final.State})
		case f.entry == nil:
			u.respond(in.RequestID, 404, wire.ErrorBody{Error: "no such job"})
		case f.entry.CancelledMS != 0:
			u.respond(in.RequestID, 200, wire.JobState{ID: in.ID, State: wire.JobCancelled})
		default:
			u.commitCancel(in.ID, f.entry, func(r cancelResult) {
				switch r {
				case cancelAcknowledged:
					u.respond(in.RequestID, 200, wire.JobState{ID: in.ID, State: wire.JobCancelled})
				case cancelConflict:
					u.tryCancel(in, tries+1)
				default:
					u.respondIndeterminate(in.RequestID)
				}
			})
		}
	})
}

// cancelResult is what became of the write of a cancellation.
type cancelResult int

const (
	cancelIndeterminate cancelResult = iota
	cancelAcknowledged               // written, and known to all nodes
	cancelConflict                   // the job's key has changed before
)

// commitCancel writes a job's cancellation, on the condition that its key is as it was seen, and has
// all nodes know it.
func (u *userRequests) commitCancel(id string, e *cachedJob, then func(cancelResult)) {
	c := u.core
	v := e.Job
	v.CancelledMS = max(1, c.now.WallMS)
	value, err := v.EncodeWithin(c.limits.maxValueBytes())
	if err != nil {
		then(cancelIndeterminate)
		return
	}
	request := c.registerStoreCall(func(r Result) {
		switch r.Outcome {
		case outcome.OK:
			c.applyJobIfNewer(id, value, r.Txn.Revision, fromWrite)
			c.cancellations.awaitAcknowledgement(id, &cachedJob{v, r.Txn.Revision}, func(acknowledged bool) {
				if acknowledged {
					c.logConfirmedCancellation(id, r.Txn.Revision)
					then(cancelAcknowledged)
				} else {
					then(cancelIndeterminate)
				}
			})
		case outcome.Conflict:
			then(cancelConflict)
		default:
			then(cancelIndeterminate)
		}
	})
	key := stored.JobKey(id)
	c.emit(StoreTxn{CallID: request, Txn: wire.Txn{
		If:   []wire.Condition{{Key: key, Version: e.version}},
		Then: []wire.Op{{Put: key, Value: value}},
	}})
}

func (u *userRequests) run() {
	u.runComparisons()
	u.runReads()
	u.commitSubmissions()
}

func finalJobState(id string, f stored.FinalState) wire.JobState {
	zero := 0
	return wire.JobState{ID: id, State: f.State, Done: &f.Done, Running: &zero}
}

// jobStateOf is what users are told of a job that was found.
func (c *Core) jobStateOf(id string, f lookupResult) wire.JobState {
	if f.final != nil {
		return finalJobState(id, *f.final)
	}
	n := c.countsOf(id)
	s := wire.JobState{ID: id, State: wire.JobPending, Running: &n.Running, Done: &n.Done}
	switch {
	case f.entry.CancelledMS != 0:
		s.State = wire.JobCancelled
	case n.Running > 0:
		s.State = wire.JobRunning
	}
	return s
}

func (c *Core) countsOf(id string) stored.TaskCounts {
	if c.leader != nil {
		if j := c.leader.jobs[id]; j != nil {
			return j.taskCounts()
		}
	}
	return c.cache.countsOf(id)
}

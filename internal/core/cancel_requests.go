package core

import (
	"encoding/json"
	"net/http"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/watchcache"
	"bitternwing/internal/wire"
)

// maxCancelRetries bounds how often a cancellation is tried again because the job's key had changed.
const maxCancelRetries = 3

// pendingCancel is a CancelJob that waits for its response.
type pendingCancel struct {
	requests *userRequests
	request  CancelJob
	retries  int
}

// cancel cancels a job, or responds with the state of one that has ended.
func (u *userRequests) cancel(in CancelJob) {
	c := u.core
	if !wire.ValidJobID(in.ID) {
		c.respond(in.RequestID, http.StatusNotFound, noSuchJob)
		return
	}
	if final, ok := c.cache.FinalState(in.ID); ok {
		c.respond(in.RequestID, http.StatusOK, wire.JobResponse{ID: in.ID, Status: final.State})
		return
	}
	if u.rejectIfOverloaded(in.RequestID) {
		return
	}
	pending := &pendingCancel{requests: u, request: in}
	pending.lookUp()
}

// lookUp finds out the job's state and then cancels it by a compare-and-swap of the job's key. The write of a
// job's end is one as well: one of the two wins.
func (p *pendingCancel) lookUp() {
	p.requests.lookUp(p.request.ID, p.applyLookup)
}

func (p *pendingCancel) applyLookup(result lookupResult) {
	u, requestID := p.requests, p.request.RequestID
	if p.retries > maxCancelRetries {
		u.respondIndeterminate(requestID)
		return
	}
	switch result.state {
	case lookupIndeterminate:
		u.respondIndeterminate(requestID)
	case lookupNotFound:
		u.respond(requestID, http.StatusNotFound, noSuchJob)
	case lookupEnded:
		p.respondState(result.final.State)
	case lookupActive:
		if result.job.Cancelled() {
			p.respondState(wire.JobCancelled)
			return
		}
		u.commitCancellation(p.request.ID, result.job, p.applyCommit)
	}
}

func (p *pendingCancel) applyCommit(result cancelResult) {
	switch result {
	case cancelAcknowledged:
		p.respondState(wire.JobCancelled)
	case cancelConflict:
		p.retries++
		p.lookUp()
	case cancelIndeterminate:
		p.requests.respondIndeterminate(p.request.RequestID)
	}
}

func (p *pendingCancel) respondState(state wire.JobStatus) {
	p.requests.respond(p.request.RequestID, http.StatusOK, wire.JobResponse{ID: p.request.ID, Status: state})
}

// cancelResult is what became of the write of a cancellation.
type cancelResult int

const (
	cancelIndeterminate cancelResult = iota
	cancelAcknowledged               // written, and known to all nodes
	cancelConflict                   // the job's key had changed before
)

// cancellationWrite is the write of a job's cancellation.
type cancellationWrite struct {
	core     *Core
	id       string
	job      stored.Job // with the cancellation
	value    json.RawMessage
	then     func(cancelResult)
	revision uint64 // at which it was written
}

// commitCancellation writes a job's cancellation, on the condition that its key is as it was seen, and has all nodes
// acknowledge it.
func (u *userRequests) commitCancellation(id string, seen *watchcache.Job, then func(cancelResult)) {
	c := u.core
	job := seen.Job
	job.CancelledMS = max(1, c.now.WallMS)
	value, err := job.EncodeWithin(c.limits.maxValueBytes())
	if err != nil {
		then(cancelIndeterminate)
		return
	}
	write := &cancellationWrite{core: c, id: id, job: job, value: value, then: then}
	request := c.registerStoreCall(write.applyResult)
	key := stored.JobKey(id)
	c.emit(StoreTxn{CallID: request, Txn: wire.Txn{
		If:   []wire.Condition{{Key: key, Version: seen.Version}},
		Then: []wire.Op{{Put: key, Value: value}},
	}})
}

func (w *cancellationWrite) applyResult(r Result) {
	if r.Outcome == outcome.OK {
		w.replicate(r.Txn.Revision)
		return
	}
	if r.Outcome == outcome.Conflict {
		w.then(cancelConflict)
		return
	}
	w.then(cancelIndeterminate)
}

// replicate has the other nodes acknowledge the cancellation, which was written at a revision.
func (w *cancellationWrite) replicate(revision uint64) {
	c := w.core
	c.applyJobIfNewer(w.id, w.value, revision, fromWrite)
	w.revision = revision
	c.cancellations.awaitAcknowledgement(w.id, &watchcache.Job{Job: w.job, Version: revision}, w.applyAcknowledgement)
}

func (w *cancellationWrite) applyAcknowledgement(acknowledged bool) {
	if !acknowledged {
		w.then(cancelIndeterminate)
		return
	}
	w.core.logConfirmedCancellation(w.id, w.revision)
	w.then(cancelAcknowledged)
}

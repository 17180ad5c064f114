package core

import (
	"encoding/json"
	"net/http"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/watchcache"
	"bitternwing/internal/wire"
)

// maxCancelRetries bounds how often a cancellation is retried because the job's key has changed concurrently.
const maxCancelRetries = 3

// pendingCancelRequest is a CancelJob request that awaits its response.
type pendingCancelRequest struct {
	requests *userRequests
	request  CancelJob
	retries  int
}

// cancel cancels a job. If the job has ended, it responds with the final state.
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
	pending := &pendingCancelRequest{requests: u, request: in}
	pending.lookUp()
}

// lookUp looks the job up and then cancels it by a compare-and-swap of the job's key. A job's end is written by a
// compare-and-swap of the same key, so only one of the two succeeds.
func (p *pendingCancelRequest) lookUp() {
	p.requests.lookUp(p.request.ID, p.applyLookup)
}

func (p *pendingCancelRequest) applyLookup(result lookupResult) {
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

func (p *pendingCancelRequest) applyCommit(result cancelResult) {
	switch result {
	case cancelConfirmed:
		p.respondState(wire.JobCancelled)
	case cancelConflict:
		p.retries++
		p.lookUp()
	case cancelIndeterminate:
		p.requests.respondIndeterminate(p.request.RequestID)
	}
}

func (p *pendingCancelRequest) respondState(state wire.JobStatus) {
	p.requests.respond(p.request.RequestID, http.StatusOK, wire.JobResponse{ID: p.request.ID, Status: state})
}

// cancelResult is the result of writing and replicating a cancellation.
type cancelResult int

const (
	cancelIndeterminate cancelResult = iota
	cancelConfirmed                  // written, acknowledged by all nodes and resolved by the leader
	cancelConflict                   // not written: the job's key has changed since it was read
)

// cancellationWrite writes a job's cancellation to the key-value store.
type cancellationWrite struct {
	core     *Core
	id       string
	job      stored.Job // with the cancellation
	value    json.RawMessage
	onResult func(cancelResult)
	revision uint64 // store revision of the write
}

// commitCancellation writes a job's cancellation, provided that the job's key is unchanged, and then waits until all
// nodes have acknowledged it.
func (u *userRequests) commitCancellation(id string, current *watchcache.Job, onResult func(cancelResult)) {
	c := u.core
	job := current.Job
	job.CancelledMS = max(1, c.now.WallMS)
	value, err := job.EncodeWithin(c.limits.maxValueBytes())
	if err != nil {
		onResult(cancelIndeterminate)
		return
	}
	write := &cancellationWrite{core: c, id: id, job: job, value: value, onResult: onResult}
	callID := c.registerStoreCall(write.applyResult)
	key := stored.JobKey(id)
	c.emit(StoreTxn{CallID: callID, Txn: wire.Txn{
		If:   []wire.Condition{{Key: key, Version: current.Version}},
		Then: []wire.Op{{Put: key, Value: value}},
	}})
}

func (w *cancellationWrite) applyResult(r Result) {
	if r.Outcome == outcome.OK {
		w.replicate(r.Txn.Revision)
		return
	}
	if r.Outcome == outcome.Conflict {
		w.onResult(cancelConflict)
		return
	}
	w.onResult(cancelIndeterminate)
}

// replicate replicates the cancellation to the other nodes after it was written at a store revision.
func (w *cancellationWrite) replicate(revision uint64) {
	c := w.core
	c.applyJobIfNewer(w.id, w.value, revision, fromWrite)
	w.revision = revision
	c.cancellations.awaitConfirmation(w.id, &watchcache.Job{Job: w.job, Version: revision}, w.applyConfirmation)
}

func (w *cancellationWrite) applyConfirmation(confirmed bool) {
	if !confirmed {
		w.onResult(cancelIndeterminate)
		return
	}
	w.core.logConfirmedCancellation(w.id, w.revision)
	w.onResult(cancelConfirmed)
}

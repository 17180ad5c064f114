package core

import (
	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/watchcache"
	"bitternwing/internal/wire"
)

// maxJobReads bounds the jobs that are read concurrently for users.
const maxJobReads = 4

// jobRead reads a job's keys for the lookups that were queued before it is sent. A job moves from its active key to its
// final key and never back, so the final key is read after the active one.
type jobRead struct {
	requests      *userRequests
	id            string
	existenceOnly bool
	lookups       []*lookup
}

// runReads starts queued reads, as many as may run concurrently.
func (u *userRequests) runReads() {
	for u.readsInFlight < maxJobReads && len(u.readQueue) > 0 {
		read := u.nextRead()
		u.readsInFlight++
		read.readActiveJob()
	}
}

// nextRead removes the first lookup from the queue, with all others that the same read can answer, and returns their
// read.
func (u *userRequests) nextRead() jobRead {
	first := u.readQueue[0]
	read := jobRead{requests: u, id: first.id, existenceOnly: first.existenceOnly}
	remaining := u.readQueue[:0]
	for _, l := range u.readQueue {
		if l.id == read.id && l.existenceOnly == read.existenceOnly {
			read.lookups = append(read.lookups, l)
		} else {
			remaining = append(remaining, l)
		}
	}
	clear(u.readQueue[len(remaining):])
	u.readQueue = remaining
	return read
}

func (r jobRead) readActiveJob() {
	c := r.requests.core
	id := c.registerStoreCall(r.applyActiveJob)
	c.emit(StoreGet{CallID: id, Key: stored.JobKey(r.id)})
}

func (r jobRead) applyActiveJob(result Result) {
	if result.Outcome == outcome.OK {
		r.discloseActiveJob(result.Item)
		return
	}
	if result.Outcome == outcome.NotFound {
		r.readFinalState()
		return
	}
	r.complete(lookupResult{state: lookupIndeterminate})
}

// discloseActiveJob completes the lookups with an active job that was read, if users may be told its state.
func (r jobRead) discloseActiveJob(item wire.Item) {
	u, id := r.requests, r.id
	value, err := stored.DecodeJob(item.Value)
	if err != nil {
		r.complete(lookupResult{state: lookupIndeterminate})
		return
	}
	job := &watchcache.Job{Job: value, Version: item.Version}
	if r.existenceOnly {
		r.complete(confirmedLookup(job))
		return
	}
	if job.Cancelled() {
		u.core.applyJobIfNewer(id, item.Value, item.Version, fromRead)
		u.resolveCancelled(id, job, r.complete)
		return
	}
	if len(job.Spec.Dependencies) > 0 {
		u.core.applyJobIfNewer(id, item.Value, item.Version, fromRead)
		if !u.mayDisclose(id, job, r.complete) {
			return
		}
	}
	r.complete(confirmedLookup(job))
}

func (r jobRead) readFinalState() {
	c := r.requests.core
	id := c.registerStoreCall(r.applyFinalState)
	c.emit(StoreGet{CallID: id, Key: stored.FinalStateKey(r.id)})
}

func (r jobRead) applyFinalState(result Result) {
	if result.Outcome == outcome.NotFound {
		r.complete(lookupResult{state: lookupNotFound})
		return
	}
	final, err := stored.DecodeFinalState(result.Item.Value)
	if result.Outcome != outcome.OK || err != nil {
		r.complete(lookupResult{state: lookupIndeterminate})
		return
	}
	r.requests.core.cacheFinalState(r.id, final)
	r.complete(endedLookup(final))
}

// complete completes the lookups, so that the next queued read may start.
func (r jobRead) complete(result lookupResult) {
	r.requests.readsInFlight--
	for _, l := range r.lookups {
		l.onResult(result)
	}
}

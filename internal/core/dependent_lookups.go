package core

import (
	"bitternwing/internal/dependency"
	"bitternwing/internal/watchcache"
)

// mayDisclose reports whether the state of an active job, as stored under its own key, may be disclosed to users. If
// not, it completes the lookup itself: a job that depends on a cancelled one is cancelled first, and the lookup is
// indeterminate if this node does not know yet how a dependency ended.
func (u *userRequests) mayDisclose(id string, job *watchcache.Job, onResult func(lookupResult)) bool {
	switch u.core.dependencies.graph.Status(id).State {
	case dependency.Unresolved:
		onResult(lookupResult{state: lookupIndeterminate})
		return false
	case dependency.Cancelled:
		u.cancelDependent(id, job, onResult)
		return false
	case dependency.Ready, dependency.Waiting:
	}
	return true
}

// dependentCancellation is an in-flight cancellation, requested by lookups, of a job that depends on a cancelled one.
type dependentCancellation struct {
	requests *userRequests
	id       string
	job      *watchcache.Job // before the cancellation
	waiters  []func(lookupResult)
}

// cancelDependent cancels a job that depends on a cancelled one, so that a lookup of the job can be answered. The
// leader cancels such jobs as well, but possibly later. Concurrent lookups share one write.
func (u *userRequests) cancelDependent(id string, job *watchcache.Job, onResult func(lookupResult)) {
	if inFlight := u.dependentCancellations[id]; inFlight != nil {
		inFlight.waiters = append(inFlight.waiters, onResult)
		return
	}
	cancellation := &dependentCancellation{requests: u, id: id, job: job, waiters: []func(lookupResult){onResult}}
	u.dependentCancellations[id] = cancellation
	u.commitCancellation(id, job, cancellation.applyResult)
}

func (d *dependentCancellation) applyResult(result cancelResult) {
	u := d.requests
	delete(u.dependentCancellations, d.id)
	for _, onResult := range d.waiters {
		switch result {
		case cancelConfirmed:
			onResult(confirmedLookup(d.jobAfterCancellation()))
		case cancelConflict:
			u.readQueue = append(u.readQueue, &lookup{id: d.id, onResult: onResult})
		case cancelIndeterminate:
			onResult(lookupResult{state: lookupIndeterminate})
		}
	}
}

// jobAfterCancellation returns the job with its cancellation.
func (d *dependentCancellation) jobAfterCancellation() *watchcache.Job {
	c := d.requests.core
	if job := c.cache.Job(d.id); job.Cancelled() {
		return job
	}
	job := *d.job
	job.CancelledMS = max(1, c.now.WallMS)
	return &job
}

package core

import (
	"bitternwing/internal/dependency"
	"bitternwing/internal/watchcache"
)

// mayDisclose tells whether users may be told the state of an active job as its own key has it. If not, it sees to
// the response: a job that depends on a cancelled one is cancelled with it, and where the end of a dependency is not
// known here yet nothing can be said.
func (u *userRequests) mayDisclose(id string, job *watchcache.Job, then func(lookupResult)) bool {
	switch u.core.dependencies.graph.Status(id).State {
	case dependency.Unresolved:
		then(lookupResult{state: lookupIndeterminate})
		return false
	case dependency.Cancelled:
		u.cancelDependent(id, job, then)
		return false
	case dependency.Ready, dependency.Waiting:
	}
	return true
}

// dependentCancellation is the cancellation of a job that depends on a cancelled one, while it is written for the
// lookups that came upon it.
type dependentCancellation struct {
	requests *userRequests
	id       string
	job      *watchcache.Job // as it was before
	waiters  []func(lookupResult)
}

// cancelDependent cancels a job that depends on a cancelled one, for a lookup of it. The leader does so as well, in
// its own time. Lookups at the same time share one write.
func (u *userRequests) cancelDependent(id string, job *watchcache.Job, then func(lookupResult)) {
	if inFlight := u.dependentCancellations[id]; inFlight != nil {
		inFlight.waiters = append(inFlight.waiters, then)
		return
	}
	cancellation := &dependentCancellation{requests: u, id: id, job: job, waiters: []func(lookupResult){then}}
	u.dependentCancellations[id] = cancellation
	u.commitCancellation(id, job, cancellation.apply)
}

func (d *dependentCancellation) apply(result cancelResult) {
	u := d.requests
	delete(u.dependentCancellations, d.id)
	for _, then := range d.waiters {
		switch result {
		case cancelAcknowledged:
			then(confirmedLookup(d.jobAfterCancellation()))
		case cancelConflict:
			u.reads = append(u.reads, &lookup{id: d.id, then: then})
		case cancelIndeterminate:
			then(lookupResult{state: lookupIndeterminate})
		}
	}
}

// jobAfterCancellation gives the job as it is after its cancellation was written.
func (d *dependentCancellation) jobAfterCancellation() *watchcache.Job {
	c := d.requests.core
	if job := c.cache.Job(d.id); job.Cancelled() {
		return job
	}
	job := *d.job
	job.CancelledMS = max(1, c.now.WallMS)
	return &job
}

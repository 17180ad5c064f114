package core

import (
	"bitternwing/internal/stored"
	"bitternwing/internal/watchcache"
	"bitternwing/internal/wire"
)

// lookup is a lookup of a job's state.
type lookup struct {
	id       string
	cached   *watchcache.Job // from the watch cache; nil if it has no such job
	onResult func(lookupResult)
	// batchable means that the lookup may wait a little, so that one comparison confirms many lookups.
	batchable bool
	// existenceOnly means that the caller only asks whether the job was accepted and discloses nothing else about it.
	existenceOnly bool
}

// lookupState is the outcome of a lookup.
type lookupState int

const (
	lookupIndeterminate lookupState = iota // the state could not be confirmed
	lookupNotFound                         // no such job was accepted
	lookupActive                           // the job has not ended
	lookupEnded                            // the job is done or cancelled
)

// lookupResult is the result of a lookup.
type lookupResult struct {
	state lookupState
	job   *watchcache.Job   // if the job is active
	final stored.FinalState // if the job has ended
}

// confirmedLookup returns the result for a job that is confirmed to be active, or for one that is confirmed not to
// exist if job is nil.
func confirmedLookup(job *watchcache.Job) lookupResult {
	if job == nil {
		return lookupResult{state: lookupNotFound}
	}
	return lookupResult{state: lookupActive, job: job}
}

// endedLookup returns the result for a job that has ended.
func endedLookup(final stored.FinalState) lookupResult {
	return lookupResult{state: lookupEnded, final: final}
}

// found reports whether the lookup has confirmed that the job was accepted.
func (r lookupResult) found() bool { return r.state == lookupActive || r.state == lookupEnded }

// jobResponseOf returns the response with the state of a job that was found.
func (c *Core) jobResponseOf(id string, result lookupResult) wire.JobResponse {
	if result.state == lookupEnded {
		return finalJobResponse(id, result.final)
	}
	return c.activeJobResponse(id, result.job)
}

// lookUp looks a job up without waiting for other lookups to share its comparison.
func (u *userRequests) lookUp(id string, onResult func(lookupResult)) {
	u.startLookup(&lookup{id: id, onResult: onResult})
}

// startLookup starts a lookup. A job that is cancelled in the cache needs no comparison, but all nodes must have
// acknowledged the cancellation.
func (u *userRequests) startLookup(l *lookup) {
	if !u.core.cache.Ready() {
		l.onResult(lookupResult{state: lookupIndeterminate})
		return
	}
	cached := u.core.cache.Job(l.id)
	if cached.Cancelled() {
		u.resolveCancelled(l.id, cached, l.onResult)
		return
	}
	if cached != nil && len(cached.Spec.Dependencies) > 0 && !u.mayDisclose(l.id, cached, l.onResult) {
		return
	}
	l.cached = cached
	u.comparisonQueue = append(u.comparisonQueue, l)
	if !l.batchable || u.core.storeHealth.down {
		u.nextComparison = min(u.nextComparison, u.lastComparison+u.core.times.minComparisonGap)
	}
}

// resolveCancelled completes the lookup of a cancelled job once its cancellation may be confirmed to users.
func (u *userRequests) resolveCancelled(id string, job *watchcache.Job, onResult func(lookupResult)) {
	disclosure := cancelledDisclosure{core: u.core, id: id, job: job, onResult: onResult}
	u.core.cancellations.awaitConfirmation(id, job, disclosure.resolve)
}

// cancelledDisclosure is a lookup of a cancelled job that waits until the cancellation may be confirmed to users.
type cancelledDisclosure struct {
	core     *Core
	id       string
	job      *watchcache.Job
	onResult func(lookupResult)
}

func (d cancelledDisclosure) resolve(confirmed bool) {
	final, ended := d.core.cache.FinalState(d.id)
	switch {
	case ended:
		d.onResult(endedLookup(final))
	case confirmed:
		d.onResult(confirmedLookup(d.job))
	default:
		d.onResult(lookupResult{state: lookupIndeterminate})
	}
}

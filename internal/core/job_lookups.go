package core

import (
	"bitternwing/internal/stored"
	"bitternwing/internal/watchcache"
	"bitternwing/internal/wire"
)

// lookup finds out the state of a job.
type lookup struct {
	id     string
	cached *watchcache.Job // what the watch cache has; nil: no such job
	then   func(lookupResult)
	// batchable tells that the caller can wait a little, so that one comparison serves many lookups.
	batchable bool
	// existenceOnly tells that the caller asks only whether the job was accepted, and discloses nothing of it.
	existenceOnly bool
}

// lookupState is how a lookup ended.
type lookupState int

const (
	lookupIndeterminate lookupState = iota // could not be confirmed
	lookupNotFound                         // no such job was accepted
	lookupActive                           // the job has not ended
	lookupEnded                            // the job is done or cancelled
)

// lookupResult is the result of a lookup.
type lookupResult struct {
	state lookupState
	job   *watchcache.Job   // of an active job
	final stored.FinalState // of a job that has ended
}

// confirmedLookup is the result for a job that was confirmed to be active, or to be unknown if it is nil.
func confirmedLookup(job *watchcache.Job) lookupResult {
	if job == nil {
		return lookupResult{state: lookupNotFound}
	}
	return lookupResult{state: lookupActive, job: job}
}

// endedLookup is the result for a job that has ended.
func endedLookup(final stored.FinalState) lookupResult {
	return lookupResult{state: lookupEnded, final: final}
}

// found tells whether the lookup has confirmed that the job was accepted.
func (r lookupResult) found() bool { return r.state == lookupActive || r.state == lookupEnded }

// jobStateOf is what users are told of a job that was found.
func (c *Core) jobStateOf(id string, result lookupResult) wire.JobResponse {
	if result.state == lookupEnded {
		return finalJobState(id, result.final)
	}
	return c.activeJobState(id, result.job)
}

// lookUp looks a job up for a caller that does not wait for others.
func (u *userRequests) lookUp(id string, then func(lookupResult)) {
	u.startLookup(&lookup{id: id, then: then})
}

// startLookup carries out a lookup. A cached cancellation needs no confirmation once all nodes know it.
func (u *userRequests) startLookup(l *lookup) {
	if !u.core.cache.Ready() {
		l.then(lookupResult{state: lookupIndeterminate})
		return
	}
	cached := u.core.cache.Job(l.id)
	if cached.Cancelled() {
		u.resolveCancelled(l.id, cached, l.then)
		return
	}
	if cached != nil && len(cached.Spec.Dependencies) > 0 && !u.mayDisclose(l.id, cached, l.then) {
		return
	}
	l.cached = cached
	u.comparisons = append(u.comparisons, l)
	if !l.batchable || u.core.storeHealth.down {
		u.nextCompare = min(u.nextCompare, u.lastCompare+u.core.times.minCompareGap)
	}
}

// resolveCancelled hands over a cancelled job once users may be told of it.
func (u *userRequests) resolveCancelled(id string, job *watchcache.Job, then func(lookupResult)) {
	disclosure := cancelledDisclosure{core: u.core, id: id, job: job, then: then}
	u.core.cancellations.awaitAcknowledgement(id, job, disclosure.resolve)
}

// cancelledDisclosure is a lookup of a cancelled job that waits until all nodes know the cancellation.
type cancelledDisclosure struct {
	core *Core
	id   string
	job  *watchcache.Job
	then func(lookupResult)
}

func (d cancelledDisclosure) resolve(acknowledged bool) {
	final, ended := d.core.cache.FinalState(d.id)
	switch {
	case ended:
		d.then(endedLookup(final))
	case acknowledged:
		d.then(confirmedLookup(d.job))
	default:
		d.then(lookupResult{state: lookupIndeterminate})
	}
}

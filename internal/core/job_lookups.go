package core

import (
	"time"

	"bitternwing/internal/outcome"
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

// activeLookup is the result for what is known of a job that has not ended; nil: there is none.
func activeLookup(job *watchcache.Job) lookupResult {
	if job == nil {
		return lookupResult{state: lookupNotFound}
	}
	return lookupResult{state: lookupActive, job: job}
}

func endedLookup(final stored.FinalState) lookupResult {
	return lookupResult{state: lookupEnded, final: final}
}

// found tells whether the lookup has confirmed that the job was accepted.
func (r lookupResult) found() bool { return r.state == lookupActive || r.state == lookupEnded }

// jobStateOf is what users are told of a job that was found.
func (c *Core) jobStateOf(id string, result lookupResult) wire.JobState {
	if result.state == lookupEnded {
		return finalJobState(id, result.final)
	}
	return c.activeJobState(id, result.job)
}

// pendingGet is a GetJob that waits for its lookup.
type pendingGet struct {
	requests *userRequests
	request  GetJob
}

// getJob responds with a job's state.
func (u *userRequests) getJob(in GetJob) {
	c := u.core
	if !wire.ValidJobID(in.ID) {
		c.respond(in.RequestID, 404, noSuchJob)
		return
	}
	if final, ok := c.cache.FinalState(in.ID); ok {
		c.respond(in.RequestID, 200, finalJobState(in.ID, final))
		return
	}
	if u.rejectIfOverloaded(in.RequestID) {
		return
	}
	get := pendingGet{requests: u, request: in}
	u.startLookup(&lookup{id: in.ID, batchable: true, then: get.respond})
}

func (g pendingGet) respond(result lookupResult) {
	u, requestID, id := g.requests, g.request.RequestID, g.request.ID
	switch result.state {
	case lookupIndeterminate:
		u.respondIndeterminate(requestID)
	case lookupNotFound:
		u.respond(requestID, 404, noSuchJob)
	case lookupActive, lookupEnded:
		u.respond(requestID, 200, u.core.jobStateOf(id, result))
	}
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
		d.then(activeLookup(d.job))
	default:
		d.then(lookupResult{state: lookupIndeterminate})
	}
}

// comparisonBatch is the lookups that one comparison with the key-value store confirms.
type comparisonBatch struct {
	requests *userRequests
	lookups  []*lookup
}

// runComparisons confirms cached states, many in one comparison, one comparison at a time.
func (u *userRequests) runComparisons() {
	c := u.core
	if u.compareInFlight || len(u.comparisons) == 0 {
		return
	}
	if c.now.Steady < u.nextCompare {
		c.wakeBy(u.nextCompare)
		return
	}
	batch, conditions := u.nextComparisonBatch()
	u.compareInFlight = true
	u.scheduleNextComparison()
	id := c.registerStoreCall(batch.applyResult)
	c.emit(StoreTxn{CallID: id, Txn: wire.Txn{If: conditions}})
}

// nextComparisonBatch takes as many lookups out of the queue as fit into a comparison.
func (u *userRequests) nextComparisonBatch() (*comparisonBatch, []wire.Condition) {
	limit := u.core.limits.maxConditions()
	var conditions []wire.Condition
	n := 0
	for ; n < len(u.comparisons) && len(conditions)+maxLookupConditions <= limit; n++ {
		conditions = append(conditions, u.comparisons[n].conditions()...)
	}
	batch := &comparisonBatch{requests: u, lookups: append([]*lookup(nil), u.comparisons[:n]...)}
	u.comparisons = append(u.comparisons[:0], u.comparisons[n:]...)
	return batch, conditions
}

// maxLookupConditions bounds the conditions of one lookup.
const maxLookupConditions = 2

// conditions are those that hold as long as the cached state of the job is current.
func (l *lookup) conditions() []wire.Condition {
	if l.cached != nil {
		return []wire.Condition{{Key: stored.JobKey(l.id), Version: l.cached.Version}}
	}
	return []wire.Condition{{Key: stored.JobKey(l.id)}, {Key: stored.FinalStateKey(l.id)}}
}

// scheduleNextComparison sets when the comparison after one that is sent now may be sent: soon while lookups are
// queued, else later, so that more of them share it.
func (u *userRequests) scheduleNextComparison() {
	c := u.core
	u.lastCompare = c.now.Steady
	u.nextCompare = c.now.Steady + c.times.minCompareGap
	if len(u.comparisons) == 0 {
		gap := time.Duration(float64(c.times.timerCoalescing) * c.slowdown())
		u.nextCompare = c.coalesce(c.now.Steady + max(c.times.minCompareGap, gap))
	}
}

// applyResult hands over what the comparison has confirmed. A job whose cached state is out of date is read.
func (b *comparisonBatch) applyResult(r Result) {
	u := b.requests
	u.compareInFlight = false
	failed := r.failedKeys()
	for _, l := range b.lookups {
		switch {
		case r.Outcome == outcome.OK, r.Outcome == outcome.Conflict && len(failed) > 0 && !l.failedIn(failed):
			l.then(activeLookup(l.cached))
		case r.Outcome == outcome.Conflict:
			u.reads = append(u.reads, l)
		default:
			l.then(lookupResult{state: lookupIndeterminate})
		}
	}
}

// failedIn tells whether a condition of this lookup is among those that failed.
func (l *lookup) failedIn(failedKeys map[string]bool) bool {
	return failedKeys[stored.JobKey(l.id)] || failedKeys[stored.FinalStateKey(l.id)]
}

package core

import (
	"time"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// lookup finds out what a job's state is.
type lookup struct {
	id    string
	entry *cachedJob // what the cache says; nil: no such job
	then  func(lookupResult)
	// patient: whoever asks can wait a little, so that one comparison does for many.
	batchable bool
	// existence: all that is asked is whether the job was accepted; nothing of it is told.
	existenceOnly bool
}

// lookupResult is a lookup's result.
type lookupResult struct {
	indeterminate bool               // could not be confirmed
	entry         *cachedJob         // active
	final         *stored.FinalState // done or cancelled
}

// lookUp looks a job up. A cached cancellation stands without asking, once all nodes know it.
func (u *userRequests) lookUp(id string, then func(lookupResult)) {
	u.startLookup(&lookup{id: id, then: then})
}

// startLookup carries out a lookup.
func (u *userRequests) startLookup(l *lookup) {
	id, then := l.id, l.then
	if !u.core.cache.ready {
		then(lookupResult{indeterminate: true})
		return
	}
	e := u.core.cache.jobs[id]
	if e.cancelled() {
		u.resolveCancelled(id, e, then)
		return
	}
	if e != nil && len(e.Spec.Dependencies) > 0 && !u.mayDisclose(id, e, then) {
		return
	}
	l.entry = e
	u.comparisons = append(u.comparisons, l)
	if !l.batchable || u.core.storeDown {
		u.nextCompare = min(u.nextCompare, u.lastCompare+u.core.times.minCompareGap)
	}
}

// resolveCancelled hands over a cancelled job once users may be told of it.
func (u *userRequests) resolveCancelled(id string, e *cachedJob, then func(lookupResult)) {
	u.core.cancellations.awaitAcknowledgement(id, e, func(acknowledged bool) {
		if f, over := u.core.cache.finals[id]; over {
			then(lookupResult{final: &f})
			return
		}
		then(lookupResult{entry: e, indeterminate: !acknowledged})
	})
}

// runComparisons confirms cached states, many in one comparison, one comparison at a
// time. What doesn't hold any more is read.
func (u *userRequests) runComparisons() {
	c := u.core
	if u.compareInFlight || len(u.comparisons) == 0 {
		return
	}
	if c.now.Steady < u.nextCompare {
		c.wakeBy(u.nextCompare)
		return
	}
	most := c.limits.maxConditions()
	var conds []wire.Condition
	n := 0
	for ; n < len(u.comparisons) && len(conds)+2 <= most; n++ {
		l := u.comparisons[n]
		if l.entry != nil {
			conds = append(conds, wire.Condition{Key: stored.JobKey(l.id), Version: l.entry.version})
		} else {
			conds = append(conds, wire.Condition{Key: stored.JobKey(l.id)}, wire.Condition{Key: stored.FinalStateKey(l.id)})
		}
	}
	batch := append([]*lookup(nil), u.comparisons[:n]...)
	u.comparisons = append(u.comparisons[:0], u.comparisons[n:]...)
	u.compareInFlight = true
	u.lastCompare = c.now.Steady
	u.nextCompare = c.now.Steady + c.times.minCompareGap
	if len(u.comparisons) == 0 {
		gap := time.Duration(float64(c.times.timerCoalescing) * c.slowdown())
		u.nextCompare = c.coalesce(c.now.Steady + max(c.times.minCompareGap, gap))
	}
	id := c.registerStoreCall(func(r Result) {
		u.compareInFlight = false
		failed := map[string]bool{}
		for _, k := range r.Txn.Failed {
			failed[k] = true
		}
		for _, l := range batch {
			switch {
			case r.Outcome == outcome.OK, r.Outcome == outcome.Conflict && len(failed) > 0 &&
				!failed[stored.JobKey(l.id)] && !failed[stored.FinalStateKey(l.id)]:
				l.then(lookupResult{entry: l.entry})
			case r.Outcome == outcome.Conflict:
				u.reads = append(u.reads, l)
			default:
				l.then(lookupResult{indeterminate: true})
			}
		}
	})
	c.emit(StoreTxn{CallID: id, Txn: wire.Txn{If: conds}})
}

// runReads reads jobs, a few at a time. Jobs move from active to final and never
// back, so the final key is read second.
func (u *userRequests) runReads() {
	c := u.core
	for u.readsInFlight < 4 && len(u.reads) > 0 {
		l := u.reads[0]
		u.reads = u.reads[1:]
		u.readsInFlight++
		end := func(f lookupResult) {
			u.readsInFlight--
			l.then(f)
		}
		id := c.registerStoreCall(func(r Result) {
			switch r.Outcome {
			case outcome.OK:
				v, err := stored.DecodeJob(r.Item.Value)
				if err != nil {
					end(lookupResult{indeterminate: true})
					return
				}
				e := &cachedJob{v, r.Item.Version}
				if l.existenceOnly {
					end(lookupResult{entry: e})
					return
				}
				if v.CancelledMS != 0 {
					c.applyJobIfNewer(l.id, r.Item.Value, r.Item.Version, fromRead)
					u.resolveCancelled(l.id, e, end)
					return
				}
				if len(v.Spec.Dependencies) > 0 {
					c.applyJobIfNewer(l.id, r.Item.Value, r.Item.Version, fromRead)
					if !u.mayDisclose(l.id, e, end) {
						return
					}
				}
				end(lookupResult{entry: e})
			case outcome.NotFound:
				id := c.registerStoreCall(func(r Result) {
					switch r.Outcome {
					case outcome.NotFound:
						end(lookupResult{})
					case outcome.OK:
						final, err := stored.DecodeFinalState(r.Item.Value)
						if err != nil {
							end(lookupResult{indeterminate: true})
							return
						}
						c.cacheFinalState(l.id, final)
						end(lookupResult{final: &final})
					default:
						end(lookupResult{indeterminate: true})
					}
				})
				c.emit(StoreGet{CallID: id, Key: stored.FinalStateKey(l.id)})
			default:
				end(lookupResult{indeterminate: true})
			}
		})
		c.emit(StoreGet{CallID: id, Key: stored.JobKey(l.id)})
	}
}

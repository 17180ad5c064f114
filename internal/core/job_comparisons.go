package core

import (
	"time"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// comparisonBatch is a set of lookups that one comparison with the key-value store confirms.
type comparisonBatch struct {
	requests *userRequests
	lookups  []*lookup
}

// runComparisons sends a comparison for the queued lookups if one is due. Only one comparison is in flight at a time.
func (u *userRequests) runComparisons() {
	c := u.core
	if u.comparisonInFlight || len(u.comparisonQueue) == 0 {
		return
	}
	if c.now.Steady < u.nextComparison {
		c.wakeBy(u.nextComparison)
		return
	}
	batch, conditions := u.nextComparisonBatch()
	u.comparisonInFlight = true
	u.scheduleNextComparison()
	id := c.registerStoreCall(batch.applyResult)
	c.emit(StoreTxn{CallID: id, Txn: wire.Txn{If: conditions}})
}

// nextComparisonBatch removes as many lookups from the queue as fit into a comparison, and returns them with their
// conditions. Lookups of the same state of a job share their conditions.
func (u *userRequests) nextComparisonBatch() (*comparisonBatch, []wire.Condition) {
	limit := u.core.limits.maxConditions()
	var conditions []wire.Condition
	included := map[wire.Condition]bool{}
	n := 0
	for ; n < len(u.comparisonQueue); n++ {
		added := u.comparisonQueue[n].conditions()
		if included[added[0]] {
			continue
		}
		if len(conditions)+maxLookupConditions > limit {
			break
		}
		included[added[0]] = true
		conditions = append(conditions, added...)
	}
	batch := &comparisonBatch{requests: u, lookups: append([]*lookup(nil), u.comparisonQueue[:n]...)}
	u.comparisonQueue = append(u.comparisonQueue[:0], u.comparisonQueue[n:]...)
	return batch, conditions
}

// maxLookupConditions is the maximum number of conditions of a lookup.
const maxLookupConditions = 2

// conditions returns conditions that hold as long as the cached state of the job is current.
func (l *lookup) conditions() []wire.Condition {
	if l.cached != nil {
		return []wire.Condition{{Key: stored.JobKey(l.id), Version: l.cached.Version}}
	}
	return []wire.Condition{{Key: stored.JobKey(l.id)}, {Key: stored.FinalStateKey(l.id)}}
}

// scheduleNextComparison sets the earliest time of the comparison after the one being sent. It is soon if lookups
// remain queued, and later otherwise, so that more lookups share that comparison.
func (u *userRequests) scheduleNextComparison() {
	c := u.core
	u.lastComparison = c.now.Steady
	u.nextComparison = c.now.Steady + c.times.minComparisonGap
	if len(u.comparisonQueue) == 0 {
		gap := time.Duration(float64(c.times.timerCoalescing) * c.slowdown())
		u.nextComparison = c.coalesce(c.now.Steady + max(c.times.minComparisonGap, gap))
	}
}

// applyResult completes the lookups that the comparison has confirmed. Jobs whose cached state is outdated are read.
func (b *comparisonBatch) applyResult(r Result) {
	u := b.requests
	u.comparisonInFlight = false
	failed := r.failedKeys()
	for _, l := range b.lookups {
		switch {
		case r.Outcome == outcome.OK, r.Outcome == outcome.Conflict && len(failed) > 0 && !l.failedIn(failed):
			l.onResult(confirmedLookup(l.cached))
		case r.Outcome == outcome.Conflict:
			u.readQueue = append(u.readQueue, l)
		default:
			l.onResult(lookupResult{state: lookupIndeterminate})
		}
	}
}

// failedIn reports whether a condition of this lookup is among those that failed.
func (l *lookup) failedIn(failedKeys map[string]bool) bool {
	return failedKeys[stored.JobKey(l.id)] || failedKeys[stored.FinalStateKey(l.id)]
}

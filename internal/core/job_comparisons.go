package core

import (
	"time"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// comparisonBatch is the lookups that one comparison with the key-value store confirms.
type comparisonBatch struct {
	requests *userRequests
	lookups  []*lookup
}

// runComparisons confirms cached states, many in one comparison, one comparison at a time.
func (u *userRequests) runComparisons() {
	c := u.core
	if u.comparisonInFlight || len(u.comparisons) == 0 {
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
	u.lastComparison = c.now.Steady
	u.nextComparison = c.now.Steady + c.times.minCompareGap
	if len(u.comparisons) == 0 {
		gap := time.Duration(float64(c.times.timerCoalescing) * c.slowdown())
		u.nextComparison = c.coalesce(c.now.Steady + max(c.times.minCompareGap, gap))
	}
}

// applyResult hands over what the comparison has confirmed. A job whose cached state is out of date is read.
func (b *comparisonBatch) applyResult(r Result) {
	u := b.requests
	u.comparisonInFlight = false
	failed := r.failedKeys()
	for _, l := range b.lookups {
		switch {
		case r.Outcome == outcome.OK, r.Outcome == outcome.Conflict && len(failed) > 0 && !l.failedIn(failed):
			l.onResult(confirmedLookup(l.cached))
		case r.Outcome == outcome.Conflict:
			u.reads = append(u.reads, l)
		default:
			l.onResult(lookupResult{state: lookupIndeterminate})
		}
	}
}

// failedIn tells whether a condition of this lookup is among those that failed.
func (l *lookup) failedIn(failedKeys map[string]bool) bool {
	return failedKeys[stored.JobKey(l.id)] || failedKeys[stored.FinalStateKey(l.id)]
}

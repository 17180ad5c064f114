package core

import (
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// storeLimits are what the state service takes: its present limits, and those that it will have from some
// moment on that it does not tell. Sizes are kept within the tighter of both at all times, so that the
// moment changes nothing. Rates follow what the service grants.
type storeLimits struct {
	present        config.Store
	next           config.StoreLimits
	throttledUntil time.Duration // until then writes keep to the rate that is to come
	lowered        bool          // a value above the limit that is to come was refused
}

func newStoreLimits(s config.Store) *storeLimits {
	return &storeLimits{present: s, next: s.Next.Within(s)}
}

// maxValueBytes is the largest value that is written.
func (l *storeLimits) maxValueBytes() int { return int(1024 * l.next.ValueKB) }

// maxChanges is the most changes in a transaction.
func (l *storeLimits) maxChanges() int { return l.next.TxnOps }

// maxConditions is the most conditions in a transaction.
func (l *storeLimits) maxConditions() int { return 4 * l.next.TxnOps }

// largestAcceptedValue is the largest value that the state service may take as yet, for what does not fit into
// less before the layout of the records has changed.
func (l *storeLimits) largestAcceptedValue() int {
	if l.lowered {
		return l.maxValueBytes()
	}
	return int(1024 * l.present.ValueKB)
}

// observeInvalid learns from a transaction that was refused as malformed.
func (l *storeLimits) observeInvalid(txn wire.Txn) {
	for _, op := range txn.Then {
		l.lowered = l.lowered || len(op.Value) > l.maxValueBytes()
	}
}

// valuesShrink tells whether values will have to be smaller than they may be now.
func (l *storeLimits) valuesShrink() bool { return l.next.ValueKB < l.present.ValueKB }

// writesPerSecond is the rate of changes that all nodes share.
func (l *storeLimits) writesPerSecond(now time.Duration) float64 {
	if now < l.throttledUntil {
		return l.next.WriteRPS
	}
	return l.present.WriteRPS
}

// throttle keeps writes to the rate that is to come for a while, after one above the rate.
func (l *storeLimits) throttle(now, pause time.Duration) { l.throttledUntil = now + pause }

// maxDependencies bounds the jobs that a job may need.
func (l *storeLimits) maxDependencies() int { return wire.MaxDependencies(l.maxValueBytes()) }

// maxValueBytes is how large a value is made.
func (c *Core) maxValueBytes() int { return stored.UsableValueBytes(c.limits.maxValueBytes()) }

// maxValuesPerTxn is how many values of maxValueBytes a transaction holds.
func (c *Core) maxValuesPerTxn() int {
	return min(c.limits.maxChanges(), wire.MaxBody*9/10/c.maxValueBytes())
}

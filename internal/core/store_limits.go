package core

import (
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// storeLimits are the limits of the key-value store: the present ones, and those that it will have from some moment on that
// it does not announce. Sizes are kept within the tighter of both at all times, so that the moment changes nothing. Rates
// follow what the store grants.
type storeLimits struct {
	present        config.Store
	next           config.StoreLimits
	throttledUntil time.Duration // until then writes keep to the rate that is to come
	lowered        bool          // a value above the limit that is to come was rejected
}

func newStoreLimits(s config.Store) *storeLimits {
	return &storeLimits{present: s, next: s.Next.Within(s)}
}

const bytesPerKB = 1024

// maxConditionsPerChange is how many conditions a transaction may have for each change that it may have.
const maxConditionsPerChange = 4

// maxValueBytes is the largest value that is written.
func (l *storeLimits) maxValueBytes() int { return int(bytesPerKB * l.next.ValueKB) }

// maxChanges is the most changes in a transaction.
func (l *storeLimits) maxChanges() int { return l.next.TxnOps }

// maxConditions is the most conditions in a transaction.
func (l *storeLimits) maxConditions() int { return maxConditionsPerChange * l.next.TxnOps }

// largestAcceptedValue is the largest value that the store may accept as yet, for what does not fit into less before the
// layout of the run records has changed.
func (l *storeLimits) largestAcceptedValue() int {
	if l.lowered {
		return l.maxValueBytes()
	}
	return int(bytesPerKB * l.present.ValueKB)
}

// observeInvalid learns from a transaction that was rejected as invalid.
func (l *storeLimits) observeInvalid(txn wire.Txn) {
	for _, op := range txn.Then {
		l.lowered = l.lowered || len(op.Value) > l.maxValueBytes()
	}
}

// valuesShrink reports whether values will have to be smaller than they may be now.
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

// maxDependencies bounds the jobs that a job may depend on.
func (l *storeLimits) maxDependencies() int { return wire.MaxDependencies(l.maxValueBytes()) }

// maxValueBytes is how large a value is made.
func (c *Core) maxValueBytes() int { return stored.UsableValueBytes(c.limits.maxValueBytes()) }

// maxValuesPerTxn is how many values of maxValueBytes a transaction holds.
func (c *Core) maxValuesPerTxn() int {
	return min(c.limits.maxChanges(), wire.MaxBodyBytes*9/10/c.maxValueBytes())
}

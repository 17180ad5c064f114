package core

import (
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// storeLimits holds the limits of the key-value store: the current ones, and the future ones that take effect at a time
// that is not announced. Sizes stay within the tighter of both, except for some values before the run records are
// migrated (see maxAcceptedValueBytes). Rates use the current limits, except for a while after a write was dropped for
// exceeding them.
type storeLimits struct {
	current                config.Store
	next                   config.StoreLimits
	throttledUntil         time.Duration // until then writes keep to the future rate
	nextValueLimitInEffect bool          // presumed after the store has rejected a value above the future limit
}

func newStoreLimits(s config.Store) *storeLimits {
	return &storeLimits{current: s, next: s.Next.Effective(s)}
}

const bytesPerKB = 1024

// maxConditionsPerChange is the ratio of a transaction's maximum number of conditions to its maximum number of changes.
const maxConditionsPerChange = 4

// maxValueBytes returns the size limit in bytes that is valid both now and in the future.
func (l *storeLimits) maxValueBytes() int { return int(bytesPerKB * l.next.ValueKB) }

// maxChanges returns the maximum number of changes in a transaction.
func (l *storeLimits) maxChanges() int { return l.next.TxnOps }

// maxConditions returns the maximum number of conditions in a transaction.
func (l *storeLimits) maxConditions() int { return maxConditionsPerChange * l.next.TxnOps }

// maxAcceptedValueBytes returns the size in bytes of the largest value that the store may still accept. It applies to
// run records and relayed heartbeats as long as the index layout of the run records is in use, since they may not fit
// into the future limit until then.
func (l *storeLimits) maxAcceptedValueBytes() int {
	if l.nextValueLimitInEffect {
		return l.maxValueBytes()
	}
	return int(bytesPerKB * l.current.ValueKB)
}

// observeInvalid infers from a transaction that was rejected as invalid whether the future limit on the size of values
// is in effect.
func (l *storeLimits) observeInvalid(txn wire.Txn) {
	for _, op := range txn.Then {
		l.nextValueLimitInEffect = l.nextValueLimitInEffect || len(op.Value) > l.maxValueBytes()
	}
}

// valueLimitWillDecrease reports whether the future limit on the size of values is lower than the current one.
func (l *storeLimits) valueLimitWillDecrease() bool { return l.next.ValueKB < l.current.ValueKB }

// writesPerSecond returns the rate of changes that all nodes share.
func (l *storeLimits) writesPerSecond(now time.Duration) float64 {
	if now < l.throttledUntil {
		return l.next.WriteRPS
	}
	return l.current.WriteRPS
}

// throttle limits writes to the future rate for a while, after one was dropped for exceeding the rate limit.
func (l *storeLimits) throttle(now, duration time.Duration) { l.throttledUntil = now + duration }

// maxDependencies returns the maximum number of jobs that a job may depend on.
func (l *storeLimits) maxDependencies() int { return wire.MaxDependencies(l.maxValueBytes()) }

// usableValueBytes returns the size in bytes up to which values are filled. It leaves room below the store's limit and
// lets several values fit into a transaction.
func (c *Core) usableValueBytes() int { return stored.UsableValueBytes(c.limits.maxValueBytes()) }

// maxValuesPerTxn returns how many values of usableValueBytes fit into a transaction.
func (c *Core) maxValuesPerTxn() int {
	return min(c.limits.maxChanges(), wire.MaxBodyBytes*9/10/c.usableValueBytes())
}

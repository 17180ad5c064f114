package core

import (
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/wire"
)

// limits are what the state service takes: its present limits, and those that it will have from some
// moment on that it does not tell. Sizes are kept within the tighter of both at all times, so that the
// moment changes nothing. Rates follow what the service grants.
type limits struct {
	present config.Store
	next    config.StoreLimits
	slowEnd time.Duration // until then writes keep to the rate that is to come
	fallen  bool          // a value above the limit that is to come was refused
}

func newLimits(s config.Store) *limits { return &limits{present: s, next: s.Next.Within(s)} }

// valueBytes is the largest value that is written.
func (l *limits) valueBytes() int { return int(1024 * l.next.ValueKB) }

// changes is the most changes in a transaction.
func (l *limits) changes() int { return l.next.TxnOps }

// conditions is the most conditions in a transaction.
func (l *limits) conditions() int { return 4 * l.next.TxnOps }

// largestValue is the largest value that the state service may take as yet, for what does not fit into
// less before the layout of the records has changed.
func (l *limits) largestValue() int {
	if l.fallen {
		return l.valueBytes()
	}
	return int(1024 * l.present.ValueKB)
}

// noticeRefused learns from a transaction that was refused as malformed.
func (l *limits) noticeRefused(txn wire.Txn) {
	for _, op := range txn.Then {
		l.fallen = l.fallen || len(op.Value) > l.valueBytes()
	}
}

// valuesShrink tells whether values will have to be smaller than they may be now.
func (l *limits) valuesShrink() bool { return l.next.ValueKB < l.present.ValueKB }

// writesPerSecond is the rate of changes that all nodes share.
func (l *limits) writesPerSecond(now time.Duration) float64 {
	if now < l.slowEnd {
		return l.next.WriteRPS
	}
	return l.present.WriteRPS
}

// slowDown keeps writes to the rate that is to come for a while, after one above the rate.
func (l *limits) slowDown(now, pause time.Duration) { l.slowEnd = now + pause }

// mostNeeds bounds the jobs that a job may need.
func (l *limits) mostNeeds() int { return wire.MaxDependencies(l.valueBytes()) }

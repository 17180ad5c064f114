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
	present config.State
	next    config.StateLimits
	slowEnd time.Duration // until then writes keep to the rate that is to come
}

func newLimits(s config.State) *limits { return &limits{present: s, next: s.Next.Within(s)} }

// valueBytes is the largest value that is written.
func (l *limits) valueBytes() int { return int(1024 * l.next.ValueKB) }

// changes is the most changes in a transaction.
func (l *limits) changes() int { return l.next.TxnOps }

// conditions is the most conditions in a transaction.
func (l *limits) conditions() int { return 4 * l.next.TxnOps }

// requestsPerSecond is the rate of requests that all nodes share.
func (l *limits) requestsPerSecond() float64 { return l.next.RPS }

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
func (l *limits) mostNeeds() int { return wire.MaxNeeds(l.valueBytes()) }

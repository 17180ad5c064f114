package pacing

import "time"

// Shares of the settings that the times of a Pacer are made of.
const (
	// steadyLeases is how often a worker reports, in its leases, of which nothing is expected to change. When all
	// nodes end at once, a worker's lease may have been renewed by a report that is two such times old.
	steadyLeases = 1.0 / 6
	// maxIntervalLeases is how seldom any worker reports at full load, in its leases. Longer ones spare more, until all
	// nodes end at once.
	maxIntervalLeases = 0.2
	// maxHoldTimeouts is the longest that an answer is held back, in workers' timeouts.
	maxHoldTimeouts = 3.0 / 4
	// timeoutHolds is after how long the next report of a worker counts as late, in the time for which its last
	// answer was held back.
	timeoutHolds = 1.25
	// releaseTickIntervals is the time between two moments at which answers are released, in report intervals.
	releaseTickIntervals = 1.0 / 4
	// minHoldIntervals is the shortest time for which holding an answer makes a worker report less often, in
	// report intervals: workers report as seldom as that by themselves.
	minHoldIntervals = 3.0 / 4
)

// Pacer says how long answers to reports are held back.
type Pacer struct {
	steady      time.Duration // between two reports of a worker of which nothing is expected to change
	longest     time.Duration // between two reports of any worker
	shortest    time.Duration
	releaseTick time.Duration
}

// NewPacer makes a pacer for workers that report at an interval, whose lease has to be renewed in time, and that
// give an answer up after a timeout.
func NewPacer(report, lease, timeout time.Duration) *Pacer {
	p := &Pacer{releaseTick: share(report, releaseTickIntervals), shortest: share(report, minHoldIntervals)}
	// The last moment may be almost a moment later.
	most := share(timeout, maxHoldTimeouts) - p.releaseTick
	p.steady = min(share(lease, steadyLeases), most)
	p.longest = max(p.steady, min(share(lease, maxIntervalLeases), most))
	return p
}

func share(of time.Duration, ratio float64) time.Duration { return time.Duration(float64(of) * ratio) }

// Hold tells how long the answer to a report is held back under a load; 0: it is answered at once. Of a worker
// that is settled no change is expected.
func (p *Pacer) Hold(settled bool, load float64) time.Duration {
	hold := share(p.longest, load)
	if settled {
		hold = max(hold, p.steady)
	}
	if hold < p.shortest {
		return 0
	}
	return hold
}

// HeartbeatTimeout tells how long a worker may be silent whose last answer was held back for a while, where it would be
// so long without that.
func (p *Pacer) HeartbeatTimeout(usual, hold time.Duration) time.Duration {
	return max(usual, share(hold, timeoutHolds)+2*p.releaseTick)
}

// Release gives the moment at which an answer is released that is held for a while from now on. All answers go at
// common moments, so that a node wakes for many of them at once.
func (p *Pacer) Release(now, hold time.Duration) time.Duration {
	due := now + hold
	if p.releaseTick <= 0 {
		return due
	}
	return (due + p.releaseTick - 1) / p.releaseTick * p.releaseTick
}

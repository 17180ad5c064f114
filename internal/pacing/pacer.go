package pacing

import "time"

// Shares of the settings that the times of a Pacer are made of.
const (
	// settledLeases is how often a worker reports, in its leases, of which nothing is expected to change. When all
	// nodes end at once, a worker's lease may have been renewed by a report that is two such times old.
	settledLeases = 1.0 / 6
	// longestLeases is how seldom any worker reports at full load, in its leases. Longer ones spare more, until all
	// nodes end at once.
	longestLeases = 0.2
	// longestTimeouts is the longest that an answer is held back, in workers' timeouts.
	longestTimeouts = 3.0 / 4
	// patienceHolds is after how long the next report of a worker counts as late, in the time for which its last
	// answer was held back.
	patienceHolds = 1.25
	// momentReports is the time between two moments at which answers are released, in report intervals.
	momentReports = 1.0 / 4
	// shortestReports is the shortest time for which holding an answer makes a worker report less often, in
	// report intervals: workers report as seldom as that by themselves.
	shortestReports = 3.0 / 4
)

// Pacer says how long answers to reports are held back.
type Pacer struct {
	settled  time.Duration // between two reports of a worker of which nothing is expected to change
	longest  time.Duration // between two reports of any worker
	shortest time.Duration
	moment   time.Duration
}

// NewPacer makes a pacer for workers that report at an interval, whose lease has to be renewed in time, and that
// give an answer up after a timeout.
func NewPacer(report, lease, timeout time.Duration) *Pacer {
	p := &Pacer{moment: share(report, momentReports), shortest: share(report, shortestReports)}
	// The last moment may be almost a moment later.
	most := share(timeout, longestTimeouts) - p.moment
	p.settled = min(share(lease, settledLeases), most)
	p.longest = max(p.settled, min(share(lease, longestLeases), most))
	return p
}

func share(of time.Duration, ratio float64) time.Duration { return time.Duration(float64(of) * ratio) }

// Hold tells how long the answer to a report is held back under a load; 0: it is answered at once. Of a worker
// that is settled no change is expected.
func (p *Pacer) Hold(settled bool, load float64) time.Duration {
	hold := share(p.longest, load)
	if settled {
		hold = max(hold, p.settled)
	}
	if hold < p.shortest {
		return 0
	}
	return hold
}

// Patience tells how long a worker may be silent whose last answer was held back for a while, where it would be
// so long without that.
func (p *Pacer) Patience(usual, hold time.Duration) time.Duration {
	return max(usual, share(hold, patienceHolds)+2*p.moment)
}

// Release gives the moment at which an answer is released that is held for a while from now on. All answers go at
// common moments, so that a node wakes for many of them at once.
func (p *Pacer) Release(now, hold time.Duration) time.Duration {
	due := now + hold
	if p.moment <= 0 {
		return due
	}
	return (due + p.moment - 1) / p.moment * p.moment
}

package pacing

import "time"

// Shares of the settings that the times of a Pacer are made of.
const (
	// steadyLeases is the interval, in leases, between the heartbeats of a worker of which no change is expected. When all
	// nodes fail at once, a worker's lease may have been renewed by a heartbeat that is two such intervals old.
	steadyLeases = 1.0 / 6
	// maxIntervalLeases is the interval, in leases, between the heartbeats of any worker at full load. Longer ones spare
	// more, until all nodes fail at once.
	maxIntervalLeases = 0.2
	// maxHoldTimeouts is the longest that a response is held, in workers' timeouts.
	maxHoldTimeouts = 3.0 / 4
	// timeoutHolds is after how long the next heartbeat of a worker counts as late, in the time for which its last
	// response was held.
	timeoutHolds = 1.25
	// releaseTickIntervals is the time between two moments at which responses are released, in heartbeat intervals.
	releaseTickIntervals = 1.0 / 4
	// minHoldIntervals is the shortest time for which holding a response makes a worker send heartbeats less often, in
	// heartbeat intervals: workers send them as seldom as that by themselves.
	minHoldIntervals = 3.0 / 4
)

// Pacer says for how long responses to heartbeats are held.
type Pacer struct {
	steady      time.Duration // between two heartbeats of a worker of which no change is expected
	longest     time.Duration // between two heartbeats of any worker
	shortest    time.Duration
	releaseTick time.Duration
}

// NewPacer makes a pacer for workers that send heartbeats at an interval, whose lease has to be renewed in time, and that
// give up on a response after a timeout.
func NewPacer(interval, lease, timeout time.Duration) *Pacer {
	p := &Pacer{releaseTick: share(interval, releaseTickIntervals), shortest: share(interval, minHoldIntervals)}
	// A response may be released almost a tick later.
	maxHold := share(timeout, maxHoldTimeouts) - p.releaseTick
	p.steady = min(share(lease, steadyLeases), maxHold)
	p.longest = max(p.steady, min(share(lease, maxIntervalLeases), maxHold))
	return p
}

func share(of time.Duration, ratio float64) time.Duration { return time.Duration(float64(of) * ratio) }

// Hold tells for how long the response to a heartbeat is held under a load; 0: it is sent at once. Of a steady worker no
// change is expected.
func (p *Pacer) Hold(steady bool, load float64) time.Duration {
	hold := share(p.longest, load)
	if steady {
		hold = max(hold, p.steady)
	}
	if hold < p.shortest {
		return 0
	}
	return hold
}

// HeartbeatTimeout tells for how long a worker may be silent whose last response was held for a while, where it would be
// as long as usual without that.
func (p *Pacer) HeartbeatTimeout(usual, hold time.Duration) time.Duration {
	return max(usual, share(hold, timeoutHolds)+2*p.releaseTick)
}

// Release gives the moment at which a response is released that is held for a while from now on. All responses are
// released at common ticks, so that a node wakes for many of them at once.
func (p *Pacer) Release(now, hold time.Duration) time.Duration {
	due := now + hold
	if p.releaseTick <= 0 {
		return due
	}
	return (due + p.releaseTick - 1) / p.releaseTick * p.releaseTick
}

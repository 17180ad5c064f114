package pacing

import "time"

// Durations of a Pacer relative to the settings of the workers.
const (
	// steadyIntervalLeases is the interval between the heartbeats of a steady worker, in leases. If all nodes fail at
	// once, a worker's lease may last have been renewed by a heartbeat that is two such intervals old.
	steadyIntervalLeases = 1.0 / 6
	// maxIntervalLeases is the interval between the heartbeats of any worker at full load, in leases. A longer one
	// would save more CPU time, but leave workers less of their lease if all nodes fail at once.
	maxIntervalLeases = 0.2
	// maxHoldTimeouts is the longest time for which a response is held, in worker timeouts.
	maxHoldTimeouts = 3.0 / 4
	// heartbeatTimeoutHolds is the time after which the next heartbeat of a worker counts as late, as a multiple of the
	// time for which its last response was held.
	heartbeatTimeoutHolds = 1.25
	// releaseTickIntervals is the time between two ticks at which responses are released, in heartbeat intervals.
	releaseTickIntervals = 1.0 / 4
	// minHoldIntervals is the shortest time for which holding a response makes a worker send fewer heartbeats, in
	// heartbeat intervals. Shorter holds have no effect, because workers wait that long between heartbeats anyway.
	minHoldIntervals = 3.0 / 4
)

// Pacer determines how long responses to heartbeats are held. A steady worker is one of which no change is expected.
type Pacer struct {
	steadyInterval time.Duration // interval between the heartbeats of a steady worker
	maxInterval    time.Duration // interval between the heartbeats of any worker at full load
	minHold        time.Duration // shorter holds have no effect
	releaseTick    time.Duration
}

// NewPacer returns a pacer for workers that send heartbeats at an interval, must have their lease renewed in time, and
// give up on a response after a timeout.
func NewPacer(interval, lease, timeout time.Duration) *Pacer {
	p := &Pacer{releaseTick: scale(interval, releaseTickIntervals), minHold: scale(interval, minHoldIntervals)}
	// A response may be released up to one tick after its hold time.
	maxHold := scale(timeout, maxHoldTimeouts) - p.releaseTick
	p.steadyInterval = min(scale(lease, steadyIntervalLeases), maxHold)
	p.maxInterval = max(p.steadyInterval, min(scale(lease, maxIntervalLeases), maxHold))
	return p
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// Hold returns how long to hold the response to a heartbeat at the given load. The result is 0 if the response should
// be sent at once.
func (p *Pacer) Hold(steady bool, load float64) time.Duration {
	hold := scale(p.maxInterval, load)
	if steady {
		hold = max(hold, p.steadyInterval)
	}
	if hold < p.minHold {
		return 0
	}
	return hold
}

// HeartbeatTimeout returns how long a worker may go without a heartbeat after its last response was held for the given
// time. It is at least the usual timeout.
func (p *Pacer) HeartbeatTimeout(usual, hold time.Duration) time.Duration {
	return max(usual, scale(hold, heartbeatTimeoutHolds)+2*p.releaseTick)
}

// ReleaseAt returns the time at which to release a response that is to be held from now for the given time. All
// responses are released at common ticks, so that the node wakes up once for many of them.
func (p *Pacer) ReleaseAt(now, hold time.Duration) time.Duration {
	due := now + hold
	if p.releaseTick <= 0 {
		return due
	}
	return (due + p.releaseTick - 1) / p.releaseTick * p.releaseTick
}

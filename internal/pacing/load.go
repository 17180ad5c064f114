// Package pacing decides how often workers send heartbeats. A worker has only one heartbeat in flight at a time, so a
// node that holds back a response also delays the worker's next heartbeat. The package is pure: the time is an
// argument.
package pacing

import "time"

// Load estimates how short of CPU time a node is, from 0 (it keeps up) to 1. The estimate is based on how late the
// node's own timers fire, which is all that a process can observe of an exhausted CPU quota.
type Load struct {
	// fullLoadDelay is the total delay of timers that raises the load from 0 to 1.
	fullLoadDelay time.Duration
	// tolerance is how late a timer may fire on a node with sufficient CPU time.
	tolerance time.Duration
	// decay is the time in which the load falls from 1 to 0 while timers fire on time.
	decay time.Duration

	level float64
	at    time.Duration // time of the last update of level
}

// maxSample limits how much a single late timer raises the load. After a suspension of the process, one timer is late
// by the whole suspension, which says nothing about the available CPU time.
const maxSample = 0.25

// toleranceRatio is the tolerance as a fraction of fullLoadDelay. The clocks of some systems have a resolution as
// coarse as this.
const toleranceRatio = 1.0 / 25

// NewLoad returns a load of 0. A total delay of fullLoadDelay raises it to 1, and it falls back to 0 within decay.
func NewLoad(fullLoadDelay, decay time.Duration) *Load {
	return &Load{fullLoadDelay: fullLoadDelay, tolerance: scale(fullLoadDelay, toleranceRatio), decay: decay}
}

// Observe records how late a timer fired.
func (l *Load) Observe(now, delay time.Duration) {
	level := l.Level(now)
	// The time since the last observation limits the delay, so that delays that overlap are not counted twice.
	delay = min(delay, now-l.at+l.tolerance)
	sample := min((delay-l.tolerance).Seconds()/l.fullLoadDelay.Seconds(), maxSample)
	l.level = min(1, level+max(0, sample))
	l.at = now
}

// Level returns the load at the given time.
func (l *Load) Level(now time.Duration) float64 {
	elapsed := max(0, now-l.at)
	return max(0, l.level-elapsed.Seconds()/l.decay.Seconds())
}

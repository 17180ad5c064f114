// Package pacing decides how often workers send heartbeats. A worker has one heartbeat in flight at a time, so a
// controller that holds a response delays the next heartbeat as well. The package is pure: the time is an argument.
package pacing

import "time"

// Load is how short of processor time a node is, between 0 (it keeps up) and 1. It is estimated from how late the node's
// own timers fire, which is all that a process can observe of a processor share that is used up.
type Load struct {
	// unit is the lateness that alone raises the load from 0 to 1.
	unit time.Duration
	// grace is how late a timer may fire on a machine with time to spare.
	grace time.Duration
	// decay is the time in which the load falls from 1 to 0 while nothing is late.
	decay time.Duration

	level float64
	at    time.Duration // when level was last updated
}

// longestSample bounds what a single late timer adds, as a share of the unit: after a suspension of the process one timer
// is late by all of it, which shows nothing of the processor.
const longestSample = 0.25

// graceUnits is the grace, in the lateness that raises the load to 1. Clocks of some systems are as coarse as that.
const graceUnits = 1.0 / 25

// NewLoad makes a load that rises from 0 to 1 by a lateness of unit in all, and falls back within the decay time.
func NewLoad(unit, decay time.Duration) *Load {
	return &Load{unit: unit, grace: share(unit, graceUnits), decay: decay}
}

// Observe takes in how late a timer fired.
func (l *Load) Observe(now, late time.Duration) {
	level := l.Level(now)
	// What was late at the same time as something that was counted before counts once.
	late = min(late, now-l.at+l.grace)
	sample := min((late-l.grace).Seconds()/l.unit.Seconds(), longestSample)
	l.level = min(1, level+max(0, sample))
	l.at = now
}

// Level gives the load at a time.
func (l *Load) Level(now time.Duration) float64 {
	passed := max(0, now-l.at)
	return max(0, l.level-passed.Seconds()/l.decay.Seconds())
}

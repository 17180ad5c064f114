package core

import "time"

// A node that is short of processor time does what matters first. Heartbeats are answered, less often (see
// holdResponse). Users are shed to nodes with time to spare. Comparisons and scheduling cycles wait longer.

// Users are shed above a load, until it has fallen below another, so that they are not sent to and fro. Above it no more
// machines are requested either: each one sends heartbeats.
const (
	shedAbove = 0.5
	shedBelow = 0.1
)

// maxSlowdown is how much longer deferrable work waits at full load.
const maxSlowdown = 4

// slowdown is the factor by which deferrable work waits longer.
func (c *Core) slowdown() float64 {
	return 1 + (maxSlowdown-1)*c.timerLoad.Level(c.now.Steady)
}

// observeLoad takes in how late this step comes: the last one asked to be woken before. Its input may also have waited.
func (c *Core) observeLoad() {
	late := time.Duration(0)
	if c.wakeAt != 0 {
		late = max(0, c.now.Steady-c.wakeAt)
	}
	if late > 0 {
		c.timerLoad.Observe(c.now.Steady, late)
	}
	if waited := max(late, c.now.QueueDelay); waited > 0 {
		c.requestLoad.Observe(c.now.Steady, waited)
	}
	c.updateShedding()
}

// overloaded tells whether this node has so little processor time to spare that a larger fleet would be too much for it.
// Requests that have waited show it as well as late timers: a core that takes one input after the other has its timers in
// time. They show nothing else, since a moment with many requests is no reason to defer work.
func (c *Core) overloaded() bool { return c.requestLoad.Level(c.now.Steady) > shedAbove }

// updateShedding decides whether the load balancer is to send users elsewhere. Only a leader sheds them: it has work that
// no other node can do, and the others would keep shedding each other's users.
func (c *Core) updateShedding() {
	level := c.timerLoad.Level(c.now.Steady)
	switch {
	case c.leader == nil || !c.operator.PaceHeartbeats || !c.members.AnyPeerServed(c.now.Steady):
		c.shedding = false
	case level > shedAbove:
		c.shedding = true
	case level < shedBelow:
		c.shedding = false
	}
}

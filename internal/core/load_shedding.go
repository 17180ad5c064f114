package core

import "time"

// A node that is short of CPU time gives priority to the most important work. It still responds to heartbeats, but
// holds the responses for longer (see heldResponses). Users' requests are shed to nodes with CPU time to spare. The
// delays between comparisons and between scheduling cycles are extended.

// Users' requests are shed when the load rises above shedAbove, until it has fallen below shedBelow. The gap between
// the two prevents oscillation. Above shedAbove no more machines are requested either, because each machine sends
// heartbeats.
const (
	shedAbove = 0.5
	shedBelow = 0.1
)

// maxSlowdown is the slowdown at full load.
const maxSlowdown = 4

// slowdown returns the factor by which the delays of deferrable work are extended under the present load.
func (c *Core) slowdown() float64 {
	return 1 + (maxSlowdown-1)*c.timerLoad.Level(c.now.Steady)
}

// observeLoad updates the load estimates with the delay of this step after its scheduled wake-up, and with how long its
// input has waited.
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

// overloaded reports whether this node has so little CPU time to spare that it could not handle a larger fleet.
// Requests that have waited count as well as late timers, because the timers of a core that handles one input after the
// other still fire in time. Waiting requests count only here: a burst of requests is no reason to defer work.
func (c *Core) overloaded() bool { return c.requestLoad.Level(c.now.Steady) > shedAbove }

// updateShedding decides whether the load balancer is to send users to other nodes. Only a leader sheds users, because
// it has work that no other node can do. If followers did so as well, they would keep shedding users to each other.
func (c *Core) updateShedding() {
	level := c.timerLoad.Level(c.now.Steady)
	switch {
	case c.leader == nil || !c.operator.PaceHeartbeats || !c.members.AnyPeerReachesStore(c.now.Steady):
		c.shedding = false
	case level > shedAbove:
		c.shedding = true
	case level < shedBelow:
		c.shedding = false
	}
}

package core

import (
	"time"

	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// storeHealth tracks whether the key-value store is available to this node, by the outcomes of the node's calls.
type storeHealth struct {
	core           *Core
	down           bool
	lastAnsweredAt time.Duration // when the store last answered a call
	probeInFlight  bool
	nextProbe      time.Duration // earliest time of the next probe
}

// observe updates the state with the outcome of a call to the store.
func (h *storeHealth) observe(o outcome.Outcome) {
	if o == outcome.Dropped {
		return // exceeded a rate limit or was not sent, which is no sign of an outage
	}
	down := o == outcome.Unavailable || o == outcome.Unknown
	if !down {
		h.lastAnsweredAt = h.core.now.Steady
	}
	if down == h.down {
		return
	}
	h.down = down
	if down {
		h.core.log(Info, "key-value store unavailable", "outcome", o.String())
	} else {
		h.core.log(Info, "key-value store available")
	}
}

// run probes the store when no other call was answered recently, so that health checks and the detection of an outage
// rely on recent outcomes.
func (h *storeHealth) run() {
	if h.probeInFlight {
		return
	}
	c := h.core
	interval := c.times.storeProbeInterval
	if h.down {
		interval /= 2
	}
	if due := c.coalesce(h.lastAnsweredAt + interval); c.now.Steady < due && !h.down {
		c.wakeBy(due)
		return
	}
	if c.now.Steady < h.nextProbe {
		c.wakeBy(h.nextProbe)
		return
	}
	h.probeInFlight = true
	h.nextProbe = c.now.Steady + interval
	id := c.registerStoreCall(h.applyProbe)
	c.emit(StoreTxn{CallID: id, Txn: wire.Txn{If: []wire.Condition{c.cache.LeaderCondition()}}})
}

func (h *storeHealth) applyProbe(Result) { h.probeInFlight = false }

// answeredRecently reports whether the store answered a call of this node within the last check interval.
func (h *storeHealth) answeredRecently() bool {
	return h.core.now.Steady-h.lastAnsweredAt < h.core.times.checkInterval
}

package core

import (
	"time"

	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// storeHealth is whether the key-value store serves this node, by the outcomes of its calls.
type storeHealth struct {
	core          *Core
	down          bool
	servedAt      time.Duration // when a call was last served
	probeInFlight bool
	nextProbe     time.Duration // no probe before this
}

// observe takes in the outcome of a call of the store.
func (h *storeHealth) observe(o outcome.Outcome) {
	if o == outcome.Dropped {
		return // above a rate limit: that is no outage
	}
	down := o == outcome.Unavailable || o == outcome.Unknown
	if !down {
		h.servedAt = h.core.now.Steady
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

// run probes the store when no other call did for a while, so that health and outage mode rest on fresh knowledge.
func (h *storeHealth) run() {
	if h.probeInFlight {
		return
	}
	c := h.core
	interval := c.times.storeProbeInterval
	if h.down {
		interval /= 2
	}
	if due := c.coalesce(h.servedAt + interval); c.now.Steady < due && !h.down {
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

// servedLately tells whether the store has served this node within a check interval.
func (h *storeHealth) servedLately() bool {
	return h.core.now.Steady-h.servedAt < h.core.times.checkInterval
}

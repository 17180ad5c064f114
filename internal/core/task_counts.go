package core

import (
	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// writeCounts writes how many tasks run and are done, for display at other nodes, at most every other heartbeat interval
// and only with writes to spare.
func (w *writer) writeCounts() {
	c := w.leader.core
	if w.counts.inFlight || c.storeHealth.down {
		return
	}
	if due := c.coalesce(w.nextCounts + 2*c.times.heartbeatInterval); c.now.Steady < due {
		c.wakeBy(due)
		return
	}
	if !w.mayWriteHints() {
		return
	}
	w.nextCounts = c.now.Steady
	packer := stored.NewTaskCountPacker(c.maxValueBytes())
	for _, j := range w.leader.queue {
		packer.Add(j.id, j.taskCounts())
	}
	if values, err := packer.Encode(); err == nil {
		w.counts.write(values)
	}
}

// writeCatalog keeps the machine types where a node finds them while the cloud is down.
func (w *writer) writeCatalog() {
	l, c := w.leader, w.leader.core
	if w.catalogInFlight || !c.catalog.known() || c.cache.Catalog() != nil || c.storeHealth.down {
		return
	}
	value, err := stored.EncodeCatalog(c.catalog.types)
	if err != nil || len(value) > c.limits.maxValueBytes() {
		return
	}
	w.catalogInFlight = true
	id := l.registerStoreCall(func(r Result) {
		if r.Outcome != outcome.OK {
			w.catalogInFlight = false
		}
	})
	c.emit(StoreTxn{CallID: id, Txn: wire.Txn{If: []wire.Condition{l.termCondition()},
		Then: []wire.Op{{Put: stored.CatalogKey, Value: value}}}})
}

package core

import (
	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// writeCounts stores the number of running and done tasks of each job, for display by other nodes. It runs at most
// every other heartbeat interval, and only if the write budget has room for hints.
func (w *writer) writeCounts() {
	c := w.leader.core
	if w.taskCounts.inFlight || c.storeHealth.down {
		return
	}
	if due := c.coalesce(w.countsWrittenAt + 2*c.times.heartbeatInterval); c.now.Steady < due {
		c.wakeBy(due)
		return
	}
	if !w.mayWriteHints() {
		return
	}
	w.countsWrittenAt = c.now.Steady
	packer := stored.NewTaskCountPacker(c.usableValueBytes())
	for _, j := range w.leader.queue {
		packer.Add(j.id, j.taskCounts())
	}
	if values, err := packer.Encode(); err == nil {
		w.taskCounts.write(values)
	}
}

// writeCatalog stores the machine types, so that a node that starts while the cloud is down has them.
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

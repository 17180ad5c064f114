package core

import (
	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// writeCounts writes how many tasks run and are done, for display at other nodes, at
// most every other report interval and only with writes to spare.
func (w *writer) writeCounts() {
	l, c := w.leader, w.leader.core
	if w.countsInFlight || c.storeHealth.down {
		return
	}
	if due := c.coalesce(w.nextCounts + 2*c.times.heartbeatInterval); c.now.Steady < due {
		c.wakeBy(due)
		return
	}
	if w.rateTokens < w.rate()/2 {
		return
	}
	w.nextCounts = c.now.Steady
	packer := stored.NewTaskCountPacker(c.maxValueBytes())
	for _, j := range l.queue {
		packer.Add(j.id, j.taskCounts())
	}
	w.countShardsInUse = max(w.countShardsInUse, packer.Len())
	txn := wire.Txn{If: []wire.Condition{{Key: stored.TermKey, Version: l.termVersion}}}
	keys := map[string]string{}
	for i := range w.countShardsInUse {
		shard := packer.Shard(i) // one that is not needed any more is emptied
		k := stored.TaskCountKey(i)
		value, err := shard.Encode()
		if err != nil || string(value) == w.countsWritten[k] || len(shard) == 0 && w.countsWritten[k] == "" {
			continue
		}
		keys[k] = string(value)
		txn.Then = append(txn.Then, wire.Op{Put: k, Value: value})
	}
	if len(txn.Then) > c.maxValuesPerTxn() {
		txn.Then = txn.Then[:c.maxValuesPerTxn()] // the rest goes next
	}
	if len(txn.Then) == 0 {
		return
	}
	w.rateTokens -= float64(len(txn.Then))
	w.countsInFlight = true
	id := l.registerStoreCall(func(r Result) {
		w.countsInFlight = false
		if r.Outcome == outcome.OK {
			for _, op := range txn.Then {
				w.countsWritten[op.Put] = keys[op.Put]
			}
		}
	})
	c.emit(StoreTxn{CallID: id, Txn: txn})
}

// writeCatalog keeps the machine types where a node finds them while the cloud is
// down.
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
	c.emit(StoreTxn{CallID: id, Txn: wire.Txn{If: []wire.Condition{{Key: stored.TermKey, Version: l.termVersion}},
		Then: []wire.Op{{Put: stored.CatalogKey, Value: value}}}})
}

package core

import (
	"encoding/json"
	"strconv"

	"bitternwing/internal/call"
	"bitternwing/internal/wire"
)

// countBytes is what the counts of a job take at most, beside its id.
const countBytes = len(`"":[100000,100000],`)

// counts writes how many tasks run and are done, for display at other nodes, at
// most every report interval and only with writes to spare.
func (w *writer) counts() {
	l, c := w.l, w.l.c
	if w.countsBusy || c.stateDown {
		return
	}
	if due := w.countsAt + c.t.report; c.now.Steady < due {
		c.at(due)
		return
	}
	if w.tokens < w.rate()/2 {
		return
	}
	w.countsAt = c.now.Steady
	shards, sizes := map[string]map[string]counts{}, map[string]int{}
	for _, j := range l.order {
		if n := j.counts(); n != (counts{}) {
			k := countShard(j.id)
			if shards[k] == nil {
				shards[k] = map[string]counts{}
			}
			if sizes[k] += len(j.id) + countBytes; sizes[k] < c.mostValue() {
				shards[k][j.id] = n
			}
		}
	}
	txn := wire.Txn{If: []wire.Cond{{Key: keyTerm, Version: l.version}}}
	keys := map[string]string{}
	for i := 0; i < countShards; i++ {
		k := keyCounts + strconv.Itoa(i)
		if shards[k] == nil {
			shards[k] = map[string]counts{}
		}
		value, err := json.Marshal(shards[k])
		if err != nil || string(value) == w.countsLast[k] || len(shards[k]) == 0 && w.countsLast[k] == "" {
			continue
		}
		keys[k] = string(value)
		txn.Then = append(txn.Then, wire.Op{Put: k, Value: value})
	}
	if len(txn.Then) > c.mostValues() {
		txn.Then = txn.Then[:c.mostValues()] // the rest goes next
	}
	if len(txn.Then) == 0 {
		return
	}
	w.tokens -= float64(len(txn.Then))
	w.countsBusy = true
	id := l.stateCall(func(r Result) {
		w.countsBusy = false
		if r.Outcome == call.OK {
			for _, op := range txn.Then {
				w.countsLast[op.Put] = keys[op.Put]
			}
		}
	})
	c.send(StateTxn{ID: id, Txn: txn})
}

// writeCatalog keeps the machine types where a node finds them while the cloud is
// down.
func (w *writer) writeCatalog() {
	l, c := w.l, w.l.c
	if w.catalogOut || c.catalog == nil || c.dir.catalog != nil || c.stateDown {
		return
	}
	value, err := json.Marshal(c.catalog)
	if err != nil || len(value) > c.limits.valueBytes() {
		return
	}
	w.catalogOut = true
	id := l.stateCall(func(r Result) {
		if r.Outcome != call.OK {
			w.catalogOut = false
		}
	})
	c.send(StateTxn{ID: id, Txn: wire.Txn{If: []wire.Cond{{Key: keyTerm, Version: l.version}},
		Then: []wire.Op{{Put: keyCatalog, Value: value}}}})
}

package core

import (
	"encoding/json"
	"hash/fnv"
	"strconv"

	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// The counts of jobs are spread over shards by their ids. A shard that has outgrown a value goes on in a
// further one, so that there are as many as the jobs need: shard 3 goes on in shard 3+countShards, and so on.
// Versions that know the first ones only show what is in these.
const countShards = 8

// firstCountShard gives the first shard in which the counts of a job may be.
func firstCountShard(id string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash takes all
	return int(h.Sum32() % countShards)
}

// countKey is the key of a shard.
func countKey(shard int) string { return taskCountPrefix + strconv.Itoa(shard) }

// countsOf finds the counts of a job among the shards.
func (d *watchCache) countsOf(id string) taskCounts {
	for shard := firstCountShard(id); ; shard += countShards {
		jobs, used := d.countShards[countKey(shard)]
		if !used {
			return taskCounts{}
		}
		if n, ok := jobs.get()[id]; ok {
			return n
		}
	}
}

// countShards gives the counts of all jobs that have any, by shard. Each is within the limit of a value.
func (l *leader) countShards() []map[string]taskCounts {
	var shards []map[string]taskCounts
	last := [countShards]int{} // by first shard, the one that is being filled
	sizes := [countShards]int{}
	for i := range last {
		last[i] = i
	}
	for _, j := range l.queue {
		n := j.taskCounts()
		if n == (taskCounts{}) {
			continue
		}
		first, size := firstCountShard(j.id), len(j.id)+countBytes
		if sizes[first] += size; sizes[first] >= l.core.maxValueBytes() {
			last[first] += countShards
			sizes[first] = size
		}
		shard := last[first]
		for len(shards) <= shard {
			shards = append(shards, nil)
		}
		if shards[shard] == nil {
			shards[shard] = map[string]taskCounts{}
		}
		shards[shard][j.id] = n
	}
	return shards
}

// countBytes is what the counts of a job take at most, beside its id.
const countBytes = len(`"":[100000,100000],`)

// writeCounts writes how many tasks run and are done, for display at other nodes, at
// most every other report interval and only with writes to spare.
func (w *writer) writeCounts() {
	l, c := w.leader, w.leader.core
	if w.countsInFlight || c.storeDown {
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
	shards := l.countShards()
	w.countShardsInUse = max(w.countShardsInUse, len(shards))
	txn := wire.Txn{If: []wire.Condition{{Key: termKey, Version: l.termVersion}}}
	keys := map[string]string{}
	for i := range w.countShardsInUse {
		shard := map[string]taskCounts{} // one that is not needed any more is emptied
		if i < len(shards) && shards[i] != nil {
			shard = shards[i]
		}
		k := countKey(i)
		value, err := json.Marshal(shard)
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
	id := l.stateCall(func(r Result) {
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
	if w.catalogInFlight || c.catalog == nil || c.cache.catalog != nil || c.storeDown {
		return
	}
	value, err := json.Marshal(c.catalog)
	if err != nil || len(value) > c.limits.maxValueBytes() {
		return
	}
	w.catalogInFlight = true
	id := l.stateCall(func(r Result) {
		if r.Outcome != outcome.OK {
			w.catalogInFlight = false
		}
	})
	c.emit(StoreTxn{CallID: id, Txn: wire.Txn{If: []wire.Condition{{Key: termKey, Version: l.termVersion}},
		Then: []wire.Op{{Put: catalogKey, Value: value}}}})
}

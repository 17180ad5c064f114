package core

import (
	"encoding/json"
	"strconv"
	"time"

	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// Workers don't report which images they have. The leader remembers what it placed
// where, and keeps it in the state service as a hint for its successors; being
// wrong costs a fetch and breaks nothing.
const imageHintPrefix = "w/i/"

type imageHints struct {
	leader    *leader
	nextWrite time.Duration
	inFlight  bool
	written   map[string]string // by key, as written
	shards    int               // keys in use
}

func (h *imageHints) run() {
	l, c := h.leader, h.leader.core
	if h.inFlight || c.storeDown {
		return
	}
	if due := h.nextWrite + c.times.lease/2; c.now.Steady < due {
		c.wakeBy(due)
		return
	}
	if l.writer.rateTokens < l.writer.rate()/2 {
		return
	}
	h.nextWrite = c.now.Steady
	shards := h.shardsOf(l.machinesByName)
	txn := wire.Txn{If: []wire.Condition{{Key: termKey, Version: l.termVersion}}}
	for i, s := range shards {
		k := imageHintPrefix + strconv.Itoa(i)
		value, err := json.Marshal(s)
		if err != nil || string(value) == h.written[k] || len(s) == 0 && h.written[k] == "" {
			continue
		}
		txn.Then = append(txn.Then, wire.Op{Put: k, Value: value})
		if len(txn.Then) >= c.maxValuesPerTxn() {
			h.nextWrite = c.now.Steady - c.times.lease/2 + c.times.checkInterval // the rest goes next
			break
		}
	}
	if len(txn.Then) == 0 {
		return
	}
	l.writer.rateTokens -= float64(len(txn.Then))
	h.inFlight = true
	id := l.stateCall(func(r Result) {
		h.inFlight = false
		if r.Outcome == outcome.OK {
			for _, op := range txn.Then {
				h.written[op.Put] = string(op.Value)
			}
		}
	})
	c.emit(StoreTxn{CallID: id, Txn: txn})
}

// shardsOf gives the images of all machines, in as many keys as the fleet needs, each within the
// limit of a value.
func (h *imageHints) shardsOf(fleet []*machine) []map[string][]string {
	shards := []map[string][]string{{}}
	most := h.leader.core.maxValueBytes()
	sum := 0
	for _, m := range fleet {
		names := []string{}
		size := len(m.name) + 8
		for _, img := range m.images {
			if img.ready || img.unconfirmed {
				names = append(names, img.name)
				size += len(img.name) + 8
			}
		}
		if len(names) == 0 {
			continue
		}
		if sum += size; sum > most {
			shards = append(shards, map[string][]string{})
			sum = size
		}
		shards[len(shards)-1][m.name] = names
	}
	for len(shards) < h.shards {
		shards = append(shards, map[string][]string{}) // a smaller fleet empties the rest
	}
	h.shards = max(h.shards, len(shards))
	return shards
}

// applyImageHints gives a machine, when first seen in this term, the images that the last
// leader knew of.
func (l *leader) applyImageHints(m *machine) {
	for _, shard := range l.core.cache.images {
		for _, name := range shard.get()[m.name] {
			img := newCachedImage(name, l.imageGB(name))
			// What a place costs is worked out from what is known; without weighing the hint is believed.
			img.unconfirmed = l.core.operator.Spread.Enabled
			img.ready = !img.unconfirmed
			m.images = append(m.images, img)
			m.capacityChanged = true
		}
	}
}

func (l *leader) imageGB(name string) float64 {
	for _, j := range l.queue {
		if j.spec.Image == name {
			return j.spec.ImageGB
		}
	}
	return 0
}

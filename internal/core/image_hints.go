package core

import (
	"encoding/json"
	"time"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// Workers don't report which images they have. The leader remembers what it placed
// where, and keeps it in the state service as a hint for its successors; being
// wrong costs a fetch and breaks nothing.

type imageHints struct {
	leader    *leader
	nextWrite time.Duration
	inFlight  bool
	written   map[string]string // by key, as written
	shards    int               // keys in use
}

func (h *imageHints) run() {
	l, c := h.leader, h.leader.core
	if h.inFlight || c.storeHealth.down {
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
	values, err := h.encode(l.machinesByName)
	if err != nil {
		return
	}
	txn := wire.Txn{If: []wire.Condition{{Key: stored.TermKey, Version: l.termVersion}}}
	for i, value := range values {
		k := stored.ImageHintKey(i)
		if string(value) == h.written[k] || string(value) == stored.EmptyImageHints && h.written[k] == "" {
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
	id := l.registerStoreCall(func(r Result) {
		h.inFlight = false
		if r.Outcome == outcome.OK {
			for _, op := range txn.Then {
				h.written[op.Put] = string(op.Value)
			}
		}
	})
	c.emit(StoreTxn{CallID: id, Txn: txn})
}

// encode gives the images of all machines, in as many values as the fleet needs.
func (h *imageHints) encode(fleet []*machine) ([]json.RawMessage, error) {
	packer := stored.NewImageHintPacker(h.leader.core.maxValueBytes())
	for _, m := range fleet {
		if names := m.images.names(); len(names) > 0 {
			packer.Add(m.name, names)
		}
	}
	values, err := packer.Encode()
	if err != nil {
		return nil, err
	}
	for len(values) < h.shards {
		values = append(values, json.RawMessage(stored.EmptyImageHints)) // a smaller fleet empties the rest
	}
	h.shards = max(h.shards, len(values))
	return values, nil
}

// applyImageHints gives a machine, when first seen in this term, the images that the last
// leader knew of.
func (l *leader) applyImageHints(m *machine) {
	for _, name := range l.core.cache.Images(m.name) {
		image := newCachedImage(name, l.imageGB(name))
		image.state = cachedImageReady
		if l.core.operator.Spread.Enabled {
			// The cost of a placement is worked out from what is known; without that the hint is believed.
			image.state = cachedImageUnconfirmed
		}
		m.images = append(m.images, image)
		m.capacityChanged = true
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

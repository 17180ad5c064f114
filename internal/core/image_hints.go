package core

import (
	"time"

	"bitternwing/internal/stored"
)

// imageHints writes which images the leader believes to be on which machines, as hints for the next leader: workers don't
// report their images.
type imageHints struct {
	leader    *leader
	shards    shardWriter
	nextWrite time.Duration
}

// run writes the hints that have changed, every half of the workers' lease.
func (h *imageHints) run() {
	l, c := h.leader, h.leader.core
	if h.shards.inFlight || c.storeHealth.down {
		return
	}
	interval := c.times.lease / 2
	if due := h.nextWrite + interval; c.now.Steady < due {
		c.wakeBy(due)
		return
	}
	if !l.writer.mayWriteHints() {
		return
	}
	h.nextWrite = c.now.Steady
	packer := stored.NewImageHintPacker(c.maxValueBytes())
	for _, m := range l.machinesByName {
		if names := m.images.names(); len(names) > 0 {
			packer.Add(m.name, names)
		}
	}
	values, err := packer.Encode()
	if err != nil {
		return
	}
	if full := h.shards.write(values); full {
		h.nextWrite = c.now.Steady - interval + c.times.checkInterval // the rest goes soon
	}
}

// applyImageHints has a machine that is first seen in this term have the images that the leader before believed to be on
// it.
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

// imageGB returns the size of an image, from a job that uses it; 0 if none does.
func (l *leader) imageGB(name string) float64 {
	for _, j := range l.queue {
		if j.spec.Image == name {
			return j.spec.ImageGB
		}
	}
	return 0
}

package core

import (
	"time"

	"bitternwing/internal/stored"
)

// imageHints stores which images each machine is presumed to have, as hints for the next leader. Workers' heartbeats
// don't report images.
type imageHints struct {
	core      *Core
	writer    *writer
	shards    shardWriter
	lastWrite time.Duration
}

// run writes changed hints at intervals of half a worker's lease.
func (h *imageHints) run(machines []*machine) {
	c := h.core
	if h.shards.inFlight || c.storeHealth.down {
		return
	}
	interval := c.times.lease / 2
	if due := h.lastWrite + interval; c.now.Steady < due {
		c.wakeBy(due)
		return
	}
	if !h.writer.mayWriteHints() {
		return
	}
	h.lastWrite = c.now.Steady
	packer := stored.NewImageHintPacker(c.usableValueBytes())
	for _, m := range machines {
		if names := m.images.names(); len(names) > 0 {
			packer.Add(m.name, names)
		}
	}
	values, err := packer.Encode()
	if err != nil {
		return
	}
	if full := h.shards.write(values); full {
		h.lastWrite = c.now.Steady - interval + c.times.checkInterval // the rest is written soon
	}
}

// apply adds the images that the previous leader presumed to be on a machine which is new in this term.
func (h *imageHints) apply(m *machine, jobs []*job) {
	for _, name := range h.core.cache.Images(m.name) {
		image := newCachedImage(name, imageGB(name, jobs))
		image.state = cachedImageReady
		if h.core.operator.Spread.Enabled {
			// Placement costs account for the uncertainty. Without them the hint is trusted.
			image.state = cachedImageUnconfirmed
		}
		m.images = append(m.images, image)
		m.capacityChanged = true
	}
}

// imageGB returns the size of an image, as declared by a job that uses it; 0 if none does.
func imageGB(name string, jobs []*job) float64 {
	for _, j := range jobs {
		if j.spec.Image == name {
			return j.spec.ImageGB
		}
	}
	return 0
}

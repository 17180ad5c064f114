package core

import (
	"time"

	"bitternwing/internal/stored"
)

// imageHints writes which images are presumed to be on which machines, as hints for the next leader: the heartbeats of
// workers don't name their images.
type imageHints struct {
	core      *Core
	writer    *writer
	shards    shardWriter
	nextWrite time.Duration
}

// run writes the hints that have changed, every half of the workers' lease.
func (h *imageHints) run(machines []*machine) {
	c := h.core
	if h.shards.inFlight || c.storeHealth.down {
		return
	}
	interval := c.times.lease / 2
	if due := h.nextWrite + interval; c.now.Steady < due {
		c.wakeBy(due)
		return
	}
	if !h.writer.mayWriteHints() {
		return
	}
	h.nextWrite = c.now.Steady
	packer := stored.NewImageHintPacker(c.maxValueBytes())
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
		h.nextWrite = c.now.Steady - interval + c.times.checkInterval // the rest goes soon
	}
}

// applyPlan has a machine that is first seen in this term have the images that the leader before presumed to be on
// it.
func (h *imageHints) apply(m *machine, jobs []*job) {
	for _, name := range h.core.cache.Images(m.name) {
		image := newCachedImage(name, imageGB(name, jobs))
		image.state = cachedImageReady
		if h.core.operator.Spread.Enabled {
			// The cost of a placement counts the uncertainty; where costs are not counted the hint is trusted.
			image.state = cachedImageUnconfirmed
		}
		m.images = append(m.images, image)
		m.capacityChanged = true
	}
}

// imageGB returns the size of an image, from a job that uses it; 0 if none does.
func imageGB(name string, jobs []*job) float64 {
	for _, j := range jobs {
		if j.spec.Image == name {
			return j.spec.ImageGB
		}
	}
	return 0
}

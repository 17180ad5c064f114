package core

import (
	"slices"
	"time"

	"bitternwing/internal/call"
	"bitternwing/internal/capacity"
	"bitternwing/internal/config"
	"bitternwing/internal/resource"
)

// PrefetchImage asks a worker to fetch an image that no task there waits for. The workers' protocol has no such request: it is
// sent only where operators' settings allow it, to workers that know it. Its Result is OK with the time until the image is there.
type PrefetchImage struct {
	CallID uint64
	Addr   string
	Image  string
	GB     float64
}

func (PrefetchImage) effect() {}

// prefetches has a copy of each model's weights in each zone where its replicas could go, within a budget.
type prefetches struct {
	budget  hourlyBudget // in GB
	asking  int
	lookAt  time.Duration
	refused bool // a worker does not know the request: none does
	arrive  []arrival
}

// arrival is an image that is to be on a machine.
type arrival struct {
	machine, image string
	at             time.Duration
}

// runPrefetches notes which images are there, and asks for those that are missing.
func (l *leader) runPrefetches() {
	c, p := l.core, &l.prefetches
	perHour := c.operator.Spread.PrefetchGBPerHour
	if !c.operator.Spread.Enabled || perHour <= 0 || p.refused {
		return
	}
	l.takeArrivals()
	if c.now.Steady < p.lookAt || !c.election.leaseValid() || c.storeDown {
		c.wakeBy(p.lookAt)
		return
	}
	p.lookAt = c.now.Steady + c.times.checkInterval
	now := c.now.Steady.Seconds()
	if p.budget.at == 0 {
		p.budget = hourlyBudget{left: perHour, at: now} // an hour's worth to begin with
	}
	p.budget.refill(now, perHour, perHour)
	services := l.servicesByModel()
	for _, model := range l.replicaLedger.All() {
		if i := slices.IndexFunc(services[model], func(j *job) bool { return !j.cancelled }); i >= 0 {
			l.prefetchModel(services[model][i])
		}
	}
}

// takeArrivals marks the images that are there by now.
func (l *leader) takeArrivals() {
	keep := l.prefetches.arrive[:0]
	for _, a := range l.prefetches.arrive {
		if l.core.now.Steady < a.at {
			keep = append(keep, a)
			continue
		}
		if m := l.machines[a.machine]; m != nil {
			m.markImageReady(a.image)
		}
	}
	l.prefetches.arrive = keep
}

// prefetchModel asks for a copy of a model's weights in each zone that has none.
func (l *leader) prefetchModel(j *job) {
	p := &l.prefetches
	for _, zone := range l.zonesFor(j) {
		if j.spec.ImageGB > p.budget.left || p.asking >= l.core.maxReplicaProbes() {
			return
		}
		if m := l.copyPlace(j, zone); m != nil {
			p.budget.left -= j.spec.ImageGB
			l.prefetch(j, m)
		}
	}
}

// copyPlace gives the machine of a zone for a copy of a job's image: one with room for a replica, that fetches nothing and has
// space for the image beside all that it has; nil if there is none, or if the zone has a copy.
func (l *leader) copyPlace(j *job, zone string) *machine {
	allowed := j.groupRules()
	within := func(g capacity.Group) (capacity.Warmth, bool) { return 0, g.Zone == zone && allowed(g) }
	_, copied, _ := l.capacityIndex.Tightest(capacity.Request[*host]{Image: j.spec.Image, Penalty: within,
		Suits: func(h *host) (capacity.Warmth, bool) {
			w := h.m.imageState(j.spec.Image)
			return w, w <= capacity.Fetching
		}})
	if copied {
		return nil
	}
	h, found, _ := l.capacityIndex.Tightest(capacity.Request[*host]{Need: resource.OfTask(j.spec), Image: j.spec.Image, Penalty: within,
		Suits: func(h *host) (capacity.Warmth, bool) {
			sum := j.spec.ImageGB
			for i := range h.m.images {
				sum += h.m.images[i].gb
			}
			return capacity.Cold, h.m.imageState(j.spec.Image) == capacity.Cold && sum <= h.m.machineType.CacheGB && h.m.addr != ""
		}})
	if !found {
		return nil
	}
	return h.m
}

// prefetch asks a machine for an image. Until it is there the machine counts as fetching it.
func (l *leader) prefetch(j *job, m *machine) {
	p, image := &l.prefetches, j.spec.Image
	m.addImage(image, j.spec.ImageGB)
	p.asking++
	id := l.call(func(r Result) {
		p.asking--
		switch r.Outcome {
		case call.OK:
			p.arrive = append(p.arrive, arrival{m.name, image, l.core.now.Steady + config.Seconds(r.ReadyS)})
		case call.Missing:
			if !p.refused {
				l.core.log(Error, "workers don't know the request to fetch an image ahead", "machine", m.name)
			}
			p.refused = true
			m.removeImage(image)
			m.capacityChanged = true
		default:
			m.removeImage(image)
			m.capacityChanged = true
		}
	})
	l.core.emit(PrefetchImage{CallID: id, Addr: m.addr, Image: image, GB: j.spec.ImageGB})
}

package core

import (
	"slices"
	"time"

	"bitternwing/internal/capacity"
	"bitternwing/internal/config"
	"bitternwing/internal/outcome"
	"bitternwing/internal/ratelimit"
	"bitternwing/internal/resource"
	"bitternwing/internal/topologyspread"
)

// PrefetchImage requests a worker to fetch an image before a task there needs it. It is an extension of the worker
// protocol, which is sent only if enabled in the operator settings, and only to workers that support it. Its Result is
// OK with the time until the image is ready.
type PrefetchImage struct {
	CallID uint64
	Addr   string
	Image  string
	GB     float64
}

func (PrefetchImage) effect() {}

// imagePrefetcher keeps a copy of each model's weights in each zone in which its replicas could run, within a budget.
type imagePrefetcher struct {
	core          *Core
	authority     leaderAuthority
	calls         termCalls
	machines      map[string]*machine
	index         *capacity.Index[*schedulableMachine]
	replicaCounts *topologyspread.ReplicaCounts
	replicas      replicaFleet

	budget      ratelimit.Bucket // in GB
	inFlight    int
	nextCheck   time.Duration
	unsupported bool // a worker does not support the request, so presumably none does
	arrivals    []imageArrival
}

// replicaFleet provides the services and the machines among which images are distributed.
type replicaFleet interface {
	servicesByModel() map[topologyspread.Model][]*job
	fleet() fleetView
}

// newImagePrefetcher returns the prefetcher of a leader.
func newImagePrefetcher(l *leader) imagePrefetcher {
	return imagePrefetcher{
		core:          l.core,
		authority:     l.leaderAuthority,
		calls:         l.termCalls,
		machines:      l.machines,
		index:         l.schedulable.index,
		replicaCounts: l.replicaCounts,
		replicas:      l,
	}
}

// imageArrival is the time at which an image will be ready on a machine.
type imageArrival struct {
	machine, image string
	at             time.Duration
}

// run marks the images that have arrived, and requests missing ones.
func (p *imagePrefetcher) run() {
	c := p.core
	perHour := c.operator.Spread.PrefetchGBPerHour
	if !c.operator.Spread.Enabled || perHour <= 0 || p.unsupported {
		return
	}
	p.applyArrivals()
	if c.now.Steady < p.nextCheck || !p.authority.mayCommit() {
		c.wakeBy(p.nextCheck)
		return
	}
	p.nextCheck = c.now.Steady + c.times.checkInterval
	if p.budget == (ratelimit.Bucket{}) {
		p.budget = ratelimit.NewBucket(perHour, c.now.Steady) // starts with the budget of one hour
	}
	p.budget.Refill(c.now.Steady, perHour/secondsPerHour, perHour)
	services := p.replicas.servicesByModel()
	for _, model := range p.replicaCounts.SortedModels() {
		if i := slices.IndexFunc(services[model], func(j *job) bool { return !j.cancelled }); i >= 0 {
			p.prefetchModel(services[model][i])
		}
	}
}

// applyArrivals marks the images that have arrived by now.
func (p *imagePrefetcher) applyArrivals() {
	pending := p.arrivals[:0]
	for _, arrival := range p.arrivals {
		if p.core.now.Steady < arrival.at {
			pending = append(pending, arrival)
			continue
		}
		if m := p.machines[arrival.machine]; m != nil {
			m.markImageReady(arrival.image)
		}
	}
	p.arrivals = pending
}

// prefetchModel requests a copy of a model's weights in each zone that has none.
func (p *imagePrefetcher) prefetchModel(j *job) {
	for _, zone := range p.replicas.fleet().zonesFor(j) {
		if j.spec.ImageGB > p.budget.Tokens() || p.inFlight >= p.core.maxReplicaProbes() {
			return
		}
		if m := p.prefetchTarget(j, zone); m != nil {
			p.budget.Spend(j.spec.ImageGB)
			p.prefetch(j, m)
		}
	}
}

// prefetchTarget returns the machine of a zone that is to fetch a job's image. The machine has the resources for a
// replica, fetches no other image, and has space for the image in addition to all others in its cache. It returns nil
// if there is none, or if the zone already has a copy.
func (p *imagePrefetcher) prefetchTarget(j *job, zone string) *machine {
	allowed := j.groupFilter()
	penalty := func(g capacity.Group) (capacity.ImageState, bool) { return 0, g.Zone == zone && allowed(g) }
	_, hasCopy, _ := p.index.BestFit(capacity.FitRequest[*schedulableMachine]{Image: j.spec.Image, Penalty: penalty,
		Feasible: func(target *schedulableMachine) (capacity.ImageState, bool) {
			state := target.machine.images.stateOf(j.spec.Image)
			return state, state <= capacity.ImageFetching
		}})
	if hasCopy {
		return nil
	}
	target, found, _ := p.index.BestFit(capacity.FitRequest[*schedulableMachine]{
		Required: resource.OfTask(j.spec),
		Image:    j.spec.Image,
		Penalty:  penalty,
		Feasible: func(target *schedulableMachine) (capacity.ImageState, bool) {
			m := target.machine
			absent := m.images.stateOf(j.spec.Image) == capacity.ImageAbsent
			return capacity.ImageAbsent, absent && m.images.fits(j.spec.ImageGB, m.machineType.CacheGB) && m.addr != ""
		}})
	if !found {
		return nil
	}
	return target.machine
}

// prefetch requests a machine to fetch an image. Until the image is ready, the machine counts as fetching it.
func (p *imagePrefetcher) prefetch(j *job, m *machine) {
	image := j.spec.Image
	m.addImage(image, j.spec.ImageGB)
	p.inFlight++
	id := p.calls.registerCall(func(r Result) {
		p.inFlight--
		switch r.Outcome {
		case outcome.OK:
			p.arrivals = append(p.arrivals, imageArrival{m.name, image, p.core.now.Steady + config.Seconds(r.ReadyS)})
		case outcome.NotFound:
			if !p.unsupported {
				p.core.log(Error, "image prefetch not supported by workers", "worker", m.name)
			}
			p.unsupported = true
			m.removeImage(image)
		case outcome.Unknown, outcome.Unavailable, outcome.Conflict, outcome.Invalid, outcome.TooOld, outcome.TooLarge, outcome.Dropped:
			m.removeImage(image)
		}
	})
	p.core.emit(PrefetchImage{CallID: id, Addr: m.addr, Image: image, GB: j.spec.ImageGB})
}

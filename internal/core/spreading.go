package core

import (
	"slices"
	"time"

	"bitternwing/internal/capacity"
	"bitternwing/internal/config"
	"bitternwing/internal/resource"
	"bitternwing/internal/spread"
)

// model gives what a job's replicas belong to; false if the job's tasks are not spread: it is no service.
func (j *job) model() (spread.Model, bool) {
	if j.isArray() {
		return spread.Model{}, false
	}
	return spread.Model{Team: j.spec.Team, Image: j.spec.Image}, true
}

// servicesByModel gives the services that are to run, by what their replicas belong to.
func (l *leader) servicesByModel() map[spread.Model][]*job {
	services := map[spread.Model][]*job{}
	for _, j := range l.queue {
		if model, ok := j.model(); ok {
			services[model] = append(services[model], j)
		}
	}
	return services
}

// countReplica takes a placement up in the ledger of replicas, or takes it out. Where replicas are is known whether
// spread is weighed or not, so that it can be shown.
func (p *placement) countReplica(present bool) {
	model, ok := p.job.model()
	if !ok || p.job.replicaLedger == nil {
		return
	}
	if present {
		p.job.replicaLedger.Add(model, p.machine.zone, p.machine.name)
	} else {
		p.job.replicaLedger.Remove(model, p.machine.zone, p.machine.name)
	}
}

// trade is what a replica's place costs, in seconds of replica time.
type trade struct {
	weighed bool    // against spread; else the warmest machine was taken
	loadS   float64 // expected wait for the weights
	lossS   float64 // expected to be lost by what the zone and the machine have beyond the balanced share
	// warmest is the machine that would have been taken without weighing, with what it would have cost.
	warmest               string
	warmestLoadS, avoided float64
}

// lossRates are the losses that operators expect.
func (c *Core) lossRates() spread.Rates {
	s := c.operator.Spread
	return spread.Rates{ZoneLossesPerDay: s.ZoneLossesPerDay, MachineLossesPerDay: s.MachineLossesPerDay, ReplicaDays: s.ReplicaDays}
}

// noticedLeases is after how many of workers' leases a machine's loss is noticed for certain.
const noticedLeases = 1.1

// coldSeconds is how long a job's image takes on a machine of a type that fetches nothing else.
func (l *leader) coldSeconds(j *job, kind string) float64 {
	if mt := l.core.machineType(kind); mt != nil && mt.FetchGBPerS > 0 {
		return j.spec.ImageGB / mt.FetchGBPerS
	}
	return 0
}

// slowestLoad is the longest that a job's image takes on any type that the job may run on.
func (l *leader) slowestLoad(j *job) time.Duration {
	slowest := 0.0
	for i := range l.core.catalog {
		if kind := l.core.catalog[i].Name; allowsType(j.spec, kind) {
			slowest = max(slowest, l.coldSeconds(j, kind))
		}
	}
	return config.Seconds(slowest)
}

// weigher is what a job's next replica goes by.
type weigher struct {
	spread.Weigher
	l     *leader
	job   *job
	away  time.Duration
	fleet spread.Fleet
}

// weigherFor gives a job's weigher; false if its places are not weighed.
func (r *round) weigherFor(j *job) (weigher, bool) {
	l := r.l
	model, ok := j.model()
	if !ok || !l.core.operator.Spread.Enabled || j.replicaLedger == nil {
		return weigher{}, false
	}
	if w := r.weighing; w.job != j || r.weighedAt != j.replicaLedger.Changes() {
		// What does not depend on where replicas are is worked out once for a run of the same job's tasks.
		if w.job != j {
			w.away = time.Duration(noticedLeases*float64(l.core.times.lease)) + l.slowestLoad(j)
			w.fleet = spread.Fleet{Zones: len(l.zonesFor(j)), Machines: l.capacityIndex.Len()}
		}
		w.l, w.job = l, j
		w.Weigher = j.replicaLedger.Weigh(model, l.core.lossRates(), w.fleet, w.away)
		r.weighing, r.weighedAt = w, j.replicaLedger.Changes()
	}
	return r.weighing, true
}

// zonesFor gives the zones in which a job may run and there are machines that take tasks.
func (l *leader) zonesFor(j *job) []string {
	var zones []string
	for _, g := range l.capacityIndex.Groups() {
		if (j.spec.Spot || !g.Spot) && allowsType(j.spec, g.Type) && (j.spec.Zone == "" || j.spec.Zone == g.Zone) && !slices.Contains(zones, g.Zone) {
			zones = append(zones, g.Zone)
		}
	}
	return zones
}

// cost gives what a machine of a group costs the job's next replica, by its warmth.
func (w weigher) cost(g capacity.Group, warmth capacity.Warmth) float64 {
	cost := w.load(g, warmth) + w.Zone(g.Zone)
	if w.job.spec.Spot && !g.Spot {
		// As far behind as without weighing: a loss is the unit of what comes before warmth.
		cost += ordinaryPenalty * w.away.Seconds()
	}
	return cost
}

func (w weigher) load(g capacity.Group, warmth capacity.Warmth) float64 {
	return spread.LoadSeconds(int(warmth), w.l.coldSeconds(w.job, g.Type))
}

// weigh finds the machine for a job's next replica that costs the least.
func (r *round) weigh(j *job, w weigher) *machine {
	allowed := j.groupRules()
	h, _, found, looked := r.l.capacityIndex.Cheapest(capacity.Weighed[*host]{
		Need:    resource.OfTask(j.spec),
		Image:   j.spec.Image,
		Crowded: w.Machine(),
		Cost: func(g capacity.Group, warmth capacity.Warmth) (float64, bool) {
			if !allowed(g) {
				return 0, false
			}
			return w.cost(g, warmth), true
		},
		Suits: func(h *host) (capacity.Warmth, bool, bool) {
			return h.m.imageState(j.spec.Image), w.Crowded(h.m.name), !r.l.avoids(j, h.m)
		},
	})
	r.evaluations -= max(1, looked)
	if !found {
		return nil
	}
	return h.m
}

// tradeOn gives what a machine costs a job's next replica.
func (w weigher) tradeOn(m *machine) trade {
	t := trade{weighed: true, loadS: w.load(m.group(), m.imageState(w.job.spec.Image)), lossS: w.Zone(m.zone)}
	if w.Crowded(m.name) {
		t.lossS += w.Machine()
	}
	return t
}

// explain completes the trade of a machine that is not warm with what the warmest one would have cost.
func (r *round) explain(j *job, m *machine) trade {
	w, weighed := r.weigherFor(j)
	if !weighed {
		return trade{loadS: spread.LoadSeconds(int(m.imageState(j.spec.Image)), r.l.coldSeconds(j, m.typeName))}
	}
	t := w.tradeOn(m)
	if m.imageState(j.spec.Image) == capacity.Warm {
		return t
	}
	if warmest := r.warmest(j); warmest != nil && warmest != m {
		other := w.tradeOn(warmest)
		t.warmest, t.warmestLoadS, t.avoided = warmest.name, other.loadS, other.lossS-t.lossS
	}
	return t
}

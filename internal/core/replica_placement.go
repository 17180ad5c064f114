package core

import (
	"slices"
	"time"

	"bitternwing/internal/capacity"
	"bitternwing/internal/config"
	"bitternwing/internal/resource"
	"bitternwing/internal/topologyspread"
)

// model gives what a job's replicas belong to; false if the job's tasks are not spread: it is no service.
func (j *job) model() (topologyspread.Model, bool) {
	if j.isArray() {
		return topologyspread.Model{}, false
	}
	return topologyspread.Model{Team: j.spec.Team, Image: j.spec.Image}, true
}

// servicesByModel gives the services that are to run, by what their replicas belong to.
func (l *leader) servicesByModel() map[topologyspread.Model][]*job {
	services := map[topologyspread.Model][]*job{}
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

// placementCost is what a replica's place costs, in seconds of replica time.
type placementCost struct {
	spreadWeighed bool    // against spread; else the warmest machine was taken
	imageLoadS    float64 // expected wait for the weights
	expectedLossS float64 // expected to be lost by what the zone and the machine have beyond the balanced share
	// warmestMachine is the machine that would have been taken without weighing, with what it would have cost.
	warmestMachine         string
	warmestLoadS, avoidedS float64
}

// lossRates are the losses that operators expect.
func (c *Core) lossRates() topologyspread.Rates {
	s := c.operator.Spread
	return topologyspread.Rates{ZoneLossesPerDay: s.ZoneLossesPerDay, MachineLossesPerDay: s.MachineLossesPerDay, ReplicaDays: s.ReplicaDays}
}

// lossDetectionLeases is after how many of workers' leases a machine's loss is noticed for certain.
const lossDetectionLeases = 1.1

// coldStartSeconds is how long a job's image takes on a machine of a type that fetches nothing else.
func (l *leader) coldStartSeconds(j *job, kind string) float64 {
	if mt := l.core.machineType(kind); mt != nil && mt.FetchGBPerS > 0 {
		return j.spec.ImageGB / mt.FetchGBPerS
	}
	return 0
}

// slowestImageFetch is the longest that a job's image takes on any type that the job may run on.
func (l *leader) slowestImageFetch(j *job) time.Duration {
	slowest := 0.0
	for i := range l.core.catalog {
		if kind := l.core.catalog[i].Name; allowsType(j.spec, kind) {
			slowest = max(slowest, l.coldStartSeconds(j, kind))
		}
	}
	return config.Seconds(slowest)
}

// replicaCostModel is what a job's next replica goes by.
type replicaCostModel struct {
	topologyspread.Weigher
	leader       *leader
	job          *job
	recoveryTime time.Duration
	fleet        topologyspread.Fleet
}

// replicaCostFor gives a job's weigher; false if its places are not weighed.
func (r *schedulingCycle) replicaCostFor(j *job) (replicaCostModel, bool) {
	l := r.leader
	model, ok := j.model()
	if !ok || !l.core.operator.Spread.Enabled || j.replicaLedger == nil {
		return replicaCostModel{}, false
	}
	if w := r.replicaCost; w.job != j || r.replicaCostVersion != j.replicaLedger.Changes() {
		// What does not depend on where replicas are is worked out once for a run of the same job's tasks.
		if w.job != j {
			w.recoveryTime = time.Duration(lossDetectionLeases*float64(l.core.times.lease)) + l.slowestImageFetch(j)
			w.fleet = topologyspread.Fleet{Zones: len(l.zonesFor(j)), Machines: l.capacityIndex.Len()}
		}
		w.leader, w.job = l, j
		w.Weigher = j.replicaLedger.Weigh(model, l.core.lossRates(), w.fleet, w.recoveryTime)
		r.replicaCost, r.replicaCostVersion = w, j.replicaLedger.Changes()
	}
	return r.replicaCost, true
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
func (w replicaCostModel) cost(g capacity.Group, warmth capacity.ImageState) float64 {
	cost := w.imageLoad(g, warmth) + w.Zone(g.Zone)
	if w.job.spec.Spot && !g.Spot {
		// As far behind as without weighing: a loss is the unit of what comes before warmth.
		cost += onDemandPenalty * w.recoveryTime.Seconds()
	}
	return cost
}

func (w replicaCostModel) imageLoad(g capacity.Group, warmth capacity.ImageState) float64 {
	return topologyspread.LoadSeconds(int(warmth), w.leader.coldStartSeconds(w.job, g.Type))
}

// cheapestReplicaMachine finds the machine for a job's next replica that costs the least.
func (r *schedulingCycle) cheapestReplicaMachine(j *job, w replicaCostModel) *machine {
	allowed := j.groupRules()
	h, _, found, looked := r.leader.capacityIndex.LowestCost(capacity.CostRequest[*schedulableMachine]{
		Need:    resource.OfTask(j.spec),
		Image:   j.spec.Image,
		Crowded: w.Machine(),
		Cost: func(g capacity.Group, warmth capacity.ImageState) (float64, bool) {
			if !allowed(g) {
				return 0, false
			}
			return w.cost(g, warmth), true
		},
		Suits: func(h *schedulableMachine) (capacity.ImageState, bool, bool) {
			return h.machine.imageState(j.spec.Image), w.Crowded(h.machine.name), !r.leader.avoidsMachine(j, h.machine)
		},
	})
	r.evaluations -= max(1, looked)
	if !found {
		return nil
	}
	return h.machine
}

// costOn gives what a machine costs a job's next replica.
func (w replicaCostModel) costOn(m *machine) placementCost {
	t := placementCost{spreadWeighed: true, imageLoadS: w.imageLoad(m.group(), m.imageState(w.job.spec.Image)), expectedLossS: w.Zone(m.zone)}
	if w.Crowded(m.name) {
		t.expectedLossS += w.Machine()
	}
	return t
}

// explainCost completes the trade of a machine that is not warm with what the warmest one would have cost.
func (r *schedulingCycle) explainCost(j *job, m *machine) placementCost {
	w, weighed := r.replicaCostFor(j)
	if !weighed {
		return placementCost{imageLoadS: topologyspread.LoadSeconds(int(m.imageState(j.spec.Image)), r.leader.coldStartSeconds(j, m.typeName))}
	}
	t := w.costOn(m)
	if m.imageState(j.spec.Image) == capacity.ImageReady {
		return t
	}
	if warmest := r.warmestMachine(j); warmest != nil && warmest != m {
		other := w.costOn(warmest)
		t.warmestMachine, t.warmestLoadS, t.avoidedS = warmest.name, other.imageLoadS, other.expectedLossS-t.expectedLossS
	}
	return t
}

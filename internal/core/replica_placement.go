package core

import (
	"time"

	"bitternwing/internal/capacity"
	"bitternwing/internal/config"
	"bitternwing/internal/resource"
	"bitternwing/internal/topologyspread"
)

// model gives the model that a job's replicas serve; false if the job is not a service, whose tasks alone are spread.
func (j *job) model() (topologyspread.Model, bool) {
	if j.isArray() {
		return topologyspread.Model{}, false
	}
	return topologyspread.Model{Team: j.spec.Team, Image: j.spec.Image}, true
}

// servicesByModel gives the services that are to run, by the model that they serve.
func (l *leader) servicesByModel() map[topologyspread.Model][]*job {
	services := map[topologyspread.Model][]*job{}
	for _, j := range l.queue {
		if model, ok := j.model(); ok {
			services[model] = append(services[model], j)
		}
	}
	return services
}

// countReplica adds a placement to the ledger of replicas, or removes it. The ledger is kept whether replicas are spread or
// not, so that it can be shown.
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

// placementCost is what the placement of a replica costs, in seconds of replica time.
type placementCost struct {
	spreadWeighed bool    // image load was weighed against spread; else the best fit was taken
	imageLoadS    float64 // expected wait for the weights
	expectedLossS float64 // expected to be lost by what the zone and the machine have beyond the balanced share
	// bestCached is the machine that would have been the best fit, with what it would have cost; "" if it was taken.
	bestCached                    string
	bestCachedLoadS, avoidedLossS float64
}

// replicaCostModel gives the cost of machines for a job's next replica.
type replicaCostModel struct {
	topologyspread.Costs
	fleet        fleetView
	job          *job
	recoveryTime time.Duration // until a lost replica runs again
	spreadOver   topologyspread.Fleet
}

// replicaCostFor gives the cost model of a job's next replica; false if its placement is not weighed by cost.
func (cycle *schedulingCycle) replicaCostFor(j *job) (replicaCostModel, bool) {
	model, ok := j.model()
	if !ok || !cycle.params.spread.Enabled || j.replicaLedger == nil {
		return replicaCostModel{}, false
	}
	if cycle.replicaCost.job == j && cycle.replicaCostVersion == j.replicaLedger.Changes() {
		return cycle.replicaCost, true
	}
	w := cycle.replicaCost
	if w.job != j {
		// What does not depend on where replicas are is worked out once for consecutive tasks of a job.
		fleet := cycle.params.fleet
		w.recoveryTime = cycle.params.lossDetection + fleet.slowestImageFetch(j)
		w.spreadOver = topologyspread.Fleet{Zones: len(fleet.zonesFor(j)), Machines: fleet.index.Len()}
		w.fleet, w.job = fleet, j
	}
	w.Costs = j.replicaLedger.CostsFor(model, lossRates(cycle.params.spread), w.spreadOver, w.recoveryTime)
	cycle.replicaCost, cycle.replicaCostVersion = w, j.replicaLedger.Changes()
	return w, true
}

// lossRates are the losses that operators expect.
func lossRates(spread config.Spread) topologyspread.Rates {
	return topologyspread.Rates{ZoneLossesPerDay: spread.ZoneLossesPerDay, MachineLossesPerDay: spread.MachineLossesPerDay, ReplicaDays: spread.ReplicaDays}
}

// cost gives what a machine of a group costs the job's next replica, by the state of its image there.
func (w replicaCostModel) cost(g capacity.Group, state capacity.ImageState) float64 {
	cost := w.imageLoad(g, state) + w.ZoneS(g.Zone)
	if w.job.spec.Spot && !g.Spot {
		// On-demand machines come as far behind spot ones as in bestFit, where a recovery counts as an image state.
		cost += onDemandPenalty * w.recoveryTime.Seconds()
	}
	return cost
}

func (w replicaCostModel) imageLoad(g capacity.Group, state capacity.ImageState) float64 {
	return topologyspread.LoadSeconds(int(state), w.fleet.coldStartSeconds(w.job, g.Type))
}

// cheapestReplicaMachine finds the machine for a job's next replica that costs the least.
func (cycle *schedulingCycle) cheapestReplicaMachine(j *job, w replicaCostModel) *machine {
	allowed := j.groupRules()
	h, _, found, looked := cycle.params.fleet.index.LowestCost(capacity.CostRequest[*schedulableMachine]{
		Need:        resource.OfTask(j.spec),
		Image:       j.spec.Image,
		CrowdedCost: w.MachineS(),
		Cost: func(g capacity.Group, state capacity.ImageState) (float64, bool) {
			if !allowed(g) {
				return 0, false
			}
			return w.cost(g, state), true
		},
		Suits: func(h *schedulableMachine) (capacity.ImageState, bool, bool) {
			return h.machine.images.stateOf(j.spec.Image), w.Crowded(h.machine.name), !cycle.state.avoidsMachine(j, h.machine)
		},
	})
	cycle.evaluations -= max(1, looked)
	if !found {
		return nil
	}
	return h.machine
}

// costOn gives what a machine costs a job's next replica.
func (w replicaCostModel) costOn(m *machine) placementCost {
	t := placementCost{spreadWeighed: true, imageLoadS: w.imageLoad(m.group(), m.images.stateOf(w.job.spec.Image)), expectedLossS: w.ZoneS(m.zone)}
	if w.Crowded(m.name) {
		t.expectedLossS += w.MachineS()
	}
	return t
}

// explainCost gives the cost of the machine that was chosen for a replica and, if the image is not ready there, what the
// best fit would have cost.
func (cycle *schedulingCycle) explainCost(j *job, m *machine) placementCost {
	w, weighed := cycle.replicaCostFor(j)
	if !weighed {
		return placementCost{imageLoadS: topologyspread.LoadSeconds(int(m.images.stateOf(j.spec.Image)), cycle.params.fleet.coldStartSeconds(j, m.typeName))}
	}
	t := w.costOn(m)
	if m.images.stateOf(j.spec.Image) == capacity.ImageReady {
		return t
	}
	if best := cycle.bestFit(j); best != nil && best != m {
		other := w.costOn(best)
		t.bestCached, t.bestCachedLoadS, t.avoidedLossS = best.name, other.imageLoadS, other.expectedLossS-t.expectedLossS
	}
	return t
}

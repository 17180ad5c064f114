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
	spreadOver   topologyspread.DomainCounts
}

// replicaCostFor gives the cost model of a job's next replica; false if its placement is not weighed by cost.
func (cycle *schedulingCycle) replicaCostFor(j *job) (replicaCostModel, bool) {
	model, ok := j.model()
	if !ok || !cycle.params.spread.Enabled || j.replicaLedger == nil {
		return replicaCostModel{}, false
	}
	if cycle.replicaCost.job == j && cycle.replicaCostVersion == j.replicaLedger.ChangeCount() {
		return cycle.replicaCost, true
	}
	costs := cycle.replicaCost
	if costs.job != j {
		// What does not depend on where replicas are is worked out once for consecutive tasks of a job.
		fleet := cycle.params.fleet
		costs.recoveryTime = cycle.params.lossDetection + fleet.slowestImageFetch(j)
		costs.spreadOver = topologyspread.DomainCounts{Zones: len(fleet.zonesFor(j)), Machines: fleet.index.Len()}
		costs.fleet, costs.job = fleet, j
	}
	costs.Costs = j.replicaLedger.CostsFor(model, lossRates(cycle.params.spread), costs.spreadOver, costs.recoveryTime)
	cycle.replicaCost, cycle.replicaCostVersion = costs, j.replicaLedger.ChangeCount()
	return costs, true
}

// lossRates are the losses that operators expect.
func lossRates(spread config.Spread) topologyspread.FailureRates {
	return topologyspread.FailureRates{
		ZoneLossesPerDay:    spread.ZoneLossesPerDay,
		MachineLossesPerDay: spread.MachineLossesPerDay,
		ReplicaLifetimeDays: spread.ReplicaDays,
	}
}

// cost gives what a machine of a group costs the job's next replica, by the state of its image there.
func (costs replicaCostModel) cost(g capacity.Group, state capacity.ImageState) float64 {
	cost := costs.imageLoad(g, state) + costs.ZoneLossS(g.Zone)
	if costs.job.spec.Spot && !g.Spot {
		// On-demand machines come as far behind spot ones as in bestFit, where a recovery counts as an image state.
		cost += onDemandPenalty * costs.recoveryTime.Seconds()
	}
	return cost
}

func (costs replicaCostModel) imageLoad(g capacity.Group, state capacity.ImageState) float64 {
	return topologyspread.ExpectedLoadSeconds(int(state), costs.fleet.coldStartSeconds(costs.job, g.Type))
}

// cheapestReplicaMachine finds the machine for a job's next replica that costs the least.
func (cycle *schedulingCycle) cheapestReplicaMachine(j *job, costs replicaCostModel) *machine {
	allowed := j.groupRules()
	target, _, found, evaluated := cycle.params.fleet.index.LowestCost(capacity.CostRequest[*schedulableMachine]{
		Required:    resource.OfTask(j.spec),
		Image:       j.spec.Image,
		CrowdedCost: costs.MachineLossS(),
		Cost: func(g capacity.Group, state capacity.ImageState) (float64, bool) {
			if !allowed(g) {
				return 0, false
			}
			return costs.cost(g, state), true
		},
		Feasible: func(target *schedulableMachine) (capacity.ImageState, bool, bool) {
			m := target.machine
			return m.images.stateOf(j.spec.Image), costs.Crowded(m.name), !cycle.state.avoidsMachine(j, m)
		},
	})
	cycle.evaluations -= max(1, evaluated)
	if !found {
		return nil
	}
	return target.machine
}

// costOn gives what a machine costs a job's next replica.
func (costs replicaCostModel) costOn(m *machine) placementCost {
	cost := placementCost{
		spreadWeighed: true,
		imageLoadS:    costs.imageLoad(m.group(), m.images.stateOf(costs.job.spec.Image)),
		expectedLossS: costs.ZoneLossS(m.zone),
	}
	if costs.Crowded(m.name) {
		cost.expectedLossS += costs.MachineLossS()
	}
	return cost
}

// explainCost gives the cost of the machine that was chosen for a replica and, if the image is not ready there, what the
// best fit would have cost.
func (cycle *schedulingCycle) explainCost(j *job, m *machine) placementCost {
	costs, weighed := cycle.replicaCostFor(j)
	state := m.images.stateOf(j.spec.Image)
	if !weighed {
		return placementCost{imageLoadS: topologyspread.ExpectedLoadSeconds(int(state), cycle.params.fleet.coldStartSeconds(j, m.typeName))}
	}
	cost := costs.costOn(m)
	if state == capacity.ImageReady {
		return cost
	}
	if best := cycle.bestFit(j); best != nil && best != m {
		other := costs.costOn(best)
		cost.bestCached = best.name
		cost.bestCachedLoadS = other.imageLoadS
		cost.avoidedLossS = other.expectedLossS - cost.expectedLossS
	}
	return cost
}

package core

import (
	"time"

	"bitternwing/internal/capacity"
	"bitternwing/internal/config"
	"bitternwing/internal/resource"
	"bitternwing/internal/topologyspread"
)

// model returns the model that the replicas of a job serve; false if the job is not a service, since only services are
// spread.
func (j *job) model() (topologyspread.Model, bool) {
	if j.isArray() {
		return topologyspread.Model{}, false
	}
	return topologyspread.Model{Team: j.spec.Team, Image: j.spec.Image}, true
}

// servicesByModel returns the queued services by the model that they serve.
func (l *leader) servicesByModel() map[topologyspread.Model][]*job {
	services := map[topologyspread.Model][]*job{}
	for _, j := range l.queue {
		if model, ok := j.model(); ok {
			services[model] = append(services[model], j)
		}
	}
	return services
}

// countReplica adds a placement to the replica counts, or removes it. The counts are maintained even if spreading is
// disabled, so that they are always available.
func (p *placement) countReplica(present bool) {
	model, ok := p.job.model()
	if !ok || p.job.replicaCounts == nil {
		return
	}
	if present {
		p.job.replicaCounts.Add(model, p.machine.zone, p.machine.name)
	} else {
		p.job.replicaCounts.Remove(model, p.machine.zone, p.machine.name)
	}
}

// placementCost is the cost of the placement of a replica, in seconds of replica time.
type placementCost struct {
	spreadWeighed bool    // image load time was weighed against spread; otherwise the best fit was taken
	imageLoadS    float64 // expected wait for the weights
	expectedLossS float64 // expected loss due to replicas beyond the balanced share of the zone and the machine
	// bestFit is the machine that would have been chosen without spreading, with its load time and additional loss; ""
	// if it was chosen.
	bestFit                    string
	bestFitLoadS, avoidedLossS float64
}

// replicaCostModel calculates the cost of machines for a job's next replica.
type replicaCostModel struct {
	topologyspread.Costs
	fleet        fleetView
	job          *job
	recoveryTime time.Duration // time from the loss of a replica until its replacement runs
	fleetSize    topologyspread.DomainCounts
}

// replicaCostFor returns the cost model for a job's next replica; false if the placement does not depend on cost.
func (cycle *schedulingCycle) replicaCostFor(j *job) (replicaCostModel, bool) {
	model, ok := j.model()
	if !ok || !cycle.params.spread.Enabled || j.replicaCounts == nil {
		return replicaCostModel{}, false
	}
	if cycle.replicaCost.job == j && cycle.replicaCostChangeCount == j.replicaCounts.ChangeCount() {
		return cycle.replicaCost, true
	}
	costs := cycle.replicaCost
	if costs.job != j {
		// These values do not depend on the placement of replicas, so consecutive tasks of a job share them.
		fleet := cycle.params.fleet
		costs.recoveryTime = cycle.params.lossDetection + fleet.maxImageFetchTime(j)
		costs.fleetSize = topologyspread.DomainCounts{Zones: len(fleet.zonesFor(j)), Machines: fleet.index.Len()}
		costs.fleet, costs.job = fleet, j
	}
	costs.Costs = j.replicaCounts.CostsFor(model, lossRates(cycle.params.spread), costs.fleetSize, costs.recoveryTime)
	cycle.replicaCost, cycle.replicaCostChangeCount = costs, j.replicaCounts.ChangeCount()
	return costs, true
}

// lossRates returns the configured loss rates.
func lossRates(spread config.Spread) topologyspread.FailureRates {
	return topologyspread.FailureRates{
		ZoneLossesPerDay:    spread.ZoneLossesPerDay,
		MachineLossesPerDay: spread.MachineLossesPerDay,
		ReplicaLifetimeDays: spread.ReplicaLifetimeDays,
	}
}

// cost returns the cost of a machine of a group for the job's next replica, given the state of its image on the
// machine. It does not include the cost of a crowded machine.
func (costs replicaCostModel) cost(g capacity.Group, state capacity.ImageState) float64 {
	cost := costs.imageLoad(g, state) + costs.ZoneLossS(g.Zone)
	if costs.job.spec.Spot && !g.Spot {
		// On-demand machines rank as far behind spot machines as in bestFit, with the recovery time as the cost of one
		// image state.
		cost += onDemandPenalty * costs.recoveryTime.Seconds()
	}
	return cost
}

func (costs replicaCostModel) imageLoad(g capacity.Group, state capacity.ImageState) float64 {
	return topologyspread.ExpectedLoadSeconds(int(state), costs.fleet.imageFetchSeconds(costs.job, g.Type))
}

// lowestCostReplicaMachine returns the machine with the lowest cost for a job's next replica; nil if there is none.
func (cycle *schedulingCycle) lowestCostReplicaMachine(j *job, costs replicaCostModel) *machine {
	allowed := cycle.groupFilter(j)
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
	cycle.evaluationsLeft -= max(1, evaluated)
	if !found {
		return nil
	}
	return target.machine
}

// costOn returns the cost of a machine for the job's next replica.
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

// explainCost returns the cost of the machine chosen for a replica. If the image is not ready on it, the result
// includes the cost of the best fit for comparison.
func (cycle *schedulingCycle) explainCost(j *job, m *machine) placementCost {
	costs, byCost := cycle.replicaCostFor(j)
	state := m.images.stateOf(j.spec.Image)
	if !byCost {
		return placementCost{imageLoadS: topologyspread.ExpectedLoadSeconds(int(state), cycle.params.fleet.imageFetchSeconds(j, m.typeName))}
	}
	cost := costs.costOn(m)
	if state == capacity.ImageReady {
		return cost
	}
	if best := cycle.bestFit(j); best != nil && best != m {
		bestFitCost := costs.costOn(best)
		cost.bestFit = best.name
		cost.bestFitLoadS = bestFitCost.imageLoadS
		cost.avoidedLossS = bestFitCost.expectedLossS - cost.expectedLossS
	}
	return cost
}

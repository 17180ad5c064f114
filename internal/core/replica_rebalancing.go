package core

import (
	"slices"
	"time"

	"bitternwing/internal/ratelimit"
	"bitternwing/internal/topologyspread"
)

// rebalancing restores the balance of the replicas of services, for example after a zone has recovered. It moves one
// replica of a model at a time, within a budget, only while all replicas of the model run, and only if the gain exceeds
// the cost of the move. A moved replica is stopped, and the next cycle places it where the cost is lowest.
type rebalancing struct{ budget ratelimit.Bucket }

// secondsPerHour converts an hourly budget to a rate per second.
const secondsPerHour = 3600

// rebalanceBurstSeconds is the time for which unused budget accumulates. At least one move may always be saved up.
const rebalanceBurstSeconds = 60

// rebalanceReplicas moves replicas for which the gain exceeds the cost.
func (l *leader) rebalanceReplicas(cycle *schedulingCycle) {
	s := l.core.operator.Spread
	if !s.Enabled || s.MovesPerHour <= 0 {
		return
	}
	movesPerSecond := s.MovesPerHour / secondsPerHour
	l.rebalancing.budget.Refill(l.core.now.Steady, movesPerSecond, max(1, movesPerSecond*rebalanceBurstSeconds))
	if l.rebalancing.budget.Tokens() < 1 || !l.provisioner.fleetKnown() {
		return
	}
	services := l.servicesByModel()
	for _, model := range l.replicaCounts.SortedModels() {
		if l.rebalancing.budget.Tokens() < 1 || !cycle.hasBudget() {
			return
		}
		if p := l.replicaToMove(cycle, model, services[model]); p != nil {
			l.rebalancing.budget.Spend(1)
			p.requestStop(stopImmediate, stopRebalanced)
			p.machine.capacityChanged = true
			l.dispatch(p.machine)
			l.core.log(Info, "rebalancing replica", "task", p.name(), "worker", p.machine.name, "zone", p.machine.zone)
		}
	}
}

// replicaToMove returns a replica of a model that is worth moving; nil if there is none, or if not all replicas of the
// model run.
func (l *leader) replicaToMove(cycle *schedulingCycle, model topologyspread.Model, services []*job) *placement {
	for _, j := range services {
		if !cycle.schedulable(j) || !j.allRunning() {
			return nil
		}
	}
	for _, j := range services {
		if j.spec.Zone != "" || j.spec.SingleZone || l.inRolloutPlan(j.id) {
			continue // its zone is fixed, or its rollout controls it
		}
		zone := l.replicaCounts.ZoneToDrain(model, cycle.params.fleet.zonesFor(j))
		for _, p := range j.placementsByTask() {
			if zone != "" && p.machine.zone == zone && cycle.moveSavesCost(j, p, l.core.times.heartbeatInterval) {
				return p
			}
		}
	}
	return nil
}

// allRunning reports whether all replicas of a service run and none is being stopped.
func (j *job) allRunning() bool {
	if j.unplaced() > 0 || j.stopping > 0 {
		return false
	}
	return !slices.ContainsFunc(j.placementsByTask(), func(p *placement) bool { return p.runningSince == 0 || p.stop != stopNone })
}

// moveSavesCost reports whether a replica would cost less in another zone, including the load of its weights and the
// time of a restart.
func (cycle *schedulingCycle) moveSavesCost(j *job, p *placement, restartTime time.Duration) bool {
	j.removePlacement(p)
	costs, _ := cycle.replicaCostFor(j)
	currentLoss := costs.costOn(p.machine).expectedLossS
	destination := cycle.lowestCostReplicaMachine(j, costs)
	gain := 0.0
	if destination != nil && destination.zone != p.machine.zone {
		destinationCost := costs.costOn(destination)
		gain = currentLoss - destinationCost.imageLoadS - destinationCost.expectedLossS
	}
	j.addPlacement(p)
	return gain > restartTime.Seconds()
}

// inRolloutPlan reports whether a job belongs to a rollout plan.
func (l *leader) inRolloutPlan(id string) bool {
	inPlan := l.core.cache.PlanForJob(id) != nil
	return inPlan
}

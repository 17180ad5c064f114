package core

import (
	"slices"
	"time"

	"bitternwing/internal/ratelimit"
	"bitternwing/internal/topologyspread"
)

// rebalancing brings replicas of services back into balance, as after the recovery of a zone: one replica of a model at a
// time, within a budget, only while all of the model runs, and only if the gain in balance is more than what the move
// costs. A moved replica is drained from its machine, and the next cycle places it where it costs the least.
type rebalancing struct{ budget ratelimit.Bucket }

// secondsPerHour turns an hourly budget into a rate per second.
const secondsPerHour = 3600

// rebalanceBurstSeconds is how many seconds' worth of the budget may be used at once; one move may be in any case.
const rebalanceBurstSeconds = 60

// rebalanceReplicas moves the replicas for which it is worth it.
func (l *leader) rebalanceReplicas(cycle *schedulingCycle) {
	s := l.core.operator.Spread
	if !s.Enabled || s.MovesPerHour <= 0 {
		return
	}
	movesPerSecond := s.MovesPerHour / secondsPerHour
	l.rebalancing.budget.Refill(l.core.now.Steady, movesPerSecond, max(1, movesPerSecond*rebalanceBurstSeconds))
	if l.rebalancing.budget.Tokens() < 1 || !l.provisioner.reconciled() {
		return
	}
	services := l.servicesByModel()
	for _, model := range l.replicaLedger.SortedModels() {
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

// replicaToMove gives a replica of a model that is worth moving; nil if there is none, or if not all of the model runs.
func (l *leader) replicaToMove(cycle *schedulingCycle, model topologyspread.Model, services []*job) *placement {
	for _, j := range services {
		if !cycle.schedulable(j) || !j.allRunning() {
			return nil
		}
	}
	for _, j := range services {
		if j.spec.Zone != "" || j.spec.SingleZone || l.planOwns(j.id) {
			continue // it has no choice, or a rollout decides about it
		}
		zone := l.replicaLedger.ZoneToDrain(model, cycle.params.fleet.zonesFor(j))
		for _, p := range j.placementsByTask() {
			if zone != "" && p.machine.zone == zone && cycle.moveSavesCost(j, p, l.core.times.heartbeatInterval) {
				return p
			}
		}
	}
	return nil
}

// allRunning tells whether all of a service's replicas run, and none is to be stopped.
func (j *job) allRunning() bool {
	if j.unplaced() > 0 || j.stopping > 0 {
		return false
	}
	return !slices.ContainsFunc(j.placementsByTask(), func(p *placement) bool { return p.runningSince == 0 || p.stop != stopNone })
}

// moveSavesCost tells whether a replica would cost less elsewhere, including its restart of so long and the load of its
// weights.
func (cycle *schedulingCycle) moveSavesCost(j *job, p *placement, restart time.Duration) bool {
	j.removePlacement(p)
	costs, _ := cycle.replicaCostFor(j)
	stay := costs.costOn(p.machine).expectedLossS
	to := cycle.cheapestReplicaMachine(j, costs)
	gain := 0.0
	if to != nil && to.zone != p.machine.zone {
		there := costs.costOn(to)
		gain = stay - there.imageLoadS - there.expectedLossS
	}
	j.addPlacement(p)
	return gain > restart.Seconds()
}

// planOwns tells whether a job belongs to the plan of a rollout.
func (l *leader) planOwns(id string) bool {
	owned := l.core.cache.PlanHolding(id) != nil
	return owned
}

package core

import (
	"bitternwing/internal/capacity"
	"bitternwing/internal/resource"
)

// zoneRules gives the zones in which a job's next task may run, given where its other tasks are. Tasks that are stopping
// or on silent machines count. A new leader learns the zone of an earlier leader's machine from the cloud's list or from a
// heartbeat; until then a task on it counts in each zone if the job is to be spread.
func (j *job) zoneRules() func(zone string) bool {
	s := j.spec
	if !s.SingleZone && !s.SpreadZones {
		return func(zone string) bool { return s.Zone == "" || s.Zone == zone }
	}
	unknown := 0
	if s.SpreadZones {
		unknown = j.placementsByZone[""]
	}
	return func(zone string) bool {
		here := j.placementsByZone[zone]
		if zone != "" {
			here += unknown
		}
		switch {
		case s.Zone != "" && s.Zone != zone, s.SingleZone && here < len(j.placements):
			return false
		}
		return !s.SpreadZones || here < (s.Tasks+1)/2
	}
}

// groupRules tells whether a job's next task may run on machines of a group: by machine type, zone, and spot or on-demand.
func (j *job) groupRules() func(capacity.Group) bool {
	zone := j.zoneRules()
	return func(g capacity.Group) bool {
		return (j.spec.Spot || !g.Spot) && allowsType(j.spec, g.Type) && zone(g.Zone)
	}
}

// onDemandPenalty is by how many image states an on-demand machine comes after a spot one, for what may run on both.
const onDemandPenalty = capacity.MaxPenalty

// findMachine finds the machine for a job's next task; nil if none has the resources. Machines with the image come first,
// except that what may run on spot machines prefers those; then best fit, so that other machines become idle and can be
// scaled in. If operators have replicas spread, a service's replica goes where the load of its weights and the expected
// loss of its zone and machine cost the least.
func (cycle *schedulingCycle) findMachine(j *job) *machine {
	request, plain := requestOf(j)
	if plain && cycle.exhaustedRequests[request] {
		return nil
	}
	var m *machine
	if costs, weighed := cycle.replicaCostFor(j); weighed {
		m = cycle.cheapestReplicaMachine(j, costs)
	} else {
		m = cycle.bestFit(j)
	}
	if m == nil && plain {
		cycle.exhaustedRequests[request] = true
	}
	return m
}

// bestFit finds the machine for a job's next task that is closest to having the image, and of these the one with the least
// left free.
func (cycle *schedulingCycle) bestFit(j *job) *machine {
	allowed := j.groupRules()
	target, found, evaluated := cycle.params.fleet.index.BestFit(capacity.FitRequest[*schedulableMachine]{
		Required: resource.OfTask(j.spec),
		Image:    j.spec.Image,
		Penalty: func(g capacity.Group) (capacity.ImageState, bool) {
			if j.spec.Spot && !g.Spot {
				return onDemandPenalty, allowed(g)
			}
			return 0, allowed(g)
		},
		Feasible: func(target *schedulableMachine) (capacity.ImageState, bool) {
			return target.machine.images.stateOf(j.spec.Image), !cycle.state.avoidsMachine(j, target.machine)
		},
	})
	cycle.evaluations -= max(1, evaluated) // a search that finds nothing at once is not free either
	if !found {
		return nil
	}
	return target.machine
}

// evaluationsPerIndexLevel is how many evaluations a change of a machine's free resources counts as, for each level of the
// index but the first.
const evaluationsPerIndexLevel = 4

// place decides a placement. The caller has it persisted once it is final; nothing is sent before it is written.
func (cycle *schedulingCycle) place(j *job, task int, m *machine) *placement {
	p := &placement{
		job:         j,
		task:        task,
		attempt:     cycle.state.assignAttempt(j, task),
		machine:     m,
		incarnation: m.incarnation,
		placedAt:    cycle.params.now,
		imageState:  m.images.stateOf(j.spec.Image),
	}
	if !j.isArray() {
		p.cost = cycle.explainCost(j, m)
	}
	j.addPlacement(p)
	m.addImage(j.spec.Image, j.spec.ImageGB)
	target := m.schedulable
	target.free.Subtract(resource.OfTask(j.spec))
	target.freeAfterStops.Subtract(resource.OfTask(j.spec))
	cycle.state.updateCapacityIndex(target)
	cycle.evaluations -= evaluationsPerIndexLevel * (cycle.params.fleet.index.Height() - 1)
	cycle.countUsage(j, 1)
	clear(cycle.hopelessPreemptions)
	cycle.placed++
	return p
}

// revertPlacement takes back the last placement of this very cycle. Its attempt was never written, so its number is free
// again.
func (cycle *schedulingCycle) revertPlacement(p *placement) {
	cycle.state.withdrawAttempt(p)
	p.job.removePlacement(p)
	p.job.nextUnplaced = min(p.job.nextUnplaced, p.task)
	target := p.machine.schedulable
	target.free.Add(resource.OfTask(p.job.spec))
	target.freeAfterStops.Add(resource.OfTask(p.job.spec))
	cycle.state.updateCapacityIndex(target)
	cycle.capacityGrew()
	cycle.countUsage(p.job, -1)
	cycle.placed--
}

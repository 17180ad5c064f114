package core

import (
	"bitternwing/internal/capacity"
	"bitternwing/internal/resource"
)

// maxTasksPerZone returns how many tasks of a job that is spread over zones may be in a zone: half of them, rounded up.
func (j *job) maxTasksPerZone() int { return (j.spec.Tasks + 1) / 2 }

// zoneFilter returns a predicate for the zones in which the job's next task may run, given the zones of its other
// tasks. Tasks that are being stopped or are on silent machines count too. A new leader learns the zone of a machine of
// an earlier term from the cloud's list or from a heartbeat; until then, a task on it counts in every zone if the job
// is spread over zones.
func (j *job) zoneFilter() func(zone string) bool {
	s := j.spec
	if !s.SingleZone && !s.SpreadZones {
		return func(zone string) bool { return s.Zone == "" || s.Zone == zone }
	}
	unknownZone := 0
	if s.SpreadZones {
		unknownZone = j.placementCountByZone[""]
	}
	return func(zone string) bool {
		inZone := j.placementCountByZone[zone]
		if zone != "" {
			inZone += unknownZone
		}
		switch {
		case s.Zone != "" && s.Zone != zone, s.SingleZone && inZone < len(j.placements):
			return false
		}
		return !s.SpreadZones || inZone < j.maxTasksPerZone()
	}
}

// allowsGroup reports whether tasks of a job may run on machines of a group, wherever its other tasks are.
func (j *job) allowsGroup(g capacity.Group) bool {
	return (j.spec.Spot || !g.Spot) && allowsType(j.spec, g.Type) && (j.spec.Zone == "" || j.spec.Zone == g.Zone)
}

// groupFilter returns a predicate for the machine groups (type, zone, spot or on-demand) on which the job's next task
// may run.
func (j *job) groupFilter() func(capacity.Group) bool {
	zone := j.zoneFilter()
	return func(g capacity.Group) bool {
		return (j.spec.Spot || !g.Spot) && allowsType(j.spec, g.Type) && zone(g.Zone)
	}
}

// onDemandPenalty is the number of image states by which an on-demand machine ranks behind a spot machine for a job
// that may run on both.
const onDemandPenalty = capacity.MaxPenalty

// findMachine returns the machine for a job's next task; nil if no machine has the resources. Machines with the image
// come first, but a job that allows spot machines prefers any of these to an on-demand machine. Among equals the best
// fit is taken, so that other machines become idle and can be released. If spreading of replicas is enabled, a
// service's replica is placed where the sum of image load time and expected loss of its zone and machine is lowest.
func (cycle *schedulingCycle) findMachine(j *job) *machine {
	request, cacheable := resourceRequestOf(j)
	if cacheable && cycle.exhaustedRequests[request] {
		return nil
	}
	var m *machine
	if costs, byCost := cycle.replicaCostFor(j); byCost {
		m = cycle.lowestCostReplicaMachine(j, costs)
	} else {
		m = cycle.bestFit(j)
	}
	if m == nil && cacheable {
		cycle.exhaustedRequests[request] = true
	}
	return m
}

// bestFit returns the machine for a job's next task with the best image state, and among those the one with the least
// resources left free.
func (cycle *schedulingCycle) bestFit(j *job) *machine {
	allowed := cycle.groupFilter(j)
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
	cycle.evaluationsLeft -= max(1, evaluated) // a search that evaluates no machine has a cost too
	if !found {
		return nil
	}
	return target.machine
}

// evaluationsPerIndexLevel is the number of evaluations charged for a change of a machine's free resources, for each
// index level above the first.
const evaluationsPerIndexLevel = 4

// place places a task on a machine. The caller persists the placement when it is final; commands are sent only after it
// has been written.
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
	cycle.evaluationsLeft -= evaluationsPerIndexLevel * (cycle.params.fleet.index.Height() - 1)
	cycle.addUsage(j, 1)
	clear(cycle.infeasiblePreemptions)
	cycle.placed++
	cycle.work.TasksPlaced++
	return p
}

// revertPlacement undoes the most recent placement of this cycle. Its attempt was never written, so the attempt number
// can be reused.
func (cycle *schedulingCycle) revertPlacement(p *placement) {
	cycle.state.withdrawAttempt(p)
	p.job.removePlacement(p)
	p.job.nextUnplaced = min(p.job.nextUnplaced, p.task)
	target := p.machine.schedulable
	target.free.Add(resource.OfTask(p.job.spec))
	target.freeAfterStops.Add(resource.OfTask(p.job.spec))
	cycle.state.updateCapacityIndex(target)
	cycle.clearFailedRequests()
	cycle.addUsage(p.job, -1)
	cycle.placed--
	cycle.work.TasksReverted++
}

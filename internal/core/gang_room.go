package core

import (
	"bitternwing/internal/capacity"
	"bitternwing/internal/resource"
)

// gangZones are the zones in which there is room for all tasks of a job that has to be in a single zone.
type gangZones struct {
	job   *job
	zones map[string]bool
}

// groupFilter returns a predicate for the machine groups on which the job's next task may run, considering where there
// is room for the others that are placed with it.
func (cycle *schedulingCycle) groupFilter(j *job) func(capacity.Group) bool {
	allowed := j.groupFilter()
	if cycle.gangZones.job != j {
		return allowed
	}
	return func(g capacity.Group) bool { return cycle.gangZones.zones[g.Zone] && allowed(g) }
}

// findRoom reports whether the free resources of the machines hold a number of tasks of a job together. It counts the
// tasks that each machine holds, so its cost depends on the number of machines with room, not on the number of tasks.
// For a single task, it leaves the search to findMachine.
func (cycle *schedulingCycle) findRoom(j *job, need int) bool {
	if need <= 1 {
		return true
	}
	if request, cacheable := resourceRequestOf(j); cacheable && cycle.exhaustedRequests[request] {
		return false
	}
	room := gangRoom{need: need, byZone: map[string]int{}}
	if j.spec.SpreadZones {
		room.maxInZone = func(zone string) int {
			return j.maxTasksPerZone() - j.placementCountByZone[zone] - j.placementCountByZone[""]
		}
	}
	chooseZone := j.spec.SingleZone && len(j.placements) == 0
	task := resource.OfTask(j.spec)
	evaluated := cycle.params.fleet.index.VisitFree(j.groupFilter(), task, func(target *schedulableMachine) bool {
		if !cycle.state.avoidsMachine(j, target.machine) {
			room.add(target.machine.zone, target.free.Fit(task, need))
		}
		return chooseZone || room.total < need
	})
	cycle.evaluationsLeft -= max(1, evaluated)
	if !chooseZone {
		return room.total >= need
	}
	cycle.gangZones = gangZones{job: j, zones: room.sufficientZones()}
	return len(cycle.gangZones.zones) > 0
}

// gangRoom counts the tasks of a job for which there is room.
type gangRoom struct {
	need      int
	maxInZone func(zone string) int // how many of the tasks may be in a zone; nil: any number
	byZone    map[string]int
	total     int // over all zones, of each zone only as many as may be in it
}

// add adds room for a number of tasks in a zone.
func (room *gangRoom) add(zone string, tasks int) {
	before := room.usable(zone)
	room.byZone[zone] = min(room.need, room.byZone[zone]+tasks)
	room.total += room.usable(zone) - before
}

// usable returns how many of the tasks for which a zone has room may be in the zone.
func (room *gangRoom) usable(zone string) int {
	if room.maxInZone == nil {
		return room.byZone[zone]
	}
	return max(0, min(room.byZone[zone], room.maxInZone(zone)))
}

// sufficientZones returns the zones that have room for all tasks.
func (room *gangRoom) sufficientZones() map[string]bool {
	zones := map[string]bool{}
	for zone := range room.byZone {
		if room.usable(zone) >= room.need {
			zones[zone] = true
		}
	}
	return zones
}

// machineClass is a set of machines of a group that have the same size.
type machineClass struct {
	capacity.Group
	size resource.Amount
}

// fleetMayHold reports whether the machines that exist or are requested could hold all tasks of a job that run at the
// same time, if nothing else ran on them. For a job that they could not hold, it would be of no use to stop other tasks
// or to keep free resources from other jobs: it waits until there are more machines.
func (cycle *schedulingCycle) fleetMayHold(j *job) bool {
	if cycle.fleetSize == nil {
		cycle.fleetSize = cycle.state.fleetSize()
	}
	need := 1
	if !j.isArray() {
		need = j.unfinished()
	}
	room := gangRoom{need: need, byZone: map[string]int{}}
	if j.spec.SpreadZones {
		room.maxInZone = func(string) int { return j.maxTasksPerZone() }
	}
	for class, machines := range cycle.fleetSize {
		if j.allowsGroup(class.Group) {
			room.add(class.Zone, machines*class.size.Fit(resource.OfTask(j.spec), need))
		}
	}
	cycle.evaluationsLeft -= len(cycle.fleetSize) / checksPerEvaluation
	if j.spec.SingleZone {
		return len(room.sufficientZones()) > 0
	}
	return room.total >= need
}

// fleetSize returns the number of machines that exist or are requested, by class. Machines that are about to be lost
// are left out.
func (l *leader) fleetSize() map[machineClass]int {
	size := map[machineClass]int{}
	for _, m := range l.machinesByName {
		if m.machineType != nil && !m.releasing && !m.reclaiming && !m.quarantined {
			size[machineClass{m.group(), resource.OfMachine(m.machineType)}]++
		}
	}
	for _, request := range l.provisioner.requests {
		if machineType := l.core.catalog.machineType(request.Type); machineType != nil {
			size[machineClass{request.Group, resource.OfMachine(machineType)}] += request.count
		}
	}
	return size
}

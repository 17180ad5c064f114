package core

import (
	"maps"

	"bitternwing/internal/capacity"
	"bitternwing/internal/resource"
)

// packingDemand is a number of a job's tasks for which the capacity planner looks for machines.
type packingDemand struct {
	job   *job
	tasks int
	// additional is set for tasks of an array above those that found no machine in the scheduling cycle.
	additional bool
}

// demandsInTurn returns the unmet demand of the cycle, followed by the additional tasks of arrays, beginning with the
// demand at which the last plan stopped.
func (p *capacityPlanner) demandsInTurn() []packingDemand {
	var demands []packingDemand
	counted := map[*job]int{}
	for _, demand := range p.cycle.unmetDemand {
		counted[demand.job] += demand.tasks
		p.cycle.work.UnmetTasks += demand.tasks
		demands = append(demands, packingDemand{job: demand.job, tasks: demand.tasks})
	}
	for _, j := range p.cycle.state.queuedJobs() {
		if j.isArray() && p.cycle.schedulable(j) {
			demands = append(demands, packingDemand{job: j, tasks: j.unplaced() - counted[j], additional: true})
		}
	}
	if p.resumeFrom >= len(demands) {
		p.resumeFrom = 0
	}
	return append(demands[p.resumeFrom:len(demands):len(demands)], demands[:p.resumeFrom]...)
}

// packDemand packs the tasks of a demand into upcoming machines, and plans new machines for the others.
func (p *capacityPlanner) packDemand(demand packingDemand) {
	if demand.additional {
		p.planArray(demand.job, demand.tasks)
		return
	}
	tasks := demand.tasks - p.packUpcoming(demand.job, demand.tasks)
	for _, spot := range spotChoices(demand.job) {
		for tasks > 0 {
			m, wait := p.planMachine(demand.job, spot)
			if wait {
				return
			}
			if m == nil {
				break
			}
			tasks -= p.fill(m, demand.job, tasks)
		}
	}
}

// spotChoices returns whether a job may run on spot machines, which come first, and on others.
func spotChoices(j *job) []bool {
	if j.spec.Spot {
		return []bool{true, false}
	}
	return []bool{false}
}

// planArray plans machines for additional tasks of an array. A machine does no work while it boots, so one is requested
// only if there is enough work in proportion to its boot time.
func (p *capacityPlanner) planArray(j *job, tasks int) {
	if used := p.cycle.usage.ForTeam(j.spec.Team); j.team.MaxGPUs > 0 && j.spec.GPUs > 0 {
		tasks = min(tasks, int((j.team.MaxGPUs-used.GPUs)/j.spec.GPUs))
	}
	tasks -= p.packUpcoming(j, tasks)
	for _, spot := range spotChoices(j) {
		for tasks > 0 {
			m, wait := p.planMachine(j, spot)
			if wait {
				return
			}
			if m == nil {
				break
			}
			tasks -= p.fillNew(m, j, tasks)
			if !p.justifiesMachine(j, m) {
				p.removeLastMachine(m)
				return
			}
		}
	}
}

// packUpcoming packs up to the given number of tasks of a job into upcoming machines, the first ones first, and returns
// how many fit. Machines that are full for one job are left out for others with the same request.
func (p *capacityPlanner) packUpcoming(j *job, tasks int) int {
	request, shared := resourceRequestOf(j)
	first := 0
	if shared {
		first = p.fullBefore[request]
	}
	packed := 0
	for ; first < len(p.upcoming) && packed < tasks; first++ {
		packed += p.fill(p.upcoming[first], j, tasks-packed)
	}
	if shared {
		// The last machine may still hold more, unless tasks are left.
		if packed >= tasks {
			first = max(first-1, p.fullBefore[request])
		}
		p.fullBefore[request] = first
	}
	return packed
}

// fill packs up to the given number of tasks of a job into a machine, and returns how many fit.
func (p *capacityPlanner) fill(m *plannedMachine, j *job, tasks int) int {
	p.countCheck()
	fitting := m.free.Fit(resource.OfTask(j.spec), tasks)
	if fitting == 0 || !p.mayRunOn(j, m.Group) {
		return 0
	}
	if j.spec.SpreadZones {
		fitting = min(fitting, j.maxTasksPerZone()-p.zonesOf(j)[m.Zone])
	}
	p.assign(m, j, fitting)
	return fitting
}

// fillNew packs up to the given number of tasks of a job into a machine that was just planned for it, and returns how
// many fit. The zone constraints were checked by planMachine for the first task only; the scheduling cycle checks them
// for each task.
func (p *capacityPlanner) fillNew(m *plannedMachine, j *job, tasks int) int {
	fitting := m.free.Fit(resource.OfTask(j.spec), tasks)
	p.assign(m, j, fitting)
	return fitting
}

// countCheck counts a check of a machine or of a machine type.
func (p *capacityPlanner) countCheck() {
	p.checksLeft--
	p.cycle.work.MachineChecks++
}

func (p *capacityPlanner) assign(m *plannedMachine, j *job, tasks int) {
	p.cycle.work.TasksPacked += tasks
	m.free.SubtractTasks(resource.OfTask(j.spec), tasks)
	p.zonesOf(j)[m.Zone] += tasks
}

// zonesOf returns the number of a job's tasks in each zone, both placed and packed.
func (p *capacityPlanner) zonesOf(j *job) map[string]int {
	zones := p.zonesByJob[j]
	if zones == nil {
		zones = maps.Clone(j.placementCountByZone)
		p.zonesByJob[j] = zones
	}
	return zones
}

// mayRunOn reports whether a job's next task may run on machines of a group, given the zones of its other tasks, both
// placed and packed.
func (p *capacityPlanner) mayRunOn(j *job, group capacity.Group) bool {
	s := j.spec
	if !j.allowsGroup(group) {
		return false
	}
	if !s.SingleZone && !s.SpreadZones {
		return true
	}
	zones := p.zonesOf(j)
	if s.SingleZone && len(zones) > 0 && zones[group.Zone] == 0 {
		return false
	}
	return !s.SpreadZones || zones[group.Zone] < j.maxTasksPerZone()
}

// minMachineWorkBoots is the amount of array work, in boot times of a machine, that justifies another machine.
const minMachineWorkBoots = 0.5

// justifiesMachine reports whether the array work collected so far, including that of a job on a new machine, justifies
// the machine.
func (p *capacityPlanner) justifiesMachine(j *job, m *plannedMachine) bool {
	share := 1 - m.free.GPUs/max(1, m.machineType.GPUs)
	work := share * max(j.spec.EstimatedRunS, 1) / m.machineType.BootS
	p.pendingArrayWorkBoots += work
	if !m.Spot && j.spec.Spot {
		// An on-demand machine in place of a spot machine is justified only by more work.
		p.pendingArrayWorkBoots -= work * (1 - m.machineType.SpotPrice/m.machineType.Price)
	}
	if p.pendingArrayWorkBoots < minMachineWorkBoots {
		return false
	}
	p.pendingArrayWorkBoots--
	return true
}

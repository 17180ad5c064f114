package core

import (
	"bitternwing/internal/capacity"
	"bitternwing/internal/resource"
	"bitternwing/internal/wire"
)

// schedulableMachine is a machine that may be given tasks, with its free resources. During a cycle, both amounts
// include the placements and reservations of the cycle.
type schedulableMachine struct {
	machine        *machine
	free           resource.Amount
	freeAfterStops resource.Amount // free once all stopping tasks have ended
}

// schedulableMachines are the machines that may be given tasks, in the index that the scheduler searches.
type schedulableMachines struct {
	index      *capacity.Index[*schedulableMachine]
	catalog    *machineCatalog
	jobs       map[string]*job
	acceptance taskAcceptance
}

// newSchedulableMachines returns the schedulable machines of a leader, initially none.
func newSchedulableMachines(l *leader) schedulableMachines {
	return schedulableMachines{
		index:      capacity.NewIndex[*schedulableMachine](),
		catalog:    &l.core.catalog,
		jobs:       l.jobs,
		acceptance: l,
	}
}

// refresh updates the capacity index before a cycle. It covers machines that have become schedulable or unschedulable,
// and machines whose free resources have changed.
func (s *schedulableMachines) refresh(machines []*machine) {
	for _, m := range machines {
		if m.machineType == nil {
			m.setType(s.catalog.machineType(m.typeName))
		}
		switch usable := s.acceptance.acceptsTasks(m); {
		case !usable && m.schedulable != nil:
			s.remove(m)
		case usable && (m.schedulable == nil || m.capacityChanged || len(m.orphanedTasks) > 0):
			s.refreshMachine(m)
		}
	}
}

// refreshMachine recalculates the free resources of a machine and updates the index.
func (s *schedulableMachines) refreshMachine(m *machine) {
	if m.schedulable == nil {
		m.schedulable = &schedulableMachine{machine: m}
	}
	m.schedulable.free, m.schedulable.freeAfterStops = s.freeCapacity(m)
	m.capacityChanged = false
	s.update(m.schedulable)
}

// update updates a machine in the index after a change of its free resources.
func (s *schedulableMachines) update(changed *schedulableMachine) {
	s.index.Put(changed.machine.group(), resource.OfMachine(changed.machine.machineType), changed.indexEntry(), changed)
}

// group returns the index group of a machine.
func (m *machine) group() capacity.Group {
	return capacity.Group{Type: m.typeName, Zone: m.zone, Spot: m.spot}
}

// remove removes a machine from those that may be given tasks.
func (s *schedulableMachines) remove(m *machine) {
	m.schedulable = nil
	s.index.Remove(m.name)
}

// indexEntry returns the index entry of a machine.
func (s *schedulableMachine) indexEntry() capacity.MachineCapacity {
	entry := capacity.MachineCapacity{Name: s.machine.name, Free: s.free, FreeAfterStops: s.freeAfterStops}
	for _, p := range s.machine.placementsInOrder {
		// The search decides which of the jobs can be shrunk, and for which job.
		if p.stop == stopNone && p.job.isArray() {
			entry.Preemptible[priority(p.job)].Add(resource.OfTask(p.job.spec))
		}
	}
	for i := range s.machine.images {
		switch image := &s.machine.images[i]; image.state {
		case cachedImageReady:
			entry.Images.Ready.Add(image.bit)
		case cachedImageUnconfirmed:
			entry.Images.Unknown.Add(image.bit)
		case cachedImageFetching:
			entry.Images.Fetching.Add(image.bit)
		}
	}
	return entry
}

// freeCapacity returns the free resources of a machine now, and once all stopping tasks have ended. An orphaned task
// uses the resources of its job; if the job is unknown, the machine counts as full.
func (s *schedulableMachines) freeCapacity(m *machine) (free, freeAfterStops resource.Amount) {
	free = resource.OfMachine(m.machineType)
	for _, p := range m.placementsInOrder {
		free.Subtract(resource.OfTask(p.job.spec))
	}
	for _, t := range m.orphanedTasks {
		if id, _, ok := wire.ParseTaskName(t.Task); ok && s.jobs[id] != nil {
			free.Subtract(resource.OfTask(s.jobs[id].spec))
		} else {
			free = resource.Amount{}
		}
	}
	freeAfterStops = free
	for _, p := range m.placementsInOrder {
		if p.stop != stopNone {
			freeAfterStops.Add(resource.OfTask(p.job.spec))
		}
	}
	return free, freeAfterStops
}

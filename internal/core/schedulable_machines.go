package core

import (
	"bitternwing/internal/capacity"
	"bitternwing/internal/resource"
	"bitternwing/internal/wire"
)

// schedulableMachine is a machine that may be given tasks, with its free resources. Within a cycle both amounts count what
// the cycle has placed and reserved.
type schedulableMachine struct {
	machine        *machine
	free           resource.Amount
	freeAfterStops resource.Amount // free once all stopping tasks are gone
}

// schedulableMachines are the machines that may be given tasks, in the index in which the scheduler searches.
type schedulableMachines struct {
	index      *capacity.Index[*schedulableMachine]
	catalog    *machineCatalog
	jobs       map[string]*job
	acceptance taskAcceptance
}

// newSchedulableMachines makes the schedulable machines of a leader.
func newSchedulableMachines(l *leader) schedulableMachines {
	return schedulableMachines{
		index:      capacity.NewIndex[*schedulableMachine](),
		catalog:    &l.core.catalog,
		jobs:       l.jobs,
		acceptance: l,
	}
}

// refresh brings the capacity index up to date for a cycle: with the machines that have become schedulable or
// unschedulable, and those whose free resources have changed.
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

// refreshMachine works out a machine's free resources.
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

// group is the group of the index that a machine is in.
func (m *machine) group() capacity.Group {
	return capacity.Group{Type: m.typeName, Zone: m.zone, Spot: m.spot}
}

// remove removes a machine from those that may be given tasks.
func (s *schedulableMachines) remove(m *machine) {
	m.schedulable = nil
	s.index.Remove(m.name)
}

// indexEntry gives the entry of a machine in the index.
func (s *schedulableMachine) indexEntry() capacity.MachineCapacity {
	entry := capacity.MachineCapacity{Name: s.machine.name, Free: s.free, FreeAfterStops: s.freeAfterStops}
	for _, p := range s.machine.placementsInOrder {
		// Which of their jobs can be shrunk, and for whom, is decided in the search.
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

// freeCapacity gives what is free of a machine now, and once all that stops is gone.
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

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

// refreshCapacityIndex brings the capacity index up to date for a cycle: with the machines that have become schedulable or
// unschedulable, and those whose free resources have changed.
func (l *leader) refreshCapacityIndex() {
	for _, m := range l.machinesByName {
		if m.machineType == nil {
			m.setType(l.core.catalog.machineType(m.typeName))
		}
		switch usable := l.acceptsTasks(m); {
		case !usable && m.schedulable != nil:
			l.removeSchedulable(m)
		case usable && (m.schedulable == nil || m.capacityChanged || len(m.orphanedTasks) > 0):
			l.refreshSchedulable(m)
		}
	}
}

// refreshSchedulable works out a machine's free resources.
func (l *leader) refreshSchedulable(m *machine) {
	if m.schedulable == nil {
		m.schedulable = &schedulableMachine{machine: m}
	}
	m.schedulable.free, m.schedulable.freeAfterStops = l.freeCapacity(m)
	m.capacityChanged = false
	l.updateCapacityIndex(m.schedulable)
}

// updateCapacityIndex has the index know of a change of a machine's free resources.
func (l *leader) updateCapacityIndex(s *schedulableMachine) {
	l.capacityIndex.Put(s.machine.group(), resource.OfMachine(s.machine.machineType), s.indexEntry(), s)
}

// group is the group of the index that a machine is in.
func (m *machine) group() capacity.Group {
	return capacity.Group{Type: m.typeName, Zone: m.zone, Spot: m.spot}
}

// removeSchedulable removes a machine from those that may be given tasks.
func (l *leader) removeSchedulable(m *machine) {
	m.schedulable = nil
	l.capacityIndex.Remove(m.name)
}

// indexEntry gives what the index has to know of a machine.
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
func (l *leader) freeCapacity(m *machine) (free, freeAfterStops resource.Amount) {
	free = resource.OfMachine(m.machineType)
	for _, p := range m.placementsInOrder {
		free.Subtract(resource.OfTask(p.job.spec))
	}
	for _, t := range m.orphanedTasks {
		if id, _, ok := wire.ParseTaskName(t.Task); ok && l.jobs[id] != nil {
			free.Subtract(resource.OfTask(l.jobs[id].spec))
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

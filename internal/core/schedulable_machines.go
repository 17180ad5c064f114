package core

import (
	"bitternwing/internal/capacity"
	"bitternwing/internal/resource"
	"bitternwing/internal/wire"
)

// schedulableMachine is the room of a machine that may take tasks. Within a round both amounts count what the round has
// decided and holds back.
type schedulableMachine struct {
	machine        *machine
	free           resource.Amount
	freeAfterStops resource.Amount // free once what was told to stop is gone
}

// refreshCapacityIndex brings the index of room up to date for a round: machines that may take tasks now and could not
// before, or the other way, and those whose room has changed.
func (l *leader) refreshCapacityIndex() {
	for _, m := range l.machinesByName {
		if m.machineType == nil {
			m.setType(l.core.machineType(m.typeName))
		}
		switch usable := l.acceptsTasks(m); {
		case !usable && m.schedulable != nil:
			l.removeSchedulable(m)
		case usable && (m.schedulable == nil || m.capacityChanged || len(m.orphanedTasks) > 0):
			l.refreshSchedulable(m)
		}
	}
}

// refreshSchedulable works out a machine's room.
func (l *leader) refreshSchedulable(m *machine) {
	if m.schedulable == nil {
		m.schedulable = &schedulableMachine{machine: m}
	}
	m.schedulable.free, m.schedulable.freeAfterStops = l.freeCapacity(m)
	m.capacityChanged = false
	l.updateCapacityIndex(m.schedulable)
}

// updateCapacityIndex has the index know of a change of a host's room.
func (l *leader) updateCapacityIndex(h *schedulableMachine) {
	l.capacityIndex.Put(h.machine.group(), resource.OfMachine(h.machine.machineType), h.indexEntry(), h)
}

// group is the machines among which the index has this one.
func (m *machine) group() capacity.Group {
	return capacity.Group{Type: m.typeName, Zone: m.zone, Spot: m.spot}
}

// removeSchedulable takes a machine out of those that may take tasks.
func (l *leader) removeSchedulable(m *machine) {
	m.schedulable = nil
	l.capacityIndex.Remove(m.name)
}

// indexEntry gives what the index is to know of a host.
func (h *schedulableMachine) indexEntry() capacity.MachineCapacity {
	room := capacity.MachineCapacity{Name: h.machine.name, Free: h.free, FreeAfterStops: h.freeAfterStops}
	for _, p := range h.machine.placementsInOrder {
		// Which of them can be shrunk, and for whom, is for the search to find out.
		if p.stop == stopNone && p.job.isArray() {
			room.Preemptible[priority(p.job)].Add(resource.OfTask(p.job.spec))
		}
	}
	for i := range h.machine.images {
		switch image := &h.machine.images[i]; image.state {
		case cachedImageReady:
			room.Images.Ready.Add(image.bit)
		case cachedImageUnconfirmed:
			room.Images.Unknown.Add(image.bit)
		case cachedImageFetching:
			room.Images.Fetching.Add(image.bit)
		}
	}
	return room
}

// freeCapacity gives what is free of a machine now, and once all that stops is gone.
func (l *leader) freeCapacity(m *machine) (free, soon resource.Amount) {
	free = resource.OfMachine(m.machineType)
	for _, p := range m.placementsInOrder {
		free.Take(resource.OfTask(p.job.spec))
	}
	for _, t := range m.orphanedTasks {
		if id, _, ok := wire.ParseTaskName(t.Task); ok && l.jobs[id] != nil {
			free.Take(resource.OfTask(l.jobs[id].spec))
		} else {
			free = resource.Amount{}
		}
	}
	soon = free
	for _, p := range m.placementsInOrder {
		if p.stop != stopNone {
			soon.Give(resource.OfTask(p.job.spec))
		}
	}
	return free, soon
}

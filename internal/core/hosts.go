package core

import (
	"bitternwing/internal/capacity"
	"bitternwing/internal/resource"
	"bitternwing/internal/wire"
)

// host is the room of a machine that may take tasks. Within a round both amounts count what the round has
// decided and holds back.
type host struct {
	m    *machine
	free resource.Amount
	soon resource.Amount // free once what was told to stop is gone
}

// refreshHosts brings the index of room up to date for a round: machines that may take tasks now and could not
// before, or the other way, and those whose room has changed.
func (l *leader) refreshHosts() {
	for _, m := range l.machinesByName {
		if m.machineType == nil {
			m.setType(l.core.machineType(m.typeName))
		}
		switch usable := l.usable(m); {
		case !usable && m.schedulable != nil:
			l.dropHost(m)
		case usable && (m.schedulable == nil || m.capacityChanged || len(m.orphanedTasks) > 0):
			l.refreshHost(m)
		}
	}
}

// refreshHost works out a machine's room.
func (l *leader) refreshHost(m *machine) {
	if m.schedulable == nil {
		m.schedulable = &host{m: m}
	}
	m.schedulable.free, m.schedulable.soon = l.freeOf(m)
	m.capacityChanged = false
	l.updateHost(m.schedulable)
}

// updateHost has the index know of a change of a host's room.
func (l *leader) updateHost(h *host) {
	l.capacityIndex.Put(h.m.group(), resource.OfMachine(h.m.machineType), h.room(), h)
}

// group is the machines among which the index has this one.
func (m *machine) group() capacity.Group {
	return capacity.Group{Type: m.typeName, Zone: m.zone, Spot: m.spot}
}

// dropHost takes a machine out of those that may take tasks.
func (l *leader) dropHost(m *machine) {
	m.schedulable = nil
	l.capacityIndex.Remove(m.name)
}

// room gives what the index is to know of a host.
func (h *host) room() capacity.Room {
	room := capacity.Room{Name: h.m.name, Free: h.free, Soon: h.soon}
	for _, p := range h.m.placementsInOrder {
		// Which of them can be shrunk, and for whom, is for the search to find out.
		if p.stop == stopNone && p.job.isArray() {
			room.Stoppable[priority(p.job)].Add(resource.OfTask(p.job.spec))
		}
	}
	for i := range h.m.images {
		switch img := &h.m.images[i]; {
		case img.ready:
			room.Images.Ready.Add(img.bit)
		case img.unknown:
			room.Images.Unknown.Add(img.bit)
		default:
			room.Images.Fetching.Add(img.bit)
		}
	}
	return room
}

// freeOf gives what is free of a machine now, and once all that stops is gone.
func (l *leader) freeOf(m *machine) (free, soon resource.Amount) {
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

package core

import "slices"

func (m *machine) addPlacement(p *placement) {
	m.capacityChanged = true
	m.placements[p.name()] = p
	i, _ := slices.BinarySearchFunc(m.placementsInOrder, p, comparePlacements)
	m.placementsInOrder = slices.Insert(m.placementsInOrder, i, p)
}

func (m *machine) removePlacement(p *placement) {
	m.capacityChanged = true
	delete(m.placements, p.name())
	if i, ok := slices.BinarySearchFunc(m.placementsInOrder, p, comparePlacements); ok && m.placementsInOrder[i] == p {
		m.placementsInOrder = slices.Delete(m.placementsInOrder, i, i+1)
	}
}

// comparePlacements orders placements by job and task.
func comparePlacements(a, b *placement) int {
	switch {
	case a.job != b.job && a.job.queuedBefore(b.job):
		return -1
	case a.job != b.job:
		return 1
	}
	return a.task - b.task
}

// placementsSnapshot returns a copy of the machine's placements in order, so that placements may end while it is
// iterated.
func (m *machine) placementsSnapshot() []*placement { return slices.Clone(m.placementsInOrder) }

// endPlacement ends a placement whose attempt is not running on its machine and never will be.
func (l *leader) endPlacement(p *placement) {
	j := p.job
	if j.placements[p.task] != p {
		p.machine.removePlacement(p)
		return
	}
	j.removePlacement(p)
	if p.stop != stopNone {
		j.stopping--
	}
	if len(p.machine.placements) == 0 {
		p.machine.idleSince = l.core.now.Steady
	}
	j.nextUnplaced = min(j.nextUnplaced, p.task)
	l.records.markDirty(l.records.chunkOf(j, p.task))
	l.requestCycle()
	l.queueEndIfDone(j)
}

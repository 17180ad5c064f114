package core

import "slices"

// addPlacement adds a placement to the machine.
func (m *machine) addPlacement(p *placement) {
	m.capacityChanged = true
	m.placements[p.name()] = p
	i, _ := slices.BinarySearchFunc(m.placementsInOrder, p, comparePlacements)
	m.placementsInOrder = slices.Insert(m.placementsInOrder, i, p)
}

// removePlacement removes a placement from the machine.
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

// placementsSnapshot gives the machine's placements in order, in a list that stays as it is while they end.
func (m *machine) placementsSnapshot() []*placement { return slices.Clone(m.placementsInOrder) }

// endPlacement ends a placement: its attempt is not and will not be on its machine.
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
	l.finishIfDone(j)
}

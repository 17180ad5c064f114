package core

import (
	"slices"
	"sort"
	"time"

	"bitternwing/internal/capacity"
	"bitternwing/internal/fencing"
	"bitternwing/internal/wire"
)

// machine is a worker's machine as the leader knows it.
type machine struct {
	name, typeName, zone, addr string
	spot                       bool
	machineType                *wire.MachineType

	firstSeen     time.Duration // when this leader first knew of it
	requestedAt   time.Duration // when it was asked for, as far as known
	requestedHere bool          // by this leader
	inCloudList   bool          // seen in the cloud's list
	listedAt      time.Duration
	missedLists   int  // complete lists in a row that lack it
	everReported  bool // it has reported at some time, in this term or an earlier one

	reported      bool // it has reported in this term
	incarnation   uint64
	sequence      uint64
	lastHeartbeat time.Duration
	lastRelayed   time.Duration // when another node last passed a report of it on
	reclaiming    bool

	queryInFlight     bool
	queriedAt         time.Duration // when it was last asked directly
	queryAnsweredAt   time.Duration // when it last answered that
	unansweredQueries int           // questions in a row without an answer, since it was last heard

	heldResponse      *heldResponse         // to its last report; nil: none is held back
	lastHoldTime      time.Duration         // for how long the answer to its last report was to be held back
	placements        map[string]*placement // by task name
	placementsInOrder []*placement          // the same, by job and task
	schedulable       *schedulableMachine   // its room; nil while it may take no tasks
	capacityChanged   bool                  // since its room was worked out
	exitedTasks       []wire.TaskStatus     // exited tasks of the last report
	orphanedTasks     []wire.TaskStatus     // tasks it holds that no record explains
	releasing         bool
	// Why it is given back, and whether a request for that may have been carried out.
	releaseReason   releaseReason
	releaseSent     bool
	commandInFlight bool // direct commands are on the way
	fence           fencing.Fence
	directStarts    map[attemptName]uint64 // attempts started directly, and with which token
	idleSince       time.Duration
	images          []cachedImage // most recently used last
	noCapacityUntil time.Duration

	// Failure accounting, see faults.go.
	failures    map[string]int // by job, since something last started and ran well here
	lastFailure time.Duration  // when something last failed
	quarantined bool
}

type attemptName struct {
	task    string
	attempt uint64
}

type cachedImage struct {
	name  string
	bit   capacity.ImageBit
	gb    float64
	ready bool
	// unconfirmed tells that an earlier leader had it as ready, and that nothing has shown it since.
	unconfirmed bool
}

func newCachedImage(name string, gb float64) cachedImage {
	return cachedImage{name: name, bit: capacity.BitOf(name), gb: gb}
}

func (m *machine) add(p *placement) {
	m.capacityChanged = true
	m.placements[p.name()] = p
	i, _ := slices.BinarySearchFunc(m.placementsInOrder, p, comparePlacements)
	m.placementsInOrder = slices.Insert(m.placementsInOrder, i, p)
}

func (m *machine) remove(p *placement) {
	m.capacityChanged = true
	delete(m.placements, p.name())
	if i, ok := slices.BinarySearchFunc(m.placementsInOrder, p, comparePlacements); ok && m.placementsInOrder[i] == p {
		m.placementsInOrder = slices.Delete(m.placementsInOrder, i, i+1)
	}
}

func comparePlacements(a, b *placement) int {
	switch {
	case a.job != b.job && a.job.queuedBefore(b.job):
		return -1
	case a.job != b.job:
		return 1
	}
	return a.task - b.task
}

// placementsSnapshot gives the machine's placements in order, in a list that stays as it is while
// they end.
func (m *machine) placementsSnapshot() []*placement { return slices.Clone(m.placementsInOrder) }

// machineNamed gives a machine by name and takes it up if it is new.
func (l *leader) machineNamed(name string) *machine {
	if m := l.machines[name]; m != nil {
		return m
	}
	m := &machine{name: name, fence: fencing.NewFence(l.term), firstSeen: l.core.now.Steady, requestedAt: l.core.now.Steady, lastHeartbeat: l.lastHeardByPredecessor(name),
		idleSince: l.core.now.Steady, placements: map[string]*placement{}, failures: map[string]int{}}
	l.machines[name] = m
	l.applyImageHints(m)
	i := sort.Search(len(l.machinesByName), func(i int) bool { return l.machinesByName[i].name > name })
	l.machinesByName = append(l.machinesByName, nil)
	copy(l.machinesByName[i+1:], l.machinesByName[i:])
	l.machinesByName[i] = m
	return m
}

// setIdentity fills in what kind of machine it is.
func (m *machine) setIdentity(kind, zone, addr string, spot bool) {
	if zone != m.zone {
		for _, p := range m.placementsInOrder {
			if p.job.placements[p.task] == p {
				p.job.leaveZone(m.zone)
				p.job.placementsByZone[zone]++
				if model, ok := p.job.model(); ok && p.job.replicaLedger != nil {
					p.job.replicaLedger.Move(model, m.zone, zone, m.name)
				}
			}
		}
	}
	if kind != m.typeName || zone != m.zone || spot != m.spot {
		m.typeName, m.zone, m.spot = kind, zone, spot
		m.capacityChanged = true
	}
	if addr != "" {
		m.addr = addr
	}
}

// setType takes in what a machine's type is; nil: it is not known yet.
func (m *machine) setType(mt *wire.MachineType) {
	m.machineType = mt
	m.capacityChanged = true
}

// removeMachine drops a machine: there is evidence that it and all on it are no more.
func (l *leader) removeMachine(m *machine, why string) {
	for _, p := range m.placementsSnapshot() {
		l.endPlacement(p)
	}
	if l.machines[m.name] != m {
		return
	}
	l.sendHeldResponse(m)
	delete(l.machines, m.name)
	l.removeSchedulable(m)
	for i, x := range l.machinesByName {
		if x == m {
			l.machinesByName = append(l.machinesByName[:i], l.machinesByName[i+1:]...)
			break
		}
	}
	l.releasedMachines[m.name] = l.core.now.Steady
	l.core.log(Info, "worker removed", "worker", m.name, "reason", why)
	l.requestCycle()
}

// endPlacement ends a placement: its attempt is not and will not be on its machine.
func (l *leader) endPlacement(p *placement) {
	j := p.job
	if j.placements[p.task] != p {
		p.machine.remove(p)
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
	l.markDirty(l.chunkOf(j, p.task))
	l.requestCycle()
	l.finishIfDone(j)
}

// enterIncarnation takes a machine into a session. Direct commands of earlier ones are refused
// by the worker from then on.
func (m *machine) enterIncarnation(session uint64) {
	if session != m.incarnation {
		m.incarnation, m.directStarts = session, nil
	}
}

// lastHeardDirectlyOrRelayed is when a report of a machine last came, here or by another node.
func (m *machine) lastHeardDirectlyOrRelayed() time.Duration {
	return max(m.lastHeartbeat, m.lastRelayed)
}

// markImageReady notes that a machine has an image.
func (m *machine) markImageReady(name string) {
	for i := range m.images {
		if m.images[i].name == name {
			m.images[i].ready, m.images[i].unconfirmed = true, false
			m.capacityChanged = true
		}
	}
}

// addImage notes that a machine will have an image; the least recently used make way.
func (m *machine) addImage(name string, gb float64) {
	m.capacityChanged = true
	sum := gb
	img, found := m.removeImage(name)
	if !found {
		img = newCachedImage(name, gb)
	}
	m.images = append(m.images, img)
	if m.machineType == nil {
		return
	}
	for i := len(m.images) - 2; i >= 0; i-- {
		sum += m.images[i].gb
		if sum > m.machineType.CacheGB && m.machineType.CacheGB > 0 {
			m.images = append([]cachedImage(nil), m.images[i+1:]...)
			break
		}
	}
}

// removeImage takes an image out of the list of those that a machine has.
func (m *machine) removeImage(name string) (cachedImage, bool) {
	for i, img := range m.images {
		if img.name == name {
			m.images = append(m.images[:i], m.images[i+1:]...)
			return img, true
		}
	}
	return cachedImage{}, false
}

// cachedGB is how much a machine has in its cache, as far as known.
func (m *machine) cachedGB() float64 {
	sum := 0.0
	for _, img := range m.images {
		if img.ready {
			sum += img.gb
		}
	}
	return sum
}

// imageState of a machine for an image.
func (m *machine) imageState(name string) capacity.ImageState {
	w := capacity.ImageAbsent
	for i := range m.images {
		if m.images[i].name == name {
			if m.images[i].ready {
				return capacity.ImageReady
			}
			return capacity.ImageFetching
		}
		if !m.images[i].ready && !m.images[i].unconfirmed {
			w = capacity.ImageFetchShared
		}
	}
	return w
}

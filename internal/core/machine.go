package core

import (
	"slices"
	"strings"
	"time"

	"bitternwing/internal/fencing"
	"bitternwing/internal/wire"
)

// machine is the leader's state of a worker's machine.
type machine struct {
	name, typeName, zone, addr string
	spot                       bool
	machineType                *wire.MachineType

	// From the cloud's list and the state of earlier leaders.
	firstSeen     time.Duration // when this leader first heard of it
	requestedAt   time.Duration // when it was requested, as far as known
	requestedHere bool          // by this leader
	inCloudList   bool          // seen in the cloud's list
	listedAt      time.Duration
	missedLists   int  // complete lists in a row that lack it
	everReported  bool // it has sent a heartbeat at some time, in this term or an earlier one

	// From its heartbeats.
	reported      bool // it has sent one in this term
	incarnation   uint64
	sequence      uint64
	lastHeartbeat time.Duration
	lastRelayed   time.Duration // when one last came otherwise: relayed by another node, or as the answer to a status query
	reclaiming    bool
	exitedTasks   []wire.TaskStatus // exited tasks in the last one
	orphanedTasks []wire.TaskStatus // tasks in the last one that no record explains

	// Status queries of a machine that is silent, see livenessMonitor.
	queryInFlight     bool
	queriedAt         time.Duration // when its status was last queried
	queryAnsweredAt   time.Duration // when it last answered a query
	unansweredQueries int           // queries in a row without an answer, since it was last heard

	// The response to its last heartbeat, see heldResponses.
	heldResponse *heldResponse // nil: none is held
	lastHoldTime time.Duration // for how long the response was to be held

	// What is placed on it.
	placements        map[string]*placement // by task name
	placementsInOrder []*placement          // the same, by job and task
	schedulable       *schedulableMachine   // its free capacity; nil while it may take no tasks
	capacityChanged   bool                  // since its free capacity was last calculated
	idleSince         time.Duration
	images            imageCache
	noCapacityUntil   time.Duration

	// Its release, see provisioner.
	releasing     bool
	releaseReason releaseReason
	releaseSent   bool // a request for it may have been carried out

	// Direct commands, see commandDispatcher.
	commandInFlight bool
	fence           fencing.Fence
	directStarts    map[attemptName]uint64 // attempts started directly, and with which fencing token

	// Failure accounting, see failure_accounting.go.
	failures    map[string]int // by job, since something last started and ran well here
	lastFailure time.Duration  // when something last failed
	quarantined bool
}

// attemptName names an attempt at a task.
type attemptName struct {
	task    string
	attempt uint64
}

// machineNamed gives a machine by name and adds it if it is new.
func (l *leader) machineNamed(name string) *machine {
	if m := l.machines[name]; m != nil {
		return m
	}
	now := l.core.now.Steady
	m := &machine{
		name:          name,
		fence:         fencing.NewFence(l.term),
		firstSeen:     now,
		requestedAt:   now,
		lastHeartbeat: l.unreachableHints.lastHeard(name),
		idleSince:     now,
		placements:    map[string]*placement{},
		failures:      map[string]int{},
	}
	l.machines[name] = m
	l.imageHints.apply(m, l.queue)
	i, _ := slices.BinarySearchFunc(l.machinesByName, name, compareMachineName)
	l.machinesByName = slices.Insert(l.machinesByName, i, m)
	return m
}

func compareMachineName(m *machine, name string) int { return strings.Compare(m.name, name) }

// setIdentity sets what kind of machine it is, and where.
func (m *machine) setIdentity(typeName, zone, addr string, spot bool) {
	if zone != m.zone {
		m.movePlacements(zone)
	}
	if typeName != m.typeName || zone != m.zone || spot != m.spot {
		m.typeName, m.zone, m.spot = typeName, zone, spot
		m.capacityChanged = true
	}
	if addr != "" {
		m.addr = addr
	}
}

// movePlacements counts the machine's placements in another zone.
func (m *machine) movePlacements(zone string) {
	for _, p := range m.placementsInOrder {
		j := p.job
		if j.placements[p.task] != p {
			continue
		}
		j.leaveZone(m.zone)
		j.placementsByZone[zone]++
		if model, ok := j.model(); ok && j.replicaLedger != nil {
			j.replicaLedger.Move(model, m.zone, zone, m.name)
		}
	}
}

// setType sets the properties of the machine's type; nil: they are not known yet.
func (m *machine) setType(machineType *wire.MachineType) {
	m.machineType = machineType
	m.capacityChanged = true
}

// removeMachine drops a machine: there is evidence that it and all on it are no more.
func (l *leader) removeMachine(m *machine, reason string) {
	for _, p := range m.placementsSnapshot() {
		l.endPlacement(p)
	}
	if l.machines[m.name] != m {
		return
	}
	l.heldResponses.send(m)
	delete(l.machines, m.name)
	l.schedulable.remove(m)
	if i := slices.Index(l.machinesByName, m); i >= 0 {
		l.machinesByName = slices.Delete(l.machinesByName, i, i+1)
	}
	l.releasedMachines[m.name] = l.core.now.Steady
	l.core.log(Info, "worker removed", "worker", m.name, "reason", reason)
	l.requestCycle()
}

// enterIncarnation notes the incarnation of the machine's worker, which rejects direct commands for earlier ones.
func (m *machine) enterIncarnation(incarnation uint64) {
	if incarnation != m.incarnation {
		m.incarnation, m.directStarts = incarnation, nil
	}
}

// lastHeardDirectlyOrRelayed is when a heartbeat of the machine last came, here or by another node.
func (m *machine) lastHeardDirectlyOrRelayed() time.Duration {
	return max(m.lastHeartbeat, m.lastRelayed)
}

// lastHeardDirectly is when a heartbeat of the machine, or its answer to a status query, last came here.
func (m *machine) lastHeardDirectly() time.Duration {
	return max(m.lastHeartbeat, m.queryAnsweredAt)
}

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
	firstSeen       time.Duration // when this leader first learned of the machine
	requestedAt     time.Duration // when it was requested from the cloud, as far as known
	requestedInTerm bool          // this leader requested it in its term
	inCloudList     bool          // it was seen in the cloud's list
	listedAt        time.Duration
	missedLists     int  // consecutive complete lists that don't include it
	everReported    bool // it has sent a heartbeat in this term or an earlier one

	// From its heartbeats.
	reportedInTerm bool // it has sent a heartbeat in this term
	incarnation    uint64
	sequence       uint64
	lastHeartbeat  time.Duration
	lastRelayed    time.Duration // when a heartbeat was last relayed, or returned by a query or a direct command
	reclaiming     bool
	exitedTasks    []wire.TaskStatus // exited tasks in the last heartbeat
	orphanedTasks  []wire.TaskStatus // running tasks in the last heartbeat that have no placement

	// Status queries while the machine is silent, see livenessMonitor.
	queryInFlight     bool
	queriedAt         time.Duration // when its worker was last queried
	queryAnsweredAt   time.Duration // when its worker last answered a query
	unansweredQueries int           // consecutive queries without a response since it was last heard from

	// The response to its last heartbeat, see heldResponses.
	heldResponse *heldResponse // nil if none is held
	lastHoldTime time.Duration // how long the last response was to be held

	// Its placements and capacity.
	placements        map[string]*placement // by task name
	placementsInOrder []*placement          // the same placements, ordered by job and task
	schedulable       *schedulableMachine   // its free capacity; nil while it accepts no tasks
	capacityChanged   bool                  // its free capacity has to be recalculated
	idleSince         time.Duration
	images            imageCache
	noCapacityUntil   time.Duration

	// Its release, see provisioner.
	releasing           bool
	releaseReason       releaseReason
	releaseMaybeApplied bool // a release request may have been carried out

	// Direct commands, see commandDispatcher.
	commandInFlight bool
	fence           fencing.Fence
	directStarts    map[attemptName]uint64 // fencing tokens of attempts that were started directly

	// Failure accounting, see failure_accounting.go.
	failures    map[string]int // number of failures by job since a task last started and ran successfully here
	lastFailure time.Duration  // when a task last failed here
	quarantined bool
}

// attemptName identifies an attempt of a task.
type attemptName struct {
	task    string
	attempt uint64
}

// findOrAddMachine returns the machine with a name. It adds the machine if it is new.
func (l *leader) findOrAddMachine(name string) *machine {
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

// setIdentity sets the machine's type, zone and address and whether it is a spot machine.
func (m *machine) setIdentity(typeName, zone, addr string, spot bool) {
	if zone != m.zone {
		m.movePlacementsToZone(zone)
	}
	if typeName != m.typeName || zone != m.zone || spot != m.spot {
		m.typeName, m.zone, m.spot = typeName, zone, spot
		m.capacityChanged = true
	}
	if addr != "" {
		m.addr = addr
	}
}

// movePlacementsToZone updates the counts of placements by zone when the machine's zone changes.
func (m *machine) movePlacementsToZone(zone string) {
	for _, p := range m.placementsInOrder {
		j := p.job
		if j.placements[p.task] != p {
			continue
		}
		j.decrementZoneCount(m.zone)
		j.placementCountByZone[zone]++
		if model, ok := j.model(); ok && j.replicaCounts != nil {
			j.replicaCounts.Move(model, m.zone, zone, m.name)
		}
	}
}

// setType sets the properties of the machine's type, or nil if they are not known yet.
func (m *machine) setType(machineType *wire.MachineType) {
	m.machineType = machineType
	m.capacityChanged = true
}

// removeMachine removes a machine. There must be evidence that the machine and all tasks on it no longer exist.
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

// setIncarnation sets the incarnation of the machine's worker. Direct starts of an earlier incarnation are forgotten,
// because the worker rejects direct commands for it. A worker that loses its state begins with the first incarnation
// again, so the starts are invalidated as well.
func (m *machine) setIncarnation(incarnation uint64) {
	if incarnation == m.incarnation {
		return
	}
	m.invalidateDirectStarts(0)
	m.incarnation, m.directStarts = incarnation, nil
}

// invalidateDirectStarts raises the fencing token above those of all direct starts whose token is higher than the one
// that the worker has reported. Late copies of these starts are rejected once the worker has received a response.
func (m *machine) invalidateDirectStarts(reportedToken uint64) {
	for _, startToken := range m.directStarts {
		if startToken > reportedToken {
			m.fence.RaiseAbove(startToken)
		}
	}
}

// lastHeardDirectlyOrRelayed returns when this leader last received a heartbeat of the machine, from the worker itself
// or relayed by another node.
func (m *machine) lastHeardDirectlyOrRelayed() time.Duration {
	return max(m.lastHeartbeat, m.lastRelayed)
}

// lastHeardDirectly returns when the machine last sent this node a heartbeat or a response to a status query.
func (m *machine) lastHeardDirectly() time.Duration {
	return max(m.lastHeartbeat, m.queryAnsweredAt)
}

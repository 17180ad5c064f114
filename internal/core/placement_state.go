package core

import (
	"time"

	"bitternwing/internal/capacity"
	"bitternwing/internal/wire"
)

// placement is an attempt of a task on a machine. It exists from the moment it is decided until there is evidence that the
// attempt does not run there and never will.
type placement struct {
	job                 *job
	task                int
	attempt             uint64
	machine             *machine
	incarnation         uint64
	phase               placementPhase
	startSequence       uint64              // of the heartbeat in whose response its start was sent
	directStartToken    uint64              // the fencing token with which its start was sent directly; 0: it was not
	directStartInFlight bool                // a direct start is sent and not answered yet
	directStartSequence uint64              // the worker's sequence number in that answer; 0: none came
	imageState          capacity.ImageState // on its machine when it was placed
	cost                placementCost       // of a replica: what its placement cost
	state               wire.TaskState      // in the last heartbeat
	placedAt            time.Duration
	runningSince        time.Duration // when first seen running; 0: not yet
	// lastReconciliation is the last reconciliation of the leader, by its count, in which the machine held the placement.
	lastReconciliation uint64
	taskName           string // of the protocol; empty: not worked out yet
	stop               stopMode
	stopReason         stopReason
	stopSent           bool // the stop was sent directly; responses to heartbeats repeat it
}

type placementPhase int

const (
	phaseUncommitted placementPhase = iota // not yet written to the store: nothing was sent
	phaseCommitted                         // may be sent
	phaseSent                              // sent by this leader, or perhaps by an earlier one
	phaseReported                          // in a heartbeat of the machine
)

type stopMode int

const (
	stopNone stopMode = iota
	stopAfterCheckpoint
	stopImmediate
)

// stopReason is why a placement is stopped, for the log.
type stopReason string

const (
	stopCancelled          stopReason = "cancelled"
	stopDrain              stopReason = "drain"          // its machine is released or reclaimed
	stopPreempted          stopReason = "shrunk"         // by a job that lacks its minimum
	stopRebalanced         stopReason = "moved"          // its model's replicas are brought back into balance
	stopCompletedElsewhere stopReason = "done elsewhere" // another attempt has completed
)

// startSequenceUnknown marks a placement of an earlier term, whose start may have gone out.
const startSequenceUnknown = ^uint64(0)

// requestStop has a placement stopped. One that is being stopped already gets the new mode.
func (p *placement) requestStop(mode stopMode, reason stopReason) {
	if p.stop == stopNone {
		p.job.stopping++
	}
	p.stop, p.stopReason = mode, reason
	p.machine.capacityChanged = true
}

// addPlacement adds a placement to its job and its machine.
func (j *job) addPlacement(p *placement) {
	j.placements[p.task] = p
	j.placementsByZone[p.machine.zone]++
	p.countReplica(true)
	p.machine.addPlacement(p)
}

// removePlacement removes a placement from its job and its machine.
func (j *job) removePlacement(p *placement) {
	delete(j.placements, p.task)
	j.leaveZone(p.machine.zone)
	p.countReplica(false)
	p.machine.removePlacement(p)
}

func (j *job) leaveZone(zone string) {
	if j.placementsByZone[zone]--; j.placementsByZone[zone] == 0 {
		delete(j.placementsByZone, zone)
	}
}

func (p *placement) name() string {
	if p.taskName == "" {
		p.taskName = wire.TaskName(p.job.id, p.task)
	}
	return p.taskName
}

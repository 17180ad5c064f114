package core

import (
	"time"

	"bitternwing/internal/capacity"
	"bitternwing/internal/wire"
)

// placement is an attempt at a task on a machine. It exists from the decision to place the task until there is evidence
// that the attempt is not running on the machine and never will.
type placement struct {
	job                 *job
	task                int
	attempt             uint64
	machine             *machine
	incarnation         uint64
	phase               placementPhase
	startSequence       uint64              // sequence number of the heartbeat whose response carried the start command
	directStartToken    uint64              // fencing token with which the start was sent directly; 0 if it was not
	directStartInFlight bool                // a direct start was sent and has no result yet
	directStartSequence uint64              // sequence number of the heartbeat in the response to the direct start; 0 if there was none
	imageState          capacity.ImageState // state of the image on the machine at the time of placement
	cost                placementCost       // cost of the placement of a replica
	state               wire.TaskState      // state in the last heartbeat
	placedAt            time.Duration
	runningSince        time.Duration // when first reported running; 0 if it was not yet
	// lastReconciliation is the number of the leader's last reconciliation in which the machine held the placement.
	lastReconciliation uint64
	taskName           string // name in the protocol, computed on first use
	stop               stopMode
	stopReason         stopReason
	stopSent           bool // the stop was sent directly; heartbeat responses repeat it
}

// placementPhase is the progress of a placement from the decision to the first heartbeat that reports it.
type placementPhase int

const (
	phaseUncommitted placementPhase = iota // not written to the store yet; no command was sent
	phaseCommitted                         // written; its start may be sent
	phaseSent                              // its start was sent by this leader, or possibly by an earlier one
	phaseReported                          // included in a heartbeat of the machine
)

// stopMode is the way in which a placement is stopped.
type stopMode int

const (
	stopNone stopMode = iota
	stopAfterCheckpoint
	stopImmediate
)

// stopReason is the reason for stopping a placement, for the log.
type stopReason string

const (
	stopCancelled          stopReason = "cancelled"
	stopDrain              stopReason = "drain"               // the machine is being released or reclaimed
	stopPreempted          stopReason = "shrunk"              // to free resources for another job
	stopRebalanced         stopReason = "moved"               // to bring its model's replicas back into balance
	stopCompletedElsewhere stopReason = "completed elsewhere" // another attempt has completed the task
)

// startSequenceUnknown marks a placement of an earlier term, whose start may have been sent.
const startSequenceUnknown = ^uint64(0)

// requestStop requests that a placement be stopped. If it is already being stopped, the mode and the reason are
// replaced.
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
	j.placementCountByZone[p.machine.zone]++
	p.countReplica(true)
	p.machine.addPlacement(p)
}

// removePlacement removes a placement from its job and its machine.
func (j *job) removePlacement(p *placement) {
	delete(j.placements, p.task)
	j.decrementZoneCount(p.machine.zone)
	p.countReplica(false)
	p.machine.removePlacement(p)
}

func (j *job) decrementZoneCount(zone string) {
	if j.placementCountByZone[zone]--; j.placementCountByZone[zone] == 0 {
		delete(j.placementCountByZone, zone)
	}
}

func (p *placement) name() string {
	if p.taskName == "" {
		p.taskName = wire.TaskName(p.job.id, p.task)
	}
	return p.taskName
}

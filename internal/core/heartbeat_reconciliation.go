package core

import (
	"time"

	"bitternwing/internal/fencing"
	"bitternwing/internal/wire"
)

// reconciler reconciles the leader's state with the heartbeats of workers: the properties of each machine, and which of
// its tasks are running, have exited or are missing.
type reconciler struct {
	core             *Core
	term             uint64
	jobs             map[string]*job
	machines         map[string]*machine
	releasedMachines map[string]time.Duration
	heldResponses    *heldResponses
	commands         *commandBuilder
	provisioner      *provisioner
	failures         *failureAccounting
	records          doneRecords
	actions          reconcilerActions

	changes         *changeCounter
	reconciliations uint64 // number of heartbeats reconciled so far
}

// doneRecords records which tasks are done.
type doneRecords interface {
	isDone(j *job, task int) bool
	setDone(j *job, task int)
}

// reconcilerActions are the leader's operations that the reconciler uses.
type reconcilerActions interface {
	placementEnder
	recoveryState
	findOrAddMachine(name string) *machine
	queueEndIfDone(j *job)
	requestCycle()
}

// changeCounter counts changes of the leader's state. A heartbeat that causes no change needs no further work.
type changeCounter struct{ count uint64 }

// increment counts a change.
func (c *changeCounter) increment() { c.count++ }

// newReconciler returns the reconciler of a leader.
func newReconciler(l *leader) *reconciler {
	return &reconciler{
		core:             l.core,
		term:             l.term,
		jobs:             l.jobs,
		machines:         l.machines,
		releasedMachines: l.releasedMachines,
		heldResponses:    l.heldResponses,
		commands:         l.commands,
		provisioner:      &l.provisioner,
		failures:         &l.failures,
		records:          &l.records,
		actions:          l,
		changes:          &l.changes,
	}
}

// heartbeatOrigin tells whether a worker sent a heartbeat periodically or was asked for it.
type heartbeatOrigin int

const (
	// originPeriodic: the worker sent it periodically, to this node or to one that relays it.
	originPeriodic heartbeatOrigin = iota
	// originRequested: the worker returned it in response to a query or a direct command. It may arrive while a response
	// with a start command is still in flight.
	originRequested
)

// reconcileHeartbeat reconciles the state with a heartbeat and adds commands to its response. It returns the basis on
// which the response may renew the worker's lease.
func (r *reconciler) reconcileHeartbeat(heartbeat *wire.Heartbeat, response *leaseResponse) LeaseBasis {
	if !r.actions.hasRecovered() {
		return RecoveringLeaderBasis // the placements are not known yet
	}
	if _, released := r.releasedMachines[heartbeat.Machine]; released {
		return RemovedMachineBasis
	}
	m := r.actions.findOrAddMachine(heartbeat.Machine)
	if m.isStale(heartbeat) {
		// A delayed or duplicate heartbeat is no evidence, and its worker no longer waits for the response. But the worker
		// may also have lost its state and begun anew. It has forgotten its attempts and its fencing token then.
		m.invalidateDirectStarts(heartbeat.FencingToken)
		return StaleHeartbeatBasis
	}
	r.heldResponses.supersede(m)
	r.handleRegistration(m, heartbeat)
	r.updateFencingRequirement(m, heartbeat)
	m.applyHeartbeat(heartbeat)
	m.lastHeartbeat, m.lastHoldTime = r.core.now.Steady, 0
	r.provisioner.cancelRelease(m)
	r.handleReclaimNotice(m, heartbeat)
	r.reconcileTasks(m, heartbeat, originPeriodic)
	r.commands.addCommands(m, heartbeat, response)
	return LeaderBasis
}

// reconcileIndirect reconciles the state with a heartbeat that another node relayed or that the worker returned in
// response to a query or a direct command. Such a heartbeat shows which tasks the machine has and that it is alive. Its
// response, if there is one, is sent by the relaying node and carries no start commands.
func (r *reconciler) reconcileIndirect(heartbeat *wire.Heartbeat, origin heartbeatOrigin) {
	m := r.machines[heartbeat.Machine]
	if !r.actions.hasRecovered() || m == nil || m.isStale(heartbeat) {
		return
	}
	m.lastRelayed = r.core.now.Steady
	m.applyHeartbeat(heartbeat)
	r.provisioner.cancelRelease(m)
	m.reclaiming = m.reclaiming || heartbeat.ReclaimNoticeS != nil
	r.reconcileTasks(m, heartbeat, origin)
}

// isStale reports whether a heartbeat is no newer than the last one that was reconciled in this term.
func (m *machine) isStale(heartbeat *wire.Heartbeat) bool {
	return m.reportedInTerm && !isNewer(heartbeat, m.incarnation, m.sequence)
}

// isNewer reports whether a heartbeat was sent after the one with the given incarnation and sequence number.
func isNewer(heartbeat *wire.Heartbeat, incarnation, sequence uint64) bool {
	if heartbeat.Incarnation != incarnation {
		return heartbeat.Incarnation > incarnation
	}
	return heartbeat.Sequence > sequence
}

// applyHeartbeat updates the machine's identity, incarnation and sequence number from a heartbeat.
func (m *machine) applyHeartbeat(heartbeat *wire.Heartbeat) {
	m.setIdentity(heartbeat.Type, heartbeat.Zone, heartbeat.Addr, heartbeat.Spot)
	m.setIncarnation(heartbeat.Incarnation)
	m.reportedInTerm, m.everReported, m.missedLists = true, true, 0
	m.sequence = heartbeat.Sequence
}

// handleRegistration handles the first heartbeat of a worker in this term or of a new incarnation.
func (r *reconciler) handleRegistration(m *machine, heartbeat *wire.Heartbeat) {
	if heartbeat.Incarnation != m.incarnation || !m.reportedInTerm {
		r.changes.increment()
	}
	if !m.reportedInTerm {
		r.core.log(Debug, "worker registered", "worker", m.name, "after", (r.core.now.Steady - m.requestedAt).String())
		r.actions.requestCycle()
	}
}

// updateFencingRequirement requires a machine to show a fencing token if responses may not reach it or if its heartbeat
// may be a delayed copy. After a silence the machine has the full time again to show the token.
func (r *reconciler) updateFencingRequirement(m *machine, heartbeat *wire.Heartbeat) {
	now := r.core.now.Steady
	switch {
	case !m.reportedInTerm && m.isUnknown() && fencing.TermOf(heartbeat.FencingToken) < r.term:
		// The heartbeat may be a delayed copy from a machine that no longer exists.
		r.requireFencingToken(m, fencing.FirstToken(r.term))
	case m.reportedInTerm && heartbeat.Incarnation > m.incarnation:
		r.core.log(Info, "worker restarted with new incarnation", "worker", m.name, "tasks", len(m.placements))
		if now-m.lastHeartbeat < r.core.times.lease/2 {
			// The worker's lease expired although its heartbeats arrived and responses were sent.
			r.requireFencingToken(m, m.fence.Token()+1)
		}
	}
	if now-m.lastHeartbeat > r.core.times.heartbeatTimeout {
		m.fence.RestartRequirement(now)
	}
}

// isUnknown reports whether this leader has neither seen the machine in the cloud's list nor requested it.
func (m *machine) isUnknown() bool { return !m.inCloudList && !m.requestedInTerm }

// handleReclaimNotice records the first notice in a heartbeat that the cloud will reclaim the machine.
func (r *reconciler) handleReclaimNotice(m *machine, heartbeat *wire.Heartbeat) {
	if heartbeat.ReclaimNoticeS == nil || m.reclaiming {
		return
	}
	m.reclaiming = true
	r.core.log(Info, "worker reclaim notice", "worker", m.name, "in_s", *heartbeat.ReclaimNoticeS)
	r.actions.requestCycle()
}

// requireFencingToken requires a machine to show a fencing token before it is given tasks. A machine that does not show
// it for half a lease is released (livenessMonitor).
func (r *reconciler) requireFencingToken(m *machine, token uint64) {
	m.fence.Require(token, r.core.now.Steady)
	r.changes.increment()
}

package core

import (
	"time"

	"bitternwing/internal/fencing"
	"bitternwing/internal/wire"
)

// reconciler reconciles the leader's state with the heartbeats of workers: what a machine is, and which of its tasks run,
// have exited or are missing.
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
	reconciliations uint64 // heartbeats that were reconciled
}

// doneRecords are the records of the tasks that are done.
type doneRecords interface {
	isDone(j *job, task int) bool
	setDone(j *job, task int)
}

// reconcilerActions is what the reconciler has the leader do.
type reconcilerActions interface {
	placementEnder
	recoveryState
	machineNamed(name string) *machine
	finishIfDone(j *job)
	requestCycle()
}

// changeCounter counts changes of the leader's state: a heartbeat that brings none needs no further work.
type changeCounter struct{ count uint64 }

// observe counts a change.
func (c *changeCounter) observe() { c.count++ }

// newReconciler makes the reconciler of a leader.
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

// heartbeatOrigin is how a heartbeat came to this node.
type heartbeatOrigin int

const (
	// originWorker: the worker sent it by itself, to this node or to one that relays it.
	originWorker heartbeatOrigin = iota
	// originQuery: the worker was queried for it. It may come while a response with a start is still on its way.
	originQuery
)

// reconcileHeartbeat reconciles the state with a heartbeat and adds commands to its response.
func (r *reconciler) reconcileHeartbeat(heartbeat *wire.Heartbeat, response *leaseResponse) LeaseBasis {
	if !r.actions.hasRecovered() {
		return RecoveringLeaderBasis // the placements are not yet known
	}
	if _, released := r.releasedMachines[heartbeat.Machine]; released {
		return RemovedMachineBasis
	}
	m := r.actions.machineNamed(heartbeat.Machine)
	if m.isStale(heartbeat) {
		// A late copy. It proves nothing, and its response reaches nobody.
		return StaleHeartbeatBasis
	}
	r.heldResponses.supersede(m)
	r.observeRegistration(m, heartbeat)
	r.checkContact(m, heartbeat)
	m.applyHeartbeat(heartbeat)
	m.lastHeartbeat, m.lastHoldTime = r.core.now.Steady, 0
	r.provisioner.cancelRelease(m)
	r.observeReclaimNotice(m, heartbeat)
	r.reconcileTasks(m, heartbeat, originWorker)
	r.commands.addCommands(m, heartbeat, response)
	return LeaderBasis
}

// reconcileIndirect reconciles the state with a heartbeat that another node has relayed, or that the worker was queried
// for. It is evidence, and shows that the machine is alive; but its response carries no starts.
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

// isStale tells whether a heartbeat is no newer than one that was reconciled before in this term.
func (m *machine) isStale(heartbeat *wire.Heartbeat) bool {
	return m.reported && !isNewer(heartbeat, m.incarnation, m.sequence)
}

// isNewer tells whether a heartbeat was sent after the one of an incarnation with a sequence number.
func isNewer(heartbeat *wire.Heartbeat, incarnation, sequence uint64) bool {
	if heartbeat.Incarnation != incarnation {
		return heartbeat.Incarnation > incarnation
	}
	return heartbeat.Sequence > sequence
}

// applyHeartbeat updates the machine's own state: its identity, incarnation and sequence number.
func (m *machine) applyHeartbeat(heartbeat *wire.Heartbeat) {
	m.setIdentity(heartbeat.Type, heartbeat.Zone, heartbeat.Addr, heartbeat.Spot)
	m.enterIncarnation(heartbeat.Incarnation)
	m.reported, m.everReported, m.missedLists = true, true, 0
	m.sequence = heartbeat.Sequence
}

// observeRegistration notes the first heartbeat of a worker in this term, or of its incarnation.
func (r *reconciler) observeRegistration(m *machine, heartbeat *wire.Heartbeat) {
	if heartbeat.Incarnation != m.incarnation || !m.reported {
		r.changes.observe()
	}
	if !m.reported {
		r.core.log(Debug, "worker registered", "worker", m.name, "after", (r.core.now.Steady - m.requestedAt).String())
		r.actions.requestCycle()
	}
}

// checkContact requires that a machine shows a fencing token where responses may not reach it, or where its heartbeat
// may be a late copy.
func (r *reconciler) checkContact(m *machine, heartbeat *wire.Heartbeat) {
	now := r.core.now.Steady
	switch {
	case !m.reported && m.isUnknown() && fencing.TermOf(heartbeat.FencingToken) < r.term:
		// Its heartbeat may be a late copy, of a machine long gone.
		r.requireFencingToken(m, fencing.FirstToken(r.term))
	case m.reported && heartbeat.Incarnation > m.incarnation:
		r.core.log(Info, "worker restarted with new incarnation", "worker", m.name, "tasks", len(m.placements))
		if now-m.lastHeartbeat < r.core.times.lease/2 {
			// Its lease expired although its heartbeats arrived and responses were sent.
			r.requireFencingToken(m, m.fence.Token()+1)
		}
	}
	if now-m.lastHeartbeat > r.core.times.heartbeatTimeout {
		m.fence.RestartRequirement(now)
	}
}

// isUnknown tells whether this leader has neither seen a machine in the cloud's list nor requested it.
func (m *machine) isUnknown() bool { return !m.inCloudList && !m.requestedHere }

// observeReclaimNotice notes that the cloud will reclaim a machine.
func (r *reconciler) observeReclaimNotice(m *machine, heartbeat *wire.Heartbeat) {
	if heartbeat.ReclaimNoticeS == nil || m.reclaiming {
		return
	}
	m.reclaiming = true
	r.core.log(Info, "worker reclaim notice", "worker", m.name, "in_s", *heartbeat.ReclaimNoticeS)
	r.actions.requestCycle()
}

// requireFencingToken makes a machine show a fencing token before it gets work. One that does not for half a lease is
// released (livenessMonitor).
func (r *reconciler) requireFencingToken(m *machine, token uint64) {
	m.fence.Require(token, r.core.now.Steady)
	r.changes.observe()
}

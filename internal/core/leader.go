package core

import (
	"time"

	"bitternwing/internal/stored"
	"bitternwing/internal/topologyspread"
)

// leader is the state of a node that leads a term. It wires the components of a leader and runs them in order.
// State that several components share is a field of the leader; state that only one uses is a field of that component.
//
// All of it is rebuilt at the start of a term, first from the key-value store (leaderRecovery), then from the workers'
// heartbeats.
type leader struct {
	core *Core
	leaderAuthority
	termCalls

	// The term, and the version of the term key, on which every write of the leader is conditional.
	term        uint64
	termVersion uint64
	startedAt   time.Duration
	recovered   bool // the state of earlier terms has been restored

	// Jobs.
	jobs               map[string]*job
	queue              []*job // ordered by job.position
	appliedEvaluations uint64 // evaluation count of the dependency graph when it was last applied
	records            runRecords

	// Machines.
	machines         map[string]*machine
	machinesByName   []*machine               // sorted by name
	releasedMachines map[string]time.Duration // removal times by name; late heartbeats of these machines are not reconciled
	schedulable      schedulableMachines
	replicaCounts    *topologyspread.ReplicaCounts
	nextFleetCheck   time.Duration // when machines and cancelled jobs are checked next

	// changes counts state changes: a heartbeat that causes none needs no further work.
	changes changeCounter

	// Heartbeats and commands.
	liveness      *livenessMonitor
	failures      failureAccounting
	reconciler    *reconciler
	commands      *commandBuilder
	heldResponses *heldResponses
	dispatcher    *commandDispatcher

	// Scheduling and provisioning.
	cycles      cycleSchedule
	rebalancing rebalancing
	provisioner provisioner
	prefetches  imagePrefetcher
	rollouts    *rolloutManager
	quotas      *quotaManager

	// Key-value store.
	recovery         *leaderRecovery
	writer           writer
	layoutMigration  layoutMigration
	termUpgrade      termFormatUpgrade
	imageHints       imageHints
	unreachableHints unreachableHints
}

// newLeader returns the leader of a term that was just won. It has yet to recover the state of earlier terms.
func newLeader(c *Core, term, version uint64) *leader {
	l := &leader{
		core:             c,
		leaderAuthority:  leaderAuthority{core: c},
		term:             term,
		termVersion:      version,
		startedAt:        c.now.Steady,
		jobs:             map[string]*job{},
		machines:         map[string]*machine{},
		releasedMachines: map[string]time.Duration{},
		replicaCounts:    topologyspread.NewReplicaCounts(),
	}
	l.termCalls = termCalls{core: c, owner: l}
	l.records = runRecords{limits: c.limits, changes: &l.changes}
	l.schedulable = newSchedulableMachines(l)
	l.wireHeartbeats()
	l.rollouts = newRolloutManager(l)
	l.quotas = newQuotaManager(l)
	l.wireStore()
	l.provisioner.init(l)
	l.prefetches = newImagePrefetcher(l)
	l.cycles.nextAt = c.now.Steady
	return l
}

// wireHeartbeats creates the components that handle heartbeats and send commands, dependencies first.
func (l *leader) wireHeartbeats() {
	l.failures = failureAccounting{core: l.core, jobs: l.jobs, machines: l.machines}
	l.commands = newCommandBuilder(l)
	l.heldResponses = newHeldResponses(l)
	l.reconciler = newReconciler(l)
	l.liveness = newLivenessMonitor(l)
	l.dispatcher = newCommandDispatcher(l)
}

// wireStore creates the components that read and write the key-value store.
func (l *leader) wireStore() {
	now := l.core.now.Steady
	l.recovery = newLeaderRecovery(l)
	l.writer.init(l)
	l.layoutMigration.leader = l
	l.termUpgrade.leader = l
	l.unreachableHints = unreachableHints{leader: l, nextWrite: now + l.core.times.checkInterval}
	l.imageHints = imageHints{core: l.core, writer: &l.writer, lastWrite: now, shards: newShardWriter(l, stored.ImageHintKey)}
}

// hasRecovered reports whether the state of earlier terms has been restored.
func (l *leader) hasRecovered() bool { return l.recovered }

// run runs the work of every component that is due. Each component schedules its own next wake-up.
func (l *leader) run() {
	if !l.recovered {
		l.core.beginPhase(PhaseRecovery)
		l.recovery.run()
		if !l.recovered {
			return
		}
	}
	l.core.beginPhase(PhaseFleet)
	l.applyDependencyChanges()
	l.quotas.run()
	l.checkFleet()
	l.runSchedulingCycle()
	l.core.beginPhase(PhaseWrites)
	l.layoutMigration.run()
	l.termUpgrade.run()
	l.rollouts.run()
	l.prefetches.run()
	l.writer.run()
	l.core.beginPhase(PhaseCommands)
	l.dispatcher.run()
	l.heldResponses.sendDue(l.machinesByName)
	l.provisioner.run()
	l.imageHints.run(l.machinesByName)
	l.unreachableHints.run()
}

// checkFleet checks the machines and the cancelled jobs when the next check is due.
func (l *leader) checkFleet() {
	now := l.core.now.Steady
	if now >= l.nextFleetCheck {
		l.nextFleetCheck = l.core.coalesce(now + 1)
		l.liveness.check(l.machinesByName)
		l.enforceCancellations()
		l.provisioner.releaseUnbooted()
		l.core.warnOfUndersizedSettings(len(l.machinesByName))
	}
	l.core.wakeBy(l.nextFleetCheck)
}

// rejectPendingRequests rejects or redirects the requests that wait for this leader, at the end of its term.
func (l *leader) rejectPendingRequests() {
	l.heldResponses.redirectAll(l.machinesByName)
	l.rollouts.rejectPending()
	l.quotas.rejectPending()
}

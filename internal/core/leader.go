package core

import (
	"time"

	"bitternwing/internal/stored"
	"bitternwing/internal/topologyspread"
)

// leader is a controller that leads a term. It wires the components that do the work of a leader and runs them in order.
// What several of them share is a field of the leader; what only one uses is a field of that component.
//
// All of it is rebuilt when a term begins: first from the key-value store (leaderRecovery), then from the heartbeats of the
// workers.
type leader struct {
	core *Core
	leaderAuthority
	termCalls

	// The term, and the version of its key, on which every write is conditional.
	term        uint64
	termVersion uint64
	startedAt   time.Duration
	recovered   bool // the state of earlier terms is restored

	// The jobs.
	jobs             map[string]*job
	queue            []*job // by acceptance
	dependenciesSeen uint64 // evaluations of the dependency graph that were followed
	records          runRecords

	// The machines.
	machines         map[string]*machine
	machinesByName   []*machine               // by name
	releasedMachines map[string]time.Duration // names of released machines, whose late heartbeats don't count
	schedulable      schedulableMachines
	replicaLedger    *topologyspread.ReplicaCounts
	nextFleetCheck   time.Duration // when the machines and the cancelled jobs are checked next

	// changes counts for the reconciler what changes at a heartbeat.
	changes changeCounter

	// Heartbeats and commands.
	liveness      *livenessMonitor
	failures      failureAccounting
	reconciler    *reconciler
	commands      *commandBuilder
	heldResponses *heldResponses
	dispatcher    *commandDispatcher

	// Scheduling and provisioning.
	cycles      cycleTimer
	rebalancing rebalancing
	provisioner provisioner
	prefetches  imagePrefetcher
	rollouts    *rolloutManager
	quotas      *quotaManager

	// The key-value store.
	recovery        *leaderRecovery
	writer          writer
	layoutMigration layoutMigration
	termUpgrade     termFormatUpgrade
	images          imageHints
	unreachable     unreachableHints
}

// newLeader makes the leader of a term that was just won, which has yet to recover the state of earlier terms.
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
		replicaLedger:    topologyspread.NewReplicaCounts(),
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

// wireHeartbeats makes what handles heartbeats and sends commands, each before those that use it.
func (l *leader) wireHeartbeats() {
	l.failures = failureAccounting{core: l.core, jobs: l.jobs, machines: l.machines}
	l.commands = newCommandBuilder(l)
	l.heldResponses = newHeldResponses(l)
	l.reconciler = newReconciler(l)
	l.liveness = newLivenessMonitor(l)
	l.dispatcher = newCommandDispatcher(l)
}

// wireStore makes what reads and writes the key-value store.
func (l *leader) wireStore() {
	now := l.core.now.Steady
	l.recovery = newLeaderRecovery(l)
	l.writer.init(l)
	l.layoutMigration.leader = l
	l.termUpgrade.leader = l
	l.unreachable = unreachableHints{leader: l, nextWrite: now + l.core.times.checkInterval}
	l.images = imageHints{core: l.core, writer: &l.writer, nextWrite: now, shards: newShardWriter(l, stored.ImageHintKey)}
}

// hasRecovered tells whether the state of earlier terms is restored.
func (l *leader) hasRecovered() bool { return l.recovered }

// run does what is due. Every part sets when it wants to be woken.
func (l *leader) run() {
	if !l.recovered {
		l.recovery.run()
		if !l.recovered {
			return
		}
	}
	l.followDependencies()
	l.quotas.run()
	l.checkFleet()
	l.runSchedulingCycle()
	l.layoutMigration.run()
	l.termUpgrade.run()
	l.rollouts.run()
	l.prefetches.run()
	l.writer.run()
	l.dispatcher.run()
	l.heldResponses.sendDue(l.machinesByName)
	l.provisioner.run()
	l.images.run(l.machinesByName)
	l.unreachable.run()
}

// checkFleet looks through the machines and the cancelled jobs when that is due.
func (l *leader) checkFleet() {
	now := l.core.now.Steady
	if now >= l.nextFleetCheck {
		l.nextFleetCheck = l.core.coalesce(now + 1)
		l.liveness.check(l.machinesByName)
		l.enforceCancellations()
		l.provisioner.releaseNeverUp()
		l.core.warnOfUndersizedSettings(len(l.machinesByName))
	}
	l.core.wakeBy(l.nextFleetCheck)
}

// turnAwayWaiting responds to all requests that wait for this leader, whose term ends.
func (l *leader) turnAwayWaiting() {
	l.heldResponses.redirectAll(l.machinesByName)
	l.rollouts.refuseWaiting()
	l.quotas.refuseWaiting()
}

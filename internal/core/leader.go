package core

import (
	"time"

	"bitternwing/internal/stored"
	"bitternwing/internal/topologyspread"
)

// leader is the state of a controller that leads a term. It is all rebuilt when a term begins: first from the key-value
// store (leaderRecovery), then from the heartbeats of the workers.
type leader struct {
	core *Core
	leaderAuthority
	termCalls

	// The term, and the version of its key, on which every write is conditional.
	term        uint64
	termVersion uint64
	startedAt   time.Duration

	recovery        *leaderRecovery
	recovered       bool // the state of earlier terms is restored
	layoutMigration layoutMigration
	termUpgrade     termFormatUpgrade

	jobs             map[string]*job
	queue            []*job // by acceptance
	dependenciesSeen uint64 // evaluations of the dependency graph that are taken in

	machines         map[string]*machine
	machinesByName   []*machine               // by name
	releasedMachines map[string]time.Duration // names of released machines, whose late heartbeats don't count
	schedulable      schedulableMachines
	replicaLedger    *topologyspread.Ledger

	silentZones map[string]bool // zones much of which is silent, kept by liveness; true: none of their controllers answers either

	nextFleetCheck time.Duration // when the machines and the cancelled jobs are checked next

	liveness      *livenessMonitor
	failures      failureAccounting
	commands      *commandBuilder
	heldResponses *heldResponses
	reconciler    *reconciler
	dispatcher    *commandDispatcher
	changes       changeCounter // shared by the reconciler and the run records
	records       runRecords
	writer        writer
	provisioner   provisioner
	cycles        cycleTimer
	rebalancing   rebalancing
	prefetches    imagePrefetcher
	rollouts      *rolloutManager
	quotas        *quotaManager
	images        imageHints
	unreachable   unreachableHints
}

// newLeader makes the leader of a term that was just won, which has yet to recover the state of earlier terms.
func newLeader(c *Core, term, version uint64) *leader {
	l := &leader{core: c, term: term, termVersion: version, startedAt: c.now.Steady,
		jobs: map[string]*job{}, machines: map[string]*machine{}, releasedMachines: map[string]time.Duration{},
		replicaLedger: topologyspread.NewLedger(),
		silentZones:   map[string]bool{}}
	l.leaderAuthority = leaderAuthority{core: c}
	l.termCalls = termCalls{core: c, owner: l}
	l.schedulable = newSchedulableMachines(l)
	l.records = runRecords{limits: c.limits, changes: &l.changes}
	l.commands = newCommandBuilder(l)
	l.heldResponses = newHeldResponses(l)
	l.failures = failureAccounting{core: c, jobs: l.jobs, machines: l.machines}
	l.reconciler = newReconciler(l)
	l.liveness = newLivenessMonitor(l)
	l.dispatcher = newCommandDispatcher(l)
	l.recovery = newLeaderRecovery(l)
	l.rollouts = newRolloutManager(l)
	l.quotas = newQuotaManager(l)
	l.termUpgrade.leader = l
	l.layoutMigration.leader = l
	l.writer.init(l)
	l.provisioner.init(l)
	l.cycles.nextAt = c.now.Steady
	l.unreachable = unreachableHints{leader: l, nextWrite: c.now.Steady + c.times.checkInterval}
	l.images = imageHints{core: c, writer: &l.writer, nextWrite: c.now.Steady, shards: newShardWriter(l, stored.ImageHintKey)}
	return l
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
	l.runPrefetches()
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

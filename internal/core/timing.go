package core

import (
	"time"

	"bitternwing/internal/config"
)

// times holds the durations that are derived from the settings.
type times struct {
	heartbeatInterval  time.Duration // time between two heartbeats of a worker
	checkInterval      time.Duration // time between two checks for failures; also the timeout of a call
	lease              time.Duration // duration of a worker's lease
	cancelDeadline     time.Duration // time in which the tasks of a cancelled job must stop
	leaderTTL          time.Duration // duration of the leader's lease
	listLag            time.Duration // time by which the cloud's machine list may lag behind
	storeProbeInterval time.Duration // time between two probes of the key-value store
	retryPause         time.Duration // time before a failed call is retried
	timerCoalescing    time.Duration // interval to which the times of deferrable work are rounded up
	heartbeatTimeout   time.Duration // silence after which a machine is given no tasks
	cycleInterval      time.Duration // time between two regular scheduling cycles
	minCycleGap        time.Duration // minimum time between two scheduling cycles that events trigger
	minComparisonGap   time.Duration // minimum time between two version comparisons of a node
	minWatchGap        time.Duration // minimum time between two watches of a node
}

// newTimes derives the durations from the settings.
func newTimes(settings *config.Settings, operator *config.OperatorSettings) times {
	params := settings.Params
	t := times{
		heartbeatInterval: config.Seconds(params.Workers.HeartbeatIntervalS),
		lease:             config.Seconds(params.Workers.LeaseS),
		cancelDeadline:    config.Seconds(params.Workers.CancelDeadlineS),
		listLag:           config.Seconds(params.Cloud.ListLagS),
		cycleInterval:     config.Seconds(operator.CycleIntervalS),
	}
	nodes := float64(len(settings.Peers) + 1)
	t.leaderTTL = time.Duration(float64(t.lease) * operator.LeaderTTLLeases)
	// Failures must be detected and repaired within the workers' leases, however rarely workers send heartbeats. So the
	// check interval and the intervals that follow from it depend on the lease.
	t.checkInterval = config.FailureCheckInterval(params.Workers)
	t.storeProbeInterval = t.checkInterval
	t.retryPause = t.checkInterval / 4
	t.timerCoalescing = t.checkInterval / 4
	t.minCycleGap = t.cycleInterval / 40
	t.heartbeatTimeout = max(3*t.heartbeatInterval/2, 3*t.checkInterval)
	// The nodes share the store's request rate. All together use at most half of it for comparisons and two fifths for
	// watches.
	t.minComparisonGap = config.Seconds(6 * nodes / params.Store.Next.Effective(params.Store).RPS / 3)
	t.minWatchGap = config.Seconds(5 * nodes / params.Store.Next.Effective(params.Store).RPS / 2)
	return t
}

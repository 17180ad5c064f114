package core

import (
	"time"

	"bitternwing/internal/config"
)

// times holds the durations that are derived from the settings.
type times struct {
	heartbeatInterval  time.Duration // between two heartbeats of a worker
	checkInterval      time.Duration // between two checks for failures; also the timeout of a call
	lease              time.Duration // of a worker
	cancelDeadline     time.Duration // for the tasks of a cancelled job to stop
	leaderTTL          time.Duration // of the leader's lease
	listLag            time.Duration // by which the cloud's machine list may lag behind
	storeProbeInterval time.Duration // between two probes of the key-value store
	retryPause         time.Duration // before a failed call is retried
	timerCoalescing    time.Duration // between the times at which deferrable work is done
	heartbeatTimeout   time.Duration // silence after which a machine is given no tasks
	cycleInterval      time.Duration // between two regular scheduling cycles
	minCycleGap        time.Duration // between two scheduling cycles that events trigger
	minComparisonGap   time.Duration // between two version comparisons of a node
	minWatchGap        time.Duration // between two watches of a node
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

package core

import (
	"time"

	"bitternwing/internal/config"
)

// times are the durations derived from the settings, each a ratio of one of them.
type times struct {
	heartbeatInterval  time.Duration // of workers
	checkInterval      time.Duration // between two checks of what may fail, and timeout of a call
	lease              time.Duration // of workers
	cancelDeadline     time.Duration // until a cancelled job's tasks have to be gone
	leaderTTL          time.Duration // of the leader's lease
	listLag            time.Duration // of the cloud's list of machines
	storeProbeInterval time.Duration // between two probes of the key-value store
	retryPause         time.Duration // after a call that was not carried out
	timerCoalescing    time.Duration // between the moments at which deferrable work is done
	heartbeatTimeout   time.Duration // a machine that is silent for longer gets no work
	cycleInterval      time.Duration // between two scheduling cycles
	minCycleGap        time.Duration // between two scheduling cycles that events ask for
	minCompareGap      time.Duration // between two comparisons of a node
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
	// What has to be noticed and repaired within workers' leases goes by these, however seldom workers send heartbeats.
	t.checkInterval = config.FailureCheckInterval(params.Workers)
	t.storeProbeInterval = t.checkInterval
	t.retryPause = t.checkInterval / 4
	t.timerCoalescing = t.checkInterval / 4
	t.minCycleGap = t.cycleInterval / 40
	t.heartbeatTimeout = max(3*t.heartbeatInterval/2, 3*t.checkInterval)
	// A node's comparisons use at most a sixth of its share of the requests, its watches at most a fifth.
	t.minCompareGap = config.Seconds(6 * nodes / params.Store.Next.Effective(params.Store).RPS / 3)
	t.minWatchGap = config.Seconds(5 * nodes / params.Store.Next.Effective(params.Store).RPS / 2)
	return t
}

package fleetsim

import (
	"bitternwing/internal/fleetsim/measure"
	"bitternwing/internal/simworker"
)

// result returns the result of the simulation, which err has ended, or its duration if err is nil.
func (sim *simulation) result(err error) *Result {
	totals := sim.recorder.totals()
	measuredS := max(1, sim.now().Seconds()-sim.scenario.WarmUpS)
	result := &Result{
		Scenario:       sim.scenario,
		Ended:          endedInTime,
		DurationS:      sim.now().Seconds(),
		Violations:     sim.ledger.Violations(),
		Requested:      sim.generator.TaskCount(),
		Started:        totals.started,
		Completed:      totals.completed,
		RequestedPerS:  float64(sim.generator.TaskCount()) / measuredS,
		StartedPerS:    float64(totals.started) / measuredS,
		PeakStartsPerS: peakStartsPerS(sim.seconds),
		SubmitTimes:    sim.users.SubmitTimes.Summary(),
		UrgentTimes:    sim.recorder.urgentTimes.Summary(),
		StartTimes:     map[string]measure.Summary{},
		Failovers:      sim.recorder.failovers,
		Seconds:        sim.seconds,
		Copies:         sim.fleet.CopyCounts(),
		Direct:         sim.traffic.ByKind(simworker.UnknownController),
		Jobs:           sim.jobCounts(),
		Spread:         sim.recorder.placements.summary(sim.fleet),
		Workers:        WorkerResult{sim.scenario.workerCount(), sim.workerTraffic.windows.Summary(), sim.workerTraffic.peakMean},
		Processes:      sim.processResults(),
	}
	if err != nil {
		result.Ended = err.Error()
	}
	result.Rollouts, result.BrokenRollout = sim.rollouts.results()
	for class, times := range sim.recorder.startTimes {
		result.StartTimes[class] = times.Summary()
	}
	for _, second := range sim.seconds {
		result.PeakOnMachine = max(result.PeakOnMachine, second.OnMachine)
	}
	return result
}

func (sim *simulation) jobCounts() JobCounts {
	return JobCounts{
		Submitted: sim.users.Submitted.Load(),
		Accepted:  sim.users.Accepted.Load(),
		Refused:   sim.users.Refused.Load(),
		GivenUp:   sim.users.GivenUp.Load(),
		Done:      sim.users.Done.Load(),
		Cancelled: sim.users.Cancelled.Load(),
	}
}

// processResults returns the results of the controllers, followed by that of this process.
func (sim *simulation) processResults() []ProcessResult {
	led := map[string]bool{}
	for _, second := range sim.seconds {
		led[second.Leader] = true
	}
	var results []ProcessResult
	for _, process := range sim.controllers.list {
		results = append(results, ProcessResult{
			Name:    process.name,
			Zone:    process.zone,
			Led:     led[process.name],
			Usage:   process.usage.Usage(sim.scenario.WarmUpS),
			Traffic: sim.traffic.ByKind(process.name),
			Samples: process.usage.Samples,
		})
	}
	self := ProcessResult{Name: sim.ownUsage.Name, Usage: sim.ownUsage.Usage(sim.scenario.WarmUpS), Samples: sim.ownUsage.Samples}
	return append(results, self)
}

// peakWindowS is the length in seconds of the window over which the rate of starts is averaged.
const peakWindowS = 10

// peakStartsPerS returns the highest mean rate of starts over any window of peakWindowS seconds.
func peakStartsPerS(seconds []Second) float64 {
	peak, sum := 0.0, int64(0)
	for i, s := range seconds {
		sum += s.Started
		if i >= peakWindowS {
			sum -= seconds[i-peakWindowS].Started
		}
		if i >= peakWindowS-1 {
			windowStartS := seconds[max(0, i-peakWindowS)].AtS
			if i < peakWindowS {
				windowStartS = 0
			}
			peak = max(peak, float64(sum)/(s.AtS-windowStartS))
		}
	}
	return peak
}

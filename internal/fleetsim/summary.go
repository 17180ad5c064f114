package fleetsim

import (
	"bitternwing/internal/fleetsim/measure"
	"bitternwing/internal/simworker"
)

// result summarizes the simulation, which an error has ended, or its time.
func (sim *simulation) result(err error) *Result {
	totals := sim.recorder.totals()
	measuredS := max(1, sim.now().Seconds()-sim.scenario.WarmUpS)
	result := &Result{
		Scenario:       sim.scenario,
		Ended:          endedInTime,
		DurationS:      sim.now().Seconds(),
		Violations:     sim.ledger.Violations(),
		Requested:      sim.generator.Tasks(),
		Started:        totals.started,
		Completed:      totals.completed,
		RequestedPerS:  float64(sim.generator.Tasks()) / measuredS,
		StartedPerS:    float64(totals.started) / measuredS,
		PeakStartsPerS: peakStarts(sim.seconds),
		SubmitTimes:    sim.users.SubmitTimes.Summary(),
		UrgentTimes:    sim.recorder.urgent.Summary(),
		StartTimes:     map[string]measure.Summary{},
		Failovers:      sim.recorder.failovers,
		Seconds:        sim.seconds,
		Direct:         sim.traffic.Of(simworker.UnknownController),
		Jobs:           sim.jobCounts(),
		Spread:         sim.recorder.placements.summary(sim.fleet),
		Workers:        WorkerResult{sim.scenario.workers(), sim.workers.windows.Summary(), sim.workers.peak},
		Processes:      sim.processResults(),
	}
	if err != nil {
		result.Ended = err.Error()
	}
	result.Rollouts, result.BrokenRollout = sim.rollouts.results()
	for class, times := range sim.recorder.classes {
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

// processResults gives the results of the controllers, and that of this process as the last one.
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
			Traffic: sim.traffic.Of(process.name),
			Samples: process.usage.Samples,
		})
	}
	self := ProcessResult{Name: sim.self.Name, Usage: sim.self.Usage(sim.scenario.WarmUpS), Samples: sim.self.Samples}
	return append(results, self)
}

// peakWindow is over how many seconds the peak of starts is taken.
const peakWindow = 10

// peakStarts gives the most starts a second over a window.
func peakStarts(seconds []Second) float64 {
	peak, sum := 0.0, int64(0)
	for i, s := range seconds {
		sum += s.Started
		if i >= peakWindow {
			sum -= seconds[i-peakWindow].Started
		}
		if i >= peakWindow-1 {
			first := seconds[max(0, i-peakWindow)].AtS
			if i < peakWindow {
				first = 0
			}
			peak = max(peak, float64(sum)/(s.AtS-first))
		}
	}
	return peak
}

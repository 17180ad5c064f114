package fleetsim

import (
	"encoding/json"
	"os"

	"bitternwing/internal/fleetsim/measure"
	"bitternwing/internal/fleetsim/rolling"
	"bitternwing/internal/fleetsim/rules"
	"bitternwing/internal/simworker"
)

// Second is what was counted in a second of a run.
type Second struct {
	AtS        float64 `json:"at_s"`
	Requested  int64   `json:"asked"`   // tasks submitted
	Started    int64   `json:"started"` // starts that workers took in
	Completed  int64   `json:"completed"`
	OnMachine  int64   `json:"on_machine"`
	Leader     string  `json:"leader"`
	Reporting  int     `json:"reporting"` // workers that the leader answered last
	Violations int     `json:"violations"`
}

// ProcessResult is what a process used, and its messages by kind.
type ProcessResult struct {
	Name    string                                  `json:"name"`
	Zone    string                                  `json:"zone,omitempty"`
	Led     bool                                    `json:"led"`
	Usage   measure.Usage                           `json:"usage"`
	Traffic map[simworker.MessageKind]measure.Count `json:"traffic,omitempty"`
	Samples []measure.Sample                        `json:"samples"`
}

// WorkerResult is the traffic of the workers, in bytes a second over windows of five seconds, both ways.
type WorkerResult struct {
	Count    int             `json:"count"`
	Windows  measure.Summary `json:"bytes_per_s"`
	PeakMean float64         `json:"peak_mean_bytes_per_s"`
}

// JobCounts are the jobs of a run by what became of them.
type JobCounts struct {
	Submitted int64 `json:"submitted"`
	Accepted  int64 `json:"accepted"`
	Refused   int64 `json:"refused"`
	GivenUp   int64 `json:"given_up"`
	Done      int64 `json:"done"`
	Cancelled int64 `json:"cancelled"`
}

// Result is what a run came to. Times are in milliseconds where nothing else is said.
type Result struct {
	Scenario   *Scenario         `json:"scenario"`
	Ended      string            `json:"ended"` // why; "in time" if nothing ended it
	DurationS  float64           `json:"duration_s"`
	Violations []rules.Violation `json:"violations"`
	Rollouts   []rolling.Result  `json:"rollouts,omitempty"`
	// BrokenRollout is what a rollout did not keep; empty if all kept what they promise.
	BrokenRollout string `json:"broken_rollout,omitempty"`
	// Spread is what became of the services' weights and zones.
	Spread SpreadResult `json:"spread"`

	Requested      int64   `json:"asked"`
	Started        int64   `json:"started"`
	Completed      int64   `json:"completed"`
	RequestedPerS  float64 `json:"asked_per_s"`
	StartedPerS    float64 `json:"started_per_s"`
	PeakStartsPerS float64 `json:"peak_starts_per_s"` // over ten seconds
	PeakOnMachine  int64   `json:"peak_on_machine"`

	Jobs        JobCounts                               `json:"jobs"`
	SubmitTimes measure.Summary                         `json:"submit_ms"`
	StartTimes  map[string]measure.Summary              `json:"start_ms"`  // by class, from submission
	UrgentTimes measure.Summary                         `json:"urgent_ms"` // from submission until all of a job runs
	Failovers   []Failover                              `json:"failovers"`
	Workers     WorkerResult                            `json:"workers"`
	Processes   []ProcessResult                         `json:"processes"`
	Direct      map[simworker.MessageKind]measure.Count `json:"direct"` // messages of controllers to workers
	Seconds     []Second                                `json:"seconds"`
}

// endedInTime is the reason of an end that nothing else has caused.
const endedInTime = "in time"

// result summarizes the simulation.
func (sim *simulation) result(err error) *Result {
	s := sim.scenario
	now := sim.recorder.totals()
	measured := max(1, sim.now().Seconds()-s.WarmUpS)
	res := &Result{Scenario: s, Ended: endedInTime, DurationS: sim.now().Seconds(), Violations: sim.ledger.Violations(),
		Requested: sim.generator.Tasks(), Started: now.started, Completed: now.completed,
		RequestedPerS: float64(sim.generator.Tasks()) / measured, StartedPerS: float64(now.started) / measured,
		PeakStartsPerS: peakStarts(sim.seconds), SubmitTimes: sim.users.SubmitTimes.Summary(), UrgentTimes: sim.recorder.urgent.Summary(),
		StartTimes: map[string]measure.Summary{}, Failovers: sim.recorder.failovers, Seconds: sim.seconds,
		Direct: sim.traffic.Of(simworker.AnyController),
		Jobs: JobCounts{sim.users.Submitted.Load(), sim.users.Accepted.Load(), sim.users.Refused.Load(), sim.users.GivenUp.Load(),
			sim.users.Done.Load(), sim.users.Cancelled.Load()}}
	if err != nil {
		res.Ended = err.Error()
	}
	res.Rollouts, res.BrokenRollout = sim.rollouts.results()
	res.Spread = sim.recorder.placements.summary(sim.fleet)
	for class, h := range sim.recorder.classes {
		res.StartTimes[class] = h.Summary()
	}
	led := map[string]bool{}
	for _, second := range sim.seconds {
		res.PeakOnMachine = max(res.PeakOnMachine, second.OnMachine)
		led[second.Leader] = true
	}
	res.Workers = WorkerResult{s.workers(), sim.workers.windows.Summary(), sim.workers.peak}
	for _, x := range sim.controllers.list {
		res.Processes = append(res.Processes, ProcessResult{x.name, x.zone, led[x.name], x.usage.Usage(s.WarmUpS), sim.traffic.Of(x.name), x.usage.Samples})
	}
	res.Processes = append(res.Processes, ProcessResult{Name: sim.self.Name, Usage: sim.self.Usage(s.WarmUpS), Samples: sim.self.Samples})
	return res
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

// Write writes the result as JSON.
func (res *Result) Write(path string) error {
	data, err := json.MarshalIndent(res, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o600)
}

// Leader gives the process that led the longest.
func (res *Result) Leader() *ProcessResult {
	led := map[string]int{}
	for _, s := range res.Seconds {
		led[s.Leader]++
	}
	var longest *ProcessResult
	for i := range res.Processes {
		if p := &res.Processes[i]; led[p.Name] > 0 && (longest == nil || led[p.Name] > led[longest.Name]) {
			longest = p
		}
	}
	return longest
}

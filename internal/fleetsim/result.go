package fleetsim

import (
	"encoding/json"
	"os"

	"bitternwing/internal/fleetsim/measure"
	"bitternwing/internal/fleetsim/rolling"
	"bitternwing/internal/fleetsim/rules"
	"bitternwing/internal/simworker"
)

// Second is the counts of a second.
type Second struct {
	AtS        float64 `json:"at_s"`
	Requested  int64   `json:"asked"`   // tasks submitted
	Started    int64   `json:"started"` // start commands that workers received
	Completed  int64   `json:"completed"`
	OnMachine  int64   `json:"on_machine"`
	Leader     string  `json:"leader"`
	Reporting  int     `json:"reporting"` // workers that accepted the leader's response last
	Violations int     `json:"violations"`
}

// ProcessResult is the resource usage of a process, and its messages by kind.
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

// JobCounts are the numbers of jobs by their outcomes.
type JobCounts struct {
	Submitted int64 `json:"submitted"`
	Accepted  int64 `json:"accepted"`
	Refused   int64 `json:"refused"`
	GivenUp   int64 `json:"given_up"`
	Done      int64 `json:"done"`
	Cancelled int64 `json:"cancelled"`
}

// Result is the result of a simulation. Times are in milliseconds where nothing else is said.
type Result struct {
	Scenario   *Scenario         `json:"scenario"`
	Ended      string            `json:"ended"` // why; endedInTime if nothing but the time did
	DurationS  float64           `json:"duration_s"`
	Violations []rules.Violation `json:"violations"`
	Rollouts   []rolling.Result  `json:"rollouts,omitempty"`
	// BrokenRollout is how a rollout broke its promise; empty: all kept theirs.
	BrokenRollout string `json:"broken_rollout,omitempty"`
	// Spread is the cold starts of the services, and their spread over zones.
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

// Write writes the result as JSON.
func (r *Result) Write(path string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o600)
}

// Leader gives the process that led the longest.
func (r *Result) Leader() *ProcessResult {
	led := map[string]int{}
	for _, s := range r.Seconds {
		led[s.Leader]++
	}
	var longest *ProcessResult
	for i := range r.Processes {
		if p := &r.Processes[i]; led[p.Name] > 0 && (longest == nil || led[p.Name] > led[longest.Name]) {
			longest = p
		}
	}
	return longest
}

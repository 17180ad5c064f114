package fleetsim

import (
	"encoding/json"
	"os"

	"bitternwing/internal/fleetsim/measure"
	"bitternwing/internal/fleetsim/rolling"
	"bitternwing/internal/fleetsim/rules"
	"bitternwing/internal/simworker"
)

// Second holds the counts of one second of a simulation.
type Second struct {
	AtS        float64 `json:"at_s"`
	Requested  int64   `json:"asked"`   // tasks of submitted jobs
	Started    int64   `json:"started"` // start commands that workers received
	Completed  int64   `json:"completed"`
	OnMachine  int64   `json:"on_machine"`
	Leader     string  `json:"leader"`
	Reporting  int     `json:"reporting"` // workers that accepted their last response from the leader
	Violations int     `json:"violations"`
}

// ProcessResult is the resource usage of a process, and its traffic by kind of message.
type ProcessResult struct {
	Name    string                                  `json:"name"`
	Zone    string                                  `json:"zone,omitempty"`
	Led     bool                                    `json:"led"`
	Usage   measure.Usage                           `json:"usage"`
	Traffic map[simworker.MessageKind]measure.Count `json:"traffic,omitempty"`
	Samples []measure.Sample                        `json:"samples"`
}

// WorkerResult is the traffic of the workers: bytes sent and received per second, over windows of five seconds.
type WorkerResult struct {
	Count    int             `json:"count"`
	Windows  measure.Summary `json:"bytes_per_s"`
	PeakMean float64         `json:"peak_mean_bytes_per_s"`
}

// JobCounts counts jobs by outcome.
type JobCounts struct {
	Submitted int64 `json:"submitted"`
	Accepted  int64 `json:"accepted"`
	Refused   int64 `json:"refused"`
	GivenUp   int64 `json:"given_up"`
	Done      int64 `json:"done"`
	Cancelled int64 `json:"cancelled"`
}

// Result is the result of a simulation. Summaries of times are in milliseconds.
type Result struct {
	Scenario   *Scenario         `json:"scenario"`
	Ended      string            `json:"ended"` // why the simulation ended; endedInTime if it reached its duration
	DurationS  float64           `json:"duration_s"`
	Violations []rules.Violation `json:"violations"`
	Rollouts   []rolling.Result  `json:"rollouts,omitempty"`
	// BrokenRollout describes the first broken promise of a rollout; "" if all kept theirs.
	BrokenRollout string `json:"broken_rollout,omitempty"`
	// Spread summarizes the cold starts of services and the spread of their replicas over zones.
	Spread SpreadResult `json:"spread"`

	Requested      int64   `json:"asked"`
	Started        int64   `json:"started"`
	Completed      int64   `json:"completed"`
	RequestedPerS  float64 `json:"asked_per_s"`
	StartedPerS    float64 `json:"started_per_s"`
	PeakStartsPerS float64 `json:"peak_starts_per_s"` // highest mean over ten seconds
	PeakOnMachine  int64   `json:"peak_on_machine"`

	Jobs        JobCounts                  `json:"jobs"`
	SubmitTimes measure.Summary            `json:"submit_ms"`
	StartTimes  map[string]measure.Summary `json:"start_ms"`  // from submission to a task's first start, by class
	UrgentTimes measure.Summary            `json:"urgent_ms"` // from submission until all tasks of an urgent job have started
	Failovers   []Failover                 `json:"failovers"`
	Workers     WorkerResult               `json:"workers"`
	Processes   []ProcessResult            `json:"processes"`
	// Copies tells what became of late copies of direct commands.
	Copies  simworker.CopyCounts                    `json:"copies"`
	Direct  map[simworker.MessageKind]measure.Count `json:"direct"` // messages that controllers send to workers directly
	Seconds []Second                                `json:"seconds"`
}

// endedInTime is the value of Result.Ended for a simulation that reached its duration.
const endedInTime = "in time"

// Write writes the result to a JSON file.
func (r *Result) Write(path string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o600)
}

// LongestLeader returns the process that was the leader for the most seconds, or nil if there was no leader.
func (r *Result) LongestLeader() *ProcessResult {
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

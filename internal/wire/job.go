// Package wire holds the messages of the protocol with users, workers, the key-value store and the cloud, with their
// paths and limits. It is the only place where the protocol's own names appear, in field tags; the rest of the program
// uses the names of the Go fields. It encodes, decodes and checks the form of messages, and knows nothing of their
// meaning.
package wire

import (
	"encoding/json"
	"regexp"
	"strconv"
	"strings"
)

// MaxBody is the protocol's limit on a request body.
const MaxBody = 64 << 10

// MaxTasks is the protocol's limit on the number of tasks of a job.
const MaxTasks = 100_000

// maxName bounds the names in a job, so that a job always fits a value of the
// key-value store.
const maxName = 256

// maxTypes bounds the list of allowed machine types for the same reason.
const maxTypes = 32

// JobKind tells whether a job's tasks end by themselves.
type JobKind string

// The kinds of jobs.
const (
	KindArray   JobKind = "batch"
	KindService JobKind = "standing"
)

// JobStatus is the state of a job in responses to users.
type JobStatus string

// The states of a job.
const (
	JobPending   JobStatus = "pending"
	JobRunning   JobStatus = "running"
	JobDone      JobStatus = "done"
	JobCancelled JobStatus = "withdrawn"
)

// Priority is the priority of a job.
type Priority string

// The priorities. Jobs of PriorityIdle run only on capacity that no other job needs.
const (
	PriorityProduction Priority = "prod"
	PriorityHigh       Priority = "high"
	PriorityStandard   Priority = "standard"
	PriorityIdle       Priority = "idle"
)

// ranks orders the priorities.
var ranks = map[Priority]int{PriorityProduction: 3, PriorityHigh: 2, PriorityStandard: 1, PriorityIdle: 0}

// Rank orders priorities; a larger one goes first.
func (p Priority) Rank() int { return ranks[p] }

// The paths of users' requests.
const (
	JobsPath     = "/v2/runs"
	CancelSuffix = "/cancel"
)

// ErrorBody is the body of responses that are no success.
type ErrorBody struct {
	Error string `json:"error"`
}

// Job is a submission (POST /v2/runs). It is stored in this form as well.
type Job struct {
	ID                  string   `json:"ref"`
	Class               string   `json:"lane"`
	Team                string   `json:"broker"`
	Kind                JobKind  `json:"shape"`
	Priority            Priority `json:"urgency"`
	Tasks               int      `json:"parcels"`
	CPUs                float64  `json:"vcpus"`
	GPUs                float64  `json:"gpus"`
	MemoryGB            float64  `json:"memory_gb"`
	Image               string   `json:"bundle"`
	ImageGB             float64  `json:"image_gb"`
	MachineTypes        []string `json:"rigs,omitempty"`
	Zone                string   `json:"hall,omitempty"`
	SingleZone          bool     `json:"one_zone,omitempty"`
	SpreadZones         bool     `json:"apart,omitempty"`
	Spot                bool     `json:"loaner,omitempty"`
	EstimatedRunS       float64  `json:"expect_s"`
	CheckpointIntervalS float64  `json:"stamp_s"`
	CheckpointTimeS     float64  `json:"stow_s"`
	DeadlineS           *float64 `json:"cutoff_s,omitempty"`
	// Dependencies are the jobs that have to be done before a task of this one starts: the edges of the DAG.
	Dependencies []string `json:"awaits,omitempty"`
}

// Submission encodes a job as users submit it: flags are never absent.
func (j *Job) Submission() ([]byte, error) {
	return json.Marshal(struct {
		*Job
		OneZone bool `json:"one_zone"`
		Spread  bool `json:"apart"`
		Spot    bool `json:"loaner"`
	}{j, j.SingleZone, j.SpreadZones, j.Spot})
}

// JobState is the response to users about a job.
type JobState struct {
	ID      string    `json:"ref"`
	State   JobStatus `json:"status"`
	Done    *int      `json:"done,omitempty"`
	Running *int      `json:"running,omitempty"`
}

var jobID = regexp.MustCompile(`^run-[0-9]{6,20}$`)

// ValidJobID tells whether a job id has the protocol's form.
func ValidJobID(id string) bool { return jobID.MatchString(id) }

// TaskName is the protocol's name of a task.
func TaskName(job string, task int) string { return job + "/" + strconv.Itoa(task) }

// ParseTaskName splits a task's name; false if it has not the protocol's form.
func ParseTaskName(name string) (job string, task int, ok bool) {
	job, index, found := strings.Cut(name, "/")
	if !found {
		return "", 0, false
	}
	task, err := strconv.Atoi(index)
	if err != nil || task < 0 || task >= MaxTasks {
		return "", 0, false
	}
	return job, task, true
}

// maxDependencyBytes bounds what one dependency takes in a stored job: the longest job id with its quotes and a comma.
const maxDependencyBytes = len(`"run-01234567890123456789",`)

// MaxDependencies bounds the dependencies of a job for a value size of the key-value store: they take at most half of a
// value.
func MaxDependencies(valueBytes int) int { return max(1, valueBytes/2/maxDependencyBytes) }

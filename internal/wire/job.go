// Package wire defines the messages of the protocol with users, workers, the key-value store and the cloud, with their
// paths and limits. The protocol's own names appear only here, in field tags; the rest of the program uses the names of
// the Go fields. The package encodes, decodes and validates the form of messages. It does not interpret them.
package wire

import (
	"encoding/json"
	"regexp"
	"strconv"
	"strings"
)

// MaxBodyBytes is the protocol's limit on a request body.
const MaxBodyBytes = 64 << 10

// MaxTasks is the protocol's limit on the number of tasks of a job.
const MaxTasks = 100_000

// maxNameBytes is the maximum length of a name in a job. It ensures that a job fits in a value of the key-value store.
const maxNameBytes = 256

// maxMachineTypes is the maximum length of a job's list of allowed machine types, for the same reason.
const maxMachineTypes = 32

// JobKind is the kind of a job: whether its tasks end by themselves.
type JobKind string

// The kinds of jobs.
const (
	KindArray   JobKind = "batch"    // tasks end by themselves
	KindService JobKind = "standing" // tasks are replicas that run until they are stopped
)

// JobStatus is the status of a job in responses to users.
type JobStatus string

// The statuses of a job.
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

// ranks are the ranks of the priorities.
var ranks = map[Priority]int{PriorityProduction: 3, PriorityHigh: 2, PriorityStandard: 1, PriorityIdle: 0}

// Rank returns the rank of a priority. Jobs of a higher rank come first.
func (p Priority) Rank() int { return ranks[p] }

// The paths of users' requests.
const (
	JobsPath     = "/v2/runs"
	CancelSuffix = "/cancel"
)

// ErrorBody is the body of error responses.
type ErrorBody struct {
	Error string `json:"error"`
}

// Job is the submission of a job (POST /v2/runs). Jobs are also stored in this form.
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
	// Dependencies are the jobs that must be done before a task of this job starts: the edges of the dependency graph.
	Dependencies []string `json:"awaits,omitempty"`
}

// Submission encodes a job as users submit it. The fields beside Job override its flags, which Job omits if they are
// false: the protocol requires them.
func (j *Job) Submission() ([]byte, error) {
	return json.Marshal(struct {
		*Job
		SingleZone  bool `json:"one_zone"`
		SpreadZones bool `json:"apart"`
		Spot        bool `json:"loaner"`
	}{j, j.SingleZone, j.SpreadZones, j.Spot})
}

// JobResponse is the response to a user's request about a job.
type JobResponse struct {
	ID      string    `json:"ref"`
	Status  JobStatus `json:"status"`
	Done    *int      `json:"done,omitempty"`
	Running *int      `json:"running,omitempty"`
}

// jobIDPattern is the protocol's form of a job ID.
var jobIDPattern = regexp.MustCompile(`^run-[0-9]{6,20}$`)

// ValidJobID reports whether a job ID has the protocol's form.
func ValidJobID(id string) bool { return jobIDPattern.MatchString(id) }

// TaskName returns the protocol's name of a task.
func TaskName(job string, task int) string { return job + "/" + strconv.Itoa(task) }

// ParseTaskName splits the protocol's name of a task. It returns false if the name does not have the protocol's form.
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

// maxDependencyBytes is the maximum size of a dependency in a stored job: the longest job ID with its quotes and a
// comma.
const maxDependencyBytes = len(`"run-01234567890123456789",`)

// MaxDependencies returns the maximum number of dependencies of a job for a value size of the key-value store. They
// take at most half of a value.
func MaxDependencies(valueBytes int) int { return max(1, valueBytes/2/maxDependencyBytes) }

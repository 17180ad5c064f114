// Package wire holds the protocol's messages. Its field tags are the only place
// where the protocol's own words for things appear; the rest of the program uses
// the names of the Go fields.
package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// MaxBody is the protocol's limit on a request body.
const MaxBody = 64 << 10

// MaxTasks is the protocol's limit on the number of tasks of a job.
const MaxTasks = 100_000

// maxName bounds the names in a job, so that a job always fits a value of the
// state service.
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

// JobStatus is the state of a job as told to users.
type JobStatus string

// The states of a job.
const (
	JobPending   JobStatus = "pending"
	JobRunning   JobStatus = "running"
	JobDone      JobStatus = "done"
	JobCancelled JobStatus = "withdrawn"
)

// Priority is how urgent a job is.
type Priority string

// The priorities. Work of PriorityIdle is to run only on what nobody else wants.
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

// ErrorBody is the body of answers that are no success.
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
	// Dependencies are the jobs that have to be done before a task of this one starts.
	Dependencies []string `json:"awaits,omitempty"`
}

// Submission gives the body of a user's submission, in which flags are never absent.
func (j *Job) Submission() ([]byte, error) {
	return json.Marshal(struct {
		*Job
		OneZone bool `json:"one_zone"`
		Spread  bool `json:"apart"`
		Spot    bool `json:"loaner"`
	}{j, j.SingleZone, j.SpreadZones, j.Spot})
}

// JobState is the answer to users about a job.
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

// ParseTaskName takes a task's name apart.
func ParseTaskName(name string) (job string, task int, ok bool) {
	job, num, found := strings.Cut(name, "/")
	if !found {
		return "", 0, false
	}
	n, err := strconv.Atoi(num)
	if err != nil || n < 0 || n >= MaxTasks {
		return "", 0, false
	}
	return job, n, true
}

// FieldDependencies is the protocol's word for the list of needed jobs, for messages to users.
const FieldDependencies = "awaits"

// maxDependencyBytes bounds what one entry of the list of needed jobs takes in a stored job: the longest job
// id with its quotes and a comma.
const maxDependencyBytes = len(`"run-01234567890123456789",`)

// MaxDependencies bounds the list of needed jobs for a value size of the state service: the list takes at most
// half of a value.
func MaxDependencies(valueBytes int) int { return max(1, valueBytes/2/maxDependencyBytes) }

type fields struct {
	raw map[string]json.RawMessage
	err error
}

// get finds a field; null counts as absent.
func (f *fields) get(name string) (json.RawMessage, bool) {
	v, ok := f.raw[name]
	if !ok || string(v) == "null" {
		return nil, false
	}
	return v, true
}

func (f *fields) fail(name, what string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s", name, what)
	}
}

func (f *fields) text(name string, needed bool) string {
	v, ok := f.get(name)
	if !ok {
		if needed {
			f.fail(name, "is missing")
		}
		return ""
	}
	var s string
	if json.Unmarshal(v, &s) != nil {
		f.fail(name, "must be a string")
		return ""
	}
	if s == "" || len(s) > maxName {
		f.fail(name, fmt.Sprintf("must have 1 to %d bytes", maxName))
	}
	return s
}

func (f *fields) amount(name string, needed bool) *float64 {
	v, ok := f.get(name)
	if !ok {
		if needed {
			f.fail(name, "is missing")
		}
		return nil
	}
	var x float64
	if json.Unmarshal(v, &x) != nil || math.IsInf(x, 0) || math.IsNaN(x) {
		f.fail(name, "must be a number")
		return nil
	}
	if x < 0 || x > 1e9 {
		f.fail(name, "is out of range")
	}
	return &x
}

// ids reads a list of job ids without repeats. What is no job id stays in it: such a job was never
// accepted, which is not for the form of the message to say. An empty list counts as absent.
func (f *fields) ids(name string) []string {
	v, ok := f.get(name)
	if !ok {
		return nil
	}
	var entries []*string
	if json.Unmarshal(v, &entries) != nil || slices.Contains(entries, nil) {
		f.fail(name, "must be a list of job ids or null")
		return nil
	}
	var ids []string
	seen := map[string]bool{}
	for _, id := range entries {
		if !seen[*id] {
			seen[*id] = true
			ids = append(ids, *id)
		}
	}
	return ids
}

// taskCount reads a number of tasks.
func (f *fields) taskCount(name string) int {
	n := f.must(name)
	if n != math.Trunc(n) || n < 1 || n > MaxTasks {
		f.fail(name, fmt.Sprintf("must be a whole number from 1 to %d", MaxTasks))
	}
	return int(n)
}

// machineTypes reads the allowed machine types; nil for any.
func (f *fields) machineTypes(name string) []string {
	v, ok := f.get(name)
	if !ok {
		return nil
	}
	var entries []*string
	if json.Unmarshal(v, &entries) != nil {
		f.fail(name, "must be a list of names or null")
	}
	if len(entries) > maxTypes {
		f.fail(name, fmt.Sprintf("must have at most %d names", maxTypes))
	}
	if len(entries) == 0 {
		f.fail(name, "must name a machine type or be null")
	}
	types := make([]string, 0, len(entries))
	for _, t := range entries {
		if t == nil || *t == "" || len(*t) > maxName {
			f.fail(name, "must be a list of names or null")
			break
		}
		types = append(types, *t)
	}
	return types
}

func (f *fields) must(name string) float64 {
	if x := f.amount(name, true); x != nil {
		return *x
	}
	return 0
}

func (f *fields) flag(name string) bool {
	v, ok := f.get(name)
	if !ok {
		f.fail(name, "is missing")
		return false
	}
	var b bool
	if json.Unmarshal(v, &b) != nil {
		f.fail(name, "must be true or false")
	}
	return b
}

// ParseJob reads and checks a submission. Names are matched to the letter and a
// wrong type in any field is an error, which a plain decode into a struct would
// not give (it folds case).
func ParseJob(body []byte) (*Job, error) {
	if len(body) > MaxBody {
		return nil, errors.New("body: is too large")
	}
	f := &fields{}
	if trimmed := bytes.TrimSpace(body); len(trimmed) == 0 || trimmed[0] != '{' {
		return nil, errors.New("body: must be a JSON object")
	}
	if err := json.Unmarshal(body, &f.raw); err != nil {
		return nil, errors.New("body: must be a JSON object")
	}
	j := &Job{
		ID:                  f.text("ref", true),
		Class:               f.text("lane", true),
		Team:                f.text("broker", true),
		Kind:                JobKind(f.text("shape", true)),
		Priority:            Priority(f.text("urgency", true)),
		CPUs:                f.must("vcpus"),
		GPUs:                f.must("gpus"),
		MemoryGB:            f.must("memory_gb"),
		Image:               f.text("bundle", true),
		ImageGB:             f.must("image_gb"),
		Zone:                f.text("hall", false),
		SingleZone:          f.flag("one_zone"),
		SpreadZones:         f.flag("apart"),
		Spot:                f.flag("loaner"),
		EstimatedRunS:       f.must("expect_s"),
		CheckpointIntervalS: f.must("stamp_s"),
		CheckpointTimeS:     f.must("stow_s"),
		DeadlineS:           f.amount("cutoff_s", false),
		Dependencies:        f.ids(FieldDependencies),
		Tasks:               f.taskCount("parcels"),
		MachineTypes:        f.machineTypes("rigs"),
	}
	if f.err != nil {
		return nil, f.err
	}
	return j, j.checkValues()
}

// checkValues checks the fields that have a few values or a form of their own.
func (j *Job) checkValues() error {
	switch {
	case !ValidJobID(j.ID):
		return errors.New("ref: is not a job id")
	case j.Kind != KindArray && j.Kind != KindService:
		return errors.New("shape: is unknown")
	}
	if _, ok := ranks[j.Priority]; !ok {
		return errors.New("urgency: is unknown")
	}
	return nil
}

package wire

import (
	"encoding/json"
	"errors"
	"time"
)

// The paths of the workers' protocol: heartbeats to a controller, direct commands and status queries to a worker.
const (
	HeartbeatPath = "/checkin"
	CommandsPath  = "/orders"
	StatusPath    = "/inspect"
)

// HeartbeatTimeout is how long a worker waits for the response to a heartbeat.
const HeartbeatTimeout = 4 * time.Second

// TaskState is the state of a task in a heartbeat.
type TaskState string

// The task states.
const (
	TaskFetching      TaskState = "pulling"
	TaskRunning       TaskState = "running"
	TaskCheckpointing TaskState = "saving"
	TaskExited        TaskState = "exited"
)

// ExitCause is why a task exited.
type ExitCause string

// The exit causes.
const (
	CauseDone        ExitCause = "done"
	CauseStopped     ExitCause = "stopped"
	CauseError       ExitCause = "error"
	CauseNoCapacity  ExitCause = "no_room"
	CauseBusy        ExitCause = "busy"
	CauseUnknownTask ExitCause = "no_such"
)

// CommandOp is the operation of a command on a task.
type CommandOp string

// The command operations.
const (
	OpStart  CommandOp = "start"
	OpStop   CommandOp = "stop"
	OpForget CommandOp = "forget"
)

// TaskStatus is the status of a task in a heartbeat.
type TaskStatus struct {
	Task         string    `json:"parcel"`
	Attempt      uint64    `json:"try"`
	State        TaskState `json:"status"`
	Cause        ExitCause `json:"cause,omitempty"`
	Checkpointed bool      `json:"kept,omitempty"`
}

// MaxTaskReportBytes bounds the size of the tasks on a machine in its heartbeats, so that these stay within the limit on
// a request body. The other half is for the other fields, and for exited tasks that the worker must not forget yet.
const MaxTaskReportBytes = MaxBodyBytes / 2

const (
	// maxAttemptDigits is the number of digits of the highest attempt number that is reckoned with.
	maxAttemptDigits = 10
	// taskStatusBytes is the size of the longest task status in a heartbeat, without the name of the task.
	taskStatusBytes = len(`{"parcel":"","try":,"status":"exited","cause":"stopped","kept":true},`) + maxAttemptDigits
)

// TaskReportBytes returns the largest size of the status of one of the job's tasks in a heartbeat.
func (j *Job) TaskReportBytes() int {
	digits := 1
	for last := j.Tasks - 1; last >= 10; last /= 10 {
		digits++
	}
	return taskStatusBytes + len(j.ID) + len("/") + digits
}

// Heartbeat is a worker's heartbeat with the status of all its tasks (POST /checkin).
type Heartbeat struct {
	Machine        string       `json:"host"`
	Addr           string       `json:"addr"`
	Type           string       `json:"rig"`
	Zone           string       `json:"hall"`
	Spot           bool         `json:"loaner"`
	Incarnation    uint64       `json:"shift"`
	Sequence       uint64       `json:"tally"`
	FencingToken   uint64       `json:"baton"`
	ReclaimNoticeS *float64     `json:"recall_s"`
	Tasks          []TaskStatus `json:"parcels"`
}

// Command is a command to a worker about one attempt of a task.
type Command struct {
	Op           CommandOp `json:"verb"`
	Task         string    `json:"parcel"`
	Attempt      uint64    `json:"try"`
	GracePeriodS *float64  `json:"leeway_s,omitempty"`
}

// HeartbeatResponse is the 200 response to a heartbeat.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// DirectCommands are commands sent to a worker directly (POST /orders).
type DirectCommands struct {
	FencingToken uint64    `json:"baton"`
	Incarnation  uint64    `json:"shift"`
	Commands     []Command `json:"orders"`
}

// Redirect is the 421 response to a heartbeat: the controller does not lead. Leader names the leader, if it is known.
type Redirect struct {
	Leader string `json:"steward,omitempty"`
}

// ParseHeartbeat decodes a heartbeat, which must name a machine and its incarnation.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var heartbeat Heartbeat
	if err := json.Unmarshal(body, &heartbeat); err != nil {
		return nil, errors.New("report: is malformed")
	}
	if heartbeat.Machine == "" || heartbeat.Incarnation == 0 {
		return nil, errors.New("report: names no machine or session")
	}
	return &heartbeat, nil
}

package wire

import (
	"encoding/json"
	"errors"
	"time"
)

// The paths of the workers' protocol: reports to a controller, direct commands and questions to a worker.
const (
	HeartbeatPath = "/checkin"
	CommandsPath  = "/orders"
	StatusPath    = "/inspect"
)

// HeartbeatTimeout is how long a worker waits for the answer to a report.
const HeartbeatTimeout = 4 * time.Second

// TaskState is the state of a task in a worker's report.
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

// The causes of exits.
const (
	CauseDone        ExitCause = "done"
	CauseStopped     ExitCause = "stopped"
	CauseError       ExitCause = "error"
	CauseNoCapacity  ExitCause = "no_room"
	CauseBusy        ExitCause = "busy"
	CauseUnknownTask ExitCause = "no_such"
)

// CommandOp is what a command tells a worker to do with a task.
type CommandOp string

// The commands.
const (
	OpStart  CommandOp = "start"
	OpStop   CommandOp = "stop"
	OpForget CommandOp = "forget"
)

// TaskStatus is a task in a worker's report.
type TaskStatus struct {
	Task         string    `json:"parcel"`
	Attempt      uint64    `json:"try"`
	State        TaskState `json:"status"`
	Cause        ExitCause `json:"cause,omitempty"`
	Checkpointed bool      `json:"kept,omitempty"`
}

// Heartbeat is a worker's report (POST /checkin).
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

// Command is an order to a worker.
type Command struct {
	Op           CommandOp `json:"verb"`
	Task         string    `json:"parcel"`
	Attempt      uint64    `json:"try"`
	GracePeriodS *float64  `json:"leeway_s,omitempty"`
}

// HeartbeatResponse is the 200 answer to a report.
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

// Redirect is the 421 answer to a report.
type Redirect struct {
	Leader string `json:"steward,omitempty"`
}

// ParseHeartbeat reads a worker's report.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var r Heartbeat
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, errors.New("report: is malformed")
	}
	if r.Machine == "" || r.Incarnation == 0 {
		return nil, errors.New("report: names no machine or session")
	}
	return &r, nil
}

package wire

import (
	"encoding/json"
	"errors"
	"time"
)

// The paths of the workers' protocol: reports to a controller, direct commands and questions to a worker.
const (
	ReportPath  = "/checkin"
	OrdersPath  = "/orders"
	InspectPath = "/inspect"
)

// ReportTimeout is how long a worker waits for the answer to a report.
const ReportTimeout = 4 * time.Second

// TaskState is the state of a task in a worker's report.
type TaskState string

// The task states.
const (
	TaskFetching TaskState = "pulling"
	TaskRunning  TaskState = "running"
	TaskSaving   TaskState = "saving"
	TaskExited   TaskState = "exited"
)

// ExitCause is why a task exited.
type ExitCause string

// The causes of exits.
const (
	WhyDone    ExitCause = "done"
	WhyStopped ExitCause = "stopped"
	WhyError   ExitCause = "error"
	WhyNoRoom  ExitCause = "no_room"
	WhyBusy    ExitCause = "busy"
	WhyUnknown ExitCause = "no_such"
)

// CommandOp is what a command tells a worker to do with a task.
type CommandOp string

// The commands.
const (
	OpStart  CommandOp = "start"
	OpStop   CommandOp = "stop"
	OpForget CommandOp = "forget"
)

// TaskReport is a task in a worker's report.
type TaskReport struct {
	Task    string    `json:"parcel"`
	Attempt uint64    `json:"try"`
	State   TaskState `json:"status"`
	Why     ExitCause `json:"cause,omitempty"`
	Saved   bool      `json:"kept,omitempty"`
}

// Report is a worker's report (POST /checkin).
type Report struct {
	Machine string       `json:"host"`
	Addr    string       `json:"addr"`
	Type    string       `json:"rig"`
	Zone    string       `json:"hall"`
	Spot    bool         `json:"loaner"`
	Session uint64       `json:"shift"`
	Seq     uint64       `json:"tally"`
	Token   uint64       `json:"baton"`
	NoticeS *float64     `json:"recall_s"`
	Tasks   []TaskReport `json:"parcels"`
}

// Command is an order to a worker.
type Command struct {
	Op      CommandOp `json:"verb"`
	Task    string    `json:"parcel"`
	Attempt uint64    `json:"try"`
	GraceS  *float64  `json:"leeway_s,omitempty"`
}

// ReportAnswer is the 200 answer to a report.
type ReportAnswer struct {
	Token    uint64    `json:"baton"`
	Commands []Command `json:"orders"`
}

// Orders are commands sent to a worker directly (POST /orders).
type Orders struct {
	Token    uint64    `json:"baton"`
	Session  uint64    `json:"shift"`
	Commands []Command `json:"orders"`
}

// Redirect is the 421 answer to a report.
type Redirect struct {
	Leader string `json:"steward,omitempty"`
}

// ParseReport reads a worker's report.
func ParseReport(body []byte) (*Report, error) {
	var r Report
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, errors.New("report: is malformed")
	}
	if r.Machine == "" || r.Session == 0 {
		return nil, errors.New("report: names no machine or session")
	}
	return &r, nil
}

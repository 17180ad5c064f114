package wire

import (
	"encoding/json"
	"errors"
)

// Task states in a worker's report.
const (
	TaskFetching = "pulling"
	TaskRunning  = "running"
	TaskSaving   = "saving"
	TaskExited   = "exited"
)

// Why a task exited.
const (
	WhyDone    = "done"
	WhyStopped = "stopped"
	WhyError   = "error"
	WhyNoRoom  = "no_room"
	WhyBusy    = "busy"
	WhyUnknown = "no_such"
)

// Command verbs.
const (
	OpStart  = "start"
	OpStop   = "stop"
	OpForget = "forget"
)

// TaskReport is a task in a worker's report.
type TaskReport struct {
	Task    string `json:"parcel"`
	Attempt uint64 `json:"try"`
	State   string `json:"status"`
	Why     string `json:"cause,omitempty"`
	Saved   bool   `json:"kept,omitempty"`
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
	Op      string   `json:"verb"`
	Task    string   `json:"parcel"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"leeway_s,omitempty"`
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

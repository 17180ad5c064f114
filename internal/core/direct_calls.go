package core

import (
	"time"

	"bitternwing/internal/rollout"
	"bitternwing/internal/wire"
)

// Effects that call workers, replicas and peers at their own addresses.

// SendCommands sends commands directly to a worker. Its Result is OK or Conflict (nothing was executed) with the
// worker's heartbeat, Unavailable if the commands were certainly not sent, or Unknown if they may be executed at any
// later time.
type SendCommands struct {
	CallID       uint64
	Addr         string
	FencingToken uint64
	Incarnation  uint64
	Commands     []wire.Command
}

// QueryWorker asks a worker directly for a heartbeat. Its Result is OK with the heartbeat. Any other Result means that
// there was no response.
type QueryWorker struct {
	CallID uint64
	Addr   string
}

// ProbeReplica asks a replica of a rollout plan whether it is healthy and answers correctly.
type ProbeReplica struct {
	CallID  uint64
	Probe   rollout.Probe
	Checks  []rollout.Check
	Timeout time.Duration
}

// QueryPeer asks another node for its status and sends it cancellations, which it receives as ReplicateCancellations.
// An OK Result acknowledges them.
type QueryPeer struct {
	CallID        uint64
	Node          string
	Cancellations []Cancellation
}

func (SendCommands) effect() {}
func (QueryWorker) effect()  {}
func (ProbeReplica) effect() {}
func (QueryPeer) effect()    {}

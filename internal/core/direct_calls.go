package core

import (
	"time"

	"bitternwing/internal/rollout"
	"bitternwing/internal/wire"
)

// Calls of workers, replicas and peers, at their own addresses.

// SendCommands sends commands to a worker directly. Its Result is OK or Conflict (nothing was executed) with the worker's
// heartbeat, Unavailable if it was certainly not sent, or Unknown: it may be executed at any later time.
type SendCommands struct {
	CallID       uint64
	Addr         string
	FencingToken uint64
	Incarnation  uint64
	Commands     []wire.Command
}

// QueryWorker asks a worker directly for its heartbeat. Its Result is OK with it, or anything else: no answer came.
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

// QueryPeer asks another node for its status and hands it cancellations, which it gets as ReplicateCancellations: an OK
// means that it knows them.
type QueryPeer struct {
	CallID        uint64
	Node          string
	Cancellations []Cancellation
}

func (SendCommands) effect() {}
func (QueryWorker) effect()  {}
func (ProbeReplica) effect() {}
func (QueryPeer) effect()    {}

// Package core decides everything: what users are told, who leads, which machines
// are rented and what runs where. It is a state machine. Each input is handed to
// Step with the time at which it came; Step returns what to send, write and
// answer. There is no clock, no I/O, no goroutine and no randomness in here, so a
// kept trace plays the same way each time.
package core

import (
	"time"

	"bitternwing/internal/membership"
	"bitternwing/internal/outcome"
	"bitternwing/internal/rollout"
	"bitternwing/internal/wire"
)

// Time is the moment of an input: the steady clock of this process and the time
// of day in milliseconds. Took is how long the step before this one took; 0 if that is not
// known. Rounds learn from it what an evaluation costs. Waited is how long the input waited for
// the core; 0 if that is not known.
type Time struct {
	Steady time.Duration
	WallMS int64
	Took   time.Duration
	Waited time.Duration
}

// Input is something that happened.
type Input interface{ input() }

// Tick is the passing of time.
type Tick struct{}

// Requests of users. Req names the waiting request.
type (
	// SubmitJob hands in a job.
	SubmitJob struct {
		RequestID uint64
		Job       *wire.Job
	}
	// GetJob asks for a job's state.
	GetJob struct {
		RequestID uint64
		ID        string
	}
	// CancelJob calls a job off.
	CancelJob struct {
		RequestID uint64
		ID        string
	}
)

// WorkerHeartbeat is a worker's report.
type WorkerHeartbeat struct {
	RequestID uint64
	Heartbeat *wire.Heartbeat
}

// ReplicateCancellations are cancellations that another node sends. The answer says that they are known
// here from now on.
type ReplicateCancellations struct {
	RequestID     uint64
	Cancellations []Cancellation
}

// Result is the result of a call this core asked for.
type Result struct {
	CallID  uint64
	Outcome outcome.Outcome
	SentAt  time.Duration // steady time just before the request was sent

	Item         wire.Item
	Page         wire.Page
	Txn          wire.TxnResponse
	Lease        uint64
	Changes      wire.WatchResponse
	Catalog      wire.Catalog
	MachineNames []string
	Machines     wire.MachineList
	Heartbeat    wire.Heartbeat
	Peer         membership.Status
	Probe        rollout.ProbeResult
	ReadyS       float64 // until an image is there
}

func (Tick) input()                   {}
func (SubmitJob) input()              {}
func (GetJob) input()                 {}
func (CancelJob) input()              {}
func (WorkerHeartbeat) input()        {}
func (ReplicateCancellations) input() {}
func (Result) input()                 {}

// Effect is something to do.
type Effect interface{ effect() }

// Response ends a waiting request. A RetryAfter above 0 goes into the header of
// that name, in seconds.
type Response struct {
	RequestID   uint64
	Status      int
	Body        any
	RetryAfterS int
}

// The calls; each is answered by one Result with its ID.
type (
	// StoreGet reads a key.
	StoreGet struct {
		CallID uint64
		Key    string
	}
	// StoreList reads the keys below a prefix, a page at a time.
	StoreList struct {
		CallID        uint64
		Prefix, After string
	}
	// StoreTxn carries out a transaction.
	StoreTxn struct {
		CallID uint64
		Txn    wire.Txn
	}
	// StoreGrantLease asks for a lease.
	StoreGrantLease struct {
		CallID uint64
		TTL    time.Duration
	}
	// StoreRenewLease renews a lease.
	StoreRenewLease struct{ CallID, Lease uint64 }
	// StoreRevokeLease ends a lease.
	StoreRevokeLease struct{ CallID, Lease uint64 }
	// StoreWatch waits for changes of the keys below a prefix.
	StoreWatch struct {
		CallID uint64
		Prefix string
		After  uint64
		Wait   time.Duration
	}
	// CloudCatalog reads the machine types.
	CloudCatalog struct{ CallID uint64 }
	// CloudScaleOut asks for machines.
	CloudScaleOut struct {
		CallID  uint64
		Request wire.ScaleOutRequest
	}
	// CloudScaleIn gives machines back.
	CloudScaleIn struct {
		CallID uint64
		Names  []string
	}
	// CloudList reads a page of the machines that the cloud lists.
	CloudList struct {
		CallID uint64
		After  string
	}
	// SendCommands sends commands to a worker directly. Its Result is OK or Conflict
	// (nothing was executed) with the worker's report, Refused if it was certainly not
	// sent, or Unknown: it may be executed at any later time.
	SendCommands struct {
		CallID       uint64
		Addr         string
		FencingToken uint64
		Incarnation  uint64
		Commands     []wire.Command
	}
	// QueryWorker asks a worker directly for its report. Its Result is OK with it, or
	// anything else: no answer came.
	QueryWorker struct {
		CallID uint64
		Addr   string
	}
	// ProbeReplica asks a replica of a plan whether it is healthy and answers rightly.
	ProbeReplica struct {
		CallID  uint64
		Probe   rollout.Probe
		Checks  []rollout.Check
		Timeout time.Duration
	}
	// QueryPeer asks another node for its status and hands it cancellations, as Heard: an OK
	// means that it has taken them in.
	QueryPeer struct {
		CallID        uint64
		Node          string
		Cancellations []Cancellation
	}
)

// Level is the level of a log line.
type Level int

// The levels.
const (
	Debug Level = iota
	Info
	Error
)

// Log is a line for the log: a message and pairs of names and values.
type Log struct {
	Level   Level
	Message string
	Fields  []any
}

func (Response) effect()         {}
func (StoreGet) effect()         {}
func (StoreList) effect()        {}
func (StoreTxn) effect()         {}
func (StoreGrantLease) effect()  {}
func (StoreRenewLease) effect()  {}
func (StoreRevokeLease) effect() {}
func (StoreWatch) effect()       {}
func (CloudCatalog) effect()     {}
func (CloudScaleOut) effect()    {}
func (CloudScaleIn) effect()     {}
func (CloudList) effect()        {}
func (SendCommands) effect()     {}
func (QueryWorker) effect()      {}
func (QueryPeer) effect()        {}
func (ProbeReplica) effect()     {}
func (Log) effect()              {}

// Package core decides everything: what users are told, who leads, which machines
// are rented and what runs where. It is a state machine. Each input is handed to
// Step with the time at which it came; Step returns what to send, write and
// answer. There is no clock, no I/O, no goroutine and no randomness in here, so a
// kept trace plays the same way each time.
package core

import (
	"time"

	"bitternwing/internal/call"
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
	// Submit hands in a job.
	Submit struct {
		Req uint64
		Job *wire.Job
	}
	// Poll asks for a job's state.
	Poll struct {
		Req uint64
		ID  string
	}
	// Cancel calls a job off.
	Cancel struct {
		Req uint64
		ID  string
	}
)

// Checkin is a worker's report.
type Checkin struct {
	Req    uint64
	Report *wire.Heartbeat
}

// CancellationsReceived are cancellations that another node sends. The answer says that they are known
// here from now on.
type CancellationsReceived struct {
	Req           uint64
	Cancellations []Cancellation
}

// Result is the result of a call this core asked for.
type Result struct {
	ID      uint64
	Outcome call.Outcome
	Sent    time.Duration // steady time just before the request was sent

	Item     wire.Item
	Page     wire.Page
	Txn      wire.TxnResponse
	Lease    uint64
	Changes  wire.WatchResponse
	Catalog  wire.Catalog
	Names    []string
	Machines wire.MachineList
	Report   wire.Heartbeat
	Peer     PeerStatus
	Probe    rollout.Answer
	ReadyS   float64 // until an image is there
}

// PeerStatus is what another node says of itself.
type PeerStatus struct {
	StateDown bool
	Term      uint64
	Leads     bool
	ReportAge time.Duration // negative: no worker ever reported to it
	// ZonesApart are zones whose workers a leader can't reach, nor they it.
	ZonesApart []string
	// Unsettled are cancelled jobs of which a leader says that users may not be told yet.
	Unsettled []string
	// UnsettledMore tells that there are more of them than are listed.
	UnsettledMore bool
	// Revision is how far it has read the changes of jobs; 0: not yet.
	Revision uint64
	// Layouts is the newest layout of run records that its version knows; 0 in version 1, which does
	// not say.
	Layouts uint32
	// KnowsPlans tells that its version knows plans of rollouts.
	KnowsPlans bool
}

func (Tick) input()                  {}
func (Submit) input()                {}
func (Poll) input()                  {}
func (Cancel) input()                {}
func (Checkin) input()               {}
func (CancellationsReceived) input() {}
func (Result) input()                {}

// Effect is something to do.
type Effect interface{ effect() }

// Answer ends a waiting request. A RetryAfter above 0 goes into the header of
// that name, in seconds.
type Answer struct {
	Req        uint64
	Status     int
	Body       any
	RetryAfter int
}

// The calls; each is answered by one Result with its ID.
type (
	// StateGet reads a key.
	StateGet struct {
		ID  uint64
		Key string
	}
	// StateList reads the keys below a prefix, a page at a time.
	StateList struct {
		ID            uint64
		Prefix, After string
	}
	// StateTxn carries out a transaction.
	StateTxn struct {
		ID  uint64
		Txn wire.Txn
	}
	// StateGrant asks for a lease.
	StateGrant struct {
		ID  uint64
		TTL time.Duration
	}
	// StateExtend renews a lease.
	StateExtend struct{ ID, Lease uint64 }
	// StateRevoke ends a lease.
	StateRevoke struct{ ID, Lease uint64 }
	// StateWatch waits for changes of the keys below a prefix.
	StateWatch struct {
		ID     uint64
		Prefix string
		After  uint64
		Wait   time.Duration
	}
	// CloudCatalog reads the machine types.
	CloudCatalog struct{ ID uint64 }
	// CloudRent asks for machines.
	CloudRent struct {
		ID      uint64
		Request wire.ScaleOutRequest
	}
	// CloudRelease gives machines back.
	CloudRelease struct {
		ID    uint64
		Names []string
	}
	// CloudList reads a page of the machines that the cloud lists.
	CloudList struct {
		ID    uint64
		After string
	}
	// WorkerOrders sends commands to a worker directly. Its Result is OK or Conflict
	// (nothing was executed) with the worker's report, Refused if it was certainly not
	// sent, or Unknown: it may be executed at any later time.
	WorkerOrders struct {
		ID       uint64
		Addr     string
		Token    uint64
		Session  uint64
		Commands []wire.Command
	}
	// WorkerInspect asks a worker directly for its report. Its Result is OK with it, or
	// anything else: no answer came.
	WorkerInspect struct {
		ID   uint64
		Addr string
	}
	// ProbeReplica asks a replica of a plan whether it is healthy and answers rightly.
	ProbeReplica struct {
		ID      uint64
		Probe   rollout.Probe
		Checks  []rollout.Check
		Timeout time.Duration
	}
	// PeerAsk asks another node for its status and hands it cancellations, as Heard: an OK
	// means that it has taken them in.
	PeerAsk struct {
		ID            uint64
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
	Pairs   []any
}

func (Answer) effect()        {}
func (StateGet) effect()      {}
func (StateList) effect()     {}
func (StateTxn) effect()      {}
func (StateGrant) effect()    {}
func (StateExtend) effect()   {}
func (StateRevoke) effect()   {}
func (StateWatch) effect()    {}
func (CloudCatalog) effect()  {}
func (CloudRent) effect()     {}
func (CloudRelease) effect()  {}
func (CloudList) effect()     {}
func (WorkerOrders) effect()  {}
func (WorkerInspect) effect() {}
func (PeerAsk) effect()       {}
func (ProbeReplica) effect()  {}
func (Log) effect()           {}

package core

import (
	"time"

	"bitternwing/internal/wire"
)

// Time is the moment of an input.
type Time struct {
	Steady time.Duration // the steady clock of this process
	WallMS int64         // the time of day in milliseconds
	Took   time.Duration // how long the step before this one took; 0: not known. It tells what an evaluation costs.
	Waited time.Duration // how long the input waited for the core; 0: not known
}

// Input is an event that the core handles.
type Input interface{ input() }

// Tick is the passing of time.
type Tick struct{}

// SubmitJob is a user's request to accept a job.
type SubmitJob struct {
	RequestID uint64
	Job       *wire.Job
}

// GetJob is a user's request for a job's state.
type GetJob struct {
	RequestID uint64
	ID        string
}

// CancelJob is a user's request to cancel a job.
type CancelJob struct {
	RequestID uint64
	ID        string
}

// WorkerHeartbeat is a worker's heartbeat.
type WorkerHeartbeat struct {
	RequestID uint64
	Heartbeat *wire.Heartbeat
}

// ReplicateCancellations are cancellations that a peer sends. The response acknowledges that they are known here from now
// on.
type ReplicateCancellations struct {
	RequestID     uint64
	Cancellations []Cancellation
}

func (Tick) input()                   {}
func (SubmitJob) input()              {}
func (GetJob) input()                 {}
func (CancelJob) input()              {}
func (WorkerHeartbeat) input()        {}
func (ReplicateCancellations) input() {}

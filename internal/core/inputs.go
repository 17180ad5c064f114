package core

import (
	"time"

	"bitternwing/internal/wire"
)

// Time is the time of an input, with measurements of the host's event loop.
type Time struct {
	Steady           time.Duration // monotonic time of this process
	WallMS           int64         // Unix time in milliseconds
	LastStepDuration time.Duration // duration of the previous step, to estimate the cost of an evaluation; 0: unknown
	QueueDelay       time.Duration // how long the input waited for this step; 0: unknown
}

// Input is an event that the core handles.
type Input interface{ input() }

// Tick only advances the time.
type Tick struct{}

// SubmitJob is a user's submission of a job.
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

// ReplicateCancellations carries cancellations from a peer. The response acknowledges that this node knows them from
// then on.
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

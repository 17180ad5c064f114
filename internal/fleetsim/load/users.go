package load

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bitternwing/internal/apiclient"
	"bitternwing/internal/config"
	"bitternwing/internal/fleetsim/measure"
	"bitternwing/internal/simworker"
	"bitternwing/internal/wire"
)

// The users' times by the protocol.
const (
	submitTimeout = 60 * time.Second
	pollInterval  = 5 * time.Second
	cancelTimeout = 2 * time.Minute
)

// maxConcurrentRequests bounds the users that wait for an answer.
const maxConcurrentRequests = 512

// Ledger is told what users did and were told.
type Ledger interface {
	RecordSubmission(job *wire.Job)
	RecordAccepted(id string)
	RecordStatus(id string, state wire.JobStatus)
	RecordNotFound(id string)
}

// Traffic counts users' messages.
type Traffic interface {
	Count(controller string, kind simworker.MessageKind, received, sent int)
}

// Users submit jobs, ask about them until they are over, and cancel services in the end. They reach the
// controllers in turn, as through a load balancer that knows which are healthy.
type Users struct {
	ledger  Ledger
	client  *apiclient.Client
	slots   chan struct{}
	running sync.WaitGroup

	// SubmitTimes are from the first try of a submission to its answer.
	SubmitTimes *measure.Histogram
	Submitted   atomic.Int64
	Accepted    atomic.Int64
	Refused     atomic.Int64
	GivenUp     atomic.Int64
	Done        atomic.Int64
	Cancelled   atomic.Int64
}

// NewUsers makes users of controllers at addresses.
func NewUsers(addresses []string, ledger Ledger, traffic Traffic, names map[string]string) *Users {
	transport := &countingTransport{traffic: traffic, names: names, next: &http.Transport{
		MaxIdleConnsPerHost: maxConcurrentRequests, IdleConnTimeout: 30 * time.Second, DisableCompression: true}}
	return &Users{ledger: ledger, client: apiclient.NewBalanced(addresses, transport), slots: make(chan struct{}, maxConcurrentRequests),
		SubmitTimes: measure.NewHistogram()}
}

// Start has a user submit a job and follow it, in the background, until the context ends.
func (u *Users) Start(ctx context.Context, a Arrival) {
	u.ledger.RecordSubmission(a.Job)
	u.Submitted.Add(1)
	u.running.Add(1)
	go func() {
		defer u.running.Done()
		u.followJob(ctx, a)
	}()
}

// Wait waits for all users. Their context has to have ended.
func (u *Users) Wait() { u.running.Wait() }

func (u *Users) followJob(ctx context.Context, a Arrival) {
	if !u.submit(ctx, a.Job) {
		return
	}
	var cancelAt <-chan time.Time
	if a.Job.Kind == wire.KindService && a.Class.RunS > 0 {
		cancelAt = time.After(config.Seconds(a.Class.RunS))
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-cancelAt:
			u.Cancel(ctx, a.Job.ID)
			return
		case <-time.After(pollInterval):
			if u.poll(ctx, a.Job.ID) {
				return
			}
		}
	}
}

// submit hands a job in; true if it was accepted.
func (u *Users) submit(ctx context.Context, job *wire.Job) bool {
	body, err := job.Submission()
	if err != nil {
		return false
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	_, err = u.withSlot(ctx, func() (wire.JobState, error) { return u.client.Submit(ctx, body) })
	var refused *apiclient.RefusedError
	switch {
	case err == nil:
		u.SubmitTimes.Add(time.Since(began))
		u.Accepted.Add(1)
		u.ledger.RecordAccepted(job.ID)
		return true
	case errors.As(err, &refused):
		u.Refused.Add(1)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		u.GivenUp.Add(1)
	}
	return false
}

// poll asks about a job; true if it is over.
func (u *Users) poll(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, pollInterval)
	defer cancel()
	state, err := u.withSlot(ctx, func() (wire.JobState, error) { return u.client.Show(ctx, id) })
	if errors.Is(err, apiclient.ErrNotFound) {
		u.ledger.RecordNotFound(id)
	}
	if err != nil {
		return false
	}
	u.ledger.RecordStatus(id, state.State)
	return u.countFinal(state.State)
}

// Cancel has a user cancel a job.
func (u *Users) Cancel(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	state, err := u.withSlot(ctx, func() (wire.JobState, error) { return u.client.Cancel(ctx, id) })
	if err == nil {
		u.ledger.RecordStatus(id, state.State)
		u.countFinal(state.State)
	}
}

// countFinal counts final states.
func (u *Users) countFinal(state wire.JobStatus) bool {
	switch state {
	case wire.JobDone:
		u.Done.Add(1)
		return true
	case wire.JobCancelled:
		u.Cancelled.Add(1)
		return true
	case wire.JobPending, wire.JobRunning:
	}
	return false
}

// withSlot waits for its turn among all users.
func (u *Users) withSlot(ctx context.Context, f func() (wire.JobState, error)) (wire.JobState, error) {
	select {
	case u.slots <- struct{}{}:
	case <-ctx.Done():
		return wire.JobState{}, ctx.Err()
	}
	defer func() { <-u.slots }()
	return f()
}

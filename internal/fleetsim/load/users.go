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

// maxConcurrentRequests bounds the requests of all users at a time.
const maxConcurrentRequests = 512

// Ledger records what users submit, and the responses that they get.
type Ledger interface {
	RecordSubmission(job *wire.Job)
	RecordAccepted(id string)
	RecordStatus(id string, state wire.JobStatus)
	RecordNotFound(id string)
}

// Traffic counts the messages of users.
type Traffic interface {
	Count(controller string, kind simworker.MessageKind, received, sent int)
}

// Users submit jobs, poll them until they have ended, and cancel services in the end. They reach the
// controllers in turn, as through a load balancer that knows which are healthy.
type Users struct {
	ledger  Ledger
	client  *apiclient.Client
	slots   chan struct{}
	running sync.WaitGroup

	// SubmitTimes are from the first attempt of a submission to its response.
	SubmitTimes *measure.Histogram
	Submitted   atomic.Int64
	Accepted    atomic.Int64
	Refused     atomic.Int64
	GivenUp     atomic.Int64
	Done        atomic.Int64
	Cancelled   atomic.Int64
}

// NewUsers makes users of controllers at addresses; names are those of the controllers by address.
func NewUsers(addresses []string, ledger Ledger, traffic Traffic, names map[string]string) *Users {
	transport := &countingTransport{traffic: traffic, names: names, next: &http.Transport{
		MaxIdleConnsPerHost: maxConcurrentRequests, IdleConnTimeout: 30 * time.Second, DisableCompression: true}}
	return &Users{ledger: ledger, client: apiclient.NewRoundRobin(addresses, transport), slots: make(chan struct{}, maxConcurrentRequests),
		SubmitTimes: measure.NewHistogram()}
}

// Start has a user submit a job and follow it in the background, until the context ends.
func (u *Users) Start(ctx context.Context, arrival Arrival) {
	u.ledger.RecordSubmission(arrival.Job)
	u.Submitted.Add(1)
	u.running.Add(1)
	go func() {
		defer u.running.Done()
		u.followJob(ctx, arrival)
	}()
}

// Wait waits for all users. Their context has to have ended.
func (u *Users) Wait() { u.running.Wait() }

// followJob submits a job, and polls it until it has ended or is to be cancelled.
func (u *Users) followJob(ctx context.Context, arrival Arrival) {
	if !u.submit(ctx, arrival.Job) {
		return
	}
	var cancelAt <-chan time.Time
	if arrival.Job.Kind == wire.KindService && arrival.Class.RunS > 0 {
		cancelAt = time.After(config.Seconds(arrival.Class.RunS))
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-cancelAt:
			u.Cancel(ctx, arrival.Job.ID)
			return
		case <-time.After(pollInterval):
			if u.poll(ctx, arrival.Job.ID) {
				return
			}
		}
	}
}

// submit submits a job; true if it was accepted.
func (u *Users) submit(ctx context.Context, job *wire.Job) bool {
	body, err := job.Submission()
	if err != nil {
		return false
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	_, err = u.withSlot(ctx, func() (wire.JobResponse, error) { return u.client.Submit(ctx, body) })
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

// poll requests the state of a job; true if it has ended.
func (u *Users) poll(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, pollInterval)
	defer cancel()
	state, err := u.withSlot(ctx, func() (wire.JobResponse, error) { return u.client.Show(ctx, id) })
	if errors.Is(err, apiclient.ErrNotFound) {
		u.ledger.RecordNotFound(id)
	}
	if err != nil {
		return false
	}
	u.ledger.RecordStatus(id, state.Status)
	return u.countFinal(state.Status)
}

// Cancel has a user cancel a job.
func (u *Users) Cancel(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	state, err := u.withSlot(ctx, func() (wire.JobResponse, error) { return u.client.Cancel(ctx, id) })
	if err == nil {
		u.ledger.RecordStatus(id, state.Status)
		u.countFinal(state.Status)
	}
}

// countFinal counts final states; false for others.
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

// withSlot makes a request once fewer than maxConcurrentRequests are under way.
func (u *Users) withSlot(ctx context.Context, request func() (wire.JobResponse, error)) (wire.JobResponse, error) {
	select {
	case u.slots <- struct{}{}:
	case <-ctx.Done():
		return wire.JobResponse{}, ctx.Err()
	}
	defer func() { <-u.slots }()
	return request()
}

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

// The users' timeouts and intervals by the protocol.
const (
	submitTimeout = 60 * time.Second
	pollInterval  = 5 * time.Second
	cancelTimeout = 2 * time.Minute
)

// maxConcurrentRequests is the maximum number of concurrent requests of all users.
const maxConcurrentRequests = 512

// Ledger records what users submit and the responses that they receive.
type Ledger interface {
	RecordSubmission(job *wire.Job)
	RecordAccepted(id string)
	RecordStatus(id string, state wire.JobStatus)
	RecordNotFound(id string)
}

// Traffic counts the messages of users by controller and kind.
type Traffic interface {
	Count(controller string, kind simworker.MessageKind, received, sent int)
}

// Users simulates users, who submit jobs, poll them until they have ended, and cancel services after their run time.
// They reach the controllers in turn, as through a load balancer that knows which ones are healthy.
type Users struct {
	ledger       Ledger
	client       *apiclient.Client
	requestSlots chan struct{}
	running      sync.WaitGroup

	// SubmitTimes holds the times from the first attempt of a submission to its response.
	SubmitTimes *measure.Histogram
	Submitted   atomic.Int64
	Accepted    atomic.Int64
	Refused     atomic.Int64
	GivenUp     atomic.Int64
	Done        atomic.Int64
	Cancelled   atomic.Int64
}

// NewUsers returns users of the controllers at addresses. names holds the names of the controllers by address.
func NewUsers(addresses []string, ledger Ledger, traffic Traffic, names map[string]string) *Users {
	transport := &countingTransport{traffic: traffic, names: names, next: &http.Transport{
		MaxIdleConnsPerHost: maxConcurrentRequests, IdleConnTimeout: 30 * time.Second, DisableCompression: true}}
	return &Users{ledger: ledger, client: apiclient.NewRoundRobin(addresses, transport), requestSlots: make(chan struct{}, maxConcurrentRequests),
		SubmitTimes: measure.NewHistogram()}
}

// StartUser starts a user who submits a job and follows it in the background, until the job or the context ends.
func (u *Users) StartUser(ctx context.Context, arrival Arrival) {
	u.ledger.RecordSubmission(arrival.Job)
	u.Submitted.Add(1)
	u.running.Add(1)
	go func() {
		defer u.running.Done()
		u.followJob(ctx, arrival)
	}()
}

// Wait waits for all users to end. Their context has to be done.
func (u *Users) Wait() { u.running.Wait() }

// followJob submits a job and polls it until it has ended. It cancels a service after the run time of its class.
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

// submit submits a job, and reports whether it was accepted. Timeouts and refusals are counted.
func (u *Users) submit(ctx context.Context, job *wire.Job) bool {
	body, err := job.Submission()
	if err != nil {
		return false
	}
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	_, err = u.withSlot(ctx, func() (wire.JobResponse, error) { return u.client.Submit(ctx, body) })
	var refused *apiclient.RefusedError
	switch {
	case err == nil:
		u.SubmitTimes.Add(time.Since(startedAt))
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

// poll requests the state of a job, and reports whether the job has ended.
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

// Cancel cancels a job as its user.
func (u *Users) Cancel(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	state, err := u.withSlot(ctx, func() (wire.JobResponse, error) { return u.client.Cancel(ctx, id) })
	if err == nil {
		u.ledger.RecordStatus(id, state.Status)
		u.countFinal(state.Status)
	}
}

// countFinal counts a final state, and reports whether the state is final.
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

// withSlot makes a request as soon as fewer than maxConcurrentRequests are in progress.
func (u *Users) withSlot(ctx context.Context, request func() (wire.JobResponse, error)) (wire.JobResponse, error) {
	select {
	case u.requestSlots <- struct{}{}:
	case <-ctx.Done():
		return wire.JobResponse{}, ctx.Err()
	}
	defer func() { <-u.requestSlots }()
	return request()
}

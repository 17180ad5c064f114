// Package apiclient is a client of the controllers' public API for jobs: it submits, shows and cancels them. As the
// protocol requires, it retries requests that can't be served now until the context ends. It does not retry refused
// requests.
package apiclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"bitternwing/internal/wire"
)

// ErrNotFound is returned for the ID of a job that was never accepted.
var ErrNotFound = errors.New("no such job")

// RefusedError is returned for a request that is invalid or can never be served. It is not retried.
type RefusedError struct {
	Status int
	Reason string
}

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("refused (%d): %s", e.Status, e.Reason) }

// UnavailableError is returned if there is no final response before the context ends. The request may have been
// applied.
type UnavailableError struct{ LastError error }

// Error implements error.
func (e *UnavailableError) Error() string { return fmt.Sprintf("no answer in time: %v", e.LastError) }

// Unwrap returns the error of the last attempt.
func (e *UnavailableError) Unwrap() error { return e.LastError }

// errNoJobState is returned for a successful response whose body is not a job state.
var errNoJobState = errors.New("an answer that can't be read")

// The bounds of the delay between attempts, which also apply to a Retry-After header, and the time limit of an attempt.
const (
	minRetryDelay  = time.Second
	maxRetryDelay  = 30 * time.Second
	attemptTimeout = 5 * time.Second
)

// maxResponseBytes bounds how much of a response's body is read.
const maxResponseBytes = 64 << 10

// Client calls a controller, a load balancer, or several controllers in turn.
type Client struct {
	addresses []string
	attempts  atomic.Uint64
	http      *http.Client
}

// New returns a client for an address of the form host:port.
func New(address string) *Client { return NewRoundRobin([]string{address}, nil) }

// NewRoundRobin returns a client that uses the next of the addresses for each attempt. If transport is nil, it uses
// http.DefaultTransport.
func NewRoundRobin(addresses []string, transport http.RoundTripper) *Client {
	return &Client{addresses: addresses, http: &http.Client{Timeout: attemptTimeout, Transport: transport}}
}

// nextAddress returns the address for the next attempt.
func (c *Client) nextAddress() string {
	number := c.attempts.Add(1) - 1
	return c.addresses[number%uint64(len(c.addresses))]
}

// Submit submits a job in the protocol's JSON format, and returns its state. It is idempotent: submitting the same job
// again changes nothing.
func (c *Client) Submit(ctx context.Context, job []byte) (wire.JobResponse, error) {
	return c.doWithRetries(ctx, http.MethodPost, wire.JobsPath, job)
}

// Show returns a job's state.
func (c *Client) Show(ctx context.Context, id string) (wire.JobResponse, error) {
	return c.doWithRetries(ctx, http.MethodGet, wire.JobsPath+"/"+id, nil)
}

// Cancel cancels a job, and returns its final state: cancelled, or finished before.
func (c *Client) Cancel(ctx context.Context, id string) (wire.JobResponse, error) {
	return c.doWithRetries(ctx, http.MethodPost, wire.JobsPath+"/"+id+wire.CancelSuffix, nil)
}

// doWithRetries repeats a request until it gets a final response or the context ends.
func (c *Client) doWithRetries(ctx context.Context, method, path string, body []byte) (wire.JobResponse, error) {
	for {
		state, delay, err := c.attempt(ctx, method, path, body)
		if err == nil || delay == 0 {
			return state, err
		}
		select {
		case <-ctx.Done():
			return wire.JobResponse{}, &UnavailableError{err}
		case <-time.After(delay):
		}
	}
}

// attempt sends a request once. A positive delay means that the request should be retried after that time.
func (c *Client) attempt(ctx context.Context, method, path string, body []byte) (state wire.JobResponse, delay time.Duration, err error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.nextAddress()+path, bytes.NewReader(body))
	if err != nil {
		return wire.JobResponse{}, 0, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return wire.JobResponse{}, minRetryDelay, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return wire.JobResponse{}, minRetryDelay, err
	}
	return decodeResponse(response, data)
}

// decodeResponse converts a response with its body to a job state or an error. A positive delay means that the request
// should be retried after that time.
func decodeResponse(response *http.Response, data []byte) (state wire.JobResponse, delay time.Duration, err error) {
	switch response.StatusCode {
	case http.StatusOK, http.StatusCreated:
		if err := json.Unmarshal(data, &state); err != nil || state.ID == "" {
			return wire.JobResponse{}, minRetryDelay, errNoJobState
		}
		return state, 0, nil
	case http.StatusNotFound:
		return wire.JobResponse{}, 0, ErrNotFound
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return wire.JobResponse{}, 0, &RefusedError{response.StatusCode, errorReason(data)}
	}
	return wire.JobResponse{}, retryDelay(response), fmt.Errorf("%s: %s", response.Status, errorReason(data))
}

// retryDelay returns the delay in a response's Retry-After header, limited to the range from minRetryDelay to
// maxRetryDelay.
func retryDelay(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil {
		return minRetryDelay
	}
	return min(max(time.Duration(seconds)*time.Second, minRetryDelay), maxRetryDelay)
}

// errorReason returns the error text in a response's body.
func errorReason(data []byte) string {
	var body wire.ErrorBody
	if json.Unmarshal(data, &body) != nil || body.Error == "" {
		return "no reason given"
	}
	return body.Error
}

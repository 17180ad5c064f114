// Package apiclient is a client of the controllers' public API for jobs: it submits, shows and cancels them. Requests that can't
// be answered now are retried until the context ends, as the protocol has users do it; it never retries what was refused.
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

// ErrNotFound is returned for a job that was never accepted.
var ErrNotFound = errors.New("no such job")

// RefusedError is returned for a request that no retry changes, with its reason.
type RefusedError struct {
	Status int
	Reason string
}

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("refused (%d): %s", e.Status, e.Reason) }

// UnavailableError is returned if there is no response before the context ends. The request may have been applied.
type UnavailableError struct{ LastError error }

// Error implements error.
func (e *UnavailableError) Error() string { return fmt.Sprintf("no answer in time: %v", e.LastError) }

// Unwrap gives the error of the last attempt.
func (e *UnavailableError) Unwrap() error { return e.LastError }

// errUndecodable is the error for a success without a job state.
var errUndecodable = errors.New("an answer that can't be read")

// The delays between attempts, within which a Retry-After counts, and the time that one attempt may take.
const (
	minRetryDelay  = time.Second
	maxRetryDelay  = 30 * time.Second
	attemptTimeout = 5 * time.Second
)

// maxResponseBytes bounds what is read of a response.
const maxResponseBytes = 64 << 10

// Client calls one controller, or a load balancer before several, or several in turn.
type Client struct {
	addresses []string
	attempts  atomic.Uint64
	http      *http.Client
}

// New makes a client for an address of the form host:port.
func New(address string) *Client { return NewBalanced([]string{address}, nil) }

// NewBalanced makes a client that takes the next one of some addresses at each attempt. A nil transport is the
// default one.
func NewBalanced(addresses []string, transport http.RoundTripper) *Client {
	return &Client{addresses: addresses, http: &http.Client{Timeout: attemptTimeout, Transport: transport}}
}

// nextAddress gives the address for the next attempt.
func (c *Client) nextAddress() string {
	number := c.attempts.Add(1) - 1
	return c.addresses[number%uint64(len(c.addresses))]
}

// Submit submits a job, given in the protocol's form, and returns its state. Submissions of the same job are idempotent.
func (c *Client) Submit(ctx context.Context, job []byte) (wire.JobResponse, error) {
	return c.doWithRetries(ctx, http.MethodPost, wire.JobsPath, job)
}

// Show returns a job's state.
func (c *Client) Show(ctx context.Context, id string) (wire.JobResponse, error) {
	return c.doWithRetries(ctx, http.MethodGet, wire.JobsPath+"/"+id, nil)
}

// Cancel cancels a job, and returns its final state: cancelled, or done before.
func (c *Client) Cancel(ctx context.Context, id string) (wire.JobResponse, error) {
	return c.doWithRetries(ctx, http.MethodPost, wire.JobsPath+"/"+id+wire.CancelSuffix, nil)
}

// doWithRetries repeats a request until there is a final response or the context ends.
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

// attempt makes a request once. A delay above 0 says when to retry.
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

// decodeResponse decodes a response with its body.
func decodeResponse(response *http.Response, data []byte) (state wire.JobResponse, delay time.Duration, err error) {
	switch response.StatusCode {
	case http.StatusOK, http.StatusCreated:
		if err := json.Unmarshal(data, &state); err != nil || state.ID == "" {
			return wire.JobResponse{}, minRetryDelay, errUndecodable
		}
		return state, 0, nil
	case http.StatusNotFound:
		return wire.JobResponse{}, 0, ErrNotFound
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return wire.JobResponse{}, 0, &RefusedError{response.StatusCode, reason(data)}
	}
	return wire.JobResponse{}, retryDelay(response), fmt.Errorf("%s: %s", response.Status, reason(data))
}

// retryDelay gives the delay that a response asks for, within the bounds.
func retryDelay(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil {
		return minRetryDelay
	}
	return min(max(time.Duration(seconds)*time.Second, minRetryDelay), maxRetryDelay)
}

// reason gives the reason in a response's body.
func reason(data []byte) string {
	var body wire.ErrorBody
	if json.Unmarshal(data, &body) != nil || body.Error == "" {
		return "no reason given"
	}
	return body.Error
}

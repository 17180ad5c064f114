// Package apiclient asks a controller about jobs, as users do: it submits, shows and cancels them. What
// can't be answered now is asked again, as the protocol has users do it.
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

// ErrNotFound says that no such job was ever accepted.
var ErrNotFound = errors.New("no such job")

// RefusedError says that a request will never be carried out, and why.
type RefusedError struct {
	Status int
	Reason string
}

func (e *RefusedError) Error() string { return fmt.Sprintf("refused (%d): %s", e.Status, e.Reason) }

// UnavailableError says that no answer came in time. The request may have been carried out.
type UnavailableError struct{ LastError error }

func (e *UnavailableError) Error() string { return fmt.Sprintf("no answer in time: %v", e.LastError) }
func (e *UnavailableError) Unwrap() error { return e.LastError }

// leastPause is the least time between two tries, mostPause the most that a Retry-After may ask for.
const (
	minRetryDelay  = time.Second
	maxRetryDelay  = 30 * time.Second
	attemptTimeout = 5 * time.Second
)

// maxResponseBytes bounds what is read of an answer.
const maxResponseBytes = 64 << 10

// Client asks one controller, or a load balancer before several, or several in turn.
type Client struct {
	addresses []string
	attempts  atomic.Uint64
	http      *http.Client
}

// New makes a client for an address of the form host:port.
func New(address string) *Client { return NewBalanced([]string{address}, nil) }

// NewBalanced makes a client that asks the next one of some addresses at each try. A nil transport is the
// default one.
func NewBalanced(addresses []string, transport http.RoundTripper) *Client {
	return &Client{addresses: addresses, http: &http.Client{Timeout: attemptTimeout, Transport: transport}}
}

// nextAddress gives the address for the next try.
func (c *Client) nextAddress() string {
	n := c.attempts.Add(1) - 1
	return c.addresses[n%uint64(len(c.addresses))]
}

// Submit hands in a job, given as the protocol has it, and gives its state.
func (c *Client) Submit(ctx context.Context, job []byte) (wire.JobState, error) {
	return c.doWithRetries(ctx, http.MethodPost, wire.JobsPath, job)
}

// Show gives a job's state.
func (c *Client) Show(ctx context.Context, id string) (wire.JobState, error) {
	return c.doWithRetries(ctx, http.MethodGet, wire.JobsPath+"/"+id, nil)
}

// Cancel calls a job off, and gives what became of it: cancelled, or done before.
func (c *Client) Cancel(ctx context.Context, id string) (wire.JobState, error) {
	return c.doWithRetries(ctx, http.MethodPost, wire.JobsPath+"/"+id+wire.CancelSuffix, nil)
}

// doWithRetries repeats a request until it is answered or the time is over.
func (c *Client) doWithRetries(ctx context.Context, method, path string, body []byte) (wire.JobState, error) {
	for {
		state, pause, err := c.attempt(ctx, method, path, body)
		if err == nil || pause == 0 {
			return state, err
		}
		select {
		case <-ctx.Done():
			return wire.JobState{}, &UnavailableError{err}
		case <-time.After(pause):
		}
	}
}

// attempt makes a request once. A pause above 0 says when to ask again.
func (c *Client) attempt(ctx context.Context, method, path string, body []byte) (wire.JobState, time.Duration, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.nextAddress()+path, bytes.NewReader(body))
	if err != nil {
		return wire.JobState{}, 0, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return wire.JobState{}, minRetryDelay, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return wire.JobState{}, minRetryDelay, err
	}
	return decodeResponse(resp, data)
}

// decodeResponse takes an answer.
func decodeResponse(resp *http.Response, data []byte) (wire.JobState, time.Duration, error) {
	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated:
		var state wire.JobState
		if err := json.Unmarshal(data, &state); err != nil || state.ID == "" {
			return wire.JobState{}, minRetryDelay, errors.New("an answer that can't be read")
		}
		return state, 0, nil
	case http.StatusNotFound:
		return wire.JobState{}, 0, ErrNotFound
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return wire.JobState{}, 0, &RefusedError{resp.StatusCode, reason(data)}
	}
	return wire.JobState{}, retryDelay(resp), fmt.Errorf("%s: %s", resp.Status, reason(data))
}

func retryDelay(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil {
		return minRetryDelay
	}
	return min(max(time.Duration(seconds)*time.Second, minRetryDelay), maxRetryDelay)
}

// reason gives what an answer says of its cause.
func reason(data []byte) string {
	var body wire.ErrorBody
	if json.Unmarshal(data, &body) != nil || body.Error == "" {
		return "no reason given"
	}
	return body.Error
}

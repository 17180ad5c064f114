// Package httpclient sends JSON requests over HTTP and classifies their outcomes. A request whose response is lost has
// an unknown outcome, never a failed one, since the service may have applied it.
package httpclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"bitternwing/internal/outcome"
)

// Client sends requests to one service, or to many hosts.
type Client struct {
	http             *http.Client
	transport        *http.Transport
	baseURL          string // scheme and address of the service; empty if paths are complete URLs
	limiter          *rate.Limiter
	maxResponseBytes int64
}

// The limits of a connection.
const (
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
)

// New creates a client for the service at an address. Requests beyond requestsPerSecond are dropped immediately,
// without being sent. maxConnections bounds the connections, and maxResponseBytes the size of a response.
func New(addr string, requestsPerSecond float64, maxConnections int, maxResponseBytes int64) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		MaxIdleConns:        maxConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{
		http:             &http.Client{Transport: transport},
		transport:        transport,
		baseURL:          "http://" + addr,
		limiter:          rate.NewLimiter(rate.Limit(requestsPerSecond), max(1, int(requestsPerSecond))),
		maxResponseBytes: maxResponseBytes,
	}
}

// NewMultiHost creates a client for many hosts. The path argument of Do is then a complete URL.
func NewMultiHost(requestsPerSecond float64, maxConnectionsPerHost, maxIdleConnections int, maxResponseBytes int64) *Client {
	c := New("", requestsPerSecond, maxConnectionsPerHost, maxResponseBytes)
	c.baseURL = ""
	c.transport.MaxIdleConns = maxIdleConnections
	return c
}

// Do sends a request with an optional JSON body. It decodes the response into out, unless out is nil, if the status is
// a success, 404 or 409; other responses have no body of interest. A request above the rate limit is dropped.
func (c *Client) Do(ctx context.Context, method, path string, body, out any) outcome.Outcome {
	if !c.limiter.Allow() {
		return outcome.Dropped
	}
	request, err := newRequest(ctx, method, c.baseURL+path, body)
	if err != nil {
		return outcome.Invalid
	}
	response, err := c.http.Do(request)
	if err != nil {
		return outcomeOfError(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, c.maxResponseBytes+1))
	result := outcomeOfStatus(response.StatusCode)
	if err != nil || int64(len(data)) > c.maxResponseBytes {
		return outcomeWithoutBody(result, err)
	}
	hasBody := result == outcome.OK || result == outcome.Conflict || result == outcome.NotFound
	if out != nil && len(data) > 0 && hasBody && json.Unmarshal(data, out) != nil {
		return outcome.Unknown // a response that can't be decoded does not show what was applied
	}
	return result
}

// newRequest creates a request. If body is not nil, the request has it as a JSON body.
func newRequest(ctx context.Context, method, url string, body any) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, url, http.NoBody)
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// outcomeOfError returns the outcome of a request that got no response. Only a failure to connect proves that nothing
// was sent.
func outcomeOfError(err error) outcome.Outcome {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return outcome.Unavailable
	}
	return outcome.Unknown
}

// outcomeWithoutBody returns the outcome of a request whose response has a status but no usable body: reading the body
// failed with err or, if err is nil, the body was too large.
func outcomeWithoutBody(status outcome.Outcome, err error) outcome.Outcome {
	switch {
	case status.CertainlyNotApplied():
		return status
	case err == nil && status == outcome.OK:
		return outcome.TooLarge
	}
	return outcome.Unknown
}

// outcomeOfStatus returns the outcome that a response's status indicates.
func outcomeOfStatus(status int) outcome.Outcome {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return outcome.OK
	case http.StatusConflict:
		return outcome.Conflict
	case http.StatusNotFound:
		return outcome.NotFound
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return outcome.Invalid
	case http.StatusGone:
		return outcome.TooOld
	case http.StatusTooManyRequests:
		return outcome.Dropped
	case http.StatusServiceUnavailable:
		return outcome.Unavailable
	}
	return outcome.Unknown
}

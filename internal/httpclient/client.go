// Package httpclient makes JSON requests over HTTP and reports their outcome without guessing: a request whose response
// is lost has an unknown outcome, never a failed one.
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

// Client calls one service, or several at addresses of their own.
type Client struct {
	http      *http.Client
	transport *http.Transport
	base      string // the scheme and the address; empty: paths are whole URLs
	limiter   *rate.Limiter
	maxBody   int64
}

// The limits of a connection.
const (
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
)

// New makes a client for a service at an address. perSecond bounds the requests
// sent; a request over it is dropped here, at once. connections bounds the sockets, maxBody the bytes of a response.
func New(addr string, perSecond float64, connections int, maxBody int64) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		MaxIdleConns:        connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{
		http:      &http.Client{Transport: transport},
		transport: transport,
		base:      "http://" + addr,
		limiter:   rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond))),
		maxBody:   maxBody,
	}
}

// NewMultiHost makes a client for many addresses; Do then takes whole URLs as paths.
func NewMultiHost(perSecond float64, connectionsPerHost, idleConnections int, maxBody int64) *Client {
	c := New("", perSecond, connectionsPerHost, maxBody)
	c.base = ""
	c.transport.MaxIdleConns = idleConnections
	return c
}

// Do sends a request and decodes the response into out where the status is a success, or 409 or 404, whose bodies
// matter as well. body and out may be nil.
func (c *Client) Do(ctx context.Context, method, path string, body, out any) outcome.Outcome {
	if !c.limiter.Allow() {
		return outcome.Dropped
	}
	request, err := newRequest(ctx, method, c.base+path, body)
	if err != nil {
		return outcome.Invalid
	}
	response, err := c.http.Do(request)
	if err != nil {
		return outcomeOfError(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, c.maxBody+1))
	o := outcomeOfStatus(response.StatusCode)
	if err != nil || int64(len(data)) > c.maxBody {
		return outcomeWithoutBody(o, err)
	}
	hasBody := o == outcome.OK || o == outcome.Conflict || o == outcome.NotFound
	if out != nil && len(data) > 0 && hasBody && json.Unmarshal(data, out) != nil {
		return outcome.Unknown // a response that can't be decoded proves nothing
	}
	return o
}

// newRequest makes a request with a JSON body, or without one.
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

// outcomeOfError gives the outcome of a request without a response. Only a connection that was never established proves
// that nothing was sent.
func outcomeOfError(err error) outcome.Outcome {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return outcome.Unavailable
	}
	return outcome.Unknown
}

// outcomeWithoutBody gives the outcome of a request whose response has a status, and a body that could not be read or,
// without an error, was too large.
func outcomeWithoutBody(status outcome.Outcome, err error) outcome.Outcome {
	switch {
	case status.CertainlyNotApplied():
		return status
	case err == nil && status == outcome.OK:
		return outcome.TooLarge
	}
	return outcome.Unknown
}

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

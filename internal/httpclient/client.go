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

// Client talks to one service.
type Client struct {
	http    *http.Client
	base    string
	limiter *rate.Limiter
	maxBody int64
}

// New makes a client for a service at an address. perSecond bounds the requests
// sent; a request over it is dropped here, at once. conns bounds the sockets.
func New(addr string, perSecond float64, conns int, maxBody int64) *Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &Client{
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     conns,
			MaxIdleConnsPerHost: conns,
			MaxIdleConns:        conns,
			IdleConnTimeout:     30 * time.Second,
			DisableCompression:  true,
		}},
		base:    "http://" + addr,
		limiter: rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond))),
		maxBody: maxBody,
	}
}

// Any makes a client for many addresses; Do then takes whole URLs as paths.
func Any(perSecond float64, connsPerHost, conns int, maxBody int64) *Client {
	c := New("", perSecond, connsPerHost, maxBody)
	c.base = ""
	c.http.Transport.(*http.Transport).MaxIdleConns = conns
	return c
}

// Do sends a request and reads the answer into out where the status is 200 (or
// 409 and 404, whose bodies matter as well). body and out may be nil.
func (c *Client) Do(ctx context.Context, method, path string, body, out any) outcome.Outcome {
	if !c.limiter.Allow() {
		return outcome.Dropped
	}
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return outcome.Invalid
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return outcome.Invalid
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		// Only a connection that never stood proves that nothing was sent.
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return outcome.Unavailable
		}
		return outcome.Unknown
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, c.maxBody+1))
	o := outcomeOf(resp.StatusCode)
	if err != nil || int64(len(data)) > c.maxBody {
		switch {
		case o.CertainlyNotApplied():
			return o
		case err == nil && o == outcome.OK:
			return outcome.TooLarge
		}
		return outcome.Unknown
	}
	if out != nil && len(data) > 0 && (o == outcome.OK || o == outcome.Conflict || o == outcome.NotFound) {
		if json.Unmarshal(data, out) != nil {
			// An answer that can't be read tells nothing.
			return outcome.Unknown
		}
	}
	return o
}

func outcomeOf(status int) outcome.Outcome {
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

// Package call makes JSON requests over HTTP whose outcome is never guessed: a
// request either was answered, or was refused (it was certainly not carried out),
// or its outcome is unknown (it may have been carried out, or may be later).
package call

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
)

// Outcome says what is known about a request.
type Outcome int

// The outcomes.
const (
	Unknown  Outcome = iota // may have been carried out, now or later
	Refused                 // certainly not carried out: the service does not serve this node
	OK                      // carried out
	Conflict                // a condition failed, nothing was carried out
	Missing                 // what was asked for does not exist
	Invalid                 // malformed, or a lease it names has ended
	TooOld                  // a watch asked for changes no longer kept
	TooLarge                // carried out, but the answer is larger than is read here
	// Dropped is certainly not carried out, which tells nothing of the service: above its rate limit or
	// this node's own, or its time was over before it was sent.
	Dropped
)

var names = [...]string{"unknown", "refused", "ok", "conflict", "missing", "invalid", "too_old", "too_large", "dropped"}

func (o Outcome) String() string { return names[o] }

// NotDone tells whether a request was certainly not carried out and may be made again.
func (o Outcome) NotDone() bool { return o == Refused || o == Dropped }

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
func (c *Client) Do(ctx context.Context, method, path string, body, out any) Outcome {
	if !c.limiter.Allow() {
		return Dropped
	}
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return Invalid
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return Invalid
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		// Only a connection that never stood proves that nothing was sent.
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return Refused
		}
		return Unknown
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, c.maxBody+1))
	o := outcomeOf(resp.StatusCode)
	if err != nil || int64(len(data)) > c.maxBody {
		switch {
		case o.NotDone():
			return o
		case err == nil && o == OK:
			return TooLarge
		}
		return Unknown
	}
	if out != nil && len(data) > 0 && (o == OK || o == Conflict || o == Missing) {
		if json.Unmarshal(data, out) != nil {
			// An answer that can't be read tells nothing.
			return Unknown
		}
	}
	return o
}

func outcomeOf(status int) Outcome {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return OK
	case http.StatusConflict:
		return Conflict
	case http.StatusNotFound:
		return Missing
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return Invalid
	case http.StatusGone:
		return TooOld
	case http.StatusTooManyRequests:
		return Dropped
	case http.StatusServiceUnavailable:
		return Refused
	}
	return Unknown
}

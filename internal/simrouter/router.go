// Package simrouter is a stand-in of the routers that share a model's traffic: it keeps to the protocol of routings and
// leases, and sends requests to the replicas that its routing names.
package simrouter

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"bitternwing/internal/adminapi"
	"bitternwing/internal/adminapi/operatorpb"
	"bitternwing/internal/probe"
)

// Router is a router of one plan.
type Router struct {
	name, plan  string
	controllers []*adminapi.Client
	http        *http.Client
	interval    time.Duration

	mu             sync.Mutex
	partitioned    bool
	routing        *operatorpb.RouteReply // nil: it has never had one
	leaseExpiresAt time.Time              // of its lease
}

// mostAnswer bounds what is read of an answer, and tries is how many replicas a request is sent to in turn.
const (
	maxResponseBytes = 64 << 10
	maxAttempts      = 3
	attemptTimeout   = 2 * time.Second
)

// New makes a router that asks controllers in turn, at their internal addresses.
func New(name, plan string, controllers []string, interval time.Duration) (*Router, error) {
	r := &Router{name: name, plan: plan, interval: interval, http: &http.Client{Timeout: attemptTimeout, Transport: &http.Transport{
		MaxIdleConnsPerHost: 16, IdleConnTimeout: 10 * time.Second}}}
	for _, address := range controllers {
		client, err := adminapi.NewClient(address)
		if err != nil {
			return nil, err
		}
		r.controllers = append(r.controllers, client)
	}
	return r, nil
}

// Run keeps the routing up to date until the context ends.
func (r *Router) Run(ctx context.Context) {
	ticker := time.NewTicker(r.interval)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		r.refresh(ctx, r.controllers[turn%len(r.controllers)])
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// refresh asks a controller once. The lease counts from when the question was sent.
func (r *Router) refresh(ctx context.Context, controller *adminapi.Client) {
	r.mu.Lock()
	cut, q := r.partitioned, &operatorpb.RouteRequest{Plan: r.plan, Router: r.name, Generation: r.routing.GetGeneration()}
	r.mu.Unlock()
	if cut {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.interval)
	defer cancel()
	sent := time.Now()
	reply, err := controller.Route(ctx, q)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.partitioned || isOlder(reply.GetGeneration(), r.routing.GetGeneration()) {
		return
	}
	r.routing, r.leaseExpiresAt = reply, sent.Add(time.Duration(reply.GetLeaseMs())*time.Millisecond)
}

// isOlder tells whether a generation is older than another.
func isOlder(a, b *operatorpb.Generation) bool {
	if a.GetTerm() != b.GetTerm() {
		return a.GetTerm() < b.GetTerm()
	}
	return a.GetRevision() < b.GetRevision()
}

// SetPartitioned cuts the router off from all controllers, or ends that.
func (r *Router) SetPartitioned(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitioned = cut
}

// Weights gives the shares by which the router goes now.
func (r *Router) Weights() []*operatorpb.Weight {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.leaseExpiresAt) {
		return r.routing.GetWeights()
	}
	return r.routing.GetFallback()
}

// Generation gives the generation that the router holds.
func (r *Router) Generation() *operatorpb.Generation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.routing.GetGeneration()
}

// Close ends the connections.
func (r *Router) Close() {
	for _, c := range r.controllers {
		_ = c.Close()
	}
}

// ErrNotServed says that no replica has answered a request.
var ErrNotServed = errors.New("no replica has answered")

// Response is the answer to a request, and whose it is.
type Response struct {
	Body     json.RawMessage
	Replica  *operatorpb.Weight
	Attempts int
}

// Do sends a request to a replica, and to others where one does not answer.
func (r *Router) Do(ctx context.Context, body []byte) (Response, error) {
	for n := 1; n <= maxAttempts; n++ {
		replica := pickReplica(r.Weights())
		if replica == nil {
			break
		}
		if answer, err := r.send(ctx, replica, body); err == nil {
			return Response{Body: answer, Replica: replica, Attempts: n}, nil
		}
	}
	return Response{}, ErrNotServed
}

// pickReplica draws a replica by its share.
func pickReplica(weights []*operatorpb.Weight) *operatorpb.Weight {
	x := rand.Float64()
	for _, w := range weights {
		if x -= w.GetShare(); x < 0 {
			return w
		}
	}
	if len(weights) == 0 {
		return nil
	}
	return weights[len(weights)-1]
}

func (r *Router) send(ctx context.Context, replica *operatorpb.Weight, body []byte) (json.RawMessage, error) {
	url := fmt.Sprintf("http://%s/%s%s", replica.GetAddress(), replica.GetTask(), probe.CompletionsPath)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := r.http.Do(q)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	return answer, err
}

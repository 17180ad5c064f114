// Package simrouter simulates the routers that distribute a model's traffic, for tests and fleet simulations. A router
// implements the protocol of routings and leases, and sends requests to the replicas in its routing.
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

// Router routes the traffic of one rollout plan.
type Router struct {
	name, plan  string
	controllers []*adminapi.Client
	http        *http.Client
	interval    time.Duration

	mu             sync.Mutex
	partitioned    bool
	routing        *operatorpb.RouteReply // nil: none received yet
	leaseExpiresAt time.Time
}

// Limits of a request: maxResponseBytes bounds what is read of a response, maxAttempts is how many replicas are tried
// in turn, and attemptTimeout bounds each attempt.
const (
	maxResponseBytes = 64 << 10
	maxAttempts      = 3
	attemptTimeout   = 2 * time.Second
)

// Limits of idle connections to replicas.
const (
	idleConnectionsPerReplica = 16
	idleTimeout               = 10 * time.Second
)

// New returns a router that requests its routing from the controllers in turn, at their internal addresses.
func New(name, plan string, controllers []string, interval time.Duration) (*Router, error) {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnectionsPerReplica, IdleConnTimeout: idleTimeout}
	r := &Router{name: name, plan: plan, interval: interval, http: &http.Client{Timeout: attemptTimeout, Transport: transport}}
	for _, address := range controllers {
		client, err := adminapi.NewClient(address)
		if err != nil {
			return nil, fmt.Errorf("create client for controller %s: %w", address, err)
		}
		r.controllers = append(r.controllers, client)
	}
	return r, nil
}

// Run keeps the routing up to date until the context is cancelled.
func (r *Router) Run(ctx context.Context) {
	ticker := time.NewTicker(r.interval)
	defer ticker.Stop()
	for attempt := 0; ; attempt++ {
		r.refresh(ctx, r.controllers[attempt%len(r.controllers)])
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// refresh requests the routing from a controller once. The lease begins when the request is sent.
func (r *Router) refresh(ctx context.Context, controller *adminapi.Client) {
	r.mu.Lock()
	partitioned := r.partitioned
	request := &operatorpb.RouteRequest{Plan: r.plan, Router: r.name, Generation: r.routing.GetGeneration()}
	r.mu.Unlock()
	if partitioned {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.interval)
	defer cancel()
	sentAt := time.Now()
	reply, err := controller.Route(ctx, request)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.partitioned || isOlder(reply.GetGeneration(), r.routing.GetGeneration()) {
		return
	}
	r.routing = reply
	r.leaseExpiresAt = sentAt.Add(time.Duration(reply.GetLeaseMs()) * time.Millisecond)
}

// isOlder reports whether generation a is older than generation b.
func isOlder(a, b *operatorpb.Generation) bool {
	if a.GetTerm() != b.GetTerm() {
		return a.GetTerm() < b.GetTerm()
	}
	return a.GetRevision() < b.GetRevision()
}

// SetPartitioned begins or ends a partition between the router and all controllers.
func (r *Router) SetPartitioned(partitioned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitioned = partitioned
}

// Weights returns the current weights: those of the routing, or its fallback once the lease has expired.
func (r *Router) Weights() []*operatorpb.Weight {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.leaseExpiresAt) {
		return r.routing.GetWeights()
	}
	return r.routing.GetFallback()
}

// Generation returns the generation of the routing; nil if none was received yet.
func (r *Router) Generation() *operatorpb.Generation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.routing.GetGeneration()
}

// Close closes the connections to controllers.
func (r *Router) Close() {
	for _, c := range r.controllers {
		_ = c.Close()
	}
}

// ErrNotServed is returned if no replica served a request.
var ErrNotServed = errors.New("no replica served the request")

// Response is the response to a request, the replica that sent it, and the number of attempts.
type Response struct {
	Body     json.RawMessage
	Replica  *operatorpb.Weight
	Attempts int
}

// Do sends a request to a replica, and to other replicas if it fails.
func (r *Router) Do(ctx context.Context, body []byte) (Response, error) {
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		replica := pickReplica(r.Weights())
		if replica == nil {
			break
		}
		if data, err := r.send(ctx, replica, body); err == nil {
			return Response{Body: data, Replica: replica, Attempts: attempt}, nil
		}
	}
	return Response{}, ErrNotServed
}

// pickReplica picks a replica at random in proportion to the shares; nil if there is none.
func pickReplica(weights []*operatorpb.Weight) *operatorpb.Weight {
	remaining := rand.Float64()
	for _, weight := range weights {
		if remaining -= weight.GetShare(); remaining < 0 {
			return weight
		}
	}
	if len(weights) == 0 {
		return nil
	}
	return weights[len(weights)-1]
}

// send sends a request to a replica.
func (r *Router) send(ctx context.Context, replica *operatorpb.Weight, body []byte) (json.RawMessage, error) {
	url := fmt.Sprintf("http://%s/%s%s", replica.GetAddress(), replica.GetTask(), probe.CompletionsPath)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := r.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("replica responded with status %d", response.StatusCode)
	}
	return data, err
}

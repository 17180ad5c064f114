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

	mu    sync.Mutex
	cut   bool
	held  *operatorpb.RouteReply // nil: it has never had one
	until time.Time              // of its lease
}

// mostAnswer bounds what is read of an answer, and tries is how many replicas a request is sent to in turn.
const (
	mostAnswer = 64 << 10
	tries      = 3
	tryTimeout = 2 * time.Second
)

// New makes a router that asks controllers in turn, at their internal addresses.
func New(name, plan string, controllers []string, interval time.Duration) (*Router, error) {
	r := &Router{name: name, plan: plan, interval: interval, http: &http.Client{Timeout: tryTimeout, Transport: &http.Transport{
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
		r.ask(ctx, r.controllers[turn%len(r.controllers)])
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// ask asks a controller once. The lease counts from when the question was sent.
func (r *Router) ask(ctx context.Context, controller *adminapi.Client) {
	r.mu.Lock()
	cut, q := r.cut, &operatorpb.RouteRequest{Plan: r.plan, Router: r.name, Generation: r.held.GetGeneration()}
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
	if r.cut || before(reply.GetGeneration(), r.held.GetGeneration()) {
		return
	}
	r.held, r.until = reply, sent.Add(time.Duration(reply.GetLeaseMs())*time.Millisecond)
}

// before tells whether a generation is older than another.
func before(a, b *operatorpb.Generation) bool {
	if a.GetTerm() != b.GetTerm() {
		return a.GetTerm() < b.GetTerm()
	}
	return a.GetRevision() < b.GetRevision()
}

// SetCut cuts the router off from all controllers, or ends that.
func (r *Router) SetCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
}

// Weights gives the shares by which the router goes now.
func (r *Router) Weights() []*operatorpb.Weight {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.until) {
		return r.held.GetWeights()
	}
	return r.held.GetFallback()
}

// Generation gives the generation that the router holds.
func (r *Router) Generation() *operatorpb.Generation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held.GetGeneration()
}

// Close ends the connections.
func (r *Router) Close() {
	for _, c := range r.controllers {
		_ = c.Close()
	}
}

// ErrNotServed says that no replica has answered a request.
var ErrNotServed = errors.New("no replica has answered")

// Served is the answer to a request, and whose it is.
type Served struct {
	Answer  json.RawMessage
	Replica *operatorpb.Weight
	Tries   int
}

// Do sends a request to a replica, and to others where one does not answer.
func (r *Router) Do(ctx context.Context, body []byte) (Served, error) {
	for n := 1; n <= tries; n++ {
		replica := pick(r.Weights())
		if replica == nil {
			break
		}
		if answer, err := r.send(ctx, replica, body); err == nil {
			return Served{Answer: answer, Replica: replica, Tries: n}, nil
		}
	}
	return Served{}, ErrNotServed
}

// pick draws a replica by its share.
func pick(weights []*operatorpb.Weight) *operatorpb.Weight {
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
	answer, err := io.ReadAll(io.LimitReader(resp.Body, mostAnswer))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	return answer, err
}

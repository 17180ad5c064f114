package rolling

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"bitternwing/internal/simmodelserver"
	"bitternwing/internal/simrouter"
)

// requestCounts counts the requests of users by outcome.
type requestCounts struct {
	requests, wrong, wrongAfterRollback, lost, doubled, retried atomic.Int64
	firstWrongAt, lastWrongAt                                   atomic.Int64 // nanoseconds since the start; 0 for none
}

// maxPendingRequests is the maximum number of requests that wait for a response.
const maxPendingRequests = 256

// sendLoad sends requests at the rate of the model, through all routers in turn, until the context ends.
func (r *Rollout) sendLoad(ctx context.Context) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / r.model.RequestsPerS))
	defer ticker.Stop()
	pending := make(chan struct{}, maxPendingRequests)
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		router := r.routers[number%len(r.routers)]
		if router.Generation() == nil {
			continue // the router has no routing yet
		}
		pending <- struct{}{}
		go func() {
			defer func() { <-pending }()
			r.sendRequest(ctx, router, fmt.Sprintf("declaration %d of %s", number, r.model.Name))
		}()
	}
}

// sendRequest sends a request through a router, and counts its outcome.
func (r *Rollout) sendRequest(ctx context.Context, router *simrouter.Router, prompt string) {
	body, err := json.Marshal(simmodelserver.Request{Model: r.model.Name, Prompt: prompt})
	if err != nil {
		return
	}
	response, err := router.Do(ctx, body)
	if ctx.Err() != nil {
		return
	}
	counts := &r.counts
	counts.requests.Add(1)
	if err != nil {
		counts.lost.Add(1)
		return
	}
	if response.Attempts > 1 {
		counts.retried.Add(1)
	}
	var completion simmodelserver.Completion
	switch expected := simmodelserver.ExpectedText(prompt); {
	case json.Unmarshal(response.Body, &completion) != nil || len(completion.Choices) != 1:
		counts.lost.Add(1)
	case completion.Choices[0].Text == simmodelserver.WrongText(prompt):
		r.countWrong()
	case completion.Choices[0].Text != expected:
		counts.doubled.Add(1)
	}
}

// countWrong counts a wrong response, and whether it came after the rollback had begun.
func (r *Rollout) countWrong() {
	now := r.environment.Now()
	r.counts.wrong.Add(1)
	r.counts.firstWrongAt.CompareAndSwap(0, int64(now))
	r.counts.lastWrongAt.Store(int64(now))
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rollbackAt > 0 && now > r.rollbackAt {
		r.counts.wrongAfterRollback.Add(1)
	}
}

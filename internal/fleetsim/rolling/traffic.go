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

// requestCounts count the responses to users.
type requestCounts struct {
	requests, wrong, wrongAfter, lost, doubled, retried atomic.Int64
	firstWrong, lastWrong                               atomic.Int64 // times since the start, in nanoseconds; 0: none
}

// maxPendingRequests bounds the requests that wait for a response.
const maxPendingRequests = 256

// sendLoad sends requests through all routers in turn.
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
			continue // it has no routing yet
		}
		pending <- struct{}{}
		go func() {
			defer func() { <-pending }()
			r.request(ctx, router, fmt.Sprintf("declaration %d of %s", number, r.model.Name))
		}()
	}
}

// request sends a request and counts the response.
func (r *Rollout) request(ctx context.Context, router *simrouter.Router, prompt string) {
	body, err := json.Marshal(simmodelserver.Request{Model: r.model.Name, Prompt: prompt})
	if err != nil {
		return
	}
	response, err := router.Do(ctx, body)
	if ctx.Err() != nil {
		return
	}
	counts := &r.requests
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

// countWrong counts a wrong response.
func (r *Rollout) countWrong() {
	now := r.environment.Now()
	r.requests.wrong.Add(1)
	r.requests.firstWrong.CompareAndSwap(0, int64(now))
	r.requests.lastWrong.Store(int64(now))
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rollbackAt > 0 && now > r.rollbackAt {
		r.requests.wrongAfter.Add(1)
	}
}

package rolling

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"sync/atomic"
	"time"

	"bitternwing/internal/adminapi/operatorpb"
	"bitternwing/internal/rollout"
	"bitternwing/internal/simmodelserver"
	"bitternwing/internal/simrouter"
)

// Result is what the rollout of a model came to.
type Result struct {
	Model               Model   `json:"model"`
	Phase               string  `json:"phase"` // in the end
	Reason              string  `json:"reason,omitempty"`
	Events              []Event `json:"events"`
	Samples             []Point `json:"samples"`
	MinServedAtS        float64 `json:"least_served_at_s"`
	MinServed           float64 `json:"least_served_over_promised"` // capacity that the worst router reaches
	SamplesBelowPromise int     `json:"dips"`                       // samples below the promise
	ExtraReplicaS       float64 `json:"extra_replica_s"`            // beyond what the old version has
	Requests            int64   `json:"requests"`
	Wrong               int64   `json:"wrong"`
	// WrongAfter are wrong answers to users after the plan was seen to roll back, and WrongForS is the time from the first
	// wrong answer to the last one.
	WrongAfter int64   `json:"wrong_after_detection"`
	WrongForS  float64 `json:"wrong_for_s"`
	Lost       int64   `json:"lost"`    // no replica has answered
	Doubled    int64   `json:"doubled"` // an answer to another request
	Retried    int64   `json:"retried"`
	// MaxWithoutStatusS is the longest time in which no controller could say how the plan stands, as after a leader's end.
	MaxWithoutStatusS float64 `json:"longest_without_status_s"`
}

// Event is something that happened.
type Event struct {
	AtS  float64 `json:"at_s"`
	What string  `json:"what"`
}

// Point is a sample.
type Point struct {
	AtS      float64 `json:"at_s"`
	Promised float64 `json:"promised"`
	Proved   float64 `json:"proved"` // of both versions, as the leader says
	Served   float64 `json:"served"` // what the worst router reaches
	NewShare float64 `json:"new_share"`
}

// requestCounts count what users got.
type requestCounts struct {
	requests, wrong, wrongAfter, lost, doubled, retried atomic.Int64
	firstWrong, lastWrong                               atomic.Int64 // times of the run, in nanoseconds; 0: none
}

// sample takes what routers reach now.
func (p *Rollout) sample() {
	served, running := p.served()
	now := p.environment.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	point := Point{AtS: now.Seconds(), Promised: p.model.Promised, Served: served}
	if p.status != nil {
		point.Proved, point.NewShare = p.status.GetOldCapacity()+p.status.GetNewCapacity(), p.status.GetNewShare()
		p.result.MaxWithoutStatusS = max(p.result.MaxWithoutStatusS, (now - p.statusAt).Seconds())
	}
	p.result.Samples = append(p.result.Samples, point)
	p.result.ExtraReplicaS += float64(max(0, running-p.model.Jobs*p.model.Replicas)) * sampleInterval.Seconds()
	over := served / p.model.Promised
	if p.result.MinServedAtS == 0 || over < p.result.MinServed {
		p.result.MinServed, p.result.MinServedAtS = over, now.Seconds()
	}
	if served < p.model.Promised {
		p.result.SamplesBelowPromise++
	}
}

// served gives the capacity that the worst router reaches, and how many replicas run. Without a plan there are no
// routers: then all that runs is reached.
func (p *Rollout) served() (capacity float64, running int) {
	for _, id := range append(append([]string{}, p.old...), p.new...) {
		running += p.environment.Fleet.Running(id)
	}
	if p.model.Mode == Replace {
		return float64(running) * p.model.ReplicaCapacity, running
	}
	capacity = math.Inf(1)
	for _, r := range p.routers {
		reached := 0.0
		weights := r.Weights()
		if len(weights) == 0 && r.Generation() == nil {
			reached = p.model.ReplicaCapacity * float64(p.model.Jobs*p.model.Replicas) // it has yet to hear of the plan
		}
		for _, w := range weights {
			if p.serves(w) {
				reached += p.model.ReplicaCapacity
			}
		}
		capacity = min(capacity, reached)
	}
	return capacity, running
}

// serves tells whether a replica runs where a router sends requests, and answers rightly.
func (p *Rollout) serves(w *operatorpb.Weight) bool {
	host, _, err := net.SplitHostPort(w.GetAddress())
	return err == nil && p.environment.Fleet.Serves(host, w.GetTask()) && !p.IsWrong(w.GetTask(), 0)
}

// sendLoad sends requests by all routers.
func (p *Rollout) sendLoad(ctx context.Context) {
	every := time.Duration(float64(time.Second) / p.model.RequestsPerS)
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	waiting := make(chan struct{}, 256)
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r := p.routers[n%len(p.routers)]
		if r.Generation() == nil {
			continue // it has yet to hear of the plan
		}
		waiting <- struct{}{}
		go func() {
			defer func() { <-waiting }()
			p.request(ctx, r, fmt.Sprintf("declaration %d of %s", n, p.model.Name))
		}()
	}
}

// request sends a request and judges the answer.
func (p *Rollout) request(ctx context.Context, r *simrouter.Router, prompt string) {
	body, err := json.Marshal(simmodelserver.Request{Model: p.model.Name, Prompt: prompt})
	if err != nil {
		return
	}
	served, err := r.Do(ctx, body)
	if ctx.Err() != nil {
		return
	}
	c := &p.requests
	c.requests.Add(1)
	if err != nil {
		c.lost.Add(1)
		return
	}
	if served.Attempts > 1 {
		c.retried.Add(1)
	}
	var answer simmodelserver.Completion
	right := simmodelserver.ExpectedText(prompt)
	switch {
	case json.Unmarshal(served.Body, &answer) != nil || len(answer.Choices) != 1:
		c.lost.Add(1)
	case answer.Choices[0].Text == "?"+right:
		p.wrongAnswer()
	case answer.Choices[0].Text != right:
		c.doubled.Add(1)
	}
}

func (p *Rollout) wrongAnswer() {
	now := p.environment.Now()
	p.requests.wrong.Add(1)
	p.requests.firstWrong.CompareAndSwap(0, int64(now))
	p.requests.lastWrong.Store(int64(now))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rollbackAt > 0 && now > p.rollbackAt {
		p.requests.wrongAfter.Add(1)
	}
}

// summarize sums up.
func (p *Rollout) summarize() {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, r := &p.requests, &p.result
	r.Model = p.model
	r.Phase, r.Reason = p.status.GetPhase(), p.status.GetReason()
	r.Requests, r.Wrong, r.WrongAfter, r.Lost = c.requests.Load(), c.wrong.Load(), c.wrongAfter.Load(), c.lost.Load()
	r.Doubled, r.Retried = c.doubled.Load(), c.retried.Load()
	r.WrongForS = time.Duration(c.lastWrong.Load() - c.firstWrong.Load()).Seconds()
}

// Result gives what it came to, after Run has returned.
func (p *Rollout) Result() Result { return p.result }

// BrokenPromise tells what the rollout did not keep; "" if it kept all. Baselines promise nothing.
func (r *Result) BrokenPromise() string {
	switch {
	case r.Model.Mode != Steps:
		return ""
	case r.SamplesBelowPromise > 0:
		return fmt.Sprintf("%s: served capacity was %.2f of the promise at %.1f s", r.Model.Name, r.MinServed, r.MinServedAtS)
	case r.Lost > 0 || r.Doubled > 0:
		return fmt.Sprintf("%s: %d answers were lost and %d doubled", r.Model.Name, r.Lost, r.Doubled)
	case r.Model.Expect != "" && rollout.Phase(r.Phase) != r.Model.Expect:
		return fmt.Sprintf("%s: it is %q in the end, not %s", r.Model.Name, r.Phase, r.Model.Expect)
	}
	return ""
}

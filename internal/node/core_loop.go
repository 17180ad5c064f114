package node

import (
	"context"
	"time"

	"bitternwing/internal/core"
)

// maxQueuedResults is the capacity of the queue of call results. While it is full, finished calls wait.
const maxQueuedResults = 64

// queuedInput is a request that waits for the core. Its client stops waiting at the deadline, and the request is then
// skipped. So after a pause of the process the core handles only requests whose clients still wait.
type queuedInput struct {
	input      core.Input
	receivedAt time.Time
	deadline   time.Time // zero if there is none
}

// expired reports whether the deadline has passed, so that no client waits for the response any more.
func (q queuedInput) expired() bool { return !q.deadline.IsZero() && !time.Now().Before(q.deadline) }

// runCore passes inputs to the core, one at a time, until the context ends. The core is stepped nowhere else.
func (n *Node) runCore(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var input core.Input = core.Tick{}
	var stepTime, queueTime time.Duration
	for {
		var wakeAt time.Duration
		stepTime, wakeAt = n.step(ctx, input, stepTime, queueTime)
		timer.Reset(max(time.Millisecond, wakeAt-n.steadyTime()))
		var ended bool
		if input, queueTime, ended = n.nextInput(ctx, timer.C); ended {
			return
		}
	}
}

// step passes an input to the core and executes the effects that it returns. previousStepTime is how long the previous
// step took, queueTime how long the input was queued. It returns how long this step took, and the time for which the
// core requests the next tick.
func (n *Node) step(ctx context.Context, input core.Input, previousStepTime, queueTime time.Duration) (stepTime, wakeAt time.Duration) {
	n.coreMu.Lock()
	defer n.coreMu.Unlock()
	now := n.now()
	kind := inputKind(input)
	n.steps.begin(kind)
	now.LastStepDuration, now.QueueDelay = previousStepTime, queueTime
	effects := n.core.Step(now, input)
	stepTime = n.steadyTime() - now.Steady
	n.metrics.Input(kind, stepTime)
	n.finishStep(n.steps.end())
	for _, effect := range effects {
		n.execute(ctx, effect)
	}
	wakeAt = n.core.NextWake()
	n.healthy.Store(n.core.Healthy())
	return stepTime, wakeAt
}

// nextInput waits for the next input. It returns results of calls before requests. queueTime is how long a request was
// queued; ended reports whether the context ended.
func (n *Node) nextInput(ctx context.Context, timer <-chan time.Time) (input core.Input, queueTime time.Duration, ended bool) {
	select {
	case result := <-n.results:
		return result, 0, false
	default:
	}
	select {
	case <-ctx.Done():
		return nil, 0, true
	case result := <-n.results:
		return result, 0, false
	case queued := <-n.inputs:
		queueTime = time.Since(queued.receivedAt)
		if queued.expired() {
			return core.Tick{}, queueTime, false
		}
		return queued.input, queueTime, false
	case <-timer:
		return core.Tick{}, 0, false
	}
}

// now returns the current time in the form that the core expects.
func (n *Node) now() core.Time {
	now := time.Now()
	return core.Time{Steady: n.steadyAt(now), WallMS: now.UnixMilli()}
}

// steadyTime returns the monotonic time since the node's start, plus one second so that it is never 0.
func (n *Node) steadyTime() time.Duration { return n.steadyAt(time.Now()) }

// steadyAt returns the steadyTime of t.
func (n *Node) steadyAt(t time.Time) time.Duration { return t.Sub(n.startedAt) + time.Second }

// Handle passes a request to the core and waits for its response. It returns false if there is no response before the
// context ends, or if the request queue is full.
func (n *Node) Handle(ctx context.Context, input func(requestID uint64) core.Input) (core.Response, bool) {
	requestID, responses := n.register()
	defer n.unregister(requestID)
	deadline, _ := ctx.Deadline()
	queued := queuedInput{input(requestID), time.Now(), deadline}
	select {
	case n.inputs <- queued:
	default:
		return core.Response{}, false
	}
	select {
	case response := <-responses:
		// After a pause of the process, the response may be ready although the deadline has passed and the context's
		// timer has not fired yet. Such a response may be outdated and must not be returned.
		if ctx.Err() != nil || queued.expired() {
			return core.Response{}, false
		}
		return response, true
	case <-ctx.Done():
		return core.Response{}, false
	}
}

// register allocates a request ID and the channel on which its response will be delivered.
func (n *Node) register() (requestID uint64, responses <-chan core.Response) {
	responseCh := make(chan core.Response, 1)
	n.requestsMu.Lock()
	defer n.requestsMu.Unlock()
	n.lastRequestID++
	n.pendingResponses[n.lastRequestID] = responseCh
	return n.lastRequestID, responseCh
}

// unregister discards a request's channel. A later response to the request is dropped.
func (n *Node) unregister(requestID uint64) {
	n.requestsMu.Lock()
	defer n.requestsMu.Unlock()
	delete(n.pendingResponses, requestID)
}

// deliver passes a response to the request that waits for it. It drops the response if none does.
func (n *Node) deliver(response core.Response) {
	n.requestsMu.Lock()
	responses := n.pendingResponses[response.RequestID]
	n.requestsMu.Unlock()
	if responses != nil {
		responses <- response
	}
}

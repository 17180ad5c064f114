package node

import (
	"context"
	"time"

	"bitternwing/internal/core"
)

// maxQueuedResults is how many results of calls may wait for the core before the calls themselves do.
const maxQueuedResults = 64

// queuedInput is an input that waits for the core. A request is of no use to anybody after its
// deadline: it is not handed to the core then, so that after a pause of the process the newest requests come first.
type queuedInput struct {
	input      core.Input
	receivedAt time.Time
	deadline   time.Time // zero: none
}

// expired tells whether the deadline has passed: no client waits for the response any more.
func (q queuedInput) expired() bool { return !q.deadline.IsZero() && !time.Now().Before(q.deadline) }

// runCore steps the core until the context ends. It is the one place where the core is stepped.
func (n *Node) runCore(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var input core.Input = core.Tick{}
	var took, waited time.Duration
	for {
		var wakeAt time.Duration
		took, wakeAt = n.step(ctx, input, took, waited)
		timer.Reset(max(time.Millisecond, wakeAt-n.steadyTime()))
		var ended bool
		if input, waited, ended = n.nextInput(ctx, timer.C); ended {
			return
		}
	}
}

// step hands the core an input and executes its effects. It gives how long the core took, and when it wants to be woken.
// took and waited are how long the step before took, and how long the input waited.
func (n *Node) step(ctx context.Context, input core.Input, took, waited time.Duration) (stepTime, wakeAt time.Duration) {
	n.coreMu.Lock()
	defer n.coreMu.Unlock()
	now := n.now()
	now.LastStepDuration, now.QueueDelay = took, waited
	effects := n.core.Step(now, input)
	stepTime = n.steadyTime() - now.Steady
	n.metrics.Input(inputKind(input), stepTime)
	for _, effect := range effects {
		n.execute(ctx, effect)
	}
	wakeAt = n.core.NextWake()
	n.healthy.Store(n.core.Healthy())
	return stepTime, wakeAt
}

// nextInput waits for the next input, and tells how long a request has waited; ended if the context did. Results of calls
// come before requests.
func (n *Node) nextInput(ctx context.Context, timer <-chan time.Time) (input core.Input, waited time.Duration, ended bool) {
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
		waited = time.Since(queued.receivedAt)
		if queued.expired() {
			return core.Tick{}, waited, false
		}
		return queued.input, waited, false
	case <-timer:
		return core.Tick{}, 0, false
	}
}

// now gives the time as the core takes it.
func (n *Node) now() core.Time {
	now := time.Now()
	return core.Time{Steady: n.steadyAt(now), WallMS: now.UnixMilli()}
}

// steadyTime is the time since the node's start. It never goes back, and is never 0.
func (n *Node) steadyTime() time.Duration { return n.steadyAt(time.Now()) }

func (n *Node) steadyAt(moment time.Time) time.Duration { return moment.Sub(n.startedAt) + time.Second }

// Handle hands the core a request and waits for its response. It returns false if there is
// none in time, or too many requests wait already.
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
		// After a pause of the process both may be there, and the timer may come last. What was true then
		// may not be returned any more.
		if ctx.Err() != nil || queued.expired() {
			return core.Response{}, false
		}
		return response, true
	case <-ctx.Done():
		return core.Response{}, false
	}
}

// register makes a request id, and the channel on which its response comes.
func (n *Node) register() (requestID uint64, responses <-chan core.Response) {
	channel := make(chan core.Response, 1)
	n.requestsMu.Lock()
	defer n.requestsMu.Unlock()
	n.lastRequestID++
	n.pendingResponses[n.lastRequestID] = channel
	return n.lastRequestID, channel
}

func (n *Node) unregister(requestID uint64) {
	n.requestsMu.Lock()
	defer n.requestsMu.Unlock()
	delete(n.pendingResponses, requestID)
}

// deliver gives a response to the request that waits for it, if it still does.
func (n *Node) deliver(response core.Response) {
	n.requestsMu.Lock()
	responses := n.pendingResponses[response.RequestID]
	n.requestsMu.Unlock()
	if responses != nil {
		responses <- response
	}
}

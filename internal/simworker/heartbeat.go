package simworker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"bitternwing/internal/wire"
)

// heartbeatResult is the result of sending a heartbeat.
type heartbeatResult struct {
	sentAt      time.Duration
	incarnation uint64
	generation  int
	status      int // 0: no response
	response    wire.HeartbeatResponse
	leader      string // controller named by a redirect; "": none
}

// heartbeatInterval returns the time to the next regular heartbeat: the configured interval with a jitter of a quarter.
func (w *Worker) heartbeatInterval() time.Duration {
	interval := w.fleet.config.HeartbeatInterval
	return interval*3/4 + time.Duration(w.random.Int64N(int64(interval/2)))
}

// sendHeartbeat sends a heartbeat in the background.
func (w *Worker) sendHeartbeat(ctx context.Context, now time.Duration, results chan<- heartbeatResult) {
	w.inFlight = true
	w.lastSentAt = now
	controller := w.fleet.config.Controllers[w.controllerIndex]
	heartbeat, generation := w.machine.Heartbeat(now), w.generation
	lost := w.unreachable || w.fleet.partitioned(heartbeat.Zone, controller.Zone)
	go func() {
		result := heartbeatResult{sentAt: now, incarnation: heartbeat.Incarnation, generation: generation}
		if lost {
			// The heartbeat is lost, and there is no response.
			select {
			case <-ctx.Done():
			case <-time.After(responseTimeout):
			}
		} else if err := w.exchange(ctx, controller, heartbeat, &result); err != nil {
			result.status = 0
		}
		results <- result
	}()
}

// errUndecodable is returned for a heartbeat response that can't be decoded.
var errUndecodable = errors.New("undecodable heartbeat response")

// exchange sends a heartbeat and reads the response.
func (w *Worker) exchange(ctx context.Context, controller Controller, heartbeat *wire.Heartbeat, result *heartbeatResult) error {
	body, err := json.Marshal(heartbeat)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+controller.Addr+wire.HeartbeatPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := w.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	w.fleet.config.Traffic.Count(controller.Name, KindHeartbeat, len(body), len(data))
	switch response.StatusCode {
	case http.StatusOK:
		if json.Unmarshal(data, &result.response) != nil {
			return errUndecodable
		}
	case http.StatusMisdirectedRequest:
		var redirect wire.Redirect
		_ = json.Unmarshal(data, &redirect) // a redirect without a valid body names no leader
		result.leader = redirect.Leader
	}
	result.status = response.StatusCode
	return nil
}

// handleResult applies the result of a heartbeat and schedules the next one.
func (w *Worker) handleResult(result heartbeatResult) {
	w.sendCopies()
	w.applyResult(result)
	w.sendCopies()
}

// applyResult applies the result of a heartbeat.
func (w *Worker) applyResult(result heartbeatResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if result.generation != w.generation {
		return
	}
	w.inFlight = false
	if w.losesResponse(result) {
		result.status = 0
	}
	now := w.fleet.now()
	w.nextHeartbeatAt = now + w.heartbeatInterval()
	switch {
	case w.dead:
	case result.status == http.StatusOK && !w.unreachable:
		if w.machine.ApplyHeartbeatResponse(now, result.incarnation, result.response) {
			w.leaseRenewedAt = result.sentAt
			w.lastController = w.fleet.config.Controllers[w.controllerIndex].Name
		}
	case result.status == http.StatusMisdirectedRequest && w.redirect(result.leader):
		w.http.CloseIdleConnections()
		w.nextHeartbeatAt = now + time.Duration(w.random.Int64N(int64(minHeartbeatInterval)))
		w.lastSentAt = 0 // changed tasks do not wait for minHeartbeatInterval either
	default:
		w.controllerIndex = (w.controllerIndex + 1) % len(w.fleet.config.Controllers)
		w.http.CloseIdleConnections()
		w.nextHeartbeatAt = now + failoverDelay
		w.lastSentAt = now + failoverDelay - minHeartbeatInterval
	}
}

// redirect switches to the leader that a controller has named. It reports false if that is not a different, known
// controller.
func (w *Worker) redirect(leader string) bool {
	for i, controller := range w.fleet.config.Controllers {
		if controller.Name == leader && i != w.controllerIndex {
			w.controllerIndex = i
			return true
		}
	}
	return false
}

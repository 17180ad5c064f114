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

// heartbeatResult is the result of a heartbeat.
type heartbeatResult struct {
	sentAt      time.Duration
	incarnation uint64
	status      int // 0: no response
	response    wire.HeartbeatResponse
	leader      string // named by a redirect; "": none
}

// heartbeatInterval is the time to the next regular heartbeat: that of the settings, give or take a quarter.
func (w *Worker) heartbeatInterval() time.Duration {
	interval := w.fleet.config.HeartbeatInterval
	return interval*3/4 + time.Duration(w.random.Int64N(int64(interval/2)))
}

// sendHeartbeat sends a heartbeat in the background.
func (w *Worker) sendHeartbeat(ctx context.Context, now time.Duration, results chan<- heartbeatResult) {
	w.inFlight = true
	w.lastSentAt = now
	controller := w.fleet.config.Controllers[w.controllerIndex]
	heartbeat := w.machine.Heartbeat(now)
	lost := w.unreachable || w.fleet.partitioned(heartbeat.Zone, controller.Zone)
	go func() {
		result := heartbeatResult{sentAt: now, incarnation: heartbeat.Incarnation}
		if lost {
			// Nothing that it sends arrives, and nothing comes back.
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

// errUndecodable is returned for a heartbeat whose response can't be decoded.
var errUndecodable = errors.New("the response can't be decoded")

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
		_ = json.Unmarshal(data, &redirect) // without a body it names nobody
		result.leader = redirect.Leader
	}
	result.status = response.StatusCode
	return nil
}

// handleResult applies the result of a heartbeat.
func (w *Worker) handleResult(result heartbeatResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight = false
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
		w.lastSentAt = 0 // a change need not wait for the interval either
	default:
		w.controllerIndex = (w.controllerIndex + 1) % len(w.fleet.config.Controllers)
		w.http.CloseIdleConnections()
		w.nextHeartbeatAt = now + failoverDelay
		w.lastSentAt = now + failoverDelay - minHeartbeatInterval
	}
}

// redirect turns to the controller that another one has named; false if that is no other one.
func (w *Worker) redirect(leader string) bool {
	for i, controller := range w.fleet.config.Controllers {
		if controller.Name == leader && i != w.controllerIndex {
			w.controllerIndex = i
			return true
		}
	}
	return false
}

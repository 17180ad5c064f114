package simworker

import (
	"net/http"
	"time"
)

// heldCommands are direct commands that are held up on their way to a worker. They arrive at the worst time: the worker's
// heartbeats still reach the controllers, but responses that would have it refuse the commands are lost for a while, so
// that a controller that took the tasks for absent would place them elsewhere.
type heldCommands struct {
	enabled   bool
	bodies    [][]byte
	arrivalAt time.Duration // 0: no response was lost yet
}

// lossLeases is the time, in leases, from the first lost response to the arrival of the commands. Workers that are
// reached by no response for half a lease are released.
const lossLeases = 0.25

// SetHoldingCommands begins or ends a fault in which direct commands to the worker are held up.
func (w *Worker) SetHoldingCommands(holding bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held.enabled = holding
}

// holdCommands holds direct commands up, while the fault lasts and until earlier commands have arrived. It returns false
// if they arrive now.
func (w *Worker) holdCommands(body []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.held.enabled && len(w.held.bodies) == 0 {
		return false
	}
	w.held.bodies = append(w.held.bodies, body)
	return true
}

// losesResponse reports whether the response to a heartbeat is lost because direct commands are held up.
func (w *Worker) losesResponse(result heartbeatResult) bool {
	if len(w.held.bodies) == 0 || result.status != http.StatusOK || result.response.FencingToken <= w.machine.fencingToken {
		return false
	}
	if w.held.arrivalAt == 0 {
		delay := time.Duration(lossLeases * float64(w.fleet.config.LeaseDuration))
		w.held.arrivalAt = w.fleet.now() + delay
		time.AfterFunc(delay, w.deliverHeldCommands)
	}
	return true
}

// deliverHeldCommands delivers the direct commands that were held up, in order.
func (w *Worker) deliverHeldCommands() {
	w.mu.Lock()
	bodies := w.held.bodies
	w.held.bodies, w.held.arrivalAt = nil, 0
	w.mu.Unlock()
	for _, body := range bodies {
		w.post(body)
	}
}

package simworker

import (
	"encoding/json"
	"io"
	"net/http"

	"bitternwing/internal/wire"
)

// Requests that a worker serves.
const (
	statusRequest   = http.MethodGet + " " + wire.StatusPath
	commandsRequest = http.MethodPost + " " + wire.CommandsPath
	prefetchRequest = http.MethodPost + " " + wire.PrefetchPath
)

// serve handles direct commands, status queries and prefetch requests.
func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBodyBytes+1))
	if err != nil || w.dropsCommands() {
		<-r.Context().Done() // the request is lost
		return
	}
	switch r.Method + " " + r.URL.Path {
	case prefetchRequest:
		w.prefetch(rw, body)
	case statusRequest:
		w.respondWithStatus(rw, KindStatusQuery, http.StatusOK, len(body))
	case commandsRequest:
		isCopy := r.Header.Get(copyHeader) != ""
		if !isCopy && w.holdCommands(body) {
			<-r.Context().Done() // the controller gets no response
			return
		}
		w.respondWithStatus(rw, KindCommands, w.handleCommands(body, isCopy), len(body))
	default:
		w.respondWithStatus(rw, "", http.StatusNotFound, len(body))
	}
}

// respondWithStatus sends a response with the status of all tasks, or without a body if the request was invalid.
func (w *Worker) respondWithStatus(rw http.ResponseWriter, kind MessageKind, status, receivedBytes int) {
	var data []byte
	if status == http.StatusOK || status == http.StatusConflict {
		w.mu.Lock()
		data, _ = json.Marshal(w.machine.Heartbeat(w.fleet.now())) // never fails for plain values
		w.mu.Unlock()
	}
	w.respond(rw, kind, status, data, receivedBytes)
	w.wakeUp()
}

// respond sends a response and counts the request and the response. The client may have closed the connection.
func (w *Worker) respond(rw http.ResponseWriter, kind MessageKind, status int, data []byte, receivedBytes int) {
	w.fleet.config.Traffic.Count(UnknownController, kind, len(data), receivedBytes)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(data)
}

// prefetch starts to fetch an image before a task needs it.
func (w *Worker) prefetch(rw http.ResponseWriter, body []byte) {
	var request wire.PrefetchRequest
	if json.Unmarshal(body, &request) != nil || request.Image == "" || request.GB < 0 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	now := w.fleet.now()
	ready := w.machine.Prefetch(now, request.Image, request.GB) - now
	w.mu.Unlock()
	data, _ := json.Marshal(wire.PrefetchResponse{ReadyS: ready.Seconds()}) // never fails for plain values
	w.respond(rw, KindPrefetch, http.StatusOK, data, len(body))
}

// handleCommands executes direct commands and returns the status of the response. Late copies of earlier commands arrive
// before and after commands that are no copies.
func (w *Worker) handleCommands(body []byte, isCopy bool) int {
	if isCopy {
		return w.executeCommands(body, true)
	}
	w.sendCopies()
	status := w.executeCommands(body, false)
	w.sendCopies()
	return status
}

// executeCommands executes direct commands and returns the HTTP status of the response.
func (w *Worker) executeCommands(body []byte, isCopy bool) int {
	var commands wire.DirectCommands
	if json.Unmarshal(body, &commands) != nil || commands.Incarnation == 0 {
		return http.StatusBadRequest
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	attemptsBefore := w.machine.TaskCount()
	if !w.machine.ApplyDirectCommands(w.fleet.now(), commands) {
		return http.StatusConflict
	}
	if isCopy {
		w.copiedStarts.Add(int64(w.machine.TaskCount() - attemptsBefore))
	}
	w.recordCommands(commands, body)
	return http.StatusOK
}

// dropsCommands reports whether the worker does not receive direct commands. The sender is not known here, so a worker
// in a partitioned zone receives none.
func (w *Worker) dropsCommands() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead || w.unreachable || w.fleet.isPartitioned(w.machine.info.Zone)
}

package server

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/wire"
)

// health handles the health check of load balancers and operators.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if s.core.Healthy() {
		respond(w, http.StatusOK, 0, struct{}{})
		return
	}
	respond(w, http.StatusServiceUnavailable, 0, wire.ErrorBody{Error: "can't take requests"})
}

// submit handles a user's submission of a job.
func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	job, err := wire.ParseJob(body)
	if err != nil {
		respond(w, http.StatusBadRequest, 0, wire.ErrorBody{Error: err.Error()})
		return
	}
	s.handle(w, r, userResponseTimeout, func(requestID uint64) core.Input {
		return core.SubmitJob{RequestID: requestID, Job: job}
	})
}

// poll handles a user's request for the state of a job.
func (s *Server) poll(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.handle(w, r, userResponseTimeout, func(requestID uint64) core.Input {
		return core.GetJob{RequestID: requestID, ID: id}
	})
}

// cancel handles a user's cancellation of a job.
func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, wire.MaxBodyBytes)) // a cancellation has no body in the protocol
	s.handle(w, r, userResponseTimeout, func(requestID uint64) core.Input {
		return core.CancelJob{RequestID: requestID, ID: id}
	})
}

// heartbeat handles a worker's heartbeat.
func (s *Server) heartbeat(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	heartbeat, err := wire.ParseHeartbeat(body)
	if err != nil {
		respond(w, http.StatusBadRequest, 0, wire.ErrorBody{Error: err.Error()})
		return
	}
	s.handle(w, r, workerResponseTimeout, func(requestID uint64) core.Input {
		return core.WorkerHeartbeat{RequestID: requestID, Heartbeat: heartbeat}
	})
}

// handle passes a request to the core and sends the core's response.
func (s *Server) handle(w http.ResponseWriter, r *http.Request, timeout time.Duration, input func(requestID uint64) core.Input) {
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	response, ok := s.core.Handle(ctx, input)
	if !ok {
		respond(w, http.StatusServiceUnavailable, 1, wire.ErrorBody{Error: "no answer in time"})
		return
	}
	respond(w, response.Status, response.RetryAfterS, response.Body)
}

// readBody reads a request body. It returns false if the body is truncated or exceeds the protocol's limit; it has then
// responded with 400.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBodyBytes+1))
	if err != nil || len(body) > wire.MaxBodyBytes {
		closeAfterResponse(w)
		respond(w, http.StatusBadRequest, 0, wire.ErrorBody{Error: "body: is too large or broken off"})
		return nil, false
	}
	return body, true
}

// respond sends a response with a JSON body. If retryAfterS is 0, the response has no Retry-After header.
func respond(w http.ResponseWriter, status, retryAfterS int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"error":"internal"}`)
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(data)))
	if retryAfterS > 0 {
		header.Set("Retry-After", strconv.Itoa(retryAfterS))
	}
	w.WriteHeader(status)
	_, _ = w.Write(data) // fails if the client has closed the connection
}

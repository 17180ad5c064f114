// Package server is the HTTP side of a node: users, workers and health checks.
package server

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"

	"bitternwing/internal/core"
	"bitternwing/internal/wire"
)

// Core answers requests.
type Core interface {
	// Ask hands over a request and waits for the answer.
	Ask(ctx context.Context, input func(req uint64) core.Input) (core.Response, bool)
	Healthy() bool
}

// Users wait five seconds for a submission and two for a poll, workers four for an
// answer; each gets one before.
const (
	userPatience   = 1800 * time.Millisecond
	workerPatience = 3 * time.Second
)

// Observer is told of each request that was answered, by endpoint and status.
type Observer func(endpoint string, status int)

// Server serves a node's public address.
type Server struct {
	core  Core
	http  *http.Server
	conns int

	// Connections that users keep open beyond their share are closed with the answer, so
	// that workers, which keep theirs, always find one.
	userShare int64
	users     atomic.Int64

	// Workers keep theirs while there are some to spare. Beyond that each connection is closed with its
	// answer, so that all of a fleet with more workers than sockets are served in turn.
	keepUntil int64
	open      atomic.Int64
}

// New makes a server that holds at most conns connections open, a third of them for users. observe may be nil.
func New(c Core, conns int, observe Observer) *Server {
	s := &Server{core: c, conns: conns, userShare: int64(max(1, conns/3)), keepUntil: int64(conns - conns/10)}
	mux := http.NewServeMux()
	handle := func(pattern, endpoint string, h http.HandlerFunc) {
		mux.HandleFunc(pattern, observed(observe, endpoint, h))
	}
	handle("GET /healthz", "health", s.health)
	handle("POST "+wire.JobsPath, "submit", s.forUsers(s.submit))
	handle("GET "+wire.JobsPath+"/{id}", "poll", s.forUsers(s.poll))
	handle("POST "+wire.JobsPath+"/{id}"+wire.CancelSuffix, "cancel", s.forUsers(s.cancel))
	handle("POST "+wire.HeartbeatPath, "report", s.checkin)
	s.http = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: 10 * time.Second,
		ReadTimeout:       20 * time.Second,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    16 << 10,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c.(*conn))
		},
	}
	return s
}

// observed has an observer told of a handler's answers.
func observed(observe Observer, endpoint string, h http.HandlerFunc) http.HandlerFunc {
	if observe == nil {
		return h
	}
	return func(w http.ResponseWriter, r *http.Request) {
		sw := &statusWriter{ResponseWriter: w}
		h(sw, r)
		observe(endpoint, sw.status)
	}
}

// statusWriter keeps the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Serve serves a listener until Close.
func (s *Server) Serve(l net.Listener) error {
	return s.http.Serve(&listener{netutil.LimitListener(l, s.conns), s})
}

// listener gives connections that know whether a user has them.
type listener struct {
	net.Listener
	s *Server
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.s.open.Add(1)
	return &conn{Conn: c, s: l.s}, nil
}

type conn struct {
	net.Conn
	s      *Server
	user   atomic.Bool
	closed atomic.Bool
}

type connKey struct{}

func (c *conn) Close() error {
	if !c.closed.Swap(true) {
		c.s.open.Add(-1)
	}
	if c.user.Swap(false) {
		c.s.users.Add(-1)
	}
	return c.Conn.Close()
}

// forUsers marks the connections of a handler's requests as users'.
func (s *Server) forUsers(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok && !c.user.Swap(true) {
			s.users.Add(1)
		}
		if s.users.Load() > s.userShare {
			w.Header().Set("Connection", "close")
		}
		h(w, r)
	}
}

// Close ends the server at once.
func (s *Server) Close() error { return s.http.Close() }

func reply(w http.ResponseWriter, status, retryAfter int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"error":"internal"}`)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(data)))
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retryAfter))
	}
	w.WriteHeader(status)
	_, _ = w.Write(data) // a caller that has gone away learns nothing
}

func (s *Server) ask(w http.ResponseWriter, r *http.Request, patience time.Duration, input func(uint64) core.Input) {
	ctx, cancel := context.WithTimeout(r.Context(), patience)
	defer cancel()
	a, ok := s.core.Ask(ctx, input)
	if !ok {
		reply(w, http.StatusServiceUnavailable, 1, wire.ErrorBody{Error: "no answer in time"})
		return
	}
	reply(w, a.Status, a.RetryAfterS, a.Body)
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if s.core.Healthy() {
		reply(w, http.StatusOK, 0, struct{}{})
		return
	}
	reply(w, http.StatusServiceUnavailable, 0, wire.ErrorBody{Error: "can't take requests"})
}

// body reads a body within the protocol's limit; false if it was answered.
func body(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBody+1))
	if err != nil || len(data) > wire.MaxBody {
		w.Header().Set("Connection", "close")
		reply(w, http.StatusBadRequest, 0, wire.ErrorBody{Error: "body: is too large or broken off"})
		return nil, false
	}
	return data, true
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	data, ok := body(w, r)
	if !ok {
		return
	}
	job, err := wire.ParseJob(data)
	if err != nil {
		reply(w, http.StatusBadRequest, 0, wire.ErrorBody{Error: err.Error()})
		return
	}
	s.ask(w, r, userPatience, func(req uint64) core.Input { return core.SubmitJob{RequestID: req, Job: job} })
}

func (s *Server) poll(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.ask(w, r, userPatience, func(req uint64) core.Input { return core.GetJob{RequestID: req, ID: id} })
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, wire.MaxBody))
	s.ask(w, r, userPatience, func(req uint64) core.Input { return core.CancelJob{RequestID: req, ID: id} })
}

func (s *Server) checkin(w http.ResponseWriter, r *http.Request) {
	if s.open.Load() > s.keepUntil {
		w.Header().Set("Connection", "close")
	}
	data, ok := body(w, r)
	if !ok {
		return
	}
	report, err := wire.ParseHeartbeat(data)
	if err != nil {
		reply(w, http.StatusBadRequest, 0, wire.ErrorBody{Error: err.Error()})
		return
	}
	s.ask(w, r, workerPatience, func(req uint64) core.Input { return core.WorkerHeartbeat{RequestID: req, Heartbeat: report} })
}

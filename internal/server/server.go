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
	Handle(ctx context.Context, input func(req uint64) core.Input) (core.Response, bool)
	Healthy() bool
}

// Users wait five seconds for a submission and two for a poll, workers four for an
// answer; each gets one before.
const (
	userTimeout   = 1800 * time.Millisecond
	workerTimeout = 3 * time.Second
)

// Observer is told of each request that was answered, by endpoint and status.
type Observer func(endpoint string, status int)

// Server serves a node's public address.
type Server struct {
	core           Core
	http           *http.Server
	maxConnections int

	// Connections that users keep open beyond their share are closed with the answer, so
	// that workers, which keep theirs, always find one.
	maxUserConnections int64
	userConnections    atomic.Int64

	// Workers keep theirs while there are some to spare. Beyond that each connection is closed with its
	// answer, so that all of a fleet with more workers than sockets are served in turn.
	keepAliveLimit  int64
	openConnections atomic.Int64
}

// New makes a server that holds at most conns connections open, a third of them for users. observe may be nil.
func New(c Core, conns int, observe Observer) *Server {
	s := &Server{core: c, maxConnections: conns, maxUserConnections: int64(max(1, conns/3)), keepAliveLimit: int64(conns - conns/10)}
	mux := http.NewServeMux()
	handle := func(pattern, endpoint string, h http.HandlerFunc) {
		mux.HandleFunc(pattern, observed(observe, endpoint, h))
	}
	handle("GET /healthz", "health", s.health)
	handle("POST "+wire.JobsPath, "submit", s.countUserConnections(s.submit))
	handle("GET "+wire.JobsPath+"/{id}", "poll", s.countUserConnections(s.poll))
	handle("POST "+wire.JobsPath+"/{id}"+wire.CancelSuffix, "cancel", s.countUserConnections(s.cancel))
	handle("POST "+wire.HeartbeatPath, "report", s.heartbeat)
	s.http = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: 10 * time.Second,
		ReadTimeout:       20 * time.Second,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    16 << 10,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, c.(*trackedConn))
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
	return s.http.Serve(&listener{netutil.LimitListener(l, s.maxConnections), s})
}

// listener gives connections that know whether a user has them.
type listener struct {
	net.Listener
	server *Server
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.server.openConnections.Add(1)
	return &trackedConn{Conn: c, server: l.server}, nil
}

type trackedConn struct {
	net.Conn
	server        *Server
	countedAsUser atomic.Bool
	closed        atomic.Bool
}

type connectionKey struct{}

func (c *trackedConn) Close() error {
	if !c.closed.Swap(true) {
		c.server.openConnections.Add(-1)
	}
	if c.countedAsUser.Swap(false) {
		c.server.userConnections.Add(-1)
	}
	return c.Conn.Close()
}

// countUserConnections marks the connections of a handler's requests as users'.
func (s *Server) countUserConnections(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connectionKey{}).(*trackedConn); ok && !c.countedAsUser.Swap(true) {
			s.userConnections.Add(1)
		}
		if s.userConnections.Load() > s.maxUserConnections {
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

func (s *Server) handle(w http.ResponseWriter, r *http.Request, patience time.Duration, input func(uint64) core.Input) {
	ctx, cancel := context.WithTimeout(r.Context(), patience)
	defer cancel()
	a, ok := s.core.Handle(ctx, input)
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

// readBody reads a body within the protocol's limit; false if it was answered.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBody+1))
	if err != nil || len(data) > wire.MaxBody {
		w.Header().Set("Connection", "close")
		reply(w, http.StatusBadRequest, 0, wire.ErrorBody{Error: "body: is too large or broken off"})
		return nil, false
	}
	return data, true
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	data, ok := readBody(w, r)
	if !ok {
		return
	}
	job, err := wire.ParseJob(data)
	if err != nil {
		reply(w, http.StatusBadRequest, 0, wire.ErrorBody{Error: err.Error()})
		return
	}
	s.handle(w, r, userTimeout, func(req uint64) core.Input { return core.SubmitJob{RequestID: req, Job: job} })
}

func (s *Server) poll(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.handle(w, r, userTimeout, func(req uint64) core.Input { return core.GetJob{RequestID: req, ID: id} })
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, wire.MaxBody))
	s.handle(w, r, userTimeout, func(req uint64) core.Input { return core.CancelJob{RequestID: req, ID: id} })
}

func (s *Server) heartbeat(w http.ResponseWriter, r *http.Request) {
	if s.openConnections.Load() > s.keepAliveLimit {
		w.Header().Set("Connection", "close")
	}
	data, ok := readBody(w, r)
	if !ok {
		return
	}
	report, err := wire.ParseHeartbeat(data)
	if err != nil {
		reply(w, http.StatusBadRequest, 0, wire.ErrorBody{Error: err.Error()})
		return
	}
	s.handle(w, r, workerTimeout, func(req uint64) core.Input { return core.WorkerHeartbeat{RequestID: req, Heartbeat: report} })
}

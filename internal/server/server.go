// Package server is the HTTP server of a controller node's public address. It serves the requests of users, the
// heartbeats of workers and the health check.
//
// It decodes and validates requests, passes them to the core and encodes the core's responses. It decides nothing about
// jobs or machines, and its only state is the count of its connections.
package server

import (
	"context"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"

	"bitternwing/internal/core"
	"bitternwing/internal/wire"
)

// Core handles requests.
type Core interface {
	// Handle passes the input for a request ID to the core and waits for the response. It returns false if there is no
	// response before the context ends.
	Handle(ctx context.Context, input func(requestID uint64) core.Input) (core.Response, bool)
	// Healthy reports whether the node can take requests.
	Healthy() bool
}

// Users wait five seconds for the response to a submission and two for the response to a poll. Workers wait four
// seconds for the response to a heartbeat. These timeouts are shorter, so that each client gets a response in time.
const (
	userResponseTimeout   = 1800 * time.Millisecond
	workerResponseTimeout = 3 * time.Second
)

// The timeouts and limits of a connection.
const (
	readHeaderTimeout = 10 * time.Second
	readTimeout       = 20 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
)

// Observer is called after each response, with the endpoint and the status.
type Observer func(endpoint string, status int)

// Server serves a node's public address.
type Server struct {
	core        Core
	http        *http.Server
	connections connectionTracker
}

// New creates a server that holds at most maxConnections open, a third of them for users. observe may be nil.
func New(c Core, maxConnections int, observe Observer) *Server {
	s := &Server{core: c, connections: newConnectionTracker(maxConnections)}
	mux := http.NewServeMux()
	handle := func(pattern, endpoint string, handler http.HandlerFunc) {
		mux.HandleFunc(pattern, withObserver(observe, endpoint, handler))
	}
	handle("GET /healthz", "health", s.health)
	handle("POST "+wire.JobsPath, "submit", s.connections.limitUserConnections(s.submit))
	handle("GET "+wire.JobsPath+"/{id}", "poll", s.connections.limitUserConnections(s.poll))
	handle("POST "+wire.JobsPath+"/{id}"+wire.CancelSuffix, "cancel", s.connections.limitUserConnections(s.cancel))
	handle("POST "+wire.HeartbeatPath, "report", s.connections.closeWhenNearlyFull(s.heartbeat))
	s.http = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       withConnection,
	}
	return s
}

// Serve accepts connections from a listener until Close.
func (s *Server) Serve(listener net.Listener) error {
	limited := netutil.LimitListener(listener, s.connections.maxConnections)
	return s.http.Serve(&trackedListener{limited, &s.connections})
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() error { return s.http.Close() }

// withObserver wraps a handler so that the observer is called after each response. It returns the handler itself if
// observe is nil.
func withObserver(observe Observer, endpoint string, handler http.HandlerFunc) http.HandlerFunc {
	if observe == nil {
		return handler
	}
	return func(w http.ResponseWriter, r *http.Request) {
		recorder := &statusRecorder{ResponseWriter: w}
		handler(recorder, r)
		observe(endpoint, recorder.status)
	}
}

// statusRecorder records the status of a response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusRecorder) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

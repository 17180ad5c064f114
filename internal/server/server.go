// Package server is the HTTP interface of a controller node on its public address: requests of users, heartbeats of
// workers and the health check.
//
// It decodes and validates requests, hands them to the core and encodes its responses. It decides nothing about jobs or
// machines, and keeps no state beside the count of its connections.
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
	// Handle hands over the input that belongs to a request id, and waits for the response. It returns false if there
	// is none before the context ends.
	Handle(ctx context.Context, input func(requestID uint64) core.Input) (core.Response, bool)
	// Healthy tells whether the node can take requests.
	Healthy() bool
}

// Users wait five seconds for the response to a submission and two for that to a poll, workers four for that to a
// heartbeat. Each gets a response before.
const (
	userTimeout   = 1800 * time.Millisecond
	workerTimeout = 3 * time.Second
)

// The limits of a connection.
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

// New makes a server that holds at most maxConnections open, a third of them for users. observe may be nil.
func New(c Core, maxConnections int, observe Observer) *Server {
	s := &Server{core: c, connections: newConnectionTracker(maxConnections)}
	mux := http.NewServeMux()
	handle := func(pattern, endpoint string, handler http.HandlerFunc) {
		mux.HandleFunc(pattern, observed(observe, endpoint, handler))
	}
	handle("GET /healthz", "health", s.health)
	handle("POST "+wire.JobsPath, "submit", s.connections.countUser(s.submit))
	handle("GET "+wire.JobsPath+"/{id}", "poll", s.connections.countUser(s.poll))
	handle("POST "+wire.JobsPath+"/{id}"+wire.CancelSuffix, "cancel", s.connections.countUser(s.cancel))
	handle("POST "+wire.HeartbeatPath, "report", s.connections.spareWhenFull(s.heartbeat))
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

// Serve serves a listener until Close.
func (s *Server) Serve(listener net.Listener) error {
	limited := netutil.LimitListener(listener, s.connections.maxOpen)
	return s.http.Serve(&trackedListener{limited, &s.connections})
}

// Close ends the server at once.
func (s *Server) Close() error { return s.http.Close() }

// observed calls an observer after each response of a handler.
func observed(observe Observer, endpoint string, handler http.HandlerFunc) http.HandlerFunc {
	if observe == nil {
		return handler
	}
	return func(w http.ResponseWriter, r *http.Request) {
		recorder := &statusRecorder{ResponseWriter: w}
		handler(recorder, r)
		observe(endpoint, recorder.status)
	}
}

// statusRecorder keeps the status of a response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusRecorder) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

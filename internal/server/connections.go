package server

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// connectionTracker counts the open connections and divides them between users and workers.
type connectionTracker struct {
	maxConnections int

	// maxUserConnections is how many connections users may keep open. Further connections are closed after the
	// response, so that workers, which keep their connections, always find a free one.
	maxUserConnections int64
	userConnections    atomic.Int64

	// keepAliveLimit is the number of open connections above which workers' connections are closed after the response.
	// Thus all workers of a fleet that has more workers than this node has connections are served in turn.
	keepAliveLimit  int64
	openConnections atomic.Int64
}

// newConnectionTracker returns a tracker that allows users to keep a third of the connections open, and workers to keep
// theirs until nine tenths are in use.
func newConnectionTracker(maxConnections int) connectionTracker {
	return connectionTracker{maxConnections: maxConnections, maxUserConnections: int64(max(1, maxConnections/3)), keepAliveLimit: int64(maxConnections - maxConnections/10)}
}

// limitUserConnections wraps a handler of users' requests. It counts their connections as users', and closes
// connections beyond maxUserConnections after the response.
func (t *connectionTracker) limitUserConnections(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		connection, ok := r.Context().Value(connectionKey{}).(*trackedConnection)
		if ok && !connection.countedAsUser.Swap(true) {
			t.userConnections.Add(1)
		}
		if t.userConnections.Load() > t.maxUserConnections {
			closeAfterResponse(w)
		}
		handler(w, r)
	}
}

// closeWhenNearlyFull wraps a handler. It closes connections after the response while more than keepAliveLimit are
// open.
func (t *connectionTracker) closeWhenNearlyFull(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if t.openConnections.Load() > t.keepAliveLimit {
			closeAfterResponse(w)
		}
		handler(w, r)
	}
}

// closeAfterResponse makes the server close the connection after the response.
func closeAfterResponse(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

// trackedListener counts the connections that it accepts.
type trackedListener struct {
	net.Listener
	tracker *connectionTracker
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.tracker.openConnections.Add(1)
	return &trackedConnection{Conn: connection, tracker: l.tracker}, nil
}

// trackedConnection is a connection that the tracker counts until it is closed.
type trackedConnection struct {
	net.Conn
	tracker       *connectionTracker
	countedAsUser atomic.Bool
	closed        atomic.Bool
}

// Close implements net.Conn.
func (c *trackedConnection) Close() error {
	if !c.closed.Swap(true) {
		c.tracker.openConnections.Add(-1)
	}
	if c.countedAsUser.Swap(false) {
		c.tracker.userConnections.Add(-1)
	}
	return c.Conn.Close()
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// withConnection adds a connection to the context of its requests.
func withConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

package server

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// connectionTracker counts the open connections, and has users and workers share them.
type connectionTracker struct {
	maxOpen int

	// Connections that users keep open beyond their share are closed with the response, so
	// that workers, which keep theirs, always find one.
	maxUser int64
	user    atomic.Int64

	// Workers keep theirs while there are some to spare. Beyond that each connection is closed with its
	// response, so that all of a fleet with more workers than sockets are served in turn.
	keepAliveLimit int64
	open           atomic.Int64
}

func newConnectionTracker(maxOpen int) connectionTracker {
	return connectionTracker{maxOpen: maxOpen, maxUser: int64(max(1, maxOpen/3)), keepAliveLimit: int64(maxOpen - maxOpen/10)}
}

// countUser counts the connections of a handler's requests as users', and closes those beyond the users' share.
func (t *connectionTracker) countUser(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		connection, ok := r.Context().Value(connectionKey{}).(*trackedConnection)
		if ok && !connection.countedAsUser.Swap(true) {
			t.user.Add(1)
		}
		if t.user.Load() > t.maxUser {
			closeAfterResponse(w)
		}
		handler(w, r)
	}
}

// spareWhenFull closes the connections of a handler's requests while nearly all are in use.
func (t *connectionTracker) spareWhenFull(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if t.open.Load() > t.keepAliveLimit {
			closeAfterResponse(w)
		}
		handler(w, r)
	}
}

// closeAfterResponse has a connection closed with its response.
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
	l.tracker.open.Add(1)
	return &trackedConnection{Conn: connection, tracker: l.tracker}, nil
}

// trackedConnection is a connection that is counted until it is closed.
type trackedConnection struct {
	net.Conn
	tracker       *connectionTracker
	countedAsUser atomic.Bool
	closed        atomic.Bool
}

// Close implements net.Conn.
func (c *trackedConnection) Close() error {
	if !c.closed.Swap(true) {
		c.tracker.open.Add(-1)
	}
	if c.countedAsUser.Swap(false) {
		c.tracker.user.Add(-1)
	}
	return c.Conn.Close()
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// withConnection puts a connection into the context of its requests.
func withConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

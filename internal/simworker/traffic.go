package simworker

import (
	"net"
	"sync/atomic"
)

// Counter counts the bytes that a worker receives and sends through its sockets.
type Counter struct {
	Received atomic.Int64
	Sent     atomic.Int64
}

// Total returns the sum of both directions.
func (c *Counter) Total() int64 { return c.Received.Load() + c.Sent.Load() }

// countedConn is a connection that counts its bytes.
type countedConn struct {
	net.Conn
	counter *Counter
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.Received.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.Sent.Add(int64(n))
	return n, err
}

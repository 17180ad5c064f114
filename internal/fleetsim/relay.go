package fleetsim

import (
	"context"
	"io"
	"net"
	"sync"

	"bitternwing/internal/fleetsim/measure"
)

// relay forwards the connections of one controller to another one. It counts their traffic and can simulate a
// partition, during which it holds all bytes back. It delivers them when the partition ends.
type relay struct {
	source, target string // names of the controllers
	targetAddr     string // internal address of the target
	listener       net.Listener
	traffic        *measure.Traffic

	mu           sync.Mutex
	stateChanged *sync.Cond
	partitioned  bool
	closed       bool
	connections  map[net.Conn]bool
}

// newRelay starts a relay from one controller to another, which listens on targetAddr.
func newRelay(source, target, targetAddr string, traffic *measure.Traffic) (*relay, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{source: source, target: target, targetAddr: targetAddr, listener: listener, traffic: traffic, connections: map[net.Conn]bool{}}
	r.stateChanged = sync.NewCond(&r.mu)
	go r.serve()
	return r, nil
}

func (r *relay) addr() string { return r.listener.Addr().String() }

func (r *relay) serve() {
	for {
		incoming, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(incoming)
	}
}

// forward forwards a connection until either side closes it.
func (r *relay) forward(incoming net.Conn) {
	defer r.drop(incoming)
	if !r.track(incoming) || !r.waitUntilOpen() {
		return
	}
	outgoing, err := new(net.Dialer).DialContext(context.Background(), "tcp4", r.targetAddr)
	if err != nil {
		return
	}
	defer r.drop(outgoing)
	if !r.track(outgoing) {
		return
	}
	go func() {
		r.copy(outgoing, incoming, func(bytes int) {
			r.traffic.CountBytes(r.source, measure.KindPeer, 0, bytes)
			r.traffic.CountBytes(r.target, measure.KindPeer, bytes, 0)
		})
		r.drop(outgoing)
	}()
	r.copy(incoming, outgoing, func(bytes int) {
		r.traffic.CountBytes(r.source, measure.KindPeer, bytes, 0)
		r.traffic.CountBytes(r.target, measure.KindPeer, 0, bytes)
	})
}

// relayBufferBytes is the size of the buffer for each direction of a connection.
const relayBufferBytes = 16 << 10

// copy copies from one side to the other until either fails. It calls count with the number of bytes of each read.
func (r *relay) copy(to io.Writer, from io.Reader, count func(int)) {
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !r.waitUntilOpen() {
				return
			}
			count(n)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitUntilOpen waits for the end of a partition. It returns false if the relay is closed.
func (r *relay) waitUntilOpen() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.partitioned && !r.closed {
		r.stateChanged.Wait()
	}
	return !r.closed
}

// setPartitioned begins or ends a partition.
func (r *relay) setPartitioned(partitioned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitioned = partitioned
	r.stateChanged.Broadcast()
}

// track registers a connection, which is closed with the relay unless drop closes it before. It returns false if the
// relay is closed.
func (r *relay) track(connection net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.connections[connection] = true
	}
	return !r.closed
}

// drop unregisters and closes a connection.
func (r *relay) drop(connection net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, connection)
	_ = connection.Close()
}

// close closes the relay and its connections.
func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.stateChanged.Broadcast()
	_ = r.listener.Close()
	for connection := range r.connections {
		_ = connection.Close()
	}
}

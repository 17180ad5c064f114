package fleetsim

import (
	"context"
	"io"
	"net"
	"sync"

	"bitternwing/internal/fleetsim/measure"
)

// relay forwards the connections of one controller to another one, so that their traffic can be
// counted and partitioned. During a partition bytes are held back and delivered when it ends.
type relay struct {
	source, target string // controllers
	targetAddress  string // address
	listener       net.Listener
	traffic        *measure.Traffic

	mu          sync.Mutex
	open        *sync.Cond
	partitioned bool
	closed      bool
	connections map[net.Conn]bool
}

// newRelay makes a relay between two controllers, to the internal address of the target.
func newRelay(source, target, targetAddress string, traffic *measure.Traffic) (*relay, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{source: source, target: target, targetAddress: targetAddress, listener: listener, traffic: traffic, connections: map[net.Conn]bool{}}
	r.open = sync.NewCond(&r.mu)
	go r.serve()
	return r, nil
}

func (r *relay) addr() string { return r.listener.Addr().String() }

func (r *relay) serve() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.connect(in)
	}
}

// connect forwards a connection until one of its sides ends it.
func (r *relay) connect(incoming net.Conn) {
	defer r.drop(incoming)
	if !r.track(incoming) || !r.waitUntilOpen() {
		return
	}
	out, err := new(net.Dialer).DialContext(context.Background(), "tcp4", r.targetAddress)
	if err != nil {
		return
	}
	defer r.drop(out)
	if !r.track(out) {
		return
	}
	go func() {
		r.copy(out, incoming, func(bytes int) {
			r.traffic.Bytes(r.source, measure.KindPeer, 0, bytes)
			r.traffic.Bytes(r.target, measure.KindPeer, bytes, 0)
		})
		r.drop(out)
	}()
	r.copy(incoming, out, func(bytes int) {
		r.traffic.Bytes(r.source, measure.KindPeer, bytes, 0)
		r.traffic.Bytes(r.target, measure.KindPeer, 0, bytes)
	})
}

// relayBuffer is how many bytes are forwarded at a time.
const relayBuffer = 16 << 10

// copy copies from one side to the other, and counts the bytes.
func (r *relay) copy(to io.Writer, from io.Reader, count func(int)) {
	buffer := make([]byte, relayBuffer)
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

// waitUntilOpen waits for the end of a partition; false if the relay is closed.
func (r *relay) waitUntilOpen() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.partitioned && !r.closed {
		r.open.Wait()
	}
	return !r.closed
}

// setPartitioned begins or ends a partition.
func (r *relay) setPartitioned(partitioned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitioned = partitioned
	r.open.Broadcast()
}

// track keeps a connection until drop, to close it with the relay; false if the relay is closed.
func (r *relay) track(connection net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.connections[connection] = true
	}
	return !r.closed
}

// drop closes a connection.
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
	r.open.Broadcast()
	_ = r.listener.Close()
	for connection := range r.connections {
		_ = connection.Close()
	}
}

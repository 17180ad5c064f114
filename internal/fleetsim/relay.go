package fleetsim

import (
	"context"
	"io"
	"net"
	"sync"

	"bitternwing/internal/fleetsim/measure"
)

// relay passes the connections of one controller to another one on, so that what they exchange can be
// counted and cut off. While it is cut, bytes are held back and delivered when that ends.
type relay struct {
	source, target string // controllers
	targetAddress  string // address
	listener       net.Listener
	traffic        *measure.Traffic

	mu          sync.Mutex
	open        *sync.Cond
	partitioned bool
	closed      bool
	conns       map[net.Conn]bool
}

func newRelay(from, to, target string, traffic *measure.Traffic) (*relay, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{source: from, target: to, targetAddress: target, listener: l, traffic: traffic, conns: map[net.Conn]bool{}}
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

// connect passes a connection on until one of its sides ends it.
func (r *relay) connect(in net.Conn) {
	defer r.drop(in)
	if !r.track(in) || !r.waitUntilOpen() {
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
		r.copy(out, in, func(n int) {
			r.traffic.Bytes(r.source, measure.KindPeer, 0, n)
			r.traffic.Bytes(r.target, measure.KindPeer, n, 0)
		})
		r.drop(out)
	}()
	r.copy(in, out, func(n int) {
		r.traffic.Bytes(r.source, measure.KindPeer, n, 0)
		r.traffic.Bytes(r.target, measure.KindPeer, 0, n)
	})
}

// relayBuffer is how many bytes are passed on at a time.
const relayBuffer = 16 << 10

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

// waitUntilOpen waits while the relay is cut; false if it has ended.
func (r *relay) waitUntilOpen() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.partitioned && !r.closed {
		r.open.Wait()
	}
	return !r.closed
}

func (r *relay) setPartitioned(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitioned = cut
	r.open.Broadcast()
}

// track remembers a connection until forget; false if the relay has ended.
func (r *relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.conns[c] = true
	}
	return !r.closed
}

func (r *relay) drop(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	_ = c.Close()
}

func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.open.Broadcast()
	_ = r.listener.Close()
	for c := range r.conns {
		_ = c.Close()
	}
}

package emulator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
)

// RequestObserver is called after each request to an emulated service, with the client and the sizes of the request and
// response bodies.
type RequestObserver func(client, method, path string, received, sent int)

// clientHandler handles a request from a client.
type clientHandler func(client string, w http.ResponseWriter, r *http.Request)

// clientServers serves an emulated service at a separate address for each client, so that requests can be counted by
// client and each client can be partitioned by itself.
type clientServers struct {
	handle clientHandler

	mu       sync.Mutex
	observer RequestObserver
	servers  []*http.Server
}

// SetObserver sets the observer of requests.
func (c *clientServers) SetObserver(observer RequestObserver) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observer = observer
}

// AddClient starts a server for a client and returns its address. The server runs until close.
func (c *clientServers) AddClient(name string) (string, error) {
	listener, err := listen(anyLoopbackPort)
	if err != nil {
		return "", fmt.Errorf("listen for client %s: %w", name, err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		observed := &observedWriter{ResponseWriter: w}
		c.handle(name, observed, r)
		c.notifyObserver(name, r, observed.sent)
	})}
	go func() { _ = server.Serve(listener) }() // ends with close
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers = append(c.servers, server)
	return listener.Addr().String(), nil
}

// notifyObserver calls the observer, if there is one, for a request.
func (c *clientServers) notifyObserver(client string, r *http.Request, sent int) {
	c.mu.Lock()
	observer := c.observer
	c.mu.Unlock()
	if observer != nil {
		observer(client, r.Method, r.URL.Path, int(max(0, r.ContentLength)), sent)
	}
}

// close closes all servers.
func (c *clientServers) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.servers {
		_ = s.Close()
	}
}

// observedWriter counts the bytes of a response's body.
type observedWriter struct {
	http.ResponseWriter
	sent int
}

func (w *observedWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.sent += n
	return n, err
}

// FreeAddr returns ports below the ephemeral range, since an outgoing connection could otherwise take a port before the
// caller listens on it. Each process starts at a different port.
const (
	firstFreePort   = 10_000
	lastFreePort    = 20_000
	portsPerProcess = 50 // distance between the first ports of processes with consecutive process IDs
)

var freePorts atomic.Uint32

// FreeAddr returns a free loopback address, a different one on each call.
func FreeAddr() string {
	for {
		offset := os.Getpid()*portsPerProcess + int(freePorts.Add(1))
		addr := fmt.Sprintf("127.0.0.1:%d", firstFreePort+offset%(lastFreePort-firstFreePort))
		if listener, err := listen(addr); err == nil {
			_ = listener.Close()
			return addr
		}
	}
}

// anyLoopbackPort has the system choose a free loopback port.
const anyLoopbackPort = "127.0.0.1:0"

func listen(address string) (net.Listener, error) {
	return new(net.ListenConfig).Listen(context.Background(), "tcp4", address)
}

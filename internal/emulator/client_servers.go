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

// RequestObserver is told of each request that a stand-in answers: whose it is, and the sizes of the bodies.
type RequestObserver func(client, method, path string, received, sent int)

// clientServers serves a stand-in at an address for each client, so that what each asks for can be counted.
type clientServers struct {
	handle func(client string, w http.ResponseWriter, r *http.Request)
	addr   string // of the client without a name

	mu       sync.Mutex
	observer RequestObserver
	servers  []*http.Server
}

// serve begins with an address for a client without a name.
func (c *clientServers) serve(handle func(client string, w http.ResponseWriter, r *http.Request)) {
	c.handle = handle
	addr, err := c.AddClient("")
	if err != nil {
		panic(err) // no port on loopback: nothing can be tested
	}
	c.addr = addr
}

// Addr is where the client without a name is served.
func (c *clientServers) Addr() string { return c.addr }

// SetObserver has requests counted from now on.
func (c *clientServers) SetObserver(observe RequestObserver) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observer = observe
}

// AddClient gives an address for a client.
func (c *clientServers) AddClient(name string) (string, error) {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		counted := &observedWriter{ResponseWriter: w}
		c.handle(name, counted, r)
		c.count(name, r, counted.sent)
	})}
	go func() { _ = server.Serve(l) }() // ends with close
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers = append(c.servers, server)
	return l.Addr().String(), nil
}

func (c *clientServers) count(client string, r *http.Request, sent int) {
	c.mu.Lock()
	observe := c.observer
	c.mu.Unlock()
	if observe != nil {
		observe(client, r.Method, r.URL.Path, int(max(0, r.ContentLength)), sent)
	}
}

// close ends all servers.
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

// The ports that FreeAddr gives are below those that the system gives to outgoing connections: else another connection may
// take a port before whoever asked for it listens there. Processes begin at different ones.
const (
	firstFreePort   = 10_000
	lastFreePort    = 20_000
	portsPerProcess = 50 // ports of two processes that are started one after the other
)

var freePorts atomic.Uint32

// FreeAddr finds a free address on loopback, another one each time.
func FreeAddr() string {
	for {
		offset := os.Getpid()*portsPerProcess + int(freePorts.Add(1))
		addr := fmt.Sprintf("127.0.0.1:%d", firstFreePort+offset%(lastFreePort-firstFreePort))
		if l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", addr); err == nil {
			_ = l.Close()
			return addr
		}
	}
}

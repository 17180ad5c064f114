package standin

import (
	"net"
	"net/http"
	"sync"
)

// Observe is told of each request that a stand-in answers: whose it is, and the sizes of the bodies.
type Observe func(client, method, path string, received, sent int)

// clientServers serves a stand-in at an address for each client, so that what each asks for can be counted.
type clientServers struct {
	handle func(client string, w http.ResponseWriter, r *http.Request)
	addr   string // of the client without a name

	mu      sync.Mutex
	observe Observe
	servers []*http.Server
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
func (c *clientServers) SetObserver(observe Observe) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observe = observe
}

// AddClient gives an address for a client.
func (c *clientServers) AddClient(name string) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
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
	observe := c.observe
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

// FreeAddr finds a free address on loopback.
func FreeAddr() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

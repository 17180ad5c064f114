package metrics

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"bitternwing/internal/core"
)

// countingListener counts the open connections and records their maximum.
type countingListener struct {
	net.Listener
	mu            sync.Mutex
	open, maxOpen int
}

type countedConn struct {
	net.Conn
	l    *countingListener
	once sync.Once
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	l.maxOpen = max(l.maxOpen, l.open)
	return &countedConn{Conn: c, l: l}, nil
}

func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.l.mu.Lock()
		defer c.l.mu.Unlock()
		c.l.open--
	})
	return c.Conn.Close()
}

// serve serves metrics on loopback and returns the address and the listener.
func serve(t *testing.T, options Options) (string, *countingListener) {
	t.Helper()
	inner, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &countingListener{Listener: inner}
	s := NewServer(New(func() core.Status { return core.Status{Leading: true, Load: 0.5} }), options, slog.New(slog.NewTextHandler(io.Discard, nil)))
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return inner.Addr().String(), l
}

// get sends a request and returns the response's status and Retry-After header.
func get(t *testing.T, addr, path string) (status int, retryAfter string, err error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+addr+path, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	_ = response.Body.Close()
	return response.StatusCode, response.Header.Get("Retry-After"), nil
}

// TestNames checks that names and help texts follow the conventions of Prometheus.
func TestNames(t *testing.T) {
	r := New(func() core.Status { return core.Status{} })
	r.Input("report", time.Millisecond)
	r.Request("poll", http.StatusOK)
	r.Call(Store, "txn", "ok")
	problems, err := testutil.GatherAndLint(r.registry)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range problems {
		t.Errorf("%s: %s", p.Metric, p.Text)
	}
}

// TestNilRecorder checks that the methods of a nil recorder do nothing.
func TestNilRecorder(t *testing.T) {
	var r *Recorder
	r.Input("report", time.Millisecond)
	r.Request("poll", http.StatusOK)
	r.Call(Store, "txn", "ok")
}

// TestMaxConnections checks that stuck scrapers never exceed the maximum number of connections, and that another
// scraper is served once their connections time out.
func TestMaxConnections(t *testing.T) {
	addr, l := serve(t, Options{MaxConnections: 2, RequestTimeout: 200 * time.Millisecond})
	for range 40 {
		c, err := new(net.Dialer).DialContext(t.Context(), "tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "GET /metrics HTTP/1.1\r\n") // the header is never completed
	}
	for served := false; !served; {
		status, _, err := get(t, addr, "/metrics")
		served = err == nil && status == http.StatusOK
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.maxOpen > 2 {
		t.Errorf("%d connections were open at the same time", l.maxOpen)
	}
}

// TestRateAndDurationLimits checks that scrapes above the rate limit get 503 with a Retry-After header, and that
// profiles with an invalid duration or one above the maximum are refused.
func TestRateAndDurationLimits(t *testing.T) {
	addr, _ := serve(t, Options{MaxConnections: 8, RequestTimeout: time.Second, Profiles: true})
	refused := false
	for range 10 * scrapeBurst {
		status, retryAfter, err := get(t, addr, "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		refused = refused || status == http.StatusServiceUnavailable && retryAfter != ""
	}
	if !refused {
		t.Error("no scrape above the rate limit is refused")
	}
	for path, want := range map[string]int{
		"/debug/pprof/heap":                 http.StatusOK,
		"/debug/pprof/profile?seconds=1":    http.StatusOK,
		"/debug/pprof/profile?seconds=61":   http.StatusBadRequest,
		"/debug/pprof/profile?seconds=-1":   http.StatusBadRequest,
		"/debug/pprof/trace?seconds=many":   http.StatusBadRequest,
		"/debug/pprof/trace?seconds=0.0001": http.StatusOK,
	} {
		if got, _, err := get(t, addr, path); err != nil || got != want {
			t.Errorf("%s: wrong status %d, error %v", path, got, err)
		}
	}
}

// BenchmarkRecorder measures what the recorder costs for a heartbeat, off and on: an input, a request and a call.
func BenchmarkRecorder(b *testing.B) {
	for name, r := range map[string]*Recorder{"off": nil, "on": New(func() core.Status { return core.Status{} })} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				r.Input("report", time.Millisecond)
				r.Request("report", http.StatusOK)
				r.Call(Store, "txn", "ok")
			}
		})
	}
}

package metrics

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/http/pprof"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/net/netutil"
	"golang.org/x/time/rate"
)

const (
	// idleTimeout is how long a connection may wait for the next request.
	idleTimeout = 10 * time.Second
	// maxProfileDuration bounds how long a profile or an execution trace may take.
	maxProfileDuration = 60 * time.Second
	// defaultCPUProfile and defaultTrace are how long these take where the request does not say: the defaults of
	// net/http/pprof.
	defaultCPUProfile = 30 * time.Second
	defaultTrace      = time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 8 << 10
)

// A scrape takes processor time that a small controller hardly has: beyond these, scrapers are told to come back.
const (
	scrapesPerSecond = 1
	scrapeBurst      = 4
)

// Options bound what scrapers may use.
type Options struct {
	MaxConnections int
	RequestTimeout time.Duration // in which a scraper gets its response, or loses its connection, whatever it does
	Profiles       bool          // are served as well
}

// Server serves the metrics of a recorder.
type Server struct {
	http    *http.Server
	options Options
}

// NewServer makes a server.
func NewServer(recorder *Recorder, options Options, log *slog.Logger) *Server {
	s := &Server{options: options}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", limitScrapes(promhttp.HandlerFor(recorder.registry, promhttp.HandlerOpts{MaxRequestsInFlight: options.MaxConnections})))
	if options.Profiles {
		s.handleProfiles(mux)
	}
	s.http = &http.Server{
		Handler:           s.withDeadline(mux),
		ReadHeaderTimeout: options.RequestTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	return s
}

// Serve serves a listener until Close.
func (s *Server) Serve(listener net.Listener) error {
	return s.http.Serve(netutil.LimitListener(listener, s.options.MaxConnections))
}

// Close ends the server at once.
func (s *Server) Close() error { return s.http.Close() }

// withDeadline bounds the time that a request may take. A body is not read: none of these requests has one.
func (s *Server) withDeadline(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if setDeadline(w, s.options.RequestTimeout) == nil {
			next.ServeHTTP(w, r)
		}
	})
}

// setDeadline gives a request so much time from now on.
func setDeadline(w http.ResponseWriter, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	control := http.NewResponseController(w)
	return errors.Join(control.SetReadDeadline(deadline), control.SetWriteDeadline(deadline))
}

// limitScrapes refuses scrapes above a rate.
func limitScrapes(next http.Handler) http.Handler {
	limiter := rate.NewLimiter(scrapesPerSecond, scrapeBurst)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !limiter.Allow() {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "too many scrapes", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// handleProfiles serves the profiles of net/http/pprof.
func (s *Server) handleProfiles(mux *http.ServeMux) {
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("GET /debug/pprof/profile", s.withProfileDeadline(defaultCPUProfile, pprof.Profile))
	mux.HandleFunc("GET /debug/pprof/trace", s.withProfileDeadline(defaultTrace, pprof.Trace))
	mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
}

// withProfileDeadline gives a request as much time as its parameter seconds says; defaultTime is what it takes without
// one.
func (s *Server) withProfileDeadline(defaultTime time.Duration, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		duration := defaultTime
		if text := r.FormValue("seconds"); text != "" {
			seconds, err := strconv.ParseFloat(text, 64)
			if err != nil || !(seconds > 0) || seconds > maxProfileDuration.Seconds() {
				http.Error(w, "seconds: must be above 0 and at most "+maxProfileDuration.String(), http.StatusBadRequest)
				return
			}
			duration = time.Duration(seconds * float64(time.Second))
		}
		if setDeadline(w, duration+s.options.RequestTimeout) == nil {
			next(w, r)
		}
	}
}

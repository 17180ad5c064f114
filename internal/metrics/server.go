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
	// idleTimeout is how long a connection may be idle between requests.
	idleTimeout = 10 * time.Second
	// maxProfileDuration is the maximum duration of a profile or an execution trace.
	maxProfileDuration = 60 * time.Second
	// defaultCPUProfileDuration and defaultTraceDuration are the durations of profiles and traces if the request does
	// not set them. They are the defaults of net/http/pprof.
	defaultCPUProfileDuration = 30 * time.Second
	defaultTraceDuration      = time.Second
	// maxHeaderBytes is the maximum size of a request header.
	maxHeaderBytes = 8 << 10
)

// The rate limit of scrapes. A scrape takes CPU time, which is scarce on a small controller. Scrapes above the limit
// get 503 with a Retry-After header.
const (
	scrapesPerSecond = 1
	scrapeBurst      = 4
)

// Options are the options of a metrics server.
type Options struct {
	MaxConnections int
	RequestTimeout time.Duration // for the whole response, after which the connection is closed even if the scraper stalls
	Profiles       bool          // whether to serve the profiles of net/http/pprof
}

// Server serves the metrics of a recorder.
type Server struct {
	http    *http.Server
	options Options
}

// NewServer creates a server. It logs the errors of connections at the debug level.
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

// Serve accepts connections from a listener until Close.
func (s *Server) Serve(listener net.Listener) error {
	return s.http.Serve(netutil.LimitListener(listener, s.options.MaxConnections))
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() error { return s.http.Close() }

// withDeadline wraps a handler with the request timeout. It does not read the body: none of these requests has one.
func (s *Server) withDeadline(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if setDeadline(w, s.options.RequestTimeout) == nil {
			next.ServeHTTP(w, r)
		}
	})
}

// setDeadline sets the read and write deadlines of a request's connection to the timeout from now.
func setDeadline(w http.ResponseWriter, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	control := http.NewResponseController(w)
	return errors.Join(control.SetReadDeadline(deadline), control.SetWriteDeadline(deadline))
}

// limitScrapes wraps a handler with the rate limit of scrapes.
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

// handleProfiles registers the handlers of net/http/pprof.
func (s *Server) handleProfiles(mux *http.ServeMux) {
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("GET /debug/pprof/profile", s.withProfileDeadline(defaultCPUProfileDuration, pprof.Profile))
	mux.HandleFunc("GET /debug/pprof/trace", s.withProfileDeadline(defaultTraceDuration, pprof.Trace))
	mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
}

// withProfileDeadline wraps a handler with a timeout that allows for the duration of the profile. The parameter seconds
// of the request sets the duration; without it, the profile takes defaultDuration.
func (s *Server) withProfileDeadline(defaultDuration time.Duration, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		duration := defaultDuration
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

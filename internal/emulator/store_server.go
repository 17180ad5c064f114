package emulator

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// StoreServer serves a Store over HTTP. Each client can have an address of its own, and be cut off by itself.
type StoreServer struct {
	clientServers
	mu          sync.Mutex
	store       *Store
	start       time.Time
	down        bool
	partitioned map[string]bool
	changed     chan struct{} // closed at the next change
	closed      chan struct{}

	requestLimiter, writeLimiter *rate.Limiter // nil: no limit
}

// NewStoreServer starts a state service on loopback.
func NewStoreServer() *StoreServer {
	s := &StoreServer{store: NewStore(), start: time.Now(), partitioned: map[string]bool{}, changed: make(chan struct{}), closed: make(chan struct{})}
	s.clientServers.serve(s.serve)
	return s
}

// Close ends it.
func (s *StoreServer) Close() {
	close(s.closed)
	s.close()
}

// SetDown begins or ends an outage.
func (s *StoreServer) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if !down {
		s.store.RefreshLeases(time.Since(s.start))
	}
	s.notify()
}

// SetPartitioned cuts a client off: nothing that it asks for is answered until that ends.
func (s *StoreServer) SetPartitioned(client string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitioned[client] = cut
	s.notify()
}

// SetLimits has it refuse larger values and transactions, as Store.SetLimits.
func (s *StoreServer) SetLimits(valueBytes, changes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.SetLimits(valueBytes, changes)
}

// SetRateLimits bounds the requests and the writes a second, with bursts of one second's worth.
func (s *StoreServer) SetRateLimits(requests, writes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestLimiter = rate.NewLimiter(rate.Limit(requests), max(1, int(requests)))
	s.writeLimiter = rate.NewLimiter(rate.Limit(writes), max(1, int(writes)))
}

// Keys gives the keys below a prefix.
func (s *StoreServer) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.Keys(prefix)
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

var statusOf = map[outcome.Outcome]int{outcome.OK: 200, outcome.Conflict: 409, outcome.NotFound: 404, outcome.Invalid: 400, outcome.TooOld: 410}

// catchUp brings the store to the present time; a lease that has ended is a change like any other. The caller
// holds the lock.
func (s *StoreServer) catchUp() {
	before := s.store.Revision()
	s.store.AdvanceTo(time.Since(s.start))
	if s.store.Revision() != before {
		s.notify()
	}
}

// notify wakes the watches. The caller holds the lock.
func (s *StoreServer) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// admit waits until a client is not cut off, and takes the lock at the present time. Otherwise it gives the
// status of the refusal; 0 if there is nobody to answer any more.
func (s *StoreServer) admit(client string, r *http.Request) (status int) {
	if !s.reachable(client, r) {
		return 0
	}
	s.mu.Lock()
	switch {
	case s.down && r.URL.Path != "/changes":
		status = http.StatusServiceUnavailable
	case s.requestLimiter != nil && !s.requestLimiter.Allow():
		status = http.StatusTooManyRequests
	default:
		s.catchUp()
		return http.StatusOK
	}
	s.mu.Unlock()
	return status
}

// reachable waits while a client is cut off; false if it or this server has gone away meanwhile.
func (s *StoreServer) reachable(client string, r *http.Request) bool {
	for {
		s.mu.Lock()
		cut, changed := s.partitioned[client], s.changed
		s.mu.Unlock()
		if !cut {
			return r.Context().Err() == nil
		}
		if !s.wait(r, changed, time.Hour) {
			return false
		}
	}
}

// wait waits for a change, or for a time; false if the client or this server has gone away.
func (s *StoreServer) wait(r *http.Request, changed <-chan struct{}, most time.Duration) bool {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-s.closed:
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

func (s *StoreServer) serve(client string, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBody+1))
	if err != nil || len(body) > wire.MaxBody {
		respond(w, http.StatusBadRequest, nil)
		return
	}
	switch status := s.admit(client, r); {
	case status == 0:
		return
	case status != http.StatusOK:
		respond(w, status, nil)
		return
	case r.URL.Path == "/changes":
		s.mu.Unlock()
		s.changes(client, w, r)
		return
	}
	defer s.mu.Unlock()
	before := s.store.Revision()
	s.serveStore(w, r, body)
	if s.store.Revision() != before {
		s.notify()
	}
}

// serveStore answers what needs no waiting. The caller holds the lock.
func (s *StoreServer) serveStore(w http.ResponseWriter, r *http.Request, body []byte) {
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/kv":
		limit, _ := strconv.Atoi(q.Get("limit"))
		respond(w, http.StatusOK, s.store.List(q.Get("under"), q.Get("after"), limit))
	case strings.HasPrefix(r.URL.Path, "/kv/"):
		item, got := s.store.Get(strings.TrimPrefix(r.URL.Path, "/kv/"))
		if got == outcome.NotFound {
			respond(w, http.StatusNotFound, wire.TxnResponse{Revision: s.store.Revision()})
			return
		}
		respond(w, http.StatusOK, item)
	case r.URL.Path == "/txn":
		s.transaction(w, body)
	case r.URL.Path == "/grants":
		var g wire.LeaseRequest
		if json.Unmarshal(body, &g) != nil || g.TTLMillis < 100 {
			respond(w, http.StatusBadRequest, nil)
			return
		}
		respond(w, http.StatusOK, wire.LeaseResponse{Lease: s.store.GrantLease(time.Duration(g.TTLMillis) * time.Millisecond)})
	case strings.HasPrefix(r.URL.Path, "/grants/"):
		id, extend := strings.CutSuffix(strings.TrimPrefix(r.URL.Path, "/grants/"), "/extend")
		n, _ := strconv.ParseUint(id, 10, 64)
		if extend {
			respond(w, statusOf[s.store.RenewLease(n)], struct{}{})
		} else {
			respond(w, statusOf[s.store.RevokeLease(n)], struct{}{})
		}
	default:
		respond(w, http.StatusBadRequest, nil)
	}
}

func (s *StoreServer) transaction(w http.ResponseWriter, body []byte) {
	var t wire.Txn
	if json.Unmarshal(body, &t) != nil {
		respond(w, http.StatusBadRequest, nil)
		return
	}
	if n := len(t.Then); n > 0 && s.writeLimiter != nil && !s.writeLimiter.AllowN(time.Now(), n) {
		respond(w, http.StatusTooManyRequests, nil)
		return
	}
	a, outcome := s.store.Txn(t)
	respond(w, statusOf[outcome], a)
}

// changes waits for changes; in an outage an open watch just waits.
func (s *StoreServer) changes(client string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("block_ms"))
	for end := time.Now().Add(time.Duration(ms) * time.Millisecond); ; {
		s.mu.Lock()
		served := !s.down && !s.partitioned[client]
		var c wire.WatchResponse
		got := outcome.OK
		if served {
			s.catchUp()
			c, got = s.store.Changes(q.Get("under"), after)
		}
		changed := s.changed
		s.mu.Unlock()
		if served && (got != outcome.OK || len(c.Events) > 0 || time.Now().After(end)) {
			respond(w, statusOf[got], c)
			return
		}
		if !s.wait(r, changed, leaseCheckInterval) {
			return
		}
	}
}

// leaseCheckInterval is how often an open watch looks for what only time changes: ends of leases, and its own. The protocol
// lets the end of a lease come up to 100 ms late.
const leaseCheckInterval = 50 * time.Millisecond

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

// StateServer serves a Store over HTTP. Each client can have an address of its own, and be cut off by itself.
type StateServer struct {
	clientServers
	mu      sync.Mutex
	store   *Store
	start   time.Time
	down    bool
	cut     map[string]bool
	changed chan struct{} // closed at the next change
	ended   chan struct{}

	requests, writes *rate.Limiter // nil: no limit
}

// NewStateServer starts a state service on loopback.
func NewStateServer() *StateServer {
	s := &StateServer{store: NewStore(), start: time.Now(), cut: map[string]bool{}, changed: make(chan struct{}), ended: make(chan struct{})}
	s.clientServers.serve(s.serve)
	return s
}

// Close ends it.
func (s *StateServer) Close() {
	close(s.ended)
	s.close()
}

// SetDown begins or ends an outage.
func (s *StateServer) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if !down {
		s.store.Refresh(time.Since(s.start))
	}
	s.notify()
}

// SetCut cuts a client off: nothing that it asks for is answered until that ends.
func (s *StateServer) SetCut(client string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[client] = cut
	s.notify()
}

// SetLimits has it refuse larger values and transactions, as Store.SetLimits.
func (s *StateServer) SetLimits(valueBytes, changes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.SetLimits(valueBytes, changes)
}

// SetRates bounds the requests and the writes a second, with bursts of one second's worth.
func (s *StateServer) SetRates(requests, writes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = rate.NewLimiter(rate.Limit(requests), max(1, int(requests)))
	s.writes = rate.NewLimiter(rate.Limit(writes), max(1, int(writes)))
}

// Keys gives the keys below a prefix.
func (s *StateServer) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.Keys(prefix)
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

var statusOf = map[outcome.Outcome]int{outcome.OK: 200, outcome.Conflict: 409, outcome.NotFound: 404, outcome.Invalid: 400, outcome.TooOld: 410}

// catchUp brings the store to the present time; a lease that has ended is a change like any other. The caller
// holds the lock.
func (s *StateServer) catchUp() {
	before := s.store.Revision()
	s.store.At(time.Since(s.start))
	if s.store.Revision() != before {
		s.notify()
	}
}

// notify wakes the watches. The caller holds the lock.
func (s *StateServer) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// admit waits until a client is not cut off, and takes the lock at the present time. Otherwise it gives the
// status of the refusal; 0 if there is nobody to answer any more.
func (s *StateServer) admit(client string, r *http.Request) (status int) {
	if !s.reachable(client, r) {
		return 0
	}
	s.mu.Lock()
	switch {
	case s.down && r.URL.Path != "/changes":
		status = http.StatusServiceUnavailable
	case s.requests != nil && !s.requests.Allow():
		status = http.StatusTooManyRequests
	default:
		s.catchUp()
		return http.StatusOK
	}
	s.mu.Unlock()
	return status
}

// reachable waits while a client is cut off; false if it or this server has gone away meanwhile.
func (s *StateServer) reachable(client string, r *http.Request) bool {
	for {
		s.mu.Lock()
		cut, changed := s.cut[client], s.changed
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
func (s *StateServer) wait(r *http.Request, changed <-chan struct{}, most time.Duration) bool {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-s.ended:
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

func (s *StateServer) serve(client string, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBody+1))
	if err != nil || len(body) > wire.MaxBody {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	switch status := s.admit(client, r); {
	case status == 0:
		return
	case status != http.StatusOK:
		answer(w, status, nil)
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
func (s *StateServer) serveStore(w http.ResponseWriter, r *http.Request, body []byte) {
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/kv":
		limit, _ := strconv.Atoi(q.Get("limit"))
		answer(w, http.StatusOK, s.store.List(q.Get("under"), q.Get("after"), limit))
	case strings.HasPrefix(r.URL.Path, "/kv/"):
		item, got := s.store.Get(strings.TrimPrefix(r.URL.Path, "/kv/"))
		if got == outcome.NotFound {
			answer(w, http.StatusNotFound, wire.TxnResponse{Revision: s.store.Revision()})
			return
		}
		answer(w, http.StatusOK, item)
	case r.URL.Path == "/txn":
		s.transaction(w, body)
	case r.URL.Path == "/grants":
		var g wire.LeaseRequest
		if json.Unmarshal(body, &g) != nil || g.TTLMillis < 100 {
			answer(w, http.StatusBadRequest, nil)
			return
		}
		answer(w, http.StatusOK, wire.LeaseResponse{Lease: s.store.Grant(time.Duration(g.TTLMillis) * time.Millisecond)})
	case strings.HasPrefix(r.URL.Path, "/grants/"):
		id, extend := strings.CutSuffix(strings.TrimPrefix(r.URL.Path, "/grants/"), "/extend")
		n, _ := strconv.ParseUint(id, 10, 64)
		if extend {
			answer(w, statusOf[s.store.Extend(n)], struct{}{})
		} else {
			answer(w, statusOf[s.store.Revoke(n)], struct{}{})
		}
	default:
		answer(w, http.StatusBadRequest, nil)
	}
}

func (s *StateServer) transaction(w http.ResponseWriter, body []byte) {
	var t wire.Txn
	if json.Unmarshal(body, &t) != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	if n := len(t.Then); n > 0 && s.writes != nil && !s.writes.AllowN(time.Now(), n) {
		answer(w, http.StatusTooManyRequests, nil)
		return
	}
	a, outcome := s.store.Txn(t)
	answer(w, statusOf[outcome], a)
}

// changes waits for changes; in an outage an open watch just waits.
func (s *StateServer) changes(client string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("block_ms"))
	for end := time.Now().Add(time.Duration(ms) * time.Millisecond); ; {
		s.mu.Lock()
		served := !s.down && !s.cut[client]
		var c wire.WatchResponse
		got := outcome.OK
		if served {
			s.catchUp()
			c, got = s.store.Changes(q.Get("under"), after)
		}
		changed := s.changed
		s.mu.Unlock()
		if served && (got != outcome.OK || len(c.Events) > 0 || time.Now().After(end)) {
			answer(w, statusOf[got], c)
			return
		}
		if !s.wait(r, changed, leaseCheck) {
			return
		}
	}
}

// leaseCheck is how often an open watch looks for what only time changes: ends of leases, and its own. The protocol
// lets the end of a lease come up to 100 ms late.
const leaseCheck = 50 * time.Millisecond

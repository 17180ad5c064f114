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

// Paths of the key-value store.
const (
	listPath        = "/kv"
	keyPrefix       = "/kv/"
	transactionPath = "/txn"
	grantPath       = "/grants"
	leasePrefix     = "/grants/"
	renewSuffix     = "/extend"
	watchPath       = "/changes"
)

// minTTLMillis is the minimum time to live of a lease, in milliseconds.
const minTTLMillis = 100

// partitionCheckInterval is how often a request from a partitioned client checks whether the partition has ended, in
// addition to being woken when it does.
const partitionCheckInterval = time.Hour

// StoreServer serves a Store over HTTP, at a separate address for each client.
type StoreServer struct {
	clientServers
	mu          sync.Mutex
	store       *Store
	start       time.Time
	down        bool
	partitioned map[string]bool
	changed     chan struct{} // closed and replaced at each change
	closed      chan struct{}

	requestLimiter, writeLimiter *rate.Limiter // nil: no limit
}

// NewStoreServer returns a server on loopback without clients.
func NewStoreServer() *StoreServer {
	s := &StoreServer{store: NewStore(), start: time.Now(), partitioned: map[string]bool{}, changed: make(chan struct{}), closed: make(chan struct{})}
	s.handle = s.serve
	return s
}

// Close closes the server.
func (s *StoreServer) Close() {
	close(s.closed)
	s.close()
}

// SetDown begins or ends an outage. All leases are renewed when it ends.
func (s *StoreServer) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if !down {
		s.store.RefreshLeases(time.Since(s.start))
	}
	s.wakeWaiters()
}

// SetPartitioned begins or ends a partition of a client, whose requests get no response while it lasts.
func (s *StoreServer) SetPartitioned(client string, partitioned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitioned[client] = partitioned
	s.wakeWaiters()
}

// SetLimits sets the limits of transactions; see Store.SetLimits.
func (s *StoreServer) SetLimits(valueBytes, changes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.SetLimits(valueBytes, changes)
}

// SetRateLimits limits the requests and the writes per second of all clients, with bursts of one second's worth.
func (s *StoreServer) SetRateLimits(requests, writes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestLimiter = rate.NewLimiter(rate.Limit(requests), max(1, int(requests)))
	s.writeLimiter = rate.NewLimiter(rate.Limit(writes), max(1, int(writes)))
}

// respond sends a response with a JSON body.
func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// statusByOutcome maps outcomes to HTTP statuses.
var statusByOutcome = map[outcome.Outcome]int{
	outcome.OK:       http.StatusOK,
	outcome.Conflict: http.StatusConflict,
	outcome.NotFound: http.StatusNotFound,
	outcome.Invalid:  http.StatusBadRequest,
	outcome.TooOld:   http.StatusGone,
}

// advanceClock advances the store to the current time, which may expire leases, and wakes the waiting requests if that
// changes anything. The caller holds the lock.
func (s *StoreServer) advanceClock() {
	before := s.store.Revision()
	s.store.AdvanceTo(time.Since(s.start))
	if s.store.Revision() != before {
		s.wakeWaiters()
	}
}

// wakeWaiters wakes open watches and requests from partitioned clients. The caller holds the lock.
func (s *StoreServer) wakeWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// admit waits until the client is not partitioned. If it returns http.StatusOK the caller holds the lock, and the store
// has the current time. Otherwise it returns the status of the refusal, or 0 if the client has disconnected or the
// server is closed.
func (s *StoreServer) admit(client string, r *http.Request) (status int) {
	if !s.reachable(client, r) {
		return 0
	}
	s.mu.Lock()
	switch {
	case s.down && r.URL.Path != watchPath:
		status = http.StatusServiceUnavailable
	case s.requestLimiter != nil && !s.requestLimiter.Allow():
		status = http.StatusTooManyRequests
	default:
		s.advanceClock()
		return http.StatusOK
	}
	s.mu.Unlock()
	return status
}

// reachable waits while a client is partitioned. It reports false if the client disconnects or the server is closed.
func (s *StoreServer) reachable(client string, r *http.Request) bool {
	for {
		s.mu.Lock()
		partitioned, changed := s.partitioned[client], s.changed
		s.mu.Unlock()
		if !partitioned {
			return r.Context().Err() == nil
		}
		if !s.wait(r, changed, partitionCheckInterval) {
			return false
		}
	}
}

// wait waits for a change or a timeout. It reports false if the client disconnects or the server is closed.
func (s *StoreServer) wait(r *http.Request, changed <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
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
	body, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBodyBytes+1))
	if err != nil || len(body) > wire.MaxBodyBytes {
		respond(w, http.StatusBadRequest, nil)
		return
	}
	switch status := s.admit(client, r); {
	case status == 0:
		return
	case status != http.StatusOK:
		respond(w, status, nil)
		return
	case r.URL.Path == watchPath:
		s.mu.Unlock()
		s.watch(client, w, r)
		return
	}
	defer s.mu.Unlock()
	before := s.store.Revision()
	s.serveStore(w, r, body)
	if s.store.Revision() != before {
		s.wakeWaiters()
	}
}

// serveStore handles all requests except watches. The caller holds the lock.
func (s *StoreServer) serveStore(w http.ResponseWriter, r *http.Request, body []byte) {
	switch path := r.URL.Path; {
	case path == listPath:
		query := r.URL.Query()
		limit, _ := strconv.Atoi(query.Get("limit"))
		respond(w, http.StatusOK, s.store.List(query.Get("under"), query.Get("after"), limit))
	case strings.HasPrefix(path, keyPrefix):
		s.get(w, strings.TrimPrefix(path, keyPrefix))
	case path == transactionPath:
		s.transaction(w, body)
	case path == grantPath:
		s.grantLease(w, body)
	case strings.HasPrefix(path, leasePrefix):
		s.changeLease(w, strings.TrimPrefix(path, leasePrefix))
	default:
		respond(w, http.StatusBadRequest, nil)
	}
}

func (s *StoreServer) get(w http.ResponseWriter, key string) {
	item, result := s.store.Get(key)
	if result == outcome.NotFound {
		respond(w, http.StatusNotFound, wire.TxnResponse{Revision: s.store.Revision()})
		return
	}
	respond(w, http.StatusOK, item)
}

func (s *StoreServer) grantLease(w http.ResponseWriter, body []byte) {
	var request wire.LeaseRequest
	if json.Unmarshal(body, &request) != nil || request.TTLMillis < minTTLMillis {
		respond(w, http.StatusBadRequest, nil)
		return
	}
	ttl := time.Duration(request.TTLMillis) * time.Millisecond
	respond(w, http.StatusOK, wire.LeaseResponse{Lease: s.store.GrantLease(ttl)})
}

// changeLease renews or revokes a lease.
func (s *StoreServer) changeLease(w http.ResponseWriter, name string) {
	id, renew := strings.CutSuffix(name, renewSuffix)
	lease, _ := strconv.ParseUint(id, 10, 64)
	change := s.store.RevokeLease
	if renew {
		change = s.store.RenewLease
	}
	respond(w, statusByOutcome[change(lease)], struct{}{})
}

// transaction commits a transaction within the rate limit of writes. The caller holds the lock.
func (s *StoreServer) transaction(w http.ResponseWriter, body []byte) {
	var txn wire.Txn
	if json.Unmarshal(body, &txn) != nil {
		respond(w, http.StatusBadRequest, nil)
		return
	}
	if writes := len(txn.Then); writes > 0 && s.writeLimiter != nil && !s.writeLimiter.AllowN(time.Now(), writes) {
		respond(w, http.StatusTooManyRequests, nil)
		return
	}
	response, result := s.store.Txn(txn)
	respond(w, statusByOutcome[result], response)
}

// watch responds when there are changes or the watch times out. During an outage an open watch keeps waiting.
func (s *StoreServer) watch(client string, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	milliseconds, _ := strconv.Atoi(query.Get("block_ms"))
	end := time.Now().Add(time.Duration(milliseconds) * time.Millisecond)
	for {
		response, result, changed := s.changesFor(client, query.Get("under"), after)
		served := response != nil
		if served && (result != outcome.OK || len(response.Events) > 0 || time.Now().After(end)) {
			respond(w, statusByOutcome[result], *response)
			return
		}
		if !s.wait(r, changed, leaseCheckInterval) {
			return
		}
	}
}

// changesFor returns the changes for a client, or nil during an outage or a partition, and a channel that is closed at
// the next change.
func (s *StoreServer) changesFor(client, prefix string, after uint64) (*wire.WatchResponse, outcome.Outcome, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.partitioned[client] {
		return nil, outcome.OK, s.changed
	}
	s.advanceClock()
	response, result := s.store.Changes(prefix, after)
	return &response, result, s.changed
}

// leaseCheckInterval is how often an open watch checks for expired leases and for its own timeout. The protocol allows
// a lease to expire up to 100 ms late.
const leaseCheckInterval = 50 * time.Millisecond

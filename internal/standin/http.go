package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"bitternwing/internal/call"
	"bitternwing/internal/wire"
)

// StateServer serves a Store over HTTP.
type StateServer struct {
	mu    sync.Mutex
	store *Store
	start time.Time
	down  bool
	http  *httptest.Server
}

// NewStateServer starts a state service on loopback.
func NewStateServer() *StateServer {
	s := &StateServer{store: NewStore(), start: time.Now()}
	s.http = httptest.NewServer(http.HandlerFunc(s.serve))
	return s
}

// Addr is where it listens.
func (s *StateServer) Addr() string { return s.http.Listener.Addr().String() }

// Close ends it.
func (s *StateServer) Close() { s.http.CloseClientConnections(); s.http.Close() }

// SetDown begins or ends an outage.
func (s *StateServer) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if !down {
		s.store.Refresh(time.Since(s.start))
	}
}

// SetLimits has it refuse larger values and transactions, as Store.SetLimits.
func (s *StateServer) SetLimits(valueBytes, changes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.SetLimits(valueBytes, changes)
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

var statusOf = map[call.Outcome]int{call.OK: 200, call.Conflict: 409, call.Missing: 404, call.Invalid: 400, call.TooOld: 410}

// lock takes the store at the present time; false in an outage.
func (s *StateServer) lock() bool {
	s.mu.Lock()
	if s.down {
		return false
	}
	s.store.At(time.Since(s.start))
	return true
}

func (s *StateServer) serve(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if r.URL.Path == "/changes" {
		s.changes(w, r)
		return
	}
	served := s.lock()
	defer s.mu.Unlock()
	if !served {
		answer(w, 503, nil)
		return
	}
	switch {
	case r.URL.Path == "/kv":
		limit, _ := strconv.Atoi(q.Get("limit"))
		answer(w, 200, s.store.List(q.Get("under"), q.Get("after"), limit))
	case strings.HasPrefix(r.URL.Path, "/kv/"):
		it, o := s.store.Get(strings.TrimPrefix(r.URL.Path, "/kv/"))
		if o == call.Missing {
			answer(w, 404, wire.TxnAnswer{Revision: s.store.Revision()})
			return
		}
		answer(w, 200, it)
	case r.URL.Path == "/txn":
		var t wire.Txn
		if json.NewDecoder(r.Body).Decode(&t) != nil {
			answer(w, 400, nil)
			return
		}
		a, o := s.store.Txn(t)
		answer(w, statusOf[o], a)
	case r.URL.Path == "/grants":
		var g wire.LeaseRequest
		if json.NewDecoder(r.Body).Decode(&g) != nil || g.TTLMillis < 100 {
			answer(w, 400, nil)
			return
		}
		answer(w, 200, wire.LeaseAnswer{Lease: s.store.Grant(time.Duration(g.TTLMillis) * time.Millisecond)})
	case strings.HasPrefix(r.URL.Path, "/grants/"):
		id, extend := strings.CutSuffix(strings.TrimPrefix(r.URL.Path, "/grants/"), "/extend")
		n, _ := strconv.ParseUint(id, 10, 64)
		if extend {
			answer(w, statusOf[s.store.Extend(n)], struct{}{})
		} else {
			answer(w, statusOf[s.store.Revoke(n)], struct{}{})
		}
	default:
		answer(w, 400, nil)
	}
}

// changes waits for changes; in an outage an open watch just waits.
func (s *StateServer) changes(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("block_ms"))
	for end := time.Now().Add(time.Duration(ms) * time.Millisecond); ; {
		if s.lock() {
			c, o := s.store.Changes(q.Get("under"), after)
			s.mu.Unlock()
			if o != call.OK || len(c.Events) > 0 || time.Now().After(end) {
				answer(w, statusOf[o], c)
				return
			}
		} else {
			s.mu.Unlock()
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// Cloud is a cloud whose machines are workers in this process.
type Cloud struct {
	mu       sync.Mutex
	types    []wire.MachineType
	nodes    map[string]string // node name to address
	machines map[string]*Worker
	answers  map[string]wire.Names
	made     int
	http     *httptest.Server
	fast     time.Duration // the workers' report interval
	lease    time.Duration
	// Starts is told of every start that a worker carries out.
	starts func(machine, task string, attempt uint64)
}

// NewCloud starts a cloud on loopback.
func NewCloud(types []wire.MachineType, report, lease time.Duration, starts func(machine, task string, attempt uint64)) *Cloud {
	c := &Cloud{types: types, nodes: map[string]string{}, machines: map[string]*Worker{},
		answers: map[string]wire.Names{}, fast: report, lease: lease, starts: starts}
	c.http = httptest.NewServer(http.HandlerFunc(c.serve))
	return c
}

// Addr is where it listens.
func (c *Cloud) Addr() string { return c.http.Listener.Addr().String() }

// SetNode tells the workers of a node.
func (c *Cloud) SetNode(name, addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[name] = addr
}

// Close ends the cloud and its workers.
func (c *Cloud) Close() {
	c.mu.Lock()
	for _, w := range c.machines {
		w.stop()
	}
	c.mu.Unlock()
	c.http.Close()
}

func (c *Cloud) serve(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r.Method + " " + r.URL.Path {
	case "GET /catalog":
		answer(w, 200, wire.Catalog{Types: c.types})
	case "GET /rentals":
		l := wire.MachineList{Machines: []wire.Machine{}}
		for _, m := range c.machines {
			l.Machines = append(l.Machines, wire.Machine{Name: m.name, Type: m.kind, Zone: m.zone, Spot: m.spot, State: wire.MachineRunning})
		}
		sort.Slice(l.Machines, func(a, b int) bool { return l.Machines[a].Name < l.Machines[b].Name })
		answer(w, 200, l)
	case "POST /rentals":
		var q wire.RentRequest
		if json.NewDecoder(r.Body).Decode(&q) != nil {
			answer(w, 400, nil)
			return
		}
		if a, ok := c.answers[q.Request]; ok {
			answer(w, 200, a)
			return
		}
		var a wire.Names
		for i := 0; i < q.Count; i++ {
			c.made++
			m := newWorker(c, fmt.Sprintf("host-%06d", c.made), q.Type, q.Zone, q.Spot)
			c.machines[m.name] = m
			a.Machines = append(a.Machines, m.name)
		}
		c.answers[q.Request] = a
		answer(w, 200, a)
	case "POST /rentals/release":
		var n wire.Names
		if json.NewDecoder(r.Body).Decode(&n) != nil {
			answer(w, 400, nil)
			return
		}
		for _, name := range n.Machines {
			if m := c.machines[name]; m != nil {
				m.stop()
				delete(c.machines, name)
			}
		}
		answer(w, 200, nil)
	default:
		answer(w, 400, nil)
	}
}

// Running counts the tasks of a job that run on all machines.
func (c *Cloud) Running(job string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, w := range c.machines {
		n += w.running(job)
	}
	return n
}

func (c *Cloud) addrs() (names []string, addrs map[string]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	addrs = map[string]string{}
	for n, a := range c.nodes {
		names = append(names, n)
		addrs[n] = a
	}
	sort.Strings(names)
	return names, addrs
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

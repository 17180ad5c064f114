package node_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"bitternwing/internal/config"
	"bitternwing/internal/emulator"
	"bitternwing/internal/wire"
)

// lockedBuffer takes what several nodes log.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// scrape gives the status and the body of a response; status 0: there was none.
func scrape(t *testing.T, addr, path string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+addr+path, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(data)
}

// runJob has a job done at a node.
func (s *site) runJob(node, id string) {
	s.t.Helper()
	s.submit(node, id, wire.KindArray, 2, 1)
	s.eventually(id+" is done", func() bool {
		_, st := s.call(http.MethodGet, node, wire.JobsPath+"/"+id, "")
		return st.State == wire.JobDone
	})
}

// TestMetrics has a node show what it does, with nothing of jobs and teams in it; another one, whose address for metrics
// is taken, says so and does its work without.
func TestMetrics(t *testing.T) {
	taken, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	addrs := map[string]string{"a": emulator.FreeAddr(), "b": taken.Addr().String()}
	log := &lockedBuffer{}
	s := newSiteWith(t, siteOptions{log: log, operator: func(node string, o *config.OperatorSettings) { o.Metrics.Listen = addrs[node] }})
	s.runJob("a", "run-000001")
	s.runJob("b", "run-000002")

	var text string
	s.eventually("node a shows its metrics", func() bool {
		status, body := scrape(t, addrs["a"], "/metrics")
		text = body
		return status == http.StatusOK
	})
	for _, want := range []string{`bitternwing_core_inputs_total{kind="submit"} `, `bitternwing_core_step_seconds_total{kind="poll"} `,
		`bitternwing_http_requests_total{code="201",endpoint="submit"} 1`, `bitternwing_calls_total{operation="txn",outcome="ok",service="state"} `,
		"bitternwing_load_ratio ", "bitternwing_held_answers ", "bitternwing_terms_led_total ", "bitternwing_term 1", "bitternwing_leader_entitled ",
		"bitternwing_leader_unread_seconds ", "bitternwing_read_revision ", "bitternwing_state_served 1", `bitternwing_lease_renewals_total{basis="unread_leader"} `,
		`bitternwing_cancelled_stops_total{basis="leader"} `, "go_goroutines ", "process_cpu_seconds_total "} {
		if !strings.Contains(text, want) {
			t.Errorf("%s is missing", want)
		}
	}
	for _, private := range []string{"run-0", `"red"`, `"i"`} {
		if strings.Contains(text, private) {
			t.Errorf("the metrics tell of %s", private)
		}
	}
	if status, _ := scrape(t, addrs["a"], "/debug/pprof/"); status != http.StatusNotFound {
		t.Errorf("profiles get %d without their setting", status)
	}
	if !strings.Contains(log.String(), `msg="metrics not served" setting=metrics.listen address=`+addrs["b"]) {
		t.Error("that the address is taken is not logged")
	}
}

// TestStuckScrapers has hundreds of scrapers that never read or never finish their request. Jobs run as ever.
func TestStuckScrapers(t *testing.T) {
	addr := emulator.FreeAddr()
	s := newSiteWith(t, siteOptions{operator: func(node string, o *config.OperatorSettings) {
		if node == "a" {
			o.Metrics = config.Metrics{Listen: addr, Pprof: true}
		}
	}})
	s.runJob("a", "run-000001")
	s.eventually("profiles are served", func() bool { status, _ := scrape(t, addr, "/debug/pprof/"); return status == http.StatusOK })
	for i := range 300 {
		c, err := new(net.Dialer).DialContext(t.Context(), "tcp4", addr)
		if err != nil {
			continue // the system's own queue of connections is full
		}
		defer func() { _ = c.Close() }()
		request := "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
		_, _ = io.WriteString(c, request[:i%(len(request)+1)]) // none, a part, or all of it; the response is not read
	}
	s.runJob("a", "run-000002")
	s.eventually("a scraper is served again", func() bool { status, _ := scrape(t, addr, "/metrics"); return status == http.StatusOK })
}

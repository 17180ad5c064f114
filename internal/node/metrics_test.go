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

// lockedBuffer is a buffer to which several nodes may log concurrently.
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

// scrape returns the status and the body of a response. The status is 0 if there was no response.
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

// runJob submits a job to a node and waits until it is done.
func (c *testCluster) runJob(node, id string) {
	c.t.Helper()
	c.submit(node, id, wire.KindArray, 2, 1)
	c.eventually(id+" is done", func() bool {
		_, response := c.request(http.MethodGet, node, wire.JobsPath+"/"+id, "")
		return response.Status == wire.JobDone
	})
}

// TestMetrics checks the metrics that a node serves, and that they contain no names of jobs, teams or images. Another
// node, whose metrics address is in use, must log an error and work without metrics.
func TestMetrics(t *testing.T) {
	occupied, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = occupied.Close() }()
	metricsAddrs := map[string]string{"a": emulator.FreeAddr(), "b": occupied.Addr().String()}
	logs := &lockedBuffer{}
	cluster := newTestClusterWith(t, clusterOptions{log: logs, operator: func(node string, o *config.OperatorSettings) { o.Metrics.Listen = metricsAddrs[node] }})
	cluster.runJob("a", "run-000001")
	cluster.runJob("b", "run-000002")

	var text string
	cluster.eventually("node a serves its metrics", func() bool {
		status, body := scrape(t, metricsAddrs["a"], "/metrics")
		text = body
		return status == http.StatusOK
	})
	for _, want := range []string{`bitternwing_core_inputs_total{kind="submit"} `, `bitternwing_core_step_seconds_total{kind="poll"} `,
		`bitternwing_http_requests_total{code="201",endpoint="submit"} 1`, `bitternwing_calls_total{operation="txn",outcome="ok",service="state"} `,
		"bitternwing_load_ratio ", "bitternwing_held_answers ", "bitternwing_terms_led_total ", "bitternwing_term 1", "bitternwing_leader_entitled ",
		"bitternwing_leader_unread_seconds ", "bitternwing_read_revision ", "bitternwing_state_served 1", `bitternwing_lease_renewals_total{basis="unread_leader"} `,
		`bitternwing_cancelled_stops_total{basis="leader"} `, "go_goroutines ", "process_cpu_seconds_total "} {
		if !strings.Contains(text, want) {
			t.Errorf("metrics lack %s", want)
		}
	}
	for _, private := range []string{"run-0", `"red"`, `"i"`} {
		if strings.Contains(text, private) {
			t.Errorf("metrics contain %s", private)
		}
	}
	if status, _ := scrape(t, metricsAddrs["a"], "/debug/pprof/"); status != http.StatusNotFound {
		t.Errorf("status of profiles while they are off: %d, want 404", status)
	}
	if !strings.Contains(logs.String(), `msg="metrics not served" setting=metrics.listen address=`+metricsAddrs["b"]) {
		t.Error("the failure to serve metrics is not logged")
	}
}

// TestStuckScrapers opens hundreds of connections to the metrics address that never send a complete request or never
// read the response. Jobs must run nevertheless, and scrapers must be served again once the connections time out.
func TestStuckScrapers(t *testing.T) {
	metricsAddr := emulator.FreeAddr()
	cluster := newTestClusterWith(t, clusterOptions{operator: func(node string, o *config.OperatorSettings) {
		if node == "a" {
			o.Metrics = config.Metrics{Listen: metricsAddr, Pprof: true}
		}
	}})
	cluster.runJob("a", "run-000001")
	cluster.eventually("profiles are served", func() bool { status, _ := scrape(t, metricsAddr, "/debug/pprof/"); return status == http.StatusOK })
	for i := range 300 {
		connection, err := new(net.Dialer).DialContext(t.Context(), "tcp4", metricsAddr)
		if err != nil {
			continue // the kernel's accept queue is full
		}
		defer func() { _ = connection.Close() }()
		request := "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
		_, _ = io.WriteString(connection, request[:i%(len(request)+1)]) // none, a part or all of the request
	}
	cluster.runJob("a", "run-000002")
	cluster.eventually("a scraper is served again", func() bool { status, _ := scrape(t, metricsAddr, "/metrics"); return status == http.StatusOK })
}

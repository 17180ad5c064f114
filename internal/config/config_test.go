package config

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

func validSettings(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile("testdata/good.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// An invalid setting gives a one-line error that names the field. Unknown fields are ignored: testdata/good.toml has
// one.
func TestSettings(t *testing.T) {
	if _, err := Parse([]byte(validSettings(t))); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, field string }{
		{`host_name = "n-0"`, ``, "host_name"},
		{`bind = "127.0.0.1:8080"`, `bind = "nowhere"`, "bind"},
		{`bind = "127.0.0.1:8080"`, `bind = 8080`, "bind"},
		{`state = "127.0.0.1:2379"`, ``, "outside.state"},
		{`address = "127.0.0.2:8081"`, `address = ""`, "siblings[0].address"},
		{`host_name = "n-1"`, `host_name = "n-0"`, "siblings[0].host_name"},
		{`address = "127.0.0.2:8081"`, `address = "127.0.0.1:8081"`, "siblings[0].address"},
		{`lease_s = 10.0`, `lease_s = -1.0`, "params.workers.lease_s"},
		{`write_rps = 60.0`, `write_rps = "many"`, "params.state.write_rps"},
		{`txn_ops = 12`, `txn_ops = 1`, "params.state.txn_ops"},
		{"txn_ops = 12\n", "txn_ops = 12\n[params.state.next]\nvalue_kb = 0.0\n", "params.state.next.value_kb"},
		{"txn_ops = 12\n", "txn_ops = 12\n[params.state.next]\nwrite_rps = -1.0\n", "params.state.next.write_rps"},
		{"txn_ops = 12\n", "txn_ops = 12\n[params.state.next]\nrps = \"few\"\n", "params.state.next.rps"},
		{"txn_ops = 12\n", "txn_ops = 12\n[params.state.next]\ntxn_ops = 3\n", "params.state.next.txn_ops"},
		{`gpus_max = 8.0`, `gpus_max = -8.0`, "params.teams[0]"},
		{`memory_mb = 98.0`, ``, "params.limits.memory_mb"},
		{`memory_mb = 98.0`, `memory_mb = 0.0`, "params.limits.memory_mb"},
		{`memory_mb = 98.0`, `memory_mb = -65.0`, "params.limits.memory_mb"},
		{`memory_mb = 98.0`, `memory_mb = 0.065`, "params.limits.memory_mb"},
		{`memory_mb = 98.0`, `memory_mb = 1e8`, "params.limits.memory_mb"},
		{`memory_mb = 98.0`, `memory_mb = nan`, "params.limits.memory_mb"},
		{`core_share = 0.06`, `core_share = 0.0`, "params.limits.core_share"},
		{`core_share = 0.06`, `core_share = -0.03`, "params.limits.core_share"},
		{`core_share = 0.06`, `core_share = 0.00001`, "params.limits.core_share"},
		{`core_share = 0.06`, `core_share = 3000.0`, "params.limits.core_share"},
		{`core_share = 0.06`, `core_share = inf`, "params.limits.core_share"},
	} {
		text := strings.Replace(validSettings(t), c.from, c.to, 1)
		if text == validSettings(t) {
			t.Fatalf("%q is not in testdata/good.toml", c.from)
		}
		_, err := Parse([]byte(text))
		if err == nil || !strings.Contains(err.Error(), c.field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q for %q: %v", c.to, c.from, err)
		}
	}
}

// Each upcoming limit is optional. For each limit, the lower of the current and the upcoming value applies.
func TestUpcomingLimits(t *testing.T) {
	for table, want := range map[string]StoreLimits{
		"":                      {RPS: 150, WriteRPS: 60, ValueKB: 16, TxnOps: 12},
		"[params.state.next]\n": {RPS: 150, WriteRPS: 60, ValueKB: 16, TxnOps: 12},
		"[params.state.next]\nvalue_kb=2.0\ntxn_ops=4\n":   {RPS: 150, WriteRPS: 60, ValueKB: 2, TxnOps: 4},
		"[params.state.next]\nwrite_rps=42.0\nrps=900.0\n": {RPS: 150, WriteRPS: 42, ValueKB: 16, TxnOps: 12},
	} {
		s, err := Parse([]byte(strings.Replace(validSettings(t), "txn_ops = 12\n", "txn_ops = 12\n"+table, 1)))
		if err != nil {
			t.Fatal(err)
		}
		if got := s.Params.Store.Next.Effective(s.Params.Store); got != want {
			t.Errorf("%q: effective limits are %+v", table, got)
		}
	}
}

// TestPeerCounts checks that settings with no peers, one peer and six peers are valid.
func TestPeerCounts(t *testing.T) {
	withoutPeers, peerTable, _ := strings.Cut(validSettings(t), "[[siblings]]")
	peerTable, afterPeers, _ := strings.Cut(peerTable, "[")
	for _, peers := range []int{0, 1, 6} {
		text := withoutPeers
		for i := 1; i <= peers; i++ {
			text += "[[siblings]]" + strings.NewReplacer("n-1", fmt.Sprint("n-", i), "127.0.0.2", fmt.Sprint("127.0.0.", i+1)).Replace(peerTable)
		}
		s, err := Parse([]byte(text + "[" + afterPeers))
		if err != nil || len(s.Peers) != peers {
			t.Errorf("%d siblings: %v", peers, err)
		}
	}
}

// Given fields override the defaults. An invalid field gives a one-line error with its path.
func TestOperatorSettings(t *testing.T) {
	settings, err := ParseOperatorSettings([]byte(`{"round_s": 2}`))
	if err != nil {
		t.Fatal(err)
	}
	if settings.CycleIntervalS != 2 || settings.IdleTimeoutBoots != DefaultOperatorSettings().IdleTimeoutBoots {
		t.Errorf("round_s did not override its default, or idle_boots lost its default: %+v", settings)
	}
	for text, field := range map[string]string{
		`{"round_s": "fast"}`: "/round_s",
		`{"round_s": 0}`:      "/round_s",
		`{"no_such": 1}`:      "no_such",
		`{"round_s": 2`:       "JSON",
		`{"regions": {"all": [{"name": "a", "part": 1, "controllers": ["h:1"]}]}}`:                                                                    "/regions/name",
		`{"regions": {"name": "a", "all": []}}`:                                                                                                       "/regions/name",
		`{"regions": {"name": "a", "all": [{"name": "a", "part": 0.5, "controllers": ["h:1"]}]}}`:                                                     "/regions/all",
		`{"regions": {"name": "a", "all": [{"name": "a", "part": 1, "controllers": []}]}}`:                                                            "/regions/all/0/controllers",
		`{"regions": {"name": "a", "all": [{"name": "a", "part": 1, "controllers": ["h"]}]}}`:                                                         "/regions/all/0/controllers/0",
		`{"regions": {"name": "a", "all": [{"name": "a", "part": 0.5, "controllers": ["h:1"]}, {"name": "a", "part": 0.5, "controllers": ["h:2"]}]}}`: "/regions/all/1/name",
		`{"regions": {"name": "a", "all": [{"name": "a", "part": -1, "controllers": ["h:1"]}]}}`:                                                      "/regions/all/0/part",
		`{"metrics": {"listen": "9090"}}`:                                                                                                             "/metrics/listen",
		`{"metrics": {"listen": "127.0.0.1:"}}`:                                                                                                       "/metrics/listen",
		`{"metrics": {"listen": "127.0.0.1:http"}}`:                                                                                                   "/metrics/listen",
		`{"metrics": {"listen": "127.0.0.1:0"}}`:                                                                                                      "/metrics/listen",
		`{"metrics": {"listen": "127.0.0.1:65536"}}`:                                                                                                  "/metrics/listen",
		`{"metrics": {"listen": "no such host:9090"}}`:                                                                                                "/metrics/listen",
		`{"metrics": {"listen": 9090}}`:                                                                                                               "/metrics/listen",
		`{"metrics": {"pprof": true}}`:                                                                                                                "/metrics/pprof",
		`{"metrics": {"listen": "127.0.0.1:9090", "pprof": 1}}`:                                                                                       "/metrics/pprof",
		`{"metrics": {"listen": "127.0.0.1:9090", "labels": 1}}`:                                                                                      "labels",
	} {
		if _, err := ParseOperatorSettings([]byte(text)); err == nil || !strings.Contains(err.Error(), field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", text, err)
		}
	}
}

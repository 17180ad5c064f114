package config

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

func good(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile("testdata/good.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// Bad settings give one line that names the field; unknown fields are ignored.
func TestSettings(t *testing.T) {
	if _, err := Parse([]byte(good(t))); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, names string }{
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
		text := strings.Replace(good(t), c.from, c.to, 1)
		if text == good(t) {
			t.Fatalf("%q is not in the file", c.from)
		}
		_, err := Parse([]byte(text))
		if err == nil || !strings.Contains(err.Error(), c.names) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q for %q: %v", c.to, c.from, err)
		}
	}
}

// Each of the limits to come stands by itself, and the tighter of the two counts.
func TestNextLimits(t *testing.T) {
	for next, want := range map[string]StoreLimits{
		"":                      {RPS: 150, WriteRPS: 60, ValueKB: 16, TxnOps: 12},
		"[params.state.next]\n": {RPS: 150, WriteRPS: 60, ValueKB: 16, TxnOps: 12},
		"[params.state.next]\nvalue_kb=2.0\ntxn_ops=4\n":   {RPS: 150, WriteRPS: 60, ValueKB: 2, TxnOps: 4},
		"[params.state.next]\nwrite_rps=42.0\nrps=900.0\n": {RPS: 150, WriteRPS: 42, ValueKB: 16, TxnOps: 12},
	} {
		s, err := Parse([]byte(strings.Replace(good(t), "txn_ops = 12\n", "txn_ops = 12\n"+next, 1)))
		if err != nil {
			t.Fatal(err)
		}
		if got := s.Params.Store.Next.Within(s.Params.Store); got != want {
			t.Errorf("%q gives %+v", next, got)
		}
	}
}

// One node and seven are as good as three.
func TestNodes(t *testing.T) {
	alone, sibling, _ := strings.Cut(good(t), "[[siblings]]")
	sibling, rest, _ := strings.Cut(sibling, "[")
	for _, n := range []int{0, 1, 6} {
		text := alone
		for i := 1; i <= n; i++ {
			text += "[[siblings]]" + strings.NewReplacer("n-1", fmt.Sprint("n-", i), "127.0.0.2", fmt.Sprint("127.0.0.", i+1)).Replace(sibling)
		}
		s, err := Parse([]byte(text + "[" + rest))
		if err != nil || len(s.Peers) != n {
			t.Errorf("%d siblings: %v", n, err)
		}
	}
}

func TestOperator(t *testing.T) {
	o, err := ParseOperator([]byte(`{"round_s": 2}`))
	if err != nil {
		t.Fatal(err)
	}
	if o.CycleIntervalS != 2 || o.IdleBoots != DefaultOperator().IdleBoots {
		t.Errorf("the given field did not go over the defaults: %+v", o)
	}
	for text, names := range map[string]string{
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
		if _, err := ParseOperator([]byte(text)); err == nil || !strings.Contains(err.Error(), names) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", text, err)
		}
	}
}

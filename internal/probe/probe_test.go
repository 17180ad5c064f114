package probe_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bitternwing/internal/probe"
	"bitternwing/internal/rollout"
	"bitternwing/internal/simmodelserver"
)

// everywhere serves some tasks at any address.
type everywhere map[string]bool

func (e everywhere) Serves(_, task string) bool { return e[task] }

// TestProbe gets each verdict.
func TestProbe(t *testing.T) {
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := simmodelserver.New(l, everywhere{"run-000001/0": true, "run-000011/0": true})
	defer server.Close()
	old := rollout.Replica{Task: "run-000001/0", Address: l.Addr().String(), Version: rollout.OldVersion}
	fresh := rollout.Replica{Task: "run-000011/0", Address: l.Addr().String(), Version: rollout.NewVersion}
	gone := rollout.Replica{Task: "run-000012/0", Address: l.Addr().String(), Version: rollout.NewVersion}
	script := func(body string) string {
		return "def check(request, answer, expected):\n  " + body
	}
	given := rollout.Check{Name: "given", Request: json.RawMessage(`{"prompt":"ab"}`), Expected: json.RawMessage(`"AB"`),
		Script: script("return answer['choices'][0]['text'] == expected")}
	compared := rollout.Check{Name: "compared", Request: given.Request, CompareWithOld: true, Script: script("return answer['choices'] == expected['choices']")}
	fails := rollout.Check{Name: "fails", Request: given.Request, Expected: given.Expected, Script: script("fail('no')")}
	hangs := rollout.Check{Name: "hangs", Request: given.Request, Expected: given.Expected, Script: script("while True:\n    pass")}
	broken := rollout.Check{Name: "broken", Request: given.Request, Expected: given.Expected, Script: "def"}
	for _, x := range []struct {
		name   string
		probe  rollout.Probe
		checks []rollout.Check
		wrong  string // the task that responds wrongly
		want   rollout.ProbeResult
	}{
		{"healthy", rollout.Probe{Replica: old}, nil, "", rollout.ProbeResult{Verdict: rollout.Passed}},
		{"gone", rollout.Probe{Replica: gone}, nil, "", rollout.ProbeResult{Verdict: rollout.NotReached}},
		{"right", rollout.Probe{Replica: fresh, Reference: &old}, []rollout.Check{given, compared}, "", rollout.ProbeResult{Verdict: rollout.Passed}},
		{"wrong", rollout.Probe{Replica: fresh}, []rollout.Check{given}, fresh.Task, rollout.ProbeResult{Verdict: rollout.Failed, Check: "given"}},
		{"unlike the old one", rollout.Probe{Replica: fresh, Reference: &old}, []rollout.Check{compared}, fresh.Task, rollout.ProbeResult{Verdict: rollout.Failed, Check: "compared"}},
		{"nothing to compare with", rollout.Probe{Replica: fresh}, []rollout.Check{compared}, "", rollout.ProbeResult{Verdict: rollout.NotCompared, Check: "compared"}},
		{"the old one is gone", rollout.Probe{Replica: fresh, Reference: &gone}, []rollout.Check{compared}, "", rollout.ProbeResult{Verdict: rollout.NotCompared, Check: "compared"}},
		{"the check fails", rollout.Probe{Replica: fresh}, []rollout.Check{given, fails}, "", rollout.ProbeResult{Verdict: rollout.NotValidated, Check: "fails"}},
		{"the check hangs", rollout.Probe{Replica: fresh}, []rollout.Check{hangs, given}, "", rollout.ProbeResult{Verdict: rollout.NotValidated, Check: "hangs"}},
		{"no check", rollout.Probe{Replica: fresh}, []rollout.Check{broken}, "", rollout.ProbeResult{Verdict: rollout.NotValidated, Check: "broken"}},
		{"wrong counts more", rollout.Probe{Replica: fresh}, []rollout.Check{fails, given}, fresh.Task, rollout.ProbeResult{Verdict: rollout.Failed, Check: "given"}},
	} {
		server.SetWrongResponses(func(task string, _ int64) bool { return task == x.wrong })
		if got := probe.New(4).Probe(context.Background(), x.probe, x.checks); got != x.want {
			t.Errorf("%s: %+v, not %+v", x.name, got, x.want)
		}
	}
}

// TestSlowServer has a model server that never responds: it is not reached, and the probe ends with its context.
func TestSlowServer(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	defer close(release)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	replica := rollout.Replica{Task: "run-000001/0", Address: strings.TrimPrefix(server.URL, "http://")}
	if got := probe.New(4).Probe(ctx, rollout.Probe{Replica: replica}, nil); got.Verdict != rollout.NotReached {
		t.Errorf("%+v", got)
	}
}

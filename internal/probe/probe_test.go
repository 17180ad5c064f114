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

// taskSet serves the tasks of the set at any address.
type taskSet map[string]bool

func (s taskSet) Serves(_, task string) bool { return s[task] }

// TestProbe checks that each verdict is returned in the cases that lead to it.
func TestProbe(t *testing.T) {
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := simmodelserver.New(l, taskSet{"run-000001/0": true, "run-000011/0": true})
	defer server.Close()
	oldReplica := rollout.Replica{Task: "run-000001/0", Address: l.Addr().String(), Version: rollout.OldVersion}
	newReplica := rollout.Replica{Task: "run-000011/0", Address: l.Addr().String(), Version: rollout.NewVersion}
	missingReplica := rollout.Replica{Task: "run-000012/0", Address: l.Addr().String(), Version: rollout.NewVersion}
	script := func(body string) string {
		return "def check(request, answer, expected):\n  " + body
	}
	matchesExpected := rollout.Check{Name: "given", Request: json.RawMessage(`{"prompt":"ab"}`), Expected: json.RawMessage(`"AB"`),
		Script: script("return answer['choices'][0]['text'] == expected")}
	matchesOld := rollout.Check{Name: "compared", Request: matchesExpected.Request, CompareWithOld: true, Script: script("return answer['choices'] == expected['choices']")}
	raisesError := rollout.Check{Name: "fails", Request: matchesExpected.Request, Expected: matchesExpected.Expected, Script: script("fail('no')")}
	neverEnds := rollout.Check{Name: "hangs", Request: matchesExpected.Request, Expected: matchesExpected.Expected, Script: script("while True:\n    pass")}
	doesNotCompile := rollout.Check{Name: "broken", Request: matchesExpected.Request, Expected: matchesExpected.Expected, Script: "def"}
	for _, tt := range []struct {
		name      string
		probe     rollout.Probe
		checks    []rollout.Check
		wrongTask string // task that answers incorrectly
		want      rollout.ProbeResult
	}{
		{"healthy", rollout.Probe{Replica: oldReplica}, nil, "", rollout.ProbeResult{Verdict: rollout.Passed}},
		{"replica not reached", rollout.Probe{Replica: missingReplica}, nil, "", rollout.ProbeResult{Verdict: rollout.NotReached}},
		{"correct answer", rollout.Probe{Replica: newReplica, Reference: &oldReplica}, []rollout.Check{matchesExpected, matchesOld}, "", rollout.ProbeResult{Verdict: rollout.Passed}},
		{"wrong answer", rollout.Probe{Replica: newReplica}, []rollout.Check{matchesExpected}, newReplica.Task, rollout.ProbeResult{Verdict: rollout.Failed, Check: "given"}},
		{"differs from the old version", rollout.Probe{Replica: newReplica, Reference: &oldReplica}, []rollout.Check{matchesOld}, newReplica.Task, rollout.ProbeResult{Verdict: rollout.Failed, Check: "compared"}},
		{"no reference", rollout.Probe{Replica: newReplica}, []rollout.Check{matchesOld}, "", rollout.ProbeResult{Verdict: rollout.NotCompared, Check: "compared"}},
		{"reference not reached", rollout.Probe{Replica: newReplica, Reference: &missingReplica}, []rollout.Check{matchesOld}, "", rollout.ProbeResult{Verdict: rollout.NotCompared, Check: "compared"}},
		{"check raises an error", rollout.Probe{Replica: newReplica}, []rollout.Check{matchesExpected, raisesError}, "", rollout.ProbeResult{Verdict: rollout.NotValidated, Check: "fails"}},
		{"check does not terminate", rollout.Probe{Replica: newReplica}, []rollout.Check{neverEnds, matchesExpected}, "", rollout.ProbeResult{Verdict: rollout.NotValidated, Check: "hangs"}},
		{"check does not compile", rollout.Probe{Replica: newReplica}, []rollout.Check{doesNotCompile}, "", rollout.ProbeResult{Verdict: rollout.NotValidated, Check: "broken"}},
		{"failed check takes precedence", rollout.Probe{Replica: newReplica}, []rollout.Check{raisesError, matchesExpected}, newReplica.Task, rollout.ProbeResult{Verdict: rollout.Failed, Check: "given"}},
	} {
		server.SetWrongResponses(func(task string, _ int64) bool { return task == tt.wrongTask })
		if got := probe.New(4).Probe(context.Background(), tt.probe, tt.checks); got != tt.want {
			t.Errorf("%s: result is %+v, want %+v", tt.name, got, tt.want)
		}
	}
}

// TestUnresponsiveServer checks that a replica counts as not reached if its model server never responds, and that the
// probe ends with its context.
func TestUnresponsiveServer(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	defer close(release)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	replica := rollout.Replica{Task: "run-000001/0", Address: strings.TrimPrefix(server.URL, "http://")}
	if got := probe.New(4).Probe(ctx, rollout.Probe{Replica: replica}, nil); got.Verdict != rollout.NotReached {
		t.Errorf("result is %+v, want NotReached", got)
	}
}

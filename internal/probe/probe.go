// Package probe asks a replica's model server whether it is healthy, and has its answers judged by the checks of a
// rollout plan. A model server serves the tasks of its machine at http://ADDRESS/TASK, with GET /health and, in the
// field's usual form, POST /v1/completions.
package probe

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"bitternwing/internal/responsecheck"
	"bitternwing/internal/rollout"
)

// The paths of a model server, below a task's.
const (
	HealthPath      = "/health"
	CompletionsPath = "/v1/completions"
)

// maxAnswer bounds what is read of an answer, and mostCompiled the checks that are kept compiled.
const (
	maxResponseBytes  = 64 << 10
	maxCompiledChecks = 1000
)

// Prober asks replicas.
type Prober struct {
	http *http.Client

	mu       sync.Mutex
	compiled map[string]*responsecheck.Check // by script; nil: it does not compile
}

// New makes a prober that keeps up to so many connections.
func New(conns int) *Prober {
	return &Prober{compiled: map[string]*responsecheck.Check{}, http: &http.Client{Transport: &http.Transport{
		MaxIdleConns: conns, MaxConnsPerHost: conns, MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second, DisableCompression: true}}}
}

// errUnreachable says that a replica can't be asked.
var errUnreachable = errors.New("not reached")

// Probe asks a replica, and gives the worst of what comes of it. A check that fails by itself proves nothing.
func (p *Prober) Probe(ctx context.Context, probe rollout.Probe, checks []rollout.Check) rollout.ProbeResult {
	if _, err := p.call(ctx, http.MethodGet, probe.Replica, HealthPath, nil); err != nil {
		return rollout.ProbeResult{Verdict: rollout.NotReached}
	}
	worst := rollout.ProbeResult{Verdict: rollout.Passed}
	for i := range checks {
		verdict := p.check(ctx, probe, &checks[i])
		if verdict == rollout.Failed {
			return rollout.ProbeResult{Verdict: verdict, Check: checks[i].Name}
		}
		if verdict != rollout.Passed {
			worst = rollout.ProbeResult{Verdict: verdict, Check: checks[i].Name}
		}
	}
	return worst
}

// check asks a replica what a check asks, and has the answer judged.
func (p *Prober) check(ctx context.Context, probe rollout.Probe, check *rollout.Check) rollout.Verdict {
	answer, err := p.call(ctx, http.MethodPost, probe.Replica, CompletionsPath, check.Request)
	if err != nil {
		return rollout.NotReached
	}
	expected := check.Expected
	if check.CompareWithOld {
		if probe.Reference == nil {
			return rollout.NotCompared
		}
		if expected, err = p.call(ctx, http.MethodPost, *probe.Reference, CompletionsPath, check.Request); err != nil {
			return rollout.NotCompared
		}
	}
	compiled := p.compile(check.Script)
	if compiled == nil {
		return rollout.NotValidated
	}
	passes, err := compiled.Passes(ctx, check.Request, answer, expected)
	switch {
	case err != nil && !json.Valid(answer):
		return rollout.Failed // it is no answer in the form at all
	case err != nil:
		return rollout.NotValidated
	case !passes:
		return rollout.Failed
	}
	return rollout.Passed
}

// compile gives a check's program; nil if it has none.
func (p *Prober) compile(script string) *responsecheck.Check {
	p.mu.Lock()
	defer p.mu.Unlock()
	compiled, known := p.compiled[script]
	if !known {
		if len(p.compiled) >= maxCompiledChecks {
			clear(p.compiled)
		}
		compiled, _ = responsecheck.Compile(script) // nil where it does not compile
		p.compiled[script] = compiled
	}
	return compiled
}

// call makes a request to a replica and gives the answer's body.
func (p *Prober) call(ctx context.Context, method string, replica rollout.Replica, path string, body []byte) ([]byte, error) {
	url := fmt.Sprintf("http://%s/%s%s", replica.Address, replica.Task, path)
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := p.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil || response.StatusCode != http.StatusOK || len(answer) > maxResponseBytes {
		return nil, errUnreachable
	}
	return answer, nil
}

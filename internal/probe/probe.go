// Package probe checks the health of a replica's model server, and its responses by the checks of a rollout plan. A model server
// serves the tasks of its machine at http://ADDRESS/TASK, with GET /health and, in the usual form, POST /v1/completions.
//
// It gives verdicts alone: what follows from them is decided elsewhere.
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

// maxResponseBytes bounds what is read of a response, and maxCompiledChecks the checks that are kept compiled.
const (
	maxResponseBytes  = 64 << 10
	maxCompiledChecks = 1000
)

// idleTimeout is how long a connection to a replica is kept without use.
const idleTimeout = 30 * time.Second

// Prober probes replicas.
type Prober struct {
	client *http.Client

	mu       sync.Mutex
	compiled map[string]*responsecheck.Check // by script; nil: it does not compile
}

// New makes a prober with so many connections at most.
func New(maxConnections int) *Prober {
	transport := &http.Transport{
		MaxIdleConns:        maxConnections,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Prober{compiled: map[string]*responsecheck.Check{}, client: &http.Client{Transport: transport}}
}

// errUnreachable says that a replica gave no usable response.
var errUnreachable = errors.New("not reached")

// Probe probes a replica, and returns the worst verdict of all checks. A check that fails by itself proves nothing.
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

// check sends a replica the request of a check, and returns the verdict on its response.
func (p *Prober) check(ctx context.Context, probe rollout.Probe, check *rollout.Check) rollout.Verdict {
	response, err := p.call(ctx, http.MethodPost, probe.Replica, CompletionsPath, check.Request)
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
	compiled := p.compiledCheck(check.Script)
	if compiled == nil {
		return rollout.NotValidated
	}
	passes, err := compiled.Passes(ctx, check.Request, response, expected)
	switch {
	case err != nil && !json.Valid(response):
		return rollout.Failed // it is no completion at all
	case err != nil:
		return rollout.NotValidated
	case !passes:
		return rollout.Failed
	}
	return rollout.Passed
}

// compiledCheck returns a compiled check; nil if it does not compile.
func (p *Prober) compiledCheck(script string) *responsecheck.Check {
	p.mu.Lock()
	defer p.mu.Unlock()
	compiled, cached := p.compiled[script]
	if !cached {
		if len(p.compiled) >= maxCompiledChecks {
			clear(p.compiled)
		}
		compiled, _ = responsecheck.Compile(script) // nil where it does not compile
		p.compiled[script] = compiled
	}
	return compiled
}

// call makes a request to a replica and returns the body of the response.
func (p *Prober) call(ctx context.Context, method string, replica rollout.Replica, path string, body []byte) ([]byte, error) {
	url := fmt.Sprintf("http://%s/%s%s", replica.Address, replica.Task, path)
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := p.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil || response.StatusCode != http.StatusOK || len(data) > maxResponseBytes {
		return nil, errUnreachable
	}
	return data, nil
}

// Package probe checks the health of the model server of a replica, and its responses by the checks of a rollout plan.
// A model server serves the tasks of its machine at http://ADDRESS/TASK, with GET /health and POST /v1/completions in
// the usual format.
//
// The package returns verdicts only. The caller decides what follows from them.
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

// Paths of a model server, relative to the path of a task.
const (
	HealthPath      = "/health"
	CompletionsPath = "/v1/completions"
)

// maxResponseBytes limits the size of a response. maxCompiledChecks limits the number of checks that are kept compiled.
const (
	maxResponseBytes  = 64 << 10
	maxCompiledChecks = 1000
)

// idleTimeout is the time after which an unused connection to a replica is closed.
const idleTimeout = 30 * time.Second

// Prober probes replicas.
type Prober struct {
	client *http.Client

	mu       sync.Mutex
	compiled map[string]*responsecheck.Check // by script; nil if the script does not compile
}

// New returns a prober with at most maxConnections connections to each model server.
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

// errUnreachable reports that a replica returned no usable response.
var errUnreachable = errors.New("not reached")

// Probe probes a replica and returns the verdict. A failed check takes precedence over every other verdict. A check
// that cannot be evaluated counts as neither passed nor failed.
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

// check sends the request of a check to a replica and returns the verdict on its response.
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
		return rollout.Failed // not a completion at all
	case err != nil:
		return rollout.NotValidated
	case !passes:
		return rollout.Failed
	}
	return rollout.Passed
}

// compiledCheck returns the compiled check of a script, or nil if the script does not compile.
func (p *Prober) compiledCheck(script string) *responsecheck.Check {
	p.mu.Lock()
	defer p.mu.Unlock()
	compiled, cached := p.compiled[script]
	if !cached {
		if len(p.compiled) >= maxCompiledChecks {
			clear(p.compiled)
		}
		compiled, _ = responsecheck.Compile(script) // nil if the script does not compile
		p.compiled[script] = compiled
	}
	return compiled
}

// call sends a request to a replica and returns the body of the response.
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

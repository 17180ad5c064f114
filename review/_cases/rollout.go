package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"time"

	"bitternwing/internal/rollout"
	"bitternwing/internal/simmodelserver"
	"bitternwing/internal/simrouter"
	"bitternwing/internal/wire"
)

// quickwren returns a service of the class quickwren.
func quickwren(id, image string, tasks int) *wire.Job {
	return &wire.Job{ID: id, Class: "quickwren", Team: "riskdesk-00", Kind: wire.KindService, Priority: wire.PriorityProduction, Tasks: tasks,
		CPUs: 4, GPUs: 1, MemoryGB: 20, Image: image, ImageGB: 34.3}
}

// machineServes tells the stand-in of a machine's model server which tasks run there.
type machineServes struct{ worker *worker }

func (m machineServes) Serves(_, task string) bool { return m.worker.runs(task) }

const (
	replicaCapacity = 10.0
	promised        = 30.0 // of 40 that the old version has
)

func rolloutPlan(oldJobs, newJobs []string) rollout.Plan {
	return rollout.Plan{Name: "letters-v2", Team: "riskdesk-00", PromisedCapacity: promised,
		Old:   rollout.VersionSpec{Jobs: oldJobs, ReplicaCapacity: replicaCapacity},
		New:   rollout.VersionSpec{Jobs: newJobs, ReplicaCapacity: replicaCapacity},
		Steps: []rollout.Step{{Jobs: newJobs, Share: 1, BakeS: 5}},
		Checks: []rollout.Check{{Name: "given", Request: json.RawMessage(`{"model":"m","prompt":"letter"}`), Expected: json.RawMessage(`"LETTER"`),
			Script: "def check(request, answer, expected):\n  return answer['choices'][0]['text'] == expected\n"}},
		Limits: rollout.Limits{WaitTimeoutS: 600, ValidationTimeoutS: 300, RouterGoneS: 120, RetentionS: 3600}}
}

// caseRollout brings a new version into service whose tasks fail as soon as they start, on every machine. The old
// version has to keep the promised capacity all the time.
func caseRollout(e *environment) (string, error) {
	e.site = tenantcheck()
	probe, err := net.Listen("tcp4", "127.0.77.1:0")
	if err != nil {
		return "", cantRun("listen: %w", err)
	}
	port := probe.Addr().(*net.TCPAddr).Port
	_ = probe.Close()
	e.operator = fmt.Sprintf(`{"rollouts": {"enabled": true, "model_port": %d, "router_lease_s": 15, "check_interval_s": 2, "check_timeout_s": 5}}`, port)
	e.onLaunch = func(w *worker) error {
		listener, err := net.Listen("tcp4", net.JoinHostPort(w.host, fmt.Sprint(port)))
		if err != nil {
			return err
		}
		simmodelserver.New(listener, machineServes{w})
		return nil
	}
	if err := e.setUp(3); err != nil {
		return "", err
	}
	oldJobs, newJobs := []string{"run-000201", "run-000202"}, []string{"run-000301", "run-000302"}
	for _, id := range oldJobs {
		if status := e.submit(quickwren(id, "letters-1", 2)); status != 201 {
			return "", cantRun("%s: status %d", id, status)
		}
	}
	old := func() int { return e.running(oldJobs[0]) + e.running(oldJobs[1]) }
	if err := e.waitFor("the old version runs", setUpLimit, func() bool { return old() == 4 }); err != nil {
		return "", err
	}
	if err := e.applyPlan(rolloutPlan(oldJobs, newJobs)); err != nil {
		return "", err
	}
	var internal []string
	for _, c := range e.controllers {
		internal = append(internal, c.internal)
	}
	router, err := simrouter.New("router-1", "letters-v2", internal, time.Second)
	if err != nil {
		return "", cantRun("router: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go router.Run(ctx)
	if err := e.waitFor("the router has a routing", setUpLimit, func() bool { return router.Generation() != nil }); err != nil {
		return "", err
	}
	for _, id := range newJobs {
		e.mu.Lock()
		e.faultyJobs[id] = e.trouble
		e.mu.Unlock()
		if status := e.submit(quickwren(id, "letters-2", 2)); status != 201 {
			return "", cantRun("%s: status %d", id, status)
		}
	}
	var answered, lost atomic.Int64
	go e.sendRequests(ctx, router, &answered, &lost)
	least, worst := 1e9, time.Duration(0)
	for began := e.now(); e.now()-began < 40*time.Second; time.Sleep(50 * time.Millisecond) {
		reached := 0
		for _, w := range router.Weights() {
			for _, m := range e.allWorkers() {
				if m.host == hostOf(w.GetAddress()) && m.runs(w.GetTask()) {
					reached++
				}
			}
		}
		if served := replicaCapacity * float64(reached); served < least {
			least, worst = served, e.now()
			e.record("serving capacity %g of %g promised; old replicas running: %d; requests answered %d, lost %d", served, promised, old(), answered.Load(), lost.Load())
		}
	}
	e.show("letters-v2")
	e.record("requests answered: %d, not answered by any replica: %d; least capacity %g at %.2f", answered.Load(), lost.Load(), least, worst.Seconds())
	if least < promised {
		return fmt.Sprintf("serving capacity fell to %g of %g promised at %.1f s, %d of %d requests got no answer", least, promised, worst.Seconds(), lost.Load(),
			answered.Load()+lost.Load()), nil
	}
	return "", nil
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

// sendRequests sends ten requests a second to the model through a router.
func (e *environment) sendRequests(ctx context.Context, router *simrouter.Router, answered, lost *atomic.Int64) {
	for ctx.Err() == nil {
		body, _ := json.Marshal(simmodelserver.Request{Model: "m", Prompt: "letter"})
		if _, err := router.Do(ctx, body); err != nil {
			lost.Add(1)
		} else {
			answered.Add(1)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// applyPlan applies a plan by the command line.
func (e *environment) applyPlan(plan rollout.Plan) error {
	text, err := json.Marshal(plan)
	if err != nil {
		return cantRun("plan: %w", err)
	}
	file := filepath.Join(e.dir, "plan.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return cantRun("plan: %w", err)
	}
	output, err := e.commandLine("rollout", "apply", file, "--controller", e.controllers[0].internal, "--wait", "20s")
	if err != nil {
		return cantRun("rollout apply: %w: %s", err, output)
	}
	return nil
}

func (e *environment) show(plan string) {
	_, _ = e.commandLine("rollout", "show", plan, "--controller", e.controllers[0].internal)
}

func (e *environment) commandLine(args ...string) (string, error) {
	command, err := runCommand()
	if err != nil {
		return "", err
	}
	output, err := exec.Command(command[0], args...).CombinedOutput()
	e.record("operator: %v: %s", args[:2], output)
	return string(output), err
}

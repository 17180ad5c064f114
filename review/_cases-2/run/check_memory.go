package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"bitternwing/internal/simmodelserver"
	"bitternwing/internal/simworker"
	"bitternwing/internal/wire"
	"bitternwing/review/_cases-2/lab"
)

func init() { cases["check_memory"] = checkMemory }

// The check of a plan. The first one is right. The second one never ends: it collects words until there are as many as
// expected, and compares a number with a text.
const (
	soundScript = `def check(request, answer, expected):
  return answer["choices"][0]["text"] == expected
`
	endlessScript = `def check(request, answer, expected):
  words = []
  while len(words) != expected:
    words.append(answer["choices"][0]["text"] + str(len(words)))
  return True
`
)

// checkMemory: a rollout's check hangs. The controllers have to stop it and to stay within their memory. The platform
// kills a process above its limit and starts it again, as the DEPLOY page says.
func checkMemory(folder string) {
	l := lab.New(lab.Pos(), folder)
	listener, err := simworker.ListenLoopback()
	if err != nil {
		l.Fail("model servers: %v", err)
	}
	port := listener.Addr().(*net.TCPAddr).Port
	operator := filepath.Join(l.Dir, "operator.json")
	if err := os.WriteFile(operator, fmt.Appendf(nil, `{"rollouts": {"enabled": true, "model_port": %d, "router_lease_s": 15, "check_interval_s": 2, "check_timeout_s": 5}}`, port), 0o600); err != nil {
		l.Fail("operators' settings: %v", err)
	}
	l.Env = append(l.Env, "BITTERNWING_OPERATOR="+operator)
	l.Start(2)
	models := simmodelserver.New(listener, l.Fleet)
	defer models.Close()
	l.AwaitLeader(10 * time.Second)

	limit := l.Site.MemoryMB * 1.048576 // taken as MiB, the larger meaning, in 1e6 bytes
	var ended atomic.Int64
	stop := make(chan struct{})
	for _, c := range l.Controllers {
		go func() {
			most := 0.0
			for {
				select {
				case <-stop:
					return
				case <-c.Exited():
					ended.Add(1)
					l.Log("platform: %s has ended by itself", c.Name)
				case <-time.After(20 * time.Millisecond):
					mb := lab.ResidentMB(c.Pid())
					if mb > most+10 {
						most = mb
						l.Log("platform: %s holds %.0f MB", c.Name, mb)
					}
					if mb <= limit {
						continue
					}
					ended.Add(1)
					l.Log("platform: %s holds %.0f MB, above its limit of %.0f MB, and is killed", c.Name, mb, limit)
					_ = c.Signal(syscall.SIGKILL)
					<-c.Exited()
				}
				most = 0
				time.Sleep(5 * time.Second) // back about 5 s after an end
				select {
				case <-stop:
					return
				default:
					l.Launch(c)
				}
			}
		}()
	}

	old, next := lab.Service("run-000101", "riskdesk-00", 1, 1), lab.Service("run-000201", "riskdesk-00", 1, 1)
	next.Image = "img-02"
	l.SubmitUntilAccepted("owner", old, 20*time.Second, l.Controllers...)
	for deadline := time.Now().Add(30 * time.Second); l.Jobs.Running("run-000101/0") == 0; time.Sleep(200 * time.Millisecond) {
		if time.Now().After(deadline) {
			l.Fail("the old version does not run")
		}
	}
	script := soundScript
	if l.Trouble {
		script = endlessScript
	}
	prompt := strings.Repeat("the tenant has paid the rent of the flat in san fernando on time since march. ", 40)
	plan := map[string]any{
		"name": "reader-v2", "team": "riskdesk-00",
		"old":               map[string]any{"jobs": []string{old.ID}, "replica_capacity": 10},
		"new":               map[string]any{"jobs": []string{next.ID}, "replica_capacity": 10},
		"promised_capacity": 10,
		"steps":             []any{map[string]any{"jobs": []string{next.ID}, "share": 1, "bake_s": 600}},
		"checks":            []any{map[string]any{"name": "words", "request": map[string]any{"model": "reader", "prompt": prompt}, "expected": strings.ToUpper(prompt), "script": script}},
		"limits":            map[string]any{"wait_s": 3600, "unreachable_s": 300, "router_gone_s": 120, "keep_s": 86400},
	}
	data, _ := json.Marshal(plan)
	file := filepath.Join(l.Dir, "plan.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		l.Fail("plan: %v", err)
	}
	out, err := exec.Command(os.Getenv("BITTERNWING"), "rollout", "apply", file, "--controller", l.Controllers[0].Internal, "--wait", "20s").CombinedOutput()
	l.Log("operator: rollout apply: %v: %s", err, strings.TrimSpace(string(out)))
	if err != nil {
		l.Fail("the plan is not taken: %v: %s", err, out)
	}
	l.SubmitUntilAccepted("owner", next, 20*time.Second, l.Controllers...)

	// Other teams' work goes on meanwhile: a job of one task each 5 s.
	started := map[string]time.Duration{}
	worst := time.Duration(0)
	var other []*wire.Job
	accepted := map[string]time.Duration{}
	for i := range 10 {
		job := lab.Batch(fmt.Sprintf("run-0005%02d", i), "riskdesk-01", 1, 1, 2)
		body := l.Submission(job)
		a := l.Ask("user", l.Controllers[i%3], "POST", wire.JobsPath, body, 5*time.Second)
		if a.Status == 200 || a.Status == 201 {
			accepted[job.ID] = l.Now()
			other = append(other, job)
		}
		for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
			for _, j := range other {
				if _, known := started[j.ID]; !known && l.Jobs.Running(j.ID+"/0") > 0 {
					started[j.ID] = l.Now()
					worst = max(worst, l.Now()-accepted[j.ID])
				}
			}
		}
	}
	close(stop)
	out, err = exec.Command(os.Getenv("BITTERNWING"), "rollout", "show", "reader-v2", "--controller", l.Controllers[0].Internal, "--wait", "3s").CombinedOutput()
	l.Log("operator: rollout show: %v: %s", err, strings.TrimSpace(string(out)))
	l.Log("%d of %d other jobs have started, the slowest %.1f s after it was accepted", len(started), len(other), worst.Seconds())
	l.Verdict(ended.Load() > 0, "%d controllers ended for memory or by themselves; %d of %d other jobs started", ended.Load(), len(started), len(other))
}

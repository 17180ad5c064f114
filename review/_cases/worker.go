package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"bitternwing/internal/emulator"
	"bitternwing/internal/wire"
)

// worker is a worker agent on a machine of its own, as PROTOCOL-bitternwing.md describes it. Its address is a loopback
// address of its own.
type worker struct {
	env   *environment
	spec  emulator.MachineSpec
	host  string
	addr  string
	http  *http.Client
	serve *http.Server

	mu       sync.Mutex
	ended    bool
	faulty   bool // fails every task that it starts
	shift    uint64
	tally    uint64
	baton    uint64
	tasks    map[string]*heldTask // by attempt
	images   map[string]time.Time // when each image is there
	changed  bool
	renewed  time.Time // when the last answered report was sent
	lastSent time.Time
	node     int // index of the controller that gets the reports
	stop     chan struct{}
}

// heldTask is an attempt of a task on a worker.
type heldTask struct {
	wire.TaskStatus
	job *wire.Job
	// due is when the attempt changes its state by itself; zero: never.
	due time.Time
}

const (
	reportTimeout = 4 * time.Second
	reportRetry   = time.Second
	minReportGap  = 500 * time.Millisecond
)

func newWorker(env *environment, spec emulator.MachineSpec, host string) (*worker, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	w := &worker{env: env, spec: spec, host: host, addr: listener.Addr().String(), shift: 1, tasks: map[string]*heldTask{},
		images: map[string]time.Time{}, stop: make(chan struct{}), renewed: time.Now(),
		http: &http.Client{Timeout: reportTimeout, Transport: &http.Transport{MaxConnsPerHost: 1}}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", w.handleOrders)
	mux.HandleFunc("GET /inspect", w.handleInspect)
	w.serve = &http.Server{Handler: mux}
	go func() { _ = w.serve.Serve(listener) }()
	go w.run()
	return w, nil
}

// Addr, State and Stop make the worker a machine of the emulated cloud.
func (w *worker) Addr() string  { return w.addr }
func (w *worker) State() string { return wire.MachineRunning }
func (w *worker) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.env.record("machine %s is returned to the cloud", w.spec.Name)
	w.killAll("the machine is gone")
	w.ended = true
	close(w.stop)
	_ = w.serve.Close()
}

func (w *worker) setFaulty(faulty bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faulty = faulty
	w.env.record("machine %s: fails every task that it starts: %v", w.spec.Name, faulty)
}

func (w *worker) run() {
	time.Sleep(w.env.bootTime)
	w.mu.Lock()
	w.renewed = time.Now()
	w.mu.Unlock()
	next := time.Now()
	for {
		w.mu.Lock()
		w.advance(time.Now())
		changed, since := w.changed, time.Since(w.lastSent)
		w.mu.Unlock()
		if time.Now().After(next) || changed && since >= minReportGap {
			next = time.Now().Add(w.report())
		}
		select {
		case <-w.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// report sends a report and returns the time until the next one.
func (w *worker) report() time.Duration {
	w.mu.Lock()
	body, _ := json.Marshal(w.nextReport())
	sentAt, shift, node := time.Now(), w.shift, w.node
	w.lastSent = sentAt
	w.mu.Unlock()
	interval := time.Duration(float64(w.env.reportInterval) * (0.75 + rand.Float64()/2))
	response, err := w.http.Post("http://"+w.env.controllers[node].public+"/checkin", "application/json", bytes.NewReader(body))
	if err != nil {
		w.nextNode()
		return reportRetry
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	var answer wire.HeartbeatResponse
	var redirect wire.Redirect
	switch {
	case err == nil && response.StatusCode == http.StatusOK && json.Unmarshal(data, &answer) == nil:
		w.mu.Lock()
		if answer.FencingToken >= w.baton && shift == w.shift && !w.ended {
			w.setBaton(answer.FencingToken)
			w.renewed = sentAt
			w.execute(answer.Commands)
		}
		w.mu.Unlock()
		return interval
	case err == nil && response.StatusCode == http.StatusMisdirectedRequest && json.Unmarshal(data, &redirect) == nil:
		if i := w.env.controllerIndex(redirect.Leader); i >= 0 && i != node {
			w.http.CloseIdleConnections()
			w.mu.Lock()
			w.node = i
			w.mu.Unlock()
			return time.Duration(rand.Int64N(int64(minReportGap)))
		}
	}
	w.nextNode()
	return reportRetry
}

func (w *worker) nextNode() {
	w.http.CloseIdleConnections()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.node = (w.node + 1) % len(w.env.controllers)
}

func (w *worker) setBaton(baton uint64) {
	if baton > w.baton {
		w.baton, w.changed = baton, true
	}
}

// nextReport returns the next report. The caller holds the lock.
func (w *worker) nextReport() *wire.Heartbeat {
	w.advance(time.Now())
	w.tally++
	w.changed = false
	report := &wire.Heartbeat{Machine: w.spec.Name, Addr: w.addr, Type: w.spec.Type.Name, Zone: w.spec.Zone, Spot: w.spec.Spot,
		Incarnation: w.shift, Sequence: w.tally, FencingToken: w.baton, Tasks: []wire.TaskStatus{}}
	for _, t := range w.sorted() {
		report.Tasks = append(report.Tasks, t.TaskStatus)
	}
	return report
}

func (w *worker) sorted() []*heldTask {
	return slices.SortedFunc(maps.Values(w.tasks), func(a, b *heldTask) int {
		return cmp.Or(strings.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
}

// advance ends the lease and carries out what is due. The caller holds the lock.
func (w *worker) advance(now time.Time) {
	if w.ended {
		return
	}
	if now.Sub(w.renewed) > w.env.lease {
		w.killAll("the lease ended")
		w.shift++
		w.renewed, w.changed = now, true
	}
	for _, t := range w.sorted() {
		if t.due.IsZero() || now.Before(t.due) {
			continue
		}
		t.due = time.Time{}
		switch {
		case t.State == wire.TaskFetching && (w.faulty || w.env.isFaulty(t.job.ID)):
			w.env.starts(w, t)
			w.exit(t, wire.CauseError)
		case t.State == wire.TaskFetching:
			t.State, w.changed = wire.TaskRunning, true
			w.env.starts(w, t)
			if runTime := w.env.runTime(t.job.ID); runTime > 0 {
				t.due = now.Add(runTime)
			}
		case t.State == wire.TaskRunning:
			w.exit(t, wire.CauseDone)
		}
	}
}

func (w *worker) exit(t *heldTask, cause wire.ExitCause) {
	w.env.record("%s: %s try %d exits: %s", w.spec.Name, t.Task, t.Attempt, cause)
	t.State, t.Cause, t.due = wire.TaskExited, cause, time.Time{}
	w.changed = true
}

func (w *worker) killAll(why string) {
	for _, t := range w.sorted() {
		if t.State != wire.TaskExited {
			w.env.record("%s: %s try %d is killed: %s", w.spec.Name, t.Task, t.Attempt, why)
		}
	}
	clear(w.tasks)
}

// execute carries out commands in order. The caller holds the lock.
func (w *worker) execute(commands []wire.Command) {
	w.advance(time.Now())
	for _, c := range commands {
		key := fmt.Sprintf("%s#%d", c.Task, c.Attempt)
		t := w.tasks[key]
		switch {
		case c.Op == wire.OpStart && t == nil:
			w.start(key, c)
		case c.Op == wire.OpStop && t != nil && t.State != wire.TaskExited:
			w.exit(t, wire.CauseStopped) // no job of these cases saves
		case c.Op == wire.OpForget && t != nil && t.State == wire.TaskExited:
			delete(w.tasks, key)
		}
	}
}

func (w *worker) start(key string, c wire.Command) {
	id, _, _ := strings.Cut(c.Task, "/")
	t := &heldTask{TaskStatus: wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskFetching}, job: w.env.job(id)}
	w.tasks[key] = t
	w.changed = true
	if t.job == nil {
		w.exit(t, wire.CauseUnknownTask)
		return
	}
	free := w.spec.Type
	for _, other := range w.tasks {
		if other == t || other.State == wire.TaskExited {
			continue
		}
		if other.Task == c.Task {
			w.exit(t, wire.CauseBusy)
			return
		}
		free.CPUs, free.GPUs, free.MemoryGB = free.CPUs-other.job.CPUs, free.GPUs-other.job.GPUs, free.MemoryGB-other.job.MemoryGB
	}
	if t.job.CPUs > free.CPUs || t.job.GPUs > free.GPUs || t.job.MemoryGB > free.MemoryGB {
		w.exit(t, wire.CauseNoCapacity)
		return
	}
	ready, cached := w.images[t.job.Image]
	if !cached {
		ready = time.Now().Add(time.Duration(t.job.ImageGB / w.spec.Type.FetchGBPerS * float64(time.Second)))
		w.images[t.job.Image] = ready
	}
	t.due = later(ready, time.Now())
	w.advance(time.Now())
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (w *worker) handleOrders(rw http.ResponseWriter, r *http.Request) {
	var in wire.DirectCommands
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.Incarnation == 0 || in.FencingToken == 0 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
	status := http.StatusConflict
	if in.FencingToken >= w.baton && in.Incarnation == w.shift {
		status = http.StatusOK
		w.setBaton(in.FencingToken)
		w.execute(in.Commands)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	changed := w.changed
	_ = json.NewEncoder(rw).Encode(w.nextReport())
	w.changed = changed // what changed is reported as well
}

func (w *worker) handleInspect(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	changed := w.changed
	_ = json.NewEncoder(rw).Encode(w.nextReport())
	w.changed = changed
}

// states returns the states of a job's tasks on the worker, by task name.
func (w *worker) states(job string) map[string]wire.TaskState {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
	found := map[string]wire.TaskState{}
	for _, t := range w.tasks {
		if t.job != nil && t.job.ID == job && t.State != wire.TaskExited {
			found[t.Task] = t.State
		}
	}
	return found
}

// freeGPUs returns the GPUs that no task holds.
func (w *worker) freeGPUs() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
	free := w.spec.Type.GPUs
	for _, t := range w.tasks {
		if t.job != nil && t.State != wire.TaskExited {
			free -= t.job.GPUs
		}
	}
	return free
}

// runs reports whether a task runs on the machine, for the stand-in of its model server.
func (w *worker) runs(task string) bool {
	id, _, _ := strings.Cut(task, "/")
	return w.states(id)[task] == wire.TaskRunning
}

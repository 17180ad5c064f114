package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"bitternwing/internal/emulator"
	"bitternwing/internal/wire"
)

// environment is a small deployment: controllers as real processes, and stand-ins for the state service, the cloud and
// the workers, all on loopback.
type environment struct {
	trouble        bool
	dir            string // temporary folder
	log            *os.File
	startedAt      time.Time
	reportInterval time.Duration
	lease          time.Duration
	bootTime       time.Duration
	operator       string // the operators' settings (JSON); "" for none
	site           site

	store       *emulator.StoreServer
	cloud       *emulator.Cloud
	controllers []*controller

	mu         sync.Mutex
	workers    []*worker
	jobs       map[string]*wire.Job
	faultyJobs map[string]bool
	runTimes   map[string]time.Duration
	onStart    func(w *worker, t *heldTask)
	onLaunch   func(w *worker) error
}

// site holds what the settings of a deployment say.
type site struct {
	zones     []string
	teams     string // TOML
	leaseS    float64
	cancelS   float64
	valueKB   float64
	txnOps    int
	rps       float64
	writeRPS  float64
	cloudRPS  float64
	listLagS  float64
	share     float64
	sockets   int
	machine   wire.MachineType
	machines  int
	running   int // machines of each zone that are up at the start
	extraTOML string
}

// controller is a controller process.
type controller struct {
	name, zone       string
	public, internal string
	settings         string
	cmd              *exec.Cmd
	done             chan struct{}
}

// setUpLimit is how long a case waits for its first jobs to run, so that the whole case stays within 120 s.
const setUpLimit = 20 * time.Second

// errCantRun ends a case with status 2.
type errCantRun struct{ error }

func cantRun(format string, args ...any) error { return errCantRun{fmt.Errorf(format, args...)} }

func (e *environment) record(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, _ = fmt.Fprintf(e.log, "%7.2f %s\n", time.Since(e.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

func (e *environment) now() time.Duration { return time.Since(e.startedAt) }

// setUp starts the stand-ins and count controllers.
func (e *environment) setUp(count int) error {
	s := &e.site
	e.reportInterval, e.lease = time.Second, time.Duration(s.leaseS*float64(time.Second))
	e.store = emulator.NewStoreServer()
	e.store.SetRateLimits(s.rps, s.writeRPS)
	e.store.SetLimits(int(s.valueKB*1024), s.txnOps)
	e.cloud = emulator.NewCloud([]wire.MachineType{s.machine}, e.launch)
	e.cloud.SetRateLimit(s.cloudRPS)
	e.cloud.SetCapacity(s.machine.Name, s.machines)
	for i := range count {
		e.controllers = append(e.controllers, &controller{name: fmt.Sprintf("yurt-%d", i), zone: s.zones[i%len(s.zones)],
			public: emulator.FreeAddr(), internal: emulator.FreeAddr()})
	}
	for _, zone := range s.zones {
		e.cloud.AddRunning(s.machine.Name, zone, s.running)
	}
	for _, c := range e.controllers {
		if err := e.writeSettings(c); err != nil {
			return cantRun("settings: %w", err)
		}
		if err := e.start(c); err != nil {
			return cantRun("start %s: %w", c.name, err)
		}
	}
	return e.awaitHealthy()
}

func (e *environment) awaitHealthy() error {
	deadline := time.Now().Add(4 * time.Second)
	for _, c := range e.controllers {
		for {
			response, err := http.Get("http://" + c.public + "/healthz")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return cantRun("%s does not become healthy", c.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	e.record("all controllers are healthy")
	return nil
}

func (e *environment) writeSettings(c *controller) error {
	s := &e.site
	storeAddr, err := e.store.AddClient(c.name)
	if err != nil {
		return err
	}
	cloudAddr, err := e.cloud.AddClient(c.name)
	if err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "host_name = %q\ndomain = %q\nbind = %q\ninternal_addr = %q\n", c.name, c.zone, c.public, c.internal)
	for _, p := range e.controllers {
		if p != c {
			fmt.Fprintf(&b, "[[siblings]]\nhost_name = %q\ndomain = %q\naddress = %q\n", p.name, p.zone, p.internal)
		}
	}
	fmt.Fprintf(&b, "[outside]\ncloud = %q\nstate = %q\n", cloudAddr, storeAddr)
	zones, _ := json.Marshal(s.zones)
	fmt.Fprintf(&b, "[params]\ninitial_size = %d\nzones = %s\nclock_error_ms = 5.0\n%s", len(e.controllers), zones, s.teams)
	fmt.Fprintf(&b, "[params.workers]\nreport_s = 1.0\nlease_s = %v\ngang_wait_s = 30.0\ngang_peer_s = 5.0\ncancel_s = %v\n", s.leaseS, s.cancelS)
	fmt.Fprintf(&b, "[params.state]\nrps = %v\nwrite_rps = %v\nvalue_kb = %v\ntxn_ops = %d\n", s.rps, s.writeRPS, s.valueKB, s.txnOps)
	fmt.Fprintf(&b, "[params.cloud]\nrps = %v\nlist_lag_s = %v\n", s.cloudRPS, s.listLagS)
	fmt.Fprintf(&b, "[params.limits]\ncore_share = %v\nmemory_mb = 98.0\nmax_connections = %d\n%s", s.share, s.sockets, s.extraTOML)
	c.settings = filepath.Join(e.dir, c.name+".toml")
	return os.WriteFile(c.settings, []byte(b.String()), 0o600)
}

// runCommand returns the start command of the deploy file.
func runCommand() ([]string, error) {
	text, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return nil, err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if match == nil {
		return nil, fmt.Errorf("deploy/service.toml has no run command")
	}
	return strings.Fields(string(match[1])), nil
}

// start starts a controller's process with the command of the deploy file.
func (e *environment) start(c *controller) error {
	command, err := runCommand()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(e.dir, c.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(command[0], append(command[1:], c.settings)...)
	cmd.Stderr = log
	cmd.Env = append(os.Environ(), "LOG_LEVEL=debug")
	if e.operator != "" {
		file := filepath.Join(e.dir, "operator.json")
		if err := os.WriteFile(file, []byte(e.operator), 0o600); err != nil {
			return err
		}
		cmd.Env = append(cmd.Env, "BITTERNWING_OPERATOR="+file)
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	c.cmd, c.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(c.done)
	return nil
}

// kill kills a controller's process and waits for its end.
func (e *environment) kill(c *controller) {
	if c.cmd == nil {
		return
	}
	_ = c.cmd.Process.Signal(syscall.SIGCONT)
	_ = c.cmd.Process.Kill()
	<-c.done
	c.cmd = nil
}

func (e *environment) signal(c *controller, s syscall.Signal) { _ = c.cmd.Process.Signal(s) }

// tearDown ends all processes.
func (e *environment) tearDown() {
	for _, c := range e.controllers {
		e.kill(c)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(e.dir)
	}
}

func (e *environment) controllerIndex(name string) int {
	for i, c := range e.controllers {
		if c.name == name {
			return i
		}
	}
	return -1
}

// launch starts the worker of a machine that the cloud has rented out.
func (e *environment) launch(spec emulator.MachineSpec) emulator.Machine {
	e.mu.Lock()
	host := fmt.Sprintf("127.0.77.%d", len(e.workers)+1)
	e.mu.Unlock()
	w, err := newWorker(e, spec, host)
	if err != nil {
		e.record("worker %s can't start: %v", spec.Name, err)
		os.Exit(2)
	}
	if e.onLaunch != nil {
		if err := e.onLaunch(w); err != nil {
			e.record("machine %s can't start: %v", spec.Name, err)
			os.Exit(2)
		}
	}
	e.mu.Lock()
	e.workers = append(e.workers, w)
	e.mu.Unlock()
	e.record("machine %s is rented in %s (spot: %v)", spec.Name, spec.Zone, spec.Spot)
	return w
}

// allWorkers returns the workers of machines that are not gone. A worker may hold its own lock when it takes that of the
// environment, so the locks are not taken the other way round.
func (e *environment) allWorkers() []*worker {
	e.mu.Lock()
	all := slices.Clone(e.workers)
	e.mu.Unlock()
	return slices.DeleteFunc(all, func(w *worker) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.ended
	})
}

func (e *environment) job(id string) *wire.Job {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.jobs[id]
}

func (e *environment) isFaulty(job string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faultyJobs[job]
}

func (e *environment) runTime(job string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runTimes[job]
}

// starts is called when a task starts on a worker: its image is there.
func (e *environment) starts(w *worker, t *heldTask) {
	e.record("%s: %s try %d starts", w.spec.Name, t.Task, t.Attempt)
	e.mu.Lock()
	hook := e.onStart
	e.mu.Unlock()
	if hook != nil {
		hook(w, t)
	}
}

// running returns on how many machines tasks of a job run.
func (e *environment) running(job string) int {
	count := 0
	for _, w := range e.allWorkers() {
		for _, state := range w.states(job) {
			if state == wire.TaskRunning {
				count++
			}
		}
	}
	return count
}

// machineOf returns the worker that holds a task of a job, or nil.
func (e *environment) machineOf(job string) *worker {
	for _, w := range e.allWorkers() {
		if len(w.states(job)) > 0 {
			return w
		}
	}
	return nil
}

// waitFor waits until a condition holds, and returns an error that ends the case with status 2 otherwise.
func (e *environment) waitFor(what string, limit time.Duration, condition func() bool) error {
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			return cantRun("%s: not within %v", what, limit)
		}
		time.Sleep(20 * time.Millisecond)
	}
	e.record("%s", what)
	return nil
}

var userClient = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}

// ask sends a user's request to a controller. Status 0 means no answer.
func (e *environment) ask(c *controller, method, path string, body []byte, limit time.Duration) (int, wire.JobResponse) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.public+path, bytes.NewReader(body))
	if err != nil {
		return 0, wire.JobResponse{}
	}
	response, err := userClient.Do(request)
	if err != nil {
		return 0, wire.JobResponse{}
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	var state wire.JobResponse
	_ = json.Unmarshal(data, &state)
	return response.StatusCode, state
}

// submit submits a job, again as the protocol says, and returns the status of the last answer.
func (e *environment) submit(job *wire.Job) int {
	e.mu.Lock()
	e.jobs[job.ID] = job
	e.mu.Unlock()
	body, _ := job.Submission()
	status := 0
	for attempt := range 60 {
		var state wire.JobResponse
		status, state = e.ask(e.controllers[attempt%len(e.controllers)], http.MethodPost, "/v2/runs", body, 5*time.Second)
		e.record("user: submit %s (%d x %g GPUs): %d %s", job.ID, job.Tasks, job.GPUs, status, state.Status)
		if status == 200 || status == 201 || status == 400 || status == 422 {
			return status
		}
		time.Sleep(time.Second)
	}
	return status
}

// poll asks once for a job's state.
func (e *environment) poll(attempt int, id string) (int, wire.JobStatus) {
	c := e.controllers[attempt%len(e.controllers)]
	status, state := e.ask(c, http.MethodGet, "/v2/runs/"+id, nil, 2*time.Second)
	e.record("user: poll %s at %s: %d %s", id, c.name, status, state.Status)
	return status, state.Status
}

// Package lab starts a small deployment for the cases of the second independent review: real controllers as separate
// processes on loopback, with the project's stand-ins for the state service, the cloud and the workers.
package lab

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"bitternwing/internal/emulator"
	"bitternwing/internal/simworker"
	"bitternwing/internal/wire"
)

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Site holds the figures of a deployment's settings.
type Site struct {
	Name                  string
	Zones                 []string // of the controllers, in order
	ReportS, LeaseS       float64
	CancelS               float64
	StateRPS, StateWrites float64
	ValueKB               float64
	TxnOps                int
	Next                  string // lines of [params.state.next], empty if none
	CloudRPS, ListLagS    float64
	CoreShare, MemoryMB   float64
	Sockets               int
	Teams                 []Team
	Type                  wire.MachineType
}

// Team is a team with its guarantee and its limit of GPUs.
type Team struct {
	Name       string
	GPUs, Most float64
}

// Pos is the first deployment of the brief (DEPLOY page): three controllers in one zone.
func Pos() Site {
	return Site{Name: "tenantcheck-pos", Zones: []string{"pos-east", "pos-east", "pos-east"}, ReportS: 1, LeaseS: 10, CancelS: 30,
		StateRPS: 150, StateWrites: 60, ValueKB: 16, TxnOps: 12, CloudRPS: 2, ListLagS: 5, CoreShare: 0.06, MemoryMB: 98,
		Sockets: 600, Teams: []Team{{"riskdesk-00", 24, 80}, {"riskdesk-01", 24, 80}},
		Type: wire.MachineType{Name: "caroni48", CPUs: 48, GPUs: 8, MemoryGB: 288, CacheGB: 300, FetchGBPerS: 4.6, Price: 17.4,
			SpotPrice: 7.24, BootS: 45, Zones: []string{"pos-east"}}}
}

// PosFleet has the figures of the same deployment in the kit's folder "fleet".
func PosFleet() Site {
	s := Pos()
	s.Name = "tenantcheck-pos-fleet"
	s.ReportS, s.LeaseS, s.CancelS = 2.5, 15.25, 35.25
	s.StateRPS, s.StateWrites, s.CloudRPS = 500, 200, 4
	s.CoreShare, s.MemoryMB, s.Sockets = 0.192, 322, 1959
	return s
}

// Controller is one controller process.
type Controller struct {
	Name, Zone       string
	Public, Internal string
	StateAddr        string // address at which it reaches the state service
	CloudAddr        string
	Settings         string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	Started int // how often it was started
}

// Lab is a running deployment.
type Lab struct {
	Site        Site
	Dir         string
	Trouble     bool
	Env         []string // added to the controllers' environment
	Store       *emulator.StoreServer
	Cloud       *emulator.Cloud
	Fleet       *simworker.Fleet
	Controllers []*Controller
	Jobs        *Jobs

	parent   *Lab // in whose record this one writes
	siblings []*Lab
	prefix   string // of the controllers' names
	start    time.Time
	mu       sync.Mutex
	record   *os.File
	binary   string
	closing  bool
	StateVia func(c *Controller, direct string) string // may put a proxy before the state service
}

// Jobs knows the submitted jobs, as workers do, and what ran where.
type Jobs struct {
	lab *Lab
	mu  sync.Mutex
	all map[string]*wire.Job
	on  map[string]map[string]bool // machines by task
	// OnRun is called when a task begins to run.
	OnRun func(machine, task string)
	// OnEnd is called when a task that ran is gone.
	OnEnd func(machine, task string)
}

// Put makes a job known to the workers: users upload its description.
func (j *Jobs) Put(job *wire.Job) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.all[job.ID] = job
}

// Job implements simworker.Jobs.
func (j *Jobs) Job(id string) *wire.Job {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.all[id]
}

// RunTime implements simworker.Jobs.
func (j *Jobs) RunTime(job *wire.Job, _ int) time.Duration {
	if job.Kind == wire.KindService {
		return simworker.Never
	}
	return time.Duration(job.EstimatedRunS * float64(time.Second))
}

// StartReceived implements simworker.Observer.
func (j *Jobs) StartReceived(s simworker.Start) {
	j.lab.Log("start   %s try %d on %s baton %d", s.Task, s.Attempt, s.Machine, s.FencingToken)
}

// TaskRuns implements simworker.Observer.
func (j *Jobs) TaskRuns(machine, task string) {
	j.lab.Log("runs    %s on %s", task, machine)
	j.mu.Lock()
	if j.on[task] == nil {
		j.on[task] = map[string]bool{}
	}
	j.on[task][machine] = true
	call := j.OnRun
	j.mu.Unlock()
	if call != nil {
		call(machine, task)
	}
}

// TaskEnds implements simworker.Observer.
func (j *Jobs) TaskEnds(machine, task string, done bool) {
	j.lab.Log("ends    %s on %s done %t", task, machine, done)
	j.mu.Lock()
	delete(j.on[task], machine)
	call := j.OnEnd
	j.mu.Unlock()
	if call != nil {
		call(machine, task)
	}
}

// Count returns how many tasks run.
func (j *Jobs) Count() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for _, machines := range j.on {
		n += len(machines)
	}
	return n
}

// Running returns on how many machines a task is.
func (j *Jobs) Running(task string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.on[task])
}

type noTraffic struct{}

func (noTraffic) Count(string, simworker.MessageKind, int, int) {}

// New prepares a deployment. The record is written to record.txt in caseDir.
func New(site Site, caseDir string) *Lab {
	l := &Lab{Site: site, Trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	var err error
	if l.Dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		l.Fail("no folder: %v", err)
	}
	if l.record, err = os.Create(filepath.Join(caseDir, "record.txt")); err != nil {
		l.Fail("no record: %v", err)
	}
	l.binary = os.Getenv("BITTERNWING")
	if l.binary == "" {
		l.Fail("BITTERNWING names no program")
	}
	l.Log("site %s, trouble %t", site.Name, l.Trouble)
	l.Jobs = &Jobs{lab: l, all: map[string]*wire.Job{}, on: map[string]map[string]bool{}}
	return l
}

// Log writes a line to the record.
func (l *Lab) Log(format string, args ...any) {
	if l.parent != nil {
		l.parent.Log(format, args...)
		return
	}
	line := fmt.Sprintf("%8.3f ", time.Since(l.start).Seconds()) + fmt.Sprintf(format, args...)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.record != nil {
		_, _ = fmt.Fprintln(l.record, line)
	}
	if os.Getenv("VERBOSE") != "" {
		fmt.Println(line)
	}
}

// Now returns the time since the start.
func (l *Lab) Now() time.Duration { return time.Since(l.start) }

// Fail ends a case that could not run.
func (l *Lab) Fail(format string, args ...any) {
	if l.parent != nil {
		l.parent.Fail(format, args...)
	}
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", args...)
	if l.record != nil {
		l.Log("could not run: "+format, args...)
	}
	l.End(NotRun)
}

// End ends all processes and the case.
func (l *Lab) End(status int) {
	l.mu.Lock()
	l.closing = true
	l.mu.Unlock()
	for _, deployment := range append([]*Lab{l}, l.siblings...) {
		for _, c := range deployment.Controllers {
			_ = c.Signal(syscall.SIGCONT)
			l.Kill(c)
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep == "" && l.Dir != "" {
		_ = os.RemoveAll(l.Dir)
	} else if l.Dir != "" {
		fmt.Println("logs in", l.Dir)
	}
	l.Log("status %d", status)
	_ = l.record.Close()
	os.Exit(status)
}

// Verdict writes the result and ends the case.
func (l *Lab) Verdict(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if broken {
		l.Log("RULE BROKEN: %s", text)
		fmt.Println("rule broken:", text)
		l.End(Broken)
	}
	l.Log("rule held: %s", text)
	fmt.Println("rule held:", text)
	l.End(Held)
}

// Sibling prepares another deployment beside this one, with a state service, a cloud and workers of its own.
func (l *Lab) Sibling(site Site) *Lab {
	other := &Lab{Site: site, Dir: l.Dir, Trouble: l.Trouble, start: l.start, binary: l.binary, parent: l, prefix: site.Name + "-"}
	other.Jobs = &Jobs{lab: l, all: map[string]*wire.Job{}, on: map[string]map[string]bool{}}
	l.siblings = append(l.siblings, other)
	return other
}

// Start starts the stand-ins and all controllers, and waits until they are healthy.
func (l *Lab) Start(machines int) {
	l.Prepare(machines)
	l.Run()
}

// Run starts all controllers, and waits until they are healthy.
func (l *Lab) Run() {
	for _, c := range l.Controllers {
		l.WriteSettings(c)
		l.Launch(c)
	}
	l.AwaitHealthy(20*time.Second, l.Controllers...)
}

// Prepare starts the stand-ins and gives the controllers their addresses.
func (l *Lab) Prepare(machines int) {
	l.Store = emulator.NewStoreServer()
	l.Store.SetRateLimits(l.Site.StateRPS, l.Site.StateWrites)
	l.Store.SetLimits(int(l.Site.ValueKB*1024), l.Site.TxnOps)
	for i, zone := range l.Site.Zones {
		l.Controllers = append(l.Controllers, &Controller{Name: fmt.Sprintf("%syurt-%d", l.prefix, i), Zone: zone, Public: emulator.FreeAddr(), Internal: emulator.FreeAddr()})
	}
	var targets []simworker.Controller
	for _, c := range l.Controllers {
		targets = append(targets, simworker.Controller{Name: c.Name, Zone: c.Zone, Addr: c.Public})
	}
	fleet, err := simworker.NewFleet(simworker.Config{Seed: 1, HeartbeatInterval: seconds(l.Site.ReportS), LeaseDuration: seconds(l.Site.LeaseS),
		Controllers: targets, Jobs: l.Jobs, Observer: l.Jobs, Traffic: noTraffic{}})
	if err != nil {
		l.Fail("fleet: %v", err)
	}
	l.Fleet = fleet
	l.Cloud = emulator.NewCloud([]wire.MachineType{l.Site.Type}, fleet.LaunchMachine)
	l.Cloud.SetRateLimit(l.Site.CloudRPS)
	l.Cloud.SetCapacity(l.Site.Type.Name, machines)
	for i := range machines {
		l.Cloud.AddRunning(l.Site.Type.Name, l.Site.Type.Zones[i%len(l.Site.Type.Zones)], 1)
	}
	for _, c := range l.Controllers {
		direct, err := l.Store.AddClient(c.Name)
		if err != nil {
			l.Fail("state service: %v", err)
		}
		c.StateAddr = direct
		if l.StateVia != nil {
			c.StateAddr = l.StateVia(c, direct)
		}
		if c.CloudAddr, err = l.Cloud.AddClient(c.Name); err != nil {
			l.Fail("cloud: %v", err)
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// WriteSettings writes the platform's settings file of a controller.
func (l *Lab) WriteSettings(c *Controller) {
	var b strings.Builder
	s := l.Site
	fmt.Fprintf(&b, "host_name = %q\ndomain = %q\nbind = %q\ninternal_addr = %q\n", c.Name, c.Zone, c.Public, c.Internal)
	for _, other := range l.Controllers {
		if other != c {
			fmt.Fprintf(&b, "[[siblings]]\nhost_name = %q\ndomain = %q\naddress = %q\n", other.Name, other.Zone, other.Internal)
		}
	}
	fmt.Fprintf(&b, "[outside]\ncloud = %q\nstate = %q\n", c.CloudAddr, c.StateAddr)
	fmt.Fprintf(&b, "[params]\ninitial_size = %d\nzones = [%q]\nclock_error_ms = 5.0\n", len(l.Controllers), s.Zones[0])
	for _, t := range s.Teams {
		fmt.Fprintf(&b, "[[params.teams]]\nname = %q\ncpus = 0.0\ncpus_max = 0.0\ngpus = %.1f\ngpus_max = %.1f\n", t.Name, t.GPUs, t.Most)
	}
	fmt.Fprintf(&b, "[params.workers]\nreport_s = %v\nlease_s = %v\ngang_wait_s = 30.0\ngang_peer_s = 5.0\ncancel_s = %v\n", s.ReportS, s.LeaseS, s.CancelS)
	fmt.Fprintf(&b, "[params.state]\nrps = %v\nwrite_rps = %v\nvalue_kb = %v\ntxn_ops = %d\n", s.StateRPS, s.StateWrites, s.ValueKB, s.TxnOps)
	if s.Next != "" {
		fmt.Fprintf(&b, "[params.state.next]\n%s\n", s.Next)
	}
	fmt.Fprintf(&b, "[params.cloud]\nrps = %v\nlist_lag_s = %v\n", s.CloudRPS, s.ListLagS)
	fmt.Fprintf(&b, "[params.limits]\ncore_share = %v\nmemory_mb = %v\nmax_connections = %d\n", s.CoreShare, s.MemoryMB, s.Sockets)
	c.Settings = filepath.Join(l.Dir, c.Name+".toml")
	if err := os.WriteFile(c.Settings, []byte(b.String()), 0o600); err != nil {
		l.Fail("settings: %v", err)
	}
}

// Launch starts a controller's process with the run command of the deploy file.
func (l *Lab) Launch(c *Controller) {
	log, err := os.OpenFile(filepath.Join(l.Dir, c.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		l.Fail("log: %v", err)
	}
	cmd := exec.Command(l.binary, "--config", c.Settings)
	cmd.Env = append(append(os.Environ(), l.Env...), "LOG_LEVEL=debug")
	cmd.Stderr, cmd.Stdout = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		l.Fail("start of %s: %v", c.Name, err)
	}
	_ = log.Close()
	exited := make(chan struct{})
	c.mu.Lock()
	c.cmd, c.exited = cmd, exited
	c.Started++
	c.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	l.Log("started %s", c.Name)
}

// Exited is closed when the controller's process has ended.
func (c *Controller) Exited() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exited
}

// Pid returns the process id.
func (c *Controller) Pid() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd == nil || c.cmd.Process == nil {
		return 0
	}
	return c.cmd.Process.Pid
}

// Signal sends a signal to the process.
func (c *Controller) Signal(s syscall.Signal) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd == nil || c.cmd.Process == nil {
		return nil
	}
	return c.cmd.Process.Signal(s)
}

// Kill ends a controller's process and waits for it.
func (l *Lab) Kill(c *Controller) {
	_ = c.Signal(syscall.SIGKILL)
	if exited := c.Exited(); exited != nil {
		<-exited
	}
}

// AwaitHealthy waits until the controllers answer 200 to health checks.
func (l *Lab) AwaitHealthy(most time.Duration, controllers ...*Controller) {
	for deadline := time.Now().Add(most); ; time.Sleep(100 * time.Millisecond) {
		healthy := 0
		for _, c := range controllers {
			if a := l.Do(c, "GET", "/healthz", nil, time.Second); a.Status == 200 {
				healthy++
			}
		}
		if healthy == len(controllers) {
			return
		}
		if time.Now().After(deadline) {
			l.Fail("only %d of %d controllers are healthy", healthy, len(controllers))
		}
	}
}

// Leader returns the controller that leads, by the state service, or nil. It serves to choose roles, never to judge.
func (l *Lab) Leader() *Controller {
	response, err := http.Get("http://" + l.Controllers[0].StateAddr + "/kv/w/lead")
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var item struct {
		Data struct {
			Node string `json:"node"`
		} `json:"data"`
	}
	if json.NewDecoder(response.Body).Decode(&item) != nil {
		return nil
	}
	for _, c := range l.Controllers {
		if c.Name == item.Data.Node {
			return c
		}
	}
	return nil
}

// AwaitLeader waits until a controller leads.
func (l *Lab) AwaitLeader(most time.Duration) *Controller {
	for deadline := time.Now().Add(most); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if c := l.Leader(); c != nil {
			return c
		}
	}
	l.Fail("no controller leads")
	return nil
}

// Answer is what a user got. Status 0: no answer.
type Answer struct {
	Status      int
	State       string // "status" of the body
	Body        string
	Err         error
	AskedAt, At time.Duration
}

// Do sends a request to a controller on a new connection, as a user whose load balancer chose it.
func (l *Lab) Do(c *Controller, method, path string, body []byte, timeout time.Duration) Answer {
	return l.DoAt(c.Public, method, path, body, timeout)
}

// DoAt is Do for an address.
func (l *Lab) DoAt(addr, method, path string, body []byte, timeout time.Duration) Answer {
	a := Answer{AskedAt: l.Now()}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: timeout}).DialContext}
	client := &http.Client{Timeout: timeout, Transport: transport}
	request, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		a.Err = err
		return a
	}
	response, err := client.Do(request)
	a.At = l.Now()
	if err != nil {
		a.Err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	a.At = l.Now()
	if err != nil {
		a.Err = err
		return a
	}
	a.Status, a.Body = response.StatusCode, strings.TrimSpace(string(data))
	var state struct {
		Status string `json:"status"`
	}
	_ = json.Unmarshal(data, &state)
	a.State = state.Status
	return a
}

// Ask is Do with both sides in the record.
func (l *Lab) Ask(who string, c *Controller, method, path string, body []byte, timeout time.Duration) Answer {
	l.Log("%s -> %s: %s %s", who, c.Name, method, path)
	a := l.Do(c, method, path, body, timeout)
	l.Log("%s <- %s: %s %s: %s", who, c.Name, method, path, a)
	return a
}

// String returns the answer as it stands in the record.
func (a Answer) String() string {
	if a.Err != nil {
		return "no answer: " + a.Err.Error()
	}
	return fmt.Sprintf("%d %s", a.Status, a.Body)
}

// Batch returns a batch job.
func Batch(id, team string, tasks int, gpus, runS float64) *wire.Job {
	return &wire.Job{ID: id, Class: "sweepowl", Team: team, Kind: wire.KindArray, Priority: wire.PriorityStandard, Tasks: tasks,
		CPUs: 4 * gpus, GPUs: gpus, MemoryGB: 20 * gpus, Image: "img-07", ImageGB: 4.6, EstimatedRunS: runS, Spot: true}
}

// Service returns a service.
func Service(id, team string, tasks int, gpus float64) *wire.Job {
	return &wire.Job{ID: id, Class: "quickwren", Team: team, Kind: wire.KindService, Priority: wire.PriorityProduction, Tasks: tasks,
		CPUs: 4 * gpus, GPUs: gpus, MemoryGB: 20 * gpus, Image: "img-01", ImageGB: 4.6}
}

// Submission returns the body of a submission.
func (l *Lab) Submission(job *wire.Job) []byte {
	l.Jobs.Put(job)
	body, err := job.Submission()
	if err != nil {
		l.Fail("job: %v", err)
	}
	return body
}

// SubmitUntilAccepted submits a job as users do, again after a second, until it is accepted.
func (l *Lab) SubmitUntilAccepted(who string, job *wire.Job, most time.Duration, via ...*Controller) {
	body := l.Submission(job)
	for i, deadline := 0, time.Now().Add(most); ; i++ {
		a := l.Ask(who, via[i%len(via)], "POST", wire.JobsPath, body, 5*time.Second)
		if a.Status == 200 || a.Status == 201 {
			return
		}
		if time.Now().After(deadline) {
			l.Fail("job %s is not accepted: %s", job.ID, a)
		}
		time.Sleep(time.Second)
	}
}

// ResidentMB returns the resident memory of a process in MB (1e6 bytes), 0 if it is not known.
func ResidentMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0
	}
	return float64(resident) * float64(os.Getpagesize()) / 1e6
}

package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/emulator"
	"bitternwing/internal/kvstore"
	"bitternwing/internal/node"
	"bitternwing/internal/outcome"
	"bitternwing/internal/simmodelserver"
	"bitternwing/internal/simworker"
	"bitternwing/internal/wire"
)

// The end-to-end tests run real nodes on loopback against the emulated services, with all
// intervals shortened. They wait for things to happen, up to a generous bound, and
// assert no timing.

const testTimeout = 60 * time.Second

type site struct {
	t      *testing.T
	store  *emulator.StoreServer
	cloud  *emulator.Cloud
	fleet  *simworker.Fleet
	addrs  map[string]string
	peers  map[string]string
	cancel map[string]context.CancelFunc
	done   map[string]chan struct{}
	model  *simmodelserver.Server // nil: rollouts are off
	siteOptions

	mu     sync.Mutex
	jobs   map[string]*wire.Job
	starts map[string]int // by task and attempt
}

// upload has the workers know a job, as users do.
func (s *site) upload(body string) {
	s.t.Helper()
	job, err := wire.ParseJob([]byte(body))
	if err != nil {
		s.t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[job.ID] = job
}

// Job gives a job that was uploaded.
func (s *site) Job(id string) *wire.Job {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[id]
}

// RunTime has tasks of arrays end soon, and replicas not at all.
func (s *site) RunTime(job *wire.Job, _ int) time.Duration {
	if job.Kind == wire.KindService {
		return simworker.Never
	}
	return 300 * time.Millisecond
}

// StartReceived counts the starts of each attempt.
func (s *site) StartReceived(start simworker.Start) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts[fmt.Sprint(start.Task, "#", start.Attempt)]++
}

// TaskRuns and TaskEnds tell the site nothing.
func (s *site) TaskRuns(_, _ string)         {}
func (s *site) TaskEnds(_, _ string, _ bool) {}

// Count counts no messages.
func (s *site) Count(string, simworker.MessageKind, int, int) {}

// siteOptions is what a site may have beyond the usual.
type siteOptions struct {
	next     *config.UpcomingLimits                        // limits of the key-value store to come, in the nodes' settings
	rollouts bool                                          // are switched on
	operator func(node string, o *config.OperatorSettings) // changes a node's operators' settings; nil: none
	log      io.Writer                                     // what the nodes log; nil: it is lost
	internal map[string]string                             // the nodes' internal addresses; nil: any
}

func newSite(t *testing.T) *site {
	t.Helper()
	return newSiteWith(t, siteOptions{})
}

func newSiteWith(t *testing.T, options siteOptions) *site {
	t.Helper()
	if options.log == nil {
		options.log = io.Discard
	}
	s := &site{t: t, siteOptions: options, store: emulator.NewStoreServer(), addrs: map[string]string{}, peers: map[string]string{},
		cancel: map[string]context.CancelFunc{}, done: map[string]chan struct{}{}, jobs: map[string]*wire.Job{}, starts: map[string]int{}}
	types := []wire.MachineType{{Name: "g8", CPUs: 64, GPUs: 8, MemoryGB: 512, CacheGB: 300, FetchGBPerS: 4,
		Price: 16, SpotPrice: 5, BootS: 5, Zones: []string{"z1"}}}
	var controllers []simworker.Controller
	for _, n := range []string{"a", "b", "c"} {
		s.addrs[n], s.peers[n] = emulator.FreeAddr(), s.internal[n]
		if s.peers[n] == "" {
			s.peers[n] = emulator.FreeAddr()
		}
		controllers = append(controllers, simworker.Controller{Name: n, Zone: "z1", Addr: s.addrs[n]})
	}
	var err error
	s.fleet, err = simworker.NewFleet(simworker.Config{Seed: 1, HeartbeatInterval: 200 * time.Millisecond, LeaseDuration: 2 * time.Second,
		Controllers: controllers, Jobs: s, Observer: s, Traffic: s})
	if err != nil {
		t.Fatal(err)
	}
	if s.rollouts {
		listener, err := simworker.ListenLoopback()
		if err != nil {
			t.Fatal(err)
		}
		s.model = simmodelserver.New(listener, s.fleet)
		t.Cleanup(s.model.Close)
	}
	s.cloud = emulator.NewCloud(types, s.fleet.LaunchMachine)
	for _, n := range []string{"a", "b", "c"} {
		s.run(n)
	}
	t.Cleanup(func() {
		for n := range s.cancel {
			s.kill(n)
		}
		s.cloud.Close()
		s.fleet.Close()
		s.store.Close()
	})
	return s
}

func (s *site) run(name string) {
	storeAddr, err := s.store.AddClient(name)
	if err != nil {
		s.t.Fatal(err)
	}
	cloudAddr, err := s.cloud.AddClient(name)
	if err != nil {
		s.t.Fatal(err)
	}
	settings := &config.Settings{Node: name, Zone: "z1", Listen: s.addrs[name], PeerListen: s.peers[name],
		Services: config.Services{Cloud: cloudAddr, Store: storeAddr}, Operator: config.DefaultOperatorSettings()}
	for _, p := range []string{"a", "b", "c"} {
		if p != name {
			settings.Peers = append(settings.Peers, config.Peer{Node: p, Addr: s.peers[p]})
		}
	}
	settings.Params = config.Params{Nodes: 3, Zones: []string{"z1"},
		Teams:   []config.Team{{Name: "red", GuaranteedGPUs: 8, MaxGPUs: 16}},
		Workers: config.Workers{HeartbeatIntervalS: 0.2, LeaseS: 2, CancelDeadlineS: 10},
		Store:   config.Store{RPS: 1000, WriteRPS: 500, ValueKB: 16, TxnOps: 12, Next: s.next},
		Cloud:   config.Cloud{RPS: 20, ListLagS: 0.2},
		Limits:  config.ProcessLimits{CPUShare: 1, MemoryMB: 98, MaxConnections: 400}}
	if s.model != nil {
		settings.Operator.Rollouts = config.Rollouts{Enabled: true, ModelPort: s.model.Port(), RouterLeaseS: 2, CheckIntervalS: 0.2,
			CheckTimeoutS: 1, MaxPlans: 4, MaxRouters: 4}
	}
	if s.operator != nil {
		s.operator(name, settings.Operator)
	}
	n, err := node.New(settings, slog.New(slog.NewTextHandler(s.log, nil)))
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	s.cancel[name], s.done[name] = cancel, done
	go func() {
		defer close(done)
		if err := n.Run(ctx); err != nil {
			s.t.Errorf("node %s: %v", name, err)
		}
	}()
}

// keys gives the keys below a prefix in the key-value store.
func (s *site) keys(prefix string) []string {
	s.t.Helper()
	addr, err := s.store.AddClient("test")
	if err != nil {
		s.t.Fatal(err)
	}
	client := kvstore.New(addr, 1000, 1, 1<<20)
	var keys []string
	for after := ""; ; after = keys[len(keys)-1] {
		page, o := client.List(s.t.Context(), prefix, after, wire.MaxItems)
		if o != outcome.OK {
			s.t.Fatalf("list of %s: %v", prefix, o)
		}
		for _, item := range page.Items {
			keys = append(keys, item.Key)
		}
		if !page.More {
			return keys
		}
	}
}

func (s *site) kill(name string) {
	s.cancel[name]()
	<-s.done[name]
	delete(s.cancel, name)
}

// call makes a request and decodes the response; status 0: there was none.
func (s *site) call(method, node, path, body string) (int, wire.JobState) {
	req, err := http.NewRequestWithContext(s.t.Context(), method, "http://"+s.addrs[node]+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, wire.JobState{}
	}
	defer func() { _ = resp.Body.Close() }()
	var st wire.JobState
	data, _ := io.ReadAll(resp.Body)
	_ = json.NewDecoder(bytes.NewReader(data)).Decode(&st) // a response without a body has no state
	return resp.StatusCode, st
}

func (s *site) eventually(what string, condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	s.t.Fatalf("never: %s", what)
}

func (s *site) submit(node, id string, kind wire.JobKind, tasks, gpus int) {
	s.t.Helper()
	body := fmt.Sprintf(`{"ref":%q,"lane":"x","broker":"red","shape":%q,"urgency":"prod","parcels":%d,
		"vcpus":1.0,"gpus":%d,"memory_gb":1.0,"bundle":"i","image_gb":1.0,"rigs":null,"hall":null,
		"one_zone":false,"apart":false,"loaner":false,"expect_s":1.0,"stamp_s":0.0,"stow_s":0.0,"cutoff_s":null}`,
		id, kind, tasks, gpus)
	s.upload(body)
	s.eventually("accepted "+id, func() bool {
		code, _ := s.call("POST", node, "/v2/runs", body)
		return code == 201 || code == 200
	})
}

func (s *site) state3(id string, want wire.JobStatus) {
	s.t.Helper()
	for _, n := range []string{"a", "b", "c"} {
		if s.cancel[n] == nil {
			continue
		}
		s.eventually(fmt.Sprintf("%s is %s at %s", id, want, n), func() bool {
			code, st := s.call("GET", n, "/v2/runs/"+id, "")
			return code == 200 && st.State == want
		})
	}
}

func (s *site) leader() string {
	leader := ""
	s.eventually("a leader", func() bool {
		for n := range s.cancel {
			req := `{"host":"host-probe","shift":1,"tally":1,"baton":0,"rig":"none","hall":"z1","parcels":[]}`
			code, _ := s.call("POST", n, "/checkin", req)
			if code == 200 {
				leader = n
				return true
			}
		}
		return false
	})
	return leader
}

func (s *site) onceEach() {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, n := range s.starts {
		if n != 1 {
			s.t.Errorf("%s was started %d times", k, n)
		}
	}
}

// TestLifeOfJobs submits, runs and cancels, kills the leader, and sees the next one
// carry on: what runs goes on running, and new work gets done.
func TestLifeOfJobs(t *testing.T) {
	s := newSite(t)
	s.submit("a", "run-000001", wire.KindService, 2, 4)
	s.submit("b", "run-000002", wire.KindArray, 5, 1)
	s.eventually("two replicas run", func() bool { return s.fleet.Running("run-000001") == 2 })
	s.state3("run-000001", wire.JobRunning)
	s.state3("run-000002", wire.JobDone)

	s.kill(s.leader())
	next := s.leader()
	s.submit(next, "run-000004", wire.KindArray, 3, 1)
	s.state3("run-000004", wire.JobDone)
	s.state3("run-000002", wire.JobDone)
	s.mu.Lock()
	replicas := 0
	for k := range s.starts {
		if strings.HasPrefix(k, "run-000001/") {
			replicas++
		}
	}
	s.mu.Unlock()
	if replicas != 2 {
		t.Errorf("the service was started %d times over a failover, not once for each replica", replicas)
	}

	s.eventually("cancelled", func() bool {
		code, st := s.call("POST", next, "/v2/runs/run-000001/cancel", "")
		return code == 200 && st.State == wire.JobCancelled
	})
	s.eventually("replicas gone", func() bool { return s.fleet.Running("run-000001") == 0 })
	s.state3("run-000001", wire.JobCancelled)
	s.eventually("records swept", func() bool { return len(s.keys("r/")) == 0 && len(s.keys("w/a/")) == 0 })
	if code, _ := s.call("GET", next, "/v2/runs/run-000999", ""); code != 404 {
		t.Errorf("an unknown job got %d", code)
	}
	s.onceEach()
}

// TestOutage has an outage of the key-value store: users get 503 at once, what runs keeps
// its leases, and afterwards all goes on.
func TestOutage(t *testing.T) {
	s := newSite(t)
	s.submit("a", "run-000001", wire.KindService, 1, 4)
	s.eventually("it runs", func() bool { return s.fleet.Running("run-000001") == 1 })
	s.store.SetDown(true)
	s.eventually("503", func() bool {
		code, _ := s.call("GET", "b", "/v2/runs/run-000001", "")
		return code == 503
	})
	// Longer than the workers' lease: without responses the replica would be killed.
	time.Sleep(5 * time.Second)
	s.store.SetDown(false)
	s.submit("c", "run-000002", wire.KindArray, 2, 1)
	s.state3("run-000002", wire.JobDone)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.starts["run-000001/0#1"] != 1 || s.starts["run-000001/0#2"] != 0 {
		t.Errorf("the replica did not live through the outage: %v", s.starts)
	}
}

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
// intervals shortened. They wait for conditions up to testTimeout and assert no other timing.

// testTimeout is how long the tests wait for a condition.
const testTimeout = 60 * time.Second

// testCluster is three controller nodes in one zone with emulated services and simulated workers. Maps are by the name
// of the node, unless noted otherwise.
type testCluster struct {
	t             *testing.T
	store         *emulator.StoreServer
	cloud         *emulator.Cloud
	fleet         *simworker.Fleet
	addrs         map[string]string
	internalAddrs map[string]string
	cancel        map[string]context.CancelFunc
	done          map[string]chan struct{}
	modelServer   *simmodelserver.Server // nil: rollouts are off
	clusterOptions

	mu     sync.Mutex
	jobs   map[string]*wire.Job // by id
	starts map[string]int       // by task and attempt
}

// addJob makes a submitted job known to the simulated workers, which look up its run time.
func (c *testCluster) addJob(body string) {
	c.t.Helper()
	job, err := wire.ParseJob([]byte(body))
	if err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[job.ID] = job
}

// Job implements simworker.Jobs: it returns a job that was added.
func (c *testCluster) Job(id string) *wire.Job {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id]
}

// RunTime implements simworker.Jobs: tasks of arrays end soon, and replicas never.
func (c *testCluster) RunTime(job *wire.Job, _ int) time.Duration {
	if job.Kind == wire.KindService {
		return simworker.Never
	}
	return 300 * time.Millisecond
}

// StartReceived implements simworker.Observer: it counts the starts of each attempt.
func (c *testCluster) StartReceived(start simworker.Start) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts[fmt.Sprint(start.Task, "#", start.Attempt)]++
}

// TaskRuns and TaskEnds implement simworker.Observer.
func (c *testCluster) TaskRuns(_, _ string)         {}
func (c *testCluster) TaskEnds(_, _ string, _ bool) {}

// Count implements simworker.Traffic.
func (c *testCluster) Count(string, simworker.MessageKind, int, int) {}

// clusterOptions are the options of a test cluster. The zero value is the default.
type clusterOptions struct {
	next               *config.UpcomingLimits                        // the announced limits of the key-value store
	rollouts           bool                                          // enables rollouts
	operator           func(node string, o *config.OperatorSettings) // modifies a node's operator settings, unless nil
	log                io.Writer                                     // receives the nodes' logs, unless nil
	fixedInternalAddrs map[string]string                             // the nodes' internal addresses; free ones are used if nil
}

// newTestCluster starts a cluster with the default options. It is stopped when the test ends.
func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	return newTestClusterWith(t, clusterOptions{})
}

// newTestClusterWith starts a cluster. It is stopped when the test ends.
func newTestClusterWith(t *testing.T, options clusterOptions) *testCluster {
	t.Helper()
	if options.log == nil {
		options.log = io.Discard
	}
	c := &testCluster{t: t, clusterOptions: options, store: emulator.NewStoreServer(), addrs: map[string]string{}, internalAddrs: map[string]string{},
		cancel: map[string]context.CancelFunc{}, done: map[string]chan struct{}{}, jobs: map[string]*wire.Job{}, starts: map[string]int{}}
	types := []wire.MachineType{{Name: "g8", CPUs: 64, GPUs: 8, MemoryGB: 512, CacheGB: 300, FetchGBPerS: 4,
		Price: 16, SpotPrice: 5, BootS: 5, Zones: []string{"z1"}}}
	var controllers []simworker.Controller
	for _, n := range []string{"a", "b", "c"} {
		c.addrs[n], c.internalAddrs[n] = emulator.FreeAddr(), c.fixedInternalAddrs[n]
		if c.internalAddrs[n] == "" {
			c.internalAddrs[n] = emulator.FreeAddr()
		}
		controllers = append(controllers, simworker.Controller{Name: n, Zone: "z1", Addr: c.addrs[n]})
	}
	var err error
	c.fleet, err = simworker.NewFleet(simworker.Config{Seed: 1, HeartbeatInterval: 200 * time.Millisecond, LeaseDuration: 2 * time.Second,
		Controllers: controllers, Jobs: c, Observer: c, Traffic: c})
	if err != nil {
		t.Fatal(err)
	}
	if c.rollouts {
		listener, err := simworker.ListenLoopback()
		if err != nil {
			t.Fatal(err)
		}
		c.modelServer = simmodelserver.New(listener, c.fleet)
		t.Cleanup(c.modelServer.Close)
	}
	c.cloud = emulator.NewCloud(types, c.fleet.LaunchMachine)
	for _, n := range []string{"a", "b", "c"} {
		c.startNode(n)
	}
	t.Cleanup(func() {
		for n := range c.cancel {
			c.stopNode(n)
		}
		c.cloud.Close()
		c.fleet.Close()
		c.store.Close()
	})
	return c
}

// startNode starts a node.
func (c *testCluster) startNode(name string) {
	storeAddr, err := c.store.AddClient(name)
	if err != nil {
		c.t.Fatal(err)
	}
	cloudAddr, err := c.cloud.AddClient(name)
	if err != nil {
		c.t.Fatal(err)
	}
	settings := &config.Settings{Node: name, Zone: "z1", Listen: c.addrs[name], PeerListen: c.internalAddrs[name],
		Services: config.Services{Cloud: cloudAddr, Store: storeAddr}, Operator: config.DefaultOperatorSettings()}
	for _, peer := range []string{"a", "b", "c"} {
		if peer != name {
			settings.Peers = append(settings.Peers, config.Peer{Node: peer, Addr: c.internalAddrs[peer]})
		}
	}
	settings.Params = config.Params{Nodes: 3, Zones: []string{"z1"},
		Teams:   []config.Team{{Name: "red", GuaranteedGPUs: 8, MaxGPUs: 16}},
		Workers: config.Workers{HeartbeatIntervalS: 0.2, LeaseS: 2, CancelDeadlineS: 10},
		Store:   config.Store{RPS: 1000, WriteRPS: 500, ValueKB: 16, TxnOps: 12, Next: c.next},
		Cloud:   config.Cloud{RPS: 20, ListLagS: 0.2},
		Limits:  config.ProcessLimits{CPUShare: 1, MemoryMB: 98, MaxConnections: 400}}
	if c.modelServer != nil {
		settings.Operator.Rollouts = config.Rollouts{Enabled: true, ModelPort: c.modelServer.Port(), RouterLeaseS: 2, CheckIntervalS: 0.2,
			CheckTimeoutS: 1, MaxPlans: 4, MaxRouters: 4}
	}
	if c.operator != nil {
		c.operator(name, settings.Operator)
	}
	n, err := node.New(settings, slog.New(slog.NewTextHandler(c.log, nil)))
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	c.cancel[name], c.done[name] = cancel, done
	go func() {
		defer close(done)
		if err := n.Run(ctx); err != nil {
			c.t.Errorf("node %s: %v", name, err)
		}
	}()
}

// keys returns the keys with a prefix in the key-value store.
func (c *testCluster) keys(prefix string) []string {
	c.t.Helper()
	addr, err := c.store.AddClient("test")
	if err != nil {
		c.t.Fatal(err)
	}
	client := kvstore.New(addr, 1000, 1, 1<<20)
	var keys []string
	for after := ""; ; after = keys[len(keys)-1] {
		page, result := client.List(c.t.Context(), prefix, after, wire.MaxPageItems)
		if result != outcome.OK {
			c.t.Fatalf("list of prefix %q: %v", prefix, result)
		}
		for _, item := range page.Items {
			keys = append(keys, item.Key)
		}
		if !page.More {
			return keys
		}
	}
}

// stopNode stops a node and waits until it has ended.
func (c *testCluster) stopNode(name string) {
	c.cancel[name]()
	<-c.done[name]
	delete(c.cancel, name)
}

// request sends a request to a node and decodes the response. The status is 0 if there was no response.
func (c *testCluster) request(method, node, path, body string) (int, wire.JobResponse) {
	req, err := http.NewRequestWithContext(c.t.Context(), method, "http://"+c.addrs[node]+path, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, wire.JobResponse{}
	}
	defer func() { _ = resp.Body.Close() }()
	var response wire.JobResponse
	data, _ := io.ReadAll(resp.Body)
	_ = json.NewDecoder(bytes.NewReader(data)).Decode(&response) // a response without a body leaves it empty
	return resp.StatusCode, response
}

// eventually waits until a condition holds. It fails the test after testTimeout.
func (c *testCluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.t.Fatalf("timed out waiting for: %s", what)
}

// submit adds a job and submits it to a node until it is accepted.
func (c *testCluster) submit(node, id string, kind wire.JobKind, tasks, gpus int) {
	c.t.Helper()
	body := fmt.Sprintf(`{"ref":%q,"lane":"x","broker":"red","shape":%q,"urgency":"prod","parcels":%d,
		"vcpus":1.0,"gpus":%d,"memory_gb":1.0,"bundle":"i","image_gb":1.0,"rigs":null,"hall":null,
		"one_zone":false,"apart":false,"loaner":false,"expect_s":1.0,"stamp_s":0.0,"stow_s":0.0,"cutoff_s":null}`,
		id, kind, tasks, gpus)
	c.addJob(body)
	c.eventually("acceptance of "+id, func() bool {
		code, _ := c.request("POST", node, "/v2/runs", body)
		return code == 201 || code == 200
	})
}

// waitForStatus waits until each running node returns the wanted status of a job.
func (c *testCluster) waitForStatus(id string, want wire.JobStatus) {
	c.t.Helper()
	for _, n := range []string{"a", "b", "c"} {
		if c.cancel[n] == nil {
			continue
		}
		c.eventually(fmt.Sprintf("job %s is %s at node %s", id, want, n), func() bool {
			code, response := c.request("GET", n, "/v2/runs/"+id, "")
			return code == 200 && response.Status == want
		})
	}
}

// leader waits until a node responds to heartbeats, and returns it.
func (c *testCluster) leader() string {
	leader := ""
	c.eventually("a node responds to heartbeats as the leader", func() bool {
		for n := range c.cancel {
			req := `{"host":"host-probe","shift":1,"tally":1,"baton":0,"rig":"none","hall":"z1","parcels":[]}`
			code, _ := c.request("POST", n, "/checkin", req)
			if code == 200 {
				leader = n
				return true
			}
		}
		return false
	})
	return leader
}

// checkStartedOnce checks that no attempt of a task was started more than once.
func (c *testCluster) checkStartedOnce() {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for attempt, starts := range c.starts {
		if starts != 1 {
			c.t.Errorf("%s was started %d times, want once", attempt, starts)
		}
	}
}

// TestJobLifecycle submits, runs and cancels jobs and stops the leader in between. The new leader must leave running
// tasks alone, run new jobs, and delete the records of finished ones.
func TestJobLifecycle(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.submit("a", "run-000001", wire.KindService, 2, 4)
	cluster.submit("b", "run-000002", wire.KindArray, 5, 1)
	cluster.eventually("both replicas run", func() bool { return cluster.fleet.Running("run-000001") == 2 })
	cluster.waitForStatus("run-000001", wire.JobRunning)
	cluster.waitForStatus("run-000002", wire.JobDone)

	cluster.stopNode(cluster.leader())
	newLeader := cluster.leader()
	cluster.submit(newLeader, "run-000004", wire.KindArray, 3, 1)
	cluster.waitForStatus("run-000004", wire.JobDone)
	cluster.waitForStatus("run-000002", wire.JobDone)
	cluster.mu.Lock()
	replicas := 0
	for attempt := range cluster.starts {
		if strings.HasPrefix(attempt, "run-000001/") {
			replicas++
		}
	}
	cluster.mu.Unlock()
	if replicas != 2 {
		t.Errorf("service: %d replica starts after a failover, want 2", replicas)
	}

	cluster.eventually("the cancellation is accepted", func() bool {
		code, response := cluster.request("POST", newLeader, "/v2/runs/run-000001/cancel", "")
		return code == 200 && response.Status == wire.JobCancelled
	})
	cluster.eventually("the replicas are stopped", func() bool { return cluster.fleet.Running("run-000001") == 0 })
	cluster.waitForStatus("run-000001", wire.JobCancelled)
	cluster.eventually("the records are deleted", func() bool { return len(cluster.keys("r/")) == 0 && len(cluster.keys("w/a/")) == 0 })
	if code, _ := cluster.request("GET", newLeader, "/v2/runs/run-000999", ""); code != 404 {
		t.Errorf("status of an unknown job: %d, want 404", code)
	}
	cluster.checkStartedOnce()
}

// TestStoreOutage checks an outage of the key-value store that outlasts the workers' leases. Users get 503, running
// tasks keep running, and new jobs run after the outage.
func TestStoreOutage(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.submit("a", "run-000001", wire.KindService, 1, 4)
	cluster.eventually("the replica runs", func() bool { return cluster.fleet.Running("run-000001") == 1 })
	cluster.store.SetDown(true)
	cluster.eventually("users get 503", func() bool {
		code, _ := cluster.request("GET", "b", "/v2/runs/run-000001", "")
		return code == 503
	})
	// Longer than the workers' lease of 2 s: without responses to its heartbeats, the worker would stop the replica.
	time.Sleep(5 * time.Second)
	cluster.store.SetDown(false)
	cluster.submit("c", "run-000002", wire.KindArray, 2, 1)
	cluster.waitForStatus("run-000002", wire.JobDone)
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	if cluster.starts["run-000001/0#1"] != 1 || cluster.starts["run-000001/0#2"] != 0 {
		t.Errorf("the replica was restarted during the outage; starts by attempt: %v", cluster.starts)
	}
}

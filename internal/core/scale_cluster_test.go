package core_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/core"
	"bitternwing/internal/emulator"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// reporter is what the harnesses need of a test.
type reporter interface {
	Helper()
	Errorf(format string, args ...any)
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// scaleCluster is a large deployment around pure cores: a state service, a cloud and workers
// that report, fetch, run and obey. Time goes in steps; what is asked for in one is
// answered in the next. It counts what the nodes ask for.
type scaleCluster struct {
	test                  reporter
	now                   time.Duration
	random                *rand.Rand
	store                 *emulator.Store
	lastSettings          *config.Settings
	operator              *config.OperatorSettings
	memoryMB              float64              // MB a node may use
	evaluationCost        time.Duration        // what an evaluation takes a node; 0: nobody measures it
	large                 bool                 // settings of a fleet of about 1,000 machines, not of 200
	adjustParams          func(*config.Params) // changes the settings; nil: they stay
	measured              bool                 // steps take what they really take, and are counted in spent and longest
	stepTime, longestStep time.Duration
	specs                 map[string]*wire.Job
	workerByTask          map[string]*scaleWorker // of tasks, from their start to their end
	startedTasks          int
	isolatedZone          string         // workers of this zone can't reach nodes of the first one, nor they them
	lastAnswer            any            // the last answer to a user
	answerStatuses        map[uint64]int // statuses of answers to users by request; nil: they are not kept
	logged                map[string]int // settings that are too small, by field
	cloudRate             float64        // requests a second that the cloud takes; 0: all
	cloudTokens           float64
	// intercept may give the result of a call in place of the world, and onAnswer take an answer.
	intercept  func(*scaleNode, core.Effect) (core.Result, bool)
	onAnswer   func(core.Response) bool
	frozenNode string // a node whose process stands still
	// prefetched counts the images that are asked for ahead of need, and prefetchOutcome is what becomes of that.
	prefetched      int
	prefetchOutcome outcome.Outcome
	// onStart, onRuns and onEnds are told of tasks' starts and ends.
	onStart                    func(task string)
	onRuns                     func(machine, task string)
	onEnds                     func(task string)
	cloudTokensAt              time.Duration
	droppedCloudCalls          int // requests above that
	nodes                      []*scaleNode
	workers                    []*scaleWorker
	workerByAddr, workerByName map[string]*scaleWorker
	rented                     int
	machineLimit               int // machines that the cloud has
	submittedJobs              int
	liveServices               []string // services that are accepted, oldest first
	lastRequest                uint64

	counts scaleCounts
	digest *outputDigest // nil: none is made
}

type scaleCounts struct {
	transactions, writes, bytes, gets, lists, pages, commands, heartbeats int
	largestTransaction, largestBody                                       int // changes and bytes in a transaction, at most
	mostConcurrentCalls                                                   int // calls to workers, at most
	releasedWithWork                                                      int // machines with work on them
}

type scaleNode struct {
	name         string
	zone         string
	core         *core.Core
	results      []core.Result
	watches      []scaleWatch
	workerCalls  int           // workers, without an answer yet
	lastStepTime time.Duration // the last step
}

type scaleWatch struct {
	core.StoreWatch
	opened time.Duration
}

const scaleStep = 10 * time.Millisecond

func newScaleCluster(t reporter, nodes, machines int) *scaleCluster {
	cluster := &scaleCluster{test: t, now: time.Second, random: rand.New(rand.NewSource(1)), store: emulator.NewStore(),
		workerByAddr: map[string]*scaleWorker{}, workerByName: map[string]*scaleWorker{}, specs: map[string]*wire.Job{}, logged: map[string]int{}, prefetchOutcome: outcome.OK, workerByTask: map[string]*scaleWorker{}, machineLimit: machines, operator: config.DefaultOperatorSettings(), memoryMB: 98}
	for i := 0; i < nodes; i++ {
		cluster.nodes = append(cluster.nodes, &scaleNode{name: fmt.Sprintf("n%d", i), zone: []string{"z1", "z2"}[i%2]})
	}
	for i := range cluster.nodes {
		cluster.startNode(i)
	}
	for _, node := range cluster.nodes {
		cluster.step(node, core.Tick{})
	}
	return cluster
}

// newLargeScaleCluster has the settings of a fleet of about 1,000 machines.
func newLargeScaleCluster(tb testing.TB, nodes, machines int) *scaleCluster {
	tb.Helper()
	cluster := newScaleCluster(tb, nodes, machines)
	cluster.large = true
	for i := range cluster.nodes {
		cluster.startNode(i)
	}
	cluster.runFor(3 * time.Second)
	return cluster
}

func (cluster *scaleCluster) settings(i int) *config.Settings {
	s := &config.Settings{Node: cluster.nodes[i].name, Zone: []string{"z1", "z2"}[i%2], Operator: cluster.operator}
	for k, node := range cluster.nodes {
		if k != i {
			s.Peers = append(s.Peers, config.Peer{Node: node.name, Zone: []string{"z1", "z2"}[k%2], Addr: "127.0.0.1:1"})
		}
	}
	s.Params = config.Params{Nodes: len(cluster.nodes), Zones: []string{"z1", "z2"}, ClockErrorMS: 5,
		Workers: config.Workers{HeartbeatIntervalS: 1, LeaseS: 10, CancelDeadlineS: 30},
		Store:   config.Store{RPS: 150, WriteRPS: 60, ValueKB: 16, TxnOps: 12},
		Cloud:   config.Cloud{RPS: 2, ListLagS: 5},
		Limits:  config.ProcessLimits{CPUShare: 0.06, MemoryMB: cluster.memoryMB, MaxConnections: 600}}
	share := 1.0
	if cluster.large {
		share = 5
		s.Params.Workers = config.Workers{HeartbeatIntervalS: 2.5, LeaseS: 15, CancelDeadlineS: 35}
		s.Params.Store.RPS, s.Params.Store.WriteRPS, s.Params.Cloud.RPS = 600, 220, 4
		s.Params.Limits = config.ProcessLimits{CPUShare: 0.2, MemoryMB: 320, MaxConnections: 2000}
	}
	for k := 0; k < 12; k++ {
		s.Params.Teams = append(s.Params.Teams, config.Team{Name: fmt.Sprintf("t%d", k), GuaranteedGPUs: 100 * share, MaxGPUs: 300 * share})
	}
	if cluster.adjustParams != nil {
		cluster.adjustParams(&s.Params)
	}
	return s
}

// startNode makes a node's process anew.
func (cluster *scaleCluster) startNode(i int) {
	cluster.lastSettings = cluster.settings(i)
	node := cluster.nodes[i]
	node.results, node.watches = nil, nil
	node.core = core.New(cluster.lastSettings, fmt.Sprint(node.name, cluster.now))
}

func (cluster *scaleCluster) step(node *scaleNode, input core.Input) {
	took := time.Duration(node.core.LastEvaluations()) * cluster.evaluationCost
	if cluster.measured {
		took = node.lastStepTime
	}
	began := time.Now()
	effects := node.core.Step(core.Time{Steady: cluster.now, WallMS: int64(cluster.now / time.Millisecond), LastStepDuration: took}, input)
	node.lastStepTime = time.Since(began)
	cluster.stepTime += node.lastStepTime
	cluster.longestStep = max(cluster.longestStep, node.lastStepTime)
	for _, effect := range append([]core.Effect(nil), effects...) {
		if cluster.digest != nil {
			cluster.digest.add(cluster.test, cluster.now, node.name, effect)
		}
		if result, ok := cluster.carryOut(node, effect); ok {
			result.SentAt = cluster.now
			node.results = append(node.results, result)
		}
	}
}

// runFor lets time pass.
func (cluster *scaleCluster) runFor(d time.Duration) {
	for end := cluster.now + d; cluster.now < end; {
		cluster.now += scaleStep
		cluster.store.AdvanceTo(cluster.now)
		for _, node := range cluster.nodes {
			if node.name == cluster.frozenNode {
				continue
			}
			results := node.results
			node.results, node.workerCalls = nil, 0
			for _, result := range results {
				cluster.step(node, result)
			}
			watches := node.watches
			node.watches = nil
			for _, w := range watches {
				ch, got := cluster.store.Changes(w.Prefix, w.After)
				if len(ch.Events) == 0 && cluster.now-w.opened < w.Wait {
					node.watches = append(node.watches, w)
					continue
				}
				cluster.step(node, core.Result{CallID: w.CallID, Outcome: got, Changes: ch, SentAt: w.opened})
			}
			if node.core.NextWake() <= cluster.now {
				cluster.step(node, core.Tick{})
			}
		}
		for _, worker := range cluster.workers {
			if !worker.dead && worker.upAt <= cluster.now {
				worker.advance(cluster)
			}
		}
	}
}

// submit hands in a job. The first letter of its number tells what it is.
func (cluster *scaleCluster) submit(job wire.Job) {
	cluster.submittedJobs++
	cluster.lastRequest++
	job.Class, job.CPUs, job.MemoryGB, job.Priority = "c", 4*job.GPUs, 20*job.GPUs, map[bool]wire.Priority{true: "standard", false: "prod"}[job.Kind == wire.KindArray]
	job.ID = fmt.Sprintf("run-%s%05d", map[bool]string{true: "a", false: "0"}[job.Kind == wire.KindArray], cluster.submittedJobs)
	job.Team = fmt.Sprintf("t%d", cluster.submittedJobs%12)
	job.Image, job.ImageGB = fmt.Sprintf("img-%d", cluster.random.Intn(30)), 35
	if job.Kind == wire.KindService {
		cluster.liveServices = append(cluster.liveServices, job.ID)
	} else {
		job.EstimatedRunS, job.Spot, job.CheckpointIntervalS, job.CheckpointTimeS = 60, true, 15, 3
	}
	cluster.submitAt(cluster.nodes[cluster.submittedJobs%len(cluster.nodes)], &job)
}

// submitAt has a user upload a job and submit it at a node.
func (cluster *scaleCluster) submitAt(node *scaleNode, job *wire.Job) {
	cluster.lastRequest++
	cluster.specs[job.ID] = job
	cluster.step(node, core.SubmitJob{RequestID: cluster.lastRequest << 16, Job: job})
}

// addMachines brings machines up that were there before, in some zones in turn, or in the first one.
func (cluster *scaleCluster) addMachines(n int, zones ...string) {
	if len(zones) == 0 {
		zones = []string{"z1"}
	}
	cluster.machineLimit += n
	for i := range n {
		cluster.scaleOut(core.CloudScaleOut{Request: wire.ScaleOutRequest{Count: 1, Zone: zones[i%len(zones)]}})
	}
	for _, worker := range cluster.workers {
		worker.upAt = 0
	}
}

// restartLeader ends the process of the node that leads, and starts it anew.
func (cluster *scaleCluster) restartLeader() {
	for i, node := range cluster.nodes {
		if node.core.PeerStatus().Leading {
			cluster.startNode(i)
			cluster.step(node, core.Tick{})
			return
		}
	}
	cluster.test.Fatal("no node leads")
}

// restartLeaderIfAny does the same, if a node leads.
func (cluster *scaleCluster) restartLeaderIfAny() {
	if cluster.leaderNode() != nil {
		cluster.restartLeader()
	}
}

// playLoad plays a fleet that fills up and stays full.
func (cluster *scaleCluster) playLoad(services, arrays int, seconds int) {
	for i := 0; i < services; i++ {
		cluster.submit(wire.Job{Kind: wire.KindService, Tasks: []int{1, 2, 4, 8, 12}[i%5], GPUs: []float64{4, 2, 1, 1, 1}[i%5]})
	}
	for i := 0; i < arrays; i++ {
		cluster.submit(wire.Job{Kind: wire.KindArray, Tasks: 30 + cluster.random.Intn(120), GPUs: 1})
	}
	for s := 0; s < seconds; s++ {
		cluster.runFor(time.Second)
		if s%3 == 0 {
			cluster.submit(wire.Job{Kind: wire.KindService, Tasks: []int{1, 2, 4, 8, 12}[s/3%5], GPUs: []float64{4, 2, 1, 1, 1}[s/3%5]})
			if len(cluster.liveServices) > services {
				cluster.lastRequest++
				cluster.step(cluster.nodes[s%len(cluster.nodes)], core.CancelJob{RequestID: cluster.lastRequest << 16, ID: cluster.liveServices[0]})
				cluster.liveServices = cluster.liveServices[1:]
			}
		}
		if s%10 == 0 {
			cluster.submit(wire.Job{Kind: wire.KindArray, Tasks: 30 + cluster.random.Intn(120), GPUs: 1})
		}
	}
}

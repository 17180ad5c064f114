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
	t              reporter
	now            time.Duration
	rnd            *rand.Rand
	store          *emulator.Store
	set            *config.Settings
	op             *config.Operator
	memory         float64              // MB a node may use
	evaluationCost time.Duration        // what an evaluation takes a node; 0: nobody measures it
	large          bool                 // settings of a fleet of about 1,000 machines, not of 200
	adjust         func(*config.Params) // changes the settings; nil: they stay
	measured       bool                 // steps take what they really take, and are counted in spent and longest
	spent, longest time.Duration
	specs          map[string]*wire.Job
	holders        map[string]*scaleWorker // of tasks, from their start to their end
	started        int
	apart          string         // workers of this zone can't reach nodes of the first one, nor they them
	polled         any            // the last answer to a user
	told           map[uint64]int // statuses of answers to users by request; nil: they are not kept
	logged         map[string]int // settings that are too small, by field
	cloudRate      float64        // requests a second that the cloud takes; 0: all
	cloudTokens    float64
	// intercept may give the result of a call in place of the world, and onAnswer take an answer.
	intercept func(*scaleNode, core.Effect) (core.Result, bool)
	onAnswer  func(core.Response) bool
	frozen    string // a node whose process stands still
	// prefetched counts the images that are asked for ahead of need, and prefetchOutcome is what becomes of that.
	prefetched      int
	prefetchOutcome outcome.Outcome
	// onStart, onRuns and onEnds are told of tasks' starts and ends.
	onStart        func(task string)
	onRuns         func(machine, task string)
	onEnds         func(task string)
	cloudAt        time.Duration
	tooMany        int // requests above that
	nodes          []*scaleNode
	workers        []*scaleWorker
	byAddr, byName map[string]*scaleWorker
	rented         int
	most           int // machines that the cloud has
	jobs           int
	live           []string // services that are accepted, oldest first
	req            uint64

	counted scaleCounts
	digest  *outputDigest // nil: none is made
}

type scaleCounts struct {
	txns, writes, bytes, gets, lists, pages, orders, checkins int
	largest, body                                             int // changes and bytes in a transaction, at most
	atOnce                                                    int // calls to workers, at most
	released                                                  int // machines with work on them
}

type scaleNode struct {
	name    string
	zone    string
	core    *core.Core
	results []core.Result
	watches []scaleWatch
	asked   int           // workers, without an answer yet
	took    time.Duration // the last step
}

type scaleWatch struct {
	core.StoreWatch
	opened time.Duration
}

const scaleStep = 10 * time.Millisecond

func newScaleCluster(t reporter, nodes, machines int) *scaleCluster {
	y := &scaleCluster{t: t, now: time.Second, rnd: rand.New(rand.NewSource(1)), store: emulator.NewStore(),
		byAddr: map[string]*scaleWorker{}, byName: map[string]*scaleWorker{}, specs: map[string]*wire.Job{}, logged: map[string]int{}, prefetchOutcome: outcome.OK, holders: map[string]*scaleWorker{}, most: machines, op: config.DefaultOperator(), memory: 98}
	for i := 0; i < nodes; i++ {
		y.nodes = append(y.nodes, &scaleNode{name: fmt.Sprintf("n%d", i), zone: []string{"z1", "z2"}[i%2]})
	}
	for i := range y.nodes {
		y.start(i)
	}
	for _, n := range y.nodes {
		y.step(n, core.Tick{})
	}
	return y
}

// newLargeScaleCluster has the settings of a fleet of about 1,000 machines.
func newLargeScaleCluster(tb testing.TB, nodes, machines int) *scaleCluster {
	tb.Helper()
	y := newScaleCluster(tb, nodes, machines)
	y.large = true
	for i := range y.nodes {
		y.start(i)
	}
	y.pass(3 * time.Second)
	return y
}

func (y *scaleCluster) settings(i int) *config.Settings {
	s := &config.Settings{Node: y.nodes[i].name, Zone: []string{"z1", "z2"}[i%2], Operator: y.op}
	for k, n := range y.nodes {
		if k != i {
			s.Peers = append(s.Peers, config.Peer{Node: n.name, Zone: []string{"z1", "z2"}[k%2], Addr: "127.0.0.1:1"})
		}
	}
	s.Params = config.Params{Nodes: len(y.nodes), Zones: []string{"z1", "z2"}, ClockErrorMS: 5,
		Workers: config.Workers{HeartbeatIntervalS: 1, LeaseS: 10, CancelS: 30},
		Store:   config.Store{RPS: 150, WriteRPS: 60, ValueKB: 16, TxnOps: 12},
		Cloud:   config.Cloud{RPS: 2, ListLagS: 5},
		Limits:  config.Limits{CPUShare: 0.06, MemoryMB: y.memory, MaxConnections: 600}}
	share := 1.0
	if y.large {
		share = 5
		s.Params.Workers = config.Workers{HeartbeatIntervalS: 2.5, LeaseS: 15, CancelS: 35}
		s.Params.Store.RPS, s.Params.Store.WriteRPS, s.Params.Cloud.RPS = 600, 220, 4
		s.Params.Limits = config.Limits{CPUShare: 0.2, MemoryMB: 320, MaxConnections: 2000}
	}
	for k := 0; k < 12; k++ {
		s.Params.Teams = append(s.Params.Teams, config.Team{Name: fmt.Sprintf("t%d", k), GuaranteedGPUs: 100 * share, MaxGPUs: 300 * share})
	}
	if y.adjust != nil {
		y.adjust(&s.Params)
	}
	return s
}

// start makes a node's process anew.
func (y *scaleCluster) start(i int) {
	y.set = y.settings(i)
	n := y.nodes[i]
	n.results, n.watches = nil, nil
	n.core = core.New(y.set, fmt.Sprint(n.name, y.now))
}

func (y *scaleCluster) step(n *scaleNode, in core.Input) {
	took := time.Duration(n.core.LastEvaluations()) * y.evaluationCost
	if y.measured {
		took = n.took
	}
	began := time.Now()
	effects := n.core.Step(core.Time{Steady: y.now, WallMS: int64(y.now / time.Millisecond), Took: took}, in)
	n.took = time.Since(began)
	y.spent += n.took
	y.longest = max(y.longest, n.took)
	for _, e := range append([]core.Effect(nil), effects...) {
		if y.digest != nil {
			y.digest.add(y.t, y.now, n.name, e)
		}
		if r, ok := y.carryOut(n, e); ok {
			r.SentAt = y.now
			n.results = append(n.results, r)
		}
	}
}

// pass lets time pass.
func (y *scaleCluster) pass(d time.Duration) {
	for end := y.now + d; y.now < end; {
		y.now += scaleStep
		y.store.AdvanceTo(y.now)
		for _, n := range y.nodes {
			if n.name == y.frozen {
				continue
			}
			results := n.results
			n.results, n.asked = nil, 0
			for _, r := range results {
				y.step(n, r)
			}
			watches := n.watches
			n.watches = nil
			for _, w := range watches {
				ch, o := y.store.Changes(w.Prefix, w.After)
				if len(ch.Events) == 0 && y.now-w.opened < w.Wait {
					n.watches = append(n.watches, w)
					continue
				}
				y.step(n, core.Result{CallID: w.CallID, Outcome: o, Changes: ch, SentAt: w.opened})
			}
			if n.core.Wake() <= y.now {
				y.step(n, core.Tick{})
			}
		}
		for _, w := range y.workers {
			if !w.dead && w.up <= y.now {
				w.live(y)
			}
		}
	}
}

// submit hands in a job. The first letter of its number tells what it is.
func (y *scaleCluster) submit(j wire.Job) {
	y.jobs++
	y.req++
	j.Class, j.CPUs, j.MemoryGB, j.Priority = "c", 4*j.GPUs, 20*j.GPUs, map[bool]wire.Priority{true: "standard", false: "prod"}[j.Kind == wire.KindArray]
	j.ID = fmt.Sprintf("run-%s%05d", map[bool]string{true: "a", false: "0"}[j.Kind == wire.KindArray], y.jobs)
	j.Team = fmt.Sprintf("t%d", y.jobs%12)
	j.Image, j.ImageGB = fmt.Sprintf("img-%d", y.rnd.Intn(30)), 35
	if j.Kind == wire.KindService {
		y.live = append(y.live, j.ID)
	} else {
		j.EstimatedRunS, j.Spot, j.CheckpointIntervalS, j.CheckpointTimeS = 60, true, 15, 3
	}
	y.hand(y.nodes[y.jobs%len(y.nodes)], &j)
}

// hand has a user upload a job and submit it at a node.
func (y *scaleCluster) hand(n *scaleNode, j *wire.Job) {
	y.req++
	y.specs[j.ID] = j
	y.step(n, core.SubmitJob{RequestID: y.req << 16, Job: j})
}

// have brings machines up that were there before, in some zones in turn, or in the first one.
func (y *scaleCluster) have(n int, zones ...string) {
	if len(zones) == 0 {
		zones = []string{"z1"}
	}
	y.most += n
	for i := range n {
		y.rent(core.CloudScaleOut{Request: wire.ScaleOutRequest{Count: 1, Zone: zones[i%len(zones)]}})
	}
	for _, w := range y.workers {
		w.up = 0
	}
}

// crash ends the process of the node that leads, and starts it anew.
func (y *scaleCluster) crash() {
	for i, n := range y.nodes {
		if n.core.PeerStatus().Leading {
			y.start(i)
			y.step(n, core.Tick{})
			return
		}
	}
	y.t.Fatal("no node leads")
}

// crashAny does the same, if a node leads.
func (y *scaleCluster) crashAny() {
	if y.leaderNode() != nil {
		y.crash()
	}
}

// day plays a fleet that fills up and stays full.
func (y *scaleCluster) day(services, arrays int, seconds int) {
	for i := 0; i < services; i++ {
		y.submit(wire.Job{Kind: wire.KindService, Tasks: []int{1, 2, 4, 8, 12}[i%5], GPUs: []float64{4, 2, 1, 1, 1}[i%5]})
	}
	for i := 0; i < arrays; i++ {
		y.submit(wire.Job{Kind: wire.KindArray, Tasks: 30 + y.rnd.Intn(120), GPUs: 1})
	}
	for s := 0; s < seconds; s++ {
		y.pass(time.Second)
		if s%3 == 0 {
			y.submit(wire.Job{Kind: wire.KindService, Tasks: []int{1, 2, 4, 8, 12}[s/3%5], GPUs: []float64{4, 2, 1, 1, 1}[s/3%5]})
			if len(y.live) > services {
				y.req++
				y.step(y.nodes[s%len(y.nodes)], core.CancelJob{RequestID: y.req << 16, ID: y.live[0]})
				y.live = y.live[1:]
			}
		}
		if s%10 == 0 {
			y.submit(wire.Job{Kind: wire.KindArray, Tasks: 30 + y.rnd.Intn(120), GPUs: 1})
		}
	}
}

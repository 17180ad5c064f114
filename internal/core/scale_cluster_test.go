package core_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"

	"bitternwing/internal/call"
	"bitternwing/internal/config"
	"bitternwing/internal/core"
	"bitternwing/internal/standin"
	"bitternwing/internal/wire"
)

// scaleCluster is a large deployment around pure cores: a state service, a cloud and workers
// that report, fetch, run and obey. Time goes in steps; what is asked for in one is
// answered in the next. It counts what the nodes ask for.
type scaleCluster struct {
	t              testing.TB
	now            time.Duration
	rnd            *rand.Rand
	store          *standin.Store
	set            *config.Settings
	op             *config.Operator
	memory         float64              // MB a node may use
	evaluationCost time.Duration        // what an evaluation takes a node; 0: nobody measures it
	large          bool                 // settings of a fleet of about 1,000 machines, not of 200
	adjust         func(*config.Params) // changes the settings; nil: they stay
	measured       bool                 // steps take what they really take, and are counted in spent and longest
	spent, longest time.Duration
	holders        map[string]*scaleWorker // of tasks that have not exited
	started        int
	apart          string // workers of this zone can't reach nodes of the first one, nor they them
	polled         any    // the last answer to a user
	nodes          []*scaleNode
	workers        []*scaleWorker
	byAddr         map[string]*scaleWorker
	rented         int
	most           int // machines that the cloud has
	jobs           int
	live           []string // services that are accepted, oldest first
	req            uint64

	counted scaleCounts
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
	core.StateWatch
	opened time.Duration
}

type scaleWorker struct {
	index            int
	name, addr, zone string
	spot             bool
	up               time.Duration
	due, next        time.Duration // its next report; when a task goes on
	node             int
	seq, token       uint64
	tasks            map[string]*scaleTask
	dead             bool
}

type scaleTask struct {
	wire.TaskReport
	at time.Duration // when it goes on
}

const scaleStep = 10 * time.Millisecond

func newScaleCluster(t testing.TB, nodes, machines int) *scaleCluster {
	y := &scaleCluster{t: t, now: time.Second, rnd: rand.New(rand.NewSource(1)), store: standin.NewStore(),
		byAddr: map[string]*scaleWorker{}, holders: map[string]*scaleWorker{}, most: machines, op: config.DefaultOperator(), memory: 98}
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
func newLargeScaleCluster(t testing.TB, nodes, machines int) *scaleCluster {
	y := newScaleCluster(t, nodes, machines)
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
	s.Params = config.Params{Nodes: len(y.nodes), Zones: []string{"z1", "z2"}, ClockOffMS: 5,
		Workers: config.Workers{ReportS: 1, LeaseS: 10, CancelS: 30},
		State:   config.State{RPS: 150, WriteRPS: 60, ValueKB: 16, TxnOps: 12},
		Cloud:   config.Cloud{RPS: 2, ListLagS: 5},
		Limits:  config.Limits{CPUShare: 0.06, MemoryMB: y.memory, MaxConnections: 600}}
	share := 1.0
	if y.large {
		share = 5
		s.Params.Workers = config.Workers{ReportS: 2.5, LeaseS: 15, CancelS: 35}
		s.Params.State.RPS, s.Params.State.WriteRPS, s.Params.Cloud.RPS = 600, 220, 4
		s.Params.Limits = config.Limits{CPUShare: 0.2, MemoryMB: 320, MaxConnections: 2000}
	}
	for k := 0; k < 12; k++ {
		s.Params.Teams = append(s.Params.Teams, config.Team{Name: fmt.Sprintf("t%d", k), GPUs: 100 * share, GPUsMax: 300 * share})
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
		if r, ok := y.carryOut(n, e); ok {
			r.Sent = y.now
			n.results = append(n.results, r)
		}
	}
}

// pass lets time pass.
func (y *scaleCluster) pass(d time.Duration) {
	for end := y.now + d; y.now < end; {
		y.now += scaleStep
		y.store.At(y.now)
		for _, n := range y.nodes {
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
				y.step(n, core.Result{ID: w.ID, Outcome: o, Changes: ch, Sent: w.opened})
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

// live lets a worker's tasks go on and has it report.
func (w *scaleWorker) live(y *scaleCluster) {
	if y.now < w.due && y.now < w.next {
		return
	}
	w.next = y.now + time.Hour
	changed := false
	for _, name := range w.names() {
		t := w.tasks[name]
		if t.at > y.now {
			w.next = min(w.next, t.at)
		}
		if t.at == 0 || y.now < t.at {
			continue
		}
		changed = true
		switch t.State {
		case wire.TaskFetching:
			t.State, t.at = wire.TaskRunning, 0
			if t.Task[4] == 'a' { // an array's
				t.at = y.now + time.Duration(30+y.rnd.Intn(60))*time.Second
				w.next = min(w.next, t.at)
			}
		case wire.TaskRunning:
			t.State, t.Why, t.at = wire.TaskExited, wire.WhyDone, 0
			delete(y.holders, name)
		}
	}
	if early := w.due - y.now; early > 0 && (!changed || early >= 500*time.Millisecond) {
		return
	}
	report := config.Seconds(y.set.Params.Workers.ReportS)
	w.due = y.now + report*3/4 + time.Duration(y.rnd.Int63n(int64(report/2)))
	if y.blocked(y.nodes[w.node], w) {
		// No answer in 4 s: the next node, after 1 s.
		w.node = (w.node + 1) % len(y.nodes)
		w.due = y.now + 5*time.Second
		return
	}
	y.counted.checkins++
	y.req++
	y.step(y.nodes[w.node], core.Checkin{Req: y.req<<16 | uint64(w.index), Report: w.report()})
}

// blocked tells whether a node and a worker can't reach each other.
func (y *scaleCluster) blocked(n *scaleNode, w *scaleWorker) bool {
	return y.apart != "" && w.zone == y.apart && n.zone != y.apart
}

func (w *scaleWorker) names() []string { return slices.Sorted(maps.Keys(w.tasks)) }

func (w *scaleWorker) report() *wire.Report {
	w.seq++
	r := &wire.Report{Machine: w.name, Addr: w.addr, Type: "g8", Zone: w.zone, Spot: w.spot, Session: 1, Seq: w.seq, Token: w.token}
	for _, name := range w.names() {
		r.Tasks = append(r.Tasks, w.tasks[name].TaskReport)
	}
	return r
}

// obey carries out commands.
func (w *scaleWorker) obey(y *scaleCluster, token uint64, cmds []wire.Command) {
	if token < w.token {
		return
	}
	w.token, w.next = token, 0
	for _, c := range cmds {
		t := w.tasks[c.Task]
		switch c.Op {
		case wire.OpStart:
			if t != nil {
				continue
			}
			if x := y.holders[c.Task]; x != nil && x != w && !x.dead {
				y.t.Errorf("%s runs twice", c.Task)
			}
			y.holders[c.Task] = w
			y.started++
			w.tasks[c.Task] = &scaleTask{wire.TaskReport{Task: c.Task, Attempt: c.Attempt, State: wire.TaskFetching},
				y.now + time.Duration(2+y.rnd.Intn(8))*time.Second}
		case wire.OpStop:
			if t != nil && t.Attempt == c.Attempt && t.State != wire.TaskExited {
				t.State, t.Why, t.at = wire.TaskExited, wire.WhyStopped, 0
				delete(y.holders, c.Task)
			}
		case wire.OpForget:
			if t != nil && t.Attempt == c.Attempt && t.State == wire.TaskExited {
				delete(w.tasks, c.Task)
			}
		}
	}
}

func (y *scaleCluster) carryOut(n *scaleNode, e core.Effect) (core.Result, bool) {
	c := &y.counted
	switch e := e.(type) {
	case core.Answer:
		switch b := e.Body.(type) {
		case wire.ReportAnswer:
			y.workers[e.Req&0xffff].obey(y, b.Token, b.Commands)
		case wire.Redirect:
			w := y.workers[e.Req&0xffff]
			w.node = (w.node + 1) % len(y.nodes)
			for i, x := range y.nodes {
				if x.name == b.Leader {
					w.node = i
				}
			}
		default:
			y.polled = e.Body
		}
	case core.StateTxn:
		c.txns++
		c.writes += len(e.Txn.Then)
		c.largest = max(c.largest, len(e.Txn.Then))
		for _, op := range e.Txn.Then {
			c.bytes += len(op.Value)
		}
		if body, err := json.Marshal(e.Txn); err != nil || len(body) > wire.MaxBody || len(e.Txn.If) > 4*y.set.Params.State.TxnOps {
			y.t.Errorf("a transaction of %d bytes, %d conditions: %v", len(body), len(e.Txn.If), err)
		} else {
			c.body = max(c.body, len(body))
		}
		r := core.Result{ID: e.ID}
		r.Txn, r.Outcome = y.store.Txn(e.Txn)
		return r, true
	case core.StateGet:
		c.gets++
		it, o := y.store.Get(e.Key)
		return core.Result{ID: e.ID, Outcome: o, Item: it}, true
	case core.StateList:
		c.lists++
		return core.Result{ID: e.ID, Outcome: call.OK, Page: y.store.List(e.Prefix, e.After, 500)}, true
	case core.StateGrant:
		return core.Result{ID: e.ID, Outcome: call.OK, Lease: y.store.Grant(e.TTL)}, true
	case core.StateExtend:
		return core.Result{ID: e.ID, Outcome: y.store.Extend(e.Lease)}, true
	case core.StateRevoke:
		return core.Result{ID: e.ID, Outcome: y.store.Revoke(e.Lease)}, true
	case core.StateWatch:
		n.watches = append(n.watches, scaleWatch{e, y.now})
	case core.CloudCatalog:
		return core.Result{ID: e.ID, Outcome: call.OK, Catalog: catalog}, true
	case core.CloudRent:
		return y.rent(e), true
	case core.CloudRelease:
		for _, name := range e.Names {
			for _, w := range y.workers {
				if w.name == name && !w.dead {
					w.dead = true
					y.rented--
					if len(w.tasks) > 0 {
						c.released++
					}
				}
			}
		}
		return core.Result{ID: e.ID, Outcome: call.OK}, true
	case core.CloudList:
		r := core.Result{ID: e.ID, Outcome: call.OK}
		for _, w := range y.workers {
			if w.dead || w.name <= e.After {
				continue
			}
			if len(r.Machines.Machines) == wire.MaxList {
				r.Machines.More = true
				break
			}
			r.Machines.Machines = append(r.Machines.Machines, wire.Machine{Name: w.name, Addr: w.addr, Type: "g8",
				Zone: w.zone, Spot: w.spot, State: wire.MachineRunning})
		}
		c.pages++
		return r, true
	case core.WorkerOrders:
		c.orders++
		n.asked++
		c.atOnce = max(c.atOnce, n.asked)
		if w := y.byAddr[e.Addr]; w != nil && !w.dead && !y.blocked(n, w) {
			w.obey(y, e.Token, e.Commands)
			return core.Result{ID: e.ID, Outcome: call.OK, Report: *w.report()}, true
		}
		return core.Result{ID: e.ID, Outcome: call.Unknown}, true
	case core.WorkerInspect:
		n.asked++
		c.atOnce = max(c.atOnce, n.asked)
		if w := y.byAddr[e.Addr]; w != nil && !w.dead && !y.blocked(n, w) {
			return core.Result{ID: e.ID, Outcome: call.OK, Report: *w.report()}, true
		}
		return core.Result{ID: e.ID, Outcome: call.Unknown}, true
	case core.PeerAsk:
		for _, p := range y.nodes {
			if p.name == e.Node {
				return core.Result{ID: e.ID, Outcome: call.OK, Peer: p.core.PeerStatus()}, true
			}
		}
	}
	return core.Result{}, false
}

func (y *scaleCluster) rent(e core.CloudRent) core.Result {
	r := core.Result{ID: e.ID, Outcome: call.OK}
	for i := 0; i < e.Request.Count && y.rented < y.most; i++ {
		y.rented++
		w := &scaleWorker{index: len(y.workers), name: fmt.Sprintf("m%04d", len(y.workers)+1), zone: e.Request.Zone, spot: e.Request.Spot,
			up: y.now + 5*time.Second + time.Duration(y.rnd.Intn(3000))*time.Millisecond, tasks: map[string]*scaleTask{}}
		w.addr = w.name + ":9000"
		y.byAddr[w.addr] = w
		y.workers = append(y.workers, w)
		r.Names = append(r.Names, w.name)
	}
	if len(r.Names) == 0 {
		r.Outcome = call.Refused
	}
	return r
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
		j.EstimateS, j.Spot, j.Checkpoint, j.SaveS = 60, true, 15, 3
	}
	y.step(y.nodes[y.jobs%len(y.nodes)], core.Submit{Req: y.req << 16, Job: &j})
}

// have brings machines up that were there before.
func (y *scaleCluster) have(n int) {
	y.most += n
	y.rent(core.CloudRent{Request: wire.RentRequest{Count: n, Zone: "z1"}})
	for _, w := range y.workers {
		w.up = 0
	}
}

// crash ends the process of the node that leads, and starts it anew.
func (y *scaleCluster) crash() {
	for i, n := range y.nodes {
		if n.core.PeerStatus().Leads {
			y.start(i)
			y.step(n, core.Tick{})
			return
		}
	}
	y.t.Fatal("no node leads")
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
				y.step(y.nodes[s%len(y.nodes)], core.Cancel{Req: y.req << 16, ID: y.live[0]})
				y.live = y.live[1:]
			}
		}
		if s%10 == 0 {
			y.submit(wire.Job{Kind: wire.KindArray, Tasks: 30 + y.rnd.Intn(120), GPUs: 1})
		}
	}
}

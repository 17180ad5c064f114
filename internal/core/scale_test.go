package core_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"bitternwing/internal/call"
	"bitternwing/internal/config"
	"bitternwing/internal/core"
	"bitternwing/internal/standin"
	"bitternwing/internal/wire"
)

// yard is a large deployment around pure cores: a state service, a cloud and workers
// that report, fetch, run and obey. Time goes in steps; what is asked for in one is
// answered in the next. It counts what the nodes ask for.
type yard struct {
	t       testing.TB
	now     time.Duration
	rnd     *rand.Rand
	store   *standin.Store
	set     *config.Settings
	op      *config.Operator
	memory  float64       // MB a node may use
	look    time.Duration // what a look takes a node; 0: nobody measures it
	large   bool          // settings of a fleet of about 1,000 machines, not of 200
	apart   string        // workers of this zone can't reach nodes of the first one, nor they them
	polled  any           // the last answer to a user
	nodes   []*yardNode
	workers []*yardWorker
	byAddr  map[string]*yardWorker
	rented  int
	most    int // machines that the cloud has
	jobs    int
	live    []string // services that are accepted, oldest first
	req     uint64

	counted yardCounts
}

type yardCounts struct {
	txns, writes, bytes, gets, lists, pages, orders, checkins int
	largest, body                                             int // changes and bytes in a transaction, at most
	atOnce                                                    int // calls to workers, at most
	released                                                  int // machines with work on them
}

type yardNode struct {
	name    string
	zone    string
	core    *core.Core
	results []core.Result
	watches []yardWatch
	asked   int // workers, without an answer yet
}

type yardWatch struct {
	core.StateWatch
	opened time.Duration
}

type yardWorker struct {
	name, addr, zone string
	spot             bool
	up               time.Duration
	due, next        time.Duration // its next report; when a task goes on
	node             int
	seq, token       uint64
	tasks            map[string]*yardTask
	dead             bool
}

type yardTask struct {
	wire.TaskReport
	at time.Duration // when it goes on
}

const yardStep = 10 * time.Millisecond

func newYard(t testing.TB, nodes, machines int) *yard {
	y := &yard{t: t, now: time.Second, rnd: rand.New(rand.NewSource(1)), store: standin.NewStore(),
		byAddr: map[string]*yardWorker{}, most: machines, op: config.DefaultOperator(), memory: 98}
	for i := 0; i < nodes; i++ {
		y.nodes = append(y.nodes, &yardNode{name: fmt.Sprintf("n%d", i), zone: []string{"z1", "z2"}[i%2]})
	}
	for i := range y.nodes {
		y.start(i)
	}
	for _, n := range y.nodes {
		y.step(n, core.Tick{})
	}
	return y
}

// newLargeYard has the settings of a fleet of about 1,000 machines.
func newLargeYard(t testing.TB, nodes, machines int) *yard {
	y := newYard(t, nodes, machines)
	y.large = true
	for i := range y.nodes {
		y.start(i)
	}
	y.pass(3 * time.Second)
	return y
}

func (y *yard) settings(i int) *config.Settings {
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
	return s
}

// start makes a node's process anew.
func (y *yard) start(i int) {
	y.set = y.settings(i)
	n := y.nodes[i]
	n.results, n.watches = nil, nil
	n.core = core.New(y.set, fmt.Sprint(n.name, y.now))
}

func (y *yard) step(n *yardNode, in core.Input) {
	took := time.Duration(n.core.LastLooks()) * y.look
	effects := n.core.Step(core.Time{Steady: y.now, WallMS: int64(y.now / time.Millisecond), Took: took}, in)
	for _, e := range append([]core.Effect(nil), effects...) {
		if r, ok := y.carryOut(n, e); ok {
			r.Sent = y.now
			n.results = append(n.results, r)
		}
	}
}

// pass lets time pass.
func (y *yard) pass(d time.Duration) {
	for end := y.now + d; y.now < end; {
		y.now += yardStep
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
func (w *yardWorker) live(y *yard) {
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
	y.step(y.nodes[w.node], core.Checkin{Req: y.req<<16 | uint64(w.index(y)), Report: w.report()})
}

// blocked tells whether a node and a worker can't reach each other.
func (y *yard) blocked(n *yardNode, w *yardWorker) bool {
	return y.apart != "" && w.zone == y.apart && n.zone != y.apart
}

func (w *yardWorker) index(y *yard) int {
	for i, x := range y.workers {
		if x == w {
			return i
		}
	}
	return 0
}

func (w *yardWorker) names() []string { return slices.Sorted(maps.Keys(w.tasks)) }

func (w *yardWorker) report() *wire.Report {
	w.seq++
	r := &wire.Report{Machine: w.name, Addr: w.addr, Type: "g8", Zone: w.zone, Spot: w.spot, Session: 1, Seq: w.seq, Token: w.token}
	for _, name := range w.names() {
		r.Tasks = append(r.Tasks, w.tasks[name].TaskReport)
	}
	return r
}

// obey carries out commands.
func (w *yardWorker) obey(y *yard, token uint64, cmds []wire.Command) {
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
			for _, x := range y.workers {
				if t := x.tasks[c.Task]; x != w && !x.dead && t != nil && t.State != wire.TaskExited {
					y.t.Errorf("%s runs twice", c.Task)
				}
			}
			w.tasks[c.Task] = &yardTask{wire.TaskReport{Task: c.Task, Attempt: c.Attempt, State: wire.TaskFetching},
				y.now + time.Duration(2+y.rnd.Intn(8))*time.Second}
		case wire.OpStop:
			if t != nil && t.Attempt == c.Attempt && t.State != wire.TaskExited {
				t.State, t.Why, t.at = wire.TaskExited, "stopped", 0
			}
		case wire.OpForget:
			if t != nil && t.Attempt == c.Attempt && t.State == wire.TaskExited {
				delete(w.tasks, c.Task)
			}
		}
	}
}

func (y *yard) carryOut(n *yardNode, e core.Effect) (core.Result, bool) {
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
		n.watches = append(n.watches, yardWatch{e, y.now})
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

func (y *yard) rent(e core.CloudRent) core.Result {
	r := core.Result{ID: e.ID, Outcome: call.OK}
	for i := 0; i < e.Request.Count && y.rented < y.most; i++ {
		y.rented++
		w := &yardWorker{name: fmt.Sprintf("m%04d", len(y.workers)+1), zone: e.Request.Zone, spot: e.Request.Spot,
			up: y.now + 5*time.Second + time.Duration(y.rnd.Intn(3000))*time.Millisecond, tasks: map[string]*yardTask{}}
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
func (y *yard) submit(j wire.Job) {
	y.jobs++
	y.req++
	j.Class, j.CPUs, j.MemoryGB, j.Priority = "c", 4*j.GPUs, 20*j.GPUs, map[bool]string{true: "standard", false: "prod"}[j.Kind == wire.KindArray]
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
func (y *yard) have(n int) {
	y.most += n
	y.rent(core.CloudRent{Request: wire.RentRequest{Count: n, Zone: "z1"}})
	for _, w := range y.workers {
		w.up = 0
	}
}

// crash ends the process of the node that leads, and starts it anew.
func (y *yard) crash() {
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
func (y *yard) day(services, arrays int, seconds int) {
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

// TestScale plays a full fleet of 1,000 machines with seven nodes through a minute of
// work, a leader's end included, and counts what it asks of the state service and how many
// workers it calls at once.
func TestScale(t *testing.T) {
	y := newLargeYard(t, 7, 1000)
	y.day(500, 60, 60)
	if y.rented < 600 {
		t.Fatalf("only %d machines are up: the day is too small to tell", y.rented)
	}
	y.counted = yardCounts{}
	y.crash()
	const seconds = 60
	y.day(0, 0, seconds)
	c, p := y.counted, y.set.Params.State
	t.Logf("%d machines, %d reports, %+v", y.rented, c.checkins, c)
	if c.checkins < seconds*200 {
		t.Errorf("%d reports: the workers do not report", c.checkins)
	}
	if n := c.txns + c.gets + c.lists; float64(n) > 0.9*seconds*p.RPS {
		t.Errorf("%d requests to the state service in %d s, of %v a second", n, seconds, p.RPS)
	}
	if float64(c.writes) > 0.9*seconds*p.WriteRPS {
		t.Errorf("%d writes in %d s, of %v a second", c.writes, seconds, p.WriteRPS)
	}
	if most := y.set.Params.Limits.MaxConnections / 8; c.atOnce > most || c.atOnce == 0 {
		t.Errorf("%d calls to workers at once, of %d", c.atOnce, most)
	}
	// The cloud's list has two pages, and it is read every list lag.
	if lists := seconds / int(y.set.Params.Cloud.ListLagS); c.released > 0 || c.pages < 2*lists-2 {
		t.Errorf("%d machines with work were released; %d pages of %d lists", c.released, c.pages, lists)
	}
	if c.largest > p.TxnOps {
		t.Errorf("a transaction with %d changes, of %d", c.largest, p.TxnOps)
	}
}

// TestZoneKept cuts the workers of a large zone off from the leader's. Nodes of their own
// zone keep them, and pass on more reports than one transaction holds: the leader releases
// none of them, however long it lasts.
func TestZoneKept(t *testing.T) {
	y := newLargeYard(t, 3, 0)
	y.have(400)
	for i, w := range y.workers {
		w.zone = []string{"z1", "z2"}[i%2]
	}
	y.day(400, 0, 20)
	y.counted = yardCounts{}
	y.apart = "z2"
	y.pass(60 * time.Second)
	if n := y.counted.released; n > 0 || len(y.store.Keys("w/k/")) < 6 {
		t.Errorf("%d machines of the zone were released, reports are in %v", n, y.store.Keys("w/k/"))
	}
	t.Logf("%+v", y.counted)
}

// TestWorkFollowsChange plays the same jobs on a fleet of 50 and of 200 machines. What is
// asked of the state service and of the workers follows the jobs, not the fleet.
func TestWorkFollowsChange(t *testing.T) {
	play := func(machines int) yardCounts {
		y := newYard(t, 3, 0)
		y.have(machines)
		y.pass(10 * time.Second)
		y.counted = yardCounts{}
		y.day(10, 2, 30)
		return y.counted
	}
	few, many := play(50), play(200)
	t.Logf("50 machines %+v", few)
	t.Logf("200 machines %+v", many)
	more := func(what string, a, b int, times float64) {
		if a == 0 || float64(b) > times*float64(a) {
			t.Errorf("%s: %d on 50 machines, %d on 200", what, a, b)
		}
	}
	more("transactions", few.txns, many.txns, 1.2)
	more("writes", few.writes, many.writes, 1.2)
	more("bytes written", few.bytes, many.bytes, 1.2)
	// With more machines the same tasks are on more of them.
	more("orders", few.orders, many.orders, 1.5)
}

// TestRoundBudget plays a full fleet, more jobs than it holds, under a budget of a few
// looks at it a second. The rounds keep within it, and a service and an array that come
// then get their turn all the same once there is room.
func TestRoundBudget(t *testing.T) {
	y := newYard(t, 1, 0)
	y.op.RoundBudget = 0.001
	y.start(0)
	y.have(100)
	const seconds = 120
	y.day(150, 20, seconds)
	n := y.nodes[0].core
	// A round that is out of budget, two a second at the most, still makes a step.
	most := n.LooksPerSecond()*seconds + 2*seconds*2*100
	t.Logf("%d looks of %.0f, %+v", n.Looks(), most, y.counted)
	if looks := float64(n.Looks()); looks > most || looks < most/5 {
		t.Errorf("%.0f looks in %d s, of %.0f", looks, seconds, most)
	}
	for _, kind := range []string{"run-0", "run-a"} {
		late := 0
		for _, w := range y.workers {
			for task := range w.tasks {
				if strings.HasPrefix(task, kind) && task[5:10] > "00175" {
					late++
				}
			}
		}
		if late == 0 {
			t.Errorf("no task of a late job %s runs", kind)
		}
	}
}

// TestSlowProcessor plays rounds on a processor on which a look takes fifty times what is
// assumed at first. Once that is measured, rounds keep to their share of the time.
func TestSlowProcessor(t *testing.T) {
	y := newYard(t, 1, 0)
	y.look = 5 * time.Microsecond
	y.have(200)
	y.day(200, 40, 30)
	n := y.nodes[0].core
	before := n.Looks()
	const seconds = 60
	y.day(100, 40, seconds)
	spent := time.Duration(n.Looks()-before) * y.look
	share := time.Duration(y.op.RoundBudget * y.set.Params.Limits.CPUShare * seconds * float64(time.Second))
	t.Logf("%v of %v", spent, share)
	if spent > share*3/2 || spent < share/20 {
		t.Errorf("rounds took %v, of %v", spent, share)
	}
}

// TestFinishedJobsAreBounded ends more jobs than a node remembers. What it remembers stays
// within the bound, and a job that it forgot is answered from the state service.
func TestFinishedJobsAreBounded(t *testing.T) {
	y := newYard(t, 2, 0)
	y.memory = 0.2 // 20 final states
	for i := range y.nodes {
		y.start(i)
	}
	y.have(4)
	y.pass(3 * time.Second)
	for i := 0; i < 60; i++ {
		y.submit(wire.Job{Kind: wire.KindService, Tasks: 1, GPUs: 1})
		y.pass(200 * time.Millisecond)
		y.req++
		y.step(y.nodes[0], core.Cancel{Req: y.req << 16, ID: y.live[i]})
	}
	y.pass(40 * time.Second)
	if n := len(y.store.Keys("f/")); n != 60 {
		t.Fatalf("%d jobs ended, of 60", n)
	}
	for _, n := range y.nodes {
		if k := n.core.Finals(); k == 0 || k > 20 {
			t.Errorf("%s remembers %d final states, of 20", n.name, k)
		}
	}
	gets := y.counted.gets
	y.req++
	y.polled = nil
	y.step(y.nodes[1], core.Poll{Req: y.req << 16, ID: y.live[0]})
	y.pass(time.Second)
	if s, ok := y.polled.(wire.JobState); !ok || s.State != wire.JobCancelled || y.counted.gets == gets {
		t.Errorf("the first job is answered %+v after %d reads", y.polled, y.counted.gets-gets)
	}
}

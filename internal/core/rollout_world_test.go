package core_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
	"bitternwing/internal/rollout"
	"bitternwing/internal/wire"
)

// rolloutWorld is a small cluster in which a plan is carried out: model servers that answer rightly or not, routers
// that ask for their routing, a state service that fails. It checks at all times what a rollout promises.
type rolloutWorld struct {
	*scaleCluster
	plan    *rollout.Plan
	routers []*simRouter

	wrong       func(task string) bool // whether a replica answers wrongly; nil: none does
	wrongAt     time.Duration          // since when
	tolerance   time.Duration          // for how long it may go on then
	unreachable func(task string) bool // whether probes don't reach a replica; nil: they do
	outdated    string                 // a node of a version without plans
	taken       bool                   // machines were taken away: the promise is not the rollout's alone any more
	stateTroubles

	asked     time.Duration
	lastPhase rollout.Phase
	phases    []string
}

// simRouter is a router that keeps to the protocol of leases.
type simRouter struct {
	name    string
	cut     bool // from all controllers
	cutFrom string
	held    core.RoutingGrant
	until   time.Duration
	// grantedAt is when it asked for what it holds; unanswered tells that it has asked in vain since.
	grantedAt  time.Duration
	unanswered bool
}

// weights gives the shares by which a router goes now.
func (r *simRouter) weights(now time.Duration) []rollout.Weight {
	if now < r.until {
		return r.held.Routing.Weights
	}
	return r.held.Routing.Fallback
}

const (
	oldJobs, newJobs = 2, 2
	replicasOfJob    = 2
	modelPort        = "8000"
)

func oldJob(i int) string { return fmt.Sprintf("run-0000%02d", 1+i) }
func newJob(i int) string { return fmt.Sprintf("run-0000%02d", 11+i) }

// newRolloutWorld has the old version whole, and the nodes ready to take a plan.
func newRolloutWorld(t reporter) *rolloutWorld {
	y := newScaleCluster(t, 3, 0)
	w := &rolloutWorld{scaleCluster: y}
	y.digest = newOutputDigest()
	y.op.Rollouts.Enabled, y.op.Rollouts.CheckIntervalS, y.op.Rollouts.CheckTimeoutS, y.op.Rollouts.RouterLeaseS = true, 0.5, 1, 4
	y.op.IdleBoots = 100
	y.intercept = w.interceptCall
	y.restart()
	y.have(8, "z1", "z2")
	y.pass(4 * time.Second)
	w.plan = &rollout.Plan{Name: "reader", Team: "t1", Old: rollout.Fleet{ReplicaCapacity: 10}, New: rollout.Fleet{ReplicaCapacity: 10}, PromisedCapacity: 30,
		Checks: []rollout.Check{{Name: "sum", Request: json.RawMessage(`{}`), Expected: json.RawMessage(`1`), Script: "-"},
			{Name: "as before", Request: json.RawMessage(`{}`), CompareWithOld: true, Script: "-"}},
		Limits: rollout.Limits{WaitS: 60, UnreachableS: 20, RouterGoneS: 20, KeepS: 30}}
	for i := range oldJobs {
		w.plan.Old.Jobs = append(w.plan.Old.Jobs, oldJob(i))
		w.submitReplica(oldJob(i))
	}
	for i := range newJobs {
		w.plan.New.Jobs = append(w.plan.New.Jobs, newJob(i))
		w.plan.Steps = append(w.plan.Steps, rollout.Step{Jobs: []string{newJob(i)}, Share: float64(i+1) / newJobs, BakeS: 3})
	}
	w.tolerance = detection
	w.routers = []*simRouter{{name: "north"}, {name: "south"}}
	w.advance(15 * time.Second)
	return w
}

func replicaJob(id, team string) *wire.Job {
	return &wire.Job{ID: id, Kind: wire.KindService, Class: "c", Team: team, Tasks: replicasOfJob, CPUs: 4, GPUs: 2, MemoryGB: 20,
		Priority: "prod", Image: "img-" + id[8:9], ImageGB: 4}
}

func (w *rolloutWorld) submitReplica(id string) { w.hand(w.nodes[0], replicaJob(id, "t1")) }

// submitNew has the owner submit the new jobs, again until they are accepted.
func (w *rolloutWorld) submitNew() {
	for i := range newJobs {
		for range 100 {
			if _, got := w.store.Get("w/a/" + newJob(i)); got == outcome.OK {
				break
			}
			w.submitReplica(newJob(i))
			w.advance(200 * time.Millisecond)
		}
	}
}

// interceptCall plays what the state service and the replicas do.
func (w *rolloutWorld) interceptCall(n *scaleNode, e core.Effect) (core.Result, bool) {
	switch e := e.(type) {
	case core.QueryPeer:
		if e.Node == w.outdated {
			// A version without plans: it says nothing of them.
			r, ok := w.askPeer(e)
			r.Peer.SupportsRollouts = false
			return r, ok
		}
	case core.ProbeReplica:
		answer := w.probe(e.Probe.Replica)
		compares := slices.ContainsFunc(e.Checks, func(c rollout.Check) bool { return c.CompareWithOld })
		if answer.Verdict == rollout.Passed && compares && (e.Probe.Reference == nil || w.probe(*e.Probe.Reference).Verdict != rollout.Passed) {
			answer = rollout.ProbeResult{Verdict: rollout.NotCompared, Check: "as before"}
		}
		return core.Result{CallID: e.CallID, Outcome: outcome.OK, Probe: answer}, true
	}
	return w.interceptState(n.name, w.store, e)
}

// stateCallID gives the id of a call to the state service; watches stay open through an outage.
func stateCallID(e core.Effect) (uint64, bool) {
	switch e.(type) {
	case core.StoreGet, core.StoreList, core.StoreTxn, core.StoreGrantLease, core.StoreRenewLease, core.StoreRevokeLease:
		return idOf(e), true
	}
	return 0, false
}

// answerWrongly has some of the new replicas answer wrongly from now on. Old ones are asked for their health alone.
func (w *rolloutWorld) answerWrongly(wrong func(task string) bool) {
	w.wrong, w.wrongAt = wrong, w.now
}

// detection is the time in which a fault of a replica is found, and routers hear of it: a check, and two questions
// of a router, of which one may meet a node that does not know the leader.
const detection = 2 * time.Second

// probe gives what a replica answers.
func (w *rolloutWorld) probe(r rollout.Replica) rollout.ProbeResult {
	machine := w.byAddr[strings.TrimSuffix(r.Address, modelPort)+"9000"]
	switch {
	case machine == nil || machine.dead || !machine.machine.Holds(r.Task) || w.unreachable != nil && w.unreachable(r.Task):
		return rollout.ProbeResult{Verdict: rollout.NotReached}
	case r.Version == rollout.NewVersion && w.wrong != nil && w.wrong(r.Task):
		return rollout.ProbeResult{Verdict: rollout.Failed, Check: "sum"}
	}
	return rollout.ProbeResult{Verdict: rollout.Passed}
}

// ask hands a request to a node, which relays it to the leader once, and gives the answer.
func (w *rolloutWorld) ask(n *scaleNode, input func(req uint64) core.Input) *core.Response {
	w.req++
	req := w.req << 16
	var got *core.Response
	w.onAnswer = func(a core.Response) bool {
		if a.RequestID == req {
			got = &a
		}
		return a.RequestID == req
	}
	if n.name == w.frozen {
		return nil
	}
	w.step(n, input(req))
	if got != nil && got.Status == 421 {
		for _, x := range w.nodes {
			if to, ok := got.Body.(wire.Redirect); ok && x.name == to.Leader {
				return w.ask(x, input)
			}
		}
	}
	for i := 0; got == nil && i < 200; i++ {
		w.pass(scaleStep)
	}
	return got
}

// order hands a request in until it is answered for good.
func (w *rolloutWorld) order(input func(req uint64) core.Input) *core.Response {
	for range 60 {
		if a := w.ask(w.nodes[0], input); a != nil && a.Status != 503 && a.Status != 421 {
			return a
		}
		w.advance(200 * time.Millisecond)
	}
	w.t.Fatal("a request is not answered")
	return nil
}

func (w *rolloutWorld) apply() *core.Response {
	return w.order(func(req uint64) core.Input { return core.ApplyPlan{RequestID: req, Plan: w.plan} })
}

// start has the owner apply the plan and submit the new jobs.
func (w *rolloutWorld) start() {
	w.t.Helper()
	if a := w.apply(); a.Status != 200 {
		w.t.Fatalf("the plan is refused: %+v", a)
	}
	w.submitNew()
}

func (w *rolloutWorld) change(change rollout.Change) *core.Response {
	return w.order(func(req uint64) core.Input { return core.ChangePlan{RequestID: req, Name: w.plan.Name, Change: change} })
}

// record gives the plan as the state service holds it; nil: there is none.
func (w *rolloutWorld) record() *rollout.Record {
	item, got := w.store.Get("w/p/" + w.plan.Name)
	if got != outcome.OK {
		return nil
	}
	r, err := rollout.Decode(item.Value)
	if err != nil {
		w.t.Fatal(err)
	}
	return r
}

// advance lets time pass, has routers ask, and checks the promise at each step.
func (w *rolloutWorld) advance(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.pass(10 * scaleStep)
		if w.now >= w.asked+500*time.Millisecond {
			w.asked = w.now
			for i, r := range w.routers {
				w.route(r, w.nodes[(i+int(w.now/time.Second))%len(w.nodes)])
			}
		}
		w.check()
	}
}

// route has a router ask a node. Its lease begins when it asks.
func (w *rolloutWorld) route(r *simRouter, n *scaleNode) {
	sent := w.now
	r.unanswered = true
	if r.cut || n.name == r.cutFrom {
		return
	}
	a := w.ask(n, func(req uint64) core.Input {
		return core.GetRouting{RequestID: req, Name: w.plan.Name, Router: r.name, Generation: r.held.Routing.Generation}
	})
	if a == nil || a.Status != 200 {
		return
	}
	grant := a.Body.(core.RoutingGrant)
	if grant.Routing.Generation.Before(r.held.Routing.Generation) {
		return
	}
	r.grantedAt, r.unanswered = sent, false
	r.held, r.until = grant, sent+time.Duration(grant.LeaseMS)*time.Millisecond
}

// serves tells whether a replica runs and answers rightly.
func (w *rolloutWorld) serves(x rollout.Weight) bool {
	return w.probe(rollout.Replica{Task: x.Task, Attempt: x.Attempt, Address: x.Address, Version: x.Version}).Verdict == rollout.Passed
}

// check checks what a rollout promises, at this moment.
func (w *rolloutWorld) check() {
	r := w.record()
	if r == nil {
		return
	}
	if r.Phase != w.lastPhase {
		w.lastPhase = r.Phase
		w.phases = append(w.phases, string(r.Phase))
	}
	w.checkJobs(r)
	if w.taken || w.wrong != nil && w.now < w.wrongAt+w.tolerance {
		return
	}
	for _, router := range w.routers {
		if len(router.held.Routing.Weights) == 0 || w.gone(router) {
			continue
		}
		w.checkRecorded(r, router)
		if !w.unreached(router) {
			w.checkCapacity(r, router)
		}
	}
}

// checkJobs checks that nothing was started before its step, and nothing of the old version cancelled before its time.
func (w *rolloutWorld) checkJobs(r *rollout.Record) {
	for i := range newJobs {
		if w.holds(newJob(i)) && (r.Phase == rollout.Pending || i > r.Step) {
			w.t.Fatalf("%s runs in %s of step %d", newJob(i), r.Phase, r.Step)
		}
	}
	if w.taken || r.Phase == rollout.Retiring || r.Phase == rollout.Completed {
		return
	}
	for i := range oldJobs {
		if w.cancelled(oldJob(i)) {
			w.t.Fatalf("%s is cancelled in %s", oldJob(i), r.Phase)
		}
	}
}

// checkCapacity checks that what a router reaches can serve what is promised.
func (w *rolloutWorld) checkCapacity(r *rollout.Record, router *simRouter) {
	capacity, weights := 0.0, router.weights(w.now)
	for _, x := range weights {
		if w.serves(x) {
			capacity += w.plan.Old.ReplicaCapacity
		}
	}
	if capacity < w.plan.PromisedCapacity {
		w.t.Fatalf("%v: router %s reaches a capacity of %g in %s of step %d: %+v, lease until %v", w.now, router.name, capacity, r.Phase,
			r.Step, weights, router.until)
	}
}

// unreached tells whether a router was granted what it goes by before wrong answers could be found, and nobody has
// answered it since, as while no node leads. It goes on by that until its lease ends.
func (w *rolloutWorld) unreached(r *simRouter) bool {
	return w.wrong != nil && r.unanswered && r.grantedAt < w.wrongAt+w.tolerance && w.now < r.until
}

// checkRecorded checks that a router with a routing is in the plan's record, from which the next leader learns of it.
func (w *rolloutWorld) checkRecorded(r *rollout.Record, router *simRouter) {
	if !r.Phase.Over() && !slices.Contains(r.Routers, router.name) {
		w.t.Fatalf("%v: router %s has a routing and is not recorded in %s of step %d: %v", w.now, router.name, r.Phase, r.Step, r.Routers)
	}
}

// gone tells whether a router has been without a lease for longer than the plan waits for it.
func (w *rolloutWorld) gone(r *simRouter) bool { return w.now > r.until+15*time.Second }

// cancelled tells whether a job is cancelled.
func (w *rolloutWorld) cancelled(id string) bool {
	if item, got := w.store.Get("w/a/" + id); got == outcome.OK {
		var v struct {
			CancelledMS int64 `json:"x"`
		}
		return json.Unmarshal(item.Value, &v) == nil && v.CancelledMS != 0
	}
	_, got := w.store.Get("f/" + id)
	return got == outcome.OK
}

// until lets time pass until the plan is in a phase.
func (w *rolloutWorld) until(phase rollout.Phase) {
	w.t.Helper()
	for range 3000 {
		if r := w.record(); r != nil && r.Phase == phase {
			return
		}
		w.advance(100 * time.Millisecond)
	}
	w.t.Fatalf("%s is not reached: %v, %+v", phase, w.phases, w.record())
}

// params gives the teams their limits.
func (w *rolloutWorld) limitTeam(gpus float64) {
	w.adjust = func(p *config.Params) { p.Teams[1].MaxGPUs = gpus }
	w.restart()
	w.advance(10 * time.Second)
}

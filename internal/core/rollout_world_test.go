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
	routers []*simulatedRouter

	answersWrongly      func(task string) bool // whether a replica answers wrongly; nil: none does
	answersWronglySince time.Duration          // since when
	tolerance           time.Duration          // for how long it may go on then
	unreachable         func(task string) bool // whether probes don't reach a replica; nil: they do
	outdatedNode        string                 // a node of a version without plans
	machinesTaken       bool                   // machines were taken away: the promise is not the rollout's alone any more
	storeFaults

	asked     time.Duration
	lastPhase rollout.Phase
	phases    []string
}

// simulatedRouter is a router that keeps to the protocol of leases.
type simulatedRouter struct {
	name           string
	isolated       bool // from all controllers
	cutFromNode    string
	grant          core.RoutingGrant
	grantExpiresAt time.Duration
	// grantedAt is when it asked for what it holds; unanswered tells that it has asked in vain since.
	grantedAt  time.Duration
	unanswered bool
}

// weights gives the shares by which a router goes now.
func (r *simulatedRouter) weights(now time.Duration) []rollout.Weight {
	if now < r.grantExpiresAt {
		return r.grant.Routing.Weights
	}
	return r.grant.Routing.Fallback
}

const (
	oldJobs, newJobs = 2, 2
	replicasOfJob    = 2
	modelPort        = "8000"
)

func oldJob(i int) string { return fmt.Sprintf("run-0000%02d", 1+i) }
func newJob(i int) string { return fmt.Sprintf("run-0000%02d", 11+i) }

// newRolloutWorld has the old version whole, and the nodes ready to take a plan.
func newRolloutWorld(t testReporter) *rolloutWorld {
	cluster := newScaleCluster(t, 3, 0)
	world := &rolloutWorld{scaleCluster: cluster}
	cluster.digest = newOutputDigest()
	cluster.operator.Rollouts.Enabled, cluster.operator.Rollouts.CheckIntervalS, cluster.operator.Rollouts.CheckTimeoutS, cluster.operator.Rollouts.RouterLeaseS = true, 0.5, 1, 4
	cluster.operator.IdleBoots = 100
	cluster.interceptEffect = world.interceptCall
	cluster.restartNodes()
	cluster.addMachines(8, "z1", "z2")
	cluster.runFor(4 * time.Second)
	world.plan = &rollout.Plan{Name: "reader", Team: "t1", Old: rollout.Fleet{ReplicaCapacity: 10}, New: rollout.Fleet{ReplicaCapacity: 10}, PromisedCapacity: 30,
		Checks: []rollout.Check{{Name: "sum", Request: json.RawMessage(`{}`), Expected: json.RawMessage(`1`), Script: "-"},
			{Name: "as before", Request: json.RawMessage(`{}`), CompareWithOld: true, Script: "-"}},
		Limits: rollout.Limits{WaitS: 60, UnreachableS: 20, RouterGoneS: 20, KeepS: 30}}
	for i := range oldJobs {
		world.plan.Old.Jobs = append(world.plan.Old.Jobs, oldJob(i))
		world.submitReplica(oldJob(i))
	}
	for i := range newJobs {
		world.plan.New.Jobs = append(world.plan.New.Jobs, newJob(i))
		world.plan.Steps = append(world.plan.Steps, rollout.Step{Jobs: []string{newJob(i)}, Share: float64(i+1) / newJobs, BakeS: 3})
	}
	world.tolerance = detection
	world.routers = []*simulatedRouter{{name: "north"}, {name: "south"}}
	world.advance(15 * time.Second)
	return world
}

func replicaJob(id, team string) *wire.Job {
	return &wire.Job{ID: id, Kind: wire.KindService, Class: "c", Team: team, Tasks: replicasOfJob, CPUs: 4, GPUs: 2, MemoryGB: 20,
		Priority: "prod", Image: "img-" + id[8:9], ImageGB: 4}
}

func (world *rolloutWorld) submitReplica(id string) {
	world.submitAt(world.nodes[0], replicaJob(id, "t1"))
}

// submitNew has the owner submit the new jobs, again until they are accepted.
func (world *rolloutWorld) submitNew() {
	for i := range newJobs {
		for range 100 {
			if _, got := world.store.Get("w/a/" + newJob(i)); got == outcome.OK {
				break
			}
			world.submitReplica(newJob(i))
			world.advance(200 * time.Millisecond)
		}
	}
}

// interceptCall plays what the state service and the replicas do.
func (world *rolloutWorld) interceptCall(node *scaleNode, effect core.Effect) (core.Result, bool) {
	switch e := effect.(type) {
	case core.QueryPeer:
		if e.Node == world.outdatedNode {
			// A version without plans: it says nothing of them.
			result, ok := world.queryPeer(e)
			result.Peer.SupportsRollouts = false
			return result, ok
		}
	case core.ProbeReplica:
		answer := world.probe(e.Probe.Replica)
		compares := slices.ContainsFunc(e.Checks, func(c rollout.Check) bool { return c.CompareWithOld })
		if answer.Verdict == rollout.Passed && compares && (e.Probe.Reference == nil || world.probe(*e.Probe.Reference).Verdict != rollout.Passed) {
			answer = rollout.ProbeResult{Verdict: rollout.NotCompared, Check: "as before"}
		}
		return core.Result{CallID: e.CallID, Outcome: outcome.OK, Probe: answer}, true
	}
	return world.interceptStoreCall(node.name, world.store, effect)
}

// storeCallID gives the id of a call to the state service; watches stay open through an outage.
func storeCallID(effect core.Effect) (uint64, bool) {
	switch effect.(type) {
	case core.StoreGet, core.StoreList, core.StoreTxn, core.StoreGrantLease, core.StoreRenewLease, core.StoreRevokeLease:
		return callID(effect), true
	}
	return 0, false
}

// answerWrongly has some of the new replicas answer wrongly from now on. Old ones are asked for their health alone.
func (world *rolloutWorld) answerWrongly(wrong func(task string) bool) {
	world.answersWrongly, world.answersWronglySince = wrong, world.now
}

// detection is the time in which a fault of a replica is found, and routers hear of it: a check, and two questions
// of a router, of which one may meet a node that does not know the leader.
const detection = 2 * time.Second

// probe gives what a replica answers.
func (world *rolloutWorld) probe(r rollout.Replica) rollout.ProbeResult {
	machine := world.workerByAddr[strings.TrimSuffix(r.Address, modelPort)+"9000"]
	switch {
	case machine == nil || machine.stopped || !machine.machine.Holds(r.Task) || world.unreachable != nil && world.unreachable(r.Task):
		return rollout.ProbeResult{Verdict: rollout.NotReached}
	case r.Version == rollout.NewVersion && world.answersWrongly != nil && world.answersWrongly(r.Task):
		return rollout.ProbeResult{Verdict: rollout.Failed, Check: "sum"}
	}
	return rollout.ProbeResult{Verdict: rollout.Passed}
}

// ask hands a request to a node, which relays it to the leader once, and gives the answer.
func (world *rolloutWorld) ask(node *scaleNode, input func(request uint64) core.Input) *core.Response {
	world.lastRequest++
	request := world.lastRequest << 16
	var got *core.Response
	world.onResponse = func(response core.Response) bool {
		if response.RequestID == request {
			got = &response
		}
		return response.RequestID == request
	}
	if node.name == world.frozenNode {
		return nil
	}
	world.step(node, input(request))
	if got != nil && got.Status == 421 {
		for _, x := range world.nodes {
			if to, ok := got.Body.(wire.Redirect); ok && x.name == to.Leader {
				return world.ask(x, input)
			}
		}
	}
	for i := 0; got == nil && i < 200; i++ {
		world.runFor(scaleStep)
	}
	return got
}

// order hands a request in until it is answered for good.
func (world *rolloutWorld) order(input func(request uint64) core.Input) *core.Response {
	for range 60 {
		if response := world.ask(world.nodes[0], input); response != nil && response.Status != 503 && response.Status != 421 {
			return response
		}
		world.advance(200 * time.Millisecond)
	}
	world.t.Fatal("a request is not answered")
	return nil
}

func (world *rolloutWorld) apply() *core.Response {
	return world.order(func(request uint64) core.Input { return core.ApplyPlan{RequestID: request, Plan: world.plan} })
}

// start has the owner apply the plan and submit the new jobs.
func (world *rolloutWorld) start() {
	world.t.Helper()
	if response := world.apply(); response.Status != 200 {
		world.t.Fatalf("the plan is refused: %+v", response)
	}
	world.submitNew()
}

func (world *rolloutWorld) change(change rollout.Change) *core.Response {
	return world.order(func(request uint64) core.Input {
		return core.ChangePlan{RequestID: request, Name: world.plan.Name, Change: change}
	})
}

// record gives the plan as the state service holds it; nil: there is none.
func (world *rolloutWorld) record() *rollout.Record {
	item, got := world.store.Get("w/p/" + world.plan.Name)
	if got != outcome.OK {
		return nil
	}
	r, err := rollout.Decode(item.Value)
	if err != nil {
		world.t.Fatal(err)
	}
	return r
}

// advance lets time pass, has routers ask, and checks the promise at each step.
func (world *rolloutWorld) advance(d time.Duration) {
	for end := world.now + d; world.now < end; {
		world.runFor(10 * scaleStep)
		if world.now >= world.asked+500*time.Millisecond {
			world.asked = world.now
			for i, r := range world.routers {
				world.route(r, world.nodes[(i+int(world.now/time.Second))%len(world.nodes)])
			}
		}
		world.check()
	}
}

// route has a router ask a node. Its lease begins when it asks.
func (world *rolloutWorld) route(r *simulatedRouter, node *scaleNode) {
	sent := world.now
	r.unanswered = true
	if r.isolated || node.name == r.cutFromNode {
		return
	}
	response := world.ask(node, func(request uint64) core.Input {
		return core.GetRouting{RequestID: request, Name: world.plan.Name, Router: r.name, Generation: r.grant.Routing.Generation}
	})
	if response == nil || response.Status != 200 {
		return
	}
	grant := response.Body.(core.RoutingGrant)
	if grant.Routing.Generation.Before(r.grant.Routing.Generation) {
		return
	}
	r.grantedAt, r.unanswered = sent, false
	r.grant, r.grantExpiresAt = grant, sent+time.Duration(grant.LeaseMS)*time.Millisecond
}

// waitForPhase lets time pass until the plan is in a phase.
func (world *rolloutWorld) waitForPhase(phase rollout.Phase) {
	world.t.Helper()
	for range 3000 {
		if r := world.record(); r != nil && r.Phase == phase {
			return
		}
		world.advance(100 * time.Millisecond)
	}
	world.t.Fatalf("%s is not reached: %v, %+v", phase, world.phases, world.record())
}

// params gives the teams their limits.
func (world *rolloutWorld) limitTeam(gpus float64) {
	world.adjustParams = func(p *config.Params) { p.Teams[1].MaxGPUs = gpus }
	world.restartNodes()
	world.advance(10 * time.Second)
}

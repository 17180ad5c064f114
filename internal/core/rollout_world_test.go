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

// rolloutCluster is a simulated cluster in which a plan is carried out, with model servers that may answer wrongly,
// routers that request their routing, and a store that may fail. It checks the guarantees of a rollout at each step.
type rolloutCluster struct {
	*scaleCluster
	plan    *rollout.Plan
	routers []*simulatedRouter

	wrongAnswers          func(task string) bool // whether a new replica answers wrongly; nil if none does
	wrongAnswersSince     time.Duration
	detectionTime         time.Duration          // how long wrong answers may affect routing
	unreachable           func(task string) bool // whether a replica can't be probed; nil if all can
	outdatedNode          string                 // node that runs a version without rollouts
	capacityNotGuaranteed bool                   // the test takes away capacity itself, so the rollout can't guarantee it
	storeFaults

	routersPolledAt time.Duration // when routers last sent their requests
	lastPhase       rollout.Phase
	phases          []string // through which the plan has gone
}

// simulatedRouter is a router that follows the lease protocol.
type simulatedRouter struct {
	name             string
	isolated         bool   // from all controllers
	unreachableNode  string // node that does not receive its requests
	grant            core.RoutingGrant
	grantExpiresAt   time.Duration
	grantRequestedAt time.Duration // when it sent the request for its current grant
	unanswered       bool          // whether its last request was not granted
}

// weights returns the weights by which a router distributes traffic now.
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

// oldJob returns the ID of a job of the old version.
func oldJob(i int) string { return fmt.Sprintf("run-0000%02d", 1+i) }

// newJob returns the ID of a job of the new version.
func newJob(i int) string { return fmt.Sprintf("run-0000%02d", 11+i) }

// newRolloutCluster returns a cluster in which the old version runs completely and the nodes are ready to accept a plan.
func newRolloutCluster(t testReporter) *rolloutCluster {
	cluster := newScaleCluster(t, 3, 0)
	world := &rolloutCluster{scaleCluster: cluster}
	cluster.digest = newOutputDigest()
	cluster.operator.Rollouts.Enabled, cluster.operator.Rollouts.CheckIntervalS, cluster.operator.Rollouts.CheckTimeoutS, cluster.operator.Rollouts.RouterLeaseS = true, 0.5, 1, 4
	cluster.operator.IdleTimeoutBoots = 100
	cluster.interceptEffect = world.interceptCall
	cluster.restartNodes()
	cluster.addMachines(8, "z1", "z2")
	cluster.runFor(4 * time.Second)
	world.plan = &rollout.Plan{Name: "reader", Team: "t1", Old: rollout.VersionSpec{ReplicaCapacity: 10}, New: rollout.VersionSpec{ReplicaCapacity: 10}, PromisedCapacity: 30,
		Checks: []rollout.Check{{Name: "sum", Request: json.RawMessage(`{}`), Expected: json.RawMessage(`1`), Script: "-"},
			{Name: "as before", Request: json.RawMessage(`{}`), CompareWithOld: true, Script: "-"}},
		Limits: rollout.Limits{WaitTimeoutS: 60, ValidationTimeoutS: 20, RouterGoneS: 20, RetentionS: 30}}
	for i := range oldJobs {
		world.plan.Old.Jobs = append(world.plan.Old.Jobs, oldJob(i))
		world.submitReplica(oldJob(i))
	}
	for i := range newJobs {
		world.plan.New.Jobs = append(world.plan.New.Jobs, newJob(i))
		world.plan.Steps = append(world.plan.Steps, rollout.Step{Jobs: []string{newJob(i)}, Share: float64(i+1) / newJobs, BakeS: 3})
	}
	world.detectionTime = defaultDetectionTime
	world.routers = []*simulatedRouter{{name: "north"}, {name: "south"}}
	world.advance(15 * time.Second)
	return world
}

// replicaJob returns a service of a team with replicasOfJob replicas.
func replicaJob(id, team string) *wire.Job {
	return &wire.Job{ID: id, Kind: wire.KindService, Class: "c", Team: team, Tasks: replicasOfJob, CPUs: 4, GPUs: 2, MemoryGB: 20,
		Priority: "prod", Image: "img-" + id[8:9], ImageGB: 4}
}

// submitReplica submits a service of the plan's team.
func (world *rolloutCluster) submitReplica(id string) {
	world.submitAt(world.nodes[0], replicaJob(id, "t1"))
}

// submitNew submits the new jobs repeatedly until they are accepted.
func (world *rolloutCluster) submitNew() {
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

// interceptCall simulates outdated peers, the replicas, and the faults of the store.
func (world *rolloutCluster) interceptCall(node *scaleNode, effect core.Effect) (core.Result, bool) {
	switch e := effect.(type) {
	case core.QueryPeer:
		if e.Node == world.outdatedNode {
			// A version without rollouts does not set the field.
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

// storeCallID returns the ID of a call to the store, and false for other effects. Watches stay open during an outage
// and do not count.
func storeCallID(effect core.Effect) (uint64, bool) {
	switch effect.(type) {
	case core.StoreGet, core.StoreList, core.StoreTxn, core.StoreGrantLease, core.StoreRenewLease, core.StoreRevokeLease:
		return callID(effect), true
	}
	return 0, false
}

// setWrongAnswers makes some of the new replicas answer wrongly from now on. Of old replicas only the health is probed.
func (world *rolloutCluster) setWrongAnswers(wrong func(task string) bool) {
	world.wrongAnswers, world.wrongAnswersSince = wrong, world.now
}

// defaultDetectionTime is the time in which a failing replica is detected and routers have a new routing. It covers a
// probe and two requests of a router, one of which may reach a node that does not know the leader.
const defaultDetectionTime = 2 * time.Second

// probe returns the result of probing a replica.
func (world *rolloutCluster) probe(r rollout.Replica) rollout.ProbeResult {
	machine := world.workerByAddr[strings.TrimSuffix(r.Address, modelPort)+"9000"]
	switch {
	case machine == nil || machine.stopped || !machine.machine.Holds(r.Task) || world.unreachable != nil && world.unreachable(r.Task):
		return rollout.ProbeResult{Verdict: rollout.NotReached}
	case r.Version == rollout.NewVersion && world.wrongAnswers != nil && world.wrongAnswers(r.Task):
		return rollout.ProbeResult{Verdict: rollout.Failed, Check: "sum"}
	}
	return rollout.ProbeResult{Verdict: rollout.Passed}
}

// sendRequest sends a request to a node, follows a redirect to the leader, and returns the response. It returns nil if
// there is none in time.
func (world *rolloutCluster) sendRequest(node *scaleNode, input func(request uint64) core.Input) *core.Response {
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
		for _, peer := range world.nodes {
			if to, ok := got.Body.(wire.Redirect); ok && peer.name == to.Leader {
				return world.sendRequest(peer, input)
			}
		}
	}
	for i := 0; got == nil && i < 200; i++ {
		world.runFor(scaleStep)
	}
	return got
}

// requestUntilAnswered sends a request until the response is neither a redirect nor a request to retry later.
func (world *rolloutCluster) requestUntilAnswered(input func(request uint64) core.Input) *core.Response {
	for range 60 {
		if response := world.sendRequest(world.nodes[0], input); response != nil && response.Status != 503 && response.Status != 421 {
			return response
		}
		world.advance(200 * time.Millisecond)
	}
	world.t.Fatal("request was not answered after 60 attempts")
	return nil
}

// apply applies the plan.
func (world *rolloutCluster) apply() *core.Response {
	return world.requestUntilAnswered(func(request uint64) core.Input { return core.ApplyPlan{RequestID: request, Plan: world.plan} })
}

// start applies the plan and submits the new jobs.
func (world *rolloutCluster) start() {
	world.t.Helper()
	if response := world.apply(); response.Status != 200 {
		world.t.Fatalf("the plan was refused: %+v", response)
	}
	world.submitNew()
}

// change requests a change of the plan.
func (world *rolloutCluster) change(change rollout.Change) *core.Response {
	return world.requestUntilAnswered(func(request uint64) core.Input {
		return core.ChangePlan{RequestID: request, Name: world.plan.Name, Change: change}
	})
}

// record returns the stored record of the plan, or nil if there is none.
func (world *rolloutCluster) record() *rollout.Record {
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

// advance runs the simulation for a while. The routers send requests every 500 ms, and the guarantees are checked at
// each step.
func (world *rolloutCluster) advance(d time.Duration) {
	for end := world.now + d; world.now < end; {
		world.runFor(10 * scaleStep)
		if world.now >= world.routersPolledAt+500*time.Millisecond {
			world.routersPolledAt = world.now
			for i, r := range world.routers {
				world.requestRouting(r, world.nodes[(i+int(world.now/time.Second))%len(world.nodes)])
			}
		}
		world.check()
	}
}

// requestRouting sends a router's request to a node. The lease of the grant begins when the request was sent.
func (world *rolloutCluster) requestRouting(r *simulatedRouter, node *scaleNode) {
	sentAt := world.now
	r.unanswered = true
	if r.isolated || node.name == r.unreachableNode {
		return
	}
	response := world.sendRequest(node, func(request uint64) core.Input {
		return core.GetRouting{RequestID: request, Name: world.plan.Name, Router: r.name, Generation: r.grant.Routing.Generation}
	})
	if response == nil || response.Status != 200 {
		return
	}
	grant := response.Body.(core.RoutingGrant)
	if grant.Routing.Generation.Before(r.grant.Routing.Generation) {
		return
	}
	r.grantRequestedAt, r.unanswered = sentAt, false
	r.grant, r.grantExpiresAt = grant, sentAt+time.Duration(grant.LeaseMS)*time.Millisecond
}

// waitForPhase runs the simulation until the plan is in a phase.
func (world *rolloutCluster) waitForPhase(phase rollout.Phase) {
	world.t.Helper()
	for range 3000 {
		if r := world.record(); r != nil && r.Phase == phase {
			return
		}
		world.advance(100 * time.Millisecond)
	}
	world.t.Fatalf("phase %s was not reached: %v, %+v", phase, world.phases, world.record())
}

// limitTeam sets the limit of the plan's team and restarts the nodes.
func (world *rolloutCluster) limitTeam(gpus float64) {
	world.adjustParams = func(p *config.Params) { p.Teams[1].MaxGPUs = gpus }
	world.restartNodes()
	world.advance(10 * time.Second)
}

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
	capacityNotGuaranteed bool                   // the test removes capacity itself, so the rollout can't guarantee it
	storeFaults

	routersPolledAt time.Duration // when routers last sent their requests
	lastPhase       rollout.Phase
	phases          []string // of the plan so far, in order
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
	base := newScaleCluster(t, 3, 0)
	cluster := &rolloutCluster{scaleCluster: base}
	base.digest = newOutputDigest()
	base.operator.Rollouts.Enabled, base.operator.Rollouts.CheckIntervalS, base.operator.Rollouts.CheckTimeoutS, base.operator.Rollouts.RouterLeaseS = true, 0.5, 1, 4
	base.operator.IdleTimeoutBoots = 100
	base.interceptEffect = cluster.interceptCall
	base.restartNodes()
	base.addMachines(8, "z1", "z2")
	base.runFor(4 * time.Second)
	cluster.plan = &rollout.Plan{Name: "reader", Team: "t1", Old: rollout.VersionSpec{ReplicaCapacity: 10}, New: rollout.VersionSpec{ReplicaCapacity: 10}, PromisedCapacity: 30,
		Checks: []rollout.Check{{Name: "sum", Request: json.RawMessage(`{}`), Expected: json.RawMessage(`1`), Script: "-"},
			{Name: "as before", Request: json.RawMessage(`{}`), CompareWithOld: true, Script: "-"}},
		Limits: rollout.Limits{WaitTimeoutS: 60, ValidationTimeoutS: 20, RouterGoneS: 20, RetentionS: 30}}
	for i := range oldJobs {
		cluster.plan.Old.Jobs = append(cluster.plan.Old.Jobs, oldJob(i))
		cluster.submitReplica(oldJob(i))
	}
	for i := range newJobs {
		cluster.plan.New.Jobs = append(cluster.plan.New.Jobs, newJob(i))
		cluster.plan.Steps = append(cluster.plan.Steps, rollout.Step{Jobs: []string{newJob(i)}, Share: float64(i+1) / newJobs, BakeS: 3})
	}
	cluster.detectionTime = defaultDetectionTime
	cluster.routers = []*simulatedRouter{{name: "north"}, {name: "south"}}
	cluster.advance(15 * time.Second)
	return cluster
}

// replicaJob returns a service of a team with replicasOfJob replicas.
func replicaJob(id, team string) *wire.Job {
	return &wire.Job{ID: id, Kind: wire.KindService, Class: "c", Team: team, Tasks: replicasOfJob, CPUs: 4, GPUs: 2, MemoryGB: 20,
		Priority: "prod", Image: "img-" + id[8:9], ImageGB: 4}
}

// submitReplica submits a service of the plan's team.
func (cluster *rolloutCluster) submitReplica(id string) {
	cluster.submitAt(cluster.nodes[0], replicaJob(id, "t1"))
}

// submitNew submits the new jobs repeatedly until they are accepted.
func (cluster *rolloutCluster) submitNew() {
	for i := range newJobs {
		for range 100 {
			if _, got := cluster.store.Get("w/a/" + newJob(i)); got == outcome.OK {
				break
			}
			cluster.submitReplica(newJob(i))
			cluster.advance(200 * time.Millisecond)
		}
	}
}

// interceptCall simulates outdated peers, the replicas, and the faults of the store.
func (cluster *rolloutCluster) interceptCall(node *scaleNode, effect core.Effect) (core.Result, bool) {
	switch e := effect.(type) {
	case core.QueryPeer:
		if e.Node == cluster.outdatedNode {
			// A version without rollouts does not set the field.
			result, ok := cluster.queryPeer(e)
			result.Peer.SupportsRollouts = false
			return result, ok
		}
	case core.ProbeReplica:
		answer := cluster.probe(e.Probe.Replica)
		compares := slices.ContainsFunc(e.Checks, func(c rollout.Check) bool { return c.CompareWithOld })
		if answer.Verdict == rollout.Passed && compares && (e.Probe.Reference == nil || cluster.probe(*e.Probe.Reference).Verdict != rollout.Passed) {
			answer = rollout.ProbeResult{Verdict: rollout.NotCompared, Check: "as before"}
		}
		return core.Result{CallID: e.CallID, Outcome: outcome.OK, Probe: answer}, true
	}
	return cluster.interceptStoreCall(node.name, cluster.store, effect)
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
func (cluster *rolloutCluster) setWrongAnswers(wrong func(task string) bool) {
	cluster.wrongAnswers, cluster.wrongAnswersSince = wrong, cluster.now
}

// defaultDetectionTime is the time in which a failing replica is detected and routers have a new routing. It covers a
// probe and two requests of a router, one of which may reach a node that does not know the leader.
const defaultDetectionTime = 2 * time.Second

// probe returns the result of probing a replica.
func (cluster *rolloutCluster) probe(r rollout.Replica) rollout.ProbeResult {
	worker := cluster.workerByAddr[strings.TrimSuffix(r.Address, modelPort)+"9000"]
	switch {
	case worker == nil || worker.stopped || !worker.machine.Holds(r.Task) || cluster.unreachable != nil && cluster.unreachable(r.Task):
		return rollout.ProbeResult{Verdict: rollout.NotReached}
	case r.Version == rollout.NewVersion && cluster.wrongAnswers != nil && cluster.wrongAnswers(r.Task):
		return rollout.ProbeResult{Verdict: rollout.Failed, Check: "sum"}
	}
	return rollout.ProbeResult{Verdict: rollout.Passed}
}

// sendRequest sends a request to a node, follows a redirect to the leader, and returns the response. It returns nil if
// there is none in time.
func (cluster *rolloutCluster) sendRequest(node *scaleNode, input func(request uint64) core.Input) *core.Response {
	cluster.lastRequest++
	request := cluster.lastRequest << 16
	var got *core.Response
	cluster.onResponse = func(response core.Response) bool {
		if response.RequestID == request {
			got = &response
		}
		return response.RequestID == request
	}
	if node.name == cluster.frozenNode {
		return nil
	}
	cluster.step(node, input(request))
	if got != nil && got.Status == 421 {
		for _, peer := range cluster.nodes {
			if to, ok := got.Body.(wire.Redirect); ok && peer.name == to.Leader {
				return cluster.sendRequest(peer, input)
			}
		}
	}
	for i := 0; got == nil && i < 200; i++ {
		cluster.runFor(scaleStep)
	}
	return got
}

// requestUntilAnswered sends a request until the response is neither a redirect nor a request to retry later.
func (cluster *rolloutCluster) requestUntilAnswered(input func(request uint64) core.Input) *core.Response {
	for range 60 {
		if response := cluster.sendRequest(cluster.nodes[0], input); response != nil && response.Status != 503 && response.Status != 421 {
			return response
		}
		cluster.advance(200 * time.Millisecond)
	}
	cluster.t.Fatal("request was not answered after 60 attempts")
	return nil
}

// apply applies the plan.
func (cluster *rolloutCluster) apply() *core.Response {
	return cluster.requestUntilAnswered(func(request uint64) core.Input { return core.ApplyPlan{RequestID: request, Plan: cluster.plan} })
}

// start applies the plan and submits the new jobs.
func (cluster *rolloutCluster) start() {
	cluster.t.Helper()
	if response := cluster.apply(); response.Status != 200 {
		cluster.t.Fatalf("applying the plan: got %+v, want status 200", response)
	}
	cluster.submitNew()
}

// change requests a change of the plan.
func (cluster *rolloutCluster) change(change rollout.Change) *core.Response {
	return cluster.requestUntilAnswered(func(request uint64) core.Input {
		return core.ChangePlan{RequestID: request, Name: cluster.plan.Name, Change: change}
	})
}

// record returns the stored record of the plan, or nil if there is none.
func (cluster *rolloutCluster) record() *rollout.Record {
	item, got := cluster.store.Get("w/p/" + cluster.plan.Name)
	if got != outcome.OK {
		return nil
	}
	r, err := rollout.Decode(item.Value)
	if err != nil {
		cluster.t.Fatal(err)
	}
	return r
}

// advance runs the simulation for a while. The routers send requests every 500 ms, and the guarantees are checked at
// each step.
func (cluster *rolloutCluster) advance(d time.Duration) {
	for end := cluster.now + d; cluster.now < end; {
		cluster.runFor(10 * scaleStep)
		if cluster.now >= cluster.routersPolledAt+500*time.Millisecond {
			cluster.routersPolledAt = cluster.now
			for i, r := range cluster.routers {
				cluster.requestRouting(r, cluster.nodes[(i+int(cluster.now/time.Second))%len(cluster.nodes)])
			}
		}
		cluster.check()
	}
}

// requestRouting sends a router's request to a node. The lease of the grant begins when the request was sent.
func (cluster *rolloutCluster) requestRouting(r *simulatedRouter, node *scaleNode) {
	sentAt := cluster.now
	r.unanswered = true
	if r.isolated || node.name == r.unreachableNode {
		return
	}
	response := cluster.sendRequest(node, func(request uint64) core.Input {
		return core.GetRouting{RequestID: request, Name: cluster.plan.Name, Router: r.name, Generation: r.grant.Routing.Generation}
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
func (cluster *rolloutCluster) waitForPhase(phase rollout.Phase) {
	cluster.t.Helper()
	for range 3000 {
		if r := cluster.record(); r != nil && r.Phase == phase {
			return
		}
		cluster.advance(100 * time.Millisecond)
	}
	cluster.t.Fatalf("phase %s was not reached: got phases %v, record %+v", phase, cluster.phases, cluster.record())
}

// limitTeam sets the limit of the plan's team and restarts the nodes.
func (cluster *rolloutCluster) limitTeam(gpus float64) {
	cluster.adjustParams = func(p *config.Params) { p.Teams[1].MaxGPUs = gpus }
	cluster.restartNodes()
	cluster.advance(10 * time.Second)
}

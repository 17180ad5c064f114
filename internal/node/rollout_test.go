package node_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bitternwing/internal/adminapi"
	"bitternwing/internal/adminapi/operatorpb"
	"bitternwing/internal/rollout"
	"bitternwing/internal/simmodelserver"
	"bitternwing/internal/simrouter"
	"bitternwing/internal/wire"
)

// rolloutPlan is a plan with two old and two new jobs of one replica each. One check compares responses with the
// expected response, the other with the old version's.
const rolloutPlan = `{"name":"reader","team":"red","old":{"jobs":["run-000001","run-000002"],"replica_capacity":1},
 "new":{"jobs":["run-000011","run-000012"],"replica_capacity":1},"promised_capacity":2,
 "steps":[{"jobs":["run-000011"],"share":0.5,"bake_s":0.5},{"jobs":["run-000012"],"share":1,"bake_s":0.5}],
 "checks":[{"name":"given","request":{"prompt":"abc"},"expected":"ABC","script":"def check(request, answer, expected):\n  return answer['choices'][0]['text'] == expected"},
  {"name":"as before","request":{"prompt":"xyz"},"compare_with_old":true,"script":"def check(request, answer, expected):\n  return answer['choices'] == expected['choices']"}],
 "limits":{"wait_s":60,"unreachable_s":30,"router_gone_s":10,"keep_s":60}}`

// startRollout starts the old version, applies the plan through node b, starts a router, and submits the new jobs.
func startRollout(t *testing.T, plan string) (*testCluster, *adminapi.Client, *simrouter.Router) {
	t.Helper()
	cluster := newTestClusterWith(t, clusterOptions{rollouts: true})
	for _, id := range []string{"run-000001", "run-000002"} {
		cluster.submit("a", id, wire.KindService, 1, 4)
		cluster.eventually(id+" runs", func() bool { return cluster.fleet.Running(id) == 1 })
	}
	client, err := adminapi.NewClient(cluster.internalAddrs["b"])
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if status, err := client.Apply(ctx, []byte(plan)); err != nil || status.GetPhase() != string(rollout.Pending) {
		t.Fatal(status, err)
	}
	router, err := simrouter.New("north", "reader", []string{cluster.internalAddrs["a"], cluster.internalAddrs["b"], cluster.internalAddrs["c"]}, 200*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); router.Run(ctx) }()
	t.Cleanup(func() { stop(); <-ended; router.Close(); _ = client.Close() })
	for _, id := range []string{"run-000011", "run-000012"} {
		cluster.submit("a", id, wire.KindService, 1, 4)
	}
	return cluster, client, router
}

// planStatus returns the status of the plan, or nil if no node returns it in time.
func planStatus(client *adminapi.Client) *operatorpb.PlanStatus {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	status, _ := client.Show(ctx, "reader") // callers retry
	return status
}

// requestCompletion sends a request through the router and reports whether the response is correct.
func requestCompletion(router *simrouter.Router, prompt string) (bool, error) {
	body, err := json.Marshal(simmodelserver.Request{Model: "reader", Prompt: prompt})
	if err != nil {
		return false, err
	}
	response, err := router.Do(context.Background(), body)
	if err != nil {
		return false, err
	}
	var completion simmodelserver.Completion
	err = json.Unmarshal(response.Body, &completion)
	return err == nil && len(completion.Choices) == 1 && completion.Choices[0].Text == simmodelserver.ExpectedText(prompt), err
}

// TestRolloutOverFailover completes a rollout although the leader is stopped in the first step. Every request through
// the router must get the correct response.
func TestRolloutOverFailover(t *testing.T) {
	cluster, client, router := startRollout(t, rolloutPlan)
	cluster.eventually("the first step bakes", func() bool { return planStatus(client).GetPhase() == string(rollout.Baking) })
	if leader := cluster.leader(); leader != "b" {
		cluster.stopNode(leader)
	}
	number := 0
	cluster.eventually("the rollout completes", func() bool {
		correct, err := requestCompletion(router, fmt.Sprint("request ", number))
		number++
		if !correct || err != nil {
			t.Fatalf("request %d: correct %v, error %v", number, correct, err)
		}
		return planStatus(client).GetPhase() == string(rollout.Completed)
	})
	cluster.eventually("the old version is stopped", func() bool { return cluster.fleet.Running("run-000001")+cluster.fleet.Running("run-000002") == 0 })
	if n := cluster.fleet.Running("run-000011") + cluster.fleet.Running("run-000012"); n != 2 {
		t.Errorf("%d new replicas run, want 2", n)
	}
	for _, w := range router.Weights() {
		if w.GetVersion() != string(rollout.NewVersion) {
			t.Errorf("the router still sends traffic to %s", w.GetTask())
		}
	}
}

// TestWrongVersionIsRolledBack makes the new version respond wrongly to every third request once it serves traffic. The
// bake time is long enough for the checks to see such a response.
func TestWrongVersionIsRolledBack(t *testing.T) {
	cluster, client, router := startRollout(t, strings.ReplaceAll(rolloutPlan, `"bake_s":0.5`, `"bake_s":10`))
	cluster.eventually("the first step bakes", func() bool { return planStatus(client).GetPhase() == string(rollout.Baking) })
	// Only requests to the new version are counted: of all requests, every third one might always go to the same
	// replica.
	var requests atomic.Int64
	cluster.modelServer.SetWrongResponses(func(task string, _ int64) bool { return task > "run-000010" && requests.Add(1)%3 == 0 })
	cluster.eventually("the plan is rolled back", func() bool { return planStatus(client).GetPhase() == string(rollout.RolledBack) })
	if status := planStatus(client); status.GetReason() != string(rollout.CheckFailed) {
		t.Errorf("reason of the rollback: %s", status.GetReason())
	}
	for i := range 20 {
		if correct, err := requestCompletion(router, fmt.Sprint("request ", i)); !correct || err != nil {
			t.Errorf("request %d after the rollback: correct %v, error %v", i, correct, err)
		}
	}
	if n := cluster.fleet.Running("run-000001") + cluster.fleet.Running("run-000002"); n != 2 {
		t.Errorf("%d old replicas run, want 2", n)
	}
}

// TestAdminErrors checks that the client returns each type of error of the admin API.
func TestAdminErrors(t *testing.T) {
	cluster := newTestClusterWith(t, clusterOptions{rollouts: true})
	cluster.leader()
	client, err := adminapi.NewClient(cluster.internalAddrs["c"])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var invalid *adminapi.InvalidError
	var refused *adminapi.RefusedError
	var unavailable *adminapi.UnavailableError
	if _, err := client.Show(ctx, "writer"); !errors.Is(err, adminapi.ErrNotFound) {
		t.Errorf("show an unknown plan: %v, want ErrNotFound", err)
	}
	if _, err := client.Placements(ctx, "run-000077"); !errors.Is(err, adminapi.ErrNotFound) {
		t.Errorf("placements of an unknown job: %v, want ErrNotFound", err)
	}
	cluster.submit("a", "run-000078", wire.KindService, 2, 4)
	cluster.eventually("both replicas are placed", func() bool {
		reply, err := client.Placements(ctx, "run-000078")
		return err == nil && len(reply.GetReplicas()) == 2 && reply.GetReplicas()[0].GetMachine() != ""
	})
	if _, err := client.Apply(ctx, []byte(`{"name":"x"}`)); !errors.As(err, &invalid) {
		t.Errorf("apply an incomplete plan: %v, want InvalidError", err)
	}
	if _, err := client.Apply(ctx, []byte(rolloutPlan)); !errors.As(err, &refused) {
		t.Errorf("apply a plan with unknown jobs: %v, want RefusedError", err)
	}
	cluster.store.SetDown(true)
	cluster.eventually("no controller is available", func() bool {
		shortCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := client.Apply(shortCtx, []byte(rolloutPlan))
		return errors.As(err, &unavailable)
	})
}

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

// rolloutPlan has two old and two new jobs of a replica each. Responses are compared with the right one and with the old
// version's.
const rolloutPlan = `{"name":"reader","team":"red","old":{"jobs":["run-000001","run-000002"],"replica_capacity":1},
 "new":{"jobs":["run-000011","run-000012"],"replica_capacity":1},"promised_capacity":2,
 "steps":[{"jobs":["run-000011"],"share":0.5,"bake_s":0.5},{"jobs":["run-000012"],"share":1,"bake_s":0.5}],
 "checks":[{"name":"given","request":{"prompt":"abc"},"expected":"ABC","script":"def check(request, answer, expected):\n  return answer['choices'][0]['text'] == expected"},
  {"name":"as before","request":{"prompt":"xyz"},"compare_with_old":true,"script":"def check(request, answer, expected):\n  return answer['choices'] == expected['choices']"}],
 "limits":{"wait_s":60,"unreachable_s":30,"router_gone_s":10,"keep_s":60}}`

// rolloutSite has the old version serve, a plan applied through a node, and a router.
func rolloutSite(t *testing.T, plan string) (*site, *adminapi.Client, *simrouter.Router) {
	t.Helper()
	s := newSiteWith(t, siteOptions{rollouts: true})
	for _, id := range []string{"run-000001", "run-000002"} {
		s.submit("a", id, wire.KindService, 1, 4)
		s.eventually(id+" runs", func() bool { return s.fleet.Running(id) == 1 })
	}
	client, err := adminapi.NewClient(s.peers["b"])
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if status, err := client.Apply(ctx, []byte(plan)); err != nil || status.GetPhase() != string(rollout.Pending) {
		t.Fatal(status, err)
	}
	router, err := simrouter.New("north", "reader", []string{s.peers["a"], s.peers["b"], s.peers["c"]}, 200*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); router.Run(ctx) }()
	t.Cleanup(func() { stop(); <-ended; router.Close(); _ = client.Close() })
	for _, id := range []string{"run-000011", "run-000012"} {
		s.submit("a", id, wire.KindService, 1, 4)
	}
	return s, client, router
}

// planState gives the status of the plan; nil while it is not available.
func planState(client *adminapi.Client) *operatorpb.PlanStatus {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	status, _ := client.Show(ctx, "reader") // the caller tries again
	return status
}

// requestCompletion sends a request through the router and tells whether the response is right.
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

// TestRolloutOverFailover brings a new version into service, with a failover on the way. Each request gets its response.
func TestRolloutOverFailover(t *testing.T) {
	s, client, router := rolloutSite(t, rolloutPlan)
	s.eventually("the first step bakes", func() bool { return planState(client).GetPhase() == string(rollout.Baking) })
	if leader := s.leader(); leader != "b" {
		s.kill(leader)
	}
	number := 0
	s.eventually("it completes", func() bool {
		right, err := requestCompletion(router, fmt.Sprint("request ", number))
		number++
		if !right || err != nil {
			t.Fatalf("request %d: %v, %v", number, right, err)
		}
		return planState(client).GetPhase() == string(rollout.Completed)
	})
	s.eventually("the old version is gone", func() bool { return s.fleet.Running("run-000001")+s.fleet.Running("run-000002") == 0 })
	if n := s.fleet.Running("run-000011") + s.fleet.Running("run-000012"); n != 2 {
		t.Errorf("%d new replicas run", n)
	}
	for _, w := range router.Weights() {
		if w.GetVersion() != string(rollout.NewVersion) {
			t.Errorf("the router sends traffic to %s", w.GetTask())
		}
	}
}

// TestWrongVersionIsRolledBack has a new version respond wrongly to each third request, once it serves. The steps bake
// for long enough that checks meet such a response.
func TestWrongVersionIsRolledBack(t *testing.T) {
	s, client, router := rolloutSite(t, strings.ReplaceAll(rolloutPlan, `"bake_s":0.5`, `"bake_s":10`))
	s.eventually("the first step bakes", func() bool { return planState(client).GetPhase() == string(rollout.Baking) })
	// Counted for the new version alone: among all requests each third one may always be for the same replica.
	var requests atomic.Int64
	s.model.SetWrongResponses(func(task string, _ int64) bool { return task > "run-000010" && requests.Add(1)%3 == 0 })
	s.eventually("it is rolled back", func() bool { return planState(client).GetPhase() == string(rollout.RolledBack) })
	if status := planState(client); status.GetReason() != string(rollout.WrongAnswer) {
		t.Errorf("rolled back for %s", status.GetReason())
	}
	for i := range 20 {
		if right, err := requestCompletion(router, fmt.Sprint("request ", i)); !right || err != nil {
			t.Errorf("after it request %d: %v, %v", i, right, err)
		}
	}
	if n := s.fleet.Running("run-000001") + s.fleet.Running("run-000002"); n != 2 {
		t.Errorf("%d old replicas run", n)
	}
}

// TestAdminErrors gets each type of error of the admin API.
func TestAdminErrors(t *testing.T) {
	s := newSiteWith(t, siteOptions{rollouts: true})
	s.leader()
	client, err := adminapi.NewClient(s.peers["c"])
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
		t.Errorf("an unknown plan: %v", err)
	}
	if _, err := client.Placements(ctx, "run-000077"); !errors.Is(err, adminapi.ErrNotFound) {
		t.Errorf("the places of an unknown job: %v", err)
	}
	s.submit("a", "run-000078", wire.KindService, 2, 4)
	s.eventually("both replicas have a place", func() bool {
		reply, err := client.Placements(ctx, "run-000078")
		return err == nil && len(reply.GetReplicas()) == 2 && reply.GetReplicas()[0].GetMachine() != ""
	})
	if _, err := client.Apply(ctx, []byte(`{"name":"x"}`)); !errors.As(err, &invalid) {
		t.Errorf("no plan: %v", err)
	}
	if _, err := client.Apply(ctx, []byte(rolloutPlan)); !errors.As(err, &refused) {
		t.Errorf("a plan of unknown jobs: %v", err)
	}
	s.store.SetDown(true)
	s.eventually("no controller is available", func() bool {
		short, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := client.Apply(short, []byte(rolloutPlan))
		return errors.As(err, &unavailable)
	})
}

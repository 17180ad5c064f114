package core_test

import (
	"strings"
	"testing"
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/rollout"
	"bitternwing/internal/wire"
)

// TestRolloutCompletes rolls out a new version without faults. The old version is retired, and the record of the plan
// is kept for the configured time.
func TestRolloutCompletes(t *testing.T) {
	cluster := newRolloutCluster(t)
	cluster.start()
	cluster.waitForPhase(rollout.Completed)
	want := "pending starting checking shifting baking starting checking shifting baking completing retiring completed"
	if got := strings.Join(cluster.phases, " "); !strings.HasSuffix(want, got) || len(cluster.phases) < 8 {
		t.Errorf("got phases %s, want those of a completed rollout, in order", got)
	}
	for i := range newJobs {
		if !cluster.hasTaskOnWorker(newJob(i)) || cluster.cancelled(newJob(i)) {
			t.Errorf("new job %s does not run or is cancelled, want it running", newJob(i))
		}
	}
	for i := range oldJobs {
		if cluster.hasTaskOnWorker(oldJob(i)) || !cluster.cancelled(oldJob(i)) {
			t.Errorf("old job %s runs or is not cancelled, want it cancelled", oldJob(i))
		}
	}
	cluster.advance(20 * time.Second) // routers use the plan's routing until the record is removed
	response := cluster.requestUntilAnswered(func(request uint64) core.Input { return core.GetPlan{RequestID: request, Name: "reader"} })
	if status, ok := response.Body.(core.PlanStatus); !ok || status.Capacity.New != 10*newJobs*replicasOfJob {
		t.Errorf("status of a completed plan: got %+v, want the capacity of all new replicas", response.Body)
	}
	cluster.advance(20 * time.Second)
	if r := cluster.record(); r != nil {
		t.Errorf("after the retention period: got record %+v, want none", r)
	}
}

// checkRolledBack waits for the rollback and checks its reason, that only the old version runs, and that no router
// sends traffic to the new one.
func (cluster *rolloutCluster) checkRolledBack(reason rollout.Reason) {
	cluster.t.Helper()
	cluster.waitForPhase(rollout.RolledBack)
	cluster.advance(5 * time.Second)
	if r := cluster.record(); r.Reason != reason {
		cluster.t.Errorf("got a rollback for reason %q, detail %q, want reason %q", r.Reason, r.Detail, reason)
	}
	for i := range newJobs {
		if cluster.hasTaskOnWorker(newJob(i)) {
			cluster.t.Errorf("new job %s still runs", newJob(i))
		}
	}
	for i := range oldJobs {
		if !cluster.capacityNotGuaranteed && (cluster.cancelled(oldJob(i)) || !cluster.hasTaskOnWorker(oldJob(i))) {
			cluster.t.Errorf("old job %s does not run", oldJob(i))
		}
	}
	for _, r := range cluster.routers {
		for _, weight := range r.weights(cluster.now) {
			if weight.Version == rollout.NewVersion {
				cluster.t.Errorf("router %s sends traffic to %s", r.name, weight.Task)
			}
		}
	}
}

// TestWrongAnswers checks that a rollout is rolled back when healthy replicas fail a check, also if they do so late or
// rarely.
func TestWrongAnswers(t *testing.T) {
	for name, test := range map[string]struct {
		phase rollout.Phase // in which the wrong answers begin
		wrong func(task string, probeCount int) bool
	}{
		"from the start":                          {rollout.Pending, func(task string, _ int) bool { return task > "run-000010" }},
		"one replica of many":                     {rollout.Pending, func(task string, _ int) bool { return task == "run-000012/1" }},
		"while baking":                            {rollout.Baking, func(task string, _ int) bool { return task == "run-000011/0" }},
		"only for some requests":                  {rollout.Pending, func(task string, probeCount int) bool { return task == "run-000011/1" && probeCount%5 == 4 }},
		"when all is shifted":                     {rollout.Completing, func(task string, _ int) bool { return task > "run-000010" }},
		"the old version as well":                 {rollout.Pending, func(string, int) bool { return true }},
		"the old version as well, while shifting": {rollout.Shifting, func(string, int) bool { return true }},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newRolloutCluster(t)
			cluster.start()
			cluster.waitForPhase(test.phase)
			probeCount := 0
			cluster.capacityNotGuaranteed = strings.HasPrefix(name, "the old") // the rollout can't prevent failures of old replicas
			cluster.setWrongAnswers(func(task string) bool {
				probeCount++
				return test.wrong(task, probeCount)
			})
			cluster.checkRolledBack(rollout.CheckFailed)
		})
	}
}

// TestRestartedReplicaIsRevalidated restarts a replica while its step bakes. The validation of the earlier attempt does
// not count: the step has to be checked again before it continues.
func TestRestartedReplicaIsRevalidated(t *testing.T) {
	cluster := newRolloutCluster(t)
	cluster.plan.Steps[0].BakeS = 30
	cluster.start()
	cluster.waitForPhase(rollout.Baking)
	for _, worker := range cluster.workers {
		if worker.machine.Holds("run-000011/0") && !worker.machine.Holds("run-000001/0") && !worker.machine.Holds("run-000002/0") {
			worker.stopped = true
		}
	}
	cluster.capacityNotGuaranteed = true
	cluster.waitForPhase(rollout.Checking)
	cluster.waitForPhase(rollout.Completed)
}

// TestUnreachableReplica checks that an unreachable replica is not treated like one that answers wrongly: the step
// waits, and the plan is rolled back only after unreachable_s.
func TestUnreachableReplica(t *testing.T) {
	cluster := newRolloutCluster(t)
	cluster.unreachable = func(task string) bool { return task == "run-000011/1" }
	cluster.start()
	cluster.waitForPhase(rollout.Checking)
	cluster.advance(10 * time.Second)
	if r := cluster.record(); r.Phase != rollout.Checking {
		t.Fatalf("got record %+v, want a step that waits in phase checking for the unreachable replica", r)
	}
	cluster.unreachable = nil
	cluster.waitForPhase(rollout.Baking)
	cluster.unreachable = func(task string) bool { return task == "run-000011/1" }
	cluster.checkRolledBack(rollout.Unreachable)
}

// TestInsufficientTeamLimit lowers the team's limit so that the new jobs of a step do not fit. The step waits without
// affecting the old version, and the plan is rolled back after wait_s.
func TestInsufficientTeamLimit(t *testing.T) {
	cluster := newRolloutCluster(t)
	cluster.plan.Limits.WaitTimeoutS = 30
	cluster.apply()
	cluster.limitTeam(9)
	cluster.submitNew()
	cluster.waitForPhase(rollout.Starting)
	cluster.advance(15 * time.Second)
	if r := cluster.record(); r.Phase != rollout.Starting || cluster.hasTaskOnWorker(newJob(0)) {
		t.Errorf("got record %+v, want a step that waits in phase starting for quota", r)
	}
	cluster.checkRolledBack(rollout.TimedOut)
}

// TestTwoPlans runs the plans of two teams at the same time. The rollback of one does not affect the other.
func TestTwoPlans(t *testing.T) {
	cluster := newRolloutCluster(t)
	cluster.start()
	other := &rollout.Plan{Name: "writer", Team: "t2", PromisedCapacity: 10, Checks: cluster.plan.Checks, Limits: cluster.plan.Limits,
		Old: rollout.VersionSpec{Jobs: []string{"run-000101"}, ReplicaCapacity: 10}, New: rollout.VersionSpec{Jobs: []string{"run-000111"}, ReplicaCapacity: 10},
		Steps: []rollout.Step{{Jobs: []string{"run-000111"}, Share: 1, BakeS: 1}}}
	cluster.submitAt(cluster.nodes[0], replicaJob("run-000101", "t2"))
	cluster.advance(8 * time.Second)
	if response := cluster.requestUntilAnswered(func(request uint64) core.Input { return core.ApplyPlan{RequestID: request, Plan: other} }); response.Status != 200 {
		t.Fatalf("second plan: got %+v, want status 200", response)
	}
	cluster.submitAt(cluster.nodes[0], replicaJob("run-000111", "t2"))
	cluster.setWrongAnswers(func(task string) bool { return task == "run-000111/0" })
	cluster.waitForPhase(rollout.Completed)
	cluster.advance(10 * time.Second)
	if !cluster.cancelled("run-000111") || cluster.cancelled("run-000101") || !cluster.hasTaskOnWorker("run-000101") {
		t.Error("the plan whose new version answers wrongly was not rolled back")
	}
}

// TestOutdatedController runs one controller of a version without rollouts. No plan may be accepted until it is
// replaced.
func TestOutdatedController(t *testing.T) {
	cluster := newRolloutCluster(t)
	cluster.outdatedNode = cluster.followerNode().name
	cluster.restartNodes()
	cluster.advance(8 * time.Second)
	for cluster.leaderNode().name == cluster.outdatedNode {
		cluster.restartLeader()
		cluster.advance(8 * time.Second)
	}
	for range 5 {
		response := cluster.sendRequest(cluster.nodes[0], func(request uint64) core.Input { return core.ApplyPlan{RequestID: request, Plan: cluster.plan} })
		if response == nil || response.Status != 503 {
			t.Errorf("plan with an outdated controller: got %+v, want status 503", response)
		}
		cluster.advance(time.Second)
	}
	if r := cluster.record(); r != nil {
		t.Errorf("got stored plan %+v, want none", r)
	}
	cluster.outdatedNode = ""
	cluster.start()
	cluster.waitForPhase(rollout.Completed)
}

// TestOperatorRequests pauses, resumes and aborts a plan, applies it again, and requests the status of an unknown one.
func TestOperatorRequests(t *testing.T) {
	cluster := newRolloutCluster(t)
	cluster.start()
	cluster.waitForPhase(rollout.Baking)
	if response := cluster.change(rollout.Pause); response.Status != 200 {
		t.Error(response)
	}
	cluster.advance(20 * time.Second)
	if r := cluster.record(); r.Phase != rollout.Baking || r.PausedMS == 0 {
		t.Errorf("paused plan: got record %+v, want it paused in phase baking", r)
	}
	if response := cluster.change(rollout.Resume); response.Status != 200 {
		t.Error(response)
	}
	cluster.waitForPhase(rollout.Completing)
	if response := cluster.apply(); response.Status != 200 {
		t.Errorf("applying the same plan again: got %+v, want status 200", response)
	}
	cluster.plan.PromisedCapacity = 20
	if response := cluster.apply(); response.Status != 422 {
		t.Errorf("applying a different plan of the same name: got %+v, want status 422", response)
	}
	cluster.plan.PromisedCapacity = 30
	if response := cluster.change(rollout.Abort); response.Status != 200 {
		t.Error(response)
	}
	cluster.checkRolledBack(rollout.Aborted)
	if response := cluster.requestUntilAnswered(func(request uint64) core.Input { return core.GetPlan{RequestID: request, Name: "writer"} }); response.Status != 404 {
		t.Errorf("status of an unknown plan: got %+v, want status 404", response)
	}
	response := cluster.requestUntilAnswered(func(request uint64) core.Input { return core.GetPlan{RequestID: request, Name: "reader"} })
	if status, ok := response.Body.(core.PlanStatus); !ok || status.Record.Phase != rollout.RolledBack {
		t.Errorf("status of an aborted plan: got %+v, want phase rolled back", response)
	}
}

// TestOwnerCancelsJobs cancels a job of the plan as its owner. A cancelled new job causes a rollback; a cancelled old
// job only reduces the capacity that has to be kept.
func TestOwnerCancelsJobs(t *testing.T) {
	cluster := newRolloutCluster(t)
	cluster.start()
	cluster.waitForPhase(rollout.Baking)
	cluster.sendRequest(cluster.nodes[1], func(request uint64) core.Input { return core.CancelJob{RequestID: request, ID: newJob(1)} })
	cluster.checkRolledBack(rollout.NewCancelled)

	cluster = newRolloutCluster(t)
	cluster.start()
	cluster.waitForPhase(rollout.Baking)
	cluster.capacityNotGuaranteed = true // the owner cancels an old job
	cluster.sendRequest(cluster.nodes[1], func(request uint64) core.Input { return core.CancelJob{RequestID: request, ID: oldJob(1)} })
	cluster.waitForPhase(rollout.Completed)
}

// TestHeldJobs checks that the new jobs of a plan are accepted and stay pending until their step. After the plan was
// aborted they are cancelled, and jobs outside of the plan are not affected.
func TestHeldJobs(t *testing.T) {
	cluster := newRolloutCluster(t)
	cluster.apply()
	cluster.submitNew()
	cluster.submitAt(cluster.nodes[0], replicaJob("run-000050", "t1"))
	cluster.routers[0].isolated, cluster.routers[1].isolated = true, true
	cluster.unreachable = func(task string) bool { return task < "run-000010" } // so that the plan remains pending
	cluster.advance(10 * time.Second)
	for i := range newJobs {
		response := cluster.sendRequest(cluster.nodes[i], func(request uint64) core.Input { return core.GetJob{RequestID: request, ID: newJob(i)} })
		if s, ok := response.Body.(wire.JobResponse); !ok || s.Status != wire.JobPending {
			t.Errorf("held job %s: got %+v, want it pending", newJob(i), response)
		}
	}
	if !cluster.hasTaskOnWorker("run-000050") {
		t.Error("a job outside of the plan does not run, want it running")
	}
	cluster.restartLeaderIfAny()
	cluster.advance(10 * time.Second)
	cluster.change(rollout.Abort)
	cluster.unreachable = nil
	cluster.checkRolledBack(rollout.Aborted)
	for i := range newJobs {
		if !cluster.cancelled(newJob(i)) {
			t.Errorf("new job %s is not cancelled", newJob(i))
		}
	}
	if cluster.cancelled("run-000050") {
		t.Error("a job outside of the plan was cancelled")
	}
}

// TestRefusedPlans checks that the refusal of a plan names the invalid field and discloses nothing about jobs of other
// teams.
func TestRefusedPlans(t *testing.T) {
	cluster := newRolloutCluster(t)
	cluster.submitAt(cluster.nodes[0], replicaJob("run-000060", "t2"))
	array := replicaJob("run-000061", "t1")
	array.Kind, array.EstimatedRunS = wire.KindArray, 60
	cluster.submitAt(cluster.nodes[0], array)
	cluster.submitReplica("run-000062")
	cluster.advance(8 * time.Second)
	valid := *cluster.plan
	refuse := func(change func(p *rollout.Plan), field string) string {
		t.Helper()
		p := valid
		p.Old.Jobs, p.New.Jobs = append([]string{}, valid.Old.Jobs...), append([]string{}, valid.New.Jobs...)
		p.Name = "other"
		change(&p)
		cluster.plan = &p
		response := cluster.apply()
		body, ok := response.Body.(wire.ErrorBody)
		if response.Status != 422 || !ok || !strings.HasPrefix(body.Error, field) || cluster.record() != nil {
			t.Errorf("%s: got %+v, want status 422 with an error for this field, and no stored plan", field, response)
		}
		return strings.TrimPrefix(body.Error, field)
	}
	refuse(func(p *rollout.Plan) { p.Team = "nobody" }, "/team")
	unknown := refuse(func(p *rollout.Plan) { p.Old.Jobs[1] = "run-000099" }, "/old/jobs/1")
	ofOtherTeam := refuse(func(p *rollout.Plan) { p.Old.Jobs[1] = "run-000060" }, "/old/jobs/1")
	if unknown != ofOtherTeam {
		t.Errorf("got messages %q for an unknown job and %q for another team's, want the same", unknown, ofOtherTeam)
	}
	refuse(func(p *rollout.Plan) { p.Old.Jobs[1] = "run-000061" }, "/old/jobs/1")
	refuse(func(p *rollout.Plan) { p.New.Jobs[0] = "run-000060" }, "/new/jobs/0")
	refuse(func(p *rollout.Plan) { p.New.Jobs[0] = "run-000062" }, "/new/jobs/0")
	refuse(func(p *rollout.Plan) { p.PromisedCapacity = 50 }, "/promised_capacity")
	cluster.plan = &valid
	if response := cluster.apply(); response.Status != 200 {
		t.Fatal(response)
	}
	p := valid
	p.Name = "second"
	cluster.plan = &p
	if response := cluster.apply(); response.Status != 422 || !strings.HasPrefix(response.Body.(wire.ErrorBody).Error, "/old/jobs/0") {
		t.Errorf("plan with a job of another plan: got %+v, want status 422 for /old/jobs/0", response)
	}

	cluster = newRolloutCluster(t)
	cluster.limitTeam(9) // the old version uses 8 GPUs; a new replica of 2 GPUs does not fit
	cluster.submitNew()
	cluster.advance(2 * time.Second)
	if response := cluster.apply(); response.Status != 422 || !strings.HasPrefix(response.Body.(wire.ErrorBody).Error, "/new/jobs") {
		t.Errorf("plan beyond the team's limit: got %+v, want status 422 for /new/jobs", response)
	}
}

// TestRolloutsDisabled checks that plans are refused and nothing is stored when rollouts are disabled in the settings.
func TestRolloutsDisabled(t *testing.T) {
	cluster := newRolloutCluster(t)
	cluster.operator.Rollouts.Enabled = false
	cluster.restartNodes()
	cluster.advance(10 * time.Second)
	if response := cluster.apply(); response.Status != 422 || len(storedKeys(cluster.store, "w/p/")) > 0 {
		t.Errorf("plan with rollouts disabled: got %+v, want status 422 and nothing stored", response)
	}
}

// TestUnreadablePlan corrupts a stored plan. Its jobs stay as they are, and the plan can't be changed.
func TestUnreadablePlan(t *testing.T) {
	cluster := newRolloutCluster(t)
	cluster.start()
	cluster.waitForPhase(rollout.Baking)
	cluster.store.Txn(wire.Txn{Then: []wire.Op{{Put: "w/p/reader", Value: []byte(`"corrupt"`)}}})
	cluster.runFor(20 * time.Second)
	if cluster.hasTaskOnWorker(newJob(1)) || !cluster.hasTaskOnWorker(newJob(0)) || !cluster.hasTaskOnWorker(oldJob(0)) {
		t.Error("jobs of an unreadable plan were started or cancelled")
	}
	if response := cluster.change(rollout.Abort); response.Status != 422 {
		t.Errorf("changing an unreadable plan: got %+v, want status 422", response)
	}
}

// TestVersionWithoutRolloutsCannotLead checks that from the first plan on the term is stored in a format that versions
// without rollouts can't read. So none of them can become the leader.
func TestVersionWithoutRolloutsCannotLead(t *testing.T) {
	cluster := newRolloutCluster(t)
	cluster.apply()
	for range 2 {
		item, _ := cluster.store.Get("w/term")
		if core.ReadableBeforeRollouts(item.Value) {
			t.Errorf("got term %s, want one that versions without rollouts can't read", item.Value)
		}
		cluster.restartLeaderIfAny()
		cluster.advance(6 * time.Second)
	}
}

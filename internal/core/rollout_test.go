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
	world := newRolloutCluster(t)
	world.start()
	world.waitForPhase(rollout.Completed)
	want := "pending starting checking shifting baking starting checking shifting baking completing retiring completed"
	if got := strings.Join(world.phases, " "); !strings.HasSuffix(want, got) || len(world.phases) < 8 {
		t.Errorf("unexpected phases: %s", got)
	}
	for i := range newJobs {
		if !world.hasTaskOnWorker(newJob(i)) || world.cancelled(newJob(i)) {
			t.Errorf("new job %s does not run", newJob(i))
		}
	}
	for i := range oldJobs {
		if world.hasTaskOnWorker(oldJob(i)) || !world.cancelled(oldJob(i)) {
			t.Errorf("old job %s still runs or is not cancelled", oldJob(i))
		}
	}
	world.advance(20 * time.Second) // routers use the plan's routing until the record is removed
	response := world.requestUntilAnswered(func(request uint64) core.Input { return core.GetPlan{RequestID: request, Name: "reader"} })
	if status, ok := response.Body.(core.PlanStatus); !ok || status.Capacity.New != 10*newJobs*replicasOfJob {
		t.Errorf("status of a completed plan lacks its replicas: %+v", response.Body)
	}
	world.advance(20 * time.Second)
	if r := world.record(); r != nil {
		t.Errorf("record is not removed after its retention period: %+v", r)
	}
}

// checkRolledBack waits for the rollback and checks its reason, that only the old version runs, and that no router
// sends traffic to the new one.
func (world *rolloutCluster) checkRolledBack(reason rollout.Reason) {
	world.t.Helper()
	world.waitForPhase(rollout.RolledBack)
	world.advance(5 * time.Second)
	if r := world.record(); r.Reason != reason {
		world.t.Errorf("rolled back for reason %q, detail %q, want reason %q", r.Reason, r.Detail, reason)
	}
	for i := range newJobs {
		if world.hasTaskOnWorker(newJob(i)) {
			world.t.Errorf("new job %s still runs", newJob(i))
		}
	}
	for i := range oldJobs {
		if !world.capacityNotGuaranteed && (world.cancelled(oldJob(i)) || !world.hasTaskOnWorker(oldJob(i))) {
			world.t.Errorf("old job %s does not run", oldJob(i))
		}
	}
	for _, r := range world.routers {
		for _, weight := range r.weights(world.now) {
			if weight.Version == rollout.NewVersion {
				world.t.Errorf("router %s sends traffic to %s", r.name, weight.Task)
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
			world := newRolloutCluster(t)
			world.start()
			world.waitForPhase(test.phase)
			probeCount := 0
			world.capacityNotGuaranteed = strings.HasPrefix(name, "the old") // failing old replicas reduce the capacity, whatever the rollout does
			world.setWrongAnswers(func(task string) bool {
				probeCount++
				return test.wrong(task, probeCount)
			})
			world.checkRolledBack(rollout.CheckFailed)
		})
	}
}

// TestRestartedReplicaIsRevalidated restarts a replica while its step bakes. The validation of the earlier attempt does
// not count: the step has to be checked again before it goes on.
func TestRestartedReplicaIsRevalidated(t *testing.T) {
	world := newRolloutCluster(t)
	world.plan.Steps[0].BakeS = 30
	world.start()
	world.waitForPhase(rollout.Baking)
	for _, worker := range world.workers {
		if worker.machine.Holds("run-000011/0") && !worker.machine.Holds("run-000001/0") && !worker.machine.Holds("run-000002/0") {
			worker.stopped = true
		}
	}
	world.capacityNotGuaranteed = true
	world.waitForPhase(rollout.Checking)
	world.waitForPhase(rollout.Completed)
}

// TestUnreachableReplica checks that an unreachable replica is not treated like one that answers wrongly: the step
// waits, and the plan is rolled back only after unreachable_s.
func TestUnreachableReplica(t *testing.T) {
	world := newRolloutCluster(t)
	world.unreachable = func(task string) bool { return task == "run-000011/1" }
	world.start()
	world.waitForPhase(rollout.Checking)
	world.advance(10 * time.Second)
	if r := world.record(); r.Phase != rollout.Checking {
		t.Fatalf("the step does not wait for the unreachable replica: %+v", r)
	}
	world.unreachable = nil
	world.waitForPhase(rollout.Baking)
	world.unreachable = func(task string) bool { return task == "run-000011/1" }
	world.checkRolledBack(rollout.Unreachable)
}

// TestInsufficientTeamLimit lowers the team's limit so that the new jobs of a step do not fit. The step waits without
// affecting the old version, and the plan is rolled back after wait_s.
func TestInsufficientTeamLimit(t *testing.T) {
	world := newRolloutCluster(t)
	world.plan.Limits.WaitTimeoutS = 30
	world.apply()
	world.limitTeam(9)
	world.submitNew()
	world.waitForPhase(rollout.Starting)
	world.advance(15 * time.Second)
	if r := world.record(); r.Phase != rollout.Starting || world.hasTaskOnWorker(newJob(0)) {
		t.Errorf("the step does not wait for quota: %+v", r)
	}
	world.checkRolledBack(rollout.TimedOut)
}

// TestTwoPlans runs the plans of two teams at the same time. The rollback of one does not affect the other.
func TestTwoPlans(t *testing.T) {
	world := newRolloutCluster(t)
	world.start()
	other := &rollout.Plan{Name: "writer", Team: "t2", PromisedCapacity: 10, Checks: world.plan.Checks, Limits: world.plan.Limits,
		Old: rollout.VersionSpec{Jobs: []string{"run-000101"}, ReplicaCapacity: 10}, New: rollout.VersionSpec{Jobs: []string{"run-000111"}, ReplicaCapacity: 10},
		Steps: []rollout.Step{{Jobs: []string{"run-000111"}, Share: 1, BakeS: 1}}}
	world.submitAt(world.nodes[0], replicaJob("run-000101", "t2"))
	world.advance(8 * time.Second)
	if response := world.requestUntilAnswered(func(request uint64) core.Input { return core.ApplyPlan{RequestID: request, Plan: other} }); response.Status != 200 {
		t.Fatalf("the second plan was refused: %+v", response)
	}
	world.submitAt(world.nodes[0], replicaJob("run-000111", "t2"))
	world.setWrongAnswers(func(task string) bool { return task == "run-000111/0" })
	world.waitForPhase(rollout.Completed)
	world.advance(10 * time.Second)
	if !world.cancelled("run-000111") || world.cancelled("run-000101") || !world.hasTaskOnWorker("run-000101") {
		t.Error("the plan whose new version answers wrongly was not rolled back")
	}
}

// TestOutdatedController runs one controller of a version without rollouts. No plan is accepted until it was replaced.
func TestOutdatedController(t *testing.T) {
	world := newRolloutCluster(t)
	world.outdatedNode = world.followerNode().name
	world.restartNodes()
	world.advance(8 * time.Second)
	for world.leaderNode().name == world.outdatedNode {
		world.restartLeader()
		world.advance(8 * time.Second)
	}
	for range 5 {
		response := world.sendRequest(world.nodes[0], func(request uint64) core.Input { return core.ApplyPlan{RequestID: request, Plan: world.plan} })
		if response == nil || response.Status != 503 {
			t.Errorf("a plan was not refused with 503: %+v", response)
		}
		world.advance(time.Second)
	}
	if r := world.record(); r != nil {
		t.Errorf("a plan was stored: %+v", r)
	}
	world.outdatedNode = ""
	world.start()
	world.waitForPhase(rollout.Completed)
}

// TestOperatorRequests pauses, resumes and aborts a plan, applies it again, and requests the status of an unknown one.
func TestOperatorRequests(t *testing.T) {
	world := newRolloutCluster(t)
	world.start()
	world.waitForPhase(rollout.Baking)
	if response := world.change(rollout.Pause); response.Status != 200 {
		t.Error(response)
	}
	world.advance(20 * time.Second)
	if r := world.record(); r.Phase != rollout.Baking || r.PausedMS == 0 {
		t.Errorf("a paused plan advances: %+v", r)
	}
	if response := world.change(rollout.Resume); response.Status != 200 {
		t.Error(response)
	}
	world.waitForPhase(rollout.Completing)
	if response := world.apply(); response.Status != 200 {
		t.Errorf("applying the same plan again: %+v", response)
	}
	world.plan.PromisedCapacity = 20
	if response := world.apply(); response.Status != 422 {
		t.Errorf("applying a different plan of the same name: %+v", response)
	}
	world.plan.PromisedCapacity = 30
	if response := world.change(rollout.Abort); response.Status != 200 {
		t.Error(response)
	}
	world.checkRolledBack(rollout.Aborted)
	if response := world.requestUntilAnswered(func(request uint64) core.Input { return core.GetPlan{RequestID: request, Name: "writer"} }); response.Status != 404 {
		t.Errorf("status of an unknown plan: %+v", response)
	}
	response := world.requestUntilAnswered(func(request uint64) core.Input { return core.GetPlan{RequestID: request, Name: "reader"} })
	if status, ok := response.Body.(core.PlanStatus); !ok || status.Record.Phase != rollout.RolledBack {
		t.Errorf("status of an aborted plan: %+v", response)
	}
}

// TestOwnerCancelsJobs has the owner cancel a job of the plan. A cancelled new job causes a rollback; a cancelled old
// job only reduces the capacity that has to be kept.
func TestOwnerCancelsJobs(t *testing.T) {
	world := newRolloutCluster(t)
	world.start()
	world.waitForPhase(rollout.Baking)
	world.sendRequest(world.nodes[1], func(request uint64) core.Input { return core.CancelJob{RequestID: request, ID: newJob(1)} })
	world.checkRolledBack(rollout.NewCancelled)

	world = newRolloutCluster(t)
	world.start()
	world.waitForPhase(rollout.Baking)
	world.capacityNotGuaranteed = true // the owner cancels an old job
	world.sendRequest(world.nodes[1], func(request uint64) core.Input { return core.CancelJob{RequestID: request, ID: oldJob(1)} })
	world.waitForPhase(rollout.Completed)
}

// TestHeldJobs checks that the new jobs of a plan are accepted and stay pending until their step. After the plan was
// aborted they are cancelled, and jobs outside of the plan are not affected.
func TestHeldJobs(t *testing.T) {
	world := newRolloutCluster(t)
	world.apply()
	world.submitNew()
	world.submitAt(world.nodes[0], replicaJob("run-000050", "t1"))
	world.routers[0].isolated, world.routers[1].isolated = true, true
	world.unreachable = func(task string) bool { return task < "run-000010" } // so the plan stays pending
	world.advance(10 * time.Second)
	for i := range newJobs {
		response := world.sendRequest(world.nodes[i], func(request uint64) core.Input { return core.GetJob{RequestID: request, ID: newJob(i)} })
		if s, ok := response.Body.(wire.JobResponse); !ok || s.Status != wire.JobPending {
			t.Errorf("held job %s is not pending: %+v", newJob(i), response)
		}
	}
	if !world.hasTaskOnWorker("run-000050") {
		t.Error("a job outside of the plan is held back")
	}
	world.restartLeaderIfAny()
	world.advance(10 * time.Second)
	world.change(rollout.Abort)
	world.unreachable = nil
	world.checkRolledBack(rollout.Aborted)
	for i := range newJobs {
		if !world.cancelled(newJob(i)) {
			t.Errorf("new job %s is not cancelled", newJob(i))
		}
	}
	if world.cancelled("run-000050") {
		t.Error("a job outside of the plan was cancelled")
	}
}

// TestRefusedPlans checks that the refusal of a plan names the invalid field and discloses nothing about jobs of other
// teams.
func TestRefusedPlans(t *testing.T) {
	world := newRolloutCluster(t)
	world.submitAt(world.nodes[0], replicaJob("run-000060", "t2"))
	array := replicaJob("run-000061", "t1")
	array.Kind, array.EstimatedRunS = wire.KindArray, 60
	world.submitAt(world.nodes[0], array)
	world.submitReplica("run-000062")
	world.advance(8 * time.Second)
	valid := *world.plan
	refuse := func(change func(p *rollout.Plan), field string) string {
		t.Helper()
		p := valid
		p.Old.Jobs, p.New.Jobs = append([]string{}, valid.Old.Jobs...), append([]string{}, valid.New.Jobs...)
		p.Name = "other"
		change(&p)
		world.plan = &p
		response := world.apply()
		body, ok := response.Body.(wire.ErrorBody)
		if response.Status != 422 || !ok || !strings.HasPrefix(body.Error, field) || world.record() != nil {
			t.Errorf("%s: %+v", field, response)
		}
		return strings.TrimPrefix(body.Error, field)
	}
	refuse(func(p *rollout.Plan) { p.Team = "nobody" }, "/team")
	unknown := refuse(func(p *rollout.Plan) { p.Old.Jobs[1] = "run-000099" }, "/old/jobs/1")
	theirs := refuse(func(p *rollout.Plan) { p.Old.Jobs[1] = "run-000060" }, "/old/jobs/1")
	if unknown != theirs {
		t.Errorf("messages distinguish an unknown job from another team's: %q, %q", unknown, theirs)
	}
	refuse(func(p *rollout.Plan) { p.Old.Jobs[1] = "run-000061" }, "/old/jobs/1")
	refuse(func(p *rollout.Plan) { p.New.Jobs[0] = "run-000060" }, "/new/jobs/0")
	refuse(func(p *rollout.Plan) { p.New.Jobs[0] = "run-000062" }, "/new/jobs/0")
	refuse(func(p *rollout.Plan) { p.PromisedCapacity = 50 }, "/promised_capacity")
	world.plan = &valid
	if response := world.apply(); response.Status != 200 {
		t.Fatal(response)
	}
	p := valid
	p.Name = "second"
	world.plan = &p
	if response := world.apply(); response.Status != 422 || !strings.HasPrefix(response.Body.(wire.ErrorBody).Error, "/old/jobs/0") {
		t.Errorf("plan with a job of another plan: %+v", response)
	}

	world = newRolloutCluster(t)
	world.limitTeam(9) // the old version uses 8 GPUs; a new replica of 2 GPUs does not fit
	world.submitNew()
	world.advance(2 * time.Second)
	if response := world.apply(); response.Status != 422 || !strings.HasPrefix(response.Body.(wire.ErrorBody).Error, "/new/jobs") {
		t.Errorf("plan beyond the team's limit: %+v", response)
	}
}

// TestRolloutsDisabled checks that plans are refused and nothing is stored when rollouts are disabled in the settings.
func TestRolloutsDisabled(t *testing.T) {
	world := newRolloutCluster(t)
	world.operator.Rollouts.Enabled = false
	world.restartNodes()
	world.advance(10 * time.Second)
	if response := world.apply(); response.Status != 422 || len(storedKeys(world.store, "w/p/")) > 0 {
		t.Errorf("plan with rollouts disabled: %+v", response)
	}
}

// TestUnreadablePlan corrupts a stored plan. Its jobs stay as they are, and the plan can't be changed.
func TestUnreadablePlan(t *testing.T) {
	world := newRolloutCluster(t)
	world.start()
	world.waitForPhase(rollout.Baking)
	world.store.Txn(wire.Txn{Then: []wire.Op{{Put: "w/p/reader", Value: []byte(`"corrupt"`)}}})
	world.runFor(20 * time.Second)
	if world.hasTaskOnWorker(newJob(1)) || !world.hasTaskOnWorker(newJob(0)) || !world.hasTaskOnWorker(oldJob(0)) {
		t.Error("jobs of an unreadable plan were started or cancelled")
	}
	if response := world.change(rollout.Abort); response.Status != 422 {
		t.Errorf("changing an unreadable plan: %+v", response)
	}
}

// TestVersionWithoutRolloutsCannotLead checks that from the first plan on the term is stored in a format that versions
// without rollouts can't read. So none of them can become the leader.
func TestVersionWithoutRolloutsCannotLead(t *testing.T) {
	world := newRolloutCluster(t)
	world.apply()
	for range 2 {
		item, _ := world.store.Get("w/term")
		if core.ReadableBeforeRollouts(item.Value) {
			t.Errorf("an older version can read the term %s", item.Value)
		}
		world.restartLeaderIfAny()
		world.advance(6 * time.Second)
	}
}

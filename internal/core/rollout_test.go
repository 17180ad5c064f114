package core_test

import (
	"strings"
	"testing"
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/rollout"
	"bitternwing/internal/wire"
)

// TestRolloutCompletes brings a new version in, and retires the old one.
func TestRolloutCompletes(t *testing.T) {
	world := newRolloutWorld(t)
	world.start()
	world.waitForPhase(rollout.Completed)
	want := "pending starting checking shifting baking starting checking shifting baking completing retiring completed"
	if got := strings.Join(world.phases, " "); !strings.HasSuffix(want, got) || len(world.phases) < 8 {
		t.Errorf("phases %s", got)
	}
	for i := range newJobs {
		if !world.hasTaskOnWorker(newJob(i)) || world.cancelled(newJob(i)) {
			t.Errorf("%s does not serve", newJob(i))
		}
	}
	for i := range oldJobs {
		if world.hasTaskOnWorker(oldJob(i)) || !world.cancelled(oldJob(i)) {
			t.Errorf("%s still serves", oldJob(i))
		}
	}
	world.advance(20 * time.Second) // routers still go by it, until it is removed
	response := world.order(func(request uint64) core.Input { return core.GetPlan{RequestID: request, Name: "reader"} })
	if status, ok := response.Body.(core.PlanStatus); !ok || status.Capacity.New != 10*newJobs*replicasOfJob {
		t.Errorf("an ended plan does not know its replicas: %+v", response.Body)
	}
	world.advance(20 * time.Second)
	if r := world.record(); r != nil {
		t.Errorf("the result is kept for good: %+v", r)
	}
}

// checkRolledBack checks that the old version serves alone, and why.
func (world *rolloutWorld) checkRolledBack(reason rollout.Reason) {
	world.t.Helper()
	world.waitForPhase(rollout.RolledBack)
	world.advance(5 * time.Second)
	if r := world.record(); r.Reason != reason {
		world.t.Errorf("rolled back for %q %s, not %q", r.Reason, r.Detail, reason)
	}
	for i := range newJobs {
		if world.hasTaskOnWorker(newJob(i)) {
			world.t.Errorf("%s still runs", newJob(i))
		}
	}
	for i := range oldJobs {
		if !world.machinesTaken && (world.cancelled(oldJob(i)) || !world.hasTaskOnWorker(oldJob(i))) {
			world.t.Errorf("%s does not serve", oldJob(i))
		}
	}
	for _, r := range world.routers {
		for _, x := range r.weights(world.now) {
			if x.Version == rollout.NewVersion {
				world.t.Errorf("router %s sends traffic to %s", r.name, x.Task)
			}
		}
	}
}

// TestWrongAnswers has a new version that is healthy answer wrongly, in each way that may show late.
func TestWrongAnswers(t *testing.T) {
	for name, x := range map[string]struct {
		phase rollout.Phase // when it begins
		wrong func(task string, asked int) bool
	}{
		"from the start":            {rollout.Pending, func(task string, _ int) bool { return task > "run-000010" }},
		"one replica of many":       {rollout.Pending, func(task string, _ int) bool { return task == "run-000012/1" }},
		"after a while":             {rollout.Baking, func(task string, _ int) bool { return task == "run-000011/0" }},
		"only for some requests":    {rollout.Pending, func(task string, asked int) bool { return task == "run-000011/1" && asked%5 == 4 }},
		"when all is shifted":       {rollout.Completing, func(task string, _ int) bool { return task > "run-000010" }},
		"the old version as well":   {rollout.Pending, func(string, int) bool { return true }},
		"the old version was first": {rollout.Shifting, func(string, int) bool { return true }},
	} {
		t.Run(name, func(t *testing.T) {
			world := newRolloutWorld(t)
			world.start()
			world.waitForPhase(x.phase)
			asked := 0
			world.machinesTaken = strings.HasPrefix(name, "the old") // a wrong old version is no capacity, whoever rolls out
			world.answerWrongly(func(task string) bool {
				asked++
				return x.wrong(task, asked)
			})
			world.checkRolledBack(rollout.WrongAnswer)
		})
	}
}

// TestRestartHasNoCredit has a replica start anew while its step bakes: the step is checked again before it goes on.
func TestRestartHasNoCredit(t *testing.T) {
	world := newRolloutWorld(t)
	world.plan.Steps[0].BakeS = 30
	world.start()
	world.waitForPhase(rollout.Baking)
	for _, x := range world.workers {
		if x.machine.Holds("run-000011/0") && !x.machine.Holds("run-000001/0") && !x.machine.Holds("run-000002/0") {
			x.stopped = true
		}
	}
	world.machinesTaken = true
	world.waitForPhase(rollout.Checking)
	world.waitForPhase(rollout.Completed)
}

// TestUnreachableReplica is told apart from a wrong one: the step waits, and goes back only after its limit.
func TestUnreachableReplica(t *testing.T) {
	world := newRolloutWorld(t)
	world.unreachable = func(task string) bool { return task == "run-000011/1" }
	world.start()
	world.waitForPhase(rollout.Checking)
	world.advance(10 * time.Second)
	if r := world.record(); r.Phase != rollout.Checking {
		t.Fatalf("the step does not wait: %+v", r)
	}
	world.unreachable = nil
	world.waitForPhase(rollout.Baking)
	world.unreachable = func(task string) bool { return task == "run-000011/1" }
	world.checkRolledBack(rollout.Unreachable)
}

// TestNoRoom lowers the team's limit so that a step's jobs don't fit. The step waits, the old version is not touched for
// it, and the plan goes back after its limit.
func TestNoRoom(t *testing.T) {
	world := newRolloutWorld(t)
	world.plan.Limits.WaitS = 30
	world.apply()
	world.limitTeam(9)
	world.submitNew()
	world.waitForPhase(rollout.Starting)
	world.advance(15 * time.Second)
	if r := world.record(); r.Phase != rollout.Starting || world.hasTaskOnWorker(newJob(0)) {
		t.Errorf("the step does not wait: %+v", r)
	}
	world.checkRolledBack(rollout.TimedOut)
}

// TestTwoPlans has two teams' plans go on at once. One goes back, and the other does not care.
func TestTwoPlans(t *testing.T) {
	world := newRolloutWorld(t)
	world.start()
	other := &rollout.Plan{Name: "writer", Team: "t2", PromisedCapacity: 10, Checks: world.plan.Checks, Limits: world.plan.Limits,
		Old: rollout.Fleet{Jobs: []string{"run-000101"}, ReplicaCapacity: 10}, New: rollout.Fleet{Jobs: []string{"run-000111"}, ReplicaCapacity: 10},
		Steps: []rollout.Step{{Jobs: []string{"run-000111"}, Share: 1, BakeS: 1}}}
	world.submitAt(world.nodes[0], replicaJob("run-000101", "t2"))
	world.advance(8 * time.Second)
	if response := world.order(func(request uint64) core.Input { return core.ApplyPlan{RequestID: request, Plan: other} }); response.Status != 200 {
		t.Fatalf("the second plan is refused: %+v", response)
	}
	world.submitAt(world.nodes[0], replicaJob("run-000111", "t2"))
	world.answerWrongly(func(task string) bool { return task == "run-000111/0" })
	world.waitForPhase(rollout.Completed)
	world.advance(10 * time.Second)
	if !world.cancelled("run-000111") || world.cancelled("run-000101") || !world.hasTaskOnWorker("run-000101") {
		t.Error("the plan whose new version is wrong does not go back to its old one")
	}
}

// TestOutdatedController has a controller of a version without plans beside the others: no plan is taken until it has
// been replaced.
func TestOutdatedController(t *testing.T) {
	world := newRolloutWorld(t)
	world.outdatedNode = world.followerNode().name
	world.restartNodes()
	world.advance(8 * time.Second)
	for world.leaderNode().name == world.outdatedNode {
		world.restartLeader()
		world.advance(8 * time.Second)
	}
	for range 5 {
		response := world.ask(world.nodes[0], func(request uint64) core.Input { return core.ApplyPlan{RequestID: request, Plan: world.plan} })
		if response == nil || response.Status != 503 {
			t.Errorf("a plan is taken: %+v", response)
		}
		world.advance(time.Second)
	}
	if r := world.record(); r != nil {
		t.Errorf("a plan is stored: %+v", r)
	}
	world.outdatedNode = ""
	world.start()
	world.waitForPhase(rollout.Completed)
}

// TestOperators pauses, resumes and aborts a plan, applies it again, and asks for one that there is not.
func TestOperators(t *testing.T) {
	world := newRolloutWorld(t)
	world.start()
	world.waitForPhase(rollout.Baking)
	if response := world.change(rollout.Pause); response.Status != 200 {
		t.Error(response)
	}
	world.advance(20 * time.Second)
	if r := world.record(); r.Phase != rollout.Baking || r.PausedMS == 0 {
		t.Errorf("a paused plan goes on: %+v", r)
	}
	if response := world.change(rollout.Resume); response.Status != 200 {
		t.Error(response)
	}
	world.waitForPhase(rollout.Completing)
	if response := world.apply(); response.Status != 200 {
		t.Errorf("the same plan once more: %+v", response)
	}
	world.plan.PromisedCapacity = 20
	if response := world.apply(); response.Status != 422 {
		t.Errorf("another plan of the name: %+v", response)
	}
	world.plan.PromisedCapacity = 30
	if response := world.change(rollout.Abort); response.Status != 200 {
		t.Error(response)
	}
	world.checkRolledBack(rollout.Aborted)
	if response := world.order(func(request uint64) core.Input { return core.GetPlan{RequestID: request, Name: "writer"} }); response.Status != 404 {
		t.Errorf("an unknown plan: %+v", response)
	}
	response := world.order(func(request uint64) core.Input { return core.GetPlan{RequestID: request, Name: "reader"} })
	if status, ok := response.Body.(core.PlanStatus); !ok || status.Record.Phase != rollout.RolledBack {
		t.Errorf("shown: %+v", response)
	}
}

// TestOwnerCancelsByHand cancels a new and an old job while the plan goes on.
func TestOwnerCancelsByHand(t *testing.T) {
	world := newRolloutWorld(t)
	world.start()
	world.waitForPhase(rollout.Baking)
	world.ask(world.nodes[1], func(request uint64) core.Input { return core.CancelJob{RequestID: request, ID: newJob(1)} })
	world.checkRolledBack(rollout.NewCancelled)

	world = newRolloutWorld(t)
	world.start()
	world.waitForPhase(rollout.Baking)
	world.machinesTaken = true // by its owner
	world.ask(world.nodes[1], func(request uint64) core.Input { return core.CancelJob{RequestID: request, ID: oldJob(1)} })
	world.waitForPhase(rollout.Completed)
}

// TestHeldJobs are accepted, known and pending; those of an ended plan are cancelled, and nothing else is.
func TestHeldJobs(t *testing.T) {
	world := newRolloutWorld(t)
	world.apply()
	world.submitNew()
	world.submitAt(world.nodes[0], replicaJob("run-000050", "t1"))
	world.routers[0].isolated, world.routers[1].isolated = true, true
	world.unreachable = func(task string) bool { return task < "run-000010" } // the old version is not whole
	world.advance(10 * time.Second)
	for i := range newJobs {
		response := world.ask(world.nodes[i], func(request uint64) core.Input { return core.GetJob{RequestID: request, ID: newJob(i)} })
		if s, ok := response.Body.(wire.JobState); !ok || s.State != wire.JobPending {
			t.Errorf("%s: %+v", newJob(i), response)
		}
	}
	if !world.hasTaskOnWorker("run-000050") {
		t.Error("a job of no plan waits")
	}
	world.restartLeaderIfAny()
	world.advance(10 * time.Second)
	world.change(rollout.Abort)
	world.unreachable = nil
	world.checkRolledBack(rollout.Aborted)
	for i := range newJobs {
		if !world.cancelled(newJob(i)) {
			t.Errorf("%s is not cancelled", newJob(i))
		}
	}
	if world.cancelled("run-000050") {
		t.Error("a job of no plan is cancelled")
	}
}

// TestRefusedPlans names the field, and tells nothing of other teams' jobs.
func TestRefusedPlans(t *testing.T) {
	world := newRolloutWorld(t)
	world.submitAt(world.nodes[0], replicaJob("run-000060", "t2"))
	array := replicaJob("run-000061", "t1")
	array.Kind, array.EstimatedRunS = wire.KindArray, 60
	world.submitAt(world.nodes[0], array)
	world.submitReplica("run-000062")
	world.advance(8 * time.Second)
	good := *world.plan
	refuse := func(change func(p *rollout.Plan), field string) string {
		t.Helper()
		p := good
		p.Old.Jobs, p.New.Jobs = append([]string{}, good.Old.Jobs...), append([]string{}, good.New.Jobs...)
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
		t.Errorf("another team's job is told apart: %q, %q", unknown, theirs)
	}
	refuse(func(p *rollout.Plan) { p.Old.Jobs[1] = "run-000061" }, "/old/jobs/1")
	refuse(func(p *rollout.Plan) { p.New.Jobs[0] = "run-000060" }, "/new/jobs/0")
	refuse(func(p *rollout.Plan) { p.New.Jobs[0] = "run-000062" }, "/new/jobs/0")
	refuse(func(p *rollout.Plan) { p.PromisedCapacity = 50 }, "/promised_capacity")
	world.plan = &good
	if response := world.apply(); response.Status != 200 {
		t.Fatal(response)
	}
	p := good
	p.Name = "second"
	world.plan = &p
	if response := world.apply(); response.Status != 422 || !strings.HasPrefix(response.Body.(wire.ErrorBody).Error, "/old/jobs/0") {
		t.Errorf("a job in two plans: %+v", response)
	}

	world = newRolloutWorld(t)
	world.limitTeam(9) // the old version takes 8 of it, and no new replica fits beside it
	world.submitNew()
	world.advance(2 * time.Second)
	if response := world.apply(); response.Status != 422 || !strings.HasPrefix(response.Body.(wire.ErrorBody).Error, "/new/jobs") {
		t.Errorf("more than the team's limit: %+v", response)
	}
}

// TestSwitchedOff refuses plans, and writes nothing.
func TestSwitchedOff(t *testing.T) {
	world := newRolloutWorld(t)
	world.operator.Rollouts.Enabled = false
	world.restartNodes()
	world.advance(10 * time.Second)
	if response := world.apply(); response.Status != 422 || len(storedKeys(world.store, "w/p/")) > 0 {
		t.Errorf("%+v", response)
	}
}

// TestUnreadablePlan has a stored plan spoiled. Its jobs stay as they are, and another plan goes on.
func TestUnreadablePlan(t *testing.T) {
	world := newRolloutWorld(t)
	world.start()
	world.waitForPhase(rollout.Baking)
	world.store.Txn(wire.Txn{Then: []wire.Op{{Put: "w/p/reader", Value: []byte(`"spoiled"`)}}})
	world.runFor(20 * time.Second)
	if world.hasTaskOnWorker(newJob(1)) || !world.hasTaskOnWorker(newJob(0)) || !world.hasTaskOnWorker(oldJob(0)) {
		t.Error("jobs of a plan that can't be read don't stay as they are")
	}
	if response := world.change(rollout.Abort); response.Status != 422 {
		t.Errorf("a plan that can't be read is changed: %+v", response)
	}
}

// TestOldVersionCannotLead has the term written so that a version without plans can't read it, from the first plan on.
func TestOldVersionCannotLead(t *testing.T) {
	world := newRolloutWorld(t)
	world.apply()
	for range 2 {
		item, _ := world.store.Get("w/term")
		if core.ReadableBefore(item.Value) {
			t.Errorf("an older version reads the term %s", item.Value)
		}
		world.restartLeaderIfAny()
		world.advance(6 * time.Second)
	}
}

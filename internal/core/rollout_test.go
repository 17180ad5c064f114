package core_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bitternwing/internal/core"
	"bitternwing/internal/rollout"
	"bitternwing/internal/wire"
)

// TestRolloutCompletes brings a new version in, and retires the old one.
func TestRolloutCompletes(t *testing.T) {
	w := newRolloutWorld(t)
	w.start()
	w.until(rollout.Completed)
	want := "pending starting checking shifting baking starting checking shifting baking completing retiring completed"
	if got := strings.Join(w.phases, " "); !strings.HasSuffix(want, got) || len(w.phases) < 8 {
		t.Errorf("phases %s", got)
	}
	for i := range newJobs {
		if !w.holds(newJob(i)) || w.cancelled(newJob(i)) {
			t.Errorf("%s does not serve", newJob(i))
		}
	}
	for i := range oldJobs {
		if w.holds(oldJob(i)) || !w.cancelled(oldJob(i)) {
			t.Errorf("%s still serves", oldJob(i))
		}
	}
	w.advance(20 * time.Second) // routers still go by it, until it is removed
	a := w.order(func(req uint64) core.Input { return core.GetPlan{RequestID: req, Name: "reader"} })
	if status, ok := a.Body.(core.PlanStatus); !ok || status.Capacity.New != 10*newJobs*replicasOfJob {
		t.Errorf("an ended plan does not know its replicas: %+v", a.Body)
	}
	w.advance(20 * time.Second)
	if r := w.record(); r != nil {
		t.Errorf("the result is kept for good: %+v", r)
	}
}

// checkRolledBack checks that the old version serves alone, and why.
func (w *rolloutWorld) checkRolledBack(reason rollout.Reason) {
	w.t.Helper()
	w.until(rollout.RolledBack)
	w.advance(5 * time.Second)
	if r := w.record(); r.Reason != reason {
		w.t.Errorf("rolled back for %q %s, not %q", r.Reason, r.Detail, reason)
	}
	for i := range newJobs {
		if w.holds(newJob(i)) {
			w.t.Errorf("%s still runs", newJob(i))
		}
	}
	for i := range oldJobs {
		if !w.taken && (w.cancelled(oldJob(i)) || !w.holds(oldJob(i))) {
			w.t.Errorf("%s does not serve", oldJob(i))
		}
	}
	for _, r := range w.routers {
		for _, x := range r.weights(w.now) {
			if x.Version == rollout.NewVersion {
				w.t.Errorf("router %s sends traffic to %s", r.name, x.Task)
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
			w := newRolloutWorld(t)
			w.start()
			w.until(x.phase)
			asked := 0
			w.taken = strings.HasPrefix(name, "the old") // a wrong old version is no capacity, whoever rolls out
			w.answerWrongly(func(task string) bool {
				asked++
				return x.wrong(task, asked)
			})
			w.checkRolledBack(rollout.WrongAnswer)
		})
	}
}

// TestRestartHasNoCredit has a replica start anew while its step bakes: the step is checked again before it goes on.
func TestRestartHasNoCredit(t *testing.T) {
	w := newRolloutWorld(t)
	w.plan.Steps[0].BakeS = 30
	w.start()
	w.until(rollout.Baking)
	for _, x := range w.workers {
		if x.machine.Holds("run-000011/0") && !x.machine.Holds("run-000001/0") && !x.machine.Holds("run-000002/0") {
			x.dead = true
		}
	}
	w.taken = true
	w.until(rollout.Checking)
	w.until(rollout.Completed)
}

// TestUnreachableReplica is told apart from a wrong one: the step waits, and goes back only after its limit.
func TestUnreachableReplica(t *testing.T) {
	w := newRolloutWorld(t)
	w.unreachable = func(task string) bool { return task == "run-000011/1" }
	w.start()
	w.until(rollout.Checking)
	w.advance(10 * time.Second)
	if r := w.record(); r.Phase != rollout.Checking {
		t.Fatalf("the step does not wait: %+v", r)
	}
	w.unreachable = nil
	w.until(rollout.Baking)
	w.unreachable = func(task string) bool { return task == "run-000011/1" }
	w.checkRolledBack(rollout.Unreachable)
}

// TestLeaderDiesAtEachTransition ends the leader before the commit of a transition, after it, and with the answer to
// it lost or the transaction late.
func TestLeaderDiesAtEachTransition(t *testing.T) {
	phases := []rollout.Phase{rollout.Pending, rollout.Starting, rollout.Checking, rollout.Shifting, rollout.Baking, rollout.Completing, rollout.Retiring}
	for _, phase := range phases {
		for name, fault := range map[string]func(w *rolloutWorld){
			"ends":             func(w *rolloutWorld) { w.crashAny() },
			"answer lost":      func(w *rolloutWorld) { w.loseAnswers = 1 },
			"lost, then ends":  func(w *rolloutWorld) { w.loseAnswers = 1; w.advance(300 * time.Millisecond); w.crashAny() },
			"transaction late": func(w *rolloutWorld) { w.delay = 2; w.advance(2 * time.Second); w.settleLate(w.store) },
			"late, then ends": func(w *rolloutWorld) {
				w.delay = 2
				w.advance(time.Second)
				w.crashAny()
				w.advance(6 * time.Second)
				w.settleLate(w.store)
			},
		} {
			t.Run(fmt.Sprint(phase, " ", name), func(t *testing.T) {
				w := newRolloutWorld(t)
				w.start()
				w.until(phase)
				fault(w)
				w.until(rollout.Completed)
			})
		}
	}
	for _, phase := range phases[:len(phases)-1] { // there is no way back from the last one
		t.Run(fmt.Sprint(phase, " rolling back"), func(t *testing.T) {
			w := newRolloutWorld(t)
			w.start()
			w.until(phase)
			w.answerWrongly(func(task string) bool { return task > "run-000010" })
			if phase != rollout.Pending {
				w.until(rollout.RollingBack)
			}
			w.crashAny()
			w.tolerance += 4 * time.Second // without a leader routers go by what they have until their lease ends
			w.checkRolledBack(rollout.WrongAnswer)
		})
	}
}

// TestDeposedLeader has the state service refuse the leader, which is followed by another one, and serve it again:
// what it still believes moves nothing.
func TestDeposedLeader(t *testing.T) {
	w := newRolloutWorld(t)
	w.start()
	w.until(rollout.Shifting)
	w.refused = w.leaderNode().name
	w.advance(8 * time.Second)
	w.refused = ""
	w.until(rollout.Completed)
}

// TestFrozenLeader has the leader stand still until another one leads, and awake: it takes itself for the leader at first.
func TestFrozenLeader(t *testing.T) {
	for _, phase := range []rollout.Phase{rollout.Checking, rollout.Baking, rollout.Completing} {
		w := newRolloutWorld(t)
		w.start()
		w.until(phase)
		w.frozen = w.leaderNode().name
		w.advance(9 * time.Second)
		w.frozen = ""
		w.until(rollout.Completed)
	}
}

// TestNoRoom lowers the team's limit so that a step's jobs don't fit. The step waits, the old version is not touched for
// it, and the plan goes back after its limit.
func TestNoRoom(t *testing.T) {
	w := newRolloutWorld(t)
	w.plan.Limits.WaitS = 30
	w.apply()
	w.limitTeam(9)
	w.submitNew()
	w.until(rollout.Starting)
	w.advance(15 * time.Second)
	if r := w.record(); r.Phase != rollout.Starting || w.holds(newJob(0)) {
		t.Errorf("the step does not wait: %+v", r)
	}
	w.checkRolledBack(rollout.TimedOut)
}

// TestTwoPlans has two teams' plans go on at once. One goes back, and the other does not care.
func TestTwoPlans(t *testing.T) {
	w := newRolloutWorld(t)
	w.start()
	other := &rollout.Plan{Name: "writer", Team: "t2", PromisedCapacity: 10, Checks: w.plan.Checks, Limits: w.plan.Limits,
		Old: rollout.Fleet{Jobs: []string{"run-000101"}, ReplicaCapacity: 10}, New: rollout.Fleet{Jobs: []string{"run-000111"}, ReplicaCapacity: 10},
		Steps: []rollout.Step{{Jobs: []string{"run-000111"}, Share: 1, BakeS: 1}}}
	w.hand(w.nodes[0], replicaJob("run-000101", "t2"))
	w.advance(8 * time.Second)
	if a := w.order(func(req uint64) core.Input { return core.ApplyPlan{RequestID: req, Plan: other} }); a.Status != 200 {
		t.Fatalf("the second plan is refused: %+v", a)
	}
	w.hand(w.nodes[0], replicaJob("run-000111", "t2"))
	w.answerWrongly(func(task string) bool { return task == "run-000111/0" })
	w.until(rollout.Completed)
	w.advance(10 * time.Second)
	if !w.cancelled("run-000111") || w.cancelled("run-000101") || !w.holds("run-000101") {
		t.Error("the plan whose new version is wrong does not go back to its old one")
	}
}

// TestOutdatedController has a controller of a version without plans beside the others: no plan is taken until it has
// been replaced.
func TestOutdatedController(t *testing.T) {
	w := newRolloutWorld(t)
	w.outdated = w.follower().name
	w.restart()
	w.advance(8 * time.Second)
	for w.leaderNode().name == w.outdated {
		w.crash()
		w.advance(8 * time.Second)
	}
	for range 5 {
		a := w.ask(w.nodes[0], func(req uint64) core.Input { return core.ApplyPlan{RequestID: req, Plan: w.plan} })
		if a == nil || a.Status != 503 {
			t.Errorf("a plan is taken: %+v", a)
		}
		w.advance(time.Second)
	}
	if r := w.record(); r != nil {
		t.Errorf("a plan is stored: %+v", r)
	}
	w.outdated = ""
	w.start()
	w.until(rollout.Completed)
}

// TestStateServiceDown has it refuse the leader, and then all, for longer than a router's lease, in mid-step and in mid-rollback.
func TestStateServiceDown(t *testing.T) {
	for _, wrong := range []bool{false, true} {
		w := newRolloutWorld(t)
		w.start()
		w.until(rollout.Baking)
		if wrong {
			w.answerWrongly(func(task string) bool { return task == "run-000011/0" })
			w.until(rollout.RollingBack)
		}
		w.refused = w.leaderNode().name
		w.advance(time.Second)
		w.stateDown = true
		w.advance(12 * time.Second)
		w.stateDown, w.refused = false, ""
		if wrong {
			w.checkRolledBack(rollout.WrongAnswer)
		} else {
			w.until(rollout.Completed)
		}
	}
}

// TestRouterCutOff has a router hear nothing, or nothing from the leader itself.
func TestRouterCutOff(t *testing.T) {
	w := newRolloutWorld(t)
	w.start()
	w.until(rollout.Baking)
	w.routers[0].cut = true
	w.routers[1].cutFrom = w.leaderNode().name
	w.until(rollout.Completing)
	w.advance(6 * time.Second)
	for _, x := range w.routers[0].weights(w.now) {
		if x.Version != rollout.OldVersion {
			t.Errorf("a router without a lease sends traffic to %s", x.Task)
		}
	}
	if w.routers[1].until < w.now {
		t.Error("a router that reaches other controllers has lost its lease")
	}
	w.routers[0].cut = false
	w.until(rollout.Completed)

	w = newRolloutWorld(t)
	w.start()
	w.until(rollout.Baking)
	w.routers[0].cut = true
	w.answerWrongly(func(task string) bool { return task > "run-000010" })
	w.checkRolledBack(rollout.WrongAnswer)
}

// TestOperators pauses, resumes and aborts a plan, applies it again, and asks for one that there is not.
func TestOperators(t *testing.T) {
	w := newRolloutWorld(t)
	w.start()
	w.until(rollout.Baking)
	if a := w.change(rollout.Pause); a.Status != 200 {
		t.Error(a)
	}
	w.advance(20 * time.Second)
	if r := w.record(); r.Phase != rollout.Baking || r.PausedMS == 0 {
		t.Errorf("a paused plan goes on: %+v", r)
	}
	if a := w.change(rollout.Resume); a.Status != 200 {
		t.Error(a)
	}
	w.until(rollout.Completing)
	if a := w.apply(); a.Status != 200 {
		t.Errorf("the same plan once more: %+v", a)
	}
	w.plan.PromisedCapacity = 20
	if a := w.apply(); a.Status != 422 {
		t.Errorf("another plan of the name: %+v", a)
	}
	w.plan.PromisedCapacity = 30
	if a := w.change(rollout.Abort); a.Status != 200 {
		t.Error(a)
	}
	w.checkRolledBack(rollout.Aborted)
	if a := w.order(func(req uint64) core.Input { return core.GetPlan{RequestID: req, Name: "writer"} }); a.Status != 404 {
		t.Errorf("an unknown plan: %+v", a)
	}
	a := w.order(func(req uint64) core.Input { return core.GetPlan{RequestID: req, Name: "reader"} })
	if status, ok := a.Body.(core.PlanStatus); !ok || status.Record.Phase != rollout.RolledBack {
		t.Errorf("shown: %+v", a)
	}
}

// TestOwnerCancelsByHand cancels a new and an old job while the plan goes on.
func TestOwnerCancelsByHand(t *testing.T) {
	w := newRolloutWorld(t)
	w.start()
	w.until(rollout.Baking)
	w.ask(w.nodes[1], func(req uint64) core.Input { return core.CancelJob{RequestID: req, ID: newJob(1)} })
	w.checkRolledBack(rollout.NewCancelled)

	w = newRolloutWorld(t)
	w.start()
	w.until(rollout.Baking)
	w.taken = true // by its owner
	w.ask(w.nodes[1], func(req uint64) core.Input { return core.CancelJob{RequestID: req, ID: oldJob(1)} })
	w.until(rollout.Completed)
}

// TestHeldJobs are accepted, known and pending; those of an ended plan are cancelled, and nothing else is.
func TestHeldJobs(t *testing.T) {
	w := newRolloutWorld(t)
	w.apply()
	w.submitNew()
	w.hand(w.nodes[0], replicaJob("run-000050", "t1"))
	w.routers[0].cut, w.routers[1].cut = true, true
	w.unreachable = func(task string) bool { return task < "run-000010" } // the old version is not whole
	w.advance(10 * time.Second)
	for i := range newJobs {
		a := w.ask(w.nodes[i], func(req uint64) core.Input { return core.GetJob{RequestID: req, ID: newJob(i)} })
		if s, ok := a.Body.(wire.JobState); !ok || s.State != wire.JobPending {
			t.Errorf("%s: %+v", newJob(i), a)
		}
	}
	if !w.holds("run-000050") {
		t.Error("a job of no plan waits")
	}
	w.crashAny()
	w.advance(10 * time.Second)
	w.change(rollout.Abort)
	w.unreachable = nil
	w.checkRolledBack(rollout.Aborted)
	for i := range newJobs {
		if !w.cancelled(newJob(i)) {
			t.Errorf("%s is not cancelled", newJob(i))
		}
	}
	if w.cancelled("run-000050") {
		t.Error("a job of no plan is cancelled")
	}
}

// TestRefusedPlans names the field, and tells nothing of other teams' jobs.
func TestRefusedPlans(t *testing.T) {
	w := newRolloutWorld(t)
	w.hand(w.nodes[0], replicaJob("run-000060", "t2"))
	array := replicaJob("run-000061", "t1")
	array.Kind, array.EstimatedRunS = wire.KindArray, 60
	w.hand(w.nodes[0], array)
	w.submitReplica("run-000062")
	w.advance(8 * time.Second)
	good := *w.plan
	refuse := func(change func(p *rollout.Plan), field string) string {
		t.Helper()
		p := good
		p.Old.Jobs, p.New.Jobs = append([]string{}, good.Old.Jobs...), append([]string{}, good.New.Jobs...)
		p.Name = "other"
		change(&p)
		w.plan = &p
		a := w.apply()
		body, ok := a.Body.(wire.ErrorBody)
		if a.Status != 422 || !ok || !strings.HasPrefix(body.Error, field) || w.record() != nil {
			t.Errorf("%s: %+v", field, a)
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
	w.plan = &good
	if a := w.apply(); a.Status != 200 {
		t.Fatal(a)
	}
	p := good
	p.Name = "second"
	w.plan = &p
	if a := w.apply(); a.Status != 422 || !strings.HasPrefix(a.Body.(wire.ErrorBody).Error, "/old/jobs/0") {
		t.Errorf("a job in two plans: %+v", a)
	}

	w = newRolloutWorld(t)
	w.limitTeam(9) // the old version takes 8 of it, and no new replica fits beside it
	w.submitNew()
	w.advance(2 * time.Second)
	if a := w.apply(); a.Status != 422 || !strings.HasPrefix(a.Body.(wire.ErrorBody).Error, "/new/jobs") {
		t.Errorf("more than the team's limit: %+v", a)
	}
}

// TestSwitchedOff refuses plans, and writes nothing.
func TestSwitchedOff(t *testing.T) {
	w := newRolloutWorld(t)
	w.op.Rollouts.Enabled = false
	w.restart()
	w.advance(10 * time.Second)
	if a := w.apply(); a.Status != 422 || len(storedKeys(w.store, "w/p/")) > 0 {
		t.Errorf("%+v", a)
	}
}

// TestUnreadablePlan has a stored plan spoiled. Its jobs stay as they are, and another plan goes on.
func TestUnreadablePlan(t *testing.T) {
	w := newRolloutWorld(t)
	w.start()
	w.until(rollout.Baking)
	w.store.Txn(wire.Txn{Then: []wire.Op{{Put: "w/p/reader", Value: []byte(`"spoiled"`)}}})
	w.pass(20 * time.Second)
	if w.holds(newJob(1)) || !w.holds(newJob(0)) || !w.holds(oldJob(0)) {
		t.Error("jobs of a plan that can't be read don't stay as they are")
	}
	if a := w.change(rollout.Abort); a.Status != 422 {
		t.Errorf("a plan that can't be read is changed: %+v", a)
	}
}

// TestOldVersionCannotLead has the term written so that a version without plans can't read it, from the first plan on.
func TestOldVersionCannotLead(t *testing.T) {
	w := newRolloutWorld(t)
	w.apply()
	for range 2 {
		item, _ := w.store.Get("w/term")
		if core.ReadableBefore(item.Value) {
			t.Errorf("an older version reads the term %s", item.Value)
		}
		w.crashAny()
		w.advance(6 * time.Second)
	}
}

// TestAnyTroubles plays any order of troubles. The promise holds throughout, and once they are over the plan ends.
func TestAnyTroubles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newRolloutWorld(t)
		w.start()
		for range rapid.IntRange(1, 8).Draw(t, "troubles") {
			w.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "tenths")) * 100 * time.Millisecond)
			switch rapid.SampledFrom([]string{"crash", "lose", "delay", "late", "down", "refuse", "cut", "cut leader", "heal",
				"wrong", "unreachable", "pause", "resume", "abort"}).Draw(t, "trouble") {
			case "crash":
				w.crashAny()
			case "lose":
				w.loseAnswers = 2
			case "delay":
				w.delay = 2
			case "late":
				w.settleLate(w.store)
			case "down":
				w.stateDown = !w.stateDown
			case "refuse":
				if n := w.leaderNode(); n != nil {
					w.refused = n.name
				}
			case "cut":
				w.routers[0].cut = true
			case "cut leader":
				if n := w.leaderNode(); n != nil {
					w.routers[1].cutFrom = n.name
				}
			case "heal":
				w.heal()
			case "wrong":
				w.answerWrongly(func(task string) bool { return task == "run-000011/1" })
			case "unreachable":
				w.unreachable = func(task string) bool { return task == "run-000012/0" }
			default:
				w.tryChange(rapid.SampledFrom([]rollout.Change{rollout.Pause, rollout.Resume, rollout.Abort}).Draw(t, "change"))
			}
		}
		w.heal()
		w.settleLate(w.store)
		w.unreachable = nil
		w.advance(5 * time.Second)
		w.tryChange(rollout.Resume)
		for range 400 {
			if r := w.record(); r == nil || r.Phase.Over() {
				return
			}
			w.advance(500 * time.Millisecond)
		}
		t.Fatalf("the plan does not end: %v, %+v", w.phases, w.record())
	})
}

// heal ends the troubles of the network and the state service.
func (w *rolloutWorld) heal() {
	w.endStateTroubles()
	w.routers[0].cut, w.routers[1].cutFrom = false, ""
}

// tryChange asks for a change once.
func (w *rolloutWorld) tryChange(change rollout.Change) {
	w.ask(w.nodes[0], func(req uint64) core.Input { return core.ChangePlan{RequestID: req, Name: w.plan.Name, Change: change} })
}

// TestGoesBackBeforeProofs ends two leaders in a row while the plan goes back. The next one has heard of the new replicas
// before the old ones have proved themselves, and must not send all traffic to the new ones for that: a rapid search found it.
func TestGoesBackBeforeProofs(t *testing.T) {
	for tenths := time.Duration(10); tenths <= 60; tenths += 5 {
		w := newRolloutWorld(t)
		w.plan.Steps[0].BakeS = 30
		w.start()
		w.until(rollout.Baking)
		w.advance(tenths * 100 * time.Millisecond)
		w.crashAny()
		w.advance(time.Second)
		w.change(rollout.Abort)
		w.advance(2900 * time.Millisecond)
		w.crashAny()
		w.checkRolledBack(rollout.Aborted)
	}
}

// TestRouterCutAfterRefusal cuts a router off while the state service refuses the leader, and ends a leader after that. The
// router asked before, and must not be taken for gone before its time: a rapid search found it.
func TestRouterCutAfterRefusal(t *testing.T) {
	w := newRolloutWorld(t)
	w.start()
	w.advance(1200 * time.Millisecond)
	w.settleLate(w.store)
	w.advance(1600 * time.Millisecond)
	w.refused = w.leaderNode().name
	w.advance(4 * time.Second)
	w.routers[0].cut = true
	w.advance(6 * time.Second)
	w.crashAny()
	w.advance(2900 * time.Millisecond)
	w.tryChange(rollout.Resume)
	w.advance(2900 * time.Millisecond)
	w.loseAnswers = 2
	w.advance(30 * time.Second)
}

// TestReplicasFailWhileNoneLeads has one new replica answer wrongly and another one be out of reach right after the leader
// has ended. Nobody can tell the routers before there is a leader: they must be back on the old version when their
// leases end. A rapid search found it.
func TestReplicasFailWhileNoneLeads(t *testing.T) {
	w := newRolloutWorld(t)
	w.start()
	for w.record().Step == 0 || w.record().Phase != rollout.Baking {
		w.advance(100 * time.Millisecond)
	}
	w.crashAny()
	w.advance(100 * time.Millisecond)
	w.answerWrongly(func(task string) bool { return task == "run-000011/1" })
	w.unreachable = func(task string) bool { return task == "run-000012/0" }
	w.checkRolledBack(rollout.WrongAnswer)
}

// TestForgottenRouterReturns has a write that takes a router that is gone out of the plan's record come late, after the
// router has asked again: until its name has been written anew it must not be granted anything.
func TestForgottenRouterReturns(t *testing.T) {
	w := newRolloutWorld(t)
	w.plan.Steps[0].BakeS, w.plan.Limits.RouterGoneS = 40, 10
	w.start()
	w.until(rollout.Baking)
	south := w.routers[1]
	south.cut = true
	w.advance(30 * time.Second)
	w.delay = 1
	for len(w.late) == 0 {
		w.advance(100 * time.Millisecond)
	}
	if key := w.late[0].Txn.Then[0].Put; key != "w/p/"+w.plan.Name {
		t.Fatalf("a write of %s is held up, not the plan's", key)
	}
	south.cut = false
	cutUntil := w.now
	for south.grantedAt < cutUntil {
		w.advance(100 * time.Millisecond)
	}
	w.settleLate(w.store)
	w.advance(200 * time.Millisecond)
	w.crashAny()
	w.until(rollout.Completed)
}

package core_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bitternwing/internal/core"
	"bitternwing/internal/rollout"
)

// TestLeaderDiesAtEachTransition ends the leader before the commit of a transition, after it, and with the answer to
// it lost or the transaction late.
func TestLeaderDiesAtEachTransition(t *testing.T) {
	phases := []rollout.Phase{rollout.Pending, rollout.Starting, rollout.Checking, rollout.Shifting, rollout.Baking, rollout.Completing, rollout.Retiring}
	for _, phase := range phases {
		for name, fault := range map[string]func(world *rolloutWorld){
			"ends":        func(world *rolloutWorld) { world.restartLeaderIfAny() },
			"answer lost": func(world *rolloutWorld) { world.lostResponses = 1 },
			"lost, then ends": func(world *rolloutWorld) {
				world.lostResponses = 1
				world.advance(300 * time.Millisecond)
				world.restartLeaderIfAny()
			},
			"transaction late": func(world *rolloutWorld) {
				world.delayedTransactions = 2
				world.advance(2 * time.Second)
				world.commitHeld(world.store)
			},
			"late, then ends": func(world *rolloutWorld) {
				world.delayedTransactions = 2
				world.advance(time.Second)
				world.restartLeaderIfAny()
				world.advance(6 * time.Second)
				world.commitHeld(world.store)
			},
		} {
			t.Run(fmt.Sprint(phase, " ", name), func(t *testing.T) {
				world := newRolloutWorld(t)
				world.start()
				world.waitForPhase(phase)
				fault(world)
				world.waitForPhase(rollout.Completed)
			})
		}
	}
	for _, phase := range phases[:len(phases)-1] { // there is no way back from the last one
		t.Run(fmt.Sprint(phase, " rolling back"), func(t *testing.T) {
			world := newRolloutWorld(t)
			world.start()
			world.waitForPhase(phase)
			world.answerWrongly(func(task string) bool { return task > "run-000010" })
			if phase != rollout.Pending {
				world.waitForPhase(rollout.RollingBack)
			}
			world.restartLeaderIfAny()
			world.tolerance += 4 * time.Second // without a leader routers go by what they have until their lease ends
			world.checkRolledBack(rollout.WrongAnswer)
		})
	}
}

// TestDeposedLeader has the state service refuse the leader, which is followed by another one, and serve it again:
// what it still believes moves nothing.
func TestDeposedLeader(t *testing.T) {
	world := newRolloutWorld(t)
	world.start()
	world.waitForPhase(rollout.Shifting)
	world.refusedNode = world.leaderNode().name
	world.advance(8 * time.Second)
	world.refusedNode = ""
	world.waitForPhase(rollout.Completed)
}

// TestFrozenLeader has the leader stand still until another one leads, and awake: it takes itself for the leader at first.
func TestFrozenLeader(t *testing.T) {
	for _, phase := range []rollout.Phase{rollout.Checking, rollout.Baking, rollout.Completing} {
		world := newRolloutWorld(t)
		world.start()
		world.waitForPhase(phase)
		world.frozenNode = world.leaderNode().name
		world.advance(9 * time.Second)
		world.frozenNode = ""
		world.waitForPhase(rollout.Completed)
	}
}

// TestStateServiceDown has it refuse the leader, and then all, for longer than a router's lease, in mid-step and in mid-rollback.
func TestStateServiceDown(t *testing.T) {
	for _, wrong := range []bool{false, true} {
		world := newRolloutWorld(t)
		world.start()
		world.waitForPhase(rollout.Baking)
		if wrong {
			world.answerWrongly(func(task string) bool { return task == "run-000011/0" })
			world.waitForPhase(rollout.RollingBack)
		}
		world.refusedNode = world.leaderNode().name
		world.advance(time.Second)
		world.storeDown = true
		world.advance(12 * time.Second)
		world.storeDown, world.refusedNode = false, ""
		if wrong {
			world.checkRolledBack(rollout.WrongAnswer)
		} else {
			world.waitForPhase(rollout.Completed)
		}
	}
}

// TestRouterCutOff has a router hear nothing, or nothing from the leader itself.
func TestRouterCutOff(t *testing.T) {
	world := newRolloutWorld(t)
	world.start()
	world.waitForPhase(rollout.Baking)
	world.routers[0].isolated = true
	world.routers[1].cutFromNode = world.leaderNode().name
	world.waitForPhase(rollout.Completing)
	world.advance(6 * time.Second)
	for _, x := range world.routers[0].weights(world.now) {
		if x.Version != rollout.OldVersion {
			t.Errorf("a router without a lease sends traffic to %s", x.Task)
		}
	}
	if world.routers[1].grantExpiresAt < world.now {
		t.Error("a router that reaches other controllers has lost its lease")
	}
	world.routers[0].isolated = false
	world.waitForPhase(rollout.Completed)

	world = newRolloutWorld(t)
	world.start()
	world.waitForPhase(rollout.Baking)
	world.routers[0].isolated = true
	world.answerWrongly(func(task string) bool { return task > "run-000010" })
	world.checkRolledBack(rollout.WrongAnswer)
}

// TestAnyTroubles plays any order of troubles. The promise holds throughout, and once they are over the plan ends.
func TestAnyTroubles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newRolloutWorld(t)
		world.start()
		for range rapid.IntRange(1, 8).Draw(t, "troubles") {
			world.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "tenths")) * 100 * time.Millisecond)
			switch rapid.SampledFrom([]string{"crash", "lose", "delay", "late", "down", "refuse", "cut", "cut leader", "heal",
				"wrong", "unreachable", "pause", "resume", "abort"}).Draw(t, "trouble") {
			case "crash":
				world.restartLeaderIfAny()
			case "lose":
				world.lostResponses = 2
			case "delay":
				world.delayedTransactions = 2
			case "late":
				world.commitHeld(world.store)
			case "down":
				world.storeDown = !world.storeDown
			case "refuse":
				if node := world.leaderNode(); node != nil {
					world.refusedNode = node.name
				}
			case "cut":
				world.routers[0].isolated = true
			case "cut leader":
				if node := world.leaderNode(); node != nil {
					world.routers[1].cutFromNode = node.name
				}
			case "heal":
				world.heal()
			case "wrong":
				world.answerWrongly(func(task string) bool { return task == "run-000011/1" })
			case "unreachable":
				world.unreachable = func(task string) bool { return task == "run-000012/0" }
			default:
				world.tryChange(rapid.SampledFrom([]rollout.Change{rollout.Pause, rollout.Resume, rollout.Abort}).Draw(t, "change"))
			}
		}
		world.heal()
		world.commitHeld(world.store)
		world.unreachable = nil
		world.advance(5 * time.Second)
		world.tryChange(rollout.Resume)
		for range 400 {
			if r := world.record(); r == nil || r.Phase.Over() {
				return
			}
			world.advance(500 * time.Millisecond)
		}
		t.Fatalf("the plan does not end: %v, %+v", world.phases, world.record())
	})
}

// heal ends the troubles of the network and the state service.
func (world *rolloutWorld) heal() {
	world.endStoreFaults()
	world.routers[0].isolated, world.routers[1].cutFromNode = false, ""
}

// tryChange asks for a change once.
func (world *rolloutWorld) tryChange(change rollout.Change) {
	world.ask(world.nodes[0], func(request uint64) core.Input {
		return core.ChangePlan{RequestID: request, Name: world.plan.Name, Change: change}
	})
}

// TestGoesBackBeforeProofs ends two leaders in a row while the plan goes back. The next one has heard of the new replicas
// before the old ones have proved themselves, and must not send all traffic to the new ones for that: a rapid search found it.
func TestGoesBackBeforeProofs(t *testing.T) {
	for tenths := time.Duration(10); tenths <= 60; tenths += 5 {
		world := newRolloutWorld(t)
		world.plan.Steps[0].BakeS = 30
		world.start()
		world.waitForPhase(rollout.Baking)
		world.advance(tenths * 100 * time.Millisecond)
		world.restartLeaderIfAny()
		world.advance(time.Second)
		world.change(rollout.Abort)
		world.advance(2900 * time.Millisecond)
		world.restartLeaderIfAny()
		world.checkRolledBack(rollout.Aborted)
	}
}

// TestRouterCutAfterRefusal cuts a router off while the state service refuses the leader, and ends a leader after that. The
// router asked before, and must not be taken for gone before its time: a rapid search found it.
func TestRouterCutAfterRefusal(t *testing.T) {
	world := newRolloutWorld(t)
	world.start()
	world.advance(1200 * time.Millisecond)
	world.commitHeld(world.store)
	world.advance(1600 * time.Millisecond)
	world.refusedNode = world.leaderNode().name
	world.advance(4 * time.Second)
	world.routers[0].isolated = true
	world.advance(6 * time.Second)
	world.restartLeaderIfAny()
	world.advance(2900 * time.Millisecond)
	world.tryChange(rollout.Resume)
	world.advance(2900 * time.Millisecond)
	world.lostResponses = 2
	world.advance(30 * time.Second)
}

// TestReplicasFailWhileNoneLeads has one new replica answer wrongly and another one be out of reach right after the leader
// has ended. Nobody can tell the routers before there is a leader: they must be back on the old version when their
// leases end. A rapid search found it.
func TestReplicasFailWhileNoneLeads(t *testing.T) {
	world := newRolloutWorld(t)
	world.start()
	for world.record().Step == 0 || world.record().Phase != rollout.Baking {
		world.advance(100 * time.Millisecond)
	}
	world.restartLeaderIfAny()
	world.advance(100 * time.Millisecond)
	world.answerWrongly(func(task string) bool { return task == "run-000011/1" })
	world.unreachable = func(task string) bool { return task == "run-000012/0" }
	world.checkRolledBack(rollout.WrongAnswer)
}

// TestForgottenRouterReturns has a write that takes a router that is gone out of the plan's record come late, after the
// router has asked again: until its name has been written anew it must not be granted anything.
func TestForgottenRouterReturns(t *testing.T) {
	world := newRolloutWorld(t)
	world.plan.Steps[0].BakeS, world.plan.Limits.RouterGoneS = 40, 10
	world.start()
	world.waitForPhase(rollout.Baking)
	south := world.routers[1]
	south.isolated = true
	world.advance(30 * time.Second)
	world.delayedTransactions = 1
	for len(world.heldTransactions) == 0 {
		world.advance(100 * time.Millisecond)
	}
	if key := world.heldTransactions[0].Txn.Then[0].Put; key != "w/p/"+world.plan.Name {
		t.Fatalf("a write of %s is held up, not the plan's", key)
	}
	south.isolated = false
	cutUntil := world.now
	for south.grantedAt < cutUntil {
		world.advance(100 * time.Millisecond)
	}
	world.commitHeld(world.store)
	world.advance(200 * time.Millisecond)
	world.restartLeaderIfAny()
	world.waitForPhase(rollout.Completed)
}

package core_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bitternwing/internal/core"
	"bitternwing/internal/rollout"
)

// TestLeaderFailsAtEachTransition injects a fault in each phase: the leader fails, the response to its next write is
// lost, or the write is applied late. The plan has to complete, or to be rolled back if the new version then answers
// wrongly.
func TestLeaderFailsAtEachTransition(t *testing.T) {
	phases := []rollout.Phase{rollout.Pending, rollout.Starting, rollout.Checking, rollout.Shifting, rollout.Baking, rollout.Completing, rollout.Retiring}
	for _, phase := range phases {
		for name, fault := range map[string]func(world *rolloutCluster){
			"leader fails":  func(world *rolloutCluster) { world.restartLeaderIfAny() },
			"response lost": func(world *rolloutCluster) { world.lostResponses = 1 },
			"response lost, then leader fails": func(world *rolloutCluster) {
				world.lostResponses = 1
				world.advance(300 * time.Millisecond)
				world.restartLeaderIfAny()
			},
			"write late": func(world *rolloutCluster) {
				world.transactionsToDelay = 2
				world.advance(2 * time.Second)
				world.commitDelayed(world.store)
			},
			"write late, then leader fails": func(world *rolloutCluster) {
				world.transactionsToDelay = 2
				world.advance(time.Second)
				world.restartLeaderIfAny()
				world.advance(6 * time.Second)
				world.commitDelayed(world.store)
			},
		} {
			t.Run(fmt.Sprint(phase, " ", name), func(t *testing.T) {
				world := newRolloutCluster(t)
				world.start()
				world.waitForPhase(phase)
				fault(world)
				world.waitForPhase(rollout.Completed)
			})
		}
	}
	for _, phase := range phases[:len(phases)-1] { // Retiring can't be rolled back
		t.Run(fmt.Sprint(phase, " rolling back"), func(t *testing.T) {
			world := newRolloutCluster(t)
			world.start()
			world.waitForPhase(phase)
			world.setWrongAnswers(func(task string) bool { return task > "run-000010" })
			if phase != rollout.Pending {
				world.waitForPhase(rollout.RollingBack)
			}
			world.restartLeaderIfAny()
			world.detectionTime += 4 * time.Second // without a leader routers keep their routing until the lease expires
			world.checkRolledBack(rollout.CheckFailed)
		})
	}
}

// TestDeposedLeader has the store refuse the leader until another one is elected, and then serve it again. The outdated
// state of the deposed leader must have no effect.
func TestDeposedLeader(t *testing.T) {
	world := newRolloutCluster(t)
	world.start()
	world.waitForPhase(rollout.Shifting)
	world.refusedNode = world.leaderNode().name
	world.advance(8 * time.Second)
	world.refusedNode = ""
	world.waitForPhase(rollout.Completed)
}

// TestSuspendedLeader suspends the leader's process until another one leads. When it is resumed it still considers
// itself the leader at first.
func TestSuspendedLeader(t *testing.T) {
	for _, phase := range []rollout.Phase{rollout.Checking, rollout.Baking, rollout.Completing} {
		world := newRolloutCluster(t)
		world.start()
		world.waitForPhase(phase)
		world.frozenNode = world.leaderNode().name
		world.advance(9 * time.Second)
		world.frozenNode = ""
		world.waitForPhase(rollout.Completed)
	}
}

// TestStoreDown has the store refuse the leader and then all nodes for longer than a router's lease, during a
// step and during a rollback.
func TestStoreDown(t *testing.T) {
	for _, wrong := range []bool{false, true} {
		world := newRolloutCluster(t)
		world.start()
		world.waitForPhase(rollout.Baking)
		if wrong {
			world.setWrongAnswers(func(task string) bool { return task == "run-000011/0" })
			world.waitForPhase(rollout.RollingBack)
		}
		world.refusedNode = world.leaderNode().name
		world.advance(time.Second)
		world.storeDown = true
		world.advance(12 * time.Second)
		world.storeDown, world.refusedNode = false, ""
		if wrong {
			world.checkRolledBack(rollout.CheckFailed)
		} else {
			world.waitForPhase(rollout.Completed)
		}
	}
}

// TestIsolatedRouter isolates one router from all controllers and another one only from the leader. The first falls
// back to the old version; the second keeps its lease by way of the other controllers.
func TestIsolatedRouter(t *testing.T) {
	world := newRolloutCluster(t)
	world.start()
	world.waitForPhase(rollout.Baking)
	world.routers[0].isolated = true
	world.routers[1].unreachableNode = world.leaderNode().name
	world.waitForPhase(rollout.Completing)
	world.advance(6 * time.Second)
	for _, weight := range world.routers[0].weights(world.now) {
		if weight.Version != rollout.OldVersion {
			t.Errorf("a router without a lease sends traffic to %s", weight.Task)
		}
	}
	if world.routers[1].grantExpiresAt < world.now {
		t.Error("a router that reaches other controllers lost its lease")
	}
	world.routers[0].isolated = false
	world.waitForPhase(rollout.Completed)

	world = newRolloutCluster(t)
	world.start()
	world.waitForPhase(rollout.Baking)
	world.routers[0].isolated = true
	world.setWrongAnswers(func(task string) bool { return task > "run-000010" })
	world.checkRolledBack(rollout.CheckFailed)
}

// TestRandomRolloutFaults injects random sequences of faults. The guarantees of the rollout hold throughout, and the
// plan ends once the faults are over.
func TestRandomRolloutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newRolloutCluster(t)
		world.start()
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			world.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "delay in tenths of a second")) * 100 * time.Millisecond)
			switch rapid.SampledFrom([]string{"restart leader", "lose responses", "delay writes", "apply delayed writes", "toggle store",
				"refuse leader", "isolate router", "isolate router from leader", "heal", "wrong answers", "unreachable replica",
				"pause", "resume", "abort"}).Draw(t, "fault") {
			case "restart leader":
				world.restartLeaderIfAny()
			case "lose responses":
				world.lostResponses = 2
			case "delay writes":
				world.transactionsToDelay = 2
			case "apply delayed writes":
				world.commitDelayed(world.store)
			case "toggle store":
				world.storeDown = !world.storeDown
			case "refuse leader":
				if node := world.leaderNode(); node != nil {
					world.refusedNode = node.name
				}
			case "isolate router":
				world.routers[0].isolated = true
			case "isolate router from leader":
				if node := world.leaderNode(); node != nil {
					world.routers[1].unreachableNode = node.name
				}
			case "heal":
				world.heal()
			case "wrong answers":
				world.setWrongAnswers(func(task string) bool { return task == "run-000011/1" })
			case "unreachable replica":
				world.unreachable = func(task string) bool { return task == "run-000012/0" }
			default:
				world.tryChange(rapid.SampledFrom([]rollout.Change{rollout.Pause, rollout.Resume, rollout.Abort}).Draw(t, "change"))
			}
		}
		world.heal()
		world.commitDelayed(world.store)
		world.unreachable = nil
		world.advance(5 * time.Second)
		world.tryChange(rollout.Resume)
		for range 400 {
			if r := world.record(); r == nil || r.Phase.Terminal() {
				return
			}
			world.advance(500 * time.Millisecond)
		}
		t.Fatalf("the plan has not ended after the faults: %v, %+v", world.phases, world.record())
	})
}

// heal ends the faults of the network and the store.
func (world *rolloutCluster) heal() {
	world.endStoreFaults()
	world.routers[0].isolated, world.routers[1].unreachableNode = false, ""
}

// tryChange requests a change once, whether or not it is answered.
func (world *rolloutCluster) tryChange(change rollout.Change) {
	world.sendRequest(world.nodes[0], func(request uint64) core.Input {
		return core.ChangePlan{RequestID: request, Name: world.plan.Name, Change: change}
	})
}

// TestRollbackBeforeValidation restarts two leaders in a row during a rollback. The next leader knows of the new
// replicas before the old ones are validated, and must not route all traffic to the new ones because of that. Found by
// TestRandomRolloutFaults.
func TestRollbackBeforeValidation(t *testing.T) {
	for tenths := time.Duration(10); tenths <= 60; tenths += 5 {
		world := newRolloutCluster(t)
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

// TestRouterIsolatedAfterStoreRefusal isolates a router while the store refuses the leader, and restarts a leader after
// that. The router sent requests before and must not count as gone too early. Found by TestRandomRolloutFaults.
func TestRouterIsolatedAfterStoreRefusal(t *testing.T) {
	world := newRolloutCluster(t)
	world.start()
	world.advance(1200 * time.Millisecond)
	world.commitDelayed(world.store)
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

// TestReplicasFailWithoutLeader has one new replica answer wrongly and another one become unreachable right after the
// leader has failed. Without a leader routers can't be notified; they must fall back to the old version when their
// leases expire. Found by TestRandomRolloutFaults.
func TestReplicasFailWithoutLeader(t *testing.T) {
	world := newRolloutCluster(t)
	world.start()
	for world.record().Step == 0 || world.record().Phase != rollout.Baking {
		world.advance(100 * time.Millisecond)
	}
	world.restartLeaderIfAny()
	world.advance(100 * time.Millisecond)
	world.setWrongAnswers(func(task string) bool { return task == "run-000011/1" })
	world.unreachable = func(task string) bool { return task == "run-000012/0" }
	world.checkRolledBack(rollout.CheckFailed)
}

// TestRemovedRouterReturns delays the write that removes a gone router from the plan's record until the router has
// sent a request again. The router must not be granted a routing before its name was written again.
func TestRemovedRouterReturns(t *testing.T) {
	world := newRolloutCluster(t)
	world.plan.Steps[0].BakeS, world.plan.Limits.RouterGoneS = 40, 10
	world.start()
	world.waitForPhase(rollout.Baking)
	south := world.routers[1]
	south.isolated = true
	world.advance(30 * time.Second)
	world.transactionsToDelay = 1
	for len(world.delayedTransactions) == 0 {
		world.advance(100 * time.Millisecond)
	}
	if key := world.delayedTransactions[0].Txn.Then[0].Put; key != "w/p/"+world.plan.Name {
		t.Fatalf("a write of %s was delayed, want the plan's", key)
	}
	south.isolated = false
	reconnectedAt := world.now
	for south.grantRequestedAt < reconnectedAt {
		world.advance(100 * time.Millisecond)
	}
	world.commitDelayed(world.store)
	world.advance(200 * time.Millisecond)
	world.restartLeaderIfAny()
	world.waitForPhase(rollout.Completed)
}

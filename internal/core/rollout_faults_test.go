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
		for name, fault := range map[string]func(cluster *rolloutCluster){
			"leader fails":  func(cluster *rolloutCluster) { cluster.restartLeaderIfAny() },
			"response lost": func(cluster *rolloutCluster) { cluster.lostResponses = 1 },
			"response lost, then leader fails": func(cluster *rolloutCluster) {
				cluster.lostResponses = 1
				cluster.advance(300 * time.Millisecond)
				cluster.restartLeaderIfAny()
			},
			"write late": func(cluster *rolloutCluster) {
				cluster.transactionsToDelay = 2
				cluster.advance(2 * time.Second)
				cluster.commitDelayed(cluster.store)
			},
			"write late, then leader fails": func(cluster *rolloutCluster) {
				cluster.transactionsToDelay = 2
				cluster.advance(time.Second)
				cluster.restartLeaderIfAny()
				cluster.advance(6 * time.Second)
				cluster.commitDelayed(cluster.store)
			},
		} {
			t.Run(fmt.Sprint(phase, " ", name), func(t *testing.T) {
				cluster := newRolloutCluster(t)
				cluster.start()
				cluster.waitForPhase(phase)
				fault(cluster)
				cluster.waitForPhase(rollout.Completed)
			})
		}
	}
	for _, phase := range phases[:len(phases)-1] { // Retiring can't be rolled back
		t.Run(fmt.Sprint(phase, " rolling back"), func(t *testing.T) {
			cluster := newRolloutCluster(t)
			cluster.start()
			cluster.waitForPhase(phase)
			cluster.setWrongAnswers(func(task string) bool { return task > "run-000010" })
			if phase != rollout.Pending {
				cluster.waitForPhase(rollout.RollingBack)
			}
			cluster.restartLeaderIfAny()
			cluster.detectionTime += 4 * time.Second // without a leader routers keep their routing until the lease expires
			cluster.checkRolledBack(rollout.CheckFailed)
		})
	}
}

// TestDeposedLeader makes the store refuse the leader's requests until another one is elected, and then serve them
// again. The outdated state of the deposed leader must have no effect.
func TestDeposedLeader(t *testing.T) {
	cluster := newRolloutCluster(t)
	cluster.start()
	cluster.waitForPhase(rollout.Shifting)
	cluster.refusedNode = cluster.leaderNode().name
	cluster.advance(8 * time.Second)
	cluster.refusedNode = ""
	cluster.waitForPhase(rollout.Completed)
}

// TestSuspendedLeader suspends the leader's process until another one leads. When it is resumed it still considers
// itself the leader at first.
func TestSuspendedLeader(t *testing.T) {
	for _, phase := range []rollout.Phase{rollout.Checking, rollout.Baking, rollout.Completing} {
		cluster := newRolloutCluster(t)
		cluster.start()
		cluster.waitForPhase(phase)
		cluster.frozenNode = cluster.leaderNode().name
		cluster.advance(9 * time.Second)
		cluster.frozenNode = ""
		cluster.waitForPhase(rollout.Completed)
	}
}

// TestStoreDown makes the store refuse the leader and then all nodes for longer than a router's lease, during a step
// and during a rollback.
func TestStoreDown(t *testing.T) {
	for _, wrong := range []bool{false, true} {
		cluster := newRolloutCluster(t)
		cluster.start()
		cluster.waitForPhase(rollout.Baking)
		if wrong {
			cluster.setWrongAnswers(func(task string) bool { return task == "run-000011/0" })
			cluster.waitForPhase(rollout.RollingBack)
		}
		cluster.refusedNode = cluster.leaderNode().name
		cluster.advance(time.Second)
		cluster.storeDown = true
		cluster.advance(12 * time.Second)
		cluster.storeDown, cluster.refusedNode = false, ""
		if wrong {
			cluster.checkRolledBack(rollout.CheckFailed)
		} else {
			cluster.waitForPhase(rollout.Completed)
		}
	}
}

// TestIsolatedRouter isolates one router from all controllers and another one only from the leader. The first falls
// back to the old version; the second keeps its lease by way of the other controllers.
func TestIsolatedRouter(t *testing.T) {
	cluster := newRolloutCluster(t)
	cluster.start()
	cluster.waitForPhase(rollout.Baking)
	cluster.routers[0].isolated = true
	cluster.routers[1].unreachableNode = cluster.leaderNode().name
	cluster.waitForPhase(rollout.Completing)
	cluster.advance(6 * time.Second)
	for _, weight := range cluster.routers[0].weights(cluster.now) {
		if weight.Version != rollout.OldVersion {
			t.Errorf("a router without a lease sends traffic to %s, want only the old version", weight.Task)
		}
	}
	if cluster.routers[1].grantExpiresAt < cluster.now {
		t.Error("a router that reaches other controllers lost its lease, want it renewed")
	}
	cluster.routers[0].isolated = false
	cluster.waitForPhase(rollout.Completed)

	cluster = newRolloutCluster(t)
	cluster.start()
	cluster.waitForPhase(rollout.Baking)
	cluster.routers[0].isolated = true
	cluster.setWrongAnswers(func(task string) bool { return task > "run-000010" })
	cluster.checkRolledBack(rollout.CheckFailed)
}

// TestRandomRolloutFaults injects random sequences of faults. The guarantees of the rollout hold throughout, and the
// plan ends once the faults are over.
func TestRandomRolloutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cluster := newRolloutCluster(t)
		cluster.start()
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			cluster.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "delay in tenths of a second")) * 100 * time.Millisecond)
			switch rapid.SampledFrom([]string{"restart leader", "lose responses", "delay writes", "apply delayed writes", "toggle store",
				"refuse leader", "isolate router", "isolate router from leader", "heal", "wrong answers", "unreachable replica",
				"pause", "resume", "abort"}).Draw(t, "fault") {
			case "restart leader":
				cluster.restartLeaderIfAny()
			case "lose responses":
				cluster.lostResponses = 2
			case "delay writes":
				cluster.transactionsToDelay = 2
			case "apply delayed writes":
				cluster.commitDelayed(cluster.store)
			case "toggle store":
				cluster.storeDown = !cluster.storeDown
			case "refuse leader":
				if node := cluster.leaderNode(); node != nil {
					cluster.refusedNode = node.name
				}
			case "isolate router":
				cluster.routers[0].isolated = true
			case "isolate router from leader":
				if node := cluster.leaderNode(); node != nil {
					cluster.routers[1].unreachableNode = node.name
				}
			case "heal":
				cluster.heal()
			case "wrong answers":
				cluster.setWrongAnswers(func(task string) bool { return task == "run-000011/1" })
			case "unreachable replica":
				cluster.unreachable = func(task string) bool { return task == "run-000012/0" }
			default:
				cluster.tryChange(rapid.SampledFrom([]rollout.Change{rollout.Pause, rollout.Resume, rollout.Abort}).Draw(t, "change"))
			}
		}
		cluster.heal()
		cluster.commitDelayed(cluster.store)
		cluster.unreachable = nil
		cluster.advance(5 * time.Second)
		cluster.tryChange(rollout.Resume)
		for range 400 {
			if r := cluster.record(); r == nil || r.Phase.Terminal() {
				return
			}
			cluster.advance(500 * time.Millisecond)
		}
		t.Fatalf("after the faults: got phases %v, record %+v, want an ended plan", cluster.phases, cluster.record())
	})
}

// heal ends the faults of the network and the store.
func (cluster *rolloutCluster) heal() {
	cluster.endStoreFaults()
	cluster.routers[0].isolated, cluster.routers[1].unreachableNode = false, ""
}

// tryChange requests a change once, and ignores the response or its absence.
func (cluster *rolloutCluster) tryChange(change rollout.Change) {
	cluster.sendRequest(cluster.nodes[0], func(request uint64) core.Input {
		return core.ChangePlan{RequestID: request, Name: cluster.plan.Name, Change: change}
	})
}

// TestRollbackBeforeValidation restarts two leaders in a row during a rollback. The next leader knows of the new
// replicas before the old ones are validated, and must not route all traffic to the new ones because of that. Found by
// TestRandomRolloutFaults.
func TestRollbackBeforeValidation(t *testing.T) {
	for tenths := time.Duration(10); tenths <= 60; tenths += 5 {
		cluster := newRolloutCluster(t)
		cluster.plan.Steps[0].BakeS = 30
		cluster.start()
		cluster.waitForPhase(rollout.Baking)
		cluster.advance(tenths * 100 * time.Millisecond)
		cluster.restartLeaderIfAny()
		cluster.advance(time.Second)
		cluster.change(rollout.Abort)
		cluster.advance(2900 * time.Millisecond)
		cluster.restartLeaderIfAny()
		cluster.checkRolledBack(rollout.Aborted)
	}
}

// TestRouterIsolatedAfterStoreRefusal isolates a router while the store refuses the leader, and restarts a leader after
// that. The router sent requests before and must not count as gone too early. Found by TestRandomRolloutFaults.
func TestRouterIsolatedAfterStoreRefusal(t *testing.T) {
	cluster := newRolloutCluster(t)
	cluster.start()
	cluster.advance(1200 * time.Millisecond)
	cluster.commitDelayed(cluster.store)
	cluster.advance(1600 * time.Millisecond)
	cluster.refusedNode = cluster.leaderNode().name
	cluster.advance(4 * time.Second)
	cluster.routers[0].isolated = true
	cluster.advance(6 * time.Second)
	cluster.restartLeaderIfAny()
	cluster.advance(2900 * time.Millisecond)
	cluster.tryChange(rollout.Resume)
	cluster.advance(2900 * time.Millisecond)
	cluster.lostResponses = 2
	cluster.advance(30 * time.Second)
}

// TestReplicasFailWithoutLeader makes one new replica answer wrongly and another one unreachable right after the leader
// has failed. Without a leader routers can't be notified; they must fall back to the old version when their leases
// expire. Found by TestRandomRolloutFaults.
func TestReplicasFailWithoutLeader(t *testing.T) {
	cluster := newRolloutCluster(t)
	cluster.start()
	for cluster.record().Step == 0 || cluster.record().Phase != rollout.Baking {
		cluster.advance(100 * time.Millisecond)
	}
	cluster.restartLeaderIfAny()
	cluster.advance(100 * time.Millisecond)
	cluster.setWrongAnswers(func(task string) bool { return task == "run-000011/1" })
	cluster.unreachable = func(task string) bool { return task == "run-000012/0" }
	cluster.checkRolledBack(rollout.CheckFailed)
}

// TestRemovedRouterReturns delays the write that removes a gone router from the plan's record until the router has
// sent a request again. The router must not be granted a routing before its name was written again.
func TestRemovedRouterReturns(t *testing.T) {
	cluster := newRolloutCluster(t)
	cluster.plan.Steps[0].BakeS, cluster.plan.Limits.RouterGoneS = 40, 10
	cluster.start()
	cluster.waitForPhase(rollout.Baking)
	south := cluster.routers[1]
	south.isolated = true
	cluster.advance(30 * time.Second)
	cluster.transactionsToDelay = 1
	for len(cluster.delayedTransactions) == 0 {
		cluster.advance(100 * time.Millisecond)
	}
	if key := cluster.delayedTransactions[0].Txn.Then[0].Put; key != "w/p/"+cluster.plan.Name {
		t.Fatalf("got a delayed write of %s, want the one of the plan", key)
	}
	south.isolated = false
	reconnectedAt := cluster.now
	for south.grantRequestedAt < reconnectedAt {
		cluster.advance(100 * time.Millisecond)
	}
	cluster.commitDelayed(cluster.store)
	cluster.advance(200 * time.Millisecond)
	cluster.restartLeaderIfAny()
	cluster.waitForPhase(rollout.Completed)
}

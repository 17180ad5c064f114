package core_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// TestQuotaFollowsDemand submits all of a team's jobs in one region, and then in the next one. Each region in turn gets
// the whole limit.
func TestQuotaFollowsDemand(t *testing.T) {
	sim := newRegionSimulation(t, 3)
	for region := range sim.regions {
		ids := sim.submitAndWait(region, "t1", 8, 8)
		sim.waitUntil("one region uses the whole limit", func() bool { return sim.regions[region].used("t1") == regionLimit })
		sim.cancel(region, ids)
	}
}

// TestBurstsInAllRegions submits bursts of both teams in all regions at the same time. Each team gets its guarantee and
// its whole limit, and no more.
func TestBurstsInAllRegions(t *testing.T) {
	sim := newRegionSimulation(t, 3)
	for region := range sim.regions {
		sim.submit(region, "t1", 12, 2)
		sim.submit(region, "t2", 6, 4)
	}
	for _, team := range []string{"t1", "t2"} {
		took := sim.waitUntil(team+" uses its guarantee", func() bool { return sim.usedBy(team) >= regionGuarantee })
		t.Logf("%s uses its guarantee after %v", team, took)
		sim.waitForFullUse(team)
	}
}

// TestRegionPartition partitions a region from the other while jobs are submitted in both. Each uses only the share
// that it holds; after the partition, the unused share moves to the region where tasks wait.
func TestRegionPartition(t *testing.T) {
	sim := newRegionSimulation(t, 2)
	sim.setPartitioned(1, true)
	sim.submit(0, "t1", 24, 2)
	sim.advance(30 * time.Second)
	if used := sim.regions[0].used("t1"); used != regionLimit/2 {
		t.Errorf("region 0 during the partition: got %g GPUs in use, want the %d that it holds", used, regionLimit/2)
	}
	sim.submit(1, "t1", 4, 2)
	sim.advance(10 * time.Second)
	if used := sim.regions[1].used("t1"); used != 8 {
		t.Errorf("region 1 during the partition: got %g GPUs in use, want the 8 that it needs", used)
	}
	sim.setPartitioned(1, false)
	sim.waitForFullUse("t1")
}

// TestOneWayPartition drops the messages in one direction only, so that transfers or their acknowledgements are lost.
func TestOneWayPartition(t *testing.T) {
	for _, link := range [][2]int{{0, 1}, {1, 0}} {
		sim := newRegionSimulation(t, 2)
		sim.submit(0, "t1", 24, 2)
		sim.advance(300 * time.Millisecond)
		sim.cutLinks[link] = true
		sim.advance(30 * time.Second)
		sim.heal()
		sim.waitForFullUse("t1")
		sim.waitUntil("all transfers are acknowledged", func() bool {
			return len(sim.regions[0].account("t1").Outgoing)+len(sim.regions[1].account("t1").Outgoing) == 0
		})
	}
}

// TestLeaderFailsDuringTransfer injects a fault into the sending or the receiving region at various times of a
// transfer: the leader fails or is suspended, responses to writes are lost, or writes are applied late.
func TestLeaderFailsDuringTransfer(t *testing.T) {
	faults := map[string]func(*simulatedRegion){
		"leader fails":                func(r *simulatedRegion) { r.restartLeaderIfAny() },
		"response lost":               func(r *simulatedRegion) { r.lostResponses = 2 },
		"response lost, leader fails": func(r *simulatedRegion) { r.lostResponses = 2; r.restartLeaderIfAny() },
		"write late, leader fails":    func(r *simulatedRegion) { r.transactionsToDelay = 2; r.restartLeaderIfAny() },
		"write late":                  func(r *simulatedRegion) { r.transactionsToDelay = 2 },
		"leader suspended":            func(r *simulatedRegion) { r.frozenNode = r.leaderNode().name },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for step := range 12 {
				for region := range 2 {
					sim := newRegionSimulation(t, 2)
					sim.submit(0, "t1", 24, 2)
					sim.advance(time.Duration(step) * 4 * scaleStep)
					fault(sim.regions[region])
					sim.advance(6 * time.Second)
					sim.heal()
					sim.waitForFullUse("t1")
				}
			}
		})
	}
}

// TestRandomRegionFaults runs seeded random sequences of faults in regions, and checks that the whole limit can be used
// after them. As with TestSearch, -first and -seeds select the seeds.
func TestRandomRegionFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 5))
			sim := newRegionSimulation(t, 3)
			for range 2 + random.IntN(9) {
				sim.advance(time.Duration(1+random.IntN(40)) * 100 * time.Millisecond)
				sim.injectFault(random)
			}
			sim.heal()
			sim.advance(5 * time.Second)
			sim.submitAndWait(0, "t1", 24, 2)
			sim.waitForFullUse("t1")
		})
	}
}

// injectFault injects a random fault into a region, or changes its load.
func (sim *regionSimulation) injectFault(random *rand.Rand) {
	region := random.IntN(3)
	r, leader := sim.regions[region], sim.regions[region].leaderNode()
	switch kind := random.IntN(14); kind {
	case 0, 1:
		r.liveServices = append(r.liveServices, sim.submit(region, []string{"t1", "t2"}[kind], 1+random.IntN(12), 4)...)
	case 2:
		for _, id := range r.liveServices {
			r.lastRequest++
			r.step(r.nodes[0], core.CancelJob{RequestID: r.lastRequest << 16, ID: id})
		}
		r.liveServices = nil
	case 3:
		r.restartLeaderIfAny()
	case 4:
		if leader != nil {
			r.frozenNode = leader.name
		}
	case 5:
		r.lostResponses = 2
	case 6:
		r.transactionsToDelay = 2
	case 7:
		r.commitDelayed(r.store)
	case 8:
		r.storeDown = !r.storeDown
	case 9:
		if leader != nil {
			r.refusedNode = leader.name
		}
	case 10:
		sim.setPartitioned(region, true)
	case 11:
		sim.cutLinks[[2]int{region, (region + 1 + random.IntN(2)) % 3}] = true
	case 12:
		sim.duplicateMessages = true
	default:
		sim.heal()
	}
}

// TestGuaranteeTransferred fills a region with batch tasks of one team, and then submits services of another team
// there, more than the region's share of that team's guarantee. The rest of the guarantee is transferred from the other
// regions, and batch tasks are preempted.
func TestGuaranteeTransferred(t *testing.T) {
	sim := newRegionSimulationOf(t, 3, 5) // 40 GPUs in each
	region := sim.regions[0]
	region.submitAt(region.nodes[0], &wire.Job{ID: "run-900000", Kind: wire.KindArray, Class: "c", Team: "t2", Tasks: 20, CPUs: 4, GPUs: 2, MemoryGB: 20,
		Priority: "prod", Image: "img-1", ImageGB: 4, EstimatedRunS: 600, CheckpointIntervalS: 10, CheckpointTimeS: 1})
	sim.waitUntil("batch tasks fill the region", func() bool { return region.used("t2") == 40 })
	sim.submit(0, "t1", 8, 2)
	took := sim.waitUntil("the team uses 16 GPUs of its guarantee of 24", func() bool { return region.used("t1") == 16 })
	t.Logf("reached after %v", took)
}

// startIndeterminateTransfer makes region 0 request quota from region 1, while the given number of writes of the
// account in region 1 are delayed. So the outcome of the write of the transfer is unknown to region 1.
func startIndeterminateTransfer(t *testing.T, delayedWrites int) (sim *regionSimulation, sender *simulatedRegion) {
	t.Helper()
	sim = newRegionSimulation(t, 2)
	sender = sim.regions[1]
	sender.delayKey, sender.transactionsToDelay = "w/q/t1", delayedWrites
	sim.submit(0, "t1", 24, 2)
	sim.waitUntil("the write of a transfer is delayed", func() bool { return len(sender.delayedTransactions) > 0 })
	return sim, sender
}

// TestIndeterminateTransfer submits jobs in a region while the outcome of its write of a transfer is unknown. The
// region must not use the share that it may have transferred. The write is applied later.
func TestIndeterminateTransfer(t *testing.T) {
	sim, _ := startIndeterminateTransfer(t, 1000)
	sim.submit(1, "t1", 12, 2)
	sim.advance(4 * time.Second)
	sim.heal()
	sim.waitForFullUse("t1")
}

// TestDelayedTransferWrite delays the write of a transfer until the leader has failed and its successor has used the
// share for tasks of the region itself. The write must not be applied then.
func TestDelayedTransferWrite(t *testing.T) {
	sim, sender := startIndeterminateTransfer(t, 1)
	delayed := sender.delayedTransactions
	sender.delayedTransactions = nil
	sim.setPartitioned(0, true) // so that there is no other transfer
	sender.restartLeaderIfAny()
	sim.submit(1, "t1", 12, 2)
	sim.waitUntil("the region uses its own share", func() bool { return sender.used("t1") == regionLimit/2 })
	sender.delayedTransactions = delayed
	sim.heal()
	sim.waitForFullUse("t1")
}

// TestSettingsWithoutRegions starts a node whose settings name no regions in a cluster that divides the limits. It must
// not become the leader, since it would enforce the undivided limits.
func TestSettingsWithoutRegions(t *testing.T) {
	sim := newRegionSimulation(t, 2)
	region := sim.regions[0]
	withRegions := region.operator
	region.operator = config.DefaultOperatorSettings()
	region.startNode(1)
	region.step(region.nodes[1], core.Tick{})
	region.operator = withRegions
	region.frozenNode, region.refusedNode = region.nodes[0].name, region.nodes[2].name
	sim.advance(20 * time.Second)
	if region.nodes[1].core.PeerStatus().Leading {
		t.Fatal("a node without regions in its settings leads, want another one to lead")
	}
	sim.heal()
	sim.submit(0, "t1", 24, 2)
	sim.waitForFullUse("t1")
}

// TestVersionWithoutRegionsCannotLead checks that once limits are divided, the term is stored in a format that versions
// without regions can't read. So none of them can become the leader, while this version still can after several terms.
func TestVersionWithoutRegionsCannotLead(t *testing.T) {
	sim := newRegionSimulation(t, 2)
	region := sim.regions[0]
	for range 3 {
		item, got := region.store.Get("w/term")
		if got != outcome.OK || core.ReadableBeforeQuotas(item.Value) {
			t.Fatalf("got term %s, want one that versions without regions can't read", item.Value)
		}
		region.restartLeaderIfAny()
		sim.advance(6 * time.Second)
	}
	sim.submit(0, "t1", 24, 2)
	sim.waitForFullUse("t1")
}

// TestLimitChanges lowers the limit in one region after the other, and then raises it. While the settings differ each
// region stays within its part of its own limit; once they agree, all of the new limit is used.
func TestLimitChanges(t *testing.T) {
	sim := newRegionSimulation(t, 2)
	sim.setLimit(0, 24)
	sim.submit(0, "t1", 24, 2)
	ids := sim.submit(1, "t1", 24, 2)
	sim.advance(20 * time.Second)
	if usedInFirst, usedInSecond := sim.regions[0].used("t1"), sim.regions[1].used("t1"); usedInFirst != 12 || usedInSecond != 24 {
		t.Errorf("while the limits of the regions differ: got %g and %g GPUs in use, want 12 and 24", usedInFirst, usedInSecond)
	}
	sim.cancel(1, ids)
	sim.setLimit(1, 24)
	sim.submit(1, "t1", 24, 2)
	sim.waitForFullUse("t1")
	sim.setLimit(0, 72)
	sim.setLimit(1, 72)
	sim.waitForFullUse("t1")
}

// TestMismatchedRequests checks that requests with a different limit, from an unknown region or for an unknown team are
// refused.
func TestMismatchedRequests(t *testing.T) {
	sim := newRegionSimulation(t, 2)
	request := core.RequestQuota{From: regionName(1), Team: "t1", Share: sim.regions[0].account("t1").Total}
	region := sim.regions[0]
	var statuses []int
	for _, change := range []func(*core.RequestQuota){
		func(in *core.RequestQuota) { in.Total = request.Share; in.Total.Limit.GPUs++ },
		func(in *core.RequestQuota) { in.From = "elsewhere" },
		func(in *core.RequestQuota) { in.Total = request.Share; in.Team = "t9" },
	} {
		in := request
		region.lastRequest++
		in.RequestID = region.lastRequest << 16
		region.responseHandlers[in.RequestID] = func(response core.Response) { statuses = append(statuses, response.Status) }
		change(&in)
		region.step(region.leaderNode(), in)
	}
	if !slices.Equal(statuses, []int{422, 422, 404}) {
		t.Errorf("got statuses %v, want 422, 422, 404", statuses)
	}
}

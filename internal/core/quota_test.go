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

// TestQuotaFollowsDemand has all of a team's work submitted in one region, and then in another one: each gets the whole limit.
func TestQuotaFollowsDemand(t *testing.T) {
	world := newRegionWorld(t, 3)
	for region := range world.regions {
		ids := world.submitFor(region, "t1", 8, 8)
		world.waitUntil("the whole limit is used in one region", func() bool { return world.regions[region].used("t1") == regionLimit })
		world.cancel(region, ids)
	}
}

// TestBurstsInAllRegions has both teams burst in all regions at the same moment: each gets its whole limit, no more, and none
// is kept from its guarantee.
func TestBurstsInAllRegions(t *testing.T) {
	world := newRegionWorld(t, 3)
	for region := range world.regions {
		world.submit(region, "t1", 12, 2)
		world.submit(region, "t2", 6, 4)
	}
	for _, team := range []string{"t1", "t2"} {
		took := world.waitUntil(team+" has its guarantee", func() bool { return world.usedBy(team) >= regionGuarantee })
		t.Logf("%s has its guarantee after %v", team, took)
		world.usesAll(team)
	}
}

// TestRegionCutOff cuts a region off while work comes in all of them. Each goes on with what it holds; once they meet again,
// what lay unused goes to where work waits.
func TestRegionCutOff(t *testing.T) {
	world := newRegionWorld(t, 2)
	world.cutOff(1, true)
	world.submit(0, "t1", 24, 2)
	world.advance(30 * time.Second)
	if used := world.regions[0].used("t1"); used != regionLimit/2 {
		t.Errorf("region 0 uses %g GPUs while it is cut off, of %d that it holds", used, regionLimit/2)
	}
	world.submit(1, "t1", 4, 2)
	world.advance(10 * time.Second)
	if used := world.regions[1].used("t1"); used != 8 {
		t.Errorf("region 1 uses %g GPUs while it is cut off, of 8 that it needs", used)
	}
	world.cutOff(1, false)
	world.usesAll("t1")
}

// TestOneWayCut loses the messages of one direction alone: transfers come, and nobody hears that they have.
func TestOneWayCut(t *testing.T) {
	for _, way := range [][2]int{{0, 1}, {1, 0}} {
		world := newRegionWorld(t, 2)
		world.submit(0, "t1", 24, 2)
		world.advance(300 * time.Millisecond)
		world.cutLinks[way] = true
		world.advance(30 * time.Second)
		world.heal()
		world.usesAll("t1")
		world.waitUntil("no transfer is left", func() bool {
			return len(world.regions[0].account("t1").Outgoing)+len(world.regions[1].account("t1").Outgoing) == 0
		})
	}
}

// TestLeaderEndsDuringTransfer ends the leaders of the giving and the receiving region at each moment of a transfer, with the
// answers of writes lost or the writes late besides.
func TestLeaderEndsDuringTransfer(t *testing.T) {
	troubles := map[string]func(*worldRegion){
		"ends":                  func(r *worldRegion) { r.restartLeaderIfAny() },
		"answer lost":           func(r *worldRegion) { r.lostResponses = 2 },
		"answer lost, ends":     func(r *worldRegion) { r.lostResponses = 2; r.restartLeaderIfAny() },
		"write late, then ends": func(r *worldRegion) { r.delayedTransactions = 2; r.restartLeaderIfAny() },
		"write late":            func(r *worldRegion) { r.delayedTransactions = 2 },
		"frozen":                func(r *worldRegion) { r.frozenNode = r.leaderNode().name },
	}
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for step := range 12 {
				for region := range 2 {
					world := newRegionWorld(t, 2)
					world.submit(0, "t1", 24, 2)
					world.advance(time.Duration(step) * 4 * scaleStep)
					trouble(world.regions[region])
					world.advance(6 * time.Second)
					world.heal()
					world.usesAll("t1")
				}
			}
		})
	}
}

// TestAnyRegionTroubles plays days of random troubles of regions, and checks that all of the limit can be used after them.
// As with TestSearch, -first and -seeds play more of them.
func TestAnyRegionTroubles(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 5))
			world := newRegionWorld(t, 3)
			for range 2 + random.IntN(9) {
				world.advance(time.Duration(1+random.IntN(40)) * 100 * time.Millisecond)
				world.anyTrouble(random)
			}
			world.heal()
			world.advance(5 * time.Second)
			world.submitFor(0, "t1", 24, 2)
			world.usesAll("t1")
		})
	}
}

// anyTrouble has something happen to a region.
func (world *regionWorld) anyTrouble(random *rand.Rand) {
	region := random.IntN(3)
	r, leader := world.regions[region], world.regions[region].leaderNode()
	switch kind := random.IntN(14); kind {
	case 0, 1:
		r.liveServices = append(r.liveServices, world.submit(region, []string{"t1", "t2"}[kind], 1+random.IntN(12), 4)...)
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
		r.delayedTransactions = 2
	case 7:
		r.commitHeld(r.store)
	case 8:
		r.storeDown = !r.storeDown
	case 9:
		if leader != nil {
			r.refusedNode = leader.name
		}
	case 10:
		world.cutOff(region, true)
	case 11:
		world.cutLinks[[2]int{region, (region + 1 + random.IntN(2)) % 3}] = true
	case 12:
		world.repeatMessages = true
	default:
		world.heal()
	}
}

// TestGuaranteeMoves has another team's batch work fill the region in which a team's work comes, beyond what that region holds
// of the team's guarantee: the rest of the guarantee is transferred from the other regions, and the batch work is preempted.
func TestGuaranteeMoves(t *testing.T) {
	world := newRegionWorldOf(t, 3, 5) // 40 GPUs in each
	region := world.regions[0]
	region.submitAt(region.nodes[0], &wire.Job{ID: "run-900000", Kind: wire.KindArray, Class: "c", Team: "t2", Tasks: 20, CPUs: 4, GPUs: 2, MemoryGB: 20,
		Priority: "prod", Image: "img-1", ImageGB: 4, EstimatedRunS: 600, CheckpointIntervalS: 10, CheckpointTimeS: 1})
	world.waitUntil("batch work fills the region", func() bool { return region.used("t2") == 40 })
	world.submit(0, "t1", 8, 2)
	took := world.waitUntil("the team has 16 of its guarantee of 24", func() bool { return region.used("t1") == 16 })
	t.Logf("after %v", took)
}

// transferInDoubt has a region request what it lacks from another one, whose write of the transfer is delayed, as are so many
// of its writes of the account.
func transferInDoubt(t *testing.T, heldUp int) (world *regionWorld, giver *worldRegion) {
	t.Helper()
	world = newRegionWorld(t, 2)
	giver = world.regions[1]
	giver.delayKey, giver.delayedTransactions = "w/q/t1", heldUp
	world.submit(0, "t1", 24, 2)
	world.waitUntil("a transfer is in doubt", func() bool { return len(giver.heldTransactions) > 0 })
	return world, giver
}

// TestGivenInDoubt has a region's write of a transfer be in doubt for a while in which work comes there. It must not use what
// it may have transferred; the write is applied later.
func TestGivenInDoubt(t *testing.T) {
	world, _ := transferInDoubt(t, 1000)
	world.submit(1, "t1", 12, 2)
	world.advance(4 * time.Second)
	world.heal()
	world.usesAll("t1")
}

// TestLateGift has the write of a transfer arrive after its leader has ended, and the next one has used the share for work
// of its own: the write must not be applied.
func TestLateGift(t *testing.T) {
	world, giver := transferInDoubt(t, 1)
	late := giver.heldTransactions
	giver.heldTransactions = nil
	world.cutOff(0, true) // so that nothing else is given
	giver.restartLeaderIfAny()
	world.submit(1, "t1", 12, 2)
	world.waitUntil("the region uses what it holds", func() bool { return giver.used("t1") == regionLimit/2 })
	giver.heldTransactions = late
	world.heal()
	world.usesAll("t1")
}

// TestSettingsWithoutRegions has a node whose settings name no regions, beside others that divide the limits: it must not lead,
// since it would go by the whole limits.
func TestSettingsWithoutRegions(t *testing.T) {
	world := newRegionWorld(t, 2)
	region := world.regions[0]
	with := region.operator
	region.operator = config.DefaultOperator()
	region.startNode(1)
	region.step(region.nodes[1], core.Tick{})
	region.operator = with
	region.frozenNode, region.refusedNode = region.nodes[0].name, region.nodes[2].name
	world.advance(20 * time.Second)
	if region.nodes[1].core.PeerStatus().Leading {
		t.Fatal("a node that knows no regions leads")
	}
	world.heal()
	world.submit(0, "t1", 24, 2)
	world.usesAll("t1")
}

// TestOlderVersionCannotLead has limits be divided: from then on no version that knows nothing of that can read the term, so none
// can win one; this version can, after any number of changes.
func TestOlderVersionCannotLead(t *testing.T) {
	world := newRegionWorld(t, 2)
	region := world.regions[0]
	for range 3 {
		item, got := region.store.Get("w/term")
		if got != outcome.OK || core.ReadableWithPlans(item.Value) {
			t.Fatalf("an older version reads %s", item.Value)
		}
		region.restartLeaderIfAny()
		world.advance(6 * time.Second)
	}
	world.submit(0, "t1", 24, 2)
	world.usesAll("t1")
}

// TestLimitChanges lowers the limit in one region after the other, and raises it: none is past the old one before all have the
// new one, and then all of that is used.
func TestLimitChanges(t *testing.T) {
	world := newRegionWorld(t, 2)
	world.setLimit(0, 24)
	world.submit(0, "t1", 24, 2)
	ids := world.submit(1, "t1", 24, 2)
	world.advance(20 * time.Second)
	if north, south := world.regions[0].used("t1"), world.regions[1].used("t1"); north != 12 || south != 24 {
		t.Errorf("the regions use %g and %g while their limits differ, not their parts of them", north, south)
	}
	world.cancel(1, ids)
	world.setLimit(1, 24)
	world.submit(1, "t1", 24, 2)
	world.usesAll("t1")
	world.setLimit(0, 72)
	world.setLimit(1, 72)
	world.usesAll("t1")
}

// TestOtherLimits has a region whose settings give a team another limit: it gets nothing of it, and gives nothing.
func TestOtherLimits(t *testing.T) {
	world := newRegionWorld(t, 2)
	ask := core.RequestQuota{From: regionName(1), Team: "t1", Share: world.regions[0].account("t1").Whole}
	region := world.regions[0]
	var statuses []int
	for _, change := range []func(*core.RequestQuota){
		func(in *core.RequestQuota) { in.Whole = ask.Share; in.Whole.Limit.GPUs++ },
		func(in *core.RequestQuota) { in.From = "elsewhere" },
		func(in *core.RequestQuota) { in.Whole = ask.Share; in.Team = "t9" },
	} {
		in := ask
		region.lastRequest++
		in.RequestID = region.lastRequest << 16
		region.pending[in.RequestID] = func(response core.Response) { statuses = append(statuses, response.Status) }
		change(&in)
		region.step(region.leaderNode(), in)
	}
	if !slices.Equal(statuses, []int{422, 422, 404}) {
		t.Errorf("they get %v", statuses)
	}
}

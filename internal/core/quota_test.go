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
	w := newRegionWorld(t, 3)
	for region := range w.regions {
		ids := w.submitFor(region, "t1", 8, 8)
		w.until("the whole limit is used in one region", func() bool { return w.regions[region].used("t1") == regionLimit })
		w.cancel(region, ids)
	}
}

// TestBurstsInAllRegions has both teams burst in all regions at the same moment: each gets its whole limit, no more, and none
// is kept from its guarantee.
func TestBurstsInAllRegions(t *testing.T) {
	w := newRegionWorld(t, 3)
	for region := range w.regions {
		w.submit(region, "t1", 12, 2)
		w.submit(region, "t2", 6, 4)
	}
	for _, team := range []string{"t1", "t2"} {
		took := w.until(team+" has its guarantee", func() bool { return w.usedBy(team) >= regionGuarantee })
		t.Logf("%s has its guarantee after %v", team, took)
		w.usesAll(team)
	}
}

// TestRegionCutOff cuts a region off while work comes in all of them. Each goes on with what it holds; once they meet again,
// what lay unused goes to where work waits.
func TestRegionCutOff(t *testing.T) {
	w := newRegionWorld(t, 2)
	w.cutOff(1, true)
	w.submit(0, "t1", 24, 2)
	w.advance(30 * time.Second)
	if used := w.regions[0].used("t1"); used != regionLimit/2 {
		t.Errorf("region 0 uses %g GPUs while it is cut off, of %d that it holds", used, regionLimit/2)
	}
	w.submit(1, "t1", 4, 2)
	w.advance(10 * time.Second)
	if used := w.regions[1].used("t1"); used != 8 {
		t.Errorf("region 1 uses %g GPUs while it is cut off, of 8 that it needs", used)
	}
	w.cutOff(1, false)
	w.usesAll("t1")
}

// TestOneWayCut loses the messages of one direction alone: transfers come, and nobody hears that they have.
func TestOneWayCut(t *testing.T) {
	for _, way := range [][2]int{{0, 1}, {1, 0}} {
		w := newRegionWorld(t, 2)
		w.submit(0, "t1", 24, 2)
		w.advance(300 * time.Millisecond)
		w.cut[way] = true
		w.advance(30 * time.Second)
		w.heal()
		w.usesAll("t1")
		w.until("no transfer is left", func() bool {
			return len(w.regions[0].account("t1").Outgoing)+len(w.regions[1].account("t1").Outgoing) == 0
		})
	}
}

// TestLeaderEndsDuringTransfer ends the leaders of the giving and the receiving region at each moment of a transfer, with the
// answers of writes lost or the writes late besides.
func TestLeaderEndsDuringTransfer(t *testing.T) {
	troubles := map[string]func(*worldRegion){
		"ends":                  func(r *worldRegion) { r.crashAny() },
		"answer lost":           func(r *worldRegion) { r.loseAnswers = 2 },
		"answer lost, ends":     func(r *worldRegion) { r.loseAnswers = 2; r.crashAny() },
		"write late, then ends": func(r *worldRegion) { r.delay = 2; r.crashAny() },
		"write late":            func(r *worldRegion) { r.delay = 2 },
		"frozen":                func(r *worldRegion) { r.frozen = r.leaderNode().name },
	}
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for step := range 12 {
				for region := range 2 {
					w := newRegionWorld(t, 2)
					w.submit(0, "t1", 24, 2)
					w.advance(time.Duration(step) * 4 * scaleStep)
					trouble(w.regions[region])
					w.advance(6 * time.Second)
					w.heal()
					w.usesAll("t1")
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
			rnd := rand.New(rand.NewPCG(seed, 5))
			w := newRegionWorld(t, 3)
			for range 2 + rnd.IntN(9) {
				w.advance(time.Duration(1+rnd.IntN(40)) * 100 * time.Millisecond)
				w.anyTrouble(rnd)
			}
			w.heal()
			w.advance(5 * time.Second)
			w.submitFor(0, "t1", 24, 2)
			w.usesAll("t1")
		})
	}
}

// anyTrouble has something happen to a region.
func (w *regionWorld) anyTrouble(rnd *rand.Rand) {
	region := rnd.IntN(3)
	r, leader := w.regions[region], w.regions[region].leaderNode()
	switch kind := rnd.IntN(14); kind {
	case 0, 1:
		r.live = append(r.live, w.submit(region, []string{"t1", "t2"}[kind], 1+rnd.IntN(12), 4)...)
	case 2:
		for _, id := range r.live {
			r.req++
			r.step(r.nodes[0], core.CancelJob{RequestID: r.req << 16, ID: id})
		}
		r.live = nil
	case 3:
		r.crashAny()
	case 4:
		if leader != nil {
			r.frozen = leader.name
		}
	case 5:
		r.loseAnswers = 2
	case 6:
		r.delay = 2
	case 7:
		r.settleLate(r.store)
	case 8:
		r.stateDown = !r.stateDown
	case 9:
		if leader != nil {
			r.refused = leader.name
		}
	case 10:
		w.cutOff(region, true)
	case 11:
		w.cut[[2]int{region, (region + 1 + rnd.IntN(2)) % 3}] = true
	case 12:
		w.repeat = true
	default:
		w.heal()
	}
}

// TestGuaranteeMoves has another team's batch work fill the region in which a team's work comes, beyond what that region holds
// of the team's guarantee: the rest of the guarantee is transferred from the other regions, and the batch work is preempted.
func TestGuaranteeMoves(t *testing.T) {
	w := newRegionWorldOf(t, 3, 5) // 40 GPUs in each
	r := w.regions[0]
	r.hand(r.nodes[0], &wire.Job{ID: "run-900000", Kind: wire.KindArray, Class: "c", Team: "t2", Tasks: 20, CPUs: 4, GPUs: 2, MemoryGB: 20,
		Priority: "prod", Image: "img-1", ImageGB: 4, EstimatedRunS: 600, CheckpointIntervalS: 10, CheckpointTimeS: 1})
	w.until("batch work fills the region", func() bool { return r.used("t2") == 40 })
	w.submit(0, "t1", 8, 2)
	took := w.until("the team has 16 of its guarantee of 24", func() bool { return r.used("t1") == 16 })
	t.Logf("after %v", took)
}

// transferInDoubt has a region request what it lacks from another one, whose write of the transfer is delayed, as are so many
// of its writes of the account.
func transferInDoubt(t *testing.T, heldUp int) (w *regionWorld, giver *worldRegion) {
	t.Helper()
	w = newRegionWorld(t, 2)
	giver = w.regions[1]
	giver.delayKey, giver.delay = "w/q/t1", heldUp
	w.submit(0, "t1", 24, 2)
	w.until("a transfer is in doubt", func() bool { return len(giver.late) > 0 })
	return w, giver
}

// TestGivenInDoubt has a region's write of a transfer be in doubt for a while in which work comes there. It must not use what
// it may have transferred; the write is applied later.
func TestGivenInDoubt(t *testing.T) {
	w, _ := transferInDoubt(t, 1000)
	w.submit(1, "t1", 12, 2)
	w.advance(4 * time.Second)
	w.heal()
	w.usesAll("t1")
}

// TestLateGift has the write of a transfer arrive after its leader has ended, and the next one has used the share for work
// of its own: the write must not be applied.
func TestLateGift(t *testing.T) {
	w, giver := transferInDoubt(t, 1)
	late := giver.late
	giver.late = nil
	w.cutOff(0, true) // so that nothing else is given
	giver.crashAny()
	w.submit(1, "t1", 12, 2)
	w.until("the region uses what it holds", func() bool { return giver.used("t1") == regionLimit/2 })
	giver.late = late
	w.heal()
	w.usesAll("t1")
}

// TestSettingsWithoutRegions has a node whose settings name no regions, beside others that divide the limits: it must not lead,
// since it would go by the whole limits.
func TestSettingsWithoutRegions(t *testing.T) {
	w := newRegionWorld(t, 2)
	r := w.regions[0]
	with := r.op
	r.op = config.DefaultOperator()
	r.start(1)
	r.step(r.nodes[1], core.Tick{})
	r.op = with
	r.frozen, r.refused = r.nodes[0].name, r.nodes[2].name
	w.advance(20 * time.Second)
	if r.nodes[1].core.PeerStatus().Leading {
		t.Fatal("a node that knows no regions leads")
	}
	w.heal()
	w.submit(0, "t1", 24, 2)
	w.usesAll("t1")
}

// TestOlderVersionCannotLead has limits be divided: from then on no version that knows nothing of that can read the term, so none
// can win one; this version can, after any number of changes.
func TestOlderVersionCannotLead(t *testing.T) {
	w := newRegionWorld(t, 2)
	r := w.regions[0]
	for range 3 {
		item, got := r.store.Get("w/term")
		if got != outcome.OK || core.ReadableWithPlans(item.Value) {
			t.Fatalf("an older version reads %s", item.Value)
		}
		r.crashAny()
		w.advance(6 * time.Second)
	}
	w.submit(0, "t1", 24, 2)
	w.usesAll("t1")
}

// TestLimitChanges lowers the limit in one region after the other, and raises it: none is past the old one before all have the
// new one, and then all of that is used.
func TestLimitChanges(t *testing.T) {
	w := newRegionWorld(t, 2)
	w.setLimit(0, 24)
	w.submit(0, "t1", 24, 2)
	ids := w.submit(1, "t1", 24, 2)
	w.advance(20 * time.Second)
	if north, south := w.regions[0].used("t1"), w.regions[1].used("t1"); north != 12 || south != 24 {
		t.Errorf("the regions use %g and %g while their limits differ, not their parts of them", north, south)
	}
	w.cancel(1, ids)
	w.setLimit(1, 24)
	w.submit(1, "t1", 24, 2)
	w.usesAll("t1")
	w.setLimit(0, 72)
	w.setLimit(1, 72)
	w.usesAll("t1")
}

// TestOtherLimits has a region whose settings give a team another limit: it gets nothing of it, and gives nothing.
func TestOtherLimits(t *testing.T) {
	w := newRegionWorld(t, 2)
	ask := core.RequestQuota{From: regionName(1), Team: "t1", Share: w.regions[0].account("t1").Whole}
	r := w.regions[0]
	var statuses []int
	for _, change := range []func(*core.RequestQuota){
		func(in *core.RequestQuota) { in.Whole = ask.Share; in.Whole.Limit.GPUs++ },
		func(in *core.RequestQuota) { in.From = "elsewhere" },
		func(in *core.RequestQuota) { in.Whole = ask.Share; in.Team = "t9" },
	} {
		in := ask
		r.req++
		in.RequestID = r.req << 16
		r.pending[in.RequestID] = func(a core.Response) { statuses = append(statuses, a.Status) }
		change(&in)
		r.step(r.leaderNode(), in)
	}
	if !slices.Equal(statuses, []int{422, 422, 404}) {
		t.Errorf("they get %v", statuses)
	}
}

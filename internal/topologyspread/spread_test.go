package topologyspread

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// replica is the placement of a replica of a model.
type replica struct {
	model         Model
	zone, machine string
}

// countReplicas counts the replicas of a model by iterating over all replicas.
func countReplicas(all []replica, m Model) (total, maxInZone, maxOnMachine int) {
	zones, machines := map[string]int{}, map[string]int{}
	for _, r := range all {
		if r.model != m {
			continue
		}
		total++
		machines[r.machine]++
		maxOnMachine = max(maxOnMachine, machines[r.machine])
		if r.zone != "" {
			zones[r.zone]++
			maxInZone = max(maxInZone, zones[r.zone])
		}
	}
	return total, maxInZone, maxOnMachine
}

// TestReplicaCounts adds and removes replicas at random, and compares the counts with those of countReplicas.
func TestReplicaCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		counts, all := NewReplicaCounts(), []replica{}
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			if len(all) > 0 && rapid.Bool().Draw(t, "remove") {
				i := rapid.IntRange(0, len(all)-1).Draw(t, "which")
				r := all[i]
				all = append(all[:i], all[i+1:]...)
				counts.Remove(r.model, r.zone, r.machine)
			} else {
				r := replica{Model{"t", rapid.SampledFrom([]string{"a", "b"}).Draw(t, "image")}, rapid.SampledFrom([]string{"", "z1", "z2", "z3"}).Draw(t, "zone"),
					rapid.SampledFrom([]string{"m1", "m2", "m3", "m4"}).Draw(t, "machine")}
				all = append(all, r)
				counts.Add(r.model, r.zone, r.machine)
			}
			for _, m := range []Model{{"t", "a"}, {"t", "b"}} {
				total, maxInZone, maxOnMachine := countReplicas(all, m)
				if gotTotal, gotInZone, gotOnMachine := counts.Replicas(m); gotTotal != total || gotInZone != maxInZone || gotOnMachine != maxOnMachine {
					t.Fatalf("replicas of %v: %d in total, %d in a zone, %d on a machine; want %d, %d, %d", m, gotTotal, gotInZone, gotOnMachine, total, maxInZone, maxOnMachine)
				}
			}
		}
		for _, r := range all {
			counts.Remove(r.model, r.zone, r.machine)
		}
		if counts.ModelCount() != 0 {
			t.Fatalf("%d models are kept without replicas", counts.ModelCount())
		}
	})
}

// TestCosts checks the expected loss from replicas above the balanced share.
func TestCosts(t *testing.T) {
	counts, m := NewReplicaCounts(), Model{"t", "a"}
	rates := FailureRates{ZoneLossesPerDay: 0.01, MachineLossesPerDay: 0.002, ReplicaLifetimeDays: 30}
	threeZones := DomainCounts{Zones: 3, Machines: 100}
	costsFor := func(domains DomainCounts) Costs { return counts.CostsFor(m, rates, domains, 100*time.Second) }
	costs := costsFor(threeZones)
	if costs.ZoneLossS("z1") != 0 || costs.Crowded("m1") || costs.MachineLossS() != 6 {
		t.Errorf("first replica: zone loss %g s, crowded %v, machine loss %g s", costs.ZoneLossS("z1"), costs.Crowded("m1"), costs.MachineLossS())
	}
	for i, zone := range []string{"z1", "z1", "z1", "z2", "z2", "z2", "z2"} {
		counts.Add(m, zone, []string{"m1", "m2", "m3", "m4", "m5", "m6", "m7"}[i])
	}
	costs = costsFor(threeZones) // eight replicas with the next one: a balanced share of three for each zone
	if costs.ZoneLossS("z1") != 30 || costs.ZoneLossS("z2") != 60 || costs.ZoneLossS("z3") != 0 || costs.ZoneLossS("") != 60 || !costs.Crowded("m1") || costs.Crowded("m8") {
		t.Errorf("zone losses %g, %g, %g, %g s; crowded %v, %v", costs.ZoneLossS("z1"), costs.ZoneLossS("z2"), costs.ZoneLossS("z3"), costs.ZoneLossS(""), costs.Crowded("m1"), costs.Crowded("m8"))
	}
	if costs = costsFor(DomainCounts{Zones: 1, Machines: 1}); costs.ZoneLossS("z2") != 0 || costs.Crowded("m1") {
		t.Error("losses with a single zone and a single machine are counted as avoidable")
	}
}

// TestZoneToDrain moves replicas from ZoneToDrain to the zone with the fewest replicas until it returns none, from any
// initial distribution. The moves have to terminate with no zone above the balanced share.
func TestZoneToDrain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []string{"z1", "z2", "z3", "z4"}[:rapid.IntRange(1, 4).Draw(t, "zones")]
		counts, m, countByZone, total := NewReplicaCounts(), Model{"t", "a"}, map[string]int{}, 0
		for _, zone := range zones {
			countByZone[zone] = rapid.IntRange(0, 9).Draw(t, zone)
			total += countByZone[zone]
			for range countByZone[zone] {
				counts.Add(m, zone, "m")
			}
		}
		moves := 0
		for from := counts.ZoneToDrain(m, zones); from != ""; from = counts.ZoneToDrain(m, zones) {
			to := from
			for _, zone := range zones {
				if countByZone[zone] < countByZone[to] {
					to = zone
				}
			}
			countByZone[from]--
			countByZone[to]++
			counts.Move(m, from, to, "m")
			if moves++; moves > total {
				t.Fatal("moves do not terminate")
			}
		}
		if _, maxInZone, _ := counts.Replicas(m); maxInZone > balancedShare(total, len(zones)) {
			t.Fatalf("%d replicas in a zone, with %d replicas in %d zones", maxInZone, total, len(zones))
		}
	})
}

// smallFleet has two machines in each of three zones. Some machines already have the image of the model, whose replicas
// are placed one after the other.
type smallFleet struct {
	hasImage  [6]bool
	zoneLossS float64
	loadS     float64
	replicas  int
}

func (f *smallFleet) zone(machine int) string { return fmt.Sprint("z", machine/2) }

// cost returns the cost of a placement: image loads, and the expected loss from the replicas above the balanced share
// at the end.
func (f *smallFleet) cost(machines []int) float64 {
	hasImage, zones, cost := f.hasImage, map[string]int{}, 0.0
	for _, m := range machines {
		if !hasImage[m] {
			cost += f.loadS
		}
		hasImage[m] = true
		zones[f.zone(m)]++
	}
	for _, n := range zones {
		cost += f.zoneLossS * float64(max(0, n-balancedShare(len(machines), 3)))
	}
	return cost
}

// optimum returns the lowest cost of any placement that extends the chosen machines.
func (f *smallFleet) optimum(chosen []int) float64 {
	if len(chosen) == f.replicas {
		return f.cost(chosen)
	}
	lowest := math.Inf(1)
	for m := range f.hasImage {
		lowest = min(lowest, f.optimum(append(chosen, m)))
	}
	return lowest
}

// greedy places each replica at the lowest cost of Costs, which does not know how many replicas will follow.
func (f *smallFleet) greedy() []int {
	counts, model, hasImage := NewReplicaCounts(), Model{"t", "a"}, f.hasImage
	var chosen []int
	for range f.replicas {
		costs := counts.CostsFor(model, FailureRates{ZoneLossesPerDay: f.zoneLossS, ReplicaLifetimeDays: 1}, DomainCounts{Zones: 3, Machines: 6}, time.Second)
		chosenMachine, lowest := 0, math.Inf(1)
		for m := range hasImage {
			cost := costs.ZoneLossS(f.zone(m))
			if !hasImage[m] {
				cost += f.loadS
			}
			if cost < lowest {
				chosenMachine, lowest = m, cost
			}
		}
		hasImage[chosenMachine] = true
		chosen = append(chosen, chosenMachine)
		counts.Add(model, f.zone(chosenMachine), fmt.Sprint(chosenMachine))
	}
	return chosen
}

// TestGreedyAgainstOptimum compares greedy placement with the optimum, for every third set of machines that have the
// image and for zone losses below and above the cost of a load.
func TestGreedyAgainstOptimum(t *testing.T) {
	cases, optimal, totalExcess, maxExcess := 0, 0, 0.0, 0.0
	for imageMask := 0; imageMask < 64; imageMask += 3 {
		for _, zoneLossS := range []float64{0, 3, 8, 12, 40} {
			fleet := &smallFleet{zoneLossS: zoneLossS, loadS: 10, replicas: 5}
			for m := range fleet.hasImage {
				fleet.hasImage[m] = imageMask&(1<<m) != 0
			}
			optimalCost, greedyCost := fleet.optimum(nil), fleet.cost(fleet.greedy())
			if greedyCost < optimalCost-1e-9 {
				t.Fatalf("%+v: greedy cost %g is below the optimum %g", fleet, greedyCost, optimalCost)
			}
			cases++
			if greedyCost < optimalCost+1e-9 {
				optimal++
			}
			totalExcess += greedyCost - optimalCost
			maxExcess = max(maxExcess, greedyCost-optimalCost)
		}
	}
	t.Logf("%d cases, %d optimal; above the optimum by %.2f s on average, %.0f s at most, with a load time of 10 s", cases, optimal, totalExcess/float64(cases), maxExcess)
	if optimal*10 < cases*8 || maxExcess > 20 {
		t.Errorf("%d of %d cases are optimal, the worst is %g s above the optimum", optimal, cases, maxExcess)
	}
}

package topologyspread

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// replica is where a replica of a model is.
type replica struct {
	model         Model
	zone, machine string
}

// countReplicas counts a model's replicas by a look at each.
func countReplicas(all []replica, m Model) (total, worstZone, worstMachine int) {
	zones, machines := map[string]int{}, map[string]int{}
	for _, r := range all {
		if r.model != m {
			continue
		}
		total++
		machines[r.machine]++
		worstMachine = max(worstMachine, machines[r.machine])
		if r.zone != "" {
			zones[r.zone]++
			worstZone = max(worstZone, zones[r.zone])
		}
	}
	return total, worstZone, worstMachine
}

// TestLedger compares the counts with those of a look at each replica, over any adding and removing.
func TestLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, all := NewLedger(), []replica{}
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			if len(all) > 0 && rapid.Bool().Draw(t, "remove") {
				i := rapid.IntRange(0, len(all)-1).Draw(t, "which")
				r := all[i]
				all = append(all[:i], all[i+1:]...)
				l.Remove(r.model, r.zone, r.machine)
			} else {
				r := replica{Model{"t", rapid.SampledFrom([]string{"a", "b"}).Draw(t, "image")}, rapid.SampledFrom([]string{"", "z1", "z2", "z3"}).Draw(t, "zone"),
					rapid.SampledFrom([]string{"m1", "m2", "m3", "m4"}).Draw(t, "machine")}
				all = append(all, r)
				l.Add(r.model, r.zone, r.machine)
			}
			for _, m := range []Model{{"t", "a"}, {"t", "b"}} {
				total, worstZone, worstMachine := countReplicas(all, m)
				if n, z, x := l.Replicas(m); n != total || z != worstZone || x != worstMachine {
					t.Fatalf("%v: %d, %d, %d, not %d, %d, %d", m, n, z, x, total, worstZone, worstMachine)
				}
			}
		}
		for _, r := range all {
			l.Remove(r.model, r.zone, r.machine)
		}
		if l.Models() != 0 {
			t.Fatalf("%d models are left without replicas", l.Models())
		}
	})
}

// TestWeigh gives what is beyond the balanced share, in seconds.
func TestWeigh(t *testing.T) {
	l, m := NewLedger(), Model{"t", "a"}
	rates := Rates{ZoneLossesPerDay: 0.01, MachineLossesPerDay: 0.002, ReplicaDays: 30}
	three := Fleet{Zones: 3, Machines: 100}
	weigh := func(fleet Fleet) Costs { return l.CostsFor(m, rates, fleet, 100*time.Second) }
	w := weigh(three)
	if w.ZoneS("z1") != 0 || w.Crowded("m1") || w.MachineS() != 6 {
		t.Errorf("the first replica: %g, %v, %g", w.ZoneS("z1"), w.Crowded("m1"), w.MachineS())
	}
	for i, zone := range []string{"z1", "z1", "z1", "z2", "z2", "z2", "z2"} {
		l.Add(m, zone, []string{"m1", "m2", "m3", "m4", "m5", "m6", "m7"}[i])
	}
	w = weigh(three) // eight with the next: three in a zone
	if w.ZoneS("z1") != 30 || w.ZoneS("z2") != 60 || w.ZoneS("z3") != 0 || w.ZoneS("") != 60 || !w.Crowded("m1") || w.Crowded("m8") {
		t.Errorf("%g, %g, %g, %g, %v, %v", w.ZoneS("z1"), w.ZoneS("z2"), w.ZoneS("z3"), w.ZoneS(""), w.Crowded("m1"), w.Crowded("m8"))
	}
	if w = weigh(Fleet{Zones: 1, Machines: 1}); w.ZoneS("z2") != 0 || w.Crowded("m1") {
		t.Error("with one zone and machine there is nothing to avoid")
	}
}

// TestOverfull moves replicas from the fullest zone to the emptiest until none is too full, whatever they begin with. It
// ends, and at the balanced share.
func TestOverfull(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []string{"z1", "z2", "z3", "z4"}[:rapid.IntRange(1, 4).Draw(t, "zones")]
		l, m, at, total := NewLedger(), Model{"t", "a"}, map[string]int{}, 0
		for _, zone := range zones {
			at[zone] = rapid.IntRange(0, 9).Draw(t, zone)
			total += at[zone]
			for range at[zone] {
				l.Add(m, zone, "m")
			}
		}
		moves := 0
		for from := l.OverfullZone(m, zones); from != ""; from = l.OverfullZone(m, zones) {
			to := from
			for _, zone := range zones {
				if at[zone] < at[to] {
					to = zone
				}
			}
			at[from]--
			at[to]++
			l.Move(m, from, to, "m")
			if moves++; moves > total {
				t.Fatal("moves don't come to an end")
			}
		}
		if _, worst, _ := l.Replicas(m); worst > share(total, len(zones)) {
			t.Fatalf("%d are in a zone, of %d in %d zones", worst, total, len(zones))
		}
	})
}

// smallCase is a fleet of two machines in each of three zones, some of which are warm, that takes the replicas of a model one
// after the other.
type smallCase struct {
	warm     [6]bool
	zoneS    float64
	coldS    float64
	replicas int
}

func (c *smallCase) zone(machine int) string { return fmt.Sprint("z", machine/2) }

// cost is that of a choice of machines: loads, and what the zones have beyond the balanced share in the end.
func (c *smallCase) cost(machines []int) float64 {
	warm, zones, cost := c.warm, map[string]int{}, 0.0
	for _, m := range machines {
		if !warm[m] {
			cost += c.coldS
		}
		warm[m] = true
		zones[c.zone(m)]++
	}
	for _, n := range zones {
		cost += c.zoneS * float64(max(0, n-share(len(machines), 3)))
	}
	return cost
}

// best is the least cost of any choice.
func (c *smallCase) best(chosen []int) float64 {
	if len(chosen) == c.replicas {
		return c.cost(chosen)
	}
	least := math.Inf(1)
	for m := range c.warm {
		least = min(least, c.best(append(chosen, m)))
	}
	return least
}

// oneByOne is the choice of the weigher, which knows nothing of the replicas to come.
func (c *smallCase) oneByOne() []int {
	l, model, warm := NewLedger(), Model{"t", "a"}, c.warm
	var chosen []int
	for range c.replicas {
		w := l.CostsFor(model, Rates{ZoneLossesPerDay: c.zoneS, ReplicaDays: 1}, Fleet{Zones: 3, Machines: 6}, time.Second)
		at, least := 0, math.Inf(1)
		for m := range warm {
			cost := w.ZoneS(c.zone(m))
			if !warm[m] {
				cost += c.coldS
			}
			if cost < least {
				at, least = m, cost
			}
		}
		warm[at] = true
		chosen = append(chosen, at)
		l.Add(model, c.zone(at), fmt.Sprint(at))
	}
	return chosen
}

// TestAgainstBest compares the choice one by one with the best of all choices, over every third set of warm machines and weights below
// and above the load.
func TestAgainstBest(t *testing.T) {
	cases, exact, sum, worst := 0, 0, 0.0, 0.0
	for warm := 0; warm < 64; warm += 3 {
		for _, zoneS := range []float64{0, 3, 8, 12, 40} {
			c := &smallCase{zoneS: zoneS, coldS: 10, replicas: 5}
			for m := range c.warm {
				c.warm[m] = warm&(1<<m) != 0
			}
			best, got := c.best(nil), c.cost(c.oneByOne())
			if got < best-1e-9 {
				t.Fatalf("%+v: %g is less than the best, %g", c, got, best)
			}
			cases++
			if got < best+1e-9 {
				exact++
			}
			sum += got - best
			worst = max(worst, got-best)
		}
	}
	t.Logf("%d cases, %d as good as the best; above it by %.2f s in the mean, %.0f s at most, where a load takes 10 s", cases, exact, sum/float64(cases), worst)
	if exact*10 < cases*8 || worst > 20 {
		t.Errorf("%d of %d cases are as good as the best, the worst is %g s above it", exact, cases, worst)
	}
}

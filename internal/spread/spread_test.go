package spread

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestLedger compares the counts with those of a look at each replica, over any adding and taking away.
func TestLedger(t *testing.T) {
	type replica struct {
		model         Model
		zone, machine string
	}
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
				total, zones, machines := 0, map[string]int{}, map[string]int{}
				worstZone, worstMachine := 0, 0
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
	weigh := func(fleet Fleet) Weigher { return l.Weigh(m, rates, fleet, 100*time.Second) }
	w := weigh(three)
	if w.Zone("z1") != 0 || w.Crowded("m1") || w.Machine() != 6 {
		t.Errorf("the first replica: %g, %v, %g", w.Zone("z1"), w.Crowded("m1"), w.Machine())
	}
	for i, zone := range []string{"z1", "z1", "z1", "z2", "z2", "z2", "z2"} {
		l.Add(m, zone, []string{"m1", "m2", "m3", "m4", "m5", "m6", "m7"}[i])
	}
	w = weigh(three) // eight with the next: three in a zone
	if w.Zone("z1") != 30 || w.Zone("z2") != 60 || w.Zone("z3") != 0 || w.Zone("") != 60 || !w.Crowded("m1") || w.Crowded("m8") {
		t.Errorf("%g, %g, %g, %g, %v, %v", w.Zone("z1"), w.Zone("z2"), w.Zone("z3"), w.Zone(""), w.Crowded("m1"), w.Crowded("m8"))
	}
	if w = weigh(Fleet{Zones: 1, Machines: 1}); w.Zone("z2") != 0 || w.Crowded("m1") {
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
		for from := l.Overfull(m, zones); from != ""; from = l.Overfull(m, zones) {
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

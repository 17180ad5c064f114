package core_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// TestSearch plays days of random troubles. The list of seeds is fixed.
func TestSearch(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			script := randomDay(seed)
			s, broken := playDay(t, script)
			if len(broken) == 0 {
				return
			}
			t.Errorf("%s\n%s", strings.Join(broken, "\n"), script)
			if *showIn != "" {
				show(t, fmt.Sprintf("%d.trace", seed), script)
				show(t, fmt.Sprintf("%d.all", seed), s.all.String())
			}
		})
	}
}

// TestSearchRepeats plays a day twice: the same comes of it, to the byte.
func TestSearchRepeats(t *testing.T) {
	a, _ := playDay(t, randomDay(5))
	b, _ := playDay(t, randomDay(5))
	if a.all.String() != b.all.String() {
		t.Error(firstDifference(a.all.String(), b.all.String()))
	}
}

// randomDay makes up a script: two to four moments, at each of which a few troubles meet, with
// jobs that begin, end and are cancelled about then.
func randomDay(seed uint64) string {
	r := rand.New(rand.NewPCG(seed, 2))
	var b strings.Builder
	add := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	pick := func(xs ...string) string { return xs[r.IntN(len(xs))] }
	in := func(lo, hi float64) float64 { return float64(int(10*(lo+(hi-lo)*r.Float64()))) / 10 }
	at := func(t float64) string { return fmt.Sprintf("%.1f", t) }
	add("zones %s", pick("a=z1 b=z1 c=z1", "a=z1 b=z1 c=z2", "a=z1 b=z2 c=z2"))
	add("seed %d", seed)
	upgrade := rand.New(rand.NewPCG(seed, 4))
	add("next value_kb=1 txn_ops=4 write_rps=42")
	if upgraded := upgrade.IntN(2) == 0; upgraded {
		add("old")
		randomUpgrade(&b, upgrade)
	}
	add("%.1f limits", 10+100*upgrade.Float64())
	add("machines z1 z1 z2 z2%s", pick("", " z1-spot", " z2-spot"))
	var moments []float64
	for i, n := 0, 2+r.IntN(3); i < n; i++ {
		moments = append(moments, in(15, 85))
	}
	near := func(lo, hi float64) float64 { return max(0.5, moments[r.IntN(len(moments))]+in(lo, hi)) }
	green := 0
	for i := 1; i <= 14; i++ {
		id := fmt.Sprintf("run-%06d", i)
		begin := near(-25, -0.5)
		if r.IntN(4) == 0 {
			begin = near(-0.5, 3)
		}
		var what string
		cancelled := r.IntN(2) == 0
		switch r.IntN(7) {
		case 0, 1:
			n, g := 1+r.IntN(3), 1+r.IntN(3)
			if !cancelled {
				if green+n*g > 14 {
					n, g = 1, 1
				}
				green += n * g
			}
			what = fmt.Sprintf("kind=service tasks=%d gpus=%d team=green priority=%s", n, g, pick("prod", "high"))
			if n > 1 {
				what += pick("", "", " spread")
			}
		case 2:
			what = fmt.Sprintf("tasks=%d gpus=1 team=green one_zone run=%g", 2+r.IntN(4), in(3, 60))
		case 3:
			what = fmt.Sprintf("tasks=%d gpus=1 team=green spread run=%g", 2+r.IntN(4), in(3, 40))
		case 4:
			what = fmt.Sprintf("tasks=%d gpus=2 team=red run=%g", 2+r.IntN(5), in(2, 25))
		case 5:
			what = fmt.Sprintf("tasks=%d gpus=1 team=blue spot save=1 run=%g zone=%s", 1+r.IntN(6), in(3, 40), pick("z1", "z2"))
		default:
			what = fmt.Sprintf("tasks=%d gpus=2 team=blue run=%g", 2+r.IntN(3), in(5, 60))
		}
		add("%s submit %s %s", at(begin), id, what)
		switch {
		case cancelled:
			t := near(-1, 4)
			if t < begin {
				t = begin + in(0.1, 30)
			}
			add("%s cancel %s", at(t), id)
		case !strings.Contains(what, "service") && r.IntN(3) == 0:
			add("%s cancel_at_end %s", at(begin), id)
		}
	}
	for _, moment := range moments {
		for i, n := 0, 1+r.IntN(4); i < n; i++ {
			t := at(moment + in(0, 3))
			node := pick("leader", "leader", "leader", "other", "a", "b", "c")
			m := r.IntN(8)
			switch r.IntN(19) {
			case 0:
				add("%s refuse %s %g", t, node, in(2, 25))
			case 1:
				add("%s refuse leader %g", at(moment), in(4, 14))
				add("%s outage %g", at(moment+in(0.5, 2.5)), in(5, 45))
			case 2, 3:
				add("%s cut %s %s %g", t, node, pick("state", "state,peers", "state,peers", "peers", "workers", "state,peers,workers,users"), in(3, 40))
			case 4:
				add("%s kill %s %g", t, node, in(0.1, 6))
			case 5:
				add("%s kill all %g", t, in(0.1, 14))
			case 6:
				add("%s freeze %s %g", t, node, in(1, 12))
			case 7:
				add("%s outage %g", t, in(1, 45))
			case 8:
				add("%s slow %g %g", t, in(0.2, 3), in(5, 30))
			case 9:
				add("%s late_writes %g %g", t, in(0.1, 0.6), in(5, 30))
			case 10:
				add("%s late_reports %g %g", t, in(0.1, 0.8), in(5, 40))
			case 11, 12:
				add("%s late_orders %g %g", t, in(0.2, 1), in(5, 40))
			case 13:
				add("%s partition %g", t, in(5, 40))
			case 14:
				add("%s zone_cut %s %g", t, pick("z1", "z2"), in(5, 40))
			case 15:
				add("%s hang %d %g", t, m, in(2, 14))
				add("%s hang %d %g", t, m+1, in(2, 14))
			case 16:
				add("%s %s %d %g", t, pick("deaf", "mute"), m, in(2, 25))
				add("%s %s %d", t, pick("die", "take", "recall"), m+1)
			case 17:
				step := in(0.5, 12)
				for k, kills := 0, 3+r.IntN(8); k < kills; k++ {
					add("%s kill leader %g", at(moment+float64(k)*step), in(0.1, 4))
				}
			default:
				add("%s cloud %g", t, in(3, 25))
				add("%s odd", t)
			}
		}
	}
	randomPipelines(&b, seed, moments)
	randomShortages(&b, seed, moments)
	randomSuccessions(&b, seed)
	// The longest trouble begins at 88 s and lasts 45 s; ten leaders may follow each other.
	add("calm 150")
	add("end 270")
	return b.String()
}

// randomUpgrade has the nodes come back with the new version, one after the other; on some days one of
// them late.
func randomUpgrade(b *strings.Builder, r *rand.Rand) {
	at := 5 + 40*r.Float64()
	for _, node := range []string{"a", "b", "c"} {
		fmt.Fprintf(b, "%.1f upgrade %s %.1f\n", at, node, 0.2+4*r.Float64())
		at += 1 + 10*r.Float64()
		if r.IntN(4) == 0 {
			at += 30
		}
	}
}

// randomShortages has nodes run short of processor time on every third day, around the moments of the other troubles.
// They draw from chance of their own, so that the rest of a day stays as it was.
func randomShortages(b *strings.Builder, seed uint64, moments []float64) {
	r := rand.New(rand.NewPCG(seed, 4))
	if r.IntN(3) > 0 {
		return
	}
	for _, moment := range moments {
		node := []string{"leader", "other", "a", "b", "c", "all"}[r.IntN(6)]
		begin := max(0.5, moment-10*r.Float64())
		fmt.Fprintf(b, "%.1f short %s %.0f %.1f\n", begin, node, 5+60*r.Float64(), 5+30*r.Float64())
	}
}

// successionTime is about how long it takes until the next leader knows all jobs: the old one's lease ends, others notice
// it, one wins and reads.
const successionTime = simLease / 2

// randomSuccessions has the leader lose its term on every second day, in one of the ways in which that happens, while users
// cancel jobs that run and other troubles begin: all of it at any time until the next leader should know all jobs. The
// troubles last for less than a lease, less than a cancelled job may stay, or longer. They draw from chance of their own, so
// that the rest of a day stays as it was.
func randomSuccessions(b *strings.Builder, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 5))
	if r.IntN(2) > 0 {
		return
	}
	pick := func(xs ...string) string { return xs[r.IntN(len(xs))] }
	begin := 12 + 75*r.Float64()
	during := func() float64 { return begin + successionTime.Seconds()*r.Float64() }
	span := func() float64 {
		longest := []time.Duration{simLease, simCancel, simCancel * 3 / 2}[r.IntN(3)]
		return longest.Seconds() * (0.5 + 0.5*r.Float64())
	}
	fmt.Fprintf(b, "%.2f %s\n", begin, pick("refuse leader 14", "cut leader state 14", "cut leader state,peers 14", "kill leader 3", "freeze leader 6"))
	for range 1 + r.IntN(6) {
		fmt.Fprintf(b, "%.2f cancel_now\n", during())
	}
	for range 1 + r.IntN(2) {
		trouble := pick("outage", "outage", "refuse other", "cut other state,peers", "slow 2", "late_writes 0.5", "partition", "zone_cut z1")
		fmt.Fprintf(b, "%.2f %s %.1f\n", during(), trouble, span())
	}
}

// randomPipelines makes up chains of jobs, each of which needs the one before it; of some a job is
// cancelled. They draw from chance of their own, so that the rest of a day stays as it was.
func randomPipelines(b *strings.Builder, seed uint64, moments []float64) {
	r := rand.New(rand.NewPCG(seed, 3))
	priorities := []string{"idle", "idle", "standard", "high"}
	for chain := 0; chain < 1+r.IntN(3); chain++ {
		begin := max(0.5, moments[r.IntN(len(moments))]-20*r.Float64())
		last := ""
		cancelled := r.IntN(2 * len(priorities))
		for stage, priority := range priorities {
			id := fmt.Sprintf("run-8%02d%03d", chain, stage)
			needs := ""
			if last != "" {
				needs = " needs=" + last
			}
			fmt.Fprintf(b, "%.1f submit %s tasks=%d gpus=0 team=green spot run=%.1f priority=%s%s\n",
				begin+0.3*float64(stage), id, 1+r.IntN(30), 1+10*r.Float64(), priority, needs)
			if stage == cancelled {
				fmt.Fprintf(b, "%.1f cancel %s\n", begin+2+30*r.Float64(), id)
			}
			last = id
		}
	}
}

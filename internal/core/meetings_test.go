package core_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/wire"
)

// Days on which troubles meet. A kept one in testdata/meetings is a script, and below it what
// came of it: who led, what started and ended where, what users were told. It fails when a rule
// of the protocol breaks, whatever is kept. TestSearch makes up such scripts by seed; what it
// finds becomes a kept one: `go test ./internal/core -run TestSearch -first 1 -seeds 1000`, and
// `-show DIR` writes script and events of a seed that fails.
//
//	zones a=z1 b=z1 c=z2     where nodes are; first line
//	seed 7                   of all that is left to chance
//	machines z1 z1 z2-spot   up at the start
//	AT submit run-000001 kind=service tasks=2 gpus=4 team=green run=20 faulty
//	AT cancel run-000001     AT cancel_at_end run-000001
//	AT refuse NODE FOR       the state service refuses it; NODE may be "leader"
//	AT cut NODE state,peers,workers,users FOR
//	AT kill NODE|all FOR     AT freeze NODE FOR
//	AT outage FOR            AT slow UPTO FOR      AT cloud FOR
//	AT late_writes SHARE FOR AT late_reports SHARE FOR   AT late_orders SHARE FOR
//	AT partition FOR         AT zone_cut ZONE FOR
//	AT hang|deaf|mute|sick MACHINE FOR              AT die|take|recall MACHINE
//	AT boots SHARE_NEVER FACTOR FOR                 how new machines come up
//	AT polls PER_SECOND FOR  users ask about jobs; shown is what they got
//	AT odd                   requests that must be refused, and repeats
//	calm AT, end AT          troubles are over; the day is

var (
	firstSeed = flag.Uint64("first", 1, "first seed of TestSearch")
	seeds     = flag.Uint64("seeds", 16, "number of seeds of TestSearch")
	showIn    = flag.String("show", "", "where TestSearch writes what failed")
)

// playDay plays a script.
func playDay(t testing.TB, script string) (*sim, []string) {
	var s *sim
	zones := map[string]string{}
	seed := uint64(1)
	begin := func() {
		if s == nil {
			s = newSim(t, seed, zones)
		}
	}
	for _, line := range strings.Split(script, "\n") {
		f := strings.Fields(line)
		if len(f) == 0 || f[0][0] == '#' || f[0] == "|" {
			continue
		}
		switch f[0] {
		case "zones":
			for _, kv := range f[1:] {
				k, v, _ := strings.Cut(kv, "=")
				zones[k] = v
			}
			continue
		case "seed":
			seed, _ = strconv.ParseUint(f[1], 10, 64)
			continue
		case "machines":
			begin()
			for i, z := range f[1:] {
				zone, spot := strings.CutSuffix(z, "-spot")
				s.addMachine(zone, spot, time.Duration(100*i)*time.Millisecond)
			}
			continue
		case "calm", "end":
			begin()
			at := parseSeconds(t, f[1])
			if f[0] == "calm" {
				s.calm = at
			} else {
				s.end = at
			}
			continue
		}
		begin()
		s.plan(parseSeconds(t, f[0]), f[1:])
	}
	s.run()
	return s, s.verdict()
}

func parseSeconds(t testing.TB, text string) time.Duration {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatalf("not a number: %s", text)
	}
	return time.Duration(x * float64(time.Second))
}

// plan takes a line of a script.
func (s *sim) plan(at time.Duration, f []string) {
	num := func(i int) time.Duration { return parseSeconds(s.t, f[i]) }
	nodes := func() []*simNode {
		switch f[1] {
		case "all":
			return s.nodes
		case "leader":
			return []*simNode{s.leader()}
		case "other":
			for _, n := range s.nodes {
				if n != s.leader() && n.core != nil {
					return []*simNode{n}
				}
			}
			return nil
		}
		return []*simNode{s.node(f[1])}
	}
	machine := func() *simWorker {
		if i, err := strconv.Atoi(f[1]); err == nil {
			var up []*simWorker
			for _, w := range s.workers {
				if w.up && !w.gone {
					up = append(up, w)
				}
			}
			if len(up) == 0 {
				return nil
			}
			return up[i%len(up)]
		}
		return s.byName[f[1]]
	}
	switch f[0] {
	case "submit":
		j := s.newJob(f[1:])
		j.at = at
		s.jobs = append(s.jobs, j)
		s.at(at, func() { s.submit(j) })
		return
	case "cancel", "cancel_at_end":
		for _, j := range s.jobs {
			if j.spec.ID != f[1] {
				continue
			}
			if f[0] == "cancel" {
				s.at(at, func() { s.cancelJob(j) })
				return
			}
			j.cancelAt = -1
			var look func()
			look = func() {
				n := 0
				for i := 0; i < j.spec.Tasks; i++ {
					if s.results[wire.TaskName(j.spec.ID, i)] {
						n++
					}
				}
				if n == j.spec.Tasks {
					s.cancelJob(j)
					s.submit(j)
					return
				}
				s.after(10*time.Millisecond, look)
			}
			s.at(at, look)
			return
		}
		s.t.Fatalf("no job %s", f[1])
	}
	s.at(at, func() {
		s.note("trouble: %s", strings.Join(f, " "))
		until := func(i int) time.Duration { return s.now + num(i) }
		switch f[0] {
		case "refuse":
			for _, n := range nodes() {
				n.refused = max(n.refused, until(2))
			}
		case "cut":
			for _, n := range nodes() {
				for _, what := range strings.Split(f[2], ",") {
					switch what {
					case "state":
						n.noState = max(n.noState, until(3))
					case "peers":
						n.noPeers = max(n.noPeers, until(3))
					case "workers":
						n.noWorkers = max(n.noWorkers, until(3))
					case "users":
						n.noUsers = max(n.noUsers, until(3))
					}
				}
			}
		case "kill":
			for _, n := range nodes() {
				s.kill(n)
				life := n.life
				s.at(until(2), func() {
					if n.life == life {
						s.start(n)
					}
				})
			}
		case "freeze":
			for _, n := range nodes() {
				n.frozen = max(n.frozen, until(2))
			}
		case "outage":
			s.outage = max(s.outage, until(1))
		case "slow":
			s.slow, s.slowUntil = num(1), until(2)
		case "cloud":
			s.cloudOut = max(s.cloudOut, until(1))
		case "late_writes", "late_reports", "late_orders":
			share := num(1).Seconds()
			x := map[string]*float64{"late_writes": &s.lateWrites, "late_reports": &s.lateReports, "late_orders": &s.lateOrders}[f[0]]
			*x = share
			s.at(until(2), func() { *x = 0 })
		case "boots":
			s.bootFail, s.bootFactor = num(1).Seconds(), num(2).Seconds()
			s.at(until(3), func() { s.bootFail, s.bootFactor = 0, 0 })
		case "polls":
			stop := until(2)
			every := time.Duration(float64(time.Second) / num(1).Seconds())
			var ask func()
			ask = func() {
				if s.now < stop {
					s.pollOnce()
					s.after(every, ask)
				}
			}
			ask()
			s.at(stop+2*time.Second, func() { s.say("polls: %v", s.polled) })
		case "partition":
			s.partition = true
			s.at(until(1), func() { s.partition = false })
		case "zone_cut":
			s.zoneCut = f[1]
			s.at(until(2), func() { s.zoneCut = "" })
		case "hang", "deaf", "mute", "sick", "die", "take", "recall":
			w := machine()
			if w == nil || w.gone {
				return
			}
			s.note("it is %s", w.name)
			switch f[0] {
			case "hang":
				w.hung = max(w.hung, until(2))
			case "deaf":
				w.deaf = max(w.deaf, until(2))
			case "mute":
				w.mute = max(w.mute, until(2))
			case "sick":
				w.sick = true
				s.at(until(2), func() { w.sick = false })
			case "die":
				w.gone, w.up, w.stopped = true, false, s.now
				s.killTasks(w)
			case "take":
				s.remove(w)
			case "recall":
				w.notice = true
				s.soon(w)
				s.after(5*time.Second, func() { s.remove(w) })
			}
		case "odd":
			s.odd()
		default:
			s.t.Fatalf("unknown: %v", f)
		}
	})
}

// pollOnce asks about some job, and counts the answers.
func (s *sim) pollOnce() {
	j, sent := s.jobs[s.rnd.IntN(len(s.jobs))], s.now
	if !j.accepted {
		return
	}
	if s.polled == nil {
		s.polled = map[int]int{}
	}
	s.ask(func(req uint64) core.Input { return core.Poll{Req: req, ID: j.spec.ID} }, func(status int, state string) {
		s.judge.told(s.now, sent, "poll", j.spec.ID, status, state)
		s.polled[status]++
	})
}

// odd sends what must be refused, and repeats of what is known.
func (s *sim) odd() {
	sent := s.now
	big := &simJob{spec: s.newJob([]string{"run-999001", "gpus=9"}).spec}
	s.judge.submits(big.spec)
	s.ask(func(req uint64) core.Input { return core.Submit{Req: req, Job: big.spec} }, func(status int, _ string) {
		if status == 200 || status == 201 || status == 400 || status == 404 {
			s.judge.breaks(s.now, "odd", "a job that fits no machine gets %d", status)
		}
	})
	s.ask(func(req uint64) core.Input { return core.Poll{Req: req, ID: "run-999002"} }, func(status int, state string) {
		s.judge.told(s.now, sent, "poll", "run-999002", status, state)
	})
	for _, j := range s.jobs {
		if !j.accepted {
			continue
		}
		spec := *j.spec
		s.ask(func(req uint64) core.Input { return core.Submit{Req: req, Job: &spec} }, func(status int, state string) {
			s.judge.told(s.now, sent, "submit", j.spec.ID, status, state)
		})
		if j.told == wire.JobDone {
			s.judge.jobs[j.spec.ID].asked = true
			s.ask(func(req uint64) core.Input { return core.Cancel{Req: req, ID: j.spec.ID} }, func(status int, state string) {
				s.judge.told(s.now, sent, "cancel", j.spec.ID, status, state)
			})
		}
	}
}

// newJob takes a job as in the other traces, and what the world has to know of it.
func (s *sim) newJob(f []string) *simJob {
	j := &simJob{runS: 20}
	plain, team := []string{f[0]}, "green"
	for _, kv := range f[1:] {
		k, v, _ := strings.Cut(kv, "=")
		switch k {
		case "run":
			j.runS = parseSeconds(s.t, v).Seconds()
		case "faulty":
			j.faulty = true
		case "team":
			team = v
		default:
			plain = append(plain, kv)
		}
	}
	j.spec = (&world{t: s.t}).job(append(plain, "team="+team))
	if j.spec.Kind == wire.KindArray {
		j.spec.EstimateS = j.runS
	}
	return j
}

func TestMeetings(t *testing.T) {
	files, err := filepath.Glob("testdata/meetings/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatal("no meetings", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".trace"), func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			var script []string
			for _, line := range strings.Split(strings.TrimRight(string(data), "\n"), "\n") {
				if !strings.HasPrefix(line, "|") {
					script = append(script, line)
				}
			}
			s, broken := playDay(t, strings.Join(script, "\n"))
			for _, b := range broken {
				t.Errorf("a rule is broken: %s", b)
			}
			got := strings.Join(script, "\n") + "\n" + s.out.String()
			if *showIn != "" {
				show(t, filepath.Base(file)+".all", s.all.String())
			}
			switch {
			case *update:
				if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
			case got != string(data):
				t.Errorf("%s: something else came of it:\n%s", file, firstDifference(string(data), got))
			}
		})
	}
}

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

// show writes a file into the directory that -show names.
func show(t *testing.T, name, text string) {
	if err := os.WriteFile(filepath.Join(*showIn, name), []byte(text), 0o644); err != nil {
		t.Fatal(err)
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
	// The longest trouble begins at 88 s and lasts 45 s; ten leaders may follow each other.
	add("calm 150")
	add("end 270")
	return b.String()
}

// Jobs of TestJudge.
const judgedID, otherID = "run-000001", "run-000002"

// judgedJob is the job that TestJudge submits.
func judgedJob(t testing.TB) *wire.Job {
	return (&sim{t: t}).newJob([]string{judgedID, "tasks=4", "gpus=3", "team=red"}).spec
}

// seconds gives a time in seconds.
func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// judgedDays break one rule each, which the first word of their name tells.
var judgedDays = map[string]func(j *judge){
	"ran_twice": func(j *judge) {
		j.starts(seconds(1), judgedID+"/0", "m1", "g8", "z1", false)
		j.starts(seconds(2), judgedID+"/0", "m2", "g8", "z1", false)
	},
	"quota": func(j *judge) {
		for i := range 3 {
			j.starts(seconds(1), wire.TaskName(judgedID, i), "m1", "g8", "z1", false)
		}
	},
	"wrong_place spot": func(j *judge) { j.starts(seconds(1), judgedID+"/0", "m1", "g8", "z1", true) },
	"wrong_place type": func(j *judge) {
		j.jobs[judgedID].spec.Types = []string{"h4"}
		j.starts(seconds(1), judgedID+"/0", "m1", "g8", "z1", false)
	},
	"wrong_place zone": func(j *judge) {
		j.submits(judgedJob(nil)).spec.Zone = "z2"
		j.starts(seconds(1), judgedID+"/0", "m1", "g8", "z1", false)
	},
	"wrong_place one_zone": func(j *judge) {
		j.jobs[judgedID].spec.OneZone = true
		j.starts(seconds(1), judgedID+"/0", "m1", "g8", "z1", false)
		j.starts(seconds(1), judgedID+"/1", "m2", "g8", "z2", false)
	},
	"wrong_place spread": func(j *judge) {
		j.jobs[judgedID].spec.Spread, j.jobs[judgedID].spec.GPUs = true, 1
		for i := range 3 {
			j.starts(seconds(1), wire.TaskName(judgedID, i), "m1", "g8", "z1", false)
		}
	},
	"ran_cancelled stays": func(j *judge) {
		j.jobs[judgedID].asked = true
		j.starts(seconds(1), judgedID+"/0", "m1", "g8", "z1", false)
		j.told(seconds(2), seconds(2), "cancel", judgedID, 200, wire.JobCancelled)
		j.passes(seconds(2) + simCancel + 1)
	},
	"ran_cancelled starts": func(j *judge) {
		j.jobs[judgedID].asked = true
		j.told(seconds(2), seconds(2), "cancel", judgedID, 200, wire.JobCancelled)
		j.starts(seconds(2)+simCancel+1, judgedID+"/0", "m1", "g8", "z1", false)
	},
	"started_cancelled": func(j *judge) {
		j.jobs[judgedID].asked = true
		j.told(seconds(2), seconds(2), "cancel", judgedID, 200, wire.JobCancelled)
		j.starts(seconds(3), judgedID+"/0", "m1", "g8", "z1", false)
	},
	"forgotten poll": func(j *judge) {
		j.told(seconds(1), seconds(1), "submit", judgedID, 201, wire.JobPending)
		j.told(seconds(3), seconds(2), "poll", judgedID, 404, "")
	},
	"forgotten submit": func(j *judge) {
		j.told(seconds(1), seconds(1), "submit", judgedID, 201, wire.JobPending)
		j.told(seconds(3), seconds(2), "submit", judgedID, 422, "")
	},
	"invented answer": func(j *judge) { j.told(seconds(1), seconds(1), "poll", otherID, 200, wire.JobPending) },
	"invented start":  func(j *judge) { j.starts(seconds(1), otherID+"/0", "m1", "g8", "z1", false) },
	"not_done":        func(j *judge) { j.told(seconds(1), seconds(1), "poll", judgedID, 200, wire.JobDone) },
	"went_back": func(j *judge) {
		j.jobs[judgedID].asked = true
		j.told(seconds(2), seconds(1), "cancel", judgedID, 200, wire.JobCancelled)
		j.told(seconds(4), seconds(3), "poll", judgedID, 200, wire.JobRunning)
	},
	"went_back unasked": func(j *judge) { j.told(seconds(2), seconds(1), "poll", judgedID, 200, wire.JobCancelled) },
}

// TestJudge shows that each check of the judge can fail.
func TestJudge(t *testing.T) {
	for rule, day := range judgedDays {
		j := newJudge(map[string]float64{"red": 8}, simCancel)
		j.submits(judgedJob(t))
		if day(j); len(j.broken) != 1 || !strings.Contains(j.broken[0], strings.Fields(rule)[0]) {
			t.Errorf("%s: the judge says %v", rule, j.broken)
		}
	}
}

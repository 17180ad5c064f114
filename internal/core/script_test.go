package core_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/wire"
)

// playDay plays a script.
func playDay(tb testing.TB, script string) (*sim, []string) {
	tb.Helper()
	var s *sim
	zones := map[string]string{}
	seed := uint64(1)
	begin := func() {
		if s == nil {
			s = newSim(tb, seed, zones)
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
		case "old", "next":
			begin()
			s.prepare(f)
			continue
		case "machines":
			begin()
			for i, z := range f[1:] {
				zone, spot := strings.CutSuffix(z, "-spot")
				s.addMachine(zone, spot, time.Duration(100*i)*time.Millisecond)
			}
			continue
		case "room":
			begin()
			rooms, err := strconv.Atoi(f[1])
			if err != nil {
				tb.Fatalf("not a number: %s", f[1])
			}
			s.perZone = rooms
			continue
		case "calm", "end":
			begin()
			at := parseSeconds(tb, f[1])
			if f[0] == "calm" {
				s.calm = at
			} else {
				s.end = at
			}
			continue
		}
		begin()
		s.plan(parseSeconds(tb, f[0]), f[1:])
	}
	s.run()
	return s, s.verdict()
}

// prepare begins the day with nodes of the old version, or with limits to come in the settings.
func (s *sim) prepare(f []string) {
	if f[0] == "next" {
		s.set.Store.Next = nextLimits(s.t, f[1:])
	}
	for _, n := range s.nodes {
		n.old = n.old || f[0] == "old"
		s.kill(n)
		s.start(n)
	}
}

func parseSeconds(tb testing.TB, text string) time.Duration {
	tb.Helper()
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		tb.Fatalf("not a number: %s", text)
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
		case "limits":
			next := s.set.Store.Next
			s.store.SetLimits(int(1024**next.ValueKB), *next.TxnOps)
		case "kill", "upgrade":
			for _, n := range nodes() {
				n.old = n.old && f[0] == "kill"
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
		case "short":
			for _, n := range nodes() {
				n.stepTime, n.short = num(2)/1000, until(3)
			}
		case "outage":
			s.outage = max(s.outage, until(1))
		case "cancel_now":
			s.cancelRunning()
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

// cancelRunning has the user of a job that runs, and of which no cancellation was asked yet, cancel it.
func (s *sim) cancelRunning() {
	var running []*simJob
	for _, j := range s.jobs {
		if known := s.ruleChecker.jobs[j.spec.ID]; j.accepted && !known.asked && j.cancelAt == 0 && s.runs(j) {
			running = append(running, j)
		}
	}
	if len(running) > 0 {
		s.cancelJob(running[s.rnd.IntN(len(running))])
	}
}

// runs tells whether a task of a job is on a machine.
func (s *sim) runs(j *simJob) bool {
	for task := range j.spec.Tasks {
		if len(s.ruleChecker.on[wire.TaskName(j.spec.ID, task)]) > 0 {
			return true
		}
	}
	return false
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
	s.ask(func(req uint64) core.Input { return core.GetJob{RequestID: req, ID: j.spec.ID} }, func(status int, state wire.JobStatus) {
		s.ruleChecker.told(s.now, sent, "poll", j.spec.ID, status, state)
		s.polled[status]++
	})
}

// odd sends what must be refused, and repeats of what is known.
func (s *sim) odd() {
	sent := s.now
	big := &simJob{spec: s.newJob([]string{"run-999001", "gpus=9"}).spec}
	s.ruleChecker.submits(big.spec)
	s.ask(func(req uint64) core.Input { return core.SubmitJob{RequestID: req, Job: big.spec} }, func(status int, _ wire.JobStatus) {
		if status == 200 || status == 201 || status == 400 || status == 404 {
			s.ruleChecker.breaks(s.now, "odd", "a job that fits no machine gets %d", status)
		}
	})
	s.ask(func(req uint64) core.Input { return core.GetJob{RequestID: req, ID: "run-999002"} }, func(status int, state wire.JobStatus) {
		s.ruleChecker.told(s.now, sent, "poll", "run-999002", status, state)
	})
	for _, j := range s.jobs {
		if !j.accepted {
			continue
		}
		spec := *j.spec
		s.ask(func(req uint64) core.Input { return core.SubmitJob{RequestID: req, Job: &spec} }, func(status int, state wire.JobStatus) {
			s.ruleChecker.told(s.now, sent, "submit", j.spec.ID, status, state)
		})
		if j.told == wire.JobDone {
			s.ruleChecker.jobs[j.spec.ID].asked = true
			s.ask(func(req uint64) core.Input { return core.CancelJob{RequestID: req, ID: j.spec.ID} }, func(status int, state wire.JobStatus) {
				s.ruleChecker.told(s.now, sent, "cancel", j.spec.ID, status, state)
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
	j.spec = (&traceHarness{t: s.t}).job(append(plain, "team="+team))
	if j.spec.Kind == wire.KindArray {
		j.spec.EstimatedRunS = j.runS
	}
	return j
}

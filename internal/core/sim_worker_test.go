package core_test

import (
	"fmt"
	"strings"
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

type simWorker struct {
	name, zone   string
	spot         bool
	rentedAt     time.Duration
	up           bool // the worker runs
	gone         bool // released, taken, or it stopped
	stopped      time.Duration
	session, tly uint64
	token        uint64
	answered     time.Duration // when the last answered report was sent
	hung         time.Duration // until then
	deaf, mute   time.Duration
	held         []func() // what came while it hung
	tasks        map[string]*simTask
	node         int
	busy         bool // a report is on its way
	next         time.Duration
	lastSent     time.Duration
	notice       bool
	images       map[string]bool
	sick         bool
	gen          int
}

type simTask struct {
	wire.TaskStatus
	on  bool
	gen int
}

// Workers.

func (s *sim) direct(n *simNode, id uint64, addr string, there func(*simWorker) core.Result) {
	w := s.byName[strings.TrimSuffix(addr, ":1")]
	reach := func() bool { return w != nil && s.workerReach(n, w) && s.now >= w.deaf }
	s.call(n, id, simPatience, reach, true, func() (core.Result, bool) {
		if w.gone || !w.up {
			return core.Result{}, false
		}
		if s.now < w.hung {
			w.held = append(w.held, func() { there(w) })
			return core.Result{}, false
		}
		s.expire(w)
		if s.lateOrders > 0 && s.rnd.Float64() < s.lateOrders {
			// Held up on the way for seconds, or carried out and repeated later.
			s.after(s.between(time.Second, 12*time.Second), func() {
				if w.up && s.now >= w.hung {
					s.expire(w)
					s.note("late orders at %s", w.name)
					there(w)
				}
			})
			if s.rnd.IntN(2) == 0 {
				return core.Result{}, false
			}
		}
		return there(w), true
	})
}

// sendCommands sends a worker direct commands. It carries them out if they are for its incarnation, and their fencing
// token is not older than the newest one that it has seen.
func (s *sim) sendCommands(n *simNode, e core.SendCommands) {
	s.note("%s: orders %s token %s%s", n.name, e.Addr, showToken(e.FencingToken), showCommands(e.Commands))
	s.direct(n, e.CallID, e.Addr, func(w *simWorker) core.Result {
		if e.FencingToken < w.token || e.Incarnation != w.session {
			return core.Result{Outcome: outcome.Conflict, Heartbeat: *s.report(w)}
		}
		w.token = e.FencingToken
		s.execute(w, e.Commands)
		s.soon(w)
		return core.Result{Outcome: outcome.OK, Heartbeat: *s.report(w)}
	})
}

func (s *sim) killTasks(w *simWorker) {
	for _, k := range sortedKeys(w.tasks) {
		s.leave(w, w.tasks[k], false)
	}
	clear(w.tasks)
}

func (s *sim) leave(w *simWorker, t *simTask, done bool) {
	t.gen++
	if t.on {
		t.on = false
		s.ruleChecker.ends(t.Task, w.name, done)
	}
}

// expire ends a session whose lease is over.
func (s *sim) expire(w *simWorker) {
	if s.now-w.answered <= simLease {
		return
	}
	if len(w.tasks) > 0 {
		s.say("%s loses its lease with %d tasks", w.name, len(w.tasks))
	}
	s.killTasks(w)
	w.session++
	w.answered = s.now
	s.soon(w)
}

// work is a worker's own clock.
func (s *sim) work(w *simWorker) {
	if w.gone {
		return
	}
	s.after(50*time.Millisecond, func() { s.work(w) })
	if s.now < w.hung {
		return
	}
	s.expire(w)
	for _, f := range w.held {
		f()
	}
	w.held = nil
	if !w.busy && s.now >= w.next {
		s.checkin(w)
	}
}

// soon has a worker report as early as it may.
func (s *sim) soon(w *simWorker) { w.next = min(w.next, w.lastSent+500*time.Millisecond) }

func (s *sim) report(w *simWorker) *wire.Heartbeat {
	w.tly++
	r := &wire.Heartbeat{Machine: w.name, Addr: w.name + ":1", Type: "g8", Zone: w.zone, Spot: w.spot, Incarnation: w.session, Sequence: w.tly, FencingToken: w.token}
	if w.notice {
		left := 5.0
		r.ReclaimNoticeS = &left
	}
	for _, k := range sortedKeys(w.tasks) {
		r.Tasks = append(r.Tasks, w.tasks[k].TaskStatus)
	}
	return r
}

// simWorkerPatience is after how long a node gives a worker's report up.
const simWorkerPatience = 3 * time.Second

func (s *sim) checkin(w *simWorker) {
	n := s.nodes[w.node]
	r := s.report(w)
	w.busy, w.lastSent = true, s.now
	w.next = s.now + s.between(simReport*3/4, simReport*5/4)
	w.gen++
	gen, sent := w.gen, s.now
	elsewhere := func(d time.Duration) {
		w.busy = false
		w.node = (w.node + 1) % len(s.nodes)
		w.next = s.now + d
	}
	s.after(4*time.Second, func() {
		if w.busy && w.gen == gen {
			elsewhere(time.Second)
		}
	})
	reach := func() bool { return s.workerReach(n, w) && s.now >= w.mute }
	if s.lateReports > 0 && s.rnd.Float64() < s.lateReports {
		s.after(s.between(2*time.Second, 15*time.Second), func() {
			if n := s.nodes[s.rnd.IntN(len(s.nodes))]; n.core != nil {
				s.handReport(n, r, nil)
			}
		})
	}
	s.deliver(reach, true, func() {
		if n.core == nil {
			if w.gen == gen && w.busy {
				elsewhere(time.Second) // refused
			}
			return
		}
		s.handReport(n, r, func(a core.Response) {
			s.deliver(func() bool { return s.workerReach(n, w) && s.now >= w.deaf }, false, func() {
				s.answerTo(w, n, a, gen, sent, r.Incarnation, elsewhere)
			})
		})
	})
}

// handReport hands a copy of a report to a node that is there; then, if there is one, gets the answer.
func (s *sim) handReport(n *simNode, r *wire.Heartbeat, then func(core.Response)) {
	n.req++
	if then != nil {
		n.waiting[n.req] = then
	}
	copied := *r
	copied.Tasks = append([]wire.TaskStatus(nil), r.Tasks...)
	n.reports[n.req] = &copied
	s.stepUntil(n, core.WorkerHeartbeat{RequestID: n.req, Heartbeat: &copied}, s.now+simWorkerPatience)
}

func (s *sim) answerTo(w *simWorker, n *simNode, a core.Response, gen int, sent time.Duration, session uint64, elsewhere func(time.Duration)) {
	if w.gone || w.gen != gen || !w.busy {
		return
	}
	if s.now < w.hung {
		return // dropped after four seconds, or read late: the page says they are never executed late
	}
	s.expire(w)
	if a.Status != 200 {
		d := time.Second
		if to, ok := a.Body.(wire.Redirect); ok && a.Status == 421 && to.Leader != "" && to.Leader != n.name {
			for i, m := range s.nodes {
				if m.name == to.Leader {
					w.busy, w.node, w.next = false, i, s.now+s.between(0, 500*time.Millisecond)
					return
				}
			}
		}
		elsewhere(d)
		return
	}
	w.busy = false
	ra, ok := a.Body.(wire.HeartbeatResponse)
	if !ok || session != w.session || ra.FencingToken < w.token {
		return
	}
	if ra.FencingToken > w.token {
		s.soon(w)
	}
	w.token, w.answered = ra.FencingToken, max(w.answered, sent)
	if len(ra.Commands) > 0 {
		s.note("%s: answers %s token %s%s", n.name, w.name, showToken(ra.FencingToken), showCommands(ra.Commands))
	}
	s.execute(w, ra.Commands)
}

// attemptKey names an attempt of a task.
func attemptKey(task string, attempt uint64) string { return fmt.Sprint(task, "#", attempt) }

func (s *sim) execute(w *simWorker, cmds []wire.Command) {
	for _, c := range cmds {
		key := attemptKey(c.Task, c.Attempt)
		t := w.tasks[key]
		switch c.Op {
		case wire.OpStart:
			if t == nil {
				s.begin(w, key, c)
			}
		case wire.OpStop:
			if t == nil || t.State == wire.TaskExited {
				break
			}
			if j := s.jobOf(t.Task); t.State == wire.TaskRunning && j != nil && j.spec.CheckpointIntervalS > 0 && c.GracePeriodS != nil && *c.GracePeriodS >= j.spec.CheckpointTimeS {
				t.State = wire.TaskCheckpointing
				t.gen++
				gen := t.gen
				s.after(time.Duration(j.spec.CheckpointTimeS*float64(time.Second)), func() {
					if t.gen == gen {
						s.exit(w, t, wire.CauseStopped)
					}
				})
				break
			}
			s.exit(w, t, wire.CauseStopped)
		case wire.OpForget:
			if t != nil && t.State == wire.TaskExited {
				delete(w.tasks, key)
			}
		}
	}
	s.soon(w)
}

func (s *sim) jobOf(task string) *simJob {
	id, _, _ := wire.ParseTaskName(task)
	for _, j := range s.jobs {
		if j.spec.ID == id {
			return j
		}
	}
	return nil
}

func (s *sim) begin(w *simWorker, key string, c wire.Command) {
	t := &simTask{TaskStatus: wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskFetching}}
	w.tasks[key] = t
	j := s.jobOf(c.Task)
	used := 0.0
	for _, k := range sortedKeys(w.tasks) {
		o := w.tasks[k]
		if o == t || o.State == wire.TaskExited {
			continue
		}
		if o.Task == c.Task {
			s.exit(w, t, wire.CauseBusy)
			return
		}
		if x := s.jobOf(o.Task); x != nil {
			used += x.spec.GPUs
		}
	}
	switch {
	case j == nil:
		s.exit(w, t, wire.CauseUnknownTask)
		return
	case used+j.spec.GPUs > 8:
		s.exit(w, t, wire.CauseNoCapacity)
		return
	}
	fetch := 100 * time.Millisecond
	if !w.images[j.spec.Image] {
		fetch = s.between(2*time.Second, 4*time.Second)
	}
	gen := t.gen
	s.resume(w, t, gen, fetch, func() {
		w.images[j.spec.Image] = true
		t.State, t.on = wire.TaskRunning, true
		s.say("%s starts %s#%d", w.name, t.Task, t.Attempt)
		s.ruleChecker.starts(s.now, taskStart{t.Task, w.name, "g8", w.zone, w.spot})
		s.soon(w)
		run := time.Duration(j.runS * (0.8 + 0.4*s.rnd.Float64()) * float64(time.Second))
		switch {
		case s.results[t.Task]:
			s.exit(w, t, wire.CauseDone)
		case j.faulty || w.sick:
			s.resume(w, t, t.gen, 300*time.Millisecond, func() { s.exit(w, t, wire.CauseError) })
		case j.spec.Kind == wire.KindArray:
			s.resume(w, t, t.gen, run, func() { s.exit(w, t, wire.CauseDone) })
		}
	})
}

// resume does something on a machine after a time in which it does not hang.
func (s *sim) resume(w *simWorker, t *simTask, gen int, d time.Duration, do func()) {
	s.after(d, func() {
		if t.gen != gen || w.gone {
			return
		}
		if s.now < w.hung {
			s.resume(w, t, gen, w.hung-s.now+time.Millisecond, do)
			return
		}
		s.expire(w)
		if t.gen == gen {
			do()
		}
	})
}

func (s *sim) exit(w *simWorker, t *simTask, why wire.ExitCause) {
	if t.State == wire.TaskExited {
		return
	}
	t.State, t.Cause = wire.TaskExited, why
	if why == wire.CauseDone {
		s.results[t.Task] = true
	}
	if why == wire.CauseStopped && t.on {
		s.say("%s stops %s#%d", w.name, t.Task, t.Attempt)
	}
	s.leave(w, t, why == wire.CauseDone)
	s.soon(w)
}

package core_test

import (
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/wire"
)

type simJob struct {
	spec     *wire.Job
	at       time.Duration
	cancelAt time.Duration // 0: never
	runS     float64
	faulty   bool // it fails wherever it runs
	accepted bool
	refused  int
	told     wire.JobStatus
	lastOK   time.Duration // when a question about it was last answered
}

// simUserPatience is after how long a node gives a user's request up.
const simUserPatience = 1800 * time.Millisecond

// Users.

// ask has a user ask some healthy node; the answer is status 0 if none came.
func (s *sim) ask(in func(req uint64) core.Input, then func(status int, state wire.JobStatus)) {
	s.askAt(nil, in, then)
}

func (s *sim) askAt(n *simNode, in func(req uint64) core.Input, then func(status int, state wire.JobStatus)) {
	over := false
	give := func(status int, state wire.JobStatus) {
		if !over {
			over = true
			then(status, state)
		}
	}
	if n == nil {
		var up []*simNode
		for _, x := range s.nodes {
			if x.core != nil && s.zoneCut != x.zone && s.now >= x.noUsers && x.core.Healthy() {
				up = append(up, x)
			}
		}
		if len(up) == 0 {
			s.after(100*time.Millisecond, func() { give(0, "") })
			return
		}
		n = up[s.rnd.IntN(len(up))]
	}
	sent := s.now
	s.after(simUserPatience, func() { give(503, "") })
	s.after(s.latency(), func() {
		if n.core == nil {
			give(0, "")
			return
		}
		n.req++
		n.waiting[n.req] = func(a core.Response) {
			// What a standstill has made late is not told any more: see node.Ask.
			s.after(s.latency(), func() {
				st := wire.JobStatus("")
				if js, ok := a.Body.(wire.JobState); ok {
					st = js.State
				}
				give(a.Status, st)
			})
		}
		s.stepUntil(n, in(n.req), sent+simUserPatience)
	})
}

func (s *sim) submit(j *simJob) {
	if !s.needsAccepted(j) {
		s.after(100*time.Millisecond, func() { s.submit(j) })
		return
	}
	s.ruleChecker.submits(j.spec)
	spec, sent := *j.spec, s.now
	s.ask(func(req uint64) core.Input { return core.SubmitJob{RequestID: req, Job: &spec} }, func(status int, state wire.JobStatus) {
		s.ruleChecker.told(s.now, userAnswer{sent, requestSubmit, j.spec.ID, status, state})
		switch status {
		case 200, 201:
			if !j.accepted {
				j.accepted, j.lastOK = true, s.now
				s.after(s.between(time.Second, 5*time.Second), func() { s.poll(j) })
			}
			j.told = state
		case 400, 422:
			j.refused = status
		default:
			s.after(time.Second, func() { s.submit(j) })
		}
	})
}

// needsAccepted tells whether all jobs that a job needs are accepted: its user waits for that.
func (s *sim) needsAccepted(j *simJob) bool {
	for _, need := range j.spec.Dependencies {
		for _, k := range s.jobs {
			if k.spec.ID == need && !k.accepted {
				return false
			}
		}
	}
	return true
}

func (s *sim) poll(j *simJob) {
	sent := s.now
	s.ask(func(req uint64) core.Input { return core.GetJob{RequestID: req, ID: j.spec.ID} }, func(status int, state wire.JobStatus) {
		s.ruleChecker.told(s.now, userAnswer{sent, requestPoll, j.spec.ID, status, state})
		if status == 200 {
			if state != j.told && (state == wire.JobDone || state == wire.JobCancelled) {
				s.say("poll of %s: %s", j.spec.ID, state)
			}
			j.told, j.lastOK = state, s.now
		}
		if s.now > s.calm+75*time.Second && s.now-j.lastOK > 75*time.Second && j.accepted {
			s.ruleChecker.breaks(s.now, "forgotten", "no answer about %s since %.1f", j.spec.ID, j.lastOK.Seconds())
		}
		s.after(s.between(3*time.Second, 6*time.Second), func() { s.poll(j) })
	})
}

func (s *sim) cancelJob(j *simJob) {
	if !j.accepted {
		s.after(500*time.Millisecond, func() { s.cancelJob(j) })
		return
	}
	s.ruleChecker.submits(j.spec).asked = true
	sent := s.now
	s.ask(func(req uint64) core.Input { return core.CancelJob{RequestID: req, ID: j.spec.ID} }, func(status int, state wire.JobStatus) {
		s.ruleChecker.told(s.now, userAnswer{sent, requestCancel, j.spec.ID, status, state})
		if status == 200 {
			s.say("cancel of %s: %s", j.spec.ID, state)
			j.told = state
			return
		}
		if status != 404 && status != 400 {
			s.after(s.between(time.Second, 1500*time.Millisecond), func() { s.cancelJob(j) })
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
		s.ruleChecker.told(s.now, userAnswer{sent, requestPoll, j.spec.ID, status, state})
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
		s.ruleChecker.told(s.now, userAnswer{sent, requestPoll, "run-999002", status, state})
	})
	for _, j := range s.jobs {
		if !j.accepted {
			continue
		}
		spec := *j.spec
		s.ask(func(req uint64) core.Input { return core.SubmitJob{RequestID: req, Job: &spec} }, func(status int, state wire.JobStatus) {
			s.ruleChecker.told(s.now, userAnswer{sent, requestSubmit, j.spec.ID, status, state})
		})
		if j.told == wire.JobDone {
			s.ruleChecker.jobs[j.spec.ID].asked = true
			s.ask(func(req uint64) core.Input { return core.CancelJob{RequestID: req, ID: j.spec.ID} }, func(status int, state wire.JobStatus) {
				s.ruleChecker.told(s.now, userAnswer{sent, requestCancel, j.spec.ID, status, state})
			})
		}
	}
}

// verdict judges what must hold in the end: nothing waits, and nothing is forgotten.
func (s *sim) verdict() []string {
	j := s.ruleChecker
	for _, x := range s.jobs {
		y := j.jobs[x.spec.ID]
		switch {
		case y == nil || x.refused != 0:
		case !x.accepted:
			j.breaks(s.now, "stuck", "%s is not accepted", x.spec.ID)
		case j.calledOff(y) && y.final == "":
			j.breaks(s.now, "stuck", "%s is not cancelled", x.spec.ID)
		case j.calledOff(y) || y.asked || x.faulty:
		case x.spec.Kind == wire.KindArray && y.final != wire.JobDone:
			j.breaks(s.now, "stuck", "%s is not done: %d of %d tasks", x.spec.ID, len(y.done), x.spec.Tasks)
		case x.spec.Kind != wire.KindArray:
			n := 0
			for t := 0; t < x.spec.Tasks; t++ {
				n += len(j.on[wire.TaskName(x.spec.ID, t)])
			}
			if n != x.spec.Tasks {
				j.breaks(s.now, "stuck", "%s has %d of %d replicas", x.spec.ID, n, x.spec.Tasks)
			}
		}
	}
	return j.broken
}

package core

import (
	"bitternwing/internal/capacity"
	"bitternwing/internal/wire"
)

// victims are the jobs that can be shrunk in a round, in the order of the round. Within a phase of a round there
// come no others: what is placed for minimums is at its minimum.
type victims struct {
	jobs     []*job
	ofRank   [capacity.Ranks]int
	teamless bool // one of them is of a team that there is no more
}

// findVictims looks for the jobs that can be shrunk.
func (r *round) findVictims() *victims {
	v := &victims{}
	for _, j := range r.l.queue {
		if !j.shrinkable() {
			continue
		}
		v.jobs = append(v.jobs, j)
		v.ofRank[priority(j)]++
		v.teamless = v.teamless || j.team == nil
	}
	return v
}

// lowerRank is the rank below which a job can have others stopped by its priority; 0 if there are none.
func (v *victims) lowerRank(j *job) int {
	for rank := range priority(j) {
		if v.ofRank[rank] > 0 {
			return priority(j)
		}
	}
	return 0
}

// victimRule tells which placements may be stopped to make room for a job.
type victimRule struct {
	stops func(j *job, p *placement) bool
	// below bounds their ranks, and among names the jobs that are shrunk where these are few.
	below int
	among []*job
}

// victimRule is the rule for a job that lacks its minimum or, with idleOnly, for one that has it: idle-time work alone
// gives way to that.
func (r *round) victimRule(j *job, idleOnly bool) victimRule {
	if r.victims == nil {
		r.victims = r.findVictims()
	}
	v := r.victims
	if idleOnly {
		rule := victimRule{stops: r.idleVictim}
		if v.ofRank[wire.PriorityIdle.Rank()] > 0 {
			rule.below = wire.PriorityIdle.Rank() + 1
		}
		return rule
	}
	rule := victimRule{stops: r.victim, below: v.lowerRank(j)}
	if !j.withinGuarantee && !v.teamless {
		return rule
	}
	among, placed := r.mayAllStop(j)
	if len(among) == 0 {
		return rule
	}
	rule.below = capacity.AllRanks
	if placed < r.l.capacityIndex.Len()/fewVictims {
		rule.among = among
	}
	return rule
}

// fewVictims says that instances on less than this part of the machines are few.
const fewVictims = 2

// mayAllStop gives the jobs that may be shrunk for a job, whatever allows it, and counts their instances.
func (r *round) mayAllStop(j *job) (among []*job, placed int) {
	r.evaluations -= len(r.victims.jobs) / 4
	for _, v := range r.victims.jobs {
		if r.mayStop(j, v) && v.shrinkable() {
			among = append(among, v)
			placed += len(v.placements)
		}
	}
	return among, placed
}

// victim tells whether a placement may be stopped for a job that lacks its minimum.
func (r *round) victim(j *job, p *placement) bool {
	return p.stop == stopNone && p.job.shrinkable() && r.mayStop(j, p.job)
}

// idleVictim tells whether a placement may be stopped for a job that has its minimum.
func (r *round) idleVictim(j *job, p *placement) bool {
	return p.job.isIdlePriority() && !j.isIdlePriority() && r.victim(j, p)
}

// stopRequest is what decides whether room can be made for a task, where no more than that does.
type stopRequest struct {
	resourceRequest
	team       string
	rank       int
	guaranteed bool
	idleOnly   bool
}

// stopRequestOf gives a job's request; false if more than that decides.
func stopRequestOf(j *job, idleOnly bool) (stopRequest, bool) {
	a, plain := requestOf(j)
	return stopRequest{a, j.spec.Team, priority(j), j.withinGuarantee, idleOnly}, plain
}

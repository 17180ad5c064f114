package core

import (
	"bitternwing/internal/capacity"
	"bitternwing/internal/wire"
)

// preemptible are the jobs that can be shrunk in a round, in the order of the round. Within a phase of a round there
// come no others: what is placed for minimums is at its minimum.
type preemptibleJobs struct {
	jobs        []*job
	countByRank [capacity.Ranks]int
	unknownTeam bool // one of them is of a team that there is no more
}

// findPreemptible looks for the jobs that can be shrunk.
func (cycle *schedulingCycle) findPreemptible() *preemptibleJobs {
	v := &preemptibleJobs{}
	for _, j := range cycle.state.jobsToRun() {
		if !j.shrinkable() {
			continue
		}
		v.jobs = append(v.jobs, j)
		v.countByRank[priority(j)]++
		v.unknownTeam = v.unknownTeam || j.team == nil
	}
	return v
}

// highestRankBelow is the rank below which a job can have others stopped by its priority; 0 if there are none.
func (v *preemptibleJobs) highestRankBelow(j *job) int {
	for rank := range priority(j) {
		if v.countByRank[rank] > 0 {
			return priority(j)
		}
	}
	return 0
}

// preemptionRule tells which placements may be stopped to make room for a job.
type preemptionRule struct {
	mayStop func(j *job, p *placement) bool
	// belowRank bounds their ranks, and among names the jobs that are shrunk where these are few.
	belowRank  int
	candidates []*job
}

// preemptionRule is the rule for a job that lacks its minimum or, with idleOnly, for one that has it: idle-time work alone
// gives way to that.
func (cycle *schedulingCycle) preemptionRule(j *job, idleOnly bool) preemptionRule {
	if cycle.preemptible == nil {
		cycle.preemptible = cycle.findPreemptible()
	}
	v := cycle.preemptible
	if idleOnly {
		rule := preemptionRule{mayStop: cycle.mayPreemptIdle}
		if v.countByRank[wire.PriorityIdle.Rank()] > 0 {
			rule.belowRank = wire.PriorityIdle.Rank() + 1
		}
		return rule
	}
	rule := preemptionRule{mayStop: cycle.mayPreempt, belowRank: v.highestRankBelow(j)}
	if !j.withinGuarantee && !v.unknownTeam {
		return rule
	}
	among, placed := cycle.allowedPreemptions(j)
	if len(among) == 0 {
		return rule
	}
	rule.belowRank = capacity.AllRanks
	if placed < cycle.params.fleet.index.Len()/fewPreemptibleRatio {
		rule.candidates = among
	}
	return rule
}

// fewPreemptibleRatio says that instances on less than this part of the machines are few.
const fewPreemptibleRatio = 2

// allowedPreemptions gives the jobs that may be shrunk for a job, whatever allows it, and counts their instances.
func (cycle *schedulingCycle) allowedPreemptions(j *job) (among []*job, placed int) {
	cycle.evaluations -= len(cycle.preemptible.jobs) / 4
	for _, v := range cycle.preemptible.jobs {
		if cycle.usage.MayPreempt(j.claim(), v.claim()) && v.shrinkable() {
			among = append(among, v)
			placed += len(v.placements)
		}
	}
	return among, placed
}

// mayPreempt tells whether a placement may be stopped for a job that lacks its minimum.
func (cycle *schedulingCycle) mayPreempt(j *job, p *placement) bool {
	return p.stop == stopNone && p.job.shrinkable() && cycle.usage.MayPreempt(j.claim(), p.job.claim())
}

// mayPreemptIdle tells whether a placement may be stopped for a job that has its minimum.
func (cycle *schedulingCycle) mayPreemptIdle(j *job, p *placement) bool {
	return p.job.isIdlePriority() && !j.isIdlePriority() && cycle.mayPreempt(j, p)
}

// preemptionRequest is what decides whether room can be made for a task, where no more than that does.
type preemptionRequest struct {
	resourceRequest
	team       string
	rank       int
	guaranteed bool
	idleOnly   bool
}

// stopRequestOf gives a job's request; false if more than that decides.
func stopRequestOf(j *job, idleOnly bool) (preemptionRequest, bool) {
	a, plain := requestOf(j)
	return preemptionRequest{a, j.spec.Team, priority(j), j.withinGuarantee, idleOnly}, plain
}

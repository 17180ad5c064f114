package core

import (
	"bitternwing/internal/capacity"
	"bitternwing/internal/wire"
)

// preemptibleJobs are the jobs that can be shrunk in a cycle, in the order of submission. Within a phase of a cycle no others
// are added: a job that is placed for its minimum is at its minimum.
type preemptibleJobs struct {
	jobs        []*job
	countByRank [capacity.Ranks]int
	unknownTeam bool // one of them is of a team that does not exist any more
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

// highestRankBelow is the rank below which a job can preempt others by its priority; 0 if there are none.
func (v *preemptibleJobs) highestRankBelow(j *job) int {
	for rank := range priority(j) {
		if v.countByRank[rank] > 0 {
			return priority(j)
		}
	}
	return 0
}

// preemptionRule tells which placements a job may preempt.
type preemptionRule struct {
	mayStop func(j *job, p *placement) bool
	// belowRank bounds the ranks of their jobs, and candidates are these jobs where they are few.
	belowRank  int
	candidates []*job
}

// preemptionRule is the rule for a job that lacks its minimum or, with idleOnly, for one that has it and may preempt only
// idle-priority work.
func (cycle *schedulingCycle) preemptionRule(j *job, idleOnly bool) preemptionRule {
	if cycle.preemptible == nil {
		cycle.preemptible = cycle.findPreemptible()
	}
	preemptible := cycle.preemptible
	if idleOnly {
		rule := preemptionRule{mayStop: cycle.mayPreemptIdle}
		if preemptible.countByRank[wire.PriorityIdle.Rank()] > 0 {
			rule.belowRank = wire.PriorityIdle.Rank() + 1
		}
		return rule
	}
	rule := preemptionRule{mayStop: cycle.mayPreempt, belowRank: preemptible.highestRankBelow(j)}
	if !j.withinGuarantee && !preemptible.unknownTeam {
		return rule
	}
	victims, placed := cycle.allowedPreemptions(j)
	if len(victims) == 0 {
		return rule
	}
	rule.belowRank = capacity.AllRanks
	if placed < cycle.params.fleet.index.Len()/fewPreemptibleRatio {
		rule.candidates = victims
	}
	return rule
}

// fewPreemptibleRatio says that fewer instances than one for so many machines are few.
const fewPreemptibleRatio = 2

// allowedPreemptions gives the jobs that a job may preempt, by priority or by guarantee, and counts their instances.
func (cycle *schedulingCycle) allowedPreemptions(j *job) (victims []*job, placed int) {
	cycle.evaluations -= len(cycle.preemptible.jobs) / checksPerEvaluation
	for _, v := range cycle.preemptible.jobs {
		if cycle.usage.MayPreempt(j.claim(), v.claim()) && v.shrinkable() {
			victims = append(victims, v)
			placed += len(v.placements)
		}
	}
	return victims, placed
}

// mayPreempt tells whether a job that lacks its minimum may preempt a placement.
func (cycle *schedulingCycle) mayPreempt(j *job, p *placement) bool {
	return p.stop == stopNone && p.job.shrinkable() && cycle.usage.MayPreempt(j.claim(), p.job.claim())
}

// mayPreemptIdle tells whether a job that has its minimum may preempt a placement.
func (cycle *schedulingCycle) mayPreemptIdle(j *job, p *placement) bool {
	return p.job.isIdlePriority() && !j.isIdlePriority() && cycle.mayPreempt(j, p)
}

// preemptionRequest is what decides whether preemption can help a task, where nothing else does.
type preemptionRequest struct {
	resourceRequest
	team       string
	rank       int
	guaranteed bool
	idleOnly   bool
}

// preemptionRequestOf gives a job's preemption request; false if more than that decides.
func preemptionRequestOf(j *job, idleOnly bool) (preemptionRequest, bool) {
	request, plain := requestOf(j)
	return preemptionRequest{
		resourceRequest: request,
		team:            j.spec.Team,
		rank:            priority(j),
		guaranteed:      j.withinGuarantee,
		idleOnly:        idleOnly,
	}, plain
}

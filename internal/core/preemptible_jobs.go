package core

import (
	"bitternwing/internal/capacity"
	"bitternwing/internal/wire"
)

// preemptibleJobs are the jobs that can be shrunk in a cycle, in queue order. The list does not grow within
// a phase of the cycle, since a job that is placed for its minimum is at its minimum.
type preemptibleJobs struct {
	jobs           []*job
	countByRank    [capacity.Ranks]int
	hasUnknownTeam bool // one of the jobs is of a team that no longer exists
}

// findPreemptible returns the jobs that can be shrunk.
func (cycle *schedulingCycle) findPreemptible() *preemptibleJobs {
	preemptible := &preemptibleJobs{}
	for _, j := range cycle.state.queuedJobs() {
		if !j.shrinkable() {
			continue
		}
		preemptible.jobs = append(preemptible.jobs, j)
		preemptible.countByRank[priority(j)]++
		preemptible.hasUnknownTeam = preemptible.hasUnknownTeam || j.team == nil
	}
	return preemptible
}

// preemptibleRankLimit returns the rank below which a job can preempt others by priority; 0 if no job of a lower rank
// can be shrunk.
func (p *preemptibleJobs) preemptibleRankLimit(j *job) int {
	for rank := range priority(j) {
		if p.countByRank[rank] > 0 {
			return priority(j)
		}
	}
	return 0
}

// preemptionRule determines which placements a job may preempt.
type preemptionRule struct {
	mayStop func(j *job, p *placement) bool
	// belowRank bounds the ranks of the jobs that may be preempted. candidates lists these jobs if they are few.
	belowRank  int
	candidates []*job
}

// preemptionRule returns the rule for a job below its minimum. With idleOnly, it returns the rule for a job that has
// its minimum and may preempt only idle-priority work.
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
	rule := preemptionRule{mayStop: cycle.mayPreempt, belowRank: preemptible.preemptibleRankLimit(j)}
	if !j.withinGuarantee && !preemptible.hasUnknownTeam {
		return rule
	}
	victims, instances := cycle.allowedPreemptions(j)
	if len(victims) == 0 {
		return rule
	}
	rule.belowRank = capacity.AllRanks
	if instances < cycle.params.fleet.index.Len()/machinesPerVictim {
		rule.candidates = victims
	}
	return rule
}

// machinesPerVictim is the ratio of machines to preemptible instances above which the instances count as few.
const machinesPerVictim = 2

// allowedPreemptions returns the jobs that a job may preempt, by priority or by guarantee, and the number of their
// instances.
func (cycle *schedulingCycle) allowedPreemptions(j *job) (victims []*job, instances int) {
	cycle.evaluationsLeft -= len(cycle.preemptible.jobs) / checksPerEvaluation
	for _, victim := range cycle.preemptible.jobs {
		if cycle.usage.MayPreempt(j.preemptionCriteria(), victim.preemptionCriteria()) && victim.shrinkable() {
			victims = append(victims, victim)
			instances += len(victim.placements)
		}
	}
	return victims, instances
}

// mayPreempt reports whether a job below its minimum may preempt a placement.
func (cycle *schedulingCycle) mayPreempt(j *job, p *placement) bool {
	return p.stop == stopNone && p.job.shrinkable() && cycle.usage.MayPreempt(j.preemptionCriteria(), p.job.preemptionCriteria())
}

// mayPreemptIdle reports whether a job that has its minimum may preempt a placement.
func (cycle *schedulingCycle) mayPreemptIdle(j *job, p *placement) bool {
	return p.job.isIdlePriority() && !j.isIdlePriority() && cycle.mayPreempt(j, p)
}

// preemptionRequest holds all attributes that decide whether preemption can help a task of a job without further
// constraints.
type preemptionRequest struct {
	resourceRequest
	team       string
	rank       int
	guaranteed bool
	idleOnly   bool
}

// preemptionRequestOf returns the preemption request of a job; false if the job has constraints that the request does
// not hold.
func preemptionRequestOf(j *job, idleOnly bool) (preemptionRequest, bool) {
	request, cacheable := resourceRequestOf(j)
	return preemptionRequest{
		resourceRequest: request,
		team:            j.spec.Team,
		rank:            priority(j),
		guaranteed:      j.withinGuarantee,
		idleOnly:        idleOnly,
	}, cacheable
}

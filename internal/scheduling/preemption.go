package scheduling

import (
	"cmp"
	"slices"

	"bitternwing/internal/config"
	"bitternwing/internal/resource"
)

// Claim is what a job's right to preempt others, and theirs to preempt it, depends on.
type Claim struct {
	Team            *config.Team // nil: a team that does not exist any more
	Priority        int
	WithinGuarantee bool // it fits into its team's guarantee together with the team's older jobs
}

// MayPreempt tells whether tasks of a victim may be stopped for another job: that one is of higher priority, or it lies
// within its team's guarantee while the victim's team, another one, exceeds its own.
func (u TeamUsage) MayPreempt(preemptor, victim Claim) bool {
	if victim.Team == nil || preemptor.Priority > victim.Priority {
		return true
	}
	return preemptor.WithinGuarantee && preemptor.Team.Name != victim.Team.Name && u.ExceedsGuarantee(victim.Team)
}

// PreemptibleInstance is a running instance that may be stopped. J is the caller's type for jobs.
type PreemptibleInstance[J comparable] struct {
	Job       J
	Instances Instances // of the job
	Task      resource.Amount
}

// SelectVictims selects the instances of a machine to stop until a task has the resources it needs. Those of the most
// fulfilled jobs go first, and no job is taken below its minimum. It returns their indexes; false if all of them would
// not be enough.
func SelectVictims[J comparable](need, free resource.Amount, instances []PreemptibleInstance[J]) ([]int, bool) {
	byFulfillment := make([]int, len(instances))
	surplus := map[J]int{}
	for i, instance := range instances {
		byFulfillment[i] = i
		surplus[instance.Job] = instance.Instances.Surplus()
	}
	slices.SortStableFunc(byFulfillment, func(a, b int) int {
		return cmp.Compare(instances[b].Instances.Fulfillment(), instances[a].Instances.Fulfillment())
	})
	var victims []int
	for _, i := range byFulfillment {
		instance := &instances[i]
		if surplus[instance.Job] == 0 {
			continue
		}
		surplus[instance.Job]--
		free.Add(instance.Task)
		victims = append(victims, i)
		if free.Covers(need) {
			return victims, true
		}
	}
	return nil, false
}

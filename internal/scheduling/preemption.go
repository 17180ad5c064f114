package scheduling

import (
	"cmp"
	"slices"

	"bitternwing/internal/config"
	"bitternwing/internal/resource"
)

// PreemptionCriteria are the properties of a job that decide whether it may preempt another job or be preempted.
type PreemptionCriteria struct {
	Team            *config.Team // nil: the team no longer exists
	Priority        int
	WithinGuarantee bool // the job and its team's older jobs together fit into the team's guarantee
}

// MayPreempt reports whether tasks of the victim may be stopped for the preemptor. That is the case if the victim's
// team no longer exists, if the preemptor has the higher priority, or if the preemptor is within its team's guarantee
// while the victim belongs to another team that exceeds its own.
func (u TeamUsage) MayPreempt(preemptor, victim PreemptionCriteria) bool {
	if victim.Team == nil || preemptor.Priority > victim.Priority {
		return true
	}
	return preemptor.WithinGuarantee && preemptor.Team.Name != victim.Team.Name && u.ExceedsGuarantee(victim.Team)
}

// PreemptibleInstance is a running instance that may be stopped. J is the caller's job type.
type PreemptibleInstance[J comparable] struct {
	Job          J
	JobInstances Instances // of the job that the instance belongs to
	Task         resource.Amount
}

// SelectVictims selects the instances to stop on a machine so that a task has the resources it requires. Instances of
// the most fulfilled jobs are selected first, and no job falls below its minimum. It returns the indexes of the
// selected instances, or false if stopping all of them would not be enough.
func SelectVictims[J comparable](required, free resource.Amount, instances []PreemptibleInstance[J]) ([]int, bool) {
	byFulfillment := make([]int, len(instances))
	surplus := map[J]int{}
	for i, instance := range instances {
		byFulfillment[i] = i
		surplus[instance.Job] = instance.JobInstances.Surplus()
	}
	slices.SortStableFunc(byFulfillment, func(a, b int) int {
		return cmp.Compare(instances[b].JobInstances.Fulfillment(), instances[a].JobInstances.Fulfillment())
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
		if free.Covers(required) {
			return victims, true
		}
	}
	return nil, false
}

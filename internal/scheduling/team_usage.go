package scheduling

import (
	"bitternwing/internal/config"
	"bitternwing/internal/resource"
)

// roundingTolerance bounds the rounding error of sums of decimal amounts.
const roundingTolerance = 1e-9

// ExceedsLimit reports whether an amount exceeds a limit. A limit of 0 means no limit.
func ExceedsLimit(amount, limit float64) bool { return limit > 0 && amount > limit+roundingTolerance }

// Usage is the amount of resources that the tasks of a team use.
type Usage struct{ GPUs, CPUs float64 }

// plus returns the usage with the given number of further tasks. The number may be negative.
func (u Usage) plus(task resource.Amount, tasks int) Usage {
	return Usage{GPUs: u.GPUs + float64(tasks)*task.GPUs, CPUs: u.CPUs + float64(tasks)*task.CPUs}
}

// TeamUsage is the usage of each team, by team name. A task counts in every state until it is known to have ended.
type TeamUsage map[string]*Usage

// ForTeam returns the usage of a team.
func (u TeamUsage) ForTeam(team string) Usage {
	if usage := u[team]; usage != nil {
		return *usage
	}
	return Usage{}
}

// Add adds tasks to the usage of a team. A negative number of tasks removes them.
func (u TeamUsage) Add(team string, task resource.Amount, tasks int) {
	usage := u[team]
	if usage == nil {
		usage = &Usage{}
		u[team] = usage
	}
	*usage = usage.plus(task, tasks)
}

// WithinLimit reports whether a team stays within its limit with the given number of further tasks. It is false for a
// team that does not exist (nil).
func (u TeamUsage) WithinLimit(team *config.Team, task resource.Amount, tasks int) bool {
	if team == nil {
		return false
	}
	usage := u.ForTeam(team.Name).plus(task, tasks)
	return !ExceedsLimit(usage.GPUs, team.MaxGPUs) && !ExceedsLimit(usage.CPUs, team.MaxCPUs)
}

// ExceedsGuarantee reports whether a team uses more than its guarantee. A team without a guarantee exceeds it as soon
// as it uses anything.
func (u TeamUsage) ExceedsGuarantee(team *config.Team) bool {
	usage := u.ForTeam(team.Name)
	if team.GuaranteedGPUs == 0 && team.GuaranteedCPUs == 0 {
		return usage.GPUs > roundingTolerance || usage.CPUs > roundingTolerance
	}
	return ExceedsLimit(usage.GPUs, team.GuaranteedGPUs) || ExceedsLimit(usage.CPUs, team.GuaranteedCPUs)
}

package scheduling

import (
	"bitternwing/internal/config"
	"bitternwing/internal/resource"
)

// tolerance is what sums of decimal numbers may be off by.
const tolerance = 1e-9

// ExceedsLimit tells whether an amount breaks a limit. A limit of 0 means that there is none.
func ExceedsLimit(amount, limit float64) bool { return limit > 0 && amount > limit+tolerance }

// Usage is what the tasks of a team use.
type Usage struct{ GPUs, CPUs float64 }

// plus returns the usage with some more tasks.
func (u Usage) plus(task resource.Amount, tasks int) Usage {
	return Usage{GPUs: u.GPUs + float64(tasks)*task.GPUs, CPUs: u.CPUs + float64(tasks)*task.CPUs}
}

// TeamUsage is the usage of teams by name. A task counts in whatever state it is, until it is known to be gone.
type TeamUsage map[string]*Usage

// Of returns a team's usage.
func (u TeamUsage) Of(team string) Usage {
	if usage := u[team]; usage != nil {
		return *usage
	}
	return Usage{}
}

// Add counts tasks of a team, or with a negative number of them no longer does.
func (u TeamUsage) Add(team string, task resource.Amount, tasks int) {
	usage := u[team]
	if usage == nil {
		usage = &Usage{}
		u[team] = usage
	}
	*usage = usage.plus(task, tasks)
}

// WithinLimit tells whether a team stays within its limit with some more tasks. A team that does not exist (nil) has no
// right to any.
func (u TeamUsage) WithinLimit(team *config.Team, task resource.Amount, tasks int) bool {
	if team == nil {
		return false
	}
	usage := u.Of(team.Name).plus(task, tasks)
	return !ExceedsLimit(usage.GPUs, team.MaxGPUs) && !ExceedsLimit(usage.CPUs, team.MaxCPUs)
}

// ExceedsGuarantee tells whether a team uses more than its guarantee. A team without any guarantee exceeds it with all
// that it runs.
func (u TeamUsage) ExceedsGuarantee(team *config.Team) bool {
	usage := u.Of(team.Name)
	if team.GuaranteedGPUs == 0 && team.GuaranteedCPUs == 0 {
		return usage.GPUs > tolerance || usage.CPUs > tolerance
	}
	return ExceedsLimit(usage.GPUs, team.GuaranteedGPUs) || ExceedsLimit(usage.CPUs, team.GuaranteedCPUs)
}

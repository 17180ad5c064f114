package scheduling

import "bitternwing/internal/config"

// Urgency is what the turn of a job that lacks its minimum depends on.
type Urgency struct {
	WithinGuarantee bool
	Priority        int
	LatestStartMS   int64 // Unix time at which it has to start for the deadlines that depend on it
	Position        QueuePosition
}

// Before orders jobs: guaranteed ones first, then by priority, by deadline and by age.
func (u Urgency) Before(other Urgency) bool {
	if u.WithinGuarantee != other.WithinGuarantee {
		return u.WithinGuarantee
	}
	if u.Priority != other.Priority {
		return u.Priority > other.Priority
	}
	if u.LatestStartMS != other.LatestStartMS {
		return u.LatestStartMS < other.LatestStartMS
	}
	return u.Position.Before(other.Position)
}

// objectiveFinished is the kind of objectives that bound the time from the submission of a job to its end.
const objectiveFinished = "finished"

// InstancesForObjective returns how many instances an array of a class needs to be finished within its class's
// objective, by its owner's estimate of a task's run time: the tasks that are left, over the number of runs that fit
// one after the other into the time that is left. The closest objective that can still be met counts; false if there is
// none.
func InstancesForObjective(objectives []config.Objective, class string, ageS, runS float64, unfinished int) (int, bool) {
	leftS := 0.0
	for _, objective := range objectives {
		if objective.Kind != objectiveFinished || objective.Class != class {
			continue
		}
		if left := objective.WithinS - ageS; left >= runS && (leftS == 0 || left < leftS) {
			leftS = left
		}
	}
	if leftS == 0 {
		return 0, false
	}
	runs := int(leftS / runS)
	return (unfinished + runs - 1) / runs, true
}

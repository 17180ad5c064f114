package scheduling

import "bitternwing/internal/config"

// Urgency determines the order in which jobs below their minimum number of instances are started.
type Urgency struct {
	WithinGuarantee bool
	Priority        int
	LatestStartMS   int64 // Unix time in milliseconds by which the job must start to meet all deadlines that depend on it
	Position        QueuePosition
}

// Before orders jobs: those within a guarantee first, then by priority, latest start time and queue position.
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

// finishedObjectiveKind is the kind of the objectives that limit the time from the submission of a job to its end.
const finishedObjectiveKind = "finished"

// InstancesForObjective returns how many instances an array job of a class needs to finish within an objective of its
// class. It divides the number of unfinished tasks by the number of consecutive runs that fit into the time left, where
// runS is the owner's estimate of the run time of a task. The tightest objective that can still be met applies; the
// result is false if there is none.
func InstancesForObjective(objectives []config.Objective, class string, ageS, runS float64, unfinished int) (int, bool) {
	leftS := 0.0
	for _, objective := range objectives {
		if objective.Kind != finishedObjectiveKind || objective.Class != class {
			continue
		}
		if left := objective.WithinS - ageS; left >= runS && (leftS == 0 || left < leftS) {
			leftS = left
		}
	}
	if leftS == 0 {
		return 0, false
	}
	runsInTimeLeft := int(leftS / runS)
	return (unfinished + runsInTimeLeft - 1) / runsInTimeLeft, true
}

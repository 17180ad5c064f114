// Package scheduling implements the policy of the scheduling cycle: which job is allocated more instances, which job is
// preempted, and how much each team may use. It is pure: it has no access to machines, the store or a clock, and its
// decisions depend on its arguments only.
//
// An elastic job has a minimum and a maximum number of instances. Its fulfillment score is the position of its current
// number of instances between the two:
//
//	(current - min) / (max - min)
//
// Free resources go to the job with the lowest score, and preemption stops instances of the job with the highest.
package scheduling

// Instances is the number of instances of a job, with the bounds within which the scheduler may choose it.
type Instances struct {
	Current int
	Min     int
	Max     int
}

// Elastic reports whether the bounds differ. The fulfillment score is defined for elastic jobs only.
func (i Instances) Elastic() bool { return i.Max > i.Min }

// Surplus returns the number of instances above the minimum. It is negative below the minimum.
func (i Instances) Surplus() int { return i.Current - i.Min }

// Fulfillment returns the fulfillment score of an elastic job.
func (i Instances) Fulfillment() float64 {
	return float64(i.Current-i.Min) / float64(i.Max-i.Min)
}

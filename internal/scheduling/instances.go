// Package scheduling is the policy of the scheduling cycle: which job is allocated more instances, which has to give
// some up, and what teams may use. It is pure: it knows neither machines nor the store, keeps no clock, and decides by
// what it is given alone.
//
// An elastic job has bounds for the number of its instances. Its fulfillment score tells where it is between them:
//
//	(current - min) / (max - min)
//
// Free resources go to the job with the lowest score, and preemption takes from the job with the highest.
package scheduling

// Instances is the number of a job's instances, with the bounds between which the scheduler may choose it.
type Instances struct {
	Current int
	Min     int
	Max     int
}

// Elastic tells whether there is a choice. Only then a fulfillment score is defined.
func (i Instances) Elastic() bool { return i.Max > i.Min }

// Surplus is the number of instances above the minimum.
func (i Instances) Surplus() int { return i.Current - i.Min }

// Fulfillment is the fulfillment score of an elastic job.
func (i Instances) Fulfillment() float64 {
	return float64(i.Current-i.Min) / float64(i.Max-i.Min)
}

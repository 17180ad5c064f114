package watchcache

import "bitternwing/internal/stored"

// finalStates are the final states that were seen here, up to a bound; beyond it the oldest makes way. They never
// change, so they need no confirmation.
type finalStates struct {
	maxCount int
	byJob    map[string]stored.FinalState
	order    []string // in which they came
}

func newFinalStates(maxCount int) finalStates {
	return finalStates{maxCount: maxCount, byJob: map[string]stored.FinalState{}}
}

// AddFinalState remembers the final state of a job.
func (c *Cache) AddFinalState(job string, final stored.FinalState) {
	f := &c.finalStates
	if _, known := f.byJob[job]; known {
		return
	}
	if len(f.order) > 0 && len(f.order) >= f.maxCount {
		delete(f.byJob, f.order[0])
		f.order = f.order[1:]
	}
	f.byJob[job] = final
	f.order = append(f.order, job)
}

// FinalState returns the final state of a job; false if it is not remembered here.
func (c *Cache) FinalState(job string) (stored.FinalState, bool) {
	final, known := c.finalStates.byJob[job]
	return final, known
}

// FinalStateCount returns how many final states are remembered.
func (c *Cache) FinalStateCount() int { return len(c.finalStates.byJob) }

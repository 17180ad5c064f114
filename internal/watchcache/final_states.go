package watchcache

import "bitternwing/internal/stored"

// finalStates stores the final states that this node has observed. When it is full, the oldest entry is evicted. Final
// states never change, so they need no confirmation.
type finalStates struct {
	maxCount int
	byJob    map[string]stored.FinalState
	order    []string // job IDs, oldest entry first
}

func newFinalStates(maxCount int) finalStates {
	return finalStates{maxCount: maxCount, byJob: map[string]stored.FinalState{}}
}

// AddFinalState stores the final state of a job.
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

// FinalState returns the final state of a job, or false if it is not cached.
func (c *Cache) FinalState(job string) (stored.FinalState, bool) {
	final, known := c.finalStates.byJob[job]
	return final, known
}

// FinalStateCount returns the number of cached final states.
func (c *Cache) FinalStateCount() int { return len(c.finalStates.byJob) }

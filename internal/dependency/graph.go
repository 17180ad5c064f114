// Package dependency keeps the graph of jobs that wait for other jobs. It tells which of them are
// ready, which are cancelled with a job that they need, and what the jobs that need a job lend to it:
// their priority, and the time by which it has to end so that the last of them meets its deadline.
//
// There is no clock and no I/O in it, and no recursion: long chains and wide fans cost one pass over
// the jobs that are part of a pipeline, whenever one of them has changed.
package dependency

import (
	"math"
	"slices"
)

// State is what a job's dependencies say of it.
type State int

// The states.
const (
	Ready      State = iota // all that it needs is done
	Waiting                 // a job that it needs, directly or through others, is not done
	Unresolved              // whether it is ready depends on a job whose end is not known here
	Cancelled               // a job that it needs, directly or through others, is cancelled
)

// Never is the latest end of a job that no deadline depends on.
const Never = math.MaxInt64

// Job is an active job. Times of day are in milliseconds.
type Job struct {
	Needs      []string
	Cancelled  bool
	Priority   int
	AcceptedMS int64
	EstimateMS int64 // run time of its longest task
	DeadlineMS int64 // time of day; Never if it has none
}

// End is how a job ended.
type End struct {
	Done bool  // else it was cancelled
	AtMS int64 // time of day; 0: not known
}

// Status is what the graph tells of an active job.
type Status struct {
	State State
	// ReadyMS is when the last job that it needs was done, and its acceptance for a job that needs none
	// or whose needed jobs' ends carry no time.
	ReadyMS int64
	// Priority is the highest of its own and of all jobs that need it.
	Priority int
	// LatestEndMS is when it has to be done at the latest for every deadline of its own or of a job that
	// needs it; Never for a job that is not part of a pipeline.
	LatestEndMS int64
}

// Graph is the graph of the active jobs.
type Graph struct {
	jobs     map[string]Job
	needed   map[string]int // how many active jobs name a job
	ends     map[string]End // of needed jobs that are not active any more
	pipeline map[string]bool
	status   map[string]Status
	missing  []string
	order    []string

	changed     bool
	evaluations uint64
}

// New makes an empty graph.
func New() *Graph {
	return &Graph{jobs: map[string]Job{}, needed: map[string]int{}, ends: map[string]End{},
		pipeline: map[string]bool{}, status: map[string]Status{}}
}

// Put takes in an active job, anew if it has changed.
func (g *Graph) Put(id string, j Job) {
	old, known := g.jobs[id]
	if !known {
		for _, need := range j.Needs {
			g.needed[need]++
		}
	}
	if known && old.Cancelled == j.Cancelled {
		return // nothing else of a job ever changes
	}
	if known {
		j.Needs = old.Needs // a cancelled job may be stored without them
	}
	g.jobs[id] = j
	delete(g.ends, id)
	if len(j.Needs) > 0 {
		g.pipeline[id] = true
	}
	g.changed = g.changed || len(j.Needs) > 0 || g.needed[id] > 0
}

// End takes in the end of a job.
func (g *Graph) End(id string, e End) {
	if g.needed[id] > 0 {
		g.ends[id] = e
		g.changed = true
	}
	g.remove(id)
}

// Remove takes out an active job whose end is not known.
func (g *Graph) Remove(id string) {
	g.changed = g.changed || g.needed[id] > 0
	g.remove(id)
}

func (g *Graph) remove(id string) {
	j, known := g.jobs[id]
	if !known {
		return
	}
	delete(g.jobs, id)
	delete(g.pipeline, id)
	for _, need := range j.Needs {
		if g.needed[need]--; g.needed[need] == 0 {
			delete(g.needed, need)
			delete(g.ends, need)
		}
		g.changed = true
	}
}

// Active gives the ids of all active jobs, in no order.
func (g *Graph) Active() []string {
	ids := make([]string, 0, len(g.jobs))
	for id := range g.jobs {
		ids = append(ids, id)
	}
	return ids
}

// Evaluations counts how often what the graph tells has changed.
func (g *Graph) Evaluations() uint64 {
	g.evaluate()
	return g.evaluations
}

// Of gives the status of an active job; the zero value for any other.
func (g *Graph) Of(id string) Status {
	g.evaluate()
	if s, ok := g.status[id]; ok {
		return s
	}
	j, known := g.jobs[id]
	if !known {
		return Status{LatestEndMS: Never}
	}
	s := ownStatus(j)
	if g.pipeline[id] {
		s.State = Waiting // part of a cycle, which acceptance rules out
	}
	return s
}

// Unresolved gives the jobs whose ends have to be known, in order of their ids.
func (g *Graph) Unresolved() []string {
	g.evaluate()
	return g.missing
}

// InOrder gives the active jobs that need others, those that are needed before those that need them.
func (g *Graph) InOrder() []string {
	g.evaluate()
	return g.order
}

// ownStatus is the status of a job by itself. Its own deadline counts only if it needs others.
func ownStatus(j Job) Status {
	s := Status{ReadyMS: j.AcceptedMS, Priority: j.Priority, LatestEndMS: Never}
	if len(j.Needs) > 0 {
		s.LatestEndMS = j.DeadlineMS
	}
	return s
}

// evaluate brings the status of all jobs that need others, or are needed, up to date.
func (g *Graph) evaluate() {
	if !g.changed {
		return
	}
	g.changed = false
	g.evaluations++
	clear(g.status)
	g.missing = g.missing[:0]
	g.order = g.sorted()
	for _, id := range g.order {
		g.status[id] = g.stateOf(g.jobs[id])
	}
	for _, id := range slices.Backward(g.order) {
		g.lend(id)
	}
	slices.Sort(g.missing)
	g.missing = slices.Compact(g.missing)
}

// sorted gives the active jobs that need others in topological order. Jobs name only jobs that were
// accepted before them, so there are no cycles; were there one, its jobs would be left out and wait.
func (g *Graph) sorted() []string {
	dependents := map[string][]string{}
	open := map[string]int{}
	var next []string
	for id := range g.pipeline {
		for _, need := range g.jobs[id].Needs {
			if g.pipeline[need] {
				dependents[need] = append(dependents[need], id)
				open[id]++
			}
		}
		if open[id] == 0 {
			next = append(next, id)
		}
	}
	slices.Sort(next)
	for i := 0; i < len(next); i++ {
		freed := dependents[next[i]]
		slices.Sort(freed)
		for _, id := range freed {
			if open[id]--; open[id] == 0 {
				next = append(next, id)
			}
		}
	}
	return next
}

// stateOf finds a job's status from those of the jobs that it needs, which come before it.
func (g *Graph) stateOf(j Job) Status {
	s := ownStatus(j)
	for _, need := range j.Needs {
		state := g.stateOfNeeded(need)
		s.State = max(s.State, state)
		if end, ended := g.ends[need]; ended && state == Ready {
			s.ReadyMS = max(s.ReadyMS, end.AtMS)
		}
	}
	if j.Cancelled {
		s.State = Cancelled
	}
	return s
}

// stateOfNeeded tells what a needed job makes of one that needs it.
func (g *Graph) stateOfNeeded(id string) State {
	if j, active := g.jobs[id]; active {
		if j.Cancelled {
			return Cancelled
		}
		return max(Waiting, g.status[id].State)
	}
	end, ended := g.ends[id]
	switch {
	case !ended:
		g.missing = append(g.missing, id)
		return Unresolved
	case end.Done:
		return Ready
	}
	return Cancelled
}

// lend passes a job's priority and deadline on to the jobs that it needs. One that is cancelled
// needs nothing any more.
func (g *Graph) lend(id string) {
	s, j := g.status[id], g.jobs[id]
	if s.State == Cancelled {
		return
	}
	latest := s.LatestEndMS
	if latest != Never {
		latest -= j.EstimateMS
	}
	for _, need := range j.Needs {
		needed, active := g.jobs[need]
		if !active {
			continue
		}
		t, known := g.status[need]
		if !known {
			t = ownStatus(needed)
		}
		t.Priority = max(t.Priority, s.Priority)
		t.LatestEndMS = min(t.LatestEndMS, latest)
		g.status[need] = t
	}
}

// Package dependency keeps the dependency graph of jobs. It tells which jobs are ready, which are cancelled with a job
// that they depend on, and what a job inherits from its dependents: their priority, and the time by which it has to end
// so that the last of them meets its deadline.
//
// There is no clock and no I/O in it, and no recursion: long chains and wide fans cost one pass over the jobs that are
// part of a pipeline, whenever one of them has changed.
package dependency

import (
	"math"
	"slices"
)

// State is what the dependencies of a job say of it.
type State int

// The states.
const (
	Ready      State = iota // all dependencies are done
	Waiting                 // a direct or indirect dependency is not done
	Unresolved              // the end of a direct or indirect dependency is not known here
	Cancelled               // a direct or indirect dependency is cancelled
)

// Never is the latest end of a job that no deadline depends on.
const Never = math.MaxInt64

// Job is an active job. Times of day are in milliseconds.
type Job struct {
	Dependencies []string
	Cancelled    bool
	Priority     int
	AcceptedMS   int64
	EstimateMS   int64 // run time of its longest task
	DeadlineMS   int64 // time of day; Never if it has none
}

// End is how a job ended.
type End struct {
	Done bool  // else it was cancelled
	AtMS int64 // time of day; 0: not known
}

// Status is what the graph tells of an active job.
type Status struct {
	State State
	// ReadyMS is when the last dependency was done, or when the job was accepted if it has none or their ends carry no
	// time.
	ReadyMS int64
	// Priority is the highest of its own and of its direct and indirect dependents.
	Priority int
	// LatestEndMS is when it has to be done at the latest for every deadline of its own or of a dependent; Never for a
	// job that is not part of a pipeline.
	LatestEndMS int64
}

// Graph is the graph of the active jobs.
type Graph struct {
	jobs       map[string]Job
	dependents map[string]int  // how many active jobs depend directly on a job
	ends       map[string]End  // of dependencies that are not active any more
	pipeline   map[string]bool // active jobs with dependencies

	// What the last evaluation found.
	status     map[string]Status
	unresolved []string // dependencies whose ends have to be known
	order      []string // active jobs with dependencies, in topological order

	changed     bool // since the last evaluation
	evaluations uint64
}

// New makes an empty graph.
func New() *Graph {
	return &Graph{jobs: map[string]Job{}, dependents: map[string]int{}, ends: map[string]End{},
		pipeline: map[string]bool{}, status: map[string]Status{}}
}

// Put adds an active job, or takes in its change.
func (g *Graph) Put(id string, j Job) {
	old, known := g.jobs[id]
	if !known {
		for _, dependency := range j.Dependencies {
			g.dependents[dependency]++
		}
	}
	if known && old.Cancelled == j.Cancelled {
		return // nothing else of a job ever changes
	}
	if known {
		j.Dependencies = old.Dependencies // a cancelled job may be stored without them
	}
	g.jobs[id] = j
	delete(g.ends, id)
	if len(j.Dependencies) > 0 {
		g.pipeline[id] = true
	}
	g.changed = g.changed || len(j.Dependencies) > 0 || g.dependents[id] > 0
}

// End takes in the end of a job and removes it.
func (g *Graph) End(id string, e End) {
	if g.dependents[id] > 0 {
		g.ends[id] = e
		g.changed = true
	}
	g.remove(id)
}

// Remove removes an active job whose end is not known.
func (g *Graph) Remove(id string) {
	g.changed = g.changed || g.dependents[id] > 0
	g.remove(id)
}

func (g *Graph) remove(id string) {
	j, known := g.jobs[id]
	if !known {
		return
	}
	delete(g.jobs, id)
	delete(g.pipeline, id)
	for _, dependency := range j.Dependencies {
		if g.dependents[dependency]--; g.dependents[dependency] == 0 {
			delete(g.dependents, dependency)
			delete(g.ends, dependency)
		}
		g.changed = true
	}
}

// Active gives the IDs of all active jobs, in no order.
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

// Unresolved gives the jobs whose ends have to be known, in order of their IDs.
func (g *Graph) Unresolved() []string {
	g.evaluate()
	return g.unresolved
}

// InOrder gives the active jobs with dependencies in topological order: dependencies come before their dependents.
func (g *Graph) InOrder() []string {
	g.evaluate()
	return g.order
}

// ownStatus is the status of a job by itself. Its own deadline counts only if it has dependencies.
func ownStatus(j Job) Status {
	s := Status{ReadyMS: j.AcceptedMS, Priority: j.Priority, LatestEndMS: Never}
	if len(j.Dependencies) > 0 {
		s.LatestEndMS = j.DeadlineMS
	}
	return s
}

// evaluate updates the status of all jobs that have dependencies or dependents.
func (g *Graph) evaluate() {
	if !g.changed {
		return
	}
	g.changed = false
	g.evaluations++
	clear(g.status)
	g.unresolved = g.unresolved[:0]
	g.order = g.sorted()
	for _, id := range g.order {
		g.status[id] = g.statusOf(g.jobs[id])
	}
	for _, id := range slices.Backward(g.order) {
		g.lendToDependencies(id)
	}
	slices.Sort(g.unresolved)
	g.unresolved = slices.Compact(g.unresolved)
}

// sorted gives the active jobs with dependencies in topological order. Jobs depend only on jobs that were accepted
// before them, so there are no cycles; were there one, its jobs would be left out and wait.
func (g *Graph) sorted() []string {
	dependentsOf := map[string][]string{}
	pending := map[string]int{} // dependencies that are not in the order yet
	var next []string
	for id := range g.pipeline {
		for _, dependency := range g.jobs[id].Dependencies {
			if g.pipeline[dependency] {
				dependentsOf[dependency] = append(dependentsOf[dependency], id)
				pending[id]++
			}
		}
		if pending[id] == 0 {
			next = append(next, id)
		}
	}
	slices.Sort(next)
	for i := 0; i < len(next); i++ {
		freed := dependentsOf[next[i]]
		slices.Sort(freed)
		for _, id := range freed {
			if pending[id]--; pending[id] == 0 {
				next = append(next, id)
			}
		}
	}
	return next
}

// statusOf gives a job's status from those of its dependencies, which come before it in the order.
func (g *Graph) statusOf(j Job) Status {
	s := ownStatus(j)
	for _, dependency := range j.Dependencies {
		state := g.stateOfDependency(dependency)
		s.State = max(s.State, state)
		if end, ended := g.ends[dependency]; ended && state == Ready {
			s.ReadyMS = max(s.ReadyMS, end.AtMS)
		}
	}
	if j.Cancelled {
		s.State = Cancelled
	}
	return s
}

// stateOfDependency tells the state that a dependency gives its dependents.
func (g *Graph) stateOfDependency(id string) State {
	if j, active := g.jobs[id]; active {
		if j.Cancelled {
			return Cancelled
		}
		return max(Waiting, g.status[id].State)
	}
	end, ended := g.ends[id]
	switch {
	case !ended:
		g.unresolved = append(g.unresolved, id)
		return Unresolved
	case end.Done:
		return Ready
	}
	return Cancelled
}

// lendToDependencies passes a job's priority and deadline on to its dependencies. One that is cancelled has none any more.
func (g *Graph) lendToDependencies(id string) {
	s, j := g.status[id], g.jobs[id]
	if s.State == Cancelled {
		return
	}
	latest := s.LatestEndMS
	if latest != Never {
		latest -= j.EstimateMS
	}
	for _, dependency := range j.Dependencies {
		job, active := g.jobs[dependency]
		if !active {
			continue
		}
		status, known := g.status[dependency]
		if !known {
			status = ownStatus(job)
		}
		status.Priority = max(status.Priority, s.Priority)
		status.LatestEndMS = min(status.LatestEndMS, latest)
		g.status[dependency] = status
	}
}

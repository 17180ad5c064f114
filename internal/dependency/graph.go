// Package dependency maintains the dependency graph of jobs. It determines which jobs are ready, which are cancelled
// because a job that they depend on is cancelled, and what a job inherits from its dependents: their priority, and the
// time by which it has to end so that all of them meet their deadlines.
//
// The package reads no clock, does no I/O and uses no recursion, since chains of dependencies may be long. An
// evaluation takes one pass over the jobs that are part of a pipeline, and happens only after one of them has changed.
package dependency

import (
	"math"
	"slices"
)

// State is whether the dependencies of a job allow it to start.
type State int

// The states.
const (
	Ready      State = iota // all dependencies are done
	Waiting                 // a direct or indirect dependency is not done
	Unresolved              // it is not known how a direct or indirect dependency ended
	Cancelled               // a direct or indirect dependency is cancelled
)

// NoDeadline is the deadline of a job without one, and the latest end of a job on which no deadline depends.
const NoDeadline = math.MaxInt64

// Job is an active job. Points in time are Unix times in milliseconds.
type Job struct {
	Dependencies []string
	Cancelled    bool
	Priority     int
	AcceptedMS   int64
	EstimateMS   int64 // estimated run time of the longest task
	DeadlineMS   int64 // NoDeadline if there is none
}

// End is how a job ended.
type End struct {
	Done bool  // false if it was cancelled
	AtMS int64 // Unix time in milliseconds; 0 if not known
}

// Status is the result of the evaluation of the graph for an active job.
type Status struct {
	State State
	// ReadyMS is when the last dependency was done. It is when the job was accepted if it has no dependencies, or if
	// the times of their ends are not known.
	ReadyMS int64
	// Priority is the highest of the job's own priority and those of its direct and indirect dependents.
	Priority int
	// LatestEndMS is the latest time at which the job has to be done so that its own deadline and those of its direct
	// and indirect dependents are met. It is NoDeadline for a job that is not part of a pipeline.
	LatestEndMS int64
}

// Graph is the dependency graph of the active jobs.
type Graph struct {
	jobs       map[string]Job
	dependents map[string]int  // number of active jobs that depend directly on a job
	ends       map[string]End  // of dependencies that are no longer active
	pipeline   map[string]bool // active jobs with dependencies

	// Results of the last evaluation.
	status     map[string]Status // of jobs with dependencies or dependents
	unresolved []string          // dependencies whose ends are not known, by ID
	order      []string          // active jobs with dependencies, in topological order

	changed     bool // whether the graph has changed since the last evaluation
	evaluations uint64
}

// New returns an empty graph.
func New() *Graph {
	return &Graph{jobs: map[string]Job{}, dependents: map[string]int{}, ends: map[string]End{},
		pipeline: map[string]bool{}, status: map[string]Status{}}
}

// Put adds an active job, or records that it was cancelled.
func (g *Graph) Put(id string, j Job) {
	old, known := g.jobs[id]
	if !known {
		for _, dependency := range j.Dependencies {
			g.dependents[dependency]++
		}
	}
	if known && old.Cancelled == j.Cancelled {
		return // no other field of a job ever changes
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

// End records the end of a job and removes the job from the active ones.
func (g *Graph) End(id string, e End) {
	if g.dependents[id] > 0 {
		g.ends[id] = e
		g.changed = true
	}
	g.remove(id)
}

// Remove removes an active job when it is not known how it ended.
func (g *Graph) Remove(id string) {
	g.changed = g.changed || g.dependents[id] > 0
	g.remove(id)
}

// remove removes an active job, and what is known about dependencies on which no other active job depends.
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

// Active returns the IDs of all active jobs in no particular order.
func (g *Graph) Active() []string {
	ids := make([]string, 0, len(g.jobs))
	for id := range g.jobs {
		ids = append(ids, id)
	}
	return ids
}

// Evaluations returns how often the graph was evaluated after a change. While it stays the same, so do all statuses.
func (g *Graph) Evaluations() uint64 {
	g.evaluate()
	return g.evaluations
}

// Status returns the status of an active job. For any other job, all fields are zero except LatestEndMS, which is
// NoDeadline.
func (g *Graph) Status(id string) Status {
	g.evaluate()
	if s, ok := g.status[id]; ok {
		return s
	}
	j, known := g.jobs[id]
	if !known {
		return Status{LatestEndMS: NoDeadline}
	}
	s := ownStatus(j)
	if g.pipeline[id] {
		s.State = Waiting // part of a cycle, which the checks at submission rule out
	}
	return s
}

// Unresolved returns the dependencies that are not active and whose ends are not known, in order of their IDs.
func (g *Graph) Unresolved() []string {
	g.evaluate()
	return g.unresolved
}

// TopologicalOrder returns the active jobs with dependencies in topological order: dependencies come before their
// dependents.
func (g *Graph) TopologicalOrder() []string {
	g.evaluate()
	return g.order
}

// ownStatus returns the status of a job without regard to other jobs. Its deadline counts only if it has dependencies.
func ownStatus(j Job) Status {
	s := Status{ReadyMS: j.AcceptedMS, Priority: j.Priority, LatestEndMS: NoDeadline}
	if len(j.Dependencies) > 0 {
		s.LatestEndMS = j.DeadlineMS
	}
	return s
}

// evaluate updates the status of all jobs that have dependencies or dependents, if the graph has changed.
func (g *Graph) evaluate() {
	if !g.changed {
		return
	}
	g.changed = false
	g.evaluations++
	clear(g.status)
	g.unresolved = g.unresolved[:0]
	g.order = g.topologicalSort()
	for _, id := range g.order {
		g.status[id] = g.statusOf(g.jobs[id])
	}
	for _, id := range slices.Backward(g.order) {
		g.propagateToDependencies(id)
	}
	slices.Sort(g.unresolved)
	g.unresolved = slices.Compact(g.unresolved)
}

// topologicalSort returns the active jobs with dependencies in topological order. Jobs depend only on jobs that were
// accepted before them, so there are no cycles. The jobs of a cycle would be left out and wait.
func (g *Graph) topologicalSort() []string {
	dependentsOf := map[string][]string{}
	pending := map[string]int{} // number of dependencies that are not in the order yet
	var order []string
	for id := range g.pipeline {
		for _, dependency := range g.jobs[id].Dependencies {
			if g.pipeline[dependency] {
				dependentsOf[dependency] = append(dependentsOf[dependency], id)
				pending[id]++
			}
		}
		if pending[id] == 0 {
			order = append(order, id)
		}
	}
	slices.Sort(order)
	for i := 0; i < len(order); i++ {
		dependents := dependentsOf[order[i]]
		slices.Sort(dependents)
		for _, id := range dependents {
			if pending[id]--; pending[id] == 0 {
				order = append(order, id)
			}
		}
	}
	return order
}

// statusOf computes a job's status from those of its dependencies, which come before it in the order.
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

// stateOfDependency returns the state that a dependency imposes on its dependents.
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

// propagateToDependencies raises the priority and advances the latest end of a job's direct dependencies to what the
// job needs. A cancelled job needs nothing.
func (g *Graph) propagateToDependencies(id string) {
	s, j := g.status[id], g.jobs[id]
	if s.State == Cancelled {
		return
	}
	latest := s.LatestEndMS
	if latest != NoDeadline {
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

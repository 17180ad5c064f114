package core

import (
	"math"
	"time"

	"bitternwing/internal/dependency"
	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/watchcache"
	"bitternwing/internal/wire"
)

// dependencyTracker maintains the dependency graph of the jobs on every node. It follows the watch cache: a dependency
// that is active in the cache is not done, and one that has ended counts by its committed final state. Final states
// that are not in the cache are read from the key-value store. Until then the states of the jobs that depend on them
// are not disclosed.
//
// A job that depends on a cancelled one is cancelled by a separate write, either by the leader or by a node that is
// asked about the job. The same guarantees therefore hold as for any other cancellation: the write is a
// compare-and-swap of the job's key, and the cancellation is confirmed to users once all nodes have acknowledged it.
type dependencyTracker struct {
	core     *Core
	graph    *dependency.Graph
	reading  map[string]bool // jobs whose final states are being read
	nextRead time.Duration   // earliest time of the next read
}

// maxFinalStateReads bounds the final states that are read concurrently.
const maxFinalStateReads = 4

func newDependencyTracker(c *Core) *dependencyTracker {
	return &dependencyTracker{core: c, graph: dependency.New(), reading: map[string]bool{}}
}

// observeJob updates the graph after a change of an active job.
func (d *dependencyTracker) observeJob(id string) {
	if job := d.core.cache.Job(id); job != nil {
		d.graph.Put(id, dependencyJob(job))
	} else {
		d.graph.Remove(id)
	}
}

// observeFinalState updates the graph with the committed final state of a job.
func (d *dependencyTracker) observeFinalState(id string, final stored.FinalState) {
	d.graph.End(id, dependency.End{Done: final.State == wire.JobDone, AtMS: final.EndedMS})
}

// reload updates the graph after the watch cache was reloaded.
func (d *dependencyTracker) reload() {
	for _, id := range d.graph.Active() {
		if d.core.cache.Job(id) == nil {
			d.graph.Remove(id)
		}
	}
	for _, id := range d.core.cache.JobIDs() {
		d.observeJob(id)
	}
}

func dependencyJob(cached *watchcache.Job) dependency.Job {
	spec := cached.Spec
	job := dependency.Job{
		Dependencies: spec.Dependencies,
		Cancelled:    cached.Cancelled(),
		Priority:     spec.Priority.Rank(),
		AcceptedMS:   cached.AcceptedMS,
		EstimateMS:   milliseconds(spec.EstimatedRunS),
		DeadlineMS:   dependency.NoDeadline,
	}
	if spec.DeadlineS != nil {
		job.DeadlineMS = cached.AcceptedMS + milliseconds(*spec.DeadlineS)
	}
	return job
}

func milliseconds(seconds float64) int64 { return int64(math.Ceil(1000 * seconds)) }

// run reads the final states that the graph needs and the cache does not have.
func (d *dependencyTracker) run() {
	c := d.core
	if !c.cache.Ready() {
		return
	}
	for _, id := range d.graph.Unresolved() {
		if final, ok := c.cache.FinalState(id); ok {
			d.observeFinalState(id, final)
			continue
		}
		if c.now.Steady < d.nextRead {
			c.wakeBy(d.nextRead)
			return
		}
		if !d.reading[id] && len(d.reading) < maxFinalStateReads {
			d.readFinalState(id)
		}
	}
}

// readFinalState reads the final state of a dependency.
func (d *dependencyTracker) readFinalState(id string) {
	d.reading[id] = true
	read := finalStateRead{tracker: d, id: id}
	callID := d.core.registerStoreCall(read.applyResult)
	d.core.emit(StoreGet{CallID: callID, Key: stored.FinalStateKey(id)})
}

// finalStateRead is a read of the final state of a dependency.
type finalStateRead struct {
	tracker *dependencyTracker
	id      string
}

// applyResult caches the final state. If there is none, the watch cache is behind and does not have the job yet, and
// the read is retried after a pause.
func (f finalStateRead) applyResult(r Result) {
	c := f.tracker.core
	delete(f.tracker.reading, f.id)
	if r.Outcome == outcome.OK {
		if final, err := stored.DecodeFinalState(r.Item.Value); err == nil {
			c.cacheFinalState(f.id, final)
			return
		}
	}
	f.tracker.nextRead = c.now.Steady + c.times.retryPause
}

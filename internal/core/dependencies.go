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

// dependencyTracker keeps the dependency graph of the jobs, on every node. It follows the watch cache: a dependency that
// is active there is not done, one that has ended counts by its committed end. Ends that this node did not see are read,
// and until then nothing is told of the jobs that depend on them.
//
// A job that depends on a cancelled one is cancelled by a write of its own, like any other, by the leader or by the node
// that is asked about it. So all that holds for a cancellation holds for it: it wins or loses against nothing else on the
// job's key, and users hear of it once all nodes know.
type dependencyTracker struct {
	core    *Core
	graph   *dependency.Graph
	reading map[string]bool // jobs whose ends are being read
	retryAt time.Duration   // no read before this
}

// maxEndReads bounds the ends that are read at once.
const maxEndReads = 4

func newDependencyTracker(c *Core) *dependencyTracker {
	return &dependencyTracker{core: c, graph: dependency.New(), reading: map[string]bool{}}
}

// observeJob takes in a change of an active job.
func (d *dependencyTracker) observeJob(id string) {
	if job := d.core.cache.Job(id); job != nil {
		d.graph.Put(id, dependencyJob(job))
	} else {
		d.graph.Remove(id)
	}
}

// observeEnd takes in the committed end of a job.
func (d *dependencyTracker) observeEnd(id string, final stored.FinalState) {
	d.graph.End(id, dependency.End{Done: final.State == wire.JobDone, AtMS: final.EndedMS})
}

// reload takes in a watch cache that was read anew.
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

// run reads the ends that have to be known.
func (d *dependencyTracker) run() {
	c := d.core
	if !c.cache.Ready() {
		return
	}
	for _, id := range d.graph.Unresolved() {
		if final, ok := c.cache.FinalState(id); ok {
			d.observeEnd(id, final)
			continue
		}
		if c.now.Steady < d.retryAt {
			c.wakeBy(d.retryAt)
			return
		}
		if !d.reading[id] && len(d.reading) < maxEndReads {
			d.readEnd(id)
		}
	}
}

// readEnd reads the end of a dependency.
func (d *dependencyTracker) readEnd(id string) {
	d.reading[id] = true
	read := endRead{tracker: d, id: id}
	request := d.core.registerStoreCall(read.applyResult)
	d.core.emit(StoreGet{CallID: request, Key: stored.FinalStateKey(id)})
}

// endRead is a read of the end of a dependency.
type endRead struct {
	tracker *dependencyTracker
	id      string
}

// applyResult takes in the end. Where there is none this node's watch cache is behind: it does not know the job yet.
func (e endRead) applyResult(r Result) {
	c := e.tracker.core
	delete(e.tracker.reading, e.id)
	if r.Outcome == outcome.OK {
		if final, err := stored.DecodeFinalState(r.Item.Value); err == nil {
			c.cacheFinalState(e.id, final)
			return
		}
	}
	e.tracker.retryAt = c.now.Steady + c.times.retryPause
}

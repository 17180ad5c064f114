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

// dependencyTracker keeps the graph of the jobs that need others, on every node. It follows the directory:
// a needed job that is active there is not done, one that has ended counts by its committed end. Ends
// that this node did not see are read, and until then nothing is told of the jobs that depend on them.
//
// A job that needs a cancelled one is cancelled by a write of its own, like any other, by the leader or
// by the node that is asked about it. So all that holds for a cancellation holds for it: it wins or
// loses against nothing else on the job's key, and users hear of it once all nodes know.
type dependencyTracker struct {
	core    *Core
	graph   *dependency.Graph
	reading map[string]bool
	retryAt time.Duration // no reading before this
}

// maxEndReads bounds the ends that are read at once.
const maxEndReads = 4

func newDependencyTracker(c *Core) *dependencyTracker {
	return &dependencyTracker{core: c, graph: dependency.New(), reading: map[string]bool{}}
}

// observeJob takes in a change of an active job.
func (d *dependencyTracker) observeJob(id string) {
	if e := d.core.cache.Job(id); e != nil {
		d.graph.Put(id, dependencyJob(e))
	} else {
		d.graph.Remove(id)
	}
}

// observeEnd takes in the committed end of a job.
func (d *dependencyTracker) observeEnd(id string, f stored.FinalState) {
	d.graph.End(id, dependency.End{Done: f.State == wire.JobDone, AtMS: f.EndedMS})
}

// reload takes in a directory that was read anew.
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

func dependencyJob(e *watchcache.Job) dependency.Job {
	j := dependency.Job{Needs: e.Spec.Dependencies, Cancelled: e.CancelledMS != 0, Priority: e.Spec.Priority.Rank(),
		AcceptedMS: e.AcceptedMS, EstimateMS: milliseconds(e.Spec.EstimatedRunS), DeadlineMS: dependency.Never}
	if e.Spec.DeadlineS != nil {
		j.DeadlineMS = e.AcceptedMS + milliseconds(*e.Spec.DeadlineS)
	}
	return j
}

func milliseconds(s float64) int64 { return int64(math.Ceil(1000 * s)) }

// run reads the ends that have to be known.
func (d *dependencyTracker) run() {
	c := d.core
	if !c.cache.Ready() {
		return
	}
	for _, id := range d.graph.Unresolved() {
		if f, ok := c.cache.FinalState(id); ok {
			d.observeEnd(id, f)
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

// readEnd reads the end of a needed job. Where there is none this node's directory is behind: it does not
// know the job yet.
func (d *dependencyTracker) readEnd(id string) {
	c := d.core
	d.reading[id] = true
	request := c.registerStoreCall(func(r Result) {
		delete(d.reading, id)
		if r.Outcome == outcome.OK {
			if f, err := stored.DecodeFinalState(r.Item.Value); err == nil {
				c.cacheFinalState(id, f)
				return
			}
		}
		d.retryAt = c.now.Steady + c.times.retryPause
	})
	c.emit(StoreGet{CallID: request, Key: stored.FinalStateKey(id)})
}

// followDependencies takes in what has changed of the jobs that need others: those that are ready are
// queued, those that are cancelled with a job that they need get that written, and priorities and
// deadlines are lent to the jobs that are needed, for as long as they are.
func (l *leader) followDependencies() {
	graph := l.core.dependencies.graph
	evaluations := graph.Evaluations()
	if evaluations == l.dependenciesSeen {
		return
	}
	l.dependenciesSeen = evaluations
	for _, id := range graph.InOrder() {
		j := l.jobs[id]
		if j == nil || !j.waitingForDependencies || j.cancelled {
			continue
		}
		switch graph.Of(id).State {
		case dependency.Ready:
			l.admit(j)
			l.requestCycle()
		case dependency.Cancelled:
			l.writer.queueCancel(j)
		case dependency.Waiting, dependency.Unresolved:
		}
	}
	for _, j := range l.queue {
		status := graph.Of(j.id)
		if j.rank != status.Priority {
			j.rankChanged()
		}
		j.rank, j.latestEndMS = status.Priority, status.LatestEndMS
	}
}

// rankChanged notes that what could be stopped on the job's machines has to be worked out anew.
func (j *job) rankChanged() {
	for _, p := range j.placements {
		p.machine.capacityChanged = true
	}
}

// admit queues a job that has waited for others. From here on it counts for its team, and its waits
// count.
func (l *leader) admit(j *job) {
	status := l.core.dependencies.graph.Of(j.id)
	j.waitingForDependencies = false
	j.rank, j.latestEndMS = status.Priority, status.LatestEndMS
	if status.State == dependency.Ready {
		j.queuedMS = max(j.acceptedMS, status.ReadyMS)
	}
	if !j.heldByRollout {
		l.enqueue(j)
	}
}

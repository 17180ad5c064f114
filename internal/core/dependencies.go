package core

import (
	"encoding/json"
	"math"
	"time"

	"bitternwing/internal/call"
	"bitternwing/internal/dependency"
	"bitternwing/internal/wire"
)

// dependencies keeps the graph of the jobs that need others, on every node. It follows the directory:
// a needed job that is active there is not done, one that has ended counts by its committed end. Ends
// that this node did not see are read, and until then nothing is told of the jobs that depend on them.
//
// A job that needs a cancelled one is cancelled by a write of its own, like any other, by the leader or
// by the node that is asked about it. So all that holds for a cancellation holds for it: it wins or
// loses against nothing else on the job's key, and users hear of it once all nodes know.
type dependencies struct {
	c       *Core
	graph   *dependency.Graph
	reading map[string]bool
	notNow  time.Duration // no reading before this
}

// mostEndReads bounds the ends that are read at once.
const mostEndReads = 4

func newDependencies(c *Core) *dependencies {
	return &dependencies{c: c, graph: dependency.New(), reading: map[string]bool{}}
}

// noticeJob takes in a change of an active job.
func (d *dependencies) noticeJob(id string) {
	if e := d.c.dir.jobs[id]; e != nil {
		d.graph.Put(id, dependencyJob(e))
	} else {
		d.graph.Remove(id)
	}
}

// noticeEnd takes in the committed end of a job.
func (d *dependencies) noticeEnd(id string, f finalValue) {
	d.graph.End(id, dependency.End{Done: f.State == wire.JobDone, AtMS: f.AtMS})
}

// reload takes in a directory that was read anew.
func (d *dependencies) reload() {
	for _, id := range d.graph.Active() {
		if d.c.dir.jobs[id] == nil {
			d.graph.Remove(id)
		}
	}
	for id := range d.c.dir.jobs {
		d.noticeJob(id)
	}
}

func dependencyJob(e *entry) dependency.Job {
	j := dependency.Job{Needs: e.Job.Dependencies, Cancelled: e.CancelledMS != 0, Priority: e.Job.Priority.Rank(),
		AcceptedMS: e.AtMS, EstimateMS: milliseconds(e.Job.EstimatedRunS), DeadlineMS: dependency.Never}
	if e.Job.DeadlineS != nil {
		j.DeadlineMS = e.AtMS + milliseconds(*e.Job.DeadlineS)
	}
	return j
}

func milliseconds(s float64) int64 { return int64(math.Ceil(1000 * s)) }

// run reads the ends that have to be known.
func (d *dependencies) run() {
	c := d.c
	if !c.dir.ready {
		return
	}
	for _, id := range d.graph.Unresolved() {
		if f, ok := c.dir.finals[id]; ok {
			d.noticeEnd(id, f)
			continue
		}
		if c.now.Steady < d.notNow {
			c.at(d.notNow)
			return
		}
		if !d.reading[id] && len(d.reading) < mostEndReads {
			d.read(id)
		}
	}
}

// read reads the end of a needed job. Where there is none this node's directory is behind: it does not
// know the job yet.
func (d *dependencies) read(id string) {
	c := d.c
	d.reading[id] = true
	request := c.stateCall(func(r Result) {
		delete(d.reading, id)
		var f finalValue
		if r.Outcome == call.OK && json.Unmarshal(r.Item.Value, &f) == nil {
			c.keepFinal(id, f)
			return
		}
		d.notNow = c.now.Steady + c.t.retry
	})
	c.send(StateGet{ID: request, Key: keyFinal + id})
}

// followDependencies takes in what has changed of the jobs that need others: those that are ready are
// queued, those that are cancelled with a job that they need get that written, and priorities and
// deadlines are lent to the jobs that are needed, for as long as they are.
func (l *leader) followDependencies() {
	graph := l.c.deps.graph
	evaluations := graph.Evaluations()
	if evaluations == l.evaluated {
		return
	}
	l.evaluated = evaluations
	for _, id := range graph.InOrder() {
		j := l.jobs[id]
		if j == nil || !j.waiting || j.cancelled {
			continue
		}
		switch graph.Of(id).State {
		case dependency.Ready:
			l.admit(j)
			l.wantRound()
		case dependency.Cancelled:
			l.writes.cancel(j)
		case dependency.Waiting, dependency.Unresolved:
		}
	}
	for _, j := range l.order {
		status := graph.Of(j.id)
		if j.rank != status.Priority {
			j.rankChanged()
		}
		j.rank, j.latestEnd = status.Priority, status.LatestEndMS
	}
}

// rankChanged notes that what could be stopped on the job's machines has to be worked out anew.
func (j *job) rankChanged() {
	for _, p := range j.placed {
		p.machine.roomChanged = true
	}
}

// admit queues a job that has waited for others. From here on it counts for its team, and its waits
// count.
func (l *leader) admit(j *job) {
	status := l.c.deps.graph.Of(j.id)
	j.waiting = false
	j.rank, j.latestEnd = status.Priority, status.LatestEndMS
	if status.State == dependency.Ready {
		j.queuedAt = max(j.at, status.ReadyMS)
	}
	if !j.held {
		l.enqueue(j)
	}
}

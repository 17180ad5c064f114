package core

import (
	"slices"
	"sort"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/stored"
	"bitternwing/internal/topologyspread"
	"bitternwing/internal/watchcache"
	"bitternwing/internal/wire"
)

// job is the leader's state of a job.
type job struct {
	id                     string
	spec                   *wire.Job
	acceptedMS             int64  // Unix time of its acceptance, in milliseconds
	queuedMS               int64  // the same, or of the end of its last dependency: its wait counts from here
	waitingForDependencies bool   // it is not queued, and nothing of it is placed
	heldByRollout          bool   // by the plan of a rollout: none of its tasks may be started
	queued                 bool   // it is in the leader's queue
	rank                   int    // its priority, or the highest of its dependents
	latestEndMS            int64  // Unix time in milliseconds by which the deadlines of its dependents need it to be done
	version                uint64 // of its key
	cancelled              bool
	cancelledAt            time.Duration     // on the steady clock
	ending                 bool              // its final state is being written
	finalState             stored.FinalState // that is written

	team   *config.Team
	chunks map[int]*recordChunk
	// superseded are the job's records of a layout that is not written any more, with their versions.
	superseded       map[string]uint64
	placements       map[int]*placement            // by task
	placementsByZone map[string]int                // of these, how many are in each zone
	replicaLedger    *topologyspread.ReplicaCounts // of all models
	withinGuarantee  bool                          // in this cycle: it fits into its team's guarantee
	stopping         int                           // of these, how many are stopping
	done             int
	nextUnplaced     int // no task below this is both undone and unplaced

	// Failure accounting, see failureAccounting.
	ranSuccessfully bool // a task of it ran well somewhere
	failedOn        map[string]bool
	retryAt         time.Duration // no start before this
}

// unplaced counts the tasks that still need a place.
func (j *job) unplaced() int { return j.spec.Tasks - j.done - len(j.placements) }

// unfinished counts the tasks that are not done.
func (j *job) unfinished() int { return j.spec.Tasks - j.done }

func (j *job) isArray() bool { return j.spec.Kind == wire.KindArray }

func (j *job) taskCounts() stored.TaskCounts {
	running := 0
	for _, p := range j.placements {
		if p.state == wire.TaskRunning || p.state == wire.TaskCheckpointing {
			running++
		}
	}
	return stored.TaskCounts{Running: running, Done: j.done}
}

// addJob adds a job. One with dependencies is queued once they are done.
func (l *leader) addJob(id string, e *watchcache.Job) *job {
	status := l.core.dependencies.graph.Of(id)
	j := &job{
		id:               id,
		spec:             e.Spec,
		acceptedMS:       e.AcceptedMS,
		queuedMS:         e.AcceptedMS,
		version:          e.Version,
		team:             l.teamOf(e.Spec.Team),
		rank:             status.Priority,
		latestEndMS:      status.LatestEndMS,
		chunks:           map[int]*recordChunk{},
		placements:       map[int]*placement{},
		placementsByZone: map[string]int{},
		replicaLedger:    l.replicaLedger,
	}
	l.jobs[id] = j
	j.waitingForDependencies = len(e.Spec.Dependencies) > 0
	j.heldByRollout = l.planHolds(id, e.Spec)
	if !j.waitingForDependencies && !j.heldByRollout {
		l.enqueue(j)
	}
	return j
}

// enqueue adds a job to the queue, which is in the order of submission.
func (l *leader) enqueue(j *job) {
	i := sort.Search(len(l.queue), func(i int) bool { return j.queuedBefore(l.queue[i]) })
	l.queue = slices.Insert(l.queue, i, j)
	j.queued = true
}

// dequeue removes a job from the queue, if it is in there.
func (l *leader) dequeue(j *job) {
	if i := slices.Index(l.queue, j); i >= 0 {
		l.queue = slices.Delete(l.queue, i, i+1)
	}
	j.queued = false
}

func (l *leader) dropJob(j *job) {
	delete(l.jobs, j.id)
	l.dequeue(j)
}

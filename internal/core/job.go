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
	acceptedMS             int64  // Unix time of acceptance, in milliseconds
	queuedMS               int64  // Unix time in milliseconds from which the waiting time counts: when the job became ready to be queued
	waitingForDependencies bool   // not queued yet, and without placements
	heldByRollout          bool   // a rollout plan does not allow its tasks to start yet
	queued                 bool   // in the leader's queue
	rank                   int    // highest priority among the job and its dependents
	latestEndMS            int64  // Unix time in milliseconds by which the job has to be done to meet the deadlines of its dependents
	version                uint64 // version of its key in the store
	cancelled              bool
	cancelledAt            time.Duration     // monotonic time of the cancellation
	endPending             bool              // the write of the final state is queued or in flight
	finalState             stored.FinalState // the final state being written

	team   *config.Team
	chunks map[int]*recordChunk
	// supersededRecords are the keys of the job's records in the index layout, with their versions, after the migration
	// to the task layout.
	supersededRecords    map[string]uint64
	placements           map[int]*placement            // by task
	placementCountByZone map[string]int                // number of placements in each zone
	replicaCounts        *topologyspread.ReplicaCounts // shared by all models
	withinGuarantee      bool                          // whether the job fits into its team's guarantee in this cycle
	stopping             int                           // number of placements that are being stopped
	done                 int
	nextUnplaced         int // every task below this is done or placed

	// Failure accounting, see failureAccounting.
	ranSuccessfully bool // one of its tasks has run successfully on some machine
	failedOn        map[string]bool
	retryAt         time.Duration // earliest time of the next task start
}

// unplaced returns the number of tasks that are neither done nor placed.
func (j *job) unplaced() int { return j.spec.Tasks - j.done - len(j.placements) }

// unfinished returns the number of tasks that are not done.
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

// addJob adds a job. A job with dependencies is queued only once they are done, and one held by a rollout plan only
// once the plan lets it start.
func (l *leader) addJob(id string, cached *watchcache.Job) *job {
	status := l.core.dependencies.graph.Status(id)
	j := &job{
		id:                   id,
		spec:                 cached.Spec,
		acceptedMS:           cached.AcceptedMS,
		queuedMS:             cached.AcceptedMS,
		version:              cached.Version,
		team:                 l.teamOf(cached.Spec.Team),
		rank:                 status.Priority,
		latestEndMS:          status.LatestEndMS,
		chunks:               map[int]*recordChunk{},
		placements:           map[int]*placement{},
		placementCountByZone: map[string]int{},
		replicaCounts:        l.replicaCounts,
	}
	l.jobs[id] = j
	j.waitingForDependencies = len(cached.Spec.Dependencies) > 0
	j.heldByRollout = l.planHolds(id, cached.Spec)
	if !j.waitingForDependencies && !j.heldByRollout {
		l.enqueue(j)
	}
	return j
}

// enqueue inserts a job into the queue at its position.
func (l *leader) enqueue(j *job) {
	i := sort.Search(len(l.queue), func(i int) bool { return j.queuedBefore(l.queue[i]) })
	l.queue = slices.Insert(l.queue, i, j)
	j.queued = true
}

// dequeue removes a job from the queue, if present.
func (l *leader) dequeue(j *job) {
	if i := slices.Index(l.queue, j); i >= 0 {
		l.queue = slices.Delete(l.queue, i, i+1)
	}
	j.queued = false
}

func (l *leader) removeJob(j *job) {
	delete(l.jobs, j.id)
	l.dequeue(j)
}

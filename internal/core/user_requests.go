package core

import (
	"net/http"
	"time"

	"bitternwing/internal/stored"
	"bitternwing/internal/watchcache"
	"bitternwing/internal/wire"
)

// userRequests answers the requests of users: submissions, lookups and cancellations. A response states only
// what the key-value store has confirmed at that moment, except for final states and cancellations, which never
// change. What can't be confirmed now gets 503 at once.
type userRequests struct {
	core    *Core
	waiting int // requests without a response yet

	comparisons     []*lookup // to confirm by a comparison of versions
	compareInFlight bool
	nextCompare     time.Duration // no comparison before this
	lastCompare     time.Duration // when the last one was sent

	reads         []*lookup // to answer by reading the job's keys
	readsInFlight int

	submissions    []*submission
	submissionByID map[string]*submission
	submitInFlight bool

	// dependentCancellations are the cancellations of dependent jobs that are being written, by job.
	dependentCancellations map[string]*dependentCancellation
}

func newUserRequests(c *Core) *userRequests {
	return &userRequests{core: c, submissionByID: map[string]*submission{},
		dependentCancellations: map[string]*dependentCancellation{}}
}

// run sends what waits to be sent to the key-value store.
func (u *userRequests) run() {
	u.runComparisons()
	u.runReads()
	u.commitSubmissions()
}

// rejectIfOverloaded responds with 429 when too many requests wait already; else it counts the request as waiting.
func (u *userRequests) rejectIfOverloaded(requestID uint64) bool {
	if u.waiting >= u.core.operator.MaxPendingRequests {
		u.core.respondRetryLater(requestID, http.StatusTooManyRequests, "too many requests")
		return true
	}
	u.waiting++
	return false
}

// respond ends a waiting request.
func (u *userRequests) respond(requestID uint64, status int, body any) {
	u.waiting--
	u.core.respond(requestID, status, body)
}

// respondIndeterminate ends a waiting request about which nothing can be confirmed now.
func (u *userRequests) respondIndeterminate(requestID uint64) {
	u.waiting--
	u.core.respondRetryLater(requestID, http.StatusServiceUnavailable, "can't be confirmed now")
}

// noSuchJob is the body of a response about a job that was never accepted.
var noSuchJob = wire.ErrorBody{Error: "no such job"}

// finalJobState is what users are told of a job that has ended.
func finalJobState(id string, final stored.FinalState) wire.JobResponse {
	running := 0
	return wire.JobResponse{ID: id, Status: final.State, Done: &final.Done, Running: &running}
}

// activeJobState is what users are told of a job that has not ended.
func (c *Core) activeJobState(id string, job *watchcache.Job) wire.JobResponse {
	counts := c.countsOf(id)
	state := wire.JobResponse{ID: id, Status: wire.JobPending, Running: &counts.Running, Done: &counts.Done}
	switch {
	case job.Cancelled():
		state.Status = wire.JobCancelled
	case counts.Running > 0:
		state.Status = wire.JobRunning
	}
	return state
}

// countsOf counts a job's tasks: a leader knows them itself, other nodes from what it has written.
func (c *Core) countsOf(id string) stored.TaskCounts {
	if c.leader != nil {
		if j := c.leader.jobs[id]; j != nil {
			return j.taskCounts()
		}
	}
	return c.cache.TaskCounts(id)
}

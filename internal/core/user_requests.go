package core

import (
	"net/http"
	"time"

	"bitternwing/internal/stored"
	"bitternwing/internal/watchcache"
	"bitternwing/internal/wire"
)

// userRequests handles the requests of users: submissions, lookups and cancellations. A response states only what the
// key-value store has just confirmed, except for final states and cancellations, which never change. A request whose
// response can't be confirmed now is rejected with 503 at once.
type userRequests struct {
	core         *Core
	pendingCount int // requests without a response yet

	comparisonQueue    []*lookup // lookups to be confirmed by a comparison of versions
	comparisonInFlight bool
	nextComparison     time.Duration // earliest time of the next comparison
	lastComparison     time.Duration // when the last comparison was sent

	readQueue     []*lookup // lookups to be answered by reading the job's keys
	readsInFlight int

	submissionQueue    []*submission
	submissionByID     map[string]*submission
	submissionInFlight bool

	// dependentCancellations are the cancellations of dependent jobs that are being written, by job ID.
	dependentCancellations map[string]*dependentCancellation
}

func newUserRequests(c *Core) *userRequests {
	return &userRequests{core: c, submissionByID: map[string]*submission{},
		dependentCancellations: map[string]*dependentCancellation{}}
}

// run sends the queued comparisons, reads and submissions to the key-value store.
func (u *userRequests) run() {
	u.runComparisons()
	u.runReads()
	u.commitSubmissions()
}

// rejectIfOverloaded responds with 429 and returns true if too many requests are pending. Otherwise it counts the
// request as pending.
func (u *userRequests) rejectIfOverloaded(requestID uint64) bool {
	if u.pendingCount >= u.core.operator.MaxPendingRequests {
		u.core.respondRetryLater(requestID, http.StatusTooManyRequests, "too many requests")
		return true
	}
	u.pendingCount++
	return false
}

// respond responds to a pending request.
func (u *userRequests) respond(requestID uint64, status int, body any) {
	u.pendingCount--
	u.core.respond(requestID, status, body)
}

// respondIndeterminate responds with 503 to a pending request whose response can't be confirmed now.
func (u *userRequests) respondIndeterminate(requestID uint64) {
	u.pendingCount--
	u.core.respondRetryLater(requestID, http.StatusServiceUnavailable, "can't be confirmed now")
}

// noSuchJob is the response body for a job that was never accepted.
var noSuchJob = wire.ErrorBody{Error: "no such job"}

// finalJobResponse returns the response with the state of an ended job.
func finalJobResponse(id string, final stored.FinalState) wire.JobResponse {
	running := 0
	return wire.JobResponse{ID: id, Status: final.State, Done: &final.Done, Running: &running}
}

// activeJobResponse returns the response with the state of an active job.
func (c *Core) activeJobResponse(id string, job *watchcache.Job) wire.JobResponse {
	counts := c.taskCountsOf(id)
	response := wire.JobResponse{ID: id, Status: wire.JobPending, Running: &counts.Running, Done: &counts.Done}
	switch {
	case job.Cancelled():
		response.Status = wire.JobCancelled
	case counts.Running > 0:
		response.Status = wire.JobRunning
	}
	return response
}

// taskCountsOf returns the counts of a job's tasks. A leader counts them itself, and other nodes use the counts that
// the leader has written.
func (c *Core) taskCountsOf(id string) stored.TaskCounts {
	if c.leader != nil {
		if j := c.leader.jobs[id]; j != nil {
			return j.taskCounts()
		}
	}
	return c.cache.TaskCounts(id)
}

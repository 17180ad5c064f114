package core

import (
	"net/http"

	"bitternwing/internal/watchcache"
	"bitternwing/internal/wire"
)

// dependencyCheck checks whether all jobs that a submission depends on were accepted.
type dependencyCheck struct {
	requests      *userRequests
	request       SubmitJob
	pendingReads  int    // reads without a result yet
	indeterminate bool   // the result of a read is unknown
	rejectedID    string // ID of a dependency that does not exist or never ends by itself; empty if there is none
}

// submitWithDependencies queues a submission that depends on other jobs, once each of them is known to have been
// accepted. Dependencies that are not in this node's cache are read from the key-value store, because the cache may be
// behind another node's and forgets jobs that ended long ago.
func (u *userRequests) submitWithDependencies(in SubmitJob) {
	check := &dependencyCheck{requests: u, request: in}
	uncached := check.examineCached()
	if len(uncached) > 0 && len(u.readQueue) > u.core.operator.MaxPendingRequests {
		u.respondIndeterminate(in.RequestID) // the queue of reads is full
		return
	}
	check.pendingReads = len(uncached)
	for _, id := range uncached {
		read := dependencyRead{check: check, id: id}
		u.readQueue = append(u.readQueue, &lookup{id: id, existenceOnly: true, onResult: read.applyResult})
	}
	if check.pendingReads == 0 {
		check.decide()
	}
}

// examineCached examines the dependencies that are in the cache and returns those that have to be read. It returns none
// if a dependency is rejected.
func (d *dependencyCheck) examineCached() (uncached []string) {
	cache := d.requests.core.cache
	for _, id := range d.request.Job.Dependencies {
		job := cache.Job(id)
		_, ended := cache.FinalState(id)
		switch {
		case job != nil:
			d.examine(id, job)
		case ended:
		case !wire.ValidJobID(id):
			d.rejectedID = id
		default:
			uncached = append(uncached, id)
		}
	}
	if d.rejectedID != "" {
		return nil
	}
	return uncached
}

// examine rejects a dependency on a service, which never ends by itself.
func (d *dependencyCheck) examine(id string, job *watchcache.Job) {
	if job.Spec.Kind == wire.KindService {
		d.rejectedID = id
	}
}

// dependencyRead is a read of a dependency from the key-value store.
type dependencyRead struct {
	check *dependencyCheck
	id    string
}

func (d dependencyRead) applyResult(result lookupResult) {
	check := d.check
	check.pendingReads--
	switch result.state {
	case lookupIndeterminate:
		check.indeterminate = true
	case lookupNotFound:
		check.rejectedID = d.id
	case lookupActive:
		check.examine(d.id, result.job)
	case lookupEnded:
	}
	if check.pendingReads == 0 {
		check.decide()
	}
}

// decide queues the submission if all of its dependencies were accepted, and otherwise responds to the request.
func (d *dependencyCheck) decide() {
	u := d.requests
	switch {
	case d.rejectedID != "":
		// The text is the same for every cause, so that it discloses nothing about another user's job.
		u.respondIdempotent(d.request, rejection{
			status: http.StatusUnprocessableEntity,
			reason: wire.FieldDependencies + ": " + d.rejectedID + " can't be waited for",
		})
	case d.indeterminate:
		u.respondIndeterminate(d.request.RequestID)
	default:
		u.enqueueSubmission(d.request)
	}
}

package core

import (
	"net/http"

	"bitternwing/internal/watchcache"
	"bitternwing/internal/wire"
)

// dependencyCheck finds out whether all jobs that a submission depends on were accepted.
type dependencyCheck struct {
	requests      *userRequests
	request       SubmitJob
	pendingReads  int    // reads without a result
	indeterminate bool   // one of them could not be answered
	rejected      string // a job on which none can depend
}

// submitWithDependencies takes a submission that depends on other jobs, once the key-value store has confirmed of
// each that it was accepted: this node's own view may be behind another's, and a job may have ended long ago.
func (u *userRequests) submitWithDependencies(in SubmitJob) {
	check := &dependencyCheck{requests: u, request: in}
	unknown := check.examineCached()
	if len(unknown) > 0 && len(u.reads) > u.core.operator.MaxPendingRequests {
		u.respondIndeterminate(in.RequestID) // the queue of reads is full
		return
	}
	check.pendingReads = len(unknown)
	for _, id := range unknown {
		read := dependencyRead{check: check, id: id}
		u.reads = append(u.reads, &lookup{id: id, existenceOnly: true, then: read.apply})
	}
	if check.pendingReads == 0 {
		check.decide()
	}
}

// examineCached examines the dependencies that this node knows and gives those that have to be read. None have to
// once one is rejected.
func (d *dependencyCheck) examineCached() (unknown []string) {
	cache := d.requests.core.cache
	for _, id := range d.request.Job.Dependencies {
		job := cache.Job(id)
		_, ended := cache.FinalState(id)
		switch {
		case job != nil:
			d.examine(id, job)
		case ended:
		case !wire.ValidJobID(id):
			d.rejected = id
		default:
			unknown = append(unknown, id)
		}
	}
	if d.rejected != "" {
		return nil
	}
	return unknown
}

// examine rejects a dependency that never ends by itself.
func (d *dependencyCheck) examine(id string, job *watchcache.Job) {
	if job.Spec.Kind == wire.KindService {
		d.rejected = id
	}
}

// dependencyRead is a dependency that is read from the key-value store.
type dependencyRead struct {
	check *dependencyCheck
	id    string
}

func (d dependencyRead) apply(result lookupResult) {
	check := d.check
	check.pendingReads--
	switch result.state {
	case lookupIndeterminate:
		check.indeterminate = true
	case lookupNotFound:
		check.rejected = d.id
	case lookupActive:
		check.examine(d.id, result.job)
	case lookupEnded:
	}
	if check.pendingReads == 0 {
		check.decide()
	}
}

// decide has the submission committed if all of its dependencies were accepted.
func (d *dependencyCheck) decide() {
	u := d.requests
	switch {
	case d.rejected != "":
		// The same words whatever the cause: nothing is disclosed of another's job.
		u.respondIdempotent(d.request, rejection{status: http.StatusUnprocessableEntity, reason: wire.FieldDependencies + ": " + d.rejected + " can't be waited for"})
	case d.indeterminate:
		u.respondIndeterminate(d.request.RequestID)
	default:
		u.enqueueSubmission(d.request)
	}
}

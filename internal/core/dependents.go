package core

import (
	"bitternwing/internal/dependency"
	"bitternwing/internal/wire"
)

// This file is what users' requests do about jobs that need others.

// dependencyCheck finds out whether all jobs that a submission names were accepted.
type dependencyCheck struct {
	request       SubmitJob
	pendingReads  int    // reads without an answer
	indeterminate bool   // one could not be answered
	rejected      string // a job that can't be needed
}

// submitWithDependencies takes a submission that needs other jobs, once the state service has said of each that
// it was accepted: this node's own view may be behind another's, and a job may have ended long ago.
func (u *userRequests) submitWithDependencies(in SubmitJob) {
	check := &dependencyCheck{request: in}
	var unknown []string
	for _, id := range in.Job.Dependencies {
		e, seen := u.core.cache.jobs[id], false
		if e == nil {
			_, seen = u.core.cache.finals[id]
		}
		switch {
		case e != nil:
			check.examine(id, e)
		case !seen && !wire.ValidJobID(id):
			check.rejected = id
		case !seen:
			unknown = append(unknown, id)
		}
	}
	if check.rejected != "" {
		unknown = nil
	}
	if len(unknown) > 0 && len(u.reads) > u.core.operator.MaxPendingRequests {
		u.respondIndeterminate(in.RequestID) // the queue of reads is full
		return
	}
	check.pendingReads = len(unknown)
	for _, id := range unknown {
		u.reads = append(u.reads, &lookup{id: id, existenceOnly: true, then: func(f lookupResult) {
			check.pendingReads--
			switch {
			case f.indeterminate:
				check.indeterminate = true
			case f.entry != nil:
				check.examine(id, f.entry)
			case f.final == nil:
				check.rejected = id
			}
			if check.pendingReads == 0 {
				u.decideSubmission(check)
			}
		}})
	}
	if check.pendingReads == 0 {
		u.decideSubmission(check)
	}
}

// examine refuses a needed job that never ends by itself.
func (n *dependencyCheck) examine(id string, e *cachedJob) {
	if e.Spec.Kind == wire.KindService {
		n.rejected = id
	}
}

func (u *userRequests) decideSubmission(check *dependencyCheck) {
	switch {
	case check.rejected != "":
		// The same words whatever the cause: nothing is told of another's job.
		u.respondIdempotent(check.request, rejection{status: 422, reason: wire.FieldDependencies + ": " + check.rejected + " can't be waited for"})
	case check.indeterminate:
		u.respondIndeterminate(check.request.RequestID)
	default:
		u.enqueue(check.request)
	}
}

// mayDisclose tells whether users may be told the state of an active job as its own key has it. If not, it
// sees to the answer: a job that needs a cancelled one is cancelled with it, and where the end of one
// that it needs is not known here yet nothing can be said.
func (u *userRequests) mayDisclose(id string, e *cachedJob, then func(lookupResult)) bool {
	switch u.core.dependencies.graph.Of(id).State {
	case dependency.Unresolved:
		then(lookupResult{indeterminate: true})
		return false
	case dependency.Cancelled:
		u.cancelDependent(id, e, then)
		return false
	case dependency.Ready, dependency.Waiting:
	}
	return true
}

// cancelDependent cancels a job that needs a cancelled one, for whoever asks about it. The leader does so
// as well, in its own time. Several who ask at once share one write.
func (u *userRequests) cancelDependent(id string, e *cachedJob, then func(lookupResult)) {
	asking, busy := u.cancelling[id]
	u.cancelling[id] = append(asking, then)
	if busy {
		return
	}
	u.commitCancel(id, e, func(r cancelResult) {
		asking := u.cancelling[id]
		delete(u.cancelling, id)
		for _, then := range asking {
			switch r {
			case cancelAcknowledged:
				then(lookupResult{entry: u.core.entryAfterCancellation(id, e)})
			case cancelConflict:
				u.reads = append(u.reads, &lookup{id: id, then: then})
			case cancelIndeterminate:
				then(lookupResult{indeterminate: true})
			}
		}
	})
}

// entryAfterCancellation gives a job as it is after its cancellation was written.
func (c *Core) entryAfterCancellation(id string, before *cachedJob) *cachedJob {
	if e := c.cache.jobs[id]; e.cancelled() {
		return e
	}
	e := *before
	e.CancelledMS = max(1, c.now.WallMS)
	return &e
}

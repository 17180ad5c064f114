package core

import (
	"encoding/json"
	"slices"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
)

// queueCancel queues a job to be cancelled by the leader itself, such as one that depends on a cancelled job.
func (w *writer) queueCancel(j *job) {
	if !slices.Contains(w.cancels, j) {
		w.cancels = append(w.cancels, j)
	}
}

// batchedCancel is the cancellation of a job in a write batch.
type batchedCancel struct {
	job   *job
	value json.RawMessage
}

// addCancels adds queued cancellations to a batch while there is room.
func (w *writer) addCancels(b *writeBatch) {
	n := 0
	for n < len(w.cancels) && b.hasRoom(1) && w.addCancel(b, w.cancels[n]) {
		n++
	}
	w.cancels = append(w.cancels[:0], w.cancels[n:]...)
}

// addCancel adds the cancellation of a job to a batch, unless the job is already cancelled or has ended. It returns
// false if the batch has no room for the job's value, which may be large: it names all jobs that the job depends on.
func (w *writer) addCancel(b *writeBatch, j *job) bool {
	c := w.leader.core
	cached := c.cache.Job(j.id)
	if w.leader.jobs[j.id] != j || j.cancelled || cached == nil {
		return true
	}
	cancelled := cached.Job
	cancelled.CancelledMS = max(1, c.now.WallMS)
	value, err := cancelled.EncodeWithin(c.limits.maxValueBytes())
	if err != nil {
		return true
	}
	if !b.hasBytes(len(value)) {
		return false
	}
	key := stored.JobKey(j.id)
	b.addCondition(key, cached.Version)
	b.put(key, value)
	b.cancels = append(b.cancels, batchedCancel{j, value})
	return true
}

// applyCancelResult handles the result of a batched cancellation. The job is queued again unless it is now known to be
// cancelled.
func (w *writer) applyCancelResult(cancel batchedCancel, r Result, failedKeys map[string]bool) {
	j := cancel.job
	switch {
	case r.Outcome == outcome.OK:
		w.leader.core.applyJobIfNewer(j.id, cancel.value, r.Txn.Revision, fromWrite)
	case failedKeys[stored.JobKey(j.id)]:
		w.rereadJob(j) // another node has changed the job's key first
	}
	if w.leader.jobs[j.id] == j && !j.cancelled {
		w.queueCancel(j)
	}
}

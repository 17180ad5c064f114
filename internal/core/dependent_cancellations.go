package core

import (
	"encoding/json"
	"slices"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
)

// queueCancel has a job cancelled that needs a cancelled one.
func (w *writer) queueCancel(j *job) {
	if !slices.Contains(w.cancels, j) {
		w.cancels = append(w.cancels, j)
	}
}

// cancelledJob is a job whose cancellation is in a batch, with its value.
type cancelledJob struct {
	job   *job
	value json.RawMessage
}

// addCancels adds the cancellations of jobs that need a cancelled one.
func (w *writer) addCancels(b *writeBatch) {
	l, c := w.leader, w.leader.core
	n := 0
	for ; n < len(w.cancels) && b.hasRoom(1); n++ {
		j := w.cancels[n]
		e := c.cache.Job(j.id)
		if l.jobs[j.id] != j || j.cancelled || e == nil {
			continue
		}
		v := e.Job
		v.CancelledMS = max(1, c.now.WallMS)
		value, err := v.EncodeWithin(c.limits.maxValueBytes())
		if err != nil {
			continue
		}
		key := stored.JobKey(j.id)
		b.addCondition(key, e.Version)
		b.put(key, value)
		b.cancels = append(b.cancels, cancelledJob{j, value})
	}
	w.cancels = append(w.cancels[:0], w.cancels[n:]...)
}

// applyCancelResult takes what became of the cancellation of a job that needs a cancelled one.
func (w *writer) applyCancelResult(x cancelledJob, r Result, failed map[string]bool) {
	switch {
	case r.Outcome == outcome.OK:
		w.leader.core.applyJobIfNewer(x.job.id, x.value, r.Txn.Revision, fromWrite)
	case failed[stored.JobKey(x.job.id)]:
		w.rereadJob(x.job) // another node was quicker
	}
	if w.leader.jobs[x.job.id] == x.job && !x.job.cancelled {
		w.queueCancel(x.job)
	}
}

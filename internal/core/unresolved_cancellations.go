package core

import "bitternwing/internal/wire"

const (
	// maxUnresolvedBytes bounds the unresolved jobs in a node's status.
	maxUnresolvedBytes = 32 << 10
	// unresolvedOverheadBytes is what a job takes in the status beside its ID.
	unresolvedOverheadBytes = 2
)

// hasResolved tells whether nothing of a cancelled job can start any more, or run without being seen.
func (l *leader) hasResolved(id string) bool {
	j := l.jobs[id]
	return l.recovered && (j == nil || !l.unresolved(j))
}

// unresolved tells whether a task of a cancelled job may start yet, its start or its image being on the way, or is left
// in a zone whose nodes renew its lease while it is isolated.
func (l *leader) unresolved(j *job) bool {
	for _, p := range j.placements {
		if p.phase < phaseReported || p.state == wire.TaskFetching || l.core.members.ZoneRenewsOwnLeases(p.machine.zone) {
			return true
		}
	}
	return false
}

// unresolvedJobs gives the cancelled jobs that are not resolved, as many as a node's status holds, and whether there are
// more.
func (l *leader) unresolvedJobs() (listed []string, more bool) {
	size := 0
	for _, id := range l.allUnresolvedJobs() {
		size += len(id) + unresolvedOverheadBytes
		if size > maxUnresolvedBytes {
			more = true
			continue
		}
		listed = append(listed, id)
	}
	return listed, more
}

// allUnresolvedJobs gives all cancelled jobs that are not resolved. Before a leader has recovered the state these are all.
func (l *leader) allUnresolvedJobs() []string {
	var ids []string
	if !l.recovered {
		for _, id := range l.core.cache.JobIDs() {
			if l.core.cache.Job(id).Cancelled() {
				ids = append(ids, id)
			}
		}
		return ids
	}
	for _, j := range l.queue {
		if j.cancelled && l.unresolved(j) {
			ids = append(ids, j.id)
		}
	}
	return ids
}

package core

import "bitternwing/internal/wire"

const (
	// maxUnresolvedBytes bounds the unresolved jobs in a node's status.
	maxUnresolvedBytes = 32 << 10
	// unresolvedOverheadBytes is the encoded size of a job in the status without its ID.
	unresolvedOverheadBytes = 2
)

// hasResolved reports whether no task of a cancelled job can start any more or run unobserved.
func (l *leader) hasResolved(id string) bool {
	j := l.jobs[id]
	return l.recovered && (j == nil || !l.isUnresolved(j))
}

// isUnresolved reports whether a task of a cancelled job may still start, because its start command is in flight or its
// image is being fetched, or is left in a zone whose nodes renew leases while the zone is isolated.
func (l *leader) isUnresolved(j *job) bool {
	for _, p := range j.placements {
		if p.phase < phaseReported || p.state == wire.TaskFetching || l.core.members.ZoneRenewsOwnLeases(p.machine.zone) {
			return true
		}
	}
	return false
}

// unresolvedJobs returns the cancelled jobs that are not resolved, as many as fit into a node's status, and whether
// there are more.
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

// allUnresolvedJobs returns all cancelled jobs that are not resolved. Until the leader has recovered the state, that is
// every cancelled job.
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
		if j.cancelled && l.isUnresolved(j) {
			ids = append(ids, j.id)
		}
	}
	return ids
}

package core

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"bitternwing/internal/membership"
	"bitternwing/internal/watchcache"
)

// cancellationReplicator replicates cancellations to all nodes before they are confirmed to users.
//
// Any node may be renewing workers' leases: as the leader, on behalf of an unreachable leader, or during a store
// outage. A task keeps running if the node that renews its worker's lease does not know that the job is cancelled. A
// node therefore confirms a cancellation to a user only once one of these holds:
//   - Each other node has acknowledged the cancellation, either by having read the store up to its revision or by
//     accepting it from this node, and the leader has resolved it: no task of the job can start any more, and none is
//     left in a zone that renews its own leases while isolated.
//   - The job has ended. The end is written only when no task of the job is left on any machine.
//
// Until then users get 503, as for everything that can't be confirmed. A restarted node has lost its state, but it
// renews no leases before it has read the jobs, and that read is later than the write of any cancellation that its
// earlier incarnation acknowledged. The only exception is that it renews leases in its own zone while the zone is
// isolated, and no task of a job with a confirmed cancellation is left there.
type cancellationReplicator struct {
	core    *Core
	pending []*pendingCancellation // in order of arrival
}

// pendingCancellation is a cancellation that is not yet acknowledged by all other nodes and resolved by the leader.
type pendingCancellation struct {
	cancellation   Cancellation
	waitingSince   time.Duration // when the first of the current waiters was added
	acknowledgedBy map[*membership.Peer]bool
	waiters        []func(confirmed bool)
}

// Cancellation is the key of a cancelled job as it is stored in the key-value store.
type Cancellation struct {
	Job     string
	Value   json.RawMessage
	Version uint64
}

const (
	// maxCancellationBytes bounds the cancellations in a message to another node.
	maxCancellationBytes = 32 << 10
	// cancellationOverheadBytes is the size of a cancellation in a message without its value.
	cancellationOverheadBytes = 64
	// pendingCancellationsPerRequest bounds the pending cancellations, as a multiple of the limit on users' pending
	// requests.
	pendingCancellationsPerRequest = 4
)

// awaitConfirmation reports to a callback whether a job's cancellation may be confirmed to users. It calls back at once
// if all nodes are known to have acknowledged the cancellation and the leader to have resolved it. Otherwise it calls
// back once that is known, or once it can't be confirmed in time.
func (r *cancellationReplicator) awaitConfirmation(id string, job *watchcache.Job, onResult func(confirmed bool)) {
	if r.acknowledgedByAll(job.Version, nil) && r.resolvedByLeaders(id) {
		onResult(true)
		return
	}
	pending := r.findPending(id)
	if pending == nil {
		value, err := job.Encode()
		if err != nil {
			onResult(false)
			return
		}
		pending = r.add(Cancellation{Job: id, Value: value, Version: job.Version})
	}
	if len(pending.waiters) == 0 {
		pending.waitingSince = r.core.now.Steady
	}
	pending.waiters = append(pending.waiters, onResult)
	r.resolvePending()
}

// findPending returns the pending cancellation of a job, or nil if there is none.
func (r *cancellationReplicator) findPending(id string) *pendingCancellation {
	for _, pending := range r.pending {
		if pending.cancellation.Job == id {
			return pending
		}
	}
	return nil
}

// add adds a pending cancellation. If there are too many, it drops the oldest one: its waiting users get 503, and a
// repeated request adds it again.
func (r *cancellationReplicator) add(cancellation Cancellation) *pendingCancellation {
	if len(r.pending) >= pendingCancellationsPerRequest*r.core.operator.MaxPendingRequests {
		r.pending[0].complete(false)
		r.pending = slices.Delete(r.pending, 0, 1)
	}
	pending := &pendingCancellation{cancellation: cancellation, acknowledgedBy: map[*membership.Peer]bool{}}
	r.pending = append(r.pending, pending)
	return pending
}

// acknowledged reports whether a peer is known to have the cancellation.
func (p *pendingCancellation) acknowledged(peer *membership.Peer) bool {
	return peer.Revision() >= p.cancellation.Version || p.acknowledgedBy[peer]
}

// complete calls back all waiters with whether the cancellation may be confirmed to users.
func (p *pendingCancellation) complete(confirmed bool) {
	waiters := p.waiters
	p.waiters = nil
	for _, onResult := range waiters {
		onResult(confirmed)
	}
}

// acknowledgedByAll reports whether all other nodes have a cancellation that was written at a version. The pending
// cancellation is nil if it has not been sent to them.
func (r *cancellationReplicator) acknowledgedByAll(version uint64, pending *pendingCancellation) bool {
	for _, peer := range r.core.members.Peers() {
		if peer.Revision() < version && (pending == nil || !pending.acknowledgedBy[peer]) {
			return false
		}
	}
	return true
}

// resolvedByLeaders reports whether every node that is known to lead has resolved a cancelled job. It returns false if
// no node is known to lead.
func (r *cancellationReplicator) resolvedByLeaders(id string) bool {
	c := r.core
	if c.leader != nil && !c.leader.hasResolved(id) {
		return false
	}
	hasLeader := c.leader != nil
	for _, peer := range c.members.Peers() {
		if !c.members.Leads(peer, c.now.Steady) {
			continue
		}
		hasLeader = true
		if peer.Unresolved(id) {
			return false
		}
	}
	return hasLeader
}

// resolveTimeout returns how long a user's request waits for the leader to resolve a job by stopping its tasks, which
// takes a round trip to each machine.
func (r *cancellationReplicator) resolveTimeout() time.Duration {
	return r.core.times.checkInterval / 2
}

// awaitingLeader reports whether a peer leads while users wait for cancelled jobs to be resolved.
func (r *cancellationReplicator) awaitingLeader(peer *membership.Peer) bool {
	hasWaiters := func(pending *pendingCancellation) bool { return len(pending.waiters) > 0 }
	return peer.Status().Leading && slices.ContainsFunc(r.pending, hasWaiters)
}

// resolvePending calls back the waiters of pending cancellations whose outcome is known. A cancellation is confirmed if
// all nodes have acknowledged it and the leader has resolved it. It can't be confirmed if a node that has not
// acknowledged it is unreachable, or if the leader does not resolve it in time.
func (r *cancellationReplicator) resolvePending() {
	remaining := r.pending[:0]
	for _, pending := range r.pending {
		if !r.resolve(pending) {
			remaining = append(remaining, pending)
		}
	}
	clear(r.pending[len(remaining):])
	r.pending = remaining
}

// resolve calls back the waiters of a pending cancellation if its outcome is known. It reports whether the cancellation
// is confirmed and need not be kept.
func (r *cancellationReplicator) resolve(pending *pendingCancellation) bool {
	deadline := pending.waitingSince + r.resolveTimeout()
	switch {
	case !r.acknowledgedByAll(pending.cancellation.Version, pending):
	case r.resolvedByLeaders(pending.cancellation.Job):
		pending.complete(true)
		return true
	case len(pending.waiters) == 0:
	case r.core.now.Steady < deadline:
		r.core.wakeBy(deadline)
	default:
		pending.complete(false)
	}
	for _, peer := range r.core.members.Peers() {
		if !pending.acknowledged(peer) && !peer.Reachable() {
			pending.complete(false)
			break
		}
	}
	return false
}

// unacknowledgedBy returns the pending cancellations that a peer has not acknowledged, as many as fit into a message.
func (r *cancellationReplicator) unacknowledgedBy(peer *membership.Peer) []*pendingCancellation {
	var unacknowledged []*pendingCancellation
	size := 0
	for _, pending := range r.pending {
		if pending.acknowledged(peer) {
			continue
		}
		size += len(pending.cancellation.Value) + cancellationOverheadBytes
		if size > maxCancellationBytes && len(unacknowledged) > 0 {
			break
		}
		unacknowledged = append(unacknowledged, pending)
	}
	return unacknowledged
}

// drop removes the cancellation of a job whose end has been written, since it no longer has to be replicated.
func (r *cancellationReplicator) drop(id string) {
	pending := r.findPending(id)
	if pending == nil {
		return
	}
	i := slices.Index(r.pending, pending)
	r.pending = slices.Delete(r.pending, i, i+1)
	pending.complete(true)
}

// handleReplicatedCancellations applies cancellations that another node sent. They take effect at once, whether or not
// this node leads.
func (c *Core) handleReplicatedCancellations(cancellations []Cancellation) {
	for _, cancellation := range cancellations {
		c.applyJobIfNewer(cancellation.Job, cancellation.Value, cancellation.Version, fromPeer)
	}
}

// applyJobIfNewer applies a job's key that was read, written or received to the cache without waiting for the watch. It
// ignores a version that is no newer than the cache's revision: that version is in the cache already, or was deleted
// since.
func (c *Core) applyJobIfNewer(id string, value json.RawMessage, version uint64, source updateSource) {
	if version <= c.cache.Revision() && c.cache.Ready() {
		return
	}
	c.applyJob(id, value, version, source)
}

// logConfirmedCancellation logs that a cancellation is confirmed to a user, and which nodes lead as far as this node
// knows. They have reported that no task of the job can start any more.
func (c *Core) logConfirmedCancellation(job string, version uint64) {
	if c.omitDebug {
		return
	}
	var leaders []string
	if c.leader != nil {
		leaders = append(leaders, fmt.Sprintf("%s:%d", c.settings.Node, c.leader.term))
	}
	for _, p := range c.members.Peers() {
		if c.members.Leads(p, c.now.Steady) {
			leaders = append(leaders, fmt.Sprintf("%s:%d", p.Name(), p.Status().Term))
		}
	}
	c.log(Debug, "cancellation confirmed", "job", job, "version", version, "resolved_by", strings.Join(leaders, ","))
}

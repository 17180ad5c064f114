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

// cancellationReplicator makes cancellations known to all nodes before users are told of them.
//
// Any node may be renewing workers' leases: as the leader, in its place, or for as long as a store outage lasts. What
// such a node does not know to be cancelled goes on running. So a node tells a user that a job is cancelled only once
//   - each other node has acknowledged it, by the revision that it has read up to or by taking the cancellation from
//     here, and the leader has resolved it: no task of it can start any more and none is left in a zone that renews
//     its own leases when it is isolated, or
//   - the job has ended, which is written only when nothing of it is left on any machine.
//
// Until then users get 503, as for all that can't be confirmed. A node that was restarted has forgotten what it knew. It
// renews no leases before it has read the jobs, which is later than the write of whatever its earlier incarnation had
// acknowledged; except for those of its own zone while that is isolated, where nothing is left of a job whose user was
// told.
type cancellationReplicator struct {
	core    *Core
	pending []*pendingCancellation // in the order in which they came
}

// pendingCancellation is a cancellation that not all other nodes have acknowledged.
type pendingCancellation struct {
	cancellation   Cancellation
	since          time.Duration // when the first of those came who wait
	acknowledgedBy map[*membership.Peer]bool
	waiters        []func(acknowledged bool)
}

// Cancellation is a cancelled job's key as it stands in the key-value store.
type Cancellation struct {
	Job     string
	Value   json.RawMessage
	Version uint64
}

const (
	// maxCancellationBytes bounds the cancellations in a message to another node.
	maxCancellationBytes = 32 << 10
	// cancellationOverheadBytes is what a cancellation takes in a message beside its value.
	cancellationOverheadBytes = 64
	// pendingCancellationsPerRequest bounds the pending cancellations, in those of the pending requests of users.
	pendingCancellationsPerRequest = 4
)

// awaitAcknowledgement hands over whether users may be told of a job's cancellation: at once where that is known, else
// with the other nodes' answers.
func (r *cancellationReplicator) awaitAcknowledgement(id string, job *watchcache.Job, then func(acknowledged bool)) {
	if r.acknowledgedByAll(job.Version, nil) && r.resolvedByLeaders(id) {
		then(true)
		return
	}
	pending := r.pendingOf(id)
	if pending == nil {
		value, err := job.Encode()
		if err != nil {
			then(false)
			return
		}
		pending = r.add(Cancellation{Job: id, Value: value, Version: job.Version})
	}
	if len(pending.waiters) == 0 {
		pending.since = r.core.now.Steady
	}
	pending.waiters = append(pending.waiters, then)
	r.resolvePending()
}

// pendingOf gives the pending cancellation of a job; nil if there is none.
func (r *cancellationReplicator) pendingOf(id string) *pendingCancellation {
	for _, pending := range r.pending {
		if pending.cancellation.Job == id {
			return pending
		}
	}
	return nil
}

// add adds a pending cancellation. Where there are too many the oldest is dropped: its users get their 503, and asking
// again begins anew.
func (r *cancellationReplicator) add(cancellation Cancellation) *pendingCancellation {
	if len(r.pending) >= pendingCancellationsPerRequest*r.core.operator.MaxPendingRequests {
		r.pending[0].complete(false)
		r.pending = slices.Delete(r.pending, 0, 1)
	}
	pending := &pendingCancellation{cancellation: cancellation, acknowledgedBy: map[*membership.Peer]bool{}}
	r.pending = append(r.pending, pending)
	return pending
}

// acknowledged tells whether a node knows the cancellation.
func (p *pendingCancellation) acknowledged(peer *membership.Peer) bool {
	return peer.Revision() >= p.cancellation.Version || p.acknowledgedBy[peer]
}

// complete tells who waits whether users may be told of the cancellation.
func (p *pendingCancellation) complete(acknowledged bool) {
	waiters := p.waiters
	p.waiters = nil
	for _, then := range waiters {
		then(acknowledged)
	}
}

// acknowledgedByAll tells whether all other nodes know a cancellation of this version; pending is nil if it has not been
// sent to them.
func (r *cancellationReplicator) acknowledgedByAll(version uint64, pending *pendingCancellation) bool {
	for _, peer := range r.core.members.Peers() {
		if peer.Revision() < version && (pending == nil || !pending.acknowledgedBy[peer]) {
			return false
		}
	}
	return true
}

// resolvedByLeaders tells whether all who lead say that a cancelled job is resolved. Without a leader nobody can say.
func (r *cancellationReplicator) resolvedByLeaders(id string) bool {
	c := r.core
	if c.leader != nil && !c.leader.hasResolved(id) {
		return false
	}
	led := c.leader != nil
	for _, peer := range c.members.Peers() {
		if !c.members.Leads(peer, c.now.Steady) {
			continue
		}
		led = true
		if peer.Unresolved(id) {
			return false
		}
	}
	return led
}

// resolveTimeout is how long a user waits until a leader's stops have resolved a job. They take a message to the machine
// and back.
func (r *cancellationReplicator) resolveTimeout() time.Duration {
	return r.core.times.checkInterval / 2
}

// awaitingLeader tells whether users wait for a leader to say that a job is resolved.
func (r *cancellationReplicator) awaitingLeader(peer *membership.Peer) bool {
	hasWaiters := func(pending *pendingCancellation) bool { return len(pending.waiters) > 0 }
	return peer.Status().Leading && slices.ContainsFunc(r.pending, hasWaiters)
}

// resolvePending answers who waits: with yes where all nodes know and no task can start, with no where one of those that
// don't know can't be reached, or a start is not resolved in time.
func (r *cancellationReplicator) resolvePending() {
	keep := r.pending[:0]
	for _, pending := range r.pending {
		if !r.resolve(pending) {
			keep = append(keep, pending)
		}
	}
	clear(r.pending[len(keep):])
	r.pending = keep
}

// resolve answers who waits for a pending cancellation; true once it need not be kept.
func (r *cancellationReplicator) resolve(pending *pendingCancellation) bool {
	deadline := pending.since + r.resolveTimeout()
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

// unacknowledgedBy gives the pending cancellations that a node is not known to know, as many as a message holds.
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

// drop drops the cancellation of a job whose end has been written: it need not be replicated any more.
func (r *cancellationReplicator) drop(id string) {
	pending := r.pendingOf(id)
	if pending == nil {
		return
	}
	i := slices.Index(r.pending, pending)
	r.pending = slices.Delete(r.pending, i, i+1)
	pending.complete(true)
}

// handleReplicatedCancellations takes in cancellations that another node sent. They act at once, whatever this node does.
func (c *Core) handleReplicatedCancellations(cancellations []Cancellation) {
	for _, cancellation := range cancellations {
		c.applyJobIfNewer(cancellation.Job, cancellation.Value, cancellation.Version, fromPeer)
	}
}

// applyJobIfNewer takes in a job's key as it was read, written or received, without waiting for the watch. What is no
// newer than the watch has come to is in the cache already, or was deleted since.
func (c *Core) applyJobIfNewer(id string, value json.RawMessage, version uint64, source updateSource) {
	if version <= c.cache.Revision() && c.cache.Ready() {
		return
	}
	c.applyJob(id, value, version, source)
}

// logConfirmedCancellation logs that a user is told of a cancellation, and who led by then as far as this node knows:
// they have said that nothing of the job can start any more.
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
	c.log(Debug, "cancellation acknowledged", "job", job, "version", version, "settled_by", strings.Join(leaders, ","))
}

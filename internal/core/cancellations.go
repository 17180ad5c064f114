package core

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"bitternwing/internal/membership"
	"bitternwing/internal/watchcache"
	"bitternwing/internal/wire"
)

// cancellationReplicator makes cancellations known to all nodes before users are told of them.
//
// Any node may be keeping workers' leases: as the leader, for it, or with the state service
// out of reach and for as long as that lasts. What such a node does not know to be cancelled
// goes on running. So a node tells a user that a job is cancelled only once
//   - each other node has said that it knows, by the revision that it has read up to or by
//     taking the cancellation from here, and the leader that no task of it can start any more
//     and none is left in a zone that keeps itself alive when it is cut off, or
//   - the job is over, which is written only when nothing of it is left on any machine.
//
// Until then users get 503, as for all that can't be confirmed. A node that starts anew has
// forgotten what it knew. It keeps no leases before it has read the jobs, which is later than
// the write of whatever its earlier process had said that it knows; but for those of its own
// zone while that is cut off, where nothing is left of a job whose user was told.
type cancellationReplicator struct {
	core    *Core
	pending []*pendingCancellation // in the order in which they came
}

// pendingCancellation is a cancellation that not all other nodes are known to know.
type pendingCancellation struct {
	cancellation   Cancellation
	since          time.Duration // when the first of those came who wait
	acknowledgedBy map[*membership.Peer]bool
	waiters        []func(acknowledged bool)
}

// Cancellation is a cancelled job's key as it stands in the state service.
type Cancellation struct {
	Job     string
	Value   json.RawMessage
	Version uint64
}

// maxCancellationBytes bounds the cancellations in a message to another node, in bytes.
const maxCancellationBytes = 32 << 10

// maxUnsettledBytes bounds the unsettled jobs in a node's status, in bytes, and listedJobBytes is what each
// takes beside its id.
const (
	maxUnresolvedBytes = 32 << 10
	listedJobBytes     = 2
)

// maxPendingCancellations bounds the pending cancellations that are remembered. Beyond it the oldest goes: its
// users have had their 503, and asking again begins anew.
func (c *Core) maxPendingCancellations() int { return 4 * c.operator.MaxPendingRequests }

// awaitAcknowledgement hands over whether users may be told of a job's cancellation: at once where that is
// known, else with the other nodes' answers.
func (b *cancellationReplicator) awaitAcknowledgement(id string, e *watchcache.Job, then func(acknowledged bool)) {
	if b.acknowledgedByAll(e.Version, nil) && b.resolvedByLeaders(id) {
		then(true)
		return
	}
	i := slices.IndexFunc(b.pending, func(a *pendingCancellation) bool { return a.cancellation.Job == id })
	if i < 0 {
		value, err := e.Encode()
		if err != nil {
			then(false)
			return
		}
		if len(b.pending) >= b.core.maxPendingCancellations() {
			b.complete(b.pending[0], false)
			b.pending = slices.Delete(b.pending, 0, 1)
		}
		i = len(b.pending)
		b.pending = append(b.pending, &pendingCancellation{cancellation: Cancellation{Job: id, Value: value, Version: e.Version}, acknowledgedBy: map[*membership.Peer]bool{}})
	}
	a := b.pending[i]
	if len(a.waiters) == 0 {
		a.since = b.core.now.Steady
	}
	a.waiters = append(a.waiters, then)
	b.resolvePending()
}

// acknowledgedByAll tells whether all other nodes know a cancellation of this version.
func (b *cancellationReplicator) acknowledgedByAll(version uint64, a *pendingCancellation) bool {
	for _, p := range b.core.members.Peers() {
		if p.Revision() < version && (a == nil || !a.acknowledgedBy[p]) {
			return false
		}
	}
	return true
}

// resolvedByLeaders tells whether all who lead say that a cancelled job is settled. Without a leader nobody
// can say.
func (b *cancellationReplicator) resolvedByLeaders(id string) bool {
	c := b.core
	if l := c.leader; l != nil && (!l.recovered || l.jobs[id] != nil && l.unsettled(l.jobs[id])) {
		return false
	}
	led := c.leader != nil
	for _, p := range c.members.Peers() {
		if !c.members.Leads(p, c.now.Steady) {
			continue
		}
		led = true
		if p.Unresolved(id) {
			return false
		}
	}
	return led
}

// unsettled tells whether a task of a cancelled job may start yet, its start or its image being
// on the way, or is left in a zone whose nodes answer its workers while it is cut off.
func (l *leader) unsettled(j *job) bool {
	for _, p := range j.placements {
		if p.phase < phaseReported || p.state == wire.TaskFetching || l.core.members.ZoneRenewsOwnLeases(p.machine.zone) {
			return true
		}
	}
	return false
}

// unsettledJobs gives the cancelled jobs that are not settled, as many as a message to another node holds, and
// whether there are more. Before a leader has read the records it can't say so of any.
func (l *leader) unsettledJobs() (listed []string, more bool) {
	size := 0
	add := func(id string) {
		if size += len(id) + listedJobBytes; size > maxUnresolvedBytes {
			more = true
			return
		}
		listed = append(listed, id)
	}
	if !l.recovered {
		for _, id := range l.core.cache.JobIDs() {
			if l.core.cache.Job(id).CancelledMS != 0 {
				add(id)
			}
		}
		return listed, more
	}
	for _, j := range l.queue {
		if j.cancelled && l.unsettled(j) {
			add(j.id)
		}
	}
	return listed, more
}

// resolveTimeout is how long a user waits until a leader's stops have settled a job. They take a
// message to the machine and back.
func (b *cancellationReplicator) resolveTimeout() time.Duration {
	return b.core.times.checkInterval / 2
}

// awaitingLeader tells whether users wait for a leader to say that a job is settled.
func (b *cancellationReplicator) awaitingLeader(p *membership.Peer) bool {
	return p.Status().Leading && slices.ContainsFunc(b.pending, func(a *pendingCancellation) bool { return len(a.waiters) > 0 })
}

func (b *cancellationReplicator) complete(a *pendingCancellation, acknowledged bool) {
	waiting := a.waiters
	a.waiters = nil
	for _, then := range waiting {
		then(acknowledged)
	}
}

// resolvePending answers who waits: with yes where all nodes know and no task can start, with no where
// one of those that don't know can't be reached, or a start is not settled in time.
func (b *cancellationReplicator) resolvePending() {
	keep := b.pending[:0]
	for _, a := range b.pending {
		switch {
		case !b.acknowledgedByAll(a.cancellation.Version, a):
		case b.resolvedByLeaders(a.cancellation.Job):
			b.complete(a, true)
			continue
		case len(a.waiters) == 0:
		case b.core.now.Steady < a.since+b.resolveTimeout():
			b.core.wakeBy(a.since + b.resolveTimeout())
		default:
			b.complete(a, false)
		}
		keep = append(keep, a)
		for _, p := range b.core.members.Peers() {
			if p.Revision() < a.cancellation.Version && !a.acknowledgedBy[p] && !p.Reachable() {
				b.complete(a, false)
				break
			}
		}
	}
	clear(b.pending[len(keep):])
	b.pending = keep
}

// unacknowledgedBy gives the pending cancellations that a node is not known to know, as many as a message
// holds.
func (b *cancellationReplicator) unacknowledgedBy(p *membership.Peer) []*pendingCancellation {
	var as []*pendingCancellation
	size := 0
	for _, a := range b.pending {
		if p.Revision() >= a.cancellation.Version || a.acknowledgedBy[p] {
			continue
		}
		if size += len(a.cancellation.Value) + 64; size > maxCancellationBytes && len(as) > 0 {
			break
		}
		as = append(as, a)
	}
	return as
}

// drop drops what need not be replicated any more: its job's end has been written.
func (b *cancellationReplicator) drop(id string) {
	for i, a := range b.pending {
		if a.cancellation.Job == id {
			b.pending = slices.Delete(b.pending, i, i+1)
			b.complete(a, true)
			return
		}
	}
}

// handleReplicatedCancellations takes in cancellations that another node sent. They act at once, whoever
// serves this node.
func (c *Core) handleReplicatedCancellations(items []Cancellation) {
	for _, it := range items {
		c.applyJobIfNewer(it.Job, it.Value, it.Version, fromPeer)
	}
}

// applyJobIfNewer takes in a job's key as it was read, written or heard of, without waiting for the
// watch. What is no newer than the watch has come to is in the directory already, or was
// deleted since.
func (c *Core) applyJobIfNewer(id string, value json.RawMessage, version uint64, source updateSource) {
	if version <= c.cache.Revision() && c.cache.Ready() {
		return
	}
	c.applyJob(id, value, version, source)
}

// logConfirmedCancellation logs that a user is told of a cancellation, and who led by then as far as this node knows: they have said
// that nothing of the job can start any more.
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

// newNameSet gives the set of some names; nil for none.
func newNameSet(names []string) map[string]bool {
	if len(names) == 0 {
		return nil
	}
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

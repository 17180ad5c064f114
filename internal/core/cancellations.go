package core

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"bitternwing/internal/call"
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
	c    *Core
	open []*pendingCancellation // in the order in which they came
}

// pendingCancellation is a cancellation that not all other nodes are known to know.
type pendingCancellation struct {
	item    Cancellation
	since   time.Duration // when the first of those came who wait
	known   map[*peer]bool
	waiting []func(acknowledged bool)
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
	maxUnsettledBytes = 32 << 10
	listedJobBytes    = 2
)

// maxPendingCancellations bounds the pending cancellations that are remembered. Beyond it the oldest goes: its
// users have had their 503, and asking again begins anew.
func (c *Core) maxPendingCancellations() int { return 4 * c.op.MaxPendingRequests }

// confirm hands over whether users may be told of a job's cancellation: at once where that is
// known, else with the other nodes' answers.
func (b *cancellationReplicator) confirm(id string, e *entry, then func(acknowledged bool)) {
	if b.acknowledged(e.version, nil) && b.settled(id) {
		then(true)
		return
	}
	i := slices.IndexFunc(b.open, func(a *pendingCancellation) bool { return a.item.Job == id })
	if i < 0 {
		value, err := json.Marshal(e.activeValue)
		if err != nil {
			then(false)
			return
		}
		if len(b.open) >= b.c.maxPendingCancellations() {
			b.end(b.open[0], false)
			b.open = slices.Delete(b.open, 0, 1)
		}
		i = len(b.open)
		b.open = append(b.open, &pendingCancellation{item: Cancellation{Job: id, Value: value, Version: e.version}, known: map[*peer]bool{}})
	}
	a := b.open[i]
	if len(a.waiting) == 0 {
		a.since = b.c.now.Steady
	}
	a.waiting = append(a.waiting, then)
	b.settlePending()
}

// acknowledged tells whether all other nodes know a cancellation of this version.
func (b *cancellationReplicator) acknowledged(version uint64, a *pendingCancellation) bool {
	for _, p := range b.c.peers {
		if p.revision < version && (a == nil || !a.known[p]) {
			return false
		}
	}
	return true
}

// settled tells whether all who lead say that a cancelled job is settled. Without a leader nobody
// can say.
func (b *cancellationReplicator) settled(id string) bool {
	c := b.c
	if l := c.lead; l != nil && (!l.loaded || l.jobs[id] != nil && l.unsettled(l.jobs[id])) {
		return false
	}
	led := c.lead != nil
	for _, p := range c.peers {
		if !c.leads(p) {
			continue
		}
		led = true
		if p.status.UnsettledMore || p.unsettled[id] {
			return false
		}
	}
	return led
}

// unsettled tells whether a task of a cancelled job may start yet, its start or its image being
// on the way, or is left in a zone whose nodes answer its workers while it is cut off.
func (l *leader) unsettled(j *job) bool {
	for _, p := range j.placed {
		if p.phase < seen || p.state == wire.TaskFetching || l.c.keepsItself(p.machine.zone) {
			return true
		}
	}
	return false
}

// keepsItself tells whether a zone has nodes, and others are elsewhere: see zoneCut.
func (c *Core) keepsItself(zone string) bool {
	inside, outside := zone == c.set.Zone, zone != c.set.Zone
	for _, p := range c.peers {
		inside, outside = inside || p.zone == zone, outside || p.zone != zone
	}
	return inside && outside
}

// unsettledJobs gives the cancelled jobs that are not settled, as many as a message to another node holds, and
// whether there are more. Before a leader has read the records it can't say so of any.
func (l *leader) unsettledJobs() (listed []string, more bool) {
	size := 0
	add := func(id string) {
		if size += len(id) + listedJobBytes; size > maxUnsettledBytes {
			more = true
			return
		}
		listed = append(listed, id)
	}
	if !l.loaded {
		for _, id := range slices.Sorted(maps.Keys(l.c.dir.jobs)) {
			if l.c.dir.jobs[id].CancelledMS != 0 {
				add(id)
			}
		}
		return listed, more
	}
	for _, j := range l.order {
		if j.cancelled && l.unsettled(j) {
			add(j.id)
		}
	}
	return listed, more
}

// patience is how long a user waits until a leader's stops have settled a job. They take a
// message to the machine and back.
func (b *cancellationReplicator) patience() time.Duration { return b.c.t.heartbeat / 2 }

// stopping tells whether users wait for a leader to say that a job is settled.
func (b *cancellationReplicator) stopping(p *peer) bool {
	return p.status.Leads && slices.ContainsFunc(b.open, func(a *pendingCancellation) bool { return len(a.waiting) > 0 })
}

func (b *cancellationReplicator) end(a *pendingCancellation, acknowledged bool) {
	waiting := a.waiting
	a.waiting = nil
	for _, then := range waiting {
		then(acknowledged)
	}
}

// settlePending answers who waits: with yes where all nodes know and no task can start, with no where
// one of those that don't know can't be reached, or a start is not settled in time.
func (b *cancellationReplicator) settlePending() {
	keep := b.open[:0]
	for _, a := range b.open {
		switch {
		case !b.acknowledged(a.item.Version, a):
		case b.settled(a.item.Job):
			b.end(a, true)
			continue
		case len(a.waiting) == 0:
		case b.c.now.Steady < a.since+b.patience():
			b.c.at(a.since + b.patience())
		default:
			b.end(a, false)
		}
		keep = append(keep, a)
		for _, p := range b.c.peers {
			if p.revision < a.item.Version && !a.known[p] && !p.reached {
				b.end(a, false)
				break
			}
		}
	}
	clear(b.open[len(keep):])
	b.open = keep
}

// unacknowledgedBy gives the pending cancellations that a node is not known to know, as many as a message
// holds.
func (b *cancellationReplicator) unacknowledgedBy(p *peer) []*pendingCancellation {
	var as []*pendingCancellation
	size := 0
	for _, a := range b.open {
		if p.revision >= a.item.Version || a.known[p] {
			continue
		}
		if size += len(a.item.Value) + 64; size > maxCancellationBytes && len(as) > 0 {
			break
		}
		as = append(as, a)
	}
	return as
}

// over drops what need not be replicated any more: its job's end has been written.
func (b *cancellationReplicator) over(id string) {
	for i, a := range b.open {
		if a.item.Job == id {
			b.open = slices.Delete(b.open, i, i+1)
			b.end(a, true)
			return
		}
	}
}

// receiveCancellations takes in cancellations that another node sent. They act at once, whoever
// serves this node.
func (c *Core) receiveCancellations(items []Cancellation) {
	for _, it := range items {
		c.learn(it.Job, it.Value, it.Version, fromPeer)
	}
}

// learn takes in a job's key as it was read, written or heard of, without waiting for the
// watch. What is no newer than the watch has come to is in the directory already, or was
// deleted since.
func (c *Core) learn(id string, value json.RawMessage, version uint64, source knowledgeSource) {
	if version <= c.dir.revision && c.dir.ready {
		return
	}
	c.applyJob(id, value, version, source)
}

// logConfirmed logs that a user is told of a cancellation, and who led by then as far as this node knows: they have said
// that nothing of the job can start any more.
func (c *Core) logConfirmed(job string, version uint64) {
	if c.omitDebug {
		return
	}
	var leaders []string
	if c.lead != nil {
		leaders = append(leaders, fmt.Sprintf("%s:%d", c.set.Node, c.lead.term))
	}
	for _, p := range c.peers {
		if c.leads(p) {
			leaders = append(leaders, fmt.Sprintf("%s:%d", p.node, p.status.Term))
		}
	}
	c.log(Debug, "cancellation confirmed", "job", job, "version", version, "settled_by", strings.Join(leaders, ","))
}

// setOf gives the set of some names; nil for none.
func setOf(names []string) map[string]bool {
	if len(names) == 0 {
		return nil
	}
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// askPeer asks another node for its status and sends the cancellations that it may not know.
func (c *Core) askPeer(p *peer) {
	as := c.cancels.unacknowledgedBy(p)
	p.asking = true
	p.askedAt = c.now.Steady
	id := c.call(func(r Result) {
		p.asking, p.tried = false, true
		was := p.reached
		p.reached = r.Outcome == call.OK
		if p.reached {
			if !was {
				p.backAt = c.now.Steady
			}
			p.heardAt = c.now.Steady
			p.status = r.Peer
			p.unsettled = setOf(r.Peer.Unsettled)
			p.revision = max(p.revision, r.Peer.Revision)
			p.layouts = max(p.layouts, r.Peer.Layouts)
			p.knowsPlans = p.knowsPlans || r.Peer.KnowsPlans
			for _, a := range as {
				a.known[p] = true
			}
		}
		c.cancels.settlePending()
	})
	ask := PeerAsk{ID: id, Node: p.node}
	for _, a := range as {
		ask.Cancellations = append(ask.Cancellations, a.item)
	}
	c.send(ask)
}

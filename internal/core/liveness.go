package core

import (
	"maps"
	"slices"
	"time"

	"bitternwing/internal/call"
)

// requireToken makes a machine show a token before it gets work: answers and commands may not
// reach it although its reports come. A worker that is reached shows the token at once,
// or with its next report; one that does not for half a lease is given back.
func (l *leader) requireToken(m *machine, token uint64) {
	m.current = max(m.current, token)
	if m.requiredToken == 0 {
		m.tokenRequiredSince = l.c.now.Steady
	}
	m.requiredToken = max(m.requiredToken, token)
	l.changes++
}

// answersLost tells whether a machine's reports have come for half a lease without showing
// that answers reach it.
func (l *leader) answersLost(m *machine) bool {
	now := l.c.now.Steady
	return m.requiredToken != 0 && now-m.heard < l.c.times.heartbeatTimeout && now-max(m.tokenRequiredSince, l.idleAt) > l.c.times.lease/2
}

// watchMachines looks for machines that are silent too long and stops what runs on
// those that will be taken.
func (l *leader) watchMachines() {
	l.watchZones()
	entitled := l.entitled()
	if !entitled {
		l.idleAt = l.c.now.Steady
	}
	for _, m := range l.fleet {
		if entitled {
			l.releaseUnheard(m)
		}
		if m.notice || m.faulty {
			l.drain(m)
		}
		if entitled {
			l.inspect(m)
		}
	}
}

// releaseUnheard gives back a machine that is silent too long, or that answers don't reach.
func (l *leader) releaseUnheard(m *machine) {
	if (m.up || m.seenUp) && !m.releasing && l.c.now.Steady >= l.silentUntil(m) {
		l.rentals.release(m, releaseSilent)
	}
	if l.answersLost(m) {
		l.rentals.release(m, releaseUnreached)
	}
}

// zoneSilence counts a zone's machines that have reported at some time.
type zoneSilence struct {
	total   int
	silent  int // not heard of lately, here or by another node
	unheard int // not heard lately by this node itself
}

// manySilent tells whether it is rather the network or a change of leaders than the machines. In
// the leader's own zone it is the network only where nearly all are out of its reach: what cuts
// zones apart takes none out of reach there, so the rest is dead, hangs or is cut off from
// everybody. There it counts what this node itself hears. Were reports that others pass on to
// count, the first of them would turn all that have yet to find another node into single
// silent machines, to be released at once.
func (z *zoneSilence) manySilent(ownZone bool) bool {
	if ownZone {
		return z.unheard > fewMachines && z.unheard*4 > 3*z.total
	}
	return z.silent > fewMachines && z.silent*4 > z.total
}

// manyUnheard tells whether much of a zone is out of this node's reach, whoever keeps it.
func (z *zoneSilence) manyUnheard() bool { return z.unheard > fewMachines && z.unheard*4 > z.total }

// fewMachines of a zone that are silent at once are taken for single ones, whatever share they are.
const fewMachines = 3

// watchZones finds the zones much of which is silent or out of this node's reach.
func (l *leader) watchZones() {
	now := l.c.now.Steady
	zones := l.zoneSilences()
	l.apart = nil
	clear(l.cutZones)
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		z := zones[zone]
		if z.manyUnheard() {
			l.apart = append(l.apart, zone)
		}
		if !z.manySilent(zone == l.c.settings.Zone) {
			continue
		}
		l.cutZones[zone] = l.c.zoneIsolated(zone)
		if l.cutZones[zone] {
			l.outAt[zone] = now
		}
	}
}

func (l *leader) zoneSilences() map[string]*zoneSilence {
	zones := map[string]*zoneSilence{}
	for _, m := range l.fleet {
		if !m.up && !m.seenUp {
			continue
		}
		z := zones[m.zone]
		if z == nil {
			z = &zoneSilence{}
			zones[m.zone] = z
		}
		z.total++
		if l.quietSince(m, m.lastHeard()) {
			z.silent++
		}
		if l.quietSince(m, max(m.heard, m.reached)) {
			z.unheard++
		}
	}
	return zones
}

// quietSince tells whether a machine has been silent since a moment a third of a lease ago.
func (l *leader) quietSince(m *machine, at time.Duration) bool {
	return l.c.now.Steady-at > l.c.pacer.Patience(l.c.times.lease/3, m.lastHold)
}

// inspect asks a machine directly that has not reported here for a while: one that hangs,
// is dead or out of reach does not answer; one that has yet to find the leader does, and
// shows what it has.
func (l *leader) inspect(m *machine) {
	now := l.c.now.Steady
	if m.lastHeard() > m.inspectedAt {
		m.unansweredInspections = 0
	}
	if !m.up && !m.seenUp || m.releasing || m.inspecting || m.addr == "" || l.inspecting >= l.c.maxStatusQueries() ||
		now-max(m.heard, m.reached) < l.c.pacer.Patience(l.c.times.lease/4, m.lastHold) || now-m.inspectedAt < l.c.times.checkInterval {
		return
	}
	m.inspecting, m.inspectedAt = true, now
	l.inspecting++
	id := l.call(func(r Result) {
		m.inspecting = false
		l.inspecting--
		switch {
		case r.Outcome == call.Dropped:
			// It was not asked at all.
		case r.Outcome != call.OK:
			m.unansweredInspections++
		case r.Heartbeat.Machine == m.name:
			m.reached = l.c.now.Steady
			l.relayed(&r.Heartbeat, true)
		}
	})
	l.c.emit(QueryWorker{CallID: id, Addr: m.addr})
}

// maxStatusQueries and mostOrders bound the sockets that questions to silent machines and
// direct orders take.
func (c *Core) maxStatusQueries() int  { return max(4, c.settings.Params.Limits.MaxConnections/40) }
func (c *Core) maxDirectCommands() int { return max(4, c.settings.Params.Limits.MaxConnections/12) }

// silentUntil tells until when a machine may be silent.
func (l *leader) silentUntil(m *machine) time.Duration {
	limit := time.Duration(float64(l.c.times.lease) * l.c.operator.SilentLeases)
	lease := max(limit, l.c.times.lease)
	due := m.lastHeard() + limit
	out, many := l.cutZones[m.zone]
	switch {
	case out:
		// Its own nodes keep its workers alive; dead machines show in the cloud's list.
		due = m.lastHeard() + time.Duration(float64(lease)*l.c.operator.CutLeases)
	case many, m.zone != l.c.settings.Zone && slices.Contains(l.apart, m.zone), !m.up && m.unansweredInspections < 2:
		// Much of a zone is silent, or out of this node's reach and kept by others: its workers
		// may be on their way to a node that keeps them, the last few as well. Or a worker has yet to find
		// this leader. By then its tasks are gone with its lease, or it was heard of: who
		// keeps it tells within half a heartbeat interval.
		due = m.lastHeard() + lease*11/10
	case m.unansweredInspections >= 2 && (m.relayedAt == 0 || l.c.now.Steady-m.relayedAt > 2*lease):
		due = m.lastHeard() + limit*5/8
	}
	// Workers have to find their way back first: those of a zone that was cut off, and all
	// after a time in which this leader could not answer.
	due = max(due, l.idleAt+limit)
	if !m.up {
		// What the last leader told of it may be a heartbeat interval old, and it has to find this one.
		due = max(due, l.since+lease/2)
	}
	if at, was := l.outAt[m.zone]; was {
		due = max(due, at+lease)
	}
	return due
}

// drain stops what can save its progress on a machine that will be taken, and all on one
// that is faulty.
func (l *leader) drain(m *machine) {
	for _, p := range m.sorted() {
		switch {
		case p.stop != keep:
		case p.phase < sent:
			l.end(p)
		case p.job.spec.CheckpointIntervalS > 0:
			p.halt(stopSaving, stopDrain)
		case m.faulty:
			p.halt(stopNow, stopDrain)
		}
	}
	if m.faulty && len(m.runs) == 0 {
		l.rentals.release(m, releaseFaulty)
	}
}

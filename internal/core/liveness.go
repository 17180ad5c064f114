package core

import (
	"slices"
	"sort"
	"time"

	"bitternwing/internal/call"
)

// doubt makes a machine show a token before it gets work: answers and commands may not
// reach it although its reports come. A worker that is reached shows the token at once,
// or with its next report; one that does not for half a lease is given back.
func (l *leader) doubt(m *machine, token uint64) {
	m.current = max(m.current, token)
	if m.proof == 0 {
		m.doubtedAt = l.c.now.Steady
	}
	m.proof = max(m.proof, token)
}

// deafened tells whether a machine's reports have come for half a lease without showing
// that answers reach it.
func (l *leader) deafened(m *machine) bool {
	now := l.c.now.Steady
	return m.proof != 0 && now-m.heard < l.c.t.quiet && now-max(m.doubtedAt, l.idleAt) > l.c.t.lease/2
}

// watchMachines looks for machines that are silent too long and stops what runs on
// those that will be taken.
func (l *leader) watchMachines() {
	now := l.c.now.Steady
	silent, apart, up := map[string]int{}, map[string]int{}, map[string]int{}
	for _, m := range l.fleet {
		if m.up || m.seenUp {
			up[m.zone]++
			if now-m.lastHeard() > l.c.t.lease/3 {
				silent[m.zone]++
			}
			if now-max(m.heard, m.reached) > l.c.t.lease/3 {
				apart[m.zone]++
			}
		}
	}
	var zones []string
	for zone, n := range apart {
		if n > 3 && n*4 > up[zone] {
			zones = append(zones, zone)
		}
	}
	sort.Strings(zones)
	l.apart = zones
	clear(l.cutZones)
	for zone, total := range up {
		// If many of a zone are silent at once, it is rather the network or a change of
		// leaders. In this node's own zone it is the network only where nearly all are out of
		// its reach: what cuts zones apart takes none out of reach there, so the rest is dead,
		// hangs or is cut off from everybody. There it counts what this node itself hears. Were
		// reports that others pass on to count, the first of them would turn all that have yet to
		// find another node into single silent machines, to be released at once.
		many := silent[zone] > 3 && silent[zone]*4 > total
		if zone == l.c.set.Zone {
			many = apart[zone] > 3 && apart[zone]*4 > 3*total
		}
		if many {
			l.cutZones[zone] = l.c.zoneOut(zone)
			if l.cutZones[zone] {
				l.outAt[zone] = now
			}
		}
	}
	entitled := l.entitled()
	if !entitled {
		l.idleAt = now
	}
	for _, m := range l.fleet {
		if (m.up || m.seenUp) && !m.releasing && entitled && now >= l.silentUntil(m) {
			l.rentals.release(m, releaseSilent)
		}
		if entitled && l.deafened(m) {
			l.rentals.release(m, releaseUnreached)
		}
		if m.notice || m.faulty {
			l.drain(m)
		}
		if entitled {
			l.inspect(m)
		}
	}
}

// inspect asks a machine directly that has not reported here for a while: one that hangs,
// is dead or out of reach does not answer; one that has yet to find the leader does, and
// shows what it has.
func (l *leader) inspect(m *machine) {
	now := l.c.now.Steady
	if m.lastHeard() > m.inspectedAt {
		m.deaf = 0
	}
	if !m.up && !m.seenUp || m.releasing || m.inspecting || m.addr == "" || l.inspecting >= l.c.mostInspections() ||
		now-max(m.heard, m.reached) < l.c.t.lease/4 || now-m.inspectedAt < l.c.t.beat {
		return
	}
	m.inspecting, m.inspectedAt = true, now
	l.inspecting++
	id := l.call(func(r Result) {
		m.inspecting = false
		l.inspecting--
		switch {
		case r.Outcome != call.OK:
			m.deaf++
		case r.Report.Machine == m.name:
			m.reached = l.c.now.Steady
			l.relayed(&r.Report, true)
		}
	})
	l.c.send(WorkerInspect{ID: id, Addr: m.addr})
}

// mostInspections and mostOrders bound the sockets that questions to silent machines and
// direct orders take.
func (c *Core) mostInspections() int { return max(4, c.set.Params.Limits.MaxConnections/40) }
func (c *Core) mostOrders() int      { return max(4, c.set.Params.Limits.MaxConnections/12) }

// silentUntil tells until when a machine may be silent.
func (l *leader) silentUntil(m *machine) time.Duration {
	limit := time.Duration(float64(l.c.t.lease) * l.c.op.SilentLeases)
	lease := max(limit, l.c.t.lease)
	due := m.lastHeard() + limit
	out, many := l.cutZones[m.zone]
	switch {
	case out:
		// Its own nodes keep its workers alive; dead machines show in the cloud's list.
		due = m.lastHeard() + time.Duration(float64(lease)*l.c.op.CutLeases)
	case many, m.zone != l.c.set.Zone && slices.Contains(l.apart, m.zone), !m.up && m.deaf < 2:
		// Much of a zone is silent, or out of this node's reach and kept by others: its workers
		// may be on their way to a node that keeps them, the last few as well. Or a worker has yet to find
		// this leader. By then its tasks are gone with its lease, or it was heard of: who
		// keeps it tells within half a beat.
		due = m.lastHeard() + lease*11/10
	case m.deaf >= 2 && (m.kept == 0 || l.c.now.Steady-m.kept > 2*lease):
		due = m.lastHeard() + limit*5/8
	}
	// Workers have to find their way back first: those of a zone that was cut off, and all
	// after a time in which this leader could not answer.
	due = max(due, l.idleAt+limit)
	if !m.up {
		// What the last leader told of it may be a beat old, and it has to find this one.
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
		case p.job.spec.Checkpoint > 0:
			p.halt(stopSaving, "drain")
		case m.faulty:
			p.halt(stopNow, "drain")
		}
	}
	if m.faulty && len(m.runs) == 0 {
		l.rentals.release(m, releaseFaulty)
	}
}

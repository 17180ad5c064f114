package core

import (
	"slices"

	"bitternwing/internal/config"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// runList begins to read the cloud's list when that is due, and goes on with its pages as the rate limit allows: a large
// fleet has more of them than may be requested in a second.
func (p *provisioner) runList() {
	now := p.leader.core.now.Steady
	switch {
	case p.listInFlight:
	case p.nextPage != "":
		if p.takeRateToken() {
			p.requestListPage(p.nextPage)
		}
	case now < p.nextList:
		p.leader.core.wakeBy(p.nextList)
	case p.takeRateToken():
		p.nextList = p.leader.core.coalesce(now + p.leader.core.times.listLag)
		p.listStartedAt = now
		p.listedNames = map[string]bool{}
		p.requestListPage("")
	}
}

// requestListPage requests a page of the cloud's list. One that the rate limit refused is requested again; after any other
// failure the list is read from its beginning when the next one is due.
func (p *provisioner) requestListPage(after string) {
	l := p.leader
	p.listInFlight = true
	id := l.registerCall(func(r Result) {
		p.listInFlight = false
		if r.Outcome == outcome.Dropped && after != "" {
			p.nextPage = after
			return
		}
		p.nextPage = ""
		if r.Outcome != outcome.OK {
			return
		}
		p.applyListPage(r.Machines.Machines, r.Machines.More)
	})
	l.core.emit(CloudList{CallID: id, After: after})
}

// applyListPage takes in a page of the list, and the end of the list after the last one.
func (p *provisioner) applyListPage(page []wire.Machine, more bool) {
	for i := range page {
		p.listedNames[page[i].Name] = true
		p.applyListed(&page[i])
	}
	if n := len(page); more && n > 0 {
		p.nextPage = page[n-1].Name
		return
	}
	p.listRead = true
	p.findAbsent()
	p.leader.requestCycle()
}

// applyListed takes in an entry of the cloud's list.
func (p *provisioner) applyListed(e *wire.Machine) {
	l, c := p.leader, p.leader.core
	now := c.now.Steady
	if at, was := l.releasedMachines[e.Name]; was {
		if now-at < releasedListLags*c.times.listLag {
			return // the list lags
		}
		delete(l.releasedMachines, e.Name)
	}
	if e.State == wire.MachineFailed {
		if m := l.machines[e.Name]; m != nil {
			l.removeMachine(m, "failed")
		} else {
			l.releasedMachines[e.Name] = now
		}
		p.scaleInQueue = append(p.scaleInQueue, e.Name)
		return
	}
	_, known := l.machines[e.Name]
	m := l.findOrAddMachine(e.Name)
	if !known {
		c.log(Info, "worker found in cloud list", "worker", e.Name, "state", e.State)
	}
	if !m.inCloudList {
		m.inCloudList, m.listedAt = true, now
		m.requestedAt = min(m.requestedAt, now-config.Seconds(e.AgeS))
	}
	m.setIdentity(e.Type, e.Zone, e.Addr, e.Spot)
	m.missedLists = 0
}

const (
	// releasedListLags is for how many lags of the cloud's list a machine may be listed that was released.
	releasedListLags = 10
	// settledListLags is after how many lags a machine that exists must be listed.
	settledListLags = 3
	// missedListsGone is how many complete lists in a row lack a machine that is gone.
	missedListsGone = 2
	// maxReleasedMachines and releasedLeases bound the memory of released machines.
	maxReleasedMachines = 1000
	releasedLeases      = 30
)

// findAbsent removes machines that are not in the cloud's list any more. A list may describe a moment up to twice the lag
// ago, and one list may be older than the one before. So a machine counts as gone only if the list was requested well
// after it must have been listed, and if several lists in a row lack it.
func (p *provisioner) findAbsent() {
	l := p.leader
	for _, m := range slices.Clone(l.machinesByName) {
		if p.listedNames[m.name] || !p.mustBeListed(m) {
			continue
		}
		m.missedLists++
		if m.missedLists >= missedListsGone {
			l.removeMachine(m, "no longer listed")
		}
	}
	p.forgetReleased()
}

// mustBeListed tells whether a machine would be in the list that was read, if it still existed. One that sends heartbeats
// exists.
func (p *provisioner) mustBeListed(m *machine) bool {
	c := p.leader.core
	known := m.firstSeen
	if m.inCloudList {
		known = m.listedAt
	}
	settled := settledListLags * c.times.listLag
	if p.listStartedAt < known+settled {
		return false
	}
	return !m.reported || c.now.Steady-m.lastHeardDirectlyOrRelayed() >= settled
}

// forgetReleased forgets machines that were released long ago, once there are many.
func (p *provisioner) forgetReleased() {
	l, c := p.leader, p.leader.core
	if len(l.releasedMachines) <= maxReleasedMachines {
		return
	}
	for name, at := range l.releasedMachines {
		if c.now.Steady-at > releasedLeases*c.times.lease {
			delete(l.releasedMachines, name)
		}
	}
}
